//! Decisions on what nodes can do, in transfers at once at full pace: what the list says of it, corrected by what the
//! nodes show. No input or output; time comes with each call. See docs/sizes.md.
//!
//! A list may give no sizes, or rough ones. A node shows its size by its load reports (requests in hand over the part
//! of it that is busy), and, where there are none, by the work that it ends: what it sends a second at full pace is
//! less than it can do, what it sends while all is slower than that is what it can do. Both are kept as sums of work
//! over sums of busy time, so that what was seen at little load weighs little. What nodes of a kind show together
//! stands in for one that has shown nothing, so a cold node has the size of its like.

use crate::interface::Nanos;
use crate::structures::ring_buffer::RingBuffer;

/// Where sizes are not told and nodes may be probed, each dispatcher asks one so often, and of those this part are
/// parents. A fleet of 25 then makes one probe for some fifty requests.
pub const PROBE_EVERY: Nanos = Nanos(500_000_000);
pub(crate) const PROBE_PARENTS: f64 = 0.25;
/// A told size counts as much as this many seconds of a wholly busy node that shows it; one that is not told, as this.
const TOLD_S: f64 = 10.0;
const UNTOLD_S: f64 = 0.02;
/// Of a kind, what its nodes show counts up to so many, of a node up to so many: then the older fade.
const KIND_MOST_S: f64 = 100.0;
const NODE_MOST_S: f64 = 20.0;
/// What a kind shows counts for one of its nodes as this many seconds of its own.
const KIND_S: f64 = 1.0;
/// Reports of nodes less busy than this show no size, as a few requests more or fewer are a large part of what they
/// have in hand; nor do those of nodes busier than this: what waits is in hand too.
const IDLE: f64 = 0.1;
const BUSY: f64 = 0.9;
/// Work that was ended is looked at over this.
const SEEN_OVER: Nanos = Nanos(2_000_000_000);
const BUCKETS: usize = 4;
/// Answers that take so many times their sending time show a node that does what it can.
const SLOW: f64 = 1.3;
/// Work ended at full pace shows a node that can do this many times as much.
const ROOM: f64 = 1.1;
/// A look at the work ended counts as so many seconds of a wholly busy node.
const LOOK_S: f64 = 0.5;
/// Fewer answers than this in a look show nothing; nor, where sizes are told, do fewer than this, or what is within
/// this factor of what was known.
const ENOUGH: f64 = 6.0;
const ENOUGH_TOLD: f64 = 16.0;
const ALIKE: f64 = 1.5;

/// Work shown, over the busy time in which it was.
#[derive(Debug, Clone, Copy, Default)]
struct Shown {
    work: f64,
    busy: f64,
}

impl Shown {
    fn add(&mut self, work: f64, busy: f64, most: f64) {
        let fade = most / (self.busy + busy).max(most);
        (self.work, self.busy) = ((self.work + work) * fade, (self.busy + busy) * fade);
    }
}

/// What one node has shown.
#[derive(Debug, Clone, Default)]
pub struct Size {
    shown: Shown,
    /// Own attempts that were answered since it was last looked at: sending time, what they took, how many.
    ended: [f64; 3],
    looked: Nanos,
}

/// What the nodes of each kind have shown, in told sizes.
#[derive(Debug, Clone)]
pub struct Sizes {
    told: bool,
    kinds: Vec<Shown>,
    /// Own attempts at caches: what they took, and what of that they waited for a source.
    held: RingBuffer<2>,
}

impl Sizes {
    /// Of a list that tells sizes, or gives every node the same.
    pub fn new(told: bool) -> Self {
        Sizes { told, kinds: Vec::new(), held: RingBuffer::new(SEEN_OVER, BUCKETS) }
    }

    fn kind(&self, kind: u32) -> f64 {
        let prior = if self.told { TOLD_S } else { UNTOLD_S };
        let shown = self.kinds.get(kind as usize).copied().unwrap_or_default();
        (shown.work + prior) / (shown.busy + prior)
    }

    /// Whether sizes are told, or nodes of this kind have shown theirs.
    pub fn known(&self, kind: u32) -> bool {
        self.told || self.kinds.get(kind as usize).is_some_and(|shown| shown.busy > 0.0)
    }

    /// What a node of this kind and listed size can do once it is warm, in transfers at once.
    pub fn of(&self, size: &Size, kind: u32, listed: f64) -> f64 {
        let prior = if self.told { TOLD_S } else { KIND_S };
        (size.shown.work + prior * listed * self.kind(kind)) / (size.shown.busy + prior)
    }

    fn show(&mut self, size: &mut Size, kind: u32, listed: f64, work: f64, busy: f64) {
        size.shown.add(work, busy, NODE_MOST_S);
        if self.kinds.len() <= kind as usize {
            self.kinds.resize(kind as usize + 1, Shown::default());
        }
        self.kinds[kind as usize].add(work / listed.max(1e-6), busy, KIND_MOST_S);
    }

    /// An own attempt has ended at a cache after so long, in which so much was sent to it.
    pub fn held(&mut self, now: Nanos, took_s: f64, work_s: f64) {
        self.held.add(now, 0, took_s);
        self.held.add(now, 1, work_s.min(took_s));
    }

    /// A warm node has reported how many requests it has in hand, and what part of it is busy. At a cache, at this time,
    /// what waits for a source, or is slowed by it, keeps less of it busy, as own attempts show.
    pub fn reported(
        &mut self,
        cache: Option<Nanos>,
        size: &mut Size,
        node: (u32, f64),
        in_hand: f64,
        busy: f64,
    ) {
        let [took, sent] = cache.map_or([0.0; 2], |now| self.held.sums(now));
        let sends = if took > 0.0 { sent / took } else { 1.0 };
        if (IDLE..BUSY).contains(&busy) && in_hand >= 1.0 {
            self.show(size, node.0, node.1, in_hand * sends, busy);
        }
    }

    /// A warm node has answered an attempt of so much sending time, which took so long; one dispatcher of so many sees it.
    pub fn answered(
        &mut self,
        now: Nanos,
        size: &mut Size,
        node: (u32, f64),
        sharers: u32,
        [work_s, took_s]: [f64; 2],
    ) {
        size.ended.iter_mut().zip([work_s, took_s, 1.0]).for_each(|(sum, more)| *sum += more);
        let over = now.since(size.looked);
        if over < SEEN_OVER {
            return;
        }
        let [work, took, count] = std::mem::take(&mut size.ended);
        size.looked = now;
        if count < if self.told { ENOUGH_TOLD } else { ENOUGH } {
            return;
        }
        let rate = work / over.secs() * f64::from(sharers.max(1));
        let slow = took > SLOW * work;
        let can = if slow { rate } else { ROOM * rate };
        let known = self.of(size, node.0, node.1);
        let alike = self.told && can < known * ALIKE && known < can * ALIKE;
        if !alike && (slow || can > known) {
            self.show(size, node.0, node.1, can * LOOK_S, LOOK_S);
        }
    }
}
