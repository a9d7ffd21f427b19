//! Duplicate filter: rejects requests under an id that was seen before, ahead of the policy.
//!
//! By the protocol every request, retries included, has a new id, and no id is used twice. A duplicate does not come from a
//! usual client: passed on, its answer could be taken for that of the first, and a flood of the same id would fill every
//! connection to a node. It is answered at once, as failed.
//!
//! Each id is kept for as long as a request under it could still be open somewhere, and at most `most` of them: the oldest are
//! dropped first.
//!
//! Refusing all else that a connection sends once it has sent something unusable was measured and not kept: on
//! the days of rude clients their later requests are worth serving (`docs/fleet.md`).

use crate::interface::Nanos;
use std::collections::{HashMap, VecDeque};

/// Ids that are kept at most: a dispatcher takes some tens of requests a second, a flood some thousands.
pub const MAX_IDS: usize = 65_536;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is new.
    New,
    /// Its id was seen before.
    Duplicate,
}

/// The ids seen lately.
#[derive(Debug)]
pub struct DuplicateFilter {
    /// When each id was seen.
    seen: HashMap<u64, Nanos>,
    /// The same, oldest first.
    order: VecDeque<(Nanos, u64)>,
    /// How long an id is kept.
    kept_for: Nanos,
    most: usize,
}

impl DuplicateFilter {
    /// Keeps each id for `kept_for`, the longest that a request may be open, and at most `most` of them.
    pub fn new(kept_for: Nanos, most: usize) -> Self {
        DuplicateFilter { seen: HashMap::new(), order: VecDeque::new(), kept_for, most: most.max(1) }
    }

    /// A whole request has come, under the client's id (as a hash).
    pub fn check(&mut self, now: Nanos, id: u64) -> Verdict {
        self.forget(now);
        if self.seen.contains_key(&id) {
            return Verdict::Duplicate;
        }
        if self.seen.len() >= self.most
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        self.seen.insert(id, now);
        self.order.push_back((now, id));
        Verdict::New
    }

    /// How many ids are kept.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether none is.
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
