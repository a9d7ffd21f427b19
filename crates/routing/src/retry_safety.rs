//! Retry safety (rule 2): whether a request may run again by its content type's rule, and at which nodes and until
//! when it may be retried.

use crate::interface::{Nanos, NodeEntry};

/// Stands for a zone or a cell that is not known.
pub const UNKNOWN_ID: u32 = u32::MAX;
/// A retry must be written this long before the deduplication window ends: 25 ms, as a turn of the event loop lies
/// between the decision and the write. Prevents a duplicate that arrives just after the window. Costs retries in the
/// last 25 ms.
const SEND_MARGIN: Nanos = Nanos(25_000_000);

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run any number of times.
    Retriable,
    /// Duplicates are recognised and dropped within a group of caches, for a time after the first attempt.
    Deduped {
        /// The caches that recognise duplicates.
        scope: DedupScope,
        /// For how long, from the first attempt.
        window: Nanos,
    },
    /// It must never run twice.
    NonRetriable,
}

/// The caches that recognise duplicates of a deduped request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All caches.
    All,
    /// The caches of one zone.
    Zone,
    /// The caches of one cell.
    Cell,
}

impl DedupScope {
    /// Whether `b` recognises a duplicate of a request that was first sent to `a`. A node whose zone or cell is not
    /// known shares it with no other node.
    pub fn covers(self, a: &NodeEntry, b: &NodeEntry) -> bool {
        let alike = match self {
            DedupScope::All => true,
            DedupScope::Zone => a.zone == b.zone && a.zone.0 != UNKNOWN_ID,
            DedupScope::Cell => a.cell == b.cell && a.cell != UNKNOWN_ID,
        };
        alike || a.node == b.node
    }
}

impl RetrySafety {
    /// Until when a retry may be sent, if the first attempt that may have run was decided at `first`; `None` if there
    /// is no limit in time.
    pub fn send_by(self, first: Nanos) -> Option<Nanos> {
        match self {
            RetrySafety::Deduped { window, .. } => Some(first.after(window.since(SEND_MARGIN))),
            RetrySafety::Retriable | RetrySafety::NonRetriable => None,
        }
    }
}
