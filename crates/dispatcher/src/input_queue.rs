//! Shares the reading of a turn of the event loop among the connections that have unread input. A turn reads them in
//! slices, one after the other, until nothing is unread or its time is up; what is left comes first in the next turn,
//! in the same order. So a turn stays short, and a connection waits for at most one slice of each other connection,
//! whoever sends how much.
//!
//! The first slice of a new connection is read in the turn that finds its input, whatever the time: the loop accepts
//! no more connections in a turn than it can read the beginning of, so that new clients wait in the listener's backlog,
//! in order, and not here, where they would be taken for idle ones. A usual request fits into it.
//!
//! No I/O; the event loop calls it and passes in the time.
//!
//! *Owner*: the event loop has one queue for each kind of connection. *Bound*: an entry for each open connection; that
//! of a closed one leaves when its turn comes.

use crate::effects::{Peer, PeerKind};
use copperroute_routing::interface::Nanos;
use std::collections::{HashSet, VecDeque};

/// How much of the connections in a queue is read.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// No slice is begun in a turn once reading has taken this long. Together with the last slice it must stay below
    /// the time after which output is stale ([`crate::freshness::STALE_AFTER`]), for all kinds of connections.
    pub turn_time: Nanos,
    /// Bytes that all waiting connections together may have read in one round, one slice each.
    pub round_bytes: usize,
    /// Bounds of a slice: the first however many connections wait, the last however few.
    pub slice_bytes: [usize; 2],
    /// A connection of which this much was read, without finding the end of its input, leaves the queue: what is still
    /// unread has arrived since.
    pub pass_bytes: usize,
    /// Whether a slice that is not filled shows that no more input is there. Else only an empty read does, as what ends
    /// the connection may follow.
    pub short_read_ends: bool,
}

/// For clients. A pass covers 32 requests of 48 KB, the most that may be open on a connection, and as much again for
/// what follows them, so that no attempt is sent for a client whose abort or end of stream has arrived.
pub const CLIENT_LIMITS: ReadLimits = ReadLimits {
    turn_time: Nanos(15_000_000),
    round_bytes: 1024 * 1024,
    slice_bytes: [2 * 1024, 16 * 1024],
    pass_bytes: 2 * 32 * 50_000,
    short_read_ends: false,
};
/// For nodes.
pub const NODE_LIMITS: ReadLimits = ReadLimits {
    turn_time: Nanos(15_000_000),
    round_bytes: 4 * 1024 * 1024,
    slice_bytes: [16 * 1024, MAX_SLICE_BYTES],
    pass_bytes: usize::MAX,
    short_read_ends: true,
};
/// For the change log: an event costs more than any other message of its length.
pub const CHANGE_LOG_LIMITS: ReadLimits = ReadLimits {
    turn_time: Nanos(10_000_000),
    round_bytes: 64 * 1024,
    slice_bytes: [16 * 1024, 16 * 1024],
    pass_bytes: usize::MAX,
    short_read_ends: true,
};
/// For the last input of clients as the program ends. What remains unread then is of clients that send without end.
pub const FINAL_LIMITS: ReadLimits =
    ReadLimits { turn_time: Nanos(50_000_000), pass_bytes: 4 * 1024 * 1024, ..CLIENT_LIMITS };

/// The largest slice of any kind of connection, in bytes: more than the largest message of a client.
pub const MAX_SLICE_BYTES: usize = 64 * 1024;

/// A connection with unread input.
#[derive(Debug, Clone, Copy)]
struct UnreadInput {
    peer: Peer,
    /// Its unread input arrived at this time or later.
    unread_since: Nanos,
    /// Bytes read since it entered the queue.
    bytes_read: usize,
}

/// A slice that is being read.
#[derive(Debug, Clone, Copy)]
struct CurrentSlice {
    entry: UnreadInput,
    max_bytes: usize,
}

/// What is to be read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slice {
    /// The connection.
    pub peer: Peer,
    /// The most bytes to read.
    pub max_bytes: usize,
    /// Its unread input arrived at this time or later.
    pub unread_since: Nanos,
}

/// Connections with unread input, in the order in which they are read.
#[derive(Debug)]
pub struct InputQueue {
    limits: ReadLimits,
    /// Connections that were never read.
    new: VecDeque<UnreadInput>,
    entries: VecDeque<UnreadInput>,
    waiting: HashSet<Peer>,
    turn_ends: Nanos,
    /// The slice that is being read, if any; its connection is no longer among the entries.
    current: Option<CurrentSlice>,
    /// Whether a slice was read in this turn.
    has_read: bool,
}

impl InputQueue {
    /// No unread input.
    pub fn new(limits: ReadLimits) -> Self {
        InputQueue {
            limits,
            new: VecDeque::new(),
            entries: VecDeque::new(),
            waiting: HashSet::new(),
            turn_ends: Nanos::ZERO,
            current: None,
            has_read: false,
        }
    }

    /// A connection has input, which arrived at `unread_since` or later. One that waits already keeps its place.
    pub fn push(&mut self, peer: Peer, unread_since: Nanos) {
        if self.waiting.insert(peer) {
            self.entries.push_back(UnreadInput { peer, unread_since, bytes_read: 0 });
        }
    }

    /// The same for a connection that was never read.
    pub fn push_new(&mut self, peer: Peer, unread_since: Nanos) {
        if self.waiting.insert(peer) {
            self.new.push_back(UnreadInput { peer, unread_since, bytes_read: 0 });
        }
    }

    /// Whether any input may be unread.
    pub fn is_empty(&self) -> bool {
        self.new.is_empty() && self.entries.is_empty()
    }

    /// A turn begins to read.
    pub fn begin_turn(&mut self, now: Nanos) {
        (self.turn_ends, self.has_read) = (now.after(self.limits.turn_time), false);
    }

    /// What to read next in this turn, at least one slice; `None` once its time is up or nothing is unread. The caller
    /// reports the result with [`Self::slice_read`].
    pub fn next_slice(&mut self, now: Nanos) -> Option<Slice> {
        let current = match self.new.pop_front() {
            Some(entry) => CurrentSlice { entry, max_bytes: self.limits.slice_bytes[0] },
            None if self.has_read && now >= self.turn_ends => return None,
            None => {
                let max_bytes = self.slice_bytes();
                CurrentSlice { entry: self.entries.pop_front()?, max_bytes }
            }
        };
        (self.has_read, self.current) = (true, Some(current));
        let CurrentSlice { entry, max_bytes } = current;
        Some(Slice { peer: entry.peer, max_bytes, unread_since: entry.unread_since })
    }

    /// The slice returned last was read, with this number of bytes; zero if nothing was there or the connection is
    /// closed.
    pub fn slice_read(&mut self, bytes: usize) {
        let Some(CurrentSlice { mut entry, max_bytes }) = self.current.take() else { return };
        entry.bytes_read += bytes;
        let is_end = bytes == 0 || (self.limits.short_read_ends && bytes < max_bytes);
        if is_end || entry.bytes_read >= self.limits.pass_bytes {
            self.waiting.remove(&entry.peer);
        } else {
            self.entries.push_back(entry);
        }
    }

    fn slice_bytes(&self) -> usize {
        let [min, max] = self.limits.slice_bytes;
        (self.limits.round_bytes / self.entries.len().max(1)).clamp(min, max)
    }
}

/// The unread input of all connections, by kind.
#[derive(Debug)]
pub struct UnreadInputs {
    change_log: InputQueue,
    clients: InputQueue,
    nodes: InputQueue,
}

impl Default for UnreadInputs {
    fn default() -> Self {
        UnreadInputs {
            change_log: InputQueue::new(CHANGE_LOG_LIMITS),
            clients: InputQueue::new(CLIENT_LIMITS),
            nodes: InputQueue::new(NODE_LIMITS),
        }
    }
}

impl UnreadInputs {
    /// The queue of a kind of connection.
    pub fn queue(&mut self, kind: PeerKind) -> &mut InputQueue {
        match kind {
            PeerKind::ChangeLog => &mut self.change_log,
            PeerKind::Client => &mut self.clients,
            PeerKind::Node => &mut self.nodes,
        }
    }

    /// Whether any input may be unread.
    pub fn is_empty(&self) -> bool {
        self.change_log.is_empty() && self.clients.is_empty() && self.nodes.is_empty()
    }

    /// Whether input of clients may be unread, such as aborts.
    pub fn has_client_input(&self) -> bool {
        !self.clients.is_empty()
    }

    /// The numbers of the clients whose input may be unread.
    pub fn unread_clients(&self) -> Vec<u32> {
        let client = |entry: &UnreadInput| match entry.peer {
            Peer::Client(number) => Some(number),
            Peer::Node(_) | Peer::ChangeLog(_) => None,
        };
        self.clients.entries.iter().filter_map(client).collect()
    }
}
