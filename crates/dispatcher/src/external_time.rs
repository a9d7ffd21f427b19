//! Estimates the external time, which is the Unix time on the machines that write the change log and answer for nodes.
//! Inputs are the Unix times found in received events and answers, and this machine's wall clock; outputs are a lower
//! and an upper bound of the external time, and ages.
//!
//! A received Unix time had passed where it was written. The largest one received, advanced by the monotonic clock, is
//! therefore a lower bound of the external time. The local wall clock is used if it is ahead of that bound by at most
//! [`MAX_CLOCK_LEAD`]. If it is further ahead, or behind, it is assumed to have been stepped, and the received times
//! are used instead. Ages never depend on the wall clock alone: an event is no older than the bound says and,
//! whatever time it states, was written no later than it was received.
//!
//! The reducer owns the state: two times for each kind of source. A time is forgotten after one to two times
//! [`OBSERVATION_WINDOW`], as soon as a newer one is received. No I/O; each call is given the time.

use crate::clock::Epoch;
use copperroute_protocol::changes::Change;
use copperroute_routing::interface::Nanos;

/// The wall clock agrees with the received times if it is ahead of all of them by at most this. A received time is
/// already a little old when it arrives, and events and answers arrive more than once a second.
pub const MAX_CLOCK_LEAD: Nanos = Nanos(1_000_000_000);
/// Received times are kept for one to two times this long. Monotonic clocks drift by less than a second in that time,
/// and a false time is forgotten.
pub const OBSERVATION_WINDOW: Nanos = Nanos(600_000_000_000);
/// This long after the first answer with a time, the largest received time bounds the external time from above too,
/// whatever the wall clock shows.
pub const SETTLING_TIME: Nanos = Nanos(10_000_000_000);
/// Unix times (in milliseconds) after this one, the year 2200, are ignored as invalid.
const MAX_VALID_MS: u64 = 7_258_118_400_000;

/// The largest Unix time received from one kind of source, as its lead over the monotonic clock in nanoseconds.
#[derive(Debug, Clone, Copy, Default)]
struct LargestLead {
    /// When `current` was begun.
    began: Nanos,
    current: Option<i64>,
    previous: Option<i64>,
}

impl LargestLead {
    fn observe(&mut self, now: Nanos, lead: i64) {
        if now.since(self.began) > OBSERVATION_WINDOW {
            (self.began, self.previous, self.current) = (now, self.current, None);
        }
        self.current = self.current.max(Some(lead));
    }

    fn largest(&self) -> Option<i64> {
        self.current.max(self.previous)
    }
}

/// The estimate of the external time.
#[derive(Debug)]
pub struct ExternalTime {
    local: Epoch,
    /// From the change log: times of purges, of node starts, and of the issue of rule versions.
    log: LargestLead,
    /// From answers of nodes: when copies were made.
    answers: LargestLead,
    /// When the first answer with a time arrived.
    first_answer_at: Option<Nanos>,
}

impl ExternalTime {
    /// No times received yet; `local` relates this machine's wall clock to its monotonic clock.
    pub fn new(local: Epoch) -> Self {
        ExternalTime {
            local,
            log: LargestLead::default(),
            answers: LargestLead::default(),
            first_answer_at: None,
        }
    }

    /// Takes the times in an event of the change log, live or replayed: they have passed.
    pub fn observe_event(&mut self, now: Nanos, change: &Change) {
        let starts = change.fleet.iter().flat_map(|fleet| &fleet.servers).filter_map(|node| node.started_ms);
        let purged = change.invalidate.iter().map(|purge| purge.time);
        let issued = change.rules.iter().filter_map(|rules| rules["issued_ms"].as_u64());
        starts.chain(purged).chain(issued).for_each(|unix_ms| self.observe_time(now, unix_ms));
    }

    /// Takes a Unix time in milliseconds, which has passed, from the change log or from the operator's file.
    pub fn observe_time(&mut self, now: Nanos, unix_ms: u64) {
        lead(now, unix_ms).into_iter().for_each(|lead| self.log.observe(now, lead));
    }

    /// Takes the Unix time in milliseconds at which a copy was made, from a node's answer.
    pub fn observe_copy(&mut self, now: Nanos, made_ms: u64) {
        if let Some(lead) = lead(now, made_ms) {
            self.answers.observe(now, lead);
            self.first_answer_at.get_or_insert(now);
        }
    }

    /// Takes the same from a copy on disk that survived a restart. The time may be long ago, so it does not count as an
    /// answer.
    pub fn observe_restored_copy(&mut self, now: Nanos, made_ms: u64) {
        lead(now, made_ms).into_iter().for_each(|lead| self.answers.observe(now, lead));
    }

    /// Whether any answer has brought a time.
    pub fn has_copy_time(&self) -> bool {
        self.first_answer_at.is_some()
    }

    /// Lower bound of the external time, in Unix milliseconds: the local clock where it agrees with the received times,
    /// else the received times. Where the local clock is behind, only times from the change log correct it, so that a
    /// false time from one node neither ends the slow start of a node nor activates a rule version early.
    pub fn earliest_ms(&self, now: Nanos) -> u64 {
        let local_ms = self.local.unix_ms(now);
        let log_ms = self.log.largest().map_or(0, |lead| unix_ms(now, lead));
        match self.received_ms(now) {
            Some(received_ms) if local_ms > received_ms.saturating_add(MAX_CLOCK_LEAD.0 / 1_000_000) => {
                received_ms
            }
            _ => local_ms.max(log_ms),
        }
    }

    /// Upper bound of the external time, in Unix milliseconds, for copies that must not be served too old.
    pub fn latest_ms(&self, now: Nanos) -> u64 {
        let local_ms = self.local.unix_ms(now);
        let Some(received_ms) = self.received_ms(now) else { return local_ms };
        let settled = self.first_answer_at.is_some_and(|since| now.since(since) >= SETTLING_TIME);
        let max_ms =
            if settled { received_ms.saturating_add(MAX_CLOCK_LEAD.0 / 1_000_000) } else { u64::MAX };
        local_ms.clamp(received_ms, max_ms)
    }

    /// Lower bound of the age of something that happened at this external Unix time in milliseconds.
    pub fn min_age(&self, now: Nanos, happened_ms: u64) -> Nanos {
        let local_ms = self.local.unix_ms(now);
        let earliest_ms = self.earliest_ms(now);
        match earliest_ms == local_ms {
            true => now.since(self.local.from_unix_ms(happened_ms)),
            false => Nanos(earliest_ms.saturating_sub(happened_ms).saturating_mul(1_000_000)),
        }
    }

    /// The largest received time, advanced to now.
    fn received_ms(&self, now: Nanos) -> Option<u64> {
        self.log.largest().max(self.answers.largest()).map(|lead| unix_ms(now, lead))
    }
}

/// The lead of a Unix time over the monotonic clock, in nanoseconds; `None` for 0 and for times that are not valid.
fn lead(now: Nanos, unix_ms: u64) -> Option<i64> {
    let is_valid = (1..=MAX_VALID_MS).contains(&unix_ms);
    is_valid.then(|| (unix_ms * 1_000_000) as i64 - now.0.min(i64::MAX as u64) as i64)
}

/// The Unix time in milliseconds, from a lead over the monotonic clock.
fn unix_ms(now: Nanos, lead: i64) -> u64 {
    now.0.saturating_add_signed(lead) / 1_000_000
}
