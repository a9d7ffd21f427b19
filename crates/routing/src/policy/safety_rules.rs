//! The rules that every decision obeys, and the stages of a request.
//!
//! - Rule 1: each request gets one final answer.
//! - Rule 2: no request with an effect runs twice.
//! - Rule 3: nodes that drain or are gone get no work. The node list and `staleness.rs` keep this rule.
//! - Rule 4: cold nodes are not overloaded.
//! - Rule 5: no copy older than a purge is served.

use super::*;

impl Dispatcher {
    /// Rule 4: whether a node may be sent this much work. A warm node always may. A cold node can take
    /// multiple x present capacity x window from all dispatchers together; each keeps to its token bucket
    /// (`src/fleet/slow_start.rs` states the sum). A single request that is too large for that is not sent.
    pub(super) fn slow_start_admits(&mut self, now: Nanos, id: NodeId, work_s: f64) -> bool {
        let (cold_start, sharers) = self.cold_start_of(id);
        if !self.nodes.is_cold(now, id, cold_start.warm_after) {
            return self.nodes.get(id).is_some();
        }
        let usable_capacity = self.nodes.get(id).map_or(0.0, |node| self.usable_capacity(node, now));
        let rate = Rate::new(
            usable_capacity,
            cold_start.overload_multiple.max(1.0 / SLOW_START_LOAD),
            self.settings.overload_window,
            sharers,
        );
        let Some(node) = self.nodes.get_mut(id) else { return false };
        let chance = node.token_bucket.spend(now, &rate, work_s);
        self.slow_start_wait = node.token_bucket.wait_for(&rate, work_s);
        chance > 0.0 && self.random.next_f64() < chance
    }

    /// The cold-start settings of a node's tier, and how many dispatchers send to the node.
    pub(super) fn cold_start_of(&self, id: NodeId) -> (ColdStart, u32) {
        match self.nodes.is_parent(id) {
            true => (self.settings.parent_cold, self.settings.dispatchers),
            false => (self.settings.cache_cold, self.settings.zone_dispatchers),
        }
    }

    /// Capacity of a node at a time, in concurrent transfers; for a cold node, the part that rule 4 lets dispatchers
    /// use.
    pub(super) fn usable_capacity(&self, node: &Node, at: Nanos) -> f64 {
        let cold_start = self.cold_start_of(node.entry.node).0;
        let Some(age) = node.age(at).filter(|age| *age < cold_start.warm_after) else {
            return self.capacity_of(node);
        };
        let warmed_share = age.since(self.settings.overload_window).secs() / cold_start.warm_after.secs();
        let present_share = cold_start.share + (1.0 - cold_start.share) * warmed_share;
        (cold_start.overload_multiple * SLOW_START_LOAD).min(1.0) * present_share * self.capacity_of(node)
    }

    /// Rule 2: whether a retry may be sent to a node. A request that may have run is retried only if a duplicate is
    /// harmless.
    pub(super) fn may_retry_at(&self, now: Nanos, request: &RequestState, id: NodeId) -> bool {
        let Some((sent_at, first)) = request.may_have_run else { return true };
        let (Some(a), Some(b)) = (self.nodes.get(first), self.nodes.get(id)) else { return false };
        match request.pinned.retry_safety() {
            RetrySafety::Retriable => true,
            RetrySafety::NonRetriable => false,
            rule @ RetrySafety::Deduped { scope, .. } => {
                rule.send_by(sent_at) > Some(now) && scope.covers(&a.entry, &b.entry)
            }
        }
    }

    /// Rule 5: the oldest copy that may be served, for as long as caches may still have purged copies; `None` for no
    /// limit.
    pub(super) fn max_copy_age(&mut self, now: Nanos, routing_request: &RoutingRequest) -> Option<Nanos> {
        self.purges.forget(now, self.settings.purge_done.after(self.settings.purge_notice));
        let purged = self
            .purges
            .last(routing_request.object_hash, routing_request.group)
            .map(|purged| now.since(purged));
        let since = purged.into_iter().chain(self.max_age_while_stale(now)).min()?;
        let fresh = self.stats_of(routing_request).config.fresh_for;
        // Never zero, which would stand for no limit.
        Some(since.min(fresh.unwrap_or(since)).max(Nanos(1_000)))
    }

    /// Answers a request without serving it: rejected if a retry by the client is harmless, else failed.
    pub(super) fn reject_or_fail(&mut self, now: Nanos, id: RequestId, out: &mut impl Actions) {
        let Some(request) = self.requests.get(id.0) else { return };
        let is_safe = match request.pinned.retry_safety() {
            RetrySafety::Retriable | RetrySafety::Deduped { scope: DedupScope::All, .. } => true,
            _ => request.may_have_run.is_none(),
        };
        let to =
            if is_safe && request.routing_request.deadline > now { Stage::Rejected } else { Stage::Failed };
        self.finish(now, id, to, out);
    }

    /// Moves a request to its last stage, and releases it if no attempt is in flight.
    pub(super) fn finish(&mut self, now: Nanos, id: RequestId, to: Stage, out: &mut impl Actions) {
        self.change_stage(now, id, to, out);
        self.release_if_done(now, id, out);
    }

    /// Changes the stage of a request and sends the final answer that belongs to it. Returns whether the change is
    /// allowed. No other function does either, which keeps rule 1.
    pub(super) fn change_stage(
        &mut self,
        now: Nanos,
        id: RequestId,
        to: Stage,
        out: &mut impl Actions,
    ) -> bool {
        use Stage::*;
        let Some(request) = self.requests.get_mut(id.0) else { return false };
        let allowed = match request.stage {
            Accepted => matches!(to, Attempting | Rejected | Failed | ClientGone),
            Attempting => to != Accepted,
            Streaming => matches!(to, Served | ClientGone),
            Served | Rejected | Failed | ClientGone => false,
        };
        if !allowed {
            return false;
        }
        request.stage = to;
        let wait_s =
            MIN_RETRY_AFTER_S.max(RETRY_AFTER_WAIT_SHARE * std::mem::take(&mut self.slow_start_wait).secs());
        let retry_after = Nanos::from_secs(wait_s * (1.0 + self.random.next_f64()));
        let retry_after = self.record_answer(now, id, to).unwrap_or(retry_after);
        match to {
            Rejected => out.reject(
                id,
                self.settings.retry_after.then_some(retry_after.min(self.settings.max_retry_after)),
            ),
            Failed => out.fail(id),
            _ => {}
        }
        true
    }

    /// Reports a final answer to overload control, which returns the retry-after of a rejected request.
    pub(super) fn record_answer(&mut self, now: Nanos, id: RequestId, to: Stage) -> Option<Nanos> {
        let is_final = !matches!(to, Stage::Accepted | Stage::Attempting | Stage::Streaming);
        let request = self.requests.get(id.0).filter(|_| is_final)?;
        let target_s = self.latency_target_s(request);
        self.overload_control.as_mut()?.request_answered(now, request, to, target_s)
    }

    /// Releases an answered request once none of its attempts is in flight.
    pub(super) fn release_if_done(&mut self, now: Nanos, id: RequestId, out: &mut impl Actions) {
        let Some(request) = self.requests.get(id.0) else { return };
        let is_open = matches!(request.stage, Stage::Accepted | Stage::Attempting | Stage::Streaming);
        if !is_open && request.attempts.iter().all(|attempt| !attempt.in_flight) {
            self.overload_control
                .iter_mut()
                .for_each(|overload_control| overload_control.request_settled(now, request));
            self.requests.remove(id.0);
            out.release(id);
        }
    }

    /// Handles a client that no longer waits for its request.
    pub fn client_gone(&mut self, now: Nanos, id: RequestId, out: &mut impl Actions) {
        if self.change_stage(now, id, Stage::ClientGone, out) {
            self.cancel_attempts(id, None, out);
            self.release_if_done(now, id, out);
        }
    }

    /// Cancels the attempts of a request that are in flight, or only those at a node, if attempts can be cancelled.
    pub(super) fn cancel_attempts(&mut self, id: RequestId, at: Option<NodeId>, out: &mut impl Actions) {
        let Some(request) = self.requests.get(id.0).filter(|_| self.settings.cancel) else { return };
        for (number, sent) in request.attempts.iter().enumerate() {
            if sent.in_flight && at.is_none_or(|node| node == sent.node || node == sent.source) {
                out.cancel(id, number as u32);
            }
        }
    }
}
