//! Estimates of node capacity, in concurrent transfers at full rate: the listed weight, corrected by observations. No
//! I/O; time comes with each call. See docs/sizes.md.
//!
//! A node list may give no capacities, or approximate ones. Load reports show the capacity of a node (requests in
//! flight divided by the busy share). Without them, the rate of work does: the work a second that a node sends at
//! full rate is less than its capacity; what it sends while its answers are slower than that is its capacity. Both
//! are kept as a sum of work over a sum of busy time, so that observations at low load weigh little. The observations
//! of all nodes of a kind are used for a node without any, so a cold node is assumed to have the capacity that is
//! typical of its kind.

use crate::interface::Nanos;
use crate::structures::ring_buffer::RingBuffer;

/// Interval between the load probes of a dispatcher if capacities are not listed: 500 ms. Each goes to a random node.
/// A fleet of 25 nodes then gets about one probe for fifty requests.
pub const LOAD_PROBE_INTERVAL: Nanos = Nanos(500_000_000);
/// Share of the load probes that go to parents.
pub(crate) const PARENT_PROBE_SHARE: f64 = 0.25;
/// Weight of a listed capacity, in seconds of observation of a fully busy node.
const LISTED_WEIGHT_S: f64 = 10.0;
/// Weight of the common default if capacities are not listed, in seconds of observation.
const UNLISTED_WEIGHT_S: f64 = 0.02;
/// Most seconds of observation that are kept of a kind; beyond that, older ones fade.
const KIND_MAX_S: f64 = 100.0;
/// The same bound for a node.
const NODE_MAX_S: f64 = 20.0;
/// Weight of the observations of a kind in the estimate for one of its nodes, in seconds of its own observations.
const KIND_WEIGHT_S: f64 = 1.0;
/// Load reports with a busy share below this are not used, as a few requests more or fewer change the result a lot.
const MIN_BUSY_SHARE: f64 = 0.1;
/// Load reports with a busy share from this on are not used, as requests that wait are in flight too.
const MAX_BUSY_SHARE: f64 = 0.9;
/// The answers of a node are evaluated over this window: 2 s.
const ANSWER_WINDOW: Nanos = Nanos(2_000_000_000);
const WINDOW_BUCKETS: usize = 4;
/// A node whose answers take more than this multiple of their work is saturated.
const SATURATED_TIME_RATIO: f64 = 1.3;
/// A node that is not saturated is assumed to have this multiple of its rate of work as capacity.
const UNSATURATED_CAPACITY_FACTOR: f64 = 1.1;
/// Weight of one evaluation of answers, in seconds of observation of a fully busy node.
const SAMPLE_WEIGHT_S: f64 = 0.5;
/// Least number of answers in an evaluation.
const MIN_ANSWERS: f64 = 6.0;
/// The same if capacities are listed.
const MIN_ANSWERS_LISTED: f64 = 16.0;
/// If capacities are listed, an evaluation within this factor of the estimate is not used.
const LISTED_TOLERANCE: f64 = 1.5;

/// Work observed and the busy time in which it was done, both in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct ObservedWork {
    work: f64,
    busy: f64,
}

impl ObservedWork {
    fn add(&mut self, work: f64, busy: f64, max_busy_s: f64) {
        let fade = max_busy_s / (self.busy + busy).max(max_busy_s);
        (self.work, self.busy) = ((self.work + work) * fade, (self.busy + busy) * fade);
    }
}

/// Observations of the capacity of one node.
#[derive(Debug, Clone, Default)]
pub struct NodeCapacity {
    observed: ObservedWork,
    /// Answers to own attempts since the last evaluation: work and duration in seconds, and number.
    answers: [f64; 3],
    evaluated_at: Nanos,
}

/// Capacity estimates: observations of the nodes of each kind, in relation to the listed weight.
#[derive(Debug, Clone)]
pub struct CapacityEstimates {
    listed: bool,
    kinds: Vec<ObservedWork>,
    /// Own attempts at caches: their duration, and the part of it in which the cache was sending, in seconds.
    cache_attempts: RingBuffer<2>,
}

impl CapacityEstimates {
    /// Estimates without observations. `listed` says whether the node list gives capacities; else all weights are the
    /// same.
    pub fn new(listed: bool) -> Self {
        CapacityEstimates {
            listed,
            kinds: Vec::new(),
            cache_attempts: RingBuffer::new(ANSWER_WINDOW, WINDOW_BUCKETS),
        }
    }

    /// Observed capacity of the nodes of a kind in relation to their listed weight.
    fn kind_ratio(&self, kind: u32) -> f64 {
        let prior = if self.listed { LISTED_WEIGHT_S } else { UNLISTED_WEIGHT_S };
        let observed = self.kinds.get(kind as usize).copied().unwrap_or_default();
        (observed.work + prior) / (observed.busy + prior)
    }

    /// Whether capacities are listed, or any was observed for this kind.
    pub fn is_known(&self, kind: u32) -> bool {
        self.listed || self.kinds.get(kind as usize).is_some_and(|observed| observed.busy > 0.0)
    }

    /// Capacity of a node of this kind and listed weight once it is warm, in concurrent transfers.
    pub fn estimate(&self, node_capacity: &NodeCapacity, kind: u32, listed: f64) -> f64 {
        let prior = if self.listed { LISTED_WEIGHT_S } else { KIND_WEIGHT_S };
        (node_capacity.observed.work + prior * listed * self.kind_ratio(kind))
            / (node_capacity.observed.busy + prior)
    }

    /// Adds an observation to the node's and to its kind's.
    fn observe(&mut self, node_capacity: &mut NodeCapacity, kind: u32, listed: f64, work: f64, busy: f64) {
        node_capacity.observed.add(work, busy, NODE_MAX_S);
        if self.kinds.len() <= kind as usize {
            self.kinds.resize(kind as usize + 1, ObservedWork::default());
        }
        self.kinds[kind as usize].add(work / listed.max(1e-6), busy, KIND_MAX_S);
    }

    /// Records an own attempt at a cache: its duration, and the work that the cache sent.
    pub fn record_cache_attempt(&mut self, now: Nanos, duration_s: f64, work_s: f64) {
        self.cache_attempts.add(now, 0, duration_s);
        self.cache_attempts.add(now, 1, work_s.min(duration_s));
    }

    /// Records the load report of a warm node: requests in flight and busy share; `node` is its kind and listed
    /// weight. At a cache (`cache` is the time, `None` for parents), requests that wait for a source, or are slowed
    /// by it, keep less of it busy; the share of sending time in own attempts corrects for that.
    pub fn record_load_report(
        &mut self,
        cache: Option<Nanos>,
        node_capacity: &mut NodeCapacity,
        node: (u32, f64),
        in_flight: f64,
        busy: f64,
    ) {
        let [duration_s, sending_s] = cache.map_or([0.0; 2], |now| self.cache_attempts.sums(now));
        let sending_share = if duration_s > 0.0 { sending_s / duration_s } else { 1.0 };
        if (MIN_BUSY_SHARE..MAX_BUSY_SHARE).contains(&busy) && in_flight >= 1.0 {
            self.observe(node_capacity, node.0, node.1, in_flight * sending_share, busy);
        }
    }

    /// Records an answer of a warm node: its work and its duration in seconds. `sharers` is the number of dispatchers
    /// that send to the node; each sees only its own answers.
    pub fn record_answer(
        &mut self,
        now: Nanos,
        node_capacity: &mut NodeCapacity,
        node: (u32, f64),
        sharers: u32,
        [work_s, duration_s]: [f64; 2],
    ) {
        node_capacity
            .answers
            .iter_mut()
            .zip([work_s, duration_s, 1.0])
            .for_each(|(sum, sample)| *sum += sample);
        let elapsed = now.since(node_capacity.evaluated_at);
        if elapsed < ANSWER_WINDOW {
            return;
        }
        let [work, duration_s, count] = std::mem::take(&mut node_capacity.answers);
        node_capacity.evaluated_at = now;
        if count < if self.listed { MIN_ANSWERS_LISTED } else { MIN_ANSWERS } {
            return;
        }
        let rate = work / elapsed.secs() * f64::from(sharers.max(1));
        let is_saturated = duration_s > SATURATED_TIME_RATIO * work;
        let capacity = if is_saturated { rate } else { UNSATURATED_CAPACITY_FACTOR * rate };
        let estimate = self.estimate(node_capacity, node.0, node.1);
        let matches_listed =
            self.listed && capacity < estimate * LISTED_TOLERANCE && estimate < capacity * LISTED_TOLERANCE;
        if !matches_listed && (is_saturated || capacity > estimate) {
            self.observe(node_capacity, node.0, node.1, capacity * SAMPLE_WEIGHT_S, SAMPLE_WEIGHT_S);
        }
    }
}
