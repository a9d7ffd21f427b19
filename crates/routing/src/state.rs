//! The state that a dispatcher keeps of requests, objects (the ghost cache) and content types. The decisions on it
//! are in `policy`. Work is counted in seconds of sending at full rate.

use crate::interface::{ContentType, Nanos, NodeId, ObjectId, RoutingRequest};
use crate::pinned_rules::PinnedRules;
use crate::structures::recency_window::RecencyWindow;
use crate::structures::ring_buffer::RingBuffer;

/// A map from small integers to values.
#[derive(Debug, Clone)]
pub struct Slots<T>(Vec<Option<T>>);

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots(Vec::new())
    }
}

impl<T> Slots<T> {
    /// The value at `index`, if there is one.
    pub fn get(&self, index: u32) -> Option<&T> {
        self.0.get(index as usize)?.as_ref()
    }

    /// The value at `index`, if there is one.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut T> {
        self.0.get_mut(index as usize)?.as_mut()
    }

    /// Sets the value at `index`.
    pub fn put(&mut self, index: u32, value: T) {
        let sent_at = index as usize;
        if sent_at >= self.0.len() {
            self.0.resize_with(sent_at + 1, || None);
        }
        self.0[sent_at] = Some(value);
    }

    /// Removes the value at `index`.
    pub fn remove(&mut self, index: u32) {
        if let Some(slot) = self.0.get_mut(index as usize) {
            *slot = None;
        }
    }

    /// All values, in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.0.iter().flatten()
    }

    /// All values, in the order of their indices.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.0.iter_mut().flatten()
    }
}

/// The stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Accepted; no attempt was sent.
    Accepted,
    /// An attempt is in flight or about to be sent.
    Attempting,
    /// Bound to the attempt whose response has begun.
    Streaming,
    /// Answered: served.
    Served,
    /// Answered: not served, the client may retry.
    Rejected,
    /// Answered: not served, and a retry may not be harmless.
    Failed,
    /// The client no longer waits.
    ClientGone,
}

/// An attempt of a request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// The node that it was sent to.
    pub node: NodeId,
    /// The source of a fill; the node itself for a lookup.
    pub source: NodeId,
    /// When it was decided.
    pub sent_at: Nanos,
    /// Its serial number at this dispatcher.
    pub serial: u32,
    /// Whether its end has not been reported yet.
    pub in_flight: bool,
    /// Whether it was sent to the node, as far as is known.
    pub was_sent: bool,
    /// Whether it reached the node, as far as is known.
    pub reached: bool,
    /// Whether the source may serve only a cached copy.
    pub held_only: bool,
    /// Whether it has been in flight for longer than expected.
    pub overdue: bool,
}

impl AttemptState {
    /// An attempt that is sent now.
    pub fn new(node: NodeId, source: NodeId, sent_at: Nanos, serial: u32) -> Self {
        let (in_flight, was_sent, reached, held_only, overdue) = (true, true, true, false, false);
        AttemptState { node, source, sent_at, serial, in_flight, was_sent, reached, held_only, overdue }
    }

    /// Whether it is a lookup, which only a cached copy at the node can answer.
    pub fn is_lookup(&self) -> bool {
        self.node == self.source
    }
}

/// The decision of MC3 on a copy.
#[derive(Debug, Clone, Copy, Default)]
pub struct KeepDecision {
    /// The rank that a hit gives the copy.
    pub hit_rank: u8,
    /// The rank at which a fill keeps the copy; 0 to keep none.
    pub fill_rank: u8,
    /// Hops times request rate, divided by the storage cost.
    pub benefit_ratio: f64,
}

/// What overload control recorded of a request when it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Reservation {
    /// The fingerprint of the request and its retries.
    pub fingerprint: u64,
    /// When the request arrived.
    pub arrived_at: Nanos,
    /// Its priority level.
    pub priority_level: u8,
    /// Whether it was admitted under overload.
    pub admitted_under_overload: bool,
    /// Attempts made for the client's earlier tries of the same request.
    pub earlier_attempts: u8,
    /// Whether overload control tracks its execution: it was admitted, and must not run twice.
    pub tracks_execution: bool,
}

impl Reservation {
    /// The level of a retry that arrived before its retry-after had passed.
    pub const EARLY_RETRY_LEVEL: u8 = u8::MAX;
}

/// A request that is not released yet.
#[derive(Debug, Clone)]
pub struct RequestState {
    /// The request as it arrived.
    pub routing_request: RoutingRequest,
    /// Its stage.
    pub stage: Stage,
    /// Its work in seconds, from its size if known, else estimated.
    pub work_s: f64,
    /// The decision of MC3 on its copy.
    pub keep: KeepDecision,
    /// Its attempts, in order.
    pub attempts: Vec<AttemptState>,
    /// The cache whose lookup was the last attempt and missed, if that is so.
    pub missed_at: Option<NodeId>,
    /// The same cache if it is filling the copy for another request: a second lookup follows once that may have ended.
    pub coalesced_at: Option<NodeId>,
    /// Time and node of the first attempt that has run or may have run.
    pub may_have_run: Option<(Nanos, NodeId)>,
    /// The node that last answered with an error, while no other node has handled the request.
    pub erred_at: Option<NodeId>,
    /// What overload control recorded.
    pub reservation: Reservation,
    /// The rules in force when it was accepted, made stricter by each change since.
    pub pinned: PinnedRules,
}

impl RequestState {
    /// A new request without attempts.
    pub fn new(
        routing_request: RoutingRequest,
        work_s: f64,
        keep: KeepDecision,
        pinned: PinnedRules,
    ) -> Self {
        let (attempts, stage) = (Vec::new(), Stage::Accepted);
        let reservation = Reservation::default();
        let (missed_at, coalesced_at, may_have_run, erred_at) = (None, None, None, None);
        RequestState {
            routing_request,
            stage,
            work_s,
            keep,
            attempts,
            missed_at,
            coalesced_at,
            may_have_run,
            erred_at,
            reservation,
            pinned,
        }
    }
}

/// Histogram of recent kept fills by benefit ratio, with four buckets for each power of two.
#[derive(Debug)]
pub struct KeptFillHistogram(RingBuffer<64>);

impl KeptFillHistogram {
    /// An empty histogram over a sliding window.
    pub fn new(window: Nanos, buckets: usize) -> Self {
        KeptFillHistogram(RingBuffer::new(window, buckets))
    }

    fn bucket_of(ratio: f64) -> usize {
        ((4.0 * ratio.max(1.0).log2()) as usize).min(63)
    }

    /// Counts a fill, if it was kept.
    pub fn add(&mut self, now: Nanos, ratio: f64, kept: bool) {
        self.0.add(now, Self::bucket_of(ratio), f64::from(u8::from(kept)));
    }

    /// The number of kept fills with at least this ratio, and of all.
    pub fn counts_from(&self, now: Nanos, ratio: f64) -> (f64, f64) {
        let counts = self.0.sums(now);
        (counts[Self::bucket_of(ratio)..].iter().sum(), counts.iter().sum())
    }
}

/// An entry of the ghost cache: statistics of a copy, kept without its content.
#[derive(Debug, Clone, Copy, Default)]
pub struct GhostEntry {
    /// The hash of the copy.
    pub copy_hash: u64,
    /// When it was last requested.
    pub last_requested: Nanos,
    /// Estimated time between requests in seconds; `None` after the first.
    pub request_gap_s: Option<f64>,
    /// Hops to the closest cached copy at the last fill.
    pub hops: f64,
    /// Its work in seconds as observed.
    pub work_s: Option<f64>,
}

/// A bounded table of ghost entries that drops the least recently requested one.
#[derive(Debug, Default)]
pub struct GhostCache {
    slots: Slots<GhostEntry>,
    order: RecencyWindow,
}

impl GhostCache {
    /// Whether there is an entry for this object.
    pub fn contains(&self, id: ObjectId) -> bool {
        self.order.contains(id.0)
    }

    /// The entry of an object.
    pub fn get(&self, id: ObjectId) -> Option<&GhostEntry> {
        self.slots.get(id.0).filter(|_| self.contains(id))
    }

    /// The entry of an object, if it still belongs to the copy with this hash.
    pub fn get_mut(&mut self, id: ObjectId, copy_hash: u64) -> Option<&mut GhostEntry> {
        self.slots.get_mut(id.0).filter(|entry| entry.copy_hash == copy_hash)
    }

    /// Sets the entry of an object. Returns the object that was dropped to keep the table within `max_entries`.
    pub fn put(&mut self, id: ObjectId, entry: GhostEntry, max_entries: usize) -> Option<ObjectId> {
        let full = !self.contains(id) && self.order.len() >= max_entries;
        let dropped = full.then(|| self.order.pop_oldest()).flatten();
        self.slots.put(id.0, entry);
        self.order.touch(id.0);
        dropped.map(ObjectId)
    }
}

/// Settings and statistics of a content type.
#[derive(Debug, Clone)]
pub struct ContentTypeStats {
    /// Its settings.
    pub config: ContentType,
    /// Its mean work in seconds.
    pub mean_work_s: f64,
    /// Answers counted in the mean, up to [`MEAN_WINDOW_ANSWERS`].
    answers: f64,
    /// Requests of known size counted in the mean before the first answer.
    requests: f64,
}

/// The mean work of a content type is the plain mean of this many answers, then a moving average with this span.
const MEAN_WINDOW_ANSWERS: f64 = 50.0;

impl ContentTypeStats {
    /// Statistics without data: `mean_work_s` is used until the first request or answer.
    pub fn new(config: &ContentType, mean_work_s: f64) -> Self {
        ContentTypeStats { config: config.clone(), mean_work_s, answers: 0.0, requests: 0.0 }
    }

    /// Counts the work of a request if its size is known. Until the first answer, the mean of these is used.
    pub fn record_request(&mut self, work_s: Option<f64>) {
        if let Some(work_s) = work_s.filter(|_| self.answers == 0.0) {
            self.requests += 1.0;
            self.mean_work_s += (work_s - self.mean_work_s) / self.requests;
        }
    }

    /// Counts the work of an answer if it is known. One of hundreds of dispatchers sees few answers, so the first
    /// ones weigh as much as later ones.
    pub fn record_answer(&mut self, work_s: Option<f64>) {
        let Some(work_s) = work_s else { return };
        self.answers = (self.answers + 1.0).min(MEAN_WINDOW_ANSWERS);
        self.mean_work_s += (work_s - self.mean_work_s) / self.answers;
    }
}
