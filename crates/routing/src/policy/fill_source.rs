//! What a fill may ask of the link, of other locations, of parents and of the origin.

use super::*;

impl Dispatcher {
    /// Whether the location's link has room for a fill of this.
    pub(super) fn link_has_room(&mut self, now: Nanos, request: &RequestState) -> bool {
        let (size, draw) =
            (request.work_s / self.row(&request.routing_request).mean_work_s, self.random.next_f64());
        self.link.has_room(now, self.s.zone_dispatchers, size, draw)
    }

    /// Link and source hear how slowly a fill ran.
    pub(super) fn fill_ended(&mut self, now: Nanos, request: &RequestState, sent: &Sent, end: &AttemptEnd) {
        self.link.fill_ended();
        if end.outcome == Outcome::Cancelled {
            return;
        }
        // What ran out of time mostly waited, as for a slow origin or parent: it says nothing of the link.
        let waited = if end.outcome == Outcome::TimedOut { Some(end.duration) } else { end.first_byte_wait };
        let waited = waited.unwrap_or_default().secs();
        let told = &self.row(&request.routing_request).told;
        let leeway =
            told.latency_target.secs() + (told.latency_target_stretch - 1.0).max(0.0) * request.work_s;
        let took = end.duration.secs() - waited;
        let fair = request.work_s + FILL_LEEWAY * leeway;
        self.link.record_fill(now, [took, fair, waited]);
        // A parent may be quick to begin and slow to send: what its fills take over the leeway counts as part
        // of its first byte. It fades while the parent is not asked, so that one is tried again. Of a slow
        // origin's time only the usual is the parent's: else objects would wander between parents.
        let own =
            if end.remark == Remark::FilledFromCopy { waited } else { waited.min(self.origin.typical_s()) };
        if let Some(n) = self.nodes.get_mut(sent.source) {
            n.saw_first_byte(now, own + (took - fair).max(0.0), SMOOTH, FADES);
        }
        if end.outcome == Outcome::Served {
            self.fill_usual_s += SMOOTH * (end.duration.secs() - self.fill_usual_s);
        }
    }

    /// Where caches may fill from other locations: the first of theirs for the copy, once a request. The
    /// same copy is asked for everywhere, so it is often held there, one hop away; else it is one more look.
    pub(super) fn sibling(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        let asked = !self.s.fill_from_other_locations
            || request.attempts.iter().any(|p| !p.is_look() && !self.nodes.from_above(p));
        let homes =
            self.nodes.homes_away(request.routing_request.copy_hash, now, self.s.cache_cold.warm_after);
        homes.into_iter().find(|id| !asked && self.open(now, *id))
    }

    /// Who fills a miss: where the origin is spared, or no parent bears it, first another location's cache.
    pub(super) fn filler(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        let spared =
            self.s.fill_from_other_locations && !self.may_fetch(now, request, request.keep.fill_rank);
        let first = if spared { self.sibling(now, request) } else { None };
        if first.is_some() || !self.link_has_room(now, request) {
            return first;
        }
        self.parent_for(now, request).or_else(|| self.sibling(now, request))
    }

    /// The better of the first two open parents in hash order, by smoothed time to first byte.
    pub(super) fn source(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        if self.link_has_room(now, request) { self.parent_for(now, request) } else { None }
    }

    fn parent_for(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        let mut parents: Vec<_> = self
            .nodes
            .parents()
            .map(|n| (mix(request.routing_request.copy_hash ^ n.e.hash), n.e.node))
            .collect();
        parents.sort();
        let mean = self.row(&request.routing_request).mean_work_s;
        parents.retain(|(_, id)| self.open(now, *id));
        let failed = |id: NodeId| request.attempts.iter().any(|p| !p.is_look() && p.source == id);
        let first_byte = |id: NodeId| self.nodes.get(id).map_or(0.0, |n| n.first_byte_s(now, FADES));
        // The origin stands in for a parent that is not open. As all locations turn to it at once, uncached
        // and unjoined, each dispatcher asks it for a few at a time only.
        let few = |n: &Node| f64::from(n.out) < self.origin.allowed_share(now) * self.link.limit();
        let origin =
            self.nodes.origin().filter(|id| parents.len() < 2 && self.nodes.get(*id).is_some_and(few));
        let two = parents.iter().take(2).map(|(_, id)| *id).chain(origin);
        let mut two: Vec<_> = two.filter(|id| !failed(*id)).map(|id| (first_byte(id), id)).collect();
        two.sort_by(|a, b| a.0.total_cmp(&b.0));
        two.into_iter().map(|source| source.1).find(|id| match Some(*id) == origin {
            true => self.open(now, *id) && self.may_fetch(now, request, request.keep.fill_rank),
            false => self.bears(now, *id, request.work_s.max(mean)),
        })
    }

    /// A stopped origin holds every fill that needs it until time runs out, and with them the link's places.
    /// While it is set aside parents give only what they hold; then one fetch at a time tries it. A few that
    /// must run there still do unless it died. Of a slow one fewer are asked. Harms what would be late.
    pub(super) fn may_fetch(&mut self, now: Nanos, request: &RequestState, rank: u8) -> bool {
        let closed = self.nodes.origin().filter(|id| !self.open(now, *id)).and_then(|id| self.nodes.get(id));
        let closed = closed.is_some_and(|n| rank < 4 || n.started > now || n.out >= RUNS_ASIDE);
        // What MC3 ranks high is fetched first, so that hits come back; rank 4 stands for uncacheable. Of all
        // locations the first in the copy's order fetch it, and the others ask those.
        let power = [4.0, 2.0, 1.0, 0.5, 0.0][usize::from(rank.min(4))];
        !closed
            && self.nodes.turn(request.routing_request.copy_hash, self.random.next_f64())
                < self.origin.allowed_share(now).powf(power)
    }
}
