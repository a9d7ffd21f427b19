//! The state that a dispatcher keeps of each node, and the set of all nodes with an index by role.
//!
//! `policy` updates it from the node list, from ends of attempts and from load reports, and reads it for each
//! decision. Work is counted in seconds of sending at full rate, capacity in concurrent transfers at full rate.

use crate::fleet::slow_start::TokenBucket;
use crate::interface::{LoadReport, Nanos, NodeEntry, NodeId, Readiness, ZoneId};
use crate::listed_nodes::{ListedNodes, Role};
use crate::node_capacity::{CapacityEstimates, NodeCapacity, PARENT_PROBE_SHARE};
use crate::node_lease::NodeLease;
use crate::state::{AttemptState, Slots};
use crate::structures::ring_buffer::RingBuffer;

/// A node: its entry in the node list, and what this dispatcher has observed of it.
#[derive(Debug, Clone)]
pub struct Node {
    /// Its last entry in the node list.
    pub entry: NodeEntry,
    /// Whether it is in the node list and ready.
    pub listed: bool,
    /// When it last started, as listed or, after it may have died, as assumed; zero for long ago.
    pub started: Nanos,
    /// Recent attempts: how many succeeded, and how many failed.
    pub results: RingBuffer<2>,
    /// Duration of its recent hits and their work, in seconds. Load reports count as hits.
    pub hit_pace: RingBuffer<2>,
    /// Evidence of its capacity.
    pub capacity: NodeCapacity,
    /// Failures since the last success.
    pub consecutive_failures: u32,
    /// What this dispatcher may send it while it is cold.
    pub token_bucket: TokenBucket,
    /// Smoothed time to first byte of fills from it, in seconds, and the time of the last sample.
    pub first_byte: (f64, Nanos),
    /// Attempts and fills in flight.
    pub in_flight: u32,
    /// When it last answered an attempt or a probe.
    pub last_answer: Nanos,
    /// Ejected until this time.
    pub ejected_until: Nanos,
    /// Only one attempt may be in flight until one succeeds.
    pub half_open: bool,
    /// When a connection to it last broke or could not be opened.
    pub last_broken: Nanos,
    /// Evidence of whether it accepts work.
    pub lease: NodeLease,
}

impl Node {
    /// A node that is new in the list; `window` is that of its statistics.
    pub fn new(entry: NodeEntry, window: Nanos, buckets: usize) -> Self {
        Node {
            entry,
            listed: entry.readiness == Readiness::Ready,
            started: entry.started,
            results: RingBuffer::new(window, buckets),
            hit_pace: RingBuffer::new(window, buckets),
            token_bucket: TokenBucket::default(),
            capacity: NodeCapacity::default(),
            consecutive_failures: 0,
            first_byte: (0.0, Nanos::ZERO),
            in_flight: 0,
            last_answer: Nanos::ZERO,
            ejected_until: Nanos::ZERO,
            half_open: false,
            last_broken: Nanos::ZERO,
            lease: NodeLease::default(),
        }
    }

    /// Time since its start; `None` if it started long ago.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        (self.started > Nanos::ZERO).then(|| now.since(self.started))
    }

    /// Its smoothed time to first byte in seconds, halved for each `half_life` since the last sample.
    pub fn first_byte_s(&self, now: Nanos, half_life: Nanos) -> f64 {
        self.first_byte.0 * 0.5_f64.powf(now.since(self.first_byte.1).secs() / half_life.secs())
    }

    /// Counts a hit, or a load report that stands for one: its duration and its work.
    pub fn record_pace(&mut self, now: Nanos, duration_s: f64, work_s: f64) {
        self.hit_pace.add(now, 0, duration_s);
        self.hit_pace.add(now, 1, work_s);
    }

    /// Counts the end of an attempt; returns how many succeeded and failed within the window.
    pub fn record_result(&mut self, now: Nanos, worked: bool) -> [f64; 2] {
        self.consecutive_failures = if worked { 0 } else { self.consecutive_failures + 1 };
        self.results.add(now, usize::from(!worked), 1.0);
        self.results.sums(now)
    }

    /// Adds a sample of the time to first byte to the moving average, with weight `part`.
    pub fn record_first_byte(&mut self, now: Nanos, secs: f64, weight: f64, half_life: Nanos) {
        let previous = self.first_byte_s(now, half_life);
        self.first_byte = (previous + weight * (secs - previous), now);
    }

    /// Applies a newer entry. If the node has restarted, its health is reset; the attempts in flight stay counted.
    pub fn update_entry(&mut self, entry: &NodeEntry) {
        if entry.started > self.entry.started {
            (self.ejected_until, self.half_open, self.consecutive_failures) = (Nanos::ZERO, false, 0);
            (self.started, self.first_byte, self.token_bucket) =
                (entry.started, (0.0, Nanos::ZERO), TokenBucket::default());
            self.results.clear();
            self.hit_pace.clear();
        }
        self.listed = entry.readiness == Readiness::Ready;
        self.entry = *entry;
    }
}

/// All nodes that were ever listed and not forgotten. Those that a dispatcher selects from are indexed, so that a
/// decision does not go through the whole fleet.
#[derive(Debug)]
pub struct Nodes {
    slots: Slots<Node>,
    zone: ZoneId,
    parent_kind: Option<u32>,
    origin_kind: Option<u32>,
    by_role: ListedNodes,
    capacities: CapacityEstimates,
    /// When this dispatcher started.
    started_at: Nanos,
}

impl Nodes {
    /// An empty set for a dispatcher of `zone`. `capacities_listed` says whether the node list gives capacities.
    pub fn new(
        zone: ZoneId,
        parent_kind: Option<u32>,
        origin_kind: Option<u32>,
        capacities_listed: bool,
    ) -> Self {
        let (by_role, capacities) = (ListedNodes::default(), CapacityEstimates::new(capacities_listed));
        Nodes {
            slots: Slots::default(),
            zone,
            parent_kind,
            origin_kind,
            by_role,
            capacities,
            started_at: Nanos::ZERO,
        }
    }

    /// Sets when this dispatcher started.
    pub fn set_started_at(&mut self, now: Nanos) {
        self.started_at = now;
    }

    /// Capacity of a node once it is warm, in concurrent transfers. While nothing is known of its kind, a warm node
    /// is assumed to have room for one more transfer than are in flight, at each of the `sharers` dispatchers that
    /// send to it.
    pub fn capacity_of(&self, node: &Node, sharers: u32) -> f64 {
        if !self.capacities.is_known(node.entry.kind) && node.started == Nanos::ZERO {
            return node.entry.weight.max(f64::from((node.in_flight + 1) * sharers.max(1)));
        }
        self.capacities.estimate(&node.capacity, node.entry.kind, node.entry.weight)
    }

    /// Sum of the listed weights of the location's caches, and sum of their estimated capacities.
    pub fn cache_capacities(&self, sharers: u32) -> [f64; 2] {
        self.caches().fold([0.0; 2], |sum, node| {
            [sum[0] + node.entry.weight, sum[1] + self.capacity_of(node, sharers)]
        })
    }

    /// Records a load report. Returns whether the estimate of capacity may have changed; reports of cold nodes are not
    /// used for it.
    pub fn record_load_report(
        &mut self,
        now: Nanos,
        id: NodeId,
        warm_after: Nanos,
        report: LoadReport,
    ) -> bool {
        let cold = self.is_cold(now, id, warm_after);
        self.get_mut(id).into_iter().for_each(|node| node.last_answer = now);
        let node = self.slots.get_mut(id.0).filter(|_| !cold);
        let (Some(node), Some(in_flight), Some(busy)) = (node, report.in_flight, report.busy) else {
            return false;
        };
        let cache_time = if Some(node.entry.kind) == self.parent_kind { None } else { Some(now) };
        self.capacities.record_load_report(
            cache_time,
            &mut node.capacity,
            (node.entry.kind, node.entry.weight),
            in_flight,
            busy,
        );
        true
    }

    /// Records an attempt at a cache: its duration, and the work that the cache sent.
    pub fn record_cache_attempt(&mut self, now: Nanos, duration_s: f64, work_s: f64) {
        self.capacities.record_cache_attempt(now, duration_s, work_s);
    }

    /// Records that a node has sent `work_s`, and the duration if it was a hit. `sharers` is the number of
    /// dispatchers that send to the node; zero if it is cold, as its capacity is not estimated then.
    pub fn record_sent_work(
        &mut self,
        now: Nanos,
        id: NodeId,
        sharers: u32,
        work_s: f64,
        hit_s: Option<f64>,
    ) {
        let Some(node) = self.slots.get_mut(id.0) else { return };
        hit_s.into_iter().for_each(|duration_s| node.record_pace(now, duration_s, work_s));
        if sharers > 0 {
            let secs = [work_s, hit_s.unwrap_or(work_s)];
            self.capacities.record_answer(
                now,
                &mut node.capacity,
                (node.entry.kind, node.entry.weight),
                sharers,
                secs,
            );
        }
    }

    /// A random parent or cache of the location, by two random numbers in [0, 1).
    pub fn random_serving_node(&self, draws: [f64; 2]) -> Option<NodeId> {
        let ids = if draws[0] < PARENT_PROBE_SHARE { self.by_role.parents() } else { self.by_role.caches() };
        ids.get((draws[1] * ids.len() as f64) as usize).copied()
    }

    /// The nodes of these entries that are not known yet, started long ago and serve the location.
    pub fn unknown_warm_nodes(&self, entries: &[NodeEntry]) -> Vec<NodeId> {
        let serves = |entry: &NodeEntry| entry.zone == self.zone || Some(entry.kind) == self.parent_kind;
        let is_unknown = |entry: &&NodeEntry| {
            entry.started == Nanos::ZERO && self.get(entry.node).is_none() && serves(entry)
        };
        entries.iter().filter(is_unknown).map(|entry| entry.node).collect()
    }

    /// The node with this id, if it was ever listed.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.slots.get(id.0)
    }

    /// The node with this id, if it was ever listed.
    pub fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.slots.get_mut(id.0)
    }

    /// Removes a node that has left the list.
    pub fn forget(&mut self, id: NodeId) {
        self.slots.get(id.0).into_iter().for_each(|node| self.by_role.remove(&node.entry));
        self.slots.remove(id.0);
    }

    /// Marks every node as not listed, before a snapshot of the list is applied.
    pub fn clear_list(&mut self) {
        self.slots.iter_mut().for_each(|node| node.listed = false);
        self.by_role.clear();
    }

    /// Corrects the start time of a node to an earlier one. This does not count as a restart.
    pub fn started_earlier(&mut self, id: NodeId, at: Nanos) {
        let Some(node) = self.slots.get_mut(id.0).filter(|node| at < node.entry.started) else { return };
        if node.started == node.entry.started {
            node.started = at;
        }
        node.entry.started = at;
    }

    /// Applies newer entries of the list. Nodes that are not known are created by `new`.
    pub fn update_list(&mut self, entries: &[NodeEntry], new: impl Fn(&NodeEntry) -> Node) {
        for entry in entries {
            let role = self.role(entry);
            match self.slots.get_mut(entry.node.0) {
                Some(node) => {
                    // The index changes only if the node's kind, zone or readiness does.
                    let stays = node.listed && (node.entry.zone, node.entry.kind) == (entry.zone, entry.kind);
                    if !(stays && entry.readiness == Readiness::Ready) {
                        self.by_role.remove(&node.entry);
                    }
                    node.update_entry(entry);
                }
                None => {
                    let mut node = new(entry);
                    if entry.started <= self.started_at {
                        node.token_bucket = TokenBucket::empty(self.started_at);
                    }
                    self.slots.put(entry.node.0, node);
                }
            }
            if entry.readiness == Readiness::Ready {
                self.by_role.insert(entry, role);
            }
        }
    }

    /// The role of a node for this dispatcher.
    fn role(&self, entry: &NodeEntry) -> Role {
        match Some(entry.kind) {
            kind if kind == self.parent_kind => Role::Parent,
            kind if kind == self.origin_kind => Role::Origin,
            _ if entry.zone == self.zone => Role::OwnCache,
            _ => Role::OtherLocationCache,
        }
    }

    /// The listed caches of the location.
    pub fn caches(&self) -> impl Iterator<Item = &Node> {
        self.by_role.caches().iter().filter_map(|id| self.slots.get(id.0))
    }

    /// The home caches of a copy in other locations, in the copy's order, without cold ones.
    pub fn homes_in_other_locations(&self, copy_hash: u64, now: Nanos, warm_after: Nanos) -> Vec<NodeId> {
        let (mut homes, _) = self.by_role.homes(copy_hash);
        homes.retain(|home| home.zone != self.zone && !self.is_cold(now, home.node, warm_after));
        homes.into_iter().map(|home| home.node).collect()
    }

    /// The rank of the location in a copy's order of locations, scaled to [0, 1). `draw`, a random number in [0, 1),
    /// is added to the rank, so that shares between two ranks are kept by chance.
    pub fn location_rank(&self, copy_hash: u64, draw: f64) -> f64 {
        let (homes, _) = self.by_role.homes(copy_hash);
        let own = homes.iter().position(|home| home.zone == self.zone).unwrap_or_default();
        (own as f64 + draw) / homes.len().max(1) as f64
    }

    /// The node with this id if it is a listed cache of the location.
    pub fn own_cache(&self, id: NodeId) -> Option<&Node> {
        self.get(id).filter(|node| node.listed && self.role(&node.entry) == Role::OwnCache)
    }

    /// The listed nodes that serve the location: its caches, the parents and the origin.
    pub fn serving(&self) -> Vec<NodeId> {
        let origin = self.by_role.origin();
        self.by_role.caches().iter().chain(self.by_role.parents()).copied().chain(origin).collect()
    }

    /// The number of nodes that serve the location.
    pub fn serving_count(&self) -> usize {
        self.by_role.caches().len()
            + self.by_role.parents().len()
            + usize::from(self.by_role.origin().is_some())
    }

    /// The listed parents.
    pub fn parents(&self) -> impl Iterator<Item = &Node> {
        self.by_role.parents().iter().filter_map(|id| self.slots.get(id.0))
    }

    /// The origin, if it is listed.
    pub fn origin(&self) -> Option<NodeId> {
        self.by_role.origin()
    }

    /// Whether a node started less than `warm_after` ago.
    pub fn is_cold(&self, now: Nanos, id: NodeId, warm_after: Nanos) -> bool {
        self.get(id).and_then(|node| node.age(now)).is_some_and(|age| age < warm_after)
    }

    /// Adds `by` to the attempts in flight at the node of an attempt and at its source.
    pub fn count_in_flight(&mut self, sent: &AttemptState, by: i32) {
        for id in [Some(sent.node), (!sent.is_lookup()).then_some(sent.source)].into_iter().flatten() {
            self.get_mut(id)
                .into_iter()
                .for_each(|node| node.in_flight = node.in_flight.saturating_add_signed(by));
        }
    }

    /// Records that a connection to a node broke or could not be opened. Returns whether this is the first report at
    /// `now`.
    pub fn record_break(&mut self, now: Nanos, id: NodeId) -> bool {
        self.get_mut(id).is_some_and(|node| std::mem::replace(&mut node.last_broken, now) != now)
    }

    /// Whether this node is a parent.
    pub fn is_parent(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|node| Some(node.entry.kind) == self.parent_kind)
    }

    /// Whether an attempt is a fill from a parent or the origin.
    pub fn is_parent_fill(&self, sent: &AttemptState) -> bool {
        !sent.is_lookup() && (self.is_parent(sent.source) || self.is_origin(sent.source))
    }

    /// Whether this node is the origin.
    pub fn is_origin(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|node| Some(node.entry.kind) == self.origin_kind)
    }
}
