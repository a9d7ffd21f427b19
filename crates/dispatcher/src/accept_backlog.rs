//! Since when clients that are accepted now may have waited in the listener's backlog. A client may send as soon as it
//! waits there, so the time of its first request counts from then. The backlog is a bounded queue: a client that is
//! accepted behind as many others as fit into it has come after those were found. No I/O; the event loop calls it and
//! passes in the time.

use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// A turn of the event loop that has found clients waiting.
#[derive(Debug, Clone, Copy)]
struct AcceptTurn {
    began: Nanos,
    /// Clients accepted before it.
    accepted_before: u64,
}

/// The clients that wait to be accepted.
#[derive(Debug)]
pub struct AcceptBacklog {
    /// The most clients that can wait.
    capacity: u64,
    accepted: u64,
    /// The client that is accepted next has come at this time or later; `None` if none waits.
    waiting_since: Option<Nanos>,
    /// Turns that began later, at most one for each client that can wait.
    turns: VecDeque<AcceptTurn>,
}

impl AcceptBacklog {
    /// An empty backlog for up to `capacity` clients.
    pub fn new(capacity: u64) -> Self {
        AcceptBacklog { capacity, accepted: 0, waiting_since: None, turns: VecDeque::new() }
    }

    /// A turn accepts clients. If none waited before, they have come at `found_since` or later.
    pub fn turn_began(&mut self, now: Nanos, found_since: Nanos) {
        match self.waiting_since {
            None => self.waiting_since = Some(found_since),
            Some(_) if self.turns.back().is_some_and(|last| last.accepted_before == self.accepted) => {}
            Some(_) => self.turns.push_back(AcceptTurn { began: now, accepted_before: self.accepted }),
        }
    }

    /// A client was accepted: returns a time at which, or after which, it came.
    pub fn accepted(&mut self, now: Nanos) -> Nanos {
        while let Some(turn) =
            self.turns.front().filter(|t| t.accepted_before + self.capacity <= self.accepted)
        {
            self.waiting_since = Some(turn.began);
            self.turns.pop_front();
        }
        self.accepted += 1;
        self.waiting_since.unwrap_or(now)
    }

    /// No client waits.
    pub fn drained(&mut self) {
        self.waiting_since = None;
        self.turns.clear();
    }
}
