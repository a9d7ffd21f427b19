//! Selects the source of a fill: a cache of another location, a parent or the origin. Limits fills to what the
//! location's fill link, cold parents and the origin can take.

use super::*;

impl Dispatcher {
    /// Whether the location's fill link has room for a fill of this request.
    pub(super) fn fill_link_has_room(&mut self, now: Nanos, request: &RequestState) -> bool {
        let (size, draw) =
            (request.work_s / self.stats_of(&request.routing_request).mean_work_s, self.random.next_f64());
        self.fill_link.has_room(now, self.settings.zone_dispatchers, size, draw)
    }

    /// Updates the statistics of the fill link and of the source from the end of a fill.
    pub(super) fn record_fill(
        &mut self,
        now: Nanos,
        request: &RequestState,
        sent: &AttemptState,
        end: &AttemptEnd,
    ) {
        self.fill_link.fill_ended();
        if end.outcome == Outcome::Cancelled {
            return;
        }
        // A fill that timed out mostly waited for a slow parent or origin, so it says nothing about the link.
        let waited_s =
            if end.outcome == Outcome::TimedOut { Some(end.duration) } else { end.first_byte_wait };
        let waited_s = waited_s.unwrap_or_default().secs();
        let content_type = &self.stats_of(&request.routing_request).config;
        let slack_s = content_type.latency_target.secs()
            + (content_type.latency_target_stretch - 1.0).max(0.0) * request.work_s;
        let sending_s = end.duration.secs() - waited_s;
        let fair_s = request.work_s + FILL_SLACK_SHARE * slack_s;
        self.fill_link.record_fill(now, [sending_s, fair_s, waited_s]);
        // A parent may answer quickly and send slowly, so the time beyond the slack counts as part of its time to
        // first byte. That decays while the parent is not used, so that it is tried again. Of the wait for a slow
        // origin only the typical time counts for the parent; else objects would move between parents.
        let own_wait_s = if end.remark == Remark::FilledFromCopy {
            waited_s
        } else {
            waited_s.min(self.origin_limiter.typical_s())
        };
        if let Some(node) = self.nodes.get_mut(sent.source) {
            node.record_first_byte(
                now,
                own_wait_s + (sending_s - fair_s).max(0.0),
                SMOOTHING_FACTOR,
                FIRST_BYTE_HALF_LIFE,
            );
        }
        if end.outcome == Outcome::Served {
            self.typical_fill_s += SMOOTHING_FACTOR * (end.duration.secs() - self.typical_fill_s);
        }
    }

    /// Selects the first available cache of other locations in the copy's order, once per request, if caches may fill
    /// from there. The same copies are requested everywhere, so that cache often has the copy, one hop away; if not,
    /// the attempt is one more lookup.
    pub(super) fn select_sibling_cache(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        let is_excluded = !self.settings.fill_from_other_locations
            || request
                .attempts
                .iter()
                .any(|attempt| !attempt.is_lookup() && !self.nodes.is_parent_fill(attempt));
        let homes = self.nodes.homes_in_other_locations(
            request.routing_request.copy_hash,
            now,
            self.settings.cache_cold.warm_after,
        );
        homes.into_iter().find(|id| !is_excluded && self.is_available(now, *id))
    }

    /// Selects the source of a fill after a miss. A cache of another location comes first while fetches from the
    /// origin are limited, and last if no parent can take the fill.
    pub(super) fn select_fill_source(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        let is_limited = self.settings.fill_from_other_locations
            && !self.may_fetch_from_origin(now, request, request.keep.fill_rank);
        let first = if is_limited { self.select_sibling_cache(now, request) } else { None };
        if first.is_some() || !self.fill_link_has_room(now, request) {
            return first;
        }
        self.best_parent(now, request).or_else(|| self.select_sibling_cache(now, request))
    }

    /// Selects a parent, or the origin in place of one, if the fill link has room.
    pub(super) fn select_parent(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        if self.fill_link_has_room(now, request) { self.best_parent(now, request) } else { None }
    }

    /// The one of the first two available parents in hash order with the lower smoothed time to first byte.
    fn best_parent(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        let mut parents: Vec<_> = self
            .nodes
            .parents()
            .map(|node| (mix(request.routing_request.copy_hash ^ node.entry.hash), node.entry.node))
            .collect();
        parents.sort();
        let mean_work_s = self.stats_of(&request.routing_request).mean_work_s;
        parents.retain(|(_, id)| self.is_available(now, *id));
        let has_failed =
            |id: NodeId| request.attempts.iter().any(|attempt| !attempt.is_lookup() && attempt.source == id);
        let first_byte =
            |id: NodeId| self.nodes.get(id).map_or(0.0, |node| node.first_byte_s(now, FIRST_BYTE_HALF_LIFE));
        // The origin replaces a parent that is not available. All locations do so at once, and such fills are neither
        // cached nor coalesced on the way, so each dispatcher has only a few of them in flight.
        let is_below_limit = |node: &Node| {
            f64::from(node.in_flight) < self.origin_limiter.allowed_share(now) * self.fill_link.limit()
        };
        let origin = self
            .nodes
            .origin()
            .filter(|id| parents.len() < 2 && self.nodes.get(*id).is_some_and(is_below_limit));
        let candidates = parents.iter().take(2).map(|(_, id)| *id).chain(origin);
        let mut candidates: Vec<_> =
            candidates.filter(|id| !has_failed(*id)).map(|id| (first_byte(id), id)).collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        candidates.into_iter().map(|source| source.1).find(|id| match Some(*id) == origin {
            true => {
                self.is_available(now, *id)
                    && self.may_fetch_from_origin(now, request, request.keep.fill_rank)
            }
            false => self.slow_start_admits(now, *id, request.work_s.max(mean_work_s)),
        })
    }

    /// Whether a request of this rank may be fetched from the origin. A stopped origin would hold every such fill
    /// until it times out, and with it capacity of the fill link. While the origin is ejected, parents serve only
    /// cached copies; then one fetch at a time tries it. A few requests that must run there (rank 4) still do unless
    /// it died. A slow origin gets fewer fetches. Costs requests that would have been answered late.
    pub(super) fn may_fetch_from_origin(&mut self, now: Nanos, request: &RequestState, rank: u8) -> bool {
        let unavailable =
            self.nodes.origin().filter(|id| !self.is_available(now, *id)).and_then(|id| self.nodes.get(id));
        let unavailable = unavailable.is_some_and(|node| {
            rank < 4 || node.started > now || node.in_flight >= EJECTED_ORIGIN_MAX_IN_FLIGHT
        });
        // Copies that MC3 ranks high are fetched first, as they bring back hits; rank 4 stands for uncacheable. The
        // first locations in the copy's order fetch it, and the others fill from them.
        let exponent = [4.0, 2.0, 1.0, 0.5, 0.0][usize::from(rank.min(4))];
        !unavailable
            && self.nodes.location_rank(request.routing_request.copy_hash, self.random.next_f64())
                < self.origin_limiter.allowed_share(now).powf(exponent)
    }
}
