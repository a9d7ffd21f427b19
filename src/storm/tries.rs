//! What is remembered of tries that failed and may come again.

use crate::interface::Nanos;

/// Tries that may wait under one fingerprint: clients behind one address that ask for the same.
const ALIKE: usize = 4;

/// A try that failed and may come again.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tried {
    /// Pulls that it and those before it took.
    pub(super) pulls: u8,
    /// When it was told to come back; zero for no word.
    pub(super) back: Nanos,
    /// A slot is kept for it then.
    pub(super) reserved: bool,
}

/// What is remembered of tries under one fingerprint.
#[derive(Debug, Clone, Default)]
pub(super) struct Page {
    pub(super) tried: [Option<Tried>; ALIKE],
    /// When a repeat was last counted: who hammers counts once.
    pub(super) counted: Nanos,
}

/// What is remembered of a download that must not run twice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Ran {
    /// It is in hand.
    InHand,
    /// It may have run, or has.
    Maybe,
    /// It never did: it may come again.
    Never,
}

impl Page {
    /// Whether a try is awaited.
    pub(super) fn waits(&self) -> bool {
        self.tried.iter().any(Option::is_some)
    }

    /// One of those alike has come back: the one whose time is nearest.
    pub(super) fn returns(&mut self, now: Nanos) -> Option<Tried> {
        let away = |tried: &Tried| tried.back.since(now).max(now.since(tried.back));
        let waits = self.tried.iter_mut().filter(|tried| tried.is_some());
        waits.min_by_key(|tried| tried.as_ref().map(away)).and_then(Option::take)
    }

    /// A try waits; where too many do, it stands for one that had as many pulls or fewer.
    pub(super) fn put(&mut self, tried: Tried) {
        let place = self.tried.iter_mut().min_by_key(|place| place.map_or(0, |held| 1 + held.pulls));
        place.into_iter().for_each(|place| *place = Some(tried));
    }

    /// When the next of those who wait is to come.
    pub(super) fn next_back(&self) -> Option<Nanos> {
        self.tried.iter().flatten().map(|tried| tried.back).max()
    }
}
