//! Decides how long a closed client connection lingers. After the dispatcher has shut down its sending side, the
//! connection is still read for a bounded time and number of bytes, and the input is dropped. Closing a socket with
//! unread input would reset the connection, and a reset can destroy answers that were already written. No I/O; each
//! call is given the time. `clients` calls this module and closes the connections that it returns.

use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// Limit of the lingering. A client on a slow network has read the end of stream and closed by then.
const LINGER_TIMEOUT: Nanos = Nanos(1_000_000_000);
/// The same when the program ends: the process is killed 0.2 s after the last request must be answered.
pub const EXIT_LINGER_TIMEOUT: Nanos = Nanos(100_000_000);
/// Limit of bytes read after the end of stream. A client that sends more does not read the answers.
const MAX_BYTES: u64 = 512 * 1024;
/// One in this many descriptors may belong to a lingering connection; above that limit the oldest is closed.
const DESCRIPTORS_PER_LINGERING: usize = 32;
/// This many connections may linger however few descriptors there are.
const MIN_LINGERING: usize = 4;

/// One lingering connection.
#[derive(Debug, Clone, Copy)]
struct LingeringConnection {
    number: u32,
    since: Nanos,
    until: Nanos,
    bytes: u64,
}

/// The lingering connections, the oldest first.
#[derive(Debug, Default)]
pub struct LingeringConnections {
    connections: VecDeque<LingeringConnection>,
    max_count: usize,
}

impl LingeringConnections {
    /// Sets the process's limit of descriptors.
    pub fn set_descriptor_limit(&mut self, descriptors: usize) {
        self.max_count = (descriptors / DESCRIPTORS_PER_LINGERING).max(MIN_LINGERING);
    }

    /// The number of lingering connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// A connection begins to linger. Returns the oldest one, to be closed, if there are too many.
    pub fn begin(&mut self, now: Nanos, number: u32) -> Option<u32> {
        self.connections.push_back(LingeringConnection {
            number,
            since: now,
            until: now.after(LINGER_TIMEOUT),
            bytes: 0,
        });
        if self.connections.len() <= self.max_count { None } else { self.pop_oldest() }
    }

    /// Shortens the time of the connections that already linger, as the program ends.
    pub fn shorten_for_exit(&mut self, now: Nanos) {
        let last = now.after(EXIT_LINGER_TIMEOUT);
        self.connections.iter_mut().for_each(|connection| connection.until = connection.until.min(last));
    }

    /// A connection begins to linger as the program ends; their number is not limited then.
    pub fn begin_at_exit(&mut self, now: Nanos, number: u32) {
        self.connections.push_back(LingeringConnection {
            number,
            since: now,
            until: now.after(EXIT_LINGER_TIMEOUT),
            bytes: 0,
        });
    }

    /// Removes and returns the connection that has lingered longest.
    pub fn pop_oldest(&mut self) -> Option<u32> {
        self.connections.pop_front().map(|connection| connection.number)
    }

    /// The same, if it has lingered for at least this span.
    pub fn pop_older_than(&mut self, now: Nanos, span: Nanos) -> Option<u32> {
        let is_old = |connection: &LingeringConnection| now.since(connection.since) >= span;
        self.connections.front().is_some_and(is_old).then(|| self.pop_oldest()).flatten()
    }

    /// Counts received bytes. Returns true, and forgets the connection, if it has sent more than the limit.
    pub fn received(&mut self, number: u32, bytes: usize) -> bool {
        let Some(at) = self.connections.iter().position(|connection| connection.number == number) else {
            return false;
        };
        self.connections[at].bytes += bytes as u64;
        let is_over_limit = self.connections[at].bytes > MAX_BYTES;
        if is_over_limit {
            self.connections.remove(at);
        }
        is_over_limit
    }

    /// Forgets a connection that was closed.
    pub fn remove(&mut self, number: u32) {
        self.connections.retain(|connection| connection.number != number);
    }

    /// Removes and returns the connections whose time is over.
    pub fn take_expired(&mut self, now: Nanos) -> Vec<u32> {
        let expired: Vec<_> = self.connections.iter().filter(|e| e.until <= now).map(|e| e.number).collect();
        self.connections.retain(|connection| connection.until > now);
        expired
    }
}
