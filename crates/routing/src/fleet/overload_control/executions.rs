//! Which requests that must not run twice are in flight, may have run or did not run, by fingerprint. Several requests
//! may share a fingerprint, and a client's retry does not say which of them it repeats. So what is recorded of one of
//! them never makes another count as not run: the fingerprint counts as not run only if none of its requests is in
//! flight and none is known to have run.

use crate::interface::Nanos;
use crate::structures::generational_map::{GenerationalMap, IdentityHasher};
use std::collections::HashMap;
use std::hash::BuildHasherDefault;

/// What is known of the requests under one fingerprint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ExecutionStatus {
    /// One is in flight, or may have run: a retry fails.
    MayHaveRun,
    /// None of them ran: they may be retried.
    NotRun,
    /// Nothing is known.
    Unknown,
}

/// The outcome of requests that are no longer in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    MayHaveRun,
    NotRun,
}

/// What is known of the requests that must not run twice.
#[derive(Debug)]
pub(super) struct Executions {
    /// The number of requests in flight. An entry is kept until its last request settles, however long that takes, so
    /// there are no more than open requests.
    in_flight: HashMap<u64, u32, BuildHasherDefault<IdentityHasher>>,
    settled: GenerationalMap<Outcome>,
}

impl Executions {
    /// Outcomes are remembered for `remember_for`, and at most `max_remembered` of them.
    pub(super) fn new(remember_for: Nanos, max_remembered: usize) -> Self {
        let settled = GenerationalMap::new(remember_for, max_remembered);
        Executions { in_flight: HashMap::default(), settled }
    }

    /// The number of fingerprints of which something is known.
    pub(super) fn len(&self) -> usize {
        self.in_flight.len() + self.settled.len()
    }

    /// Forgets outcomes that have expired.
    pub(super) fn rotate(&mut self, now: Nanos) {
        self.settled.rotate(now);
    }

    /// What is known of the requests under a fingerprint.
    pub(super) fn status(&self, fingerprint: u64) -> ExecutionStatus {
        if self.in_flight.contains_key(&fingerprint) {
            return ExecutionStatus::MayHaveRun;
        }
        match self.settled.get(fingerprint) {
            Some(Outcome::MayHaveRun) => ExecutionStatus::MayHaveRun,
            Some(Outcome::NotRun) => ExecutionStatus::NotRun,
            None => ExecutionStatus::Unknown,
        }
    }

    /// Whether an outcome may have been forgotten early, for lack of room.
    pub(super) fn has_lost_outcomes(&self, now: Nanos) -> bool {
        self.settled.has_lost_entries(now)
    }

    /// A request is admitted. The caller calls [`Self::settled`] for it once.
    pub(super) fn admitted(&mut self, fingerprint: u64) {
        *self.in_flight.entry(fingerprint).or_default() += 1;
    }

    /// All attempts of an admitted request have ended.
    pub(super) fn settled(&mut self, now: Nanos, fingerprint: u64, may_have_run: bool) {
        if let Some(count) = self.in_flight.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&fingerprint);
            }
        }
        match may_have_run {
            true => self.settled.insert(now, fingerprint, Outcome::MayHaveRun),
            false => self.did_not_run(now, fingerprint),
        }
    }

    /// A request did not run. That says nothing of others under its fingerprint: it is recorded only if none of these
    /// is in flight, is known to have run, or may have been forgotten.
    pub(super) fn did_not_run(&mut self, now: Nanos, fingerprint: u64) {
        let says_nothing = match self.status(fingerprint) {
            ExecutionStatus::MayHaveRun => true,
            ExecutionStatus::NotRun => false,
            ExecutionStatus::Unknown => self.has_lost_outcomes(now),
        };
        if !says_nothing {
            self.settled.insert(now, fingerprint, Outcome::NotRun);
        }
    }
}
