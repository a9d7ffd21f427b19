//! Selects the node of an attempt: a cache of the location by the copy's hash and by load, or a parent or the origin
//! directly.
//!
//! Called from `request_path.rs` for each attempt. Load is counted in concurrent transfers per transfer of capacity.

use super::*;
use crate::listed_nodes::{effective_weight, placement_draw, placement_key};

/// A cache with its key in a copy's hash order (lower keys come first) and its load.
#[derive(Debug, Clone, Copy)]
pub(super) struct RankedCache {
    key: f64,
    node: NodeId,
    load: f64,
}

impl Dispatcher {
    /// Whether this node may be sent an attempt now: it is listed, accepts work, is not ejected, and is not half-open
    /// with an attempt in flight.
    pub(super) fn is_available(&self, now: Nanos, id: NodeId) -> bool {
        let node = self.nodes.get(id);
        node.is_some_and(|node| {
            node.listed && node.ejected_until <= now && !(node.half_open && node.in_flight > 0)
        }) && self.accepts_work(now, id)
    }

    /// Selects parent and origin for a request that no cache of the location can take, if direct attempts are allowed
    /// and the fill link has room. Caches that are all cold are not bypassed: such attempts leave no copy, so they
    /// would stay empty.
    pub(super) fn bypass_caches(&mut self, now: Nanos, request: &RequestState) -> Option<(NodeId, NodeId)> {
        let available: Vec<_> = self
            .nodes
            .caches()
            .map(|node| node.entry.node)
            .filter(|id| self.is_available(now, *id))
            .collect();
        let cold = |id: &NodeId| self.nodes.is_cold(now, *id, self.settings.cache_cold.warm_after);
        if !available.is_empty() && available.iter().all(cold) {
            return None;
        }
        let origin = self
            .nodes
            .origin()
            .filter(|_| self.settings.direct_to_parents && request.may_have_run.is_none())?;
        let parent = self.select_parent(now, request).filter(|id| *id != origin)?;
        self.may_fetch_from_origin(now, request, request.keep.fill_rank).then_some((parent, origin))
    }

    /// Returns a function that estimates the load of a node from the pace of its recent hits; `all` is the pace of
    /// each cache of the location.
    ///
    /// A single dispatcher counts its own attempts. One of several sees only a random part of the attempts. So the
    /// duration of hits over their work, which shows the load by all dispatchers, is a prior for its own count, and
    /// weighs the more the more dispatchers there are.
    fn load_estimator(
        &self,
        request: &RequestState,
        all: &[[f64; 2]],
    ) -> impl Fn(&Node, [f64; 2]) -> f64 + '_ {
        let mean_work_s = self.stats_of(&request.routing_request).mean_work_s;
        let zone_dispatchers = f64::from(self.settings.zone_dispatchers.max(1));
        let prior = PACE_PRIOR_WEIGHT * (1.0 - 1.0 / zone_dispatchers);
        let (all_duration_s, all_work_s) =
            all.iter().fold((mean_work_s, mean_work_s), |sum, pace| (sum.0 + pace[0], sum.1 + pace[1]));
        move |node, [own_duration_s, own_work_s]| {
            let pace = ((own_duration_s + mean_work_s * all_duration_s / all_work_s)
                / (own_work_s + mean_work_s))
                .max(1.0);
            (prior + f64::from(node.in_flight)) / (prior / pace + self.capacity_of(node) / zone_dispatchers)
        }
    }

    /// For each cache of the location, the duration of recent hits and their work, in seconds.
    fn cache_paces(&self, now: Nanos) -> Vec<[f64; 2]> {
        self.nodes.caches().map(|node| node.hit_pace.sums(now)).collect()
    }

    /// The location's caches with their load, in the copy's hash order (weighted rendezvous hashing).
    fn ranked_caches(&self, now: Nanos, request: &RequestState) -> Vec<RankedCache> {
        let paces = self.cache_paces(now);
        let load = self.load_estimator(request, &paces);
        let rank = |(node, pace): (&Node, &[f64; 2])| {
            let key = placement_key(
                placement_draw(request.routing_request.copy_hash, node.entry.hash),
                effective_weight(node.entry.weight),
            );
            RankedCache { key, node: node.entry.node, load: load(node, *pace) }
        };
        let mut caches: Vec<_> = self.nodes.caches().zip(&paces).map(rank).collect();
        // No two elements are equal, so the unstable sort gives the same order and is faster.
        caches.sort_unstable_by(|a, b| a.key.total_cmp(&b.key).then(a.node.cmp(&b.node)));
        caches
    }

    /// Whether a fill at this cache would miss the latency target. At an overloaded cache hits come first, as a fill
    /// costs the cache as much as a hit and loads the link and a parent as well. Prevents overload from any cause.
    /// Costs hits on objects that only a fill would bring into the cache.
    pub(super) fn fill_would_be_late(&self, now: Nanos, request: &RequestState, node: NodeId) -> bool {
        let own = self.nodes.own_cache(node);
        let load = own.map_or(1.0, |node| {
            self.load_estimator(request, &self.cache_paces(now))(node, node.hit_pace.sums(now)).max(1.0)
        });
        load > 1.0
            && FILL_WORK_WEIGHT * request.work_s * load + self.origin_limiter.typical_s()
                > LATENCY_TARGET_MARGIN * self.latency_target_s(request)
    }

    /// Selects the first cache in hash order that is available, not full, not tried yet and, if cold, admitted by its
    /// slow start; else the least loaded one.
    pub(super) fn select_cache(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        let mean_work_s = self.stats_of(&request.routing_request).mean_work_s;
        let mut caches = self.ranked_caches(now, request);
        // If all caches fail at times and none is available, those that still answer are better than none.
        let none_available = !caches.iter().any(|cache| self.is_available(now, cache.node));
        let answers = |id: NodeId| {
            none_available
                && self.nodes.get(id).is_some_and(|node| node.started <= now)
                && self.accepts_work(now, id)
        };
        caches.retain(|cache| {
            self.may_retry_at(now, request, cache.node)
                && (self.is_available(now, cache.node) || answers(cache.node))
        });
        let was_tried =
            |id: NodeId| request.attempts.iter().any(|attempt| attempt.was_sent && attempt.node == id);
        keep_one_cold(&mut caches, |cache| {
            self.nodes.is_cold(now, cache.node, self.settings.cache_cold.warm_after)
        });
        // If all caches are equally loaded, another one would only be less likely to have the copy.
        let full = FULL_LOAD.max(
            FULL_LOAD_VS_MEAN * caches.iter().map(|cache| cache.load).sum::<f64>()
                / caches.len().max(1) as f64,
        );
        let mut preferred = caches.iter().filter(|cache| !was_tried(cache.node) && cache.load < full);
        let preferred = preferred.find(|cache| self.slow_start_admits(now, cache.node, mean_work_s)).copied();
        let least = || caches.iter().copied().min_by(|a, b| a.load.total_cmp(&b.load));
        let chosen = preferred
            .or_else(|| least().filter(|cache| self.slow_start_admits(now, cache.node, mean_work_s)));
        chosen.filter(|cache| self.admits_at_load(now, request, cache.load.max(1.0))).map(|cache| cache.node)
    }

    /// Whether a cache of this load is sent the request. A request that would miss its latency target only slows the
    /// transfers in flight. Larger objects are late at a lower load, so the largest would hardly be served while the
    /// rest of their content type is. So a share of the large requests that meet their deadline is sent even if late.
    fn admits_at_load(&mut self, now: Nanos, request: &RequestState, load: f64) -> bool {
        let max_load = |within_s: f64| LATENCY_TARGET_MARGIN * within_s / request.work_s;
        if load < max_load(self.latency_target_s(request)) {
            return true;
        }
        let is_large =
            request.work_s > LARGE_WORK_MULTIPLE * self.stats_of(&request.routing_request).mean_work_s;
        let only_late = load < max_load(request.routing_request.deadline.since(now).secs());
        is_large && only_late && self.random.next_f64() < LATE_LARGE_SHARE
    }

    /// Selects node and source for an uncacheable request, which runs at the origin: first directly, then through a
    /// parent or a cache.
    pub(super) fn select_for_uncacheable(
        &mut self,
        now: Nanos,
        request: &RequestState,
    ) -> Option<(NodeId, NodeId)> {
        let origin = self.nodes.origin().filter(|origin| self.accepts_work(now, *origin))?;
        if request.may_have_run.is_some() || !self.may_fetch_from_origin(now, request, 4) {
            return None;
        }
        if self.settings.direct_to_parents && request.attempts.iter().all(|attempt| attempt.node != origin) {
            return Some((origin, origin));
        }
        let parent =
            self.select_parent(now, request).filter(|id| *id != origin && self.settings.direct_to_parents);
        parent.or_else(|| self.select_cache(now, request)).map(|node| (node, origin))
    }
}
