//! What one stream has told that can't be applied yet.

use super::merge::Arrival;
use crate::interface::Nanos;
use std::collections::VecDeque;

/// Events of one stream that are held back at most.
pub(super) const MOST_EVENTS: usize = 4096;
/// Bytes of them: as many as the longest line may have.
pub(super) const MOST_BYTES: usize = 4 * 1024 * 1024;
/// For so long the other stream may fill a gap: a heartbeat's period, half of what a purge may take.
pub(super) const LONGEST: Nanos = Nanos(1_000_000_000);

/// Arrivals in the order in which they came.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Held<E> {
    queue: VecDeque<Arrival<E>>,
    bytes: usize,
    /// Since when the first of them has been held back.
    since: Option<Nanos>,
}

impl<E> Default for Held<E> {
    fn default() -> Self {
        Held { queue: VecDeque::new(), bytes: 0, since: None }
    }
}

impl<E> Held<E> {
    pub(super) fn push(&mut self, arrival: Arrival<E>) {
        self.bytes += arrival.bytes;
        self.queue.push_back(arrival);
    }

    pub(super) fn first(&self) -> Option<&Arrival<E>> {
        self.queue.front()
    }

    /// The number of the last of them.
    pub(super) fn last(&self) -> Option<u64> {
        self.queue.back().map(|arrival| arrival.number)
    }

    pub(super) fn pop(&mut self) -> Option<Arrival<E>> {
        let arrival = self.queue.pop_front()?;
        self.bytes -= arrival.bytes;
        self.since = None;
        Some(arrival)
    }

    /// The first of them can't be applied now: tells whether it may go on waiting.
    pub(super) fn waits(&mut self, now: Nanos) -> bool {
        let since = *self.since.get_or_insert(now);
        let fits = self.queue.len() <= MOST_EVENTS && self.bytes <= MOST_BYTES;
        fits && now.since(since) < LONGEST
    }

    /// The stream has ended: what it told is told again.
    pub(super) fn clear(&mut self) {
        *self = Held::default();
    }

    /// How many are held back, and their bytes.
    pub(super) fn size(&self) -> (usize, usize) {
        (self.queue.len(), self.bytes)
    }
}
