//! What was seen of each dispatcher: when it had acted on which event, and when it was out of reach.

use super::hollow::Record;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// What an observer saw of a purge at a real dispatcher: it had not acted on it when the last answer that showed an old
/// copy was asked for, and had when the first answer with a fresh one came; none came in time if that is absent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub seq: u64,
    pub stale_us: u64,
    pub seen_us: Option<u64>,
}

/// Why a dispatcher was out of reach, or may be late though it is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Cause {
    /// Nothing has happened to it.
    None,
    /// The start of the run.
    Start,
    Restart,
    Failure,
    Kill,
    Stop,
    Cut,
    Backlog,
    LogAway,
    LogReset,
    StreamsReset,
    Replica,
}

/// What happened to a dispatcher: for this span, in Unix microseconds, it could not be reached; an empty span only tells
/// that something happened then.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Disturbance {
    pub cause: Cause,
    pub from_us: u64,
    pub to_us: u64,
}

/// All that was seen of one dispatcher.
#[derive(Debug, Clone, Default)]
pub(super) struct Track {
    /// At a Unix microsecond it had acted on all events up to a number.
    pub applied: Vec<(u64, u64)>,
    /// At a Unix microsecond a version of the rules was in force.
    pub versions: Vec<(u64, u64)>,
    pub probes: Vec<Probe>,
    pub disturbances: Vec<Disturbance>,
    /// When it last started.
    pub started_us: Option<u64>,
    /// It ended by itself.
    pub exited_us: Option<u64>,
}

/// What was seen of all.
pub(super) struct Ledger(Vec<Mutex<Track>>);

impl Track {
    /// When it had acted on an event that was issued at a time, if it ever had.
    pub(super) fn acted_us(&self, seq: u64, issued_us: u64) -> Option<u64> {
        let from = self.applied.partition_point(|(at_us, _)| *at_us < issued_us);
        self.applied[from..].iter().find(|(_, applied)| *applied >= seq).map(|(at_us, _)| *at_us)
    }

    /// When a version that was issued at a time, or a later one, was in force.
    pub(super) fn in_force_us(&self, number: u64, issued_us: u64) -> Option<u64> {
        let from = self.versions.partition_point(|(at_us, _)| *at_us < issued_us);
        self.versions[from..].iter().find(|(_, version)| *version >= number).map(|(at_us, _)| *at_us)
    }

    /// Whether it could be reached all the time from one moment to another.
    pub(super) fn is_reachable(&self, from_us: u64, to_us: u64) -> bool {
        !self
            .disturbances
            .iter()
            .any(|span| span.from_us < span.to_us && span.from_us <= to_us && from_us <= span.to_us)
    }

    /// What last happened to it before a moment.
    pub(super) fn cause(&self, at_us: u64) -> Cause {
        let before = self.disturbances.iter().filter(|span| span.from_us <= at_us);
        before.max_by_key(|span| span.to_us).map_or(Cause::None, |span| span.cause)
    }

    /// It could be reached all the time since its start, whatever happened to what it follows.
    pub(super) fn is_undisturbed(&self) -> bool {
        self.disturbances.iter().all(|span| span.cause == Cause::Start || span.from_us == span.to_us)
    }
}

impl Ledger {
    /// For so many dispatchers.
    pub(super) fn new(dispatchers: usize) -> Ledger {
        Ledger((0..dispatchers).map(|_| Mutex::default()).collect())
    }

    fn track(&self, dispatcher: usize) -> MutexGuard<'_, Track> {
        self.0[dispatcher].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A host of hollow dispatchers has told something; what it tells of dispatchers that there are none of is nothing.
    pub(super) fn record(&self, record: Record) {
        let (Record::Started { dispatcher, .. }
        | Record::Applied { dispatcher, .. }
        | Record::Version { dispatcher, .. }
        | Record::Exited { dispatcher, .. }) = record;
        if dispatcher >= self.0.len() {
            return;
        }
        let mut track = self.track(dispatcher);
        match record {
            Record::Started { at_us, .. } => track.started_us = Some(at_us),
            Record::Applied { at_us, seq, .. } => track.applied.push((at_us, seq)),
            Record::Version { at_us, number, .. } => track.versions.push((at_us, number)),
            Record::Exited { at_us, .. } => track.exited_us = Some(at_us),
        }
    }

    /// An observer has ended a probe.
    pub(super) fn probed(&self, dispatcher: usize, probe: Probe) {
        self.track(dispatcher).probes.push(probe);
    }

    /// Something happens to a dispatcher, which can't be reached until told otherwise.
    pub(super) fn lost(&self, dispatcher: usize, cause: Cause, from_us: u64) {
        self.track(dispatcher).disturbances.push(Disturbance { cause, from_us, to_us: u64::MAX });
    }

    /// What happened to it for this cause is over.
    pub(super) fn back(&self, dispatcher: usize, cause: Cause, to_us: u64) {
        let mut track = self.track(dispatcher);
        let open = |span: &&mut Disturbance| span.cause == cause && span.to_us == u64::MAX;
        if let Some(span) = track.disturbances.iter_mut().rev().find(open) {
            span.to_us = to_us;
        }
    }

    /// Something happened to what all dispatchers follow, at one moment: all can be reached as before.
    pub(super) fn disturbed(&self, cause: Cause, at_us: u64) {
        (0..self.0.len()).for_each(|dispatcher| self.touched(dispatcher, cause, at_us));
    }

    /// The same of what one follows.
    pub(super) fn touched(&self, dispatcher: usize, cause: Cause, at_us: u64) {
        let disturbance = Disturbance { cause, from_us: at_us, to_us: at_us };
        self.track(dispatcher).disturbances.push(disturbance);
    }

    /// When a dispatcher last started, if it did after a moment.
    pub(super) fn started_after(&self, dispatcher: usize, at_us: u64) -> Option<u64> {
        self.track(dispatcher).started_us.filter(|started_us| *started_us >= at_us)
    }

    /// Whether all of these have told that they acted on an event.
    pub(super) fn all_applied(&self, who: &[usize], seq: u64) -> bool {
        who.iter().all(|at| self.track(*at).applied.last().is_some_and(|(_, applied)| *applied >= seq))
    }

    /// All that was seen.
    pub(super) fn tracks(&self) -> Vec<Track> {
        (0..self.0.len()).map(|at| self.track(at).clone()).collect()
    }
}

#[cfg(test)]
#[path = "../tests/capacity_ledger.rs"]
mod tests;
