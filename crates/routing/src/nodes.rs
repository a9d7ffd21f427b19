//! What a dispatcher keeps of its nodes. State only: nothing here decides.

use crate::fleet::slow_start::TokenBucket;
use crate::interface::{LoadReport, Nanos, NodeEntry, NodeId, Readiness, ZoneId};
use crate::listed_nodes::{Listed, Role};
use crate::node_capacity::{PROBE_PARENTS, Size, Sizes};
use crate::node_lease::NodeLease;
use crate::state::{Sent, Slots};
use crate::structures::ring_buffer::RingBuffer;

/// A node and what was seen of it.
#[derive(Debug, Clone)]
pub struct Node {
    /// As last listed.
    pub e: NodeEntry,
    /// Listed as ready.
    pub listed: bool,
    /// When it last started, told or judged; zero for long ago.
    pub started: Nanos,
    /// RecencyWindow attempts that worked and that failed.
    pub ended: RingBuffer<2>,
    /// What its recent hits took, and their sending time; load reports count as hits.
    pub pace: RingBuffer<2>,
    /// What it has shown that it can do.
    pub size: Size,
    /// Failures since anything worked.
    pub in_row: u32,
    /// The own part of it while it is cold.
    pub bucket: TokenBucket,
    /// Smoothed time to first byte of its fills, and when it was last seen.
    pub first_byte: (f64, Nanos),
    /// Attempts and fills out.
    pub out: u32,
    /// When it last answered anything.
    pub heard: Nanos,
    /// Set aside until then.
    pub aside_until: Nanos,
    /// To be tried with one attempt first.
    pub on_trial: bool,
    /// When a connection to it last broke, or could not be made.
    pub broke: Nanos,
    /// What it has shown of whether it takes work.
    pub lease: NodeLease,
}

impl Node {
    /// A node just listed, judged over a window.
    pub fn new(e: NodeEntry, judged_over: Nanos, buckets: usize) -> Self {
        Node {
            e,
            listed: e.readiness == Readiness::Ready,
            started: e.started,
            ended: RingBuffer::new(judged_over, buckets),
            pace: RingBuffer::new(judged_over, buckets),
            bucket: TokenBucket::default(),
            size: Size::default(),
            in_row: 0,
            first_byte: (0.0, Nanos::ZERO),
            out: 0,
            heard: Nanos::ZERO,
            aside_until: Nanos::ZERO,
            on_trial: false,
            broke: Nanos::ZERO,
            lease: NodeLease::default(),
        }
    }

    /// The time since it started, if that was lately enough to be told.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        (self.started > Nanos::ZERO).then(|| now.since(self.started))
    }

    /// Its time to first byte, halved for every `fades` since it was seen.
    pub fn first_byte_s(&self, now: Nanos, fades: Nanos) -> f64 {
        self.first_byte.0 * 0.5_f64.powf(now.since(self.first_byte.1).secs() / fades.secs())
    }

    /// Counts a hit, or what stands for one: what it took, and its sending time.
    pub fn saw_pace(&mut self, now: Nanos, took_s: f64, work_s: f64) {
        self.pace.add(now, 0, took_s);
        self.pace.add(now, 1, work_s);
    }

    /// Counts the end of an attempt; returns how many worked and failed lately.
    pub fn saw_end(&mut self, now: Nanos, worked: bool) -> [f64; 2] {
        self.in_row = if worked { 0 } else { self.in_row + 1 };
        self.ended.add(now, usize::from(!worked), 1.0);
        self.ended.sums(now)
    }

    /// Moves the smoothed time to first byte by a part of the way to a time just seen.
    pub fn saw_first_byte(&mut self, now: Nanos, secs: f64, part: f64, fades: Nanos) {
        let old = self.first_byte_s(now, fades);
        self.first_byte = (old + part * (secs - old), now);
    }

    /// Takes a newer line of the list; a new start makes a new node of it, with nothing known but what is out.
    pub fn relist(&mut self, e: &NodeEntry) {
        if e.started > self.e.started {
            (self.aside_until, self.on_trial, self.in_row) = (Nanos::ZERO, false, 0);
            (self.started, self.first_byte, self.bucket) =
                (e.started, (0.0, Nanos::ZERO), TokenBucket::default());
            self.ended.clear();
            self.pace.clear();
        }
        self.listed = e.readiness == Readiness::Ready;
        self.e = *e;
    }
}

/// The nodes ever listed, with those that matter to a dispatcher at hand, whatever the size of the fleet.
#[derive(Debug)]
pub struct Nodes {
    slots: Slots<Node>,
    zone: ZoneId,
    parent_kind: Option<u32>,
    origin_kind: Option<u32>,
    in_use: Listed,
    sizes: Sizes,
    /// When this dispatcher began.
    began: Nanos,
}

impl Nodes {
    /// No nodes yet, for a dispatcher of `zone`; whose list tells their sizes, or does not.
    pub fn new(zone: ZoneId, parent_kind: Option<u32>, origin_kind: Option<u32>, sizes_told: bool) -> Self {
        let (in_use, sizes) = (Listed::default(), Sizes::new(sizes_told));
        Nodes { slots: Slots::default(), zone, parent_kind, origin_kind, in_use, sizes, began: Nanos::ZERO }
    }

    /// This dispatcher begins.
    pub fn begin(&mut self, now: Nanos) {
        self.began = now;
    }

    /// What a node can do once it is warm, in transfers at once. Until its like have shown anything, a warm one is
    /// taken to be able to do a little more than it is doing for so many as this.
    pub fn can(&self, n: &Node, sharers: u32) -> f64 {
        if !self.sizes.known(n.e.kind) && n.started == Nanos::ZERO {
            return n.e.weight.max(f64::from((n.out + 1) * sharers.max(1)));
        }
        self.sizes.of(&n.size, n.e.kind, n.e.weight)
    }

    /// What the listed caches of the own location were listed with, and what they can do.
    pub fn caches_can(&self, sharers: u32) -> [f64; 2] {
        self.caches().fold([0.0; 2], |sum, n| [sum[0] + n.e.weight, sum[1] + self.can(n, sharers)])
    }

    /// A node that is warm so long after its start has said what it is doing: tells whether that may show its size.
    pub fn reported(&mut self, now: Nanos, id: NodeId, warm_after: Nanos, report: LoadReport) -> bool {
        let cold = self.is_cold(now, id, warm_after);
        self.get_mut(id).into_iter().for_each(|n| n.heard = now);
        let node = self.slots.get_mut(id.0).filter(|_| !cold);
        let (Some(n), Some(in_hand), Some(busy)) = (node, report.in_flight, report.busy) else {
            return false;
        };
        let sends = if Some(n.e.kind) == self.parent_kind { None } else { Some(now) };
        self.sizes.reported(sends, &mut n.size, (n.e.kind, n.e.weight), in_hand, busy);
        true
    }

    /// An own attempt has ended at a cache after so long, in which so much was sent.
    pub fn held(&mut self, now: Nanos, took_s: f64, work_s: f64) {
        self.sizes.held(now, took_s, work_s);
    }

    /// A node has sent what takes so long, and took so long for it if it was a hit; so many dispatchers ask that node,
    /// none if it is cold.
    pub fn sent(&mut self, now: Nanos, id: NodeId, sharers: u32, work_s: f64, hit_s: Option<f64>) {
        let Some(n) = self.slots.get_mut(id.0) else { return };
        hit_s.into_iter().for_each(|took_s| n.saw_pace(now, took_s, work_s));
        if sharers > 0 {
            let secs = [work_s, hit_s.unwrap_or(work_s)];
            self.sizes.answered(now, &mut n.size, (n.e.kind, n.e.weight), sharers, secs);
        }
    }

    /// A node of those that serve the own location, as two draws in [0, 1) have it.
    pub fn drawn(&self, draws: [f64; 2]) -> Option<NodeId> {
        let of = if draws[0] < PROBE_PARENTS { self.in_use.parents() } else { self.in_use.caches() };
        of.get((draws[1] * of.len() as f64) as usize).copied()
    }

    /// Those of the lines that are of nodes not met before, long up, which serve the own location.
    pub fn unmet(&self, entries: &[NodeEntry]) -> Vec<NodeId> {
        let serves = |e: &NodeEntry| e.zone == self.zone || Some(e.kind) == self.parent_kind;
        let unmet = |e: &&NodeEntry| e.started == Nanos::ZERO && self.get(e.node).is_none() && serves(e);
        entries.iter().filter(unmet).map(|e| e.node).collect()
    }

    /// A node ever listed.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.slots.get(id.0)
    }

    /// A node ever listed.
    pub fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.slots.get_mut(id.0)
    }

    /// Lets go of a node that has left the list.
    pub fn forget(&mut self, id: NodeId) {
        self.slots.get(id.0).into_iter().for_each(|n| self.in_use.remove(&n.e));
        self.slots.remove(id.0);
    }

    /// Takes every node off the list.
    pub fn unlist_all(&mut self) {
        self.slots.iter_mut().for_each(|n| n.listed = false);
        self.in_use.clear();
    }

    /// A node started earlier than was believed when it was listed: what is told of it is the same start.
    pub fn started_earlier(&mut self, id: NodeId, at: Nanos) {
        let Some(n) = self.slots.get_mut(id.0).filter(|n| at < n.e.started) else { return };
        if n.started == n.e.started {
            n.started = at;
        }
        n.e.started = at;
    }

    /// Takes newer lines of the list, with what is `new` made of those not known, and sorts the listed nodes.
    pub fn relist(&mut self, entries: &[NodeEntry], new: impl Fn(&NodeEntry) -> Node) {
        for e in entries {
            let role = self.role(e);
            match self.slots.get_mut(e.node.0) {
                Some(n) => {
                    // A line whose node is what and where it was moves no other.
                    let stays = n.listed && (n.e.zone, n.e.kind) == (e.zone, e.kind);
                    if !(stays && e.readiness == Readiness::Ready) {
                        self.in_use.remove(&n.e);
                    }
                    n.relist(e);
                }
                None => {
                    let mut node = new(e);
                    if e.started <= self.began {
                        node.bucket = TokenBucket::empty(self.began);
                    }
                    self.slots.put(e.node.0, node);
                }
            }
            if e.readiness == Readiness::Ready {
                self.in_use.insert(e, role);
            }
        }
    }

    /// What a node of this line is to this dispatcher.
    fn role(&self, e: &NodeEntry) -> Role {
        match Some(e.kind) {
            kind if kind == self.parent_kind => Role::Parent,
            kind if kind == self.origin_kind => Role::Origin,
            _ if e.zone == self.zone => Role::OwnCache,
            _ => Role::FarCache,
        }
    }

    /// The listed caches of the own location.
    pub fn caches(&self) -> impl Iterator<Item = &Node> {
        self.in_use.caches().iter().filter_map(|id| self.slots.get(id.0))
    }

    /// The homes of a copy in other locations, where they are warm, in their order.
    pub fn homes_away(&self, copy_hash: u64, now: Nanos, warm_after: Nanos) -> Vec<NodeId> {
        let (mut homes, _) = self.in_use.homes(copy_hash);
        homes.retain(|home| home.zone != self.zone && !self.is_cold(now, home.node, warm_after));
        homes.into_iter().map(|home| home.node).collect()
    }

    /// Where the own location stands in a copy's order of locations, in [0, 1), and within its place as a draw in [0, 1)
    /// has it.
    pub fn turn(&self, copy_hash: u64, draw: f64) -> f64 {
        let (homes, _) = self.in_use.homes(copy_hash);
        let own = homes.iter().position(|home| home.zone == self.zone).unwrap_or_default();
        (own as f64 + draw) / homes.len().max(1) as f64
    }

    /// A listed cache of the own location.
    pub fn own_cache(&self, id: NodeId) -> Option<&Node> {
        self.get(id).filter(|n| n.listed && self.role(&n.e) == Role::OwnCache)
    }

    /// The listed nodes that serve the own location: its caches, the parents and the origin.
    pub fn serving(&self) -> Vec<NodeId> {
        let origin = self.in_use.origin();
        self.in_use.caches().iter().chain(self.in_use.parents()).copied().chain(origin).collect()
    }

    /// How many those are.
    pub fn serving_count(&self) -> usize {
        self.in_use.caches().len() + self.in_use.parents().len() + usize::from(self.in_use.origin().is_some())
    }

    /// The listed parents.
    pub fn parents(&self) -> impl Iterator<Item = &Node> {
        self.in_use.parents().iter().filter_map(|id| self.slots.get(id.0))
    }

    /// The origin, if it is listed.
    pub fn origin(&self) -> Option<NodeId> {
        self.in_use.origin()
    }

    /// Whether a node started less than `warm_after` ago.
    pub fn is_cold(&self, now: Nanos, id: NodeId, warm_after: Nanos) -> bool {
        self.get(id).and_then(|n| n.age(now)).is_some_and(|age| age < warm_after)
    }

    /// Counts an attempt in or out at the nodes that it puts work on.
    pub fn count_out(&mut self, sent: &Sent, by: i32) {
        for id in [Some(sent.node), (!sent.is_look()).then_some(sent.source)].into_iter().flatten() {
            self.get_mut(id).into_iter().for_each(|n| n.out = n.out.saturating_add_signed(by));
        }
    }

    /// Notes that a connection to a node broke, or could not be made; tells whether that is news of this moment.
    pub fn saw_break(&mut self, now: Nanos, id: NodeId) -> bool {
        self.get_mut(id).is_some_and(|n| std::mem::replace(&mut n.broke, now) != now)
    }

    /// Whether this is a parent.
    pub fn is_parent(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|n| Some(n.e.kind) == self.parent_kind)
    }

    /// Whether an attempt is a fill from a parent or the origin.
    pub fn from_above(&self, sent: &Sent) -> bool {
        !sent.is_look() && (self.is_parent(sent.source) || self.is_origin(sent.source))
    }

    /// Whether this is the origin.
    pub fn is_origin(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|n| Some(n.e.kind) == self.origin_kind)
    }
}
