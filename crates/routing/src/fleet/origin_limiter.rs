//! Origin limiter: the share of fills that may go through the origin, judged by the outcomes of recent fetches. No I/O; time
//! comes with each call. See docs/cold-start.md.
//!
//! Of hundreds of dispatchers one sees a fetch a second, and an origin that is overrun answers late: who waits for the
//! answers learns when it is too late for all, and of answers that never come it learns nothing. So a fill that is
//! overdue counts as late before it ends. (That one which has just started asks carefully until a fetch has gone well
//! was measured and lost, docs/cold-start.md.)

use crate::interface::Nanos;
use crate::structures::ring_buffer::RingBuffer;

/// Fetches are judged over this.
const JUDGED_OVER: Nanos = Nanos(2_000_000_000);
const BUCKETS: usize = 8;
/// A first byte later than this part of the target time, and than so many times the usual, is late.
const LATE: f64 = 0.4;
const SLOW: f64 = 3.0;
/// What a fetch usually takes to begin, until seen; it moves by a part of the way.
const USUAL_S: f64 = 0.1;
const SMOOTH: f64 = 0.01;
/// However late all are, this part is asked for, which shows when things are well again.
const FLOOR: f64 = 0.1;

/// The state of the origin as recent fetches show it.
#[derive(Debug)]
pub struct OriginLimiter {
    /// Fetches that came in time, and that were late, refused or overdue.
    fetches: RingBuffer<2>,
    usual_s: f64,
}

impl Default for OriginLimiter {
    fn default() -> Self {
        Self::new()
    }
}

impl OriginLimiter {
    /// An origin of which nothing was seen yet.
    pub fn new() -> Self {
        OriginLimiter { fetches: RingBuffer::new(JUDGED_OVER, BUCKETS), usual_s: USUAL_S }
    }

    /// What a fetch usually takes to begin, in seconds.
    pub fn typical_s(&self) -> f64 {
        self.usual_s
    }

    /// A fetch has come, whose first byte took so long, of a request with this target time.
    pub fn fetch_answered(&mut self, now: Nanos, waited_s: f64, target_s: f64) {
        let late = waited_s > (LATE * target_s).max(SLOW * self.usual_s);
        self.usual_s += SMOOTH * (waited_s - self.usual_s).min(self.usual_s);
        self.fetches.add(now, usize::from(late), 1.0);
    }

    /// It, or a parent on its behalf, turned a fetch away.
    pub fn fetch_refused(&mut self, now: Nanos) {
        self.fetches.add(now, 1, 1.0);
    }

    /// A fill that may be by way of it should have come by now.
    pub fn fetch_overdue(&mut self, now: Nanos) {
        self.fetches.add(now, 1, 1.0);
    }

    /// One that counted as overdue has ended: it counts as what it was, or, where it was none of the origin's, not.
    pub fn overdue_ended(&mut self, now: Nanos) {
        self.fetches.add(now, 1, -1.0);
    }

    /// The part of fills that may go by way of it. One that is too slow, or turns fetches away, is asked for fewer; by
    /// shares, as of hundreds one sees few, and while they are recent.
    pub fn allowed_share(&self, now: Nanos) -> f64 {
        let [good, late] = self.fetches.sums(now);
        let late = late.max(0.0);
        1.0 - (1.0 - FLOOR) * late / (good + late + 1.0)
    }
}
