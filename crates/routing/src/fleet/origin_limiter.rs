//! Origin limiter: computes the share of fills that may use the origin, from the outcomes of recent fetches. No I/O;
//! time comes with each call. See docs/cold-start.md.
//!
//! One of hundreds of dispatchers sees about one fetch per second, and an overloaded origin answers late: a dispatcher
//! that waits for the answers reacts too late, and an answer that never arrives tells it nothing. So a fill counts as
//! late as soon as it is overdue, before it ends. A dispatcher that has just started is not limited further: fetching
//! cautiously until the first fetch succeeded gave worse results (docs/cold-start.md).

use crate::interface::Nanos;
use crate::structures::ring_buffer::RingBuffer;

/// Outcomes of fetches count within this window, in `BUCKETS` buckets.
const OUTCOME_WINDOW: Nanos = Nanos(2_000_000_000);
const BUCKETS: usize = 8;
/// A first byte is late after this part of the latency target, and this many times the typical wait, whichever is
/// longer.
const LATE_TARGET_SHARE: f64 = 0.4;
const LATE_MULTIPLE: f64 = 3.0;
/// The initial estimate of the typical wait for the first byte, and the weight of each fetch in its moving average.
const INITIAL_TYPICAL_S: f64 = 0.1;
const SMOOTHING: f64 = 0.01;
/// The share that is always allowed: its outcomes show when the origin has recovered.
const MIN_SHARE: f64 = 0.1;

/// The state of the origin as recent fetches show it.
#[derive(Debug)]
pub struct OriginLimiter {
    /// The number of fetches in time, and of those that were late, refused or overdue.
    fetches: RingBuffer<2>,
    typical_s: f64,
}

impl Default for OriginLimiter {
    fn default() -> Self {
        Self::new()
    }
}

impl OriginLimiter {
    /// No fetches yet.
    pub fn new() -> Self {
        OriginLimiter { fetches: RingBuffer::new(OUTCOME_WINDOW, BUCKETS), typical_s: INITIAL_TYPICAL_S }
    }

    /// The typical wait for the first byte of a fetch, in seconds.
    pub fn typical_s(&self) -> f64 {
        self.typical_s
    }

    /// A fetch was answered, with its first byte after `waited_s`; its request has the latency target `target_s`.
    pub fn fetch_answered(&mut self, now: Nanos, waited_s: f64, target_s: f64) {
        let late = waited_s > (LATE_TARGET_SHARE * target_s).max(LATE_MULTIPLE * self.typical_s);
        self.typical_s += SMOOTHING * (waited_s - self.typical_s).min(self.typical_s);
        self.fetches.add(now, usize::from(late), 1.0);
    }

    /// The origin, or a parent on its behalf, refused a fetch.
    pub fn fetch_refused(&mut self, now: Nanos) {
        self.fetches.add(now, 1, 1.0);
    }

    /// A fill that may use the origin is overdue.
    pub fn fetch_overdue(&mut self, now: Nanos) {
        self.fetches.add(now, 1, 1.0);
    }

    /// A fill that was counted as overdue has ended: takes that count back. If it used the origin, its outcome is
    /// recorded separately.
    pub fn overdue_ended(&mut self, now: Nanos) {
        self.fetches.add(now, 1, -1.0);
    }

    /// The share of fills that may use the origin; it falls with the share of recent fetches that were late or refused.
    /// A share and not a count, since one of hundreds of dispatchers sees only few fetches.
    pub fn allowed_share(&self, now: Nanos) -> f64 {
        let [good, late] = self.fetches.sums(now);
        let late = late.max(0.0);
        1.0 - (1.0 - MIN_SHARE) * late / (good + late + 1.0)
    }
}
