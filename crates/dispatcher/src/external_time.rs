//! Estimates the external time, which is the Unix time on the machines that write the change log and answer for nodes.
//! Inputs are the Unix times found in received events and answers, and this machine's wall clock; outputs are a lower
//! and an upper bound of the external time, and ages.
//!
//! A received Unix time had passed where it was written. The largest one received, advanced by the monotonic clock, is
//! therefore a lower bound of the external time, and only that: however many times arrive, all may be old. The local
//! wall clock is used if it is ahead of that bound by at most [`MAX_CLOCK_LEAD`]. If it is further ahead, or behind, it
//! is assumed to have been stepped, and the received times are used instead. Ages never depend on the wall clock alone:
//! an event is no older than the bound says and, whatever time it states, was written no later than it was received.
//!
//! What bounds the external time from above is a copy that the origin gave out for a request of this dispatcher: it was
//! made after the request was sent, so the external time at that moment was no later than the copy's. The smallest such
//! bound, advanced by the monotonic clock, holds whatever the wall clock shows.
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
/// This long after the first answer with a time, what is saved is dated by the largest received time and
/// [`MAX_CLOCK_LEAD`] at most, whatever the wall clock shows.
pub const SETTLING_TIME: Nanos = Nanos(10_000_000_000);
/// Unix times (in milliseconds) after this one, the year 2200, are ignored as invalid.
const MAX_VALID_MS: u64 = 7_258_118_400_000;

/// The tightest of the bounds received from one kind of source, as leads over the monotonic clock in nanoseconds.
#[derive(Debug, Clone, Copy)]
struct TightestLead {
    /// The tighter of two leads.
    tighter: fn(i64, i64) -> i64,
    /// When `current` was begun.
    began: Nanos,
    current: Option<i64>,
    previous: Option<i64>,
}

impl TightestLead {
    fn new(tighter: fn(i64, i64) -> i64) -> Self {
        TightestLead { tighter, began: Nanos::ZERO, current: None, previous: None }
    }

    fn observe(&mut self, now: Nanos, lead: i64) {
        if now.since(self.began) > OBSERVATION_WINDOW {
            (self.began, self.previous, self.current) = (now, self.current, None);
        }
        self.current = Some(self.current.map_or(lead, |current| (self.tighter)(current, lead)));
    }

    /// Forgets what was received before.
    fn clear(&mut self) {
        (self.current, self.previous) = (None, None);
    }

    fn tightest(&self) -> Option<i64> {
        self.current.into_iter().chain(self.previous).reduce(self.tighter)
    }
}

/// When the copy in an answer was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyTime {
    /// The Unix time in milliseconds at which the origin gave it out.
    pub made_ms: u64,
    /// When the attempt was ordered.
    pub ordered_at: Nanos,
    /// The origin was asked for this attempt, so it gave out the copy after that.
    pub from_origin: bool,
}

/// The estimate of the external time.
#[derive(Debug)]
pub struct ExternalTime {
    local: Epoch,
    /// Lower bounds from the change log: times of purges, of node starts, and of the issue of rule versions.
    log: TightestLead,
    /// Lower bounds from answers of nodes: when copies were made.
    answers: TightestLead,
    /// Upper bounds from answers of nodes: when copies were made that the origin gave out for a request from here.
    origin_copies: TightestLead,
    /// When the first answer with a time arrived.
    first_answer_at: Option<Nanos>,
}

impl ExternalTime {
    /// No times received yet; `local` relates this machine's wall clock to its monotonic clock.
    pub fn new(local: Epoch) -> Self {
        ExternalTime {
            local,
            log: TightestLead::new(i64::max),
            answers: TightestLead::new(i64::max),
            origin_copies: TightestLead::new(i64::min),
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

    /// Takes the time at which the copy in an answer was made.
    pub fn observe_answer(&mut self, now: Nanos, copy: &CopyTime) {
        match copy.from_origin {
            true => self.observe_origin_copy(now, copy.ordered_at, copy.made_ms),
            false => self.observe_copy(now, copy.made_ms),
        }
    }

    /// Takes the Unix time in milliseconds at which a copy was made, from a node's answer. That may be long ago.
    pub fn observe_copy(&mut self, now: Nanos, made_ms: u64) {
        if let Some(lead) = lead(now, made_ms) {
            self.answers.observe(now, lead);
            self.first_answer_at.get_or_insert(now);
        }
    }

    /// Takes the same of a copy that the origin gave out for an attempt that was ordered at `ordered_at`, so after that.
    pub fn observe_origin_copy(&mut self, now: Nanos, ordered_at: Nanos, made_ms: u64) {
        self.observe_copy(now, made_ms);
        // The origin may have given it out at any time within the millisecond.
        let Some(bound) = lead(ordered_at, made_ms.saturating_add(1)) else { return };
        let Some(passed) = lead(now, made_ms) else { return };
        if self.origin_copies.tightest().is_some_and(|earlier| earlier < passed) {
            // The earlier bounds can't be true: this copy was made after them.
            self.origin_copies.clear();
        }
        self.origin_copies.observe(now, bound);
    }

    /// Takes the same from a copy on disk that survived a restart. It does not count as an answer.
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
        let log_ms = self.log.tightest().map_or(0, |lead| unix_ms(now, lead));
        match self.received_ms(now) {
            Some(received_ms) if local_ms > received_ms.saturating_add(MAX_CLOCK_LEAD.0 / 1_000_000) => {
                received_ms
            }
            _ => local_ms.max(log_ms),
        }
    }

    /// Upper bound of the external time, in Unix milliseconds, for copies that must not be served too old; `None` while
    /// nothing bounds it, or if a received time contradicts the bound. The local clock is used if it is later and agrees
    /// with the received times.
    pub fn latest_ms(&self, now: Nanos) -> Option<u64> {
        let bound_ms = unix_ms(now, self.origin_copies.tightest()?);
        let received_ms = self.received_ms(now).filter(|received_ms| *received_ms <= bound_ms)?;
        let agreeing_ms = received_ms.saturating_add(MAX_CLOCK_LEAD.0 / 1_000_000);
        let local_ms = Some(self.local.unix_ms(now)).filter(|local_ms| *local_ms <= agreeing_ms);
        Some(bound_ms.max(local_ms.unwrap_or_default()))
    }

    /// The local clock, or the received times if they are later, in Unix milliseconds: later than the external time
    /// unless the local clock is behind by more than what is received tells.
    pub fn latest_by_local_clock_ms(&self, now: Nanos) -> u64 {
        self.local.unix_ms(now).max(self.received_ms(now).unwrap_or_default())
    }

    /// The Unix time in milliseconds by which what is saved is dated: the local clock, unless answers contradict it. Once
    /// they have come for [`SETTLING_TIME`], it is later than the external time by at most [`MAX_CLOCK_LEAD`]. It may be
    /// earlier by any time, so that what was saved seems too old, never too young.
    pub fn saving_date_ms(&self, now: Nanos) -> u64 {
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
        self.log.tightest().max(self.answers.tightest()).map(|lead| unix_ms(now, lead))
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
