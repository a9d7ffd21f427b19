//! Carries out what the routing policy orders.

use super::*;

impl Actions for RequestTable {
    fn attempt(&mut self, request_id: RequestId, attempt: &Attempt) {
        let Some(pending) = self.pending.get_mut(request_id.0) else { return };
        let attempt_id = AttemptId { request_id, number: pending.attempts.len() as u32 };
        let source = (attempt.source != attempt.node).then(|| self.nodes.id(attempt.source).to_string());
        let id = pending.request.id;
        let (node, rank) = (self.nodes.id(attempt.node), attempt.rank);
        let from = source.as_deref().unwrap_or("-");
        log::debug!(target: TRACE, "{id} attempt {} to {node} from {from} rank {rank}", attempt_id.number);
        let connection = self.nodes.assign(
            attempt.node,
            attempt_id,
            id,
            pending.at_most_once,
            self.now,
            &mut self.effects,
        );
        let (started_at, connection_number) = (self.now, connection.unwrap_or_default());
        if let Some(send_by) = attempt.send_by {
            self.effects.push(Effect::Arm(send_by, TimerKind::SendBy(attempt_id, pending.generation)));
        }
        pending.attempts.push(AttemptEntry {
            attempt: *attempt,
            source,
            started_at,
            in_flight: true,
            connection: connection_number,
        });
        match connection {
            Some(connection) => self.send_waiting(connection),
            // All connections to the node are at capacity, which says nothing about the node itself.
            None => self.end_attempt(attempt_id, Outcome::NotSent, None),
        }
    }

    fn cancel(&mut self, request_id: RequestId, number: u32) {
        self.abort_attempt(AttemptId { request_id, number }, Outcome::Cancelled);
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
            self.open_ids.remove(&pending.request.id);
            self.request_bytes -= pending.memory_bytes;
            self.clients.request_released(pending.client, pending.memory_bytes);
        }
        self.pending.remove(request_id.0);
        self.request_ids.release(request_id.0);
    }

    fn release_object(&mut self, object: ObjectId) {
        self.objects.release(object.0);
    }
}
