//! Decides how long a closed client connection lingers. After the dispatcher has shut down its sending side, the
//! connection is still read for a bounded time and number of bytes, and the input is dropped. Closing a socket with
//! unread input would reset the connection, and a reset can destroy answers that were already written. No I/O; each
//! call is given the time. `clients` calls this module and closes the connections that it returns.
//!
//! An answer is delivered once the client has taken it, and a socket does not tell when that is. So a connection with
//! answers that the client may still wait for lingers until it closes by itself or their time is over; neither new
//! connections nor a limit end it before.

use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// Limit of the lingering, unless answers may be undelivered. A client on a slow network has read the end of stream and
/// closed by then.
const LINGER_TIMEOUT: Nanos = Nanos(1_000_000_000);
/// The same when the program ends, and the least time between the last answer and the exit: the process is killed 0.2 s
/// after the last request must be answered.
pub const EXIT_LINGER_TIMEOUT: Nanos = Nanos(100_000_000);
/// Limit of bytes read after the end of stream; what follows stays unread.
const MAX_BYTES: u64 = 512 * 1024;
/// One in this many descriptors may belong to a lingering connection; above that limit the oldest one without
/// undelivered answers is closed.
const DESCRIPTORS_PER_LINGERING: usize = 32;
/// This many connections may linger however few descriptors there are.
const MIN_LINGERING: usize = 4;

/// One lingering connection.
#[derive(Debug, Clone, Copy)]
struct LingeringConnection {
    number: u32,
    since: Nanos,
    /// It is closed then at the latest.
    until: Nanos,
    /// The client may still wait for answers that it was sent, until then.
    undelivered_until: Nanos,
    bytes: u64,
    /// Output that its socket has not taken yet, in bytes, and all that was queued for it.
    unsent: u64,
    queued_bytes: u64,
}

/// A connection that begins to linger.
#[derive(Debug, Clone, Copy, Default)]
pub struct LingeringStart {
    /// The number of the connection.
    pub number: u32,
    /// The client may still wait for answers that it was sent, until then.
    pub undelivered_until: Nanos,
    /// The bytes that were queued for it, and those that its socket has not taken yet (`unsent`).
    pub queued_bytes: u64,
    /// See `queued_bytes`.
    pub unsent: u64,
}

/// What is to be done with a lingering connection that has sent bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LingeringInput {
    /// It is read on.
    Read,
    /// It has sent more than the limit and is no longer read, but stays open, as answers may be undelivered.
    LeaveUnread,
    /// It has sent more than the limit and is closed.
    Close,
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

    /// A connection begins to linger. Returns the oldest one without undelivered answers, to be closed, if there are too
    /// many.
    pub fn begin(&mut self, now: Nanos, start: LingeringStart) -> Option<u32> {
        self.push(now, start, now.after(LINGER_TIMEOUT).max(start.undelivered_until));
        if self.connections.len() <= self.max_count { None } else { self.pop_delivered(now) }
    }

    /// Shortens the time of the connections that already linger, as the program ends, which it does at `exit_by`.
    pub fn shorten_for_exit(&mut self, now: Nanos, exit_by: Nanos) {
        for connection in &mut self.connections {
            let until = Self::exit_limit(now, connection.undelivered_until, exit_by);
            connection.until = connection.until.min(until);
        }
    }

    /// A connection begins to linger as the program ends; their number is not limited then.
    pub fn begin_at_exit(&mut self, now: Nanos, start: LingeringStart, exit_by: Nanos) {
        self.push(now, start, Self::exit_limit(now, start.undelivered_until, exit_by));
    }

    fn exit_limit(now: Nanos, undelivered_until: Nanos, exit_by: Nanos) -> Nanos {
        now.after(EXIT_LINGER_TIMEOUT).max(undelivered_until.min(exit_by))
    }

    fn push(&mut self, now: Nanos, start: LingeringStart, until: Nanos) {
        let LingeringStart { number, undelivered_until, queued_bytes, unsent } = start;
        self.connections.push_back(LingeringConnection {
            number,
            since: now,
            until,
            undelivered_until,
            bytes: 0,
            unsent,
            queued_bytes,
        });
    }

    /// The bytes that the sockets of all lingering connections have not taken yet.
    pub fn unsent(&self) -> u64 {
        self.connections.iter().map(|connection| connection.unsent).sum()
    }

    /// Bytes for a lingering connection have left, `total` since it connected.
    pub fn written(&mut self, number: u32, total: u64) {
        if let Some(connection) = self.connections.iter_mut().find(|connection| connection.number == number) {
            connection.unsent = connection.queued_bytes.saturating_sub(total);
        }
    }

    /// When the last connection is closed at the latest; `None` if none lingers.
    pub fn last_until(&self) -> Option<Nanos> {
        self.connections.iter().map(|connection| connection.until).max()
    }

    /// Removes and returns the connection that has lingered longest, of those without undelivered answers.
    pub fn pop_delivered(&mut self, now: Nanos) -> Option<u32> {
        self.pop_delivered_older_than(now, Nanos::ZERO)
    }

    /// The same, if it has lingered for at least this span.
    pub fn pop_delivered_older_than(&mut self, now: Nanos, span: Nanos) -> Option<u32> {
        let at = self.connections.iter().position(|connection| connection.undelivered_until <= now)?;
        let is_old = now.since(self.connections[at].since) >= span;
        is_old.then(|| self.connections.remove(at)).flatten().map(|connection| connection.number)
    }

    /// Counts received bytes; `None` if the connection does not linger. One that is to be closed is forgotten.
    pub fn received(&mut self, now: Nanos, number: u32, bytes: usize) -> Option<LingeringInput> {
        let at = self.connections.iter().position(|connection| connection.number == number)?;
        let connection = &mut self.connections[at];
        connection.bytes += bytes as u64;
        if connection.bytes <= MAX_BYTES {
            return Some(LingeringInput::Read);
        }
        if connection.undelivered_until > now {
            return Some(LingeringInput::LeaveUnread);
        }
        self.connections.remove(at);
        Some(LingeringInput::Close)
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
