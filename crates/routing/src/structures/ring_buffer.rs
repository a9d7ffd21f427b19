//! Sums over a sliding window of time: a ring buffer of buckets, each reused once the window has passed it.

use crate::interface::Nanos;

/// `N` running sums over a sliding window that is divided into equal buckets of time.
#[derive(Debug, Clone)]
pub struct RingBuffer<const N: usize> {
    /// The length of a bucket, in nanoseconds.
    width: u64,
    /// The number of the newest bucket, counted from the clock's start.
    newest: u64,
    buckets: Vec<[f64; N]>,
}

impl<const N: usize> RingBuffer<N> {
    /// An empty buffer that covers `window` with `buckets` buckets.
    pub fn new(window: Nanos, buckets: usize) -> Self {
        let buckets = buckets.max(1);
        let width = (window.0 / buckets as u64).max(1);
        RingBuffer { width, newest: 0, buckets: vec![[0.0; N]; buckets] }
    }

    /// Moves on to the bucket of `now` and clears those that are reused.
    fn advance(&mut self, now: Nanos) {
        let at = now.0 / self.width;
        let len = self.buckets.len() as u64;
        if at > self.newest {
            for step in self.newest.max(at.saturating_sub(len)) + 1..=at {
                self.buckets[(step % len) as usize] = [0.0; N];
            }
            self.newest = at;
        }
    }

    /// Adds `value` to sum number `index` at `now`.
    pub fn add(&mut self, now: Nanos, index: usize, value: f64) {
        self.advance(now);
        let at = (self.newest % self.buckets.len() as u64) as usize;
        self.buckets[at][index] += value;
    }

    /// All sums over the window that ends at `now`.
    pub fn sums(&self, now: Nanos) -> [f64; N] {
        let len = self.buckets.len() as u64;
        let oldest = (now.0 / self.width).max(self.newest) + 1;
        let mut total = [0.0; N];
        // From the newest bucket back, as far as the window reaches.
        let reach = (self.newest + len + 1).saturating_sub(oldest).min(len) as usize;
        if reach == 0 {
            return total;
        }
        let (older, newer) = self.buckets.split_at((self.newest % len) as usize + 1);
        for bucket in older.iter().rev().chain(newer.iter().rev()).take(reach) {
            for (sum, value) in total.iter_mut().zip(bucket) {
                *sum += value;
            }
        }
        total
    }

    /// Resets all sums to zero.
    pub fn clear(&mut self) {
        self.buckets.fill([0.0; N]);
    }
}
