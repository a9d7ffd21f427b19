//! Events received on one stream that can't be applied yet, as earlier ones are missing. Bounded in count, bytes and
//! time.

use super::merge::Arrival;
use crate::interface::Nanos;
use std::collections::VecDeque;

/// The most events of one stream that are held back.
pub(super) const MAX_EVENTS: usize = 4096;
/// The most bytes of one stream that are held back: the length of the longest line.
pub(super) const MAX_BYTES: usize = 4 * 1024 * 1024;
/// How long to wait for the other stream to fill a gap: one heartbeat interval, half of the time that a purge may take.
pub(super) const MAX_WAIT: Nanos = Nanos(1_000_000_000);

/// The events of one stream in the order of arrival.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct HeldBack<E> {
    queue: VecDeque<Arrival<E>>,
    bytes: usize,
    /// Since when the first event has been held back.
    since: Option<Nanos>,
}

impl<E> Default for HeldBack<E> {
    fn default() -> Self {
        HeldBack { queue: VecDeque::new(), bytes: 0, since: None }
    }
}

impl<E> HeldBack<E> {
    pub(super) fn push(&mut self, arrival: Arrival<E>) {
        self.bytes += arrival.bytes;
        self.queue.push_back(arrival);
    }

    pub(super) fn first(&self) -> Option<&Arrival<E>> {
        self.queue.front()
    }

    /// The number of the last event.
    pub(super) fn last(&self) -> Option<u64> {
        self.queue.back().map(|arrival| arrival.number)
    }

    pub(super) fn pop(&mut self) -> Option<Arrival<E>> {
        let arrival = self.queue.pop_front()?;
        self.bytes -= arrival.bytes;
        self.since = None;
        Some(arrival)
    }

    /// The first event can't be applied now; returns whether it may wait longer.
    pub(super) fn may_wait(&mut self, now: Nanos) -> bool {
        let since = *self.since.get_or_insert(now);
        let fits = self.queue.len() <= MAX_EVENTS && self.bytes <= MAX_BYTES;
        fits && now.since(since) < MAX_WAIT
    }

    /// Drops all events, as the stream has ended: they are requested again.
    pub(super) fn clear(&mut self) {
        *self = HeldBack::default();
    }

    /// The number of events held back, and their bytes.
    pub(super) fn size(&self) -> (usize, usize) {
        (self.queue.len(), self.bytes)
    }
}
