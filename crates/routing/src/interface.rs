//! The types that pass between an adapter and [`crate::policy::Dispatcher`].
//!
//! An adapter maps the ids of its protocol to the small indices here, calls the methods of the dispatcher for each
//! event, and implements [`Actions`], through which the dispatcher acts. There are no decisions in this file.
//!
//! The work of a request is the time that sending its response takes at full rate, in seconds.

pub use crate::retry_safety::{DedupScope, RetrySafety, UNKNOWN_ID};

/// A time of the adapter's clock, or a duration, in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Nanos(pub u64);

impl Nanos {
    /// A duration of zero, or the start of the clock.
    pub const ZERO: Nanos = Nanos(0);

    /// Converts from seconds. Negative values and NaN become zero.
    pub fn from_secs(secs: f64) -> Nanos {
        Nanos((secs * 1e9).round() as u64)
    }

    /// Converts to seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// The time that is `span` after this one.
    pub fn after(self, span: Nanos) -> Nanos {
        Nanos(self.0.saturating_add(span.0))
    }

    /// The duration from `earlier` to this time; zero if `earlier` is later.
    pub fn since(self, earlier: Nanos) -> Nanos {
        Nanos(self.0.saturating_sub(earlier.0))
    }
}

/// A request: a slot that the adapter may reuse after [`Actions::release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestId(pub u32);

/// A cache, parent or origin: a slot that the adapter may reuse after [`crate::policy::Dispatcher::node_forgotten`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// A cacheable object, or a part of one if objects have parts: a slot that the adapter may reuse after
/// [`Actions::release_object`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ObjectId(pub u32);

/// A zone: a location with caches, or a hub with parents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ZoneId(pub u32);

/// A content type: an index into [`Settings::content_types`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TypeId(pub u32);

/// A hash of a name that is the same at every dispatcher (64-bit FNV-1a with a final mix).
pub fn stable_hash(name: &[u8]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Spreads the bits of `x` over all 64 (the finisher of SplitMix64).
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The settings of a content type.
#[derive(Debug, Clone, PartialEq)]
pub struct ContentType {
    /// Latency target: an answer within this time, plus the stretch, earns the whole benefit.
    pub latency_target: Nanos,
    /// Added to the latency target, as a multiple of the request's work.
    pub latency_target_stretch: f64,
    /// Whether requests may run again.
    pub retry_safety: RetrySafety,
    /// How long a copy is fresh; `None` for no limit.
    pub fresh_for: Option<Nanos>,
    /// Whether requests run at the origin and leave no copy.
    pub uncacheable: bool,
    /// The value of one answer within the latency target.
    pub benefit: f64,
}

/// Cold start of the nodes of a tier. Capacity rises from `share` to all of it while the node warms up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Share of its capacity that a node has when it starts, at least.
    pub share: f64,
    /// Time after which a node is warm at the latest.
    pub warm_after: Nanos,
    /// A node fails when it is sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
}

/// Settings of overload control, which handles client retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverloadSettings {
    /// How long a failed try is remembered: as long as clients may retry.
    pub remember_for: Nanos,
    /// The most failed tries that are remembered.
    pub max_remembered: usize,
    /// Number of slots that the longest retry-after is divided into.
    pub slots: usize,
    /// Share of the capacity that is not reserved for expected retries, in [0, 1).
    pub unreserved_share: f64,
    /// Whether clients mark retries; else a retry is recognised by the failed tries that are remembered.
    pub clients_mark_retries: bool,
    /// Whether a marked retry of a request that must not run twice counts as one that may have run, if its first try
    /// is not known here.
    pub unknown_retry_may_have_run: bool,
    /// The most attempts for one request and its retries.
    pub max_attempts: u32,
}

/// The settings of a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Seed of the random numbers.
    pub seed: u64,
    /// The dispatcher's own location.
    pub zone: ZoneId,
    /// Number of all dispatchers.
    pub dispatchers: u32,
    /// Number of dispatchers of the own location.
    pub zone_dispatchers: u32,
    /// The content types.
    pub content_types: Vec<ContentType>,
    /// The node kind of parents, if there are any.
    pub parent_kind: Option<u32>,
    /// The node kind of the origin, if there is one.
    pub origin_kind: Option<u32>,
    /// Whether attempts may be sent to parents and to the origin directly.
    pub direct_to_parents: bool,
    /// Whether a cache coalesces fills: a request can join a fill that is in flight.
    pub coalesces_fills: bool,
    /// Whether answers report if a fill came from a copy at the parent or from the origin.
    pub fill_source_reported: bool,
    /// Whether a cache may fill from the caches of other locations.
    pub fill_from_other_locations: bool,
    /// Full rate of one answer in KB a second; 0 if not known.
    pub client_kb_per_s: f64,
    /// Capacity of the own location's fill link in KB a second; 0 if not known.
    pub link_kb_per_s: f64,
    /// How long a purged copy may stay in caches.
    pub purge_done: Nanos,
    /// Propagation bound of purges: from this time on, no purged copy may be served.
    pub purge_notice: Nanos,
    /// Grace period of drains: within it, sending to a node that drains or is gone must end.
    pub drain_grace: Nanos,
    /// Cold start of caches.
    pub cache_cold: ColdStart,
    /// Cold start of parents.
    pub parent_cold: ColdStart,
    /// Window of rule 4: a cold node fails when it is sent too much for this long.
    pub overload_window: Nanos,
    /// The origin stops when it is sent this multiple of its capacity; 0 for never.
    pub origin_stop_multiple: f64,
    /// Whether the node list is delivered only to subscribers.
    pub list_needs_subscription: bool,
    /// Whether attempts can be cancelled.
    pub cancel: bool,
    /// Whether rejections carry a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that clients follow.
    pub max_retry_after: Nanos,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// Whether the node list gives capacities, exact or approximate; else every node has the same weight.
    pub capacities_listed: bool,
    /// Whether nodes may be probed for their load.
    pub load_probes: bool,
    /// Whether nodes may be probed for readiness, that is, whether they accept work.
    pub readiness_probes: bool,
    /// Overload control; `None` if there is none.
    pub overload_control: Option<OverloadSettings>,
}

/// The readiness of a node in the node list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts work.
    Ready,
    /// Finishes its work and accepts no more.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the node list.
#[derive(Debug, Clone, Copy)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// The stable hash of its name.
    pub hash: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell, for deduped content types. [`UNKNOWN_ID`] if it is not known; the same holds for the zone.
    pub cell: u32,
    /// Its readiness.
    pub readiness: Readiness,
    /// Its weight: its capacity in relation to other nodes.
    pub weight: f64,
    /// When it last started; zero for long ago.
    pub started: Nanos,
}

/// A request that the dispatcher has accepted.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest {
    /// Its slot.
    pub request_id: RequestId,
    /// Its content type.
    pub content_type: TypeId,
    /// The slot of the object that it requests.
    pub object: ObjectId,
    /// The stable hash of the object's name and part, which a cache keeps as one copy.
    pub copy_hash: u64,
    /// The stable hash of the object's name without the part.
    pub object_hash: u64,
    /// The group of the object, which a purge may name.
    pub group: Option<u64>,
    /// Deadline: when the client stops waiting for this try.
    pub deadline: Nanos,
    /// Whether it is a client's retry of a request that was not served, if clients mark retries.
    pub is_retry: bool,
    /// The size of the answer in KB, if known.
    pub size_kb: Option<f64>,
    /// A hash that identifies the client over all its connections; zero if not known.
    pub client: u64,
    /// A hash of the request body; zero for none.
    pub body_hash: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The node answered with an error; it may have run.
    Failed,
    /// Refused by the node or its source; it never ran.
    Refused,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent; it never ran.
    NotSent,
    /// No suitable copy is cached; it never ran.
    Missed,
}

/// What an answer reports about how it was produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remark {
    /// Nothing.
    None,
    /// Found at the node.
    Hit,
    /// Filled from the source's own copy.
    FilledFromCopy,
    /// Filled, and the origin was asked.
    FilledFromOrigin,
    /// Joined a fill that is in flight.
    Joined,
    /// A stale copy.
    Aged,
    /// The source refused.
    SourceRefused,
    /// The source was unreachable, closed the connection or was too slow.
    SourceLost,
    /// The source has no copy.
    SourceHasNone,
    /// The node has its most fills in flight.
    NoFillPlace,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEnd {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub duration: Nanos,
    /// Whether the request needs no further answer.
    pub completes_request: bool,
    /// Time to the source's first byte or to the failure of the fill, if reported.
    pub first_byte_wait: Option<Nanos>,
    /// How the answer was produced, if reported.
    pub remark: Remark,
    /// The node's load report, if answers carry one.
    pub report: LoadReport,
}

/// A node's report of its load, which is approximate and may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Requests in flight at the node.
    pub in_flight: Option<f64>,
    /// The busy share of the node's capacity, 0 to 1.
    pub busy: Option<f64>,
}

/// An attempt that the dispatcher wants to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The node that it is sent to.
    pub node: NodeId,
    /// The source of a fill if the node has no copy; the node itself for a lookup.
    pub source: NodeId,
    /// Time after which it is given up; `None` for the client's deadline.
    pub time_limit: Option<Nanos>,
    /// Rank of the copy: 0 keeps no copy, 1 to 3 keep it at that rank.
    pub rank: u8,
    /// The oldest copy that may be served; `None` for the limit of the content type.
    pub max_age: Option<Nanos>,
    /// Must not be sent after this time; if it is still waiting then, it ends as not sent.
    pub send_by: Option<Nanos>,
    /// Whether it may join a fill that is in flight.
    pub join: bool,
    /// Whether the source may serve only a cached copy.
    pub held_only: bool,
    /// Whether the parent must keep no copy.
    pub no_parent_copy: bool,
    /// Whether a stale copy may be served while it is refreshed in the background.
    pub renew: bool,
}

/// The actions of a dispatcher. An adapter carries them out in the order of the calls.
pub trait Actions {
    /// Sends an attempt for a request. The attempts of a request are numbered from 0.
    fn attempt(&mut self, request_id: RequestId, attempt: &Attempt);
    /// Cancels an attempt in flight.
    fn cancel(&mut self, request_id: RequestId, number: u32);
    /// Final answer: not served, and a retry is harmless; after `retry_after`, if given.
    fn reject(&mut self, request_id: RequestId, retry_after: Option<Nanos>);
    /// Final answer: not served, and a retry may not be harmless.
    fn fail(&mut self, request_id: RequestId);
    /// Arms a timer: [`crate::policy::Dispatcher::timer`] is to be called with `token` after `span`.
    fn arm_timer(&mut self, span: Nanos, token: u64);
    /// Probes the load of a node; the answer goes to [`crate::policy::Dispatcher::load_probe_answered`].
    fn probe_load(&mut self, node: NodeId);
    /// Probes the readiness of a node; the answer goes to [`crate::policy::Dispatcher::readiness_probe_answered`].
    /// Called only if the adapter reports the state of the change log.
    fn probe_readiness(&mut self, _node: NodeId) {}
    /// Subscribes to the node list.
    fn subscribe_to_list(&mut self);
    /// Writes a line to the log for operators.
    fn log_line(&mut self, line: &str);
    /// The dispatcher keeps no state of this request any more.
    fn release(&mut self, request_id: RequestId);
    /// The dispatcher keeps no state of this object any more.
    fn release_object(&mut self, object: ObjectId);
}
