//! The rules: one final answer, no effect twice, no cold node pushed over, no purged copy.

use super::*;

impl Dispatcher {
    /// Rule 4: a cold node bears multiple x present capacity x window from all dispatchers together. Each
    /// keeps to its token bucket (`src/fleet/slow_start.rs` states the sum); one large request is not sent.
    pub(super) fn bears(&mut self, now: Nanos, id: NodeId, work_s: f64) -> bool {
        let (cold, sharers) = self.cold_start(id);
        if !self.nodes.is_cold(now, id, cold.warm_after) {
            return self.nodes.get(id).is_some();
        }
        let bearable = self.nodes.get(id).map_or(0.0, |n| self.bearable(n, now));
        let rate =
            Rate::new(bearable, cold.overload_multiple.max(1.0 / COLD_LOAD), self.s.overload_window, sharers);
        let Some(n) = self.nodes.get_mut(id) else { return false };
        let chance = n.bucket.spend(now, &rate, work_s);
        self.again = n.bucket.wait_for(&rate, work_s);
        chance > 0.0 && self.random.next_f64() < chance
    }

    /// How a node starts, and how many dispatchers ask it.
    pub(super) fn cold_start(&self, id: NodeId) -> (ColdStart, u32) {
        match self.nodes.is_parent(id) {
            true => (self.s.parent_cold, self.s.dispatchers),
            false => (self.s.cache_cold, self.s.zone_dispatchers),
        }
    }

    /// What a node can do, in transfers at once; of a cold one no more than the rule lets it be asked for.
    pub(super) fn bearable(&self, n: &Node, at: Nanos) -> f64 {
        let cold = self.cold_start(n.e.node).0;
        let Some(age) = n.age(at).filter(|age| *age < cold.warm_after) else { return self.can(n) };
        let risen = age.since(self.s.overload_window).secs() / cold.warm_after.secs();
        let present = cold.share + (1.0 - cold.share) * risen;
        (cold.overload_multiple * COLD_LOAD).min(1.0) * present * self.can(n)
    }

    /// Rule 2 for a further pull: what may have run goes again only where repeats are harmless.
    pub(super) fn may_repeat_at(&self, now: Nanos, request: &RequestState, id: NodeId) -> bool {
        let Some((sent, first)) = request.may_have_run else { return true };
        let (Some(a), Some(b)) = (self.nodes.get(first), self.nodes.get(id)) else { return false };
        match request.pinned.retry_safety() {
            RetrySafety::Retriable => true,
            RetrySafety::NonRetriable => false,
            rule @ RetrySafety::Deduped { scope, .. } => {
                rule.send_by(sent) > Some(now) && scope.holds_both(&a.e, &b.e)
            }
        }
    }

    /// Rule 5: no copy older than a purge, for as long as such copies may lie about.
    pub(super) fn max_age(&mut self, now: Nanos, d: &RoutingRequest) -> Option<Nanos> {
        self.purges.forget(now, self.s.purge_done.after(self.s.purge_notice));
        let purged = self.purges.last(d.object_hash, d.group).map(|purged| now.since(purged));
        let since = purged.into_iter().chain(self.max_age_unheard(now)).min()?;
        let fresh = self.row(d).told.fresh_for;
        // Never down to nothing, which would stand for no limit.
        Some(since.min(fresh.unwrap_or(since)).max(Nanos(1_000)))
    }

    /// Gives up at once: throttled where trying again is harmless, else abandoned.
    pub(super) fn give_up(&mut self, now: Nanos, id: RequestId, out: &mut impl Actions) {
        let Some(request) = self.requests.get(id.0) else { return };
        let harmless = match request.pinned.retry_safety() {
            RetrySafety::Retriable | RetrySafety::Deduped { scope: DedupScope::All, .. } => true,
            _ => request.may_have_run.is_none(),
        };
        let to =
            if harmless && request.routing_request.deadline > now { Stage::Rejected } else { Stage::Failed };
        self.end(now, id, to, out);
    }

    pub(super) fn end(&mut self, now: Nanos, id: RequestId, to: Stage, out: &mut impl Actions) {
        self.move_to(now, id, to, out);
        self.settle(now, id, out);
    }

    /// The one place where a request changes its stage, and the only one that sends final answers.
    pub(super) fn move_to(&mut self, now: Nanos, id: RequestId, to: Stage, out: &mut impl Actions) -> bool {
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
        let wait_s = COME_BACK_S.max(COME_BACK_SHARE * std::mem::take(&mut self.again).secs());
        let advice = Nanos::from_secs(wait_s * (1.0 + self.random.next_f64()));
        let advice = self.answered(now, id, to).unwrap_or(advice);
        match to {
            Rejected => out.reject(id, self.s.retry_after.then_some(advice.min(self.s.max_retry_after))),
            Failed => out.fail(id),
            _ => {}
        }
        true
    }

    /// The storm module hears of a final answer, and says when a throttled request is to come back.
    pub(super) fn answered(&mut self, now: Nanos, id: RequestId, to: Stage) -> Option<Nanos> {
        let final_one = !matches!(to, Stage::Accepted | Stage::Attempting | Stage::Streaming);
        let request = self.requests.get(id.0).filter(|_| final_one)?;
        let target_s = self.target_s(request);
        self.storm.as_mut()?.request_answered(now, request, to, target_s)
    }

    /// Lets go of an answered request once all its attempts are in.
    pub(super) fn settle(&mut self, now: Nanos, id: RequestId, out: &mut impl Actions) {
        let Some(request) = self.requests.get(id.0) else { return };
        let open = matches!(request.stage, Stage::Accepted | Stage::Attempting | Stage::Streaming);
        if !open && request.attempts.iter().all(|p| !p.out) {
            self.storm.iter_mut().for_each(|storm| storm.request_settled(now, request));
            self.requests.remove(id.0);
            out.release(id);
        }
    }

    /// Nobody waits for this request any more.
    pub fn client_gone(&mut self, now: Nanos, id: RequestId, out: &mut impl Actions) {
        if self.move_to(now, id, Stage::ClientGone, out) {
            self.cancel(id, None, out);
            self.settle(now, id, out);
        }
    }

    pub(super) fn cancel(&mut self, id: RequestId, at: Option<NodeId>, out: &mut impl Actions) {
        let Some(request) = self.requests.get(id.0).filter(|_| self.s.cancel) else { return };
        for (number, sent) in request.attempts.iter().enumerate() {
            if sent.out && at.is_none_or(|node| node == sent.node || node == sent.source) {
                out.cancel(id, number as u32);
            }
        }
    }
}
