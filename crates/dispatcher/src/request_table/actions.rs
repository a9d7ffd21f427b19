//! What the decisions order.

use super::*;

impl Actions for RequestTable {
    fn attempt(&mut self, request_id: RequestId, attempt: &Attempt) {
        let Some(pending) = self.pending.get_mut(request_id.0) else { return };
        let place = AttemptId { request_id, number: pending.attempts.len() as u32 };
        let source = (attempt.source != attempt.node).then(|| self.nodes.id(attempt.source).to_string());
        let id = pending.request.id;
        let (node, rank) = (self.nodes.id(attempt.node), attempt.rank);
        let from = source.as_deref().unwrap_or("-");
        log::debug!(target: TRACE, "{id} pull {} to {node} from {from} rank {rank}", place.number);
        let connection =
            self.nodes.assign(attempt.node, place, id, pending.once, self.now, &mut self.effects);
        let (at, number) = (self.now, connection.unwrap_or_default());
        if let Some(by) = attempt.send_by {
            self.effects.push(Effect::Arm(by, TimerKind::SendBy(place, pending.generation)));
        }
        pending.attempts.push(InFlightAttempt {
            attempt: *attempt,
            source,
            at,
            out: true,
            connection: number,
        });
        match connection {
            Some(connection) => self.hand_over(connection),
            // All its connections carry what they may, which says nothing of the node.
            None => self.end(place, Outcome::NotSent, None),
        }
    }

    fn cancel(&mut self, request_id: RequestId, number: u32) {
        self.give_up(AttemptId { request_id, number }, Outcome::Cancelled);
    }

    fn reject(&mut self, request_id: RequestId, retry_after: Option<Nanos>) {
        self.answer(request_id, Answer::Rejected(retry_after.map(|span| span.0.div_ceil(1_000_000))));
    }

    fn fail(&mut self, request_id: RequestId) {
        self.answer(request_id, Answer::Failed);
    }

    fn arm_timer(&mut self, span: Nanos, token: u64) {
        self.effects.push(Effect::Arm(self.now.after(span), TimerKind::Routing(token)));
    }

    fn probe_load(&mut self, _node: NodeId) {}

    fn probe_readiness(&mut self, node: NodeId) {
        self.nodes.probe_readiness(node, self.now, &mut self.effects);
    }

    fn subscribe_to_list(&mut self) {
        // The change log is followed from the start.
    }

    fn log_line(&mut self, line: &str) {
        log::info!("{line}");
    }

    fn release(&mut self, request_id: RequestId) {
        if let Some(pending) = self.pending.get(request_id.0) {
            self.asked.remove(&pending.request.id);
        }
        self.pending.remove(request_id.0);
        self.request_ids.release(request_id.0);
    }

    fn release_object(&mut self, object: ObjectId) {
        self.objects.release(object.0);
    }
}
