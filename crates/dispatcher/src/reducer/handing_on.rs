//! What the decisions hear of: ends of attempts, answers to probes, and what is known of the change log.

use super::*;

impl Reducer {
    /// The module hears what is known of the change log, as that changes.
    pub(super) fn hand_on_knowledge(&mut self, now: Nanos) {
        let knowledge = *self.log.knowledge();
        if self.known.replace(knowledge) != Some(knowledge) {
            self.module.change_log_changed(now, knowledge, &mut self.request_table);
        }
    }

    /// Attempts that have ended reach the module one by one, with what it does of it.
    pub(super) fn hand_on_ends(&mut self, now: Nanos) {
        if let Some(made_ms) = self.request_table.latest_made_ms.take() {
            self.external_time.observe_copy(now, made_ms);
        }
        for (node, asked, takes_work) in std::mem::take(&mut self.request_table.alive) {
            self.module.readiness_probe_answered(node, asked, takes_work);
        }
        for (node, until) in self.request_table.turned_away() {
            self.module.node_refuses_connections(node, until);
        }
        while let Some((attempt, end)) = self.request_table.ended.pop_front() {
            self.module.attempt_ended(now, attempt.request_id, attempt.number, &end, &mut self.request_table);
        }
        for (routing_request, offered) in std::mem::take(&mut self.request_table.offered) {
            let known = self.module.copy_demand(&routing_request);
            if let (Some(copies), Some((rate, hops))) = (&mut self.copies, known) {
                if let Some(rank) = copies.to_disk(&offered, rate, hops) {
                    let (key, facts, body) = (offered.key, offered.facts, offered.body.clone());
                    self.request_table.effects.push(Effect::KeepCopy(key, facts, rank, body));
                }
                copies.offer(offered, rate, hops);
            }
        }
    }
}
