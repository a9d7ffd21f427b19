//! The memory of failed tries that clients may retry.

use crate::interface::Nanos;

/// Tries kept under one fingerprint: clients behind one address that ask for the same object.
const ALIKE: usize = 4;

/// A failed try that may be retried.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tried {
    /// Attempts that it and the tries before it used.
    pub(super) attempts: u8,
    /// When its retry-after ends; zero if none was given.
    pub(super) back: Nanos,
    /// A slot is reserved for it then.
    pub(super) reserved: bool,
}

/// The tries under one fingerprint.
#[derive(Debug, Clone, Default)]
pub(super) struct Page {
    pub(super) tried: [Option<Tried>; ALIKE],
    /// When a retry was last counted: a client that hammers counts once.
    pub(super) counted: Nanos,
}

/// Whether a non-idempotent request has run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Ran {
    /// In flight.
    InHand,
    /// It may have run.
    Maybe,
    /// It did not run: it may be retried.
    Never,
}

impl Page {
    /// Whether a retry is expected.
    pub(super) fn waits(&self) -> bool {
        self.tried.iter().any(Option::is_some)
    }

    /// Takes the try that a retry belongs to: the one whose retry-after ends nearest to `now`.
    pub(super) fn returns(&mut self, now: Nanos) -> Option<Tried> {
        let away = |tried: &Tried| tried.back.since(now).max(now.since(tried.back));
        let waits = self.tried.iter_mut().filter(|tried| tried.is_some());
        waits.min_by_key(|tried| tried.as_ref().map(away)).and_then(Option::take)
    }

    /// Remembers a try; if there is no room it replaces the one with the fewest attempts.
    pub(super) fn put(&mut self, tried: Tried) {
        let place = self.tried.iter_mut().min_by_key(|place| place.map_or(0, |held| 1 + held.attempts));
        place.into_iter().for_each(|place| *place = Some(tried));
    }

    /// When the last retry-after ends.
    pub(super) fn next_back(&self) -> Option<Nanos> {
        self.tried.iter().flatten().map(|tried| tried.back).max()
    }
}
