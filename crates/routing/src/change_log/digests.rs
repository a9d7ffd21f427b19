//! The digests of the events that were applied last, to tell a duplicate from a contradiction.

use std::collections::VecDeque;

/// So many are kept: three minutes at 6 events a second, 24 KB. What is older is forgotten, and compared with nothing.
const KEPT: usize = 1024;

/// An event that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Applied {
    number: u64,
    digest: u64,
    /// The last other digest under this number.
    other: Option<u64>,
}

/// The last ones, in the order of their numbers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Digests(VecDeque<Applied>);

impl Digests {
    /// An event is applied; its number is higher than any before.
    pub(super) fn applied(&mut self, number: u64, digest: Option<u64>) {
        let Some(digest) = digest else { return };
        if self.0.len() == KEPT {
            self.0.pop_front();
        }
        self.0.push_back(Applied { number, digest, other: None });
    }

    /// Whether another copy of an event contradicts the one that was applied, for the first time.
    pub(super) fn contradicts(&mut self, number: u64, digest: Option<u64>) -> bool {
        let Some(digest) = digest else { return false };
        let found = self.0.binary_search_by_key(&number, |applied| applied.number);
        let Some(applied) = found.ok().and_then(|at| self.0.get_mut(at)) else { return false };
        if digest == applied.digest {
            return false;
        }
        applied.other.replace(digest) != Some(digest)
    }

    /// Numbers begin anew.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
