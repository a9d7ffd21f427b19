//! What passes between an adapter and the decisions, in the users' words.
//!
//! An adapter maps the ids of its protocol to the small indices here, calls the methods of
//! [`crate::policy::Dispatcher`] as things happen, and implements [`Actions`], through which the
//! module sends. Nothing here decides anything.

pub use crate::retry_safety::{DedupScope, RetrySafety, UNKNOWN_ID};

/// A time of the adapter's clock, or a span, in whole nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Nanos(pub u64);

impl Nanos {
    /// Nothing, or the clock's start.
    pub const ZERO: Nanos = Nanos(0);

    /// From seconds; what is negative or not a number is zero.
    pub fn from_secs(secs: f64) -> Nanos {
        Nanos((secs * 1e9).round() as u64)
    }

    /// In seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// This time moved on by `span`.
    pub fn after(self, span: Nanos) -> Nanos {
        Nanos(self.0.saturating_add(span.0))
    }

    /// The span from `earlier` to this time; zero if there is none.
    pub fn since(self, earlier: Nanos) -> Nanos {
        Nanos(self.0.saturating_sub(earlier.0))
    }
}

/// A request in hand: a slot that the adapter may use again after [`Actions::release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestId(pub u32);

/// A cache, parent or origin: a slot that the adapter may use again once it has told that the node is forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// One cacheable thing (a part of an object, where objects have parts): a slot that the adapter may use
/// again after [`Actions::release_object`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ObjectId(pub u32);

/// A location or hub.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ZoneId(pub u32);

/// A content type: a row of [`Settings::content_types`].
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

/// What the settings say of a content type.
#[derive(Debug, Clone, PartialEq)]
pub struct ContentType {
    /// An answer within this time earns the whole benefit.
    pub latency_target: Nanos,
    /// Added to the target time, as a multiple of the request's own sending time.
    pub latency_target_stretch: f64,
    /// Whether it may run again.
    pub retry_safety: RetrySafety,
    /// How long a copy is fresh; `None` for no limit.
    pub fresh_for: Option<Nanos>,
    /// Runs at the origin and leaves no copy.
    pub uncacheable: bool,
    /// What one answer in time is worth.
    pub benefit: f64,
}

/// How nodes of a tier start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Least share of its capacity with which a node starts.
    pub share: f64,
    /// When it is warm at the latest.
    pub warm_after: Nanos,
    /// It falls over when sent more than this many times its present capacity.
    pub overload_multiple: f64,
}

/// What the operators tell of retry storms.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverloadSettings {
    /// For how long a try that failed is remembered: as long as clients may retry.
    pub remember_for: Nanos,
    /// How many are remembered at most.
    pub max_remembered: usize,
    /// Slots that the longest advice is divided into.
    pub slots: usize,
    /// The part of the pace that is not given away beforehand, in [0, 1).
    pub unreserved_share: f64,
    /// Clients mark their repeats; else a repeat is told by what is remembered.
    pub clients_mark_retries: bool,
    /// A marked repeat of what must not run twice counts as one that may have run, though its first try is not
    /// known here.
    pub unknown_retry_may_have_run: bool,
    /// The most attempts for one request and its repeats.
    pub max_attempts: u32,
}

/// What a dispatcher is told when it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Where chance starts from.
    pub seed: u64,
    /// The dispatcher's own location.
    pub zone: ZoneId,
    /// How many dispatchers there are in all.
    pub dispatchers: u32,
    /// How many dispatchers serve the own location.
    pub zone_dispatchers: u32,
    /// The content types.
    pub content_types: Vec<ContentType>,
    /// The kind of node that is a parent, if there are parents.
    pub parent_kind: Option<u32>,
    /// The kind of node that is the origin.
    pub origin_kind: Option<u32>,
    /// Whether parents and the origin take attempts too.
    pub direct_to_parents: bool,
    /// Whether a request can join a fill that is under way.
    pub coalesces_fills: bool,
    /// Whether answers tell a fill that a parent held from one that went to the origin.
    pub fill_source_reported: bool,
    /// Whether a cache may fill from the caches of other locations.
    pub fill_from_other_locations: bool,
    /// The top pace of one answer in KB a second; 0 if not told.
    pub client_kb_per_s: f64,
    /// What the own location's link for fills carries, in KB a second; 0 if not told.
    pub link_kb_per_s: f64,
    /// How long a purged copy may lie about.
    pub purge_done: Nanos,
    /// The time to heed a purge.
    pub purge_notice: Nanos,
    /// Sends to a node that drains or is gone must end within this.
    pub drain_grace: Nanos,
    /// How caches start.
    pub cache_cold: ColdStart,
    /// How parents start.
    pub parent_cold: ColdStart,
    /// A cold node falls over when sent more than it bears for this long.
    pub overload_window: Nanos,
    /// The origin stops when asked for this many times what it can do; 0 for never.
    pub origin_stop_multiple: f64,
    /// The list of nodes comes only when followed.
    pub list_needs_subscription: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest advice that clients heed.
    pub max_retry_after: Nanos,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The list tells the sizes of nodes, exactly or roughly; else it gives every node the same.
    pub capacities_listed: bool,
    /// Nodes may be probed, and say what they are doing.
    pub load_probes: bool,
    /// Nodes may be asked whether they take work.
    pub readiness_probes: bool,
    /// What storms are met with; `None` for nothing.
    pub overload_control: Option<OverloadSettings>,
}

/// Where a node stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work.
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the list of nodes.
#[derive(Debug, Clone, Copy)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// The stable hash of its name.
    pub hash: u64,
    /// Where it stands.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell, for deduped content types; [`UNKNOWN_ID`] where it is not told, as for the zone.
    pub cell: u32,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Its size in relation to others.
    pub weight: f64,
    /// When it last started; zero if long ago.
    pub started: Nanos,
}

/// A request that the dispatcher has taken.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest {
    /// Its slot.
    pub request_id: RequestId,
    /// Its content type.
    pub content_type: TypeId,
    /// The slot of what it asks for.
    pub object: ObjectId,
    /// The stable hash of the object's name with its part: what a cache keeps as one copy.
    pub copy_hash: u64,
    /// The stable hash of the object's name, whatever the part.
    pub object_hash: u64,
    /// The group of the object, as a purge may name it.
    pub group: Option<u64>,
    /// When the client stops waiting for this try.
    pub deadline: Nanos,
    /// A client's repeat of a request that was not served, where clients mark it.
    pub is_retry: bool,
    /// Its size, where told.
    pub size_kb: Option<f64>,
    /// A hash that stands for the client, whatever connection it comes on; zero where not known.
    pub client: u64,
    /// A hash of the bytes that it brings; zero for none.
    pub body_hash: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The node answered with an error; it may have run.
    Failed,
    /// Not taken by the node or its source; it never ran.
    Refused,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent; it never ran.
    NotSent,
    /// Nothing suitable held; it never ran.
    Missed,
}

/// What an answer tells of how it came about.
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
    /// Joined a fill under way.
    Joined,
    /// An old copy.
    Aged,
    /// The source refused.
    SourceRefused,
    /// The source was unreachable, broke off or was too slow.
    SourceLost,
    /// The source has none.
    SourceHasNone,
    /// All places for fills are taken at the node.
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
    /// Nothing more is owed for the request.
    pub completes_request: bool,
    /// Time to the source's first byte or to the fill's failure, where told.
    pub first_byte_wait: Option<Nanos>,
    /// How the answer came about, where told.
    pub remark: Remark,
    /// The node's load report, where answers carry one.
    pub report: LoadReport,
}

/// What a node says of its load: some time old, and not exact.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Requests in hand.
    pub in_flight: Option<f64>,
    /// The part of the node that is busy, 0 to 1.
    pub busy: Option<f64>,
}

/// An attempt as the module orders it.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The node that is asked.
    pub node: NodeId,
    /// Who supplies a miss; the node itself for no fill.
    pub source: NodeId,
    /// Given up after this long; `None` for as long as the client waits.
    pub time_limit: Option<Nanos>,
    /// 0 keeps no copy, 1 to 3 keep it at that rank.
    pub rank: u8,
    /// The oldest copy that will do; `None` for the content type's own limit.
    pub max_age: Option<Nanos>,
    /// Not to be sent after this time, wherever it waits; then it ends as not sent.
    pub send_by: Option<Nanos>,
    /// Join a fill that is under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// Leave no copy at the parent.
    pub no_parent_copy: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub renew: bool,
}

/// Through this the module sends. An adapter writes each call out in the order in which it comes.
pub trait Actions {
    /// Makes an attempt for a request. The first of a request is number 0, and so on.
    fn attempt(&mut self, request_id: RequestId, attempt: &Attempt);
    /// Calls off an attempt that is out.
    fn cancel(&mut self, request_id: RequestId, number: u32);
    /// Final answer: not served, and trying again is harmless; after `retry_after`, if given.
    fn reject(&mut self, request_id: RequestId, retry_after: Option<Nanos>);
    /// Final answer: not served, and nothing is promised.
    fn fail(&mut self, request_id: RequestId);
    /// Asks for [`crate::policy::Dispatcher::timer`] with `token` after `span`.
    fn arm_timer(&mut self, span: Nanos, token: u64);
    /// Asks a node what it is doing; the answer comes by [`crate::policy::Dispatcher::load_probe_answered`].
    fn probe_load(&mut self, node: NodeId);
    /// Asks a node whether it takes work; the answer comes by [`crate::policy::Dispatcher::readiness_probe_answered`].
    /// Only where the adapter tells what is known of the change log.
    fn probe_readiness(&mut self, _node: NodeId) {}
    /// Opens the standing subscription to the list of nodes.
    fn subscribe_to_list(&mut self);
    /// Writes a line for on-call staff.
    fn log_line(&mut self, line: &str);
    /// The module holds nothing more of this request.
    fn release(&mut self, request_id: RequestId);
    /// The module holds nothing more of this object.
    fn release_object(&mut self, object: ObjectId);
}
