//! Duplicate filter: detects requests with an id that was seen before, ahead of the policy. The caller answers a
//! duplicate at once, as failed.
//!
//! By the protocol every request, retries included, has a new id. A duplicate does not come from a correct client: if
//! it were passed on, its answer could be taken for that of the first request, and a flood with the same id would fill
//! every connection to a node.
//!
//! Each id is kept for as long as a request under it may be open, and at most `max_ids` of them: the oldest are dropped
//! first.
//!
//! The other requests of a connection that has sent something unusable are served: later requests of misbehaving
//! clients are worth serving (`docs/fleet.md`).

use crate::interface::Nanos;
use std::collections::{HashMap, VecDeque};

/// The most ids kept: a dispatcher receives some tens of requests per second, and some thousands in a flood.
pub const MAX_IDS: usize = 65_536;

/// The result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The id is new.
    New,
    /// The id was seen before.
    Duplicate,
}

/// The recently seen ids.
#[derive(Debug)]
pub struct DuplicateFilter {
    /// When each id was seen.
    seen: HashMap<u64, Nanos>,
    /// The same ids, oldest first.
    order: VecDeque<(Nanos, u64)>,
    /// How long an id is kept.
    kept_for: Nanos,
    max_ids: usize,
}

impl DuplicateFilter {
    /// Keeps each id for `kept_for`, the longest time that a request may be open, and at most `max_ids` of them.
    pub fn new(kept_for: Nanos, max_ids: usize) -> Self {
        DuplicateFilter { seen: HashMap::new(), order: VecDeque::new(), kept_for, max_ids: max_ids.max(1) }
    }

    /// Checks the id (as a hash) of a request that was received whole, and keeps it if it is new.
    pub fn check(&mut self, now: Nanos, id: u64) -> Verdict {
        self.forget(now);
        if self.seen.contains_key(&id) {
            return Verdict::Duplicate;
        }
        if self.seen.len() >= self.max_ids
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        self.seen.insert(id, now);
        self.order.push_back((now, id));
        Verdict::New
    }

    /// The number of ids kept.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether no id is kept.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn forget(&mut self, now: Nanos) {
        while let Some((at, id)) = self.order.front().copied() {
            if now.since(at) < self.kept_for {
                break;
            }
            self.order.pop_front();
            self.seen.remove(&id);
        }
    }
}
