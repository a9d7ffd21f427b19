//! Digests of the most recently applied events, to tell a duplicate from a contradicting copy.

use std::collections::VecDeque;

/// Digests kept: 24 KB, three minutes at 6 events a second. Copies of older events are not compared.
const MAX_DIGESTS: usize = 1024;

/// An applied event.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Applied {
    number: u64,
    digest: u64,
    /// The last differing digest that was received for this number.
    other: Option<u64>,
}

/// Applied events in ascending order of number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Digests(VecDeque<Applied>);

impl Digests {
    /// Records an applied event; its number must be higher than any before.
    pub(super) fn record(&mut self, number: u64, digest: Option<u64>) {
        let Some(digest) = digest else { return };
        if self.0.len() == MAX_DIGESTS {
            self.0.pop_front();
        }
        self.0.push_back(Applied { number, digest, other: None });
    }

    /// Whether a copy differs from the applied event. Returns false for a repetition of the last contradiction.
    pub(super) fn contradicts(&mut self, number: u64, digest: Option<u64>) -> bool {
        let Some(digest) = digest else { return false };
        let found = self.0.binary_search_by_key(&number, |applied| applied.number);
        let Some(applied) = found.ok().and_then(|at| self.0.get_mut(at)) else { return false };
        if digest == applied.digest {
            return false;
        }
        applied.other.replace(digest) != Some(digest)
    }

    /// Forgets all digests, when event numbers start again.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
