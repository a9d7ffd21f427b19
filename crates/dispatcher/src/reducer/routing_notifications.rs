//! Passes on to the routing policy: ends of attempts, answers to probes, and what is known of the change log.

use super::*;

impl Reducer {
    /// Tells the routing policy what is known of the change log whenever that changes.
    pub(super) fn report_knowledge(&mut self, now: Nanos) {
        let knowledge = *self.change_log.knowledge();
        if self.reported_knowledge.replace(knowledge) != Some(knowledge) {
            self.routing.change_log_changed(now, knowledge, &mut self.request_table);
        }
    }

    /// Tells the routing policy of ended attempts one by one, as its reaction may end more. Also passes on
    /// probe answers and refusing nodes, and offers received copies to the local cache.
    pub(super) fn report_attempt_ends(&mut self, now: Nanos) {
        for copy in std::mem::take(&mut self.request_table.copy_times) {
            self.external_time.observe_answer(now, &copy);
        }
        for (node, sent_at, ready) in std::mem::take(&mut self.request_table.probe_answers) {
            self.routing.readiness_probe_answered(node, sent_at, ready);
        }
        for (node, until) in self.request_table.take_refusing_nodes() {
            self.routing.node_refuses_connections(node, until);
        }
        while let Some((attempt, end)) = self.request_table.ended_attempts.pop_front() {
            self.routing.attempt_ended(
                now,
                attempt.request_id,
                attempt.number,
                &end,
                &mut self.request_table,
            );
        }
        for (routing_request, offered) in std::mem::take(&mut self.request_table.offered) {
            let demand = self.routing.copy_demand(&routing_request);
            if let (Some(cache), Some((rate, hops))) = (&mut self.local_cache, demand) {
                if let Some(rank) = cache.disk_rank(&offered, rate, hops) {
                    let (key, facts, body) = (offered.key, offered.facts, offered.body.clone());
                    self.request_table.effects.push(Effect::KeepCopy(key, facts, rank, body));
                }
                cache.offer(offered, rate, hops);
            }
        }
    }
}
