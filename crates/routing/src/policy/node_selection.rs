//! Where an attempt goes: which cache, and what goes past the caches.

use super::*;
use crate::listed_nodes::{counted, key_of, share_of};

/// A cache and its place in a copy's order.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacedCache {
    key: f64,
    node: NodeId,
    load: f64,
}

impl Dispatcher {
    /// May this node be sent something now? Listed, not set aside, and not on trial already.
    pub(super) fn open(&self, now: Nanos, id: NodeId) -> bool {
        let n = self.nodes.get(id);
        n.is_some_and(|n| n.listed && n.aside_until <= now && !(n.on_trial && n.out > 0))
            && self.takes_work(now, id)
    }

    /// With no cache of the location to be asked, straight to a parent, where allowed and the link has room.
    /// Not past caches that are all cold: what goes past them leaves no copy, and they would stay empty.
    pub(super) fn past_the_caches(&mut self, now: Nanos, request: &RequestState) -> Option<(NodeId, NodeId)> {
        let open: Vec<_> = self.nodes.caches().map(|n| n.e.node).filter(|id| self.open(now, *id)).collect();
        let cold = |id: &NodeId| self.nodes.is_cold(now, *id, self.s.cache_cold.warm_after);
        if !open.is_empty() && open.iter().all(cold) {
            return None;
        }
        let origin =
            self.nodes.origin().filter(|_| self.s.direct_to_parents && request.may_have_run.is_none())?;
        let parent = self.source(now, request).filter(|id| *id != origin)?;
        self.may_fetch(now, request, request.keep.fill_rank).then_some((parent, origin))
    }

    /// The load of a node, in transfers for each that fits, by what its hits took lately and those of all, of which sums
    /// are given. Alone, a dispatcher counts its own attempts; of several it sees a part only, and by chance. So what hits took
    /// over their sending time, which shows the load of all, is a prior for its count, the stronger the more
    /// dispatchers there are.
    fn load(&self, request: &RequestState, all: &[[f64; 2]]) -> impl Fn(&Node, [f64; 2]) -> f64 + '_ {
        let mean = self.row(&request.routing_request).mean_work_s;
        let z = f64::from(self.s.zone_dispatchers.max(1));
        let prior = PRIOR_COUNT * (1.0 - 1.0 / z);
        let (took, work) = all.iter().fold((mean, mean), |sum, n| (sum.0 + n[0], sum.1 + n[1]));
        move |n, [own_took, own_work]| {
            let pace = ((own_took + mean * took / work) / (own_work + mean)).max(1.0);
            (prior + f64::from(n.out)) / (prior / pace + self.can(n) / z)
        }
    }

    /// What hits of each of the location's caches took lately, and their sending time.
    fn paces(&self, now: Nanos) -> Vec<[f64; 2]> {
        self.nodes.caches().map(|n| n.pace.sums(now)).collect()
    }

    /// The location's caches in the order of the copy's hash (highest random weight, by size), with their load.
    fn caches(&self, now: Nanos, request: &RequestState) -> Vec<PlacedCache> {
        let paces = self.paces(now);
        let load = self.load(request, &paces);
        let placed = |(n, pace): (&Node, &[f64; 2])| {
            let key = key_of(share_of(request.routing_request.copy_hash, n.e.hash), counted(n.e.weight));
            PlacedCache { key, node: n.e.node, load: load(n, *pace) }
        };
        let mut caches: Vec<_> = self.nodes.caches().zip(&paces).map(placed).collect();
        // No two nodes are equal here, so that what is unstable is the same, and sooner done.
        caches.sort_unstable_by(|a, b| a.key.total_cmp(&b.key).then(a.node.cmp(&b.node)));
        caches
    }

    /// Whether a fill at this cache would come too late. Where caches are overloaded, hits come first: a fill
    /// takes as much of the cache, and of link and parent besides. Guards against any overload, whatever its
    /// cause; harms an object that only fills would make a hit.
    pub(super) fn too_full(&self, now: Nanos, request: &RequestState, node: NodeId) -> bool {
        let own = self.nodes.own_cache(node);
        let load = own.map_or(1.0, |n| self.load(request, &self.paces(now))(n, n.pace.sums(now)).max(1.0));
        load > 1.0
            && FILL_WEIGHT * request.work_s * load + self.origin.typical_s()
                > IN_TIME * self.target_s(request)
    }

    /// The first in hash order; the next takes over where it is not open, full, cold, or was tried.
    pub(super) fn edge(&mut self, now: Nanos, request: &RequestState) -> Option<NodeId> {
        let mean = self.row(&request.routing_request).mean_work_s;
        let mut caches = self.caches(now, request);
        // Where all fail at times and none is open, those that still answer are better than none.
        let none_open = !caches.iter().any(|c| self.open(now, c.node));
        let answers = |id: NodeId| {
            none_open && self.nodes.get(id).is_some_and(|n| n.started <= now) && self.takes_work(now, id)
        };
        caches.retain(|c| {
            self.may_repeat_at(now, request, c.node) && (self.open(now, c.node) || answers(c.node))
        });
        let tried = |id: NodeId| request.attempts.iter().any(|p| p.left && p.node == id);
        keep_one_cold(&mut caches, |c| self.nodes.is_cold(now, c.node, self.s.cache_cold.warm_after));
        // Where all are as full, another cache would only hold less of what is asked for.
        let full = FULL.max(UNEVEN * caches.iter().map(|c| c.load).sum::<f64>() / caches.len().max(1) as f64);
        let mut fresh = caches.iter().filter(|c| !tried(c.node) && c.load < full);
        let fresh = fresh.find(|c| self.bears(now, c.node, mean)).copied();
        let least = || caches.iter().copied().min_by(|a, b| a.load.total_cmp(&b.load));
        let chosen = fresh.or_else(|| least().filter(|c| self.bears(now, c.node, mean)));
        chosen.filter(|c| self.is_worth_asking(now, request, c.load.max(1.0))).map(|c| c.node)
    }

    /// Whether a cache of this load is asked: a request that it could not serve in time would only slow those begun. The
    /// larger an object, the lower the load at which it is late, so the largest would get next to nothing while the rest of
    /// their content type is served: of those that are only late, a part is asked for at any load.
    fn is_worth_asking(&mut self, now: Nanos, request: &RequestState, load: f64) -> bool {
        let most = |within_s: f64| IN_TIME * within_s / request.work_s;
        if load < most(self.target_s(request)) {
            return true;
        }
        let is_large = request.work_s > LARGE * self.row(&request.routing_request).mean_work_s;
        let only_late = load < most(request.routing_request.deadline.since(now).secs());
        is_large && only_late && self.random.next_f64() < LATE_SHARE
    }

    /// An uncacheable request runs at the origin: straight, or through a parent if that fails.
    pub(super) fn runs_at(&mut self, now: Nanos, request: &RequestState) -> Option<(NodeId, NodeId)> {
        let origin = self.nodes.origin().filter(|origin| self.takes_work(now, *origin))?;
        if request.may_have_run.is_some() || !self.may_fetch(now, request, 4) {
            return None;
        }
        if self.s.direct_to_parents && request.attempts.iter().all(|p| p.node != origin) {
            return Some((origin, origin));
        }
        let parent = self.source(now, request).filter(|id| *id != origin && self.s.direct_to_parents);
        parent.or_else(|| self.edge(now, request)).map(|node| (node, origin))
    }
}
