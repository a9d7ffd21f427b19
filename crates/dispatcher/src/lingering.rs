//! Decisions on lingering close: a client's connection whose sending side has ended is read on for a bounded time and
//! number of bytes, and what comes is dropped. Closed at once over unread bytes it would be reset, and the reset can take
//! with it answers that were written. No input or output; time comes with each call.

use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// A client on the other side of a slow network has read the end, and closed, by then.
const LINGERS: Nanos = Nanos(1_000_000_000);
/// The same at the end of the program: what was told to end is killed 0.2 s after all must be answered.
pub const EXIT_LINGER_TIMEOUT: Nanos = Nanos(100_000_000);
/// Who sends more than this behind the end, in bytes, is a client that does not listen.
const MOST_BYTES: u64 = 512 * 1024;
/// Of the descriptors, one in so many may linger, and this many always may: then the oldest is closed.
const PART: usize = 32;
const LEAST: usize = 4;

/// One connection that lingers.
#[derive(Debug, Clone, Copy)]
struct Ending {
    number: u32,
    since: Nanos,
    until: Nanos,
    bytes: u64,
}

/// The connections that linger, in the order in which they began to.
#[derive(Debug, Default)]
pub struct LingeringConnections {
    endings: VecDeque<Ending>,
    most: usize,
}

impl LingeringConnections {
    /// Takes a limit of descriptors.
    pub fn set_descriptor_limit(&mut self, descriptors: usize) {
        self.most = (descriptors / PART).max(LEAST);
    }

    /// How many linger.
    pub fn count(&self) -> usize {
        self.endings.len()
    }

    /// A connection's sending side ends now. Returns the one that is to be closed in its place, if there are too many.
    pub fn begin(&mut self, now: Nanos, number: u32) -> Option<u32> {
        self.endings.push_back(Ending { number, since: now, until: now.after(LINGERS), bytes: 0 });
        if self.endings.len() <= self.most { None } else { self.pop_oldest() }
    }

    /// The program ends: those that linger already have no longer than the rest.
    pub fn shorten_for_exit(&mut self, now: Nanos) {
        let last = now.after(EXIT_LINGER_TIMEOUT);
        self.endings.iter_mut().for_each(|ending| ending.until = ending.until.min(last));
    }

    /// A connection's sending side ends now, as the program does, however many there are.
    pub fn begin_at_exit(&mut self, now: Nanos, number: u32) {
        self.endings.push_back(Ending {
            number,
            since: now,
            until: now.after(EXIT_LINGER_TIMEOUT),
            bytes: 0,
        });
    }

    /// The one that lingers longest lingers no more.
    pub fn pop_oldest(&mut self) -> Option<u32> {
        self.endings.pop_front().map(|ending| ending.number)
    }

    /// The same, if it has lingered for this span at least.
    pub fn pop_older_than(&mut self, now: Nanos, span: Nanos) -> Option<u32> {
        let lingers = |ending: &Ending| now.since(ending.since) >= span;
        self.endings.front().is_some_and(lingers).then(|| self.pop_oldest()).flatten()
    }

    /// So many bytes came on a connection; tells whether that is enough of it.
    pub fn received(&mut self, number: u32, bytes: usize) -> bool {
        let Some(at) = self.endings.iter().position(|ending| ending.number == number) else { return false };
        self.endings[at].bytes += bytes as u64;
        let enough = self.endings[at].bytes > MOST_BYTES;
        if enough {
            self.endings.remove(at);
        }
        enough
    }

    /// A connection has ended.
    pub fn remove(&mut self, number: u32) {
        self.endings.retain(|ending| ending.number != number);
    }

    /// The connections whose time is over.
    pub fn take_expired(&mut self, now: Nanos) -> Vec<u32> {
        let over: Vec<_> = self.endings.iter().filter(|e| e.until <= now).map(|e| e.number).collect();
        self.endings.retain(|ending| ending.until > now);
        over
    }
}
