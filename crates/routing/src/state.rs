//! What a dispatcher keeps of its requests and objects. State only: nothing here decides.

use crate::interface::{ContentType, Nanos, NodeId, ObjectId, RoutingRequest};
use crate::pinned_rules::PinnedRules;
use crate::structures::recency_window::RecencyWindow;
use crate::structures::ring_buffer::RingBuffer;

/// Values at small indices.
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

    /// Puts a value at `index`.
    pub fn put(&mut self, index: u32, value: T) {
        let at = index as usize;
        if at >= self.0.len() {
            self.0.resize_with(at + 1, || None);
        }
        self.0[at] = Some(value);
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

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Taken, nothing sent.
    Accepted,
    /// An attempt is out, or about to be.
    Attempting,
    /// Bound to a stream that has begun.
    Streaming,
    /// Answered: served.
    Served,
    /// Answered: may come again.
    Rejected,
    /// Answered: nothing is promised.
    Failed,
    /// Nobody waits any more.
    ClientGone,
}

/// An attempt of a request.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// The node asked.
    pub node: NodeId,
    /// The source named for a miss; the node itself for a look.
    pub source: NodeId,
    /// When.
    pub at: Nanos,
    /// Its number in the dispatcher's life.
    pub serial: u32,
    /// Its end has not been told yet.
    pub out: bool,
    /// It left for the node, as far as is known.
    pub left: bool,
    /// It came to the node, as far as is known.
    pub reached: bool,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// It should have ended before.
    pub overdue: bool,
}

impl Sent {
    /// An attempt that goes out now.
    pub fn new(node: NodeId, source: NodeId, at: Nanos, serial: u32) -> Self {
        let (out, left, reached, held_only, overdue) = (true, true, true, false, false);
        Sent { node, source, at, serial, out, left, reached, held_only, overdue }
    }

    /// Whether it could only be answered from what the node holds.
    pub fn is_look(&self) -> bool {
        self.node == self.source
    }
}

/// What MC3 says of a copy.
#[derive(Debug, Clone, Copy, Default)]
pub struct Keep {
    /// The rank that a hit gives it.
    pub hit_rank: u8,
    /// The rank at which a fill keeps it; 0 for not.
    pub fill_rank: u8,
    /// Hops times rate, over storage cost.
    pub ratio: f64,
}

/// What overload control noted of a request when it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Reservation {
    /// The fingerprint of the request and its retries.
    pub fingerprint: u64,
    /// When it came.
    pub arrived_at: Nanos,
    /// Its priority level.
    pub priority_level: u8,
    /// It was admitted under overload.
    pub admitted_under_overload: bool,
    /// Attempts that its earlier tries used.
    pub earlier_attempts: u8,
}

impl Reservation {
    /// The level of a retry that came before its retry-after.
    pub const EARLY_RETRY_LEVEL: u8 = u8::MAX;
}

/// A request in hand.
#[derive(Debug, Clone)]
pub struct RequestState {
    /// As it came.
    pub routing_request: RoutingRequest,
    /// Where it stands.
    pub stage: Stage,
    /// Its sending time, told or judged.
    pub work_s: f64,
    /// What MC3 says.
    pub keep: Keep,
    /// Its attempts, in order.
    pub attempts: Vec<Sent>,
    /// The cache that was looked at last and holds nothing.
    pub missed_at: Option<NodeId>,
    /// That cache fills the copy for another download: it is looked at again once that may be done.
    pub rides: Option<NodeId>,
    /// The first attempt that is not proved never to have run.
    pub may_have_run: Option<(Nanos, NodeId)>,
    /// The node that last answered with an error of its own.
    pub erred_at: Option<NodeId>,
    /// What overload control noted.
    pub reservation: Reservation,
    /// The rules that it is pinned to.
    pub pinned: PinnedRules,
}

impl RequestState {
    /// A request just taken, with its sending time, what MC3 says, and the rules that it is taken under.
    pub fn new(routing_request: RoutingRequest, work_s: f64, keep: Keep, pinned: PinnedRules) -> Self {
        let (attempts, stage) = (Vec::new(), Stage::Accepted);
        let reservation = Reservation::default();
        let (missed_at, rides, may_have_run, erred_at) = (None, None, None, None);
        RequestState {
            routing_request,
            stage,
            work_s,
            keep,
            attempts,
            missed_at,
            rides,
            may_have_run,
            erred_at,
            reservation,
            pinned,
        }
    }
}

/// RecencyWindow kept fills, counted by the quarter powers of two of hops times rate over storage cost.
#[derive(Debug)]
pub struct Fills(RingBuffer<64>);

impl Fills {
    /// None yet; counted over a window.
    pub fn new(seen_over: Nanos, buckets: usize) -> Self {
        Fills(RingBuffer::new(seen_over, buckets))
    }

    fn place(ratio: f64) -> usize {
        ((4.0 * ratio.max(1.0).log2()) as usize).min(63)
    }

    /// Counts a fill, if it was kept.
    pub fn add(&mut self, now: Nanos, ratio: f64, kept: bool) {
        self.0.add(now, Self::place(ratio), f64::from(u8::from(kept)));
    }

    /// How many had this ratio or more, and how many there were.
    pub fn from(&self, now: Nanos, ratio: f64) -> (f64, f64) {
        let counts = self.0.sums(now);
        (counts[Self::place(ratio)..].iter().sum(), counts.iter().sum())
    }
}

/// A shadow entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct GhostEntry {
    /// Which object it is of.
    pub copy_hash: u64,
    /// When it was last asked for.
    pub last: Nanos,
    /// The estimate of the gap between requests.
    pub gap_s: Option<f64>,
    /// Hops to the closest held copy at the last fill.
    pub hops: f64,
    /// Its sending time as seen.
    pub work_s: Option<f64>,
}

/// Shadow entries in a bounded table that drops the least recently asked.
#[derive(Debug, Default)]
pub struct GhostCache {
    slots: Slots<GhostEntry>,
    order: RecencyWindow,
}

impl GhostCache {
    /// Whether there is an entry for this object.
    pub fn holds(&self, id: ObjectId) -> bool {
        self.order.contains(id.0)
    }

    /// The entry of an object.
    pub fn get(&self, id: ObjectId) -> Option<&GhostEntry> {
        self.slots.get(id.0).filter(|_| self.holds(id))
    }

    /// The entry at an object's slot, if it still is of the copy with this hash.
    pub fn get_mut(&mut self, id: ObjectId, copy_hash: u64) -> Option<&mut GhostEntry> {
        self.slots.get_mut(id.0).filter(|entry| entry.copy_hash == copy_hash)
    }

    /// Puts an entry and returns what had to leave so that there are no more than `most`.
    pub fn put(&mut self, id: ObjectId, entry: GhostEntry, most: usize) -> Option<ObjectId> {
        let full = !self.holds(id) && self.order.len() >= most;
        let dropped = full.then(|| self.order.pop_oldest()).flatten();
        self.slots.put(id.0, entry);
        self.order.touch(id.0);
        dropped.map(ObjectId)
    }
}

/// What differs by content type.
#[derive(Debug, Clone)]
pub struct TypeRow {
    /// What the settings say.
    pub told: ContentType,
    /// Its mean sending time as seen.
    pub mean_work_s: f64,
    /// How many were seen, up to as many as the mean is over.
    seen: f64,
    /// How many were asked for whose sizes were told, while none was seen.
    asked: f64,
}

/// A content type's mean sending time is that of the first so many, then a moving average over as many.
const MEAN_OVER: f64 = 50.0;

impl TypeRow {
    /// A content type of which nothing was seen: a sending time stands in until then.
    pub fn new(told: &ContentType, mean_work_s: f64) -> Self {
        TypeRow { told: told.clone(), mean_work_s, seen: 0.0, asked: 0.0 }
    }

    /// Counts the sending time of what is asked for, where it is told: until an answer was seen the mean of these stands in.
    pub fn asked(&mut self, work_s: Option<f64>) {
        if let Some(work_s) = work_s.filter(|_| self.seen == 0.0) {
            self.asked += 1.0;
            self.mean_work_s += (work_s - self.mean_work_s) / self.asked;
        }
    }

    /// Counts the sending time of an answer, where it was told. Of hundreds of dispatchers each sees few: the first
    /// answers weigh as much as those that follow.
    pub fn saw(&mut self, work_s: Option<f64>) {
        let Some(work_s) = work_s else { return };
        self.seen = (self.seen + 1.0).min(MEAN_OVER);
        self.mean_work_s += (work_s - self.mean_work_s) / self.seen;
    }
}
