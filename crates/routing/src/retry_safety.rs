//! Retry safety: whether a request may run again by its content type's rule, and what follows for a further attempt (rule 2).

use crate::interface::{Nanos, NodeEntry};

/// Stands for a zone, or a cell, that is not told.
pub const UNKNOWN_ID: u32 = u32::MAX;
/// A repeat is written so long before the time ends in which it is known: between the decision and the write lies a turn
/// of the loop. Guards against a repeat that comes a moment too late; harms nothing but those last moments.
const LEEWAY: Nanos = Nanos(25_000_000);

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run any number of times.
    Retriable,
    /// A repeat is known and dropped within a group of caches, for a time from the first attempt.
    Deduped {
        /// Which caches know of it.
        scope: DedupScope,
        /// For how long, from the first attempt.
        window: Nanos,
    },
    /// It must never run twice.
    NonRetriable,
}

/// Which caches know a deduped request's repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

impl DedupScope {
    /// Whether a repeat at `b` is known where the first went to `a`. Of nodes whose zone, or cell, is not told none is
    /// known to share it with another.
    pub fn holds_both(self, a: &NodeEntry, b: &NodeEntry) -> bool {
        let alike = match self {
            DedupScope::All => true,
            DedupScope::Zone => a.zone == b.zone && a.zone.0 != UNKNOWN_ID,
            DedupScope::Cell => a.cell == b.cell && a.cell != UNKNOWN_ID,
        };
        alike || a.node == b.node
    }
}

impl RetrySafety {
    /// Until when a further attempt may be sent, of a request whose first attempt that may have run was ordered at `first`;
    /// `None` where time sets no limit.
    pub fn send_by(self, first: Nanos) -> Option<Nanos> {
        match self {
            RetrySafety::Deduped { window, .. } => Some(first.after(window.since(LEEWAY))),
            RetrySafety::Retriable | RetrySafety::NonRetriable => None,
        }
    }
}
