//! What time it is outside, by witnesses: Unix times that others told, and this machine's wall clock.
//!
//! A Unix time that was told has passed where it was written, so the largest one heard, carried on by the monotonic clock,
//! bounds the outside's present from below. The own wall clock counts where it lies within [`MAX_CLOCK_LEAD`] above
//! that bound; one further ahead or behind is taken to have been stepped, and what was told stands. Spans are never
//! read off it alone: what happened is no older than the bound says, and, whatever its number says, no younger than
//! when it was heard of.
//!
//! Owner: the reducer. Bound: two times of each kind of witness. Forgotten: after one to two times
//! [`OBSERVATION_WINDOW`], as soon as newer ones are heard. No I/O; time comes with each call.

use crate::clock::Epoch;
use copperroute_protocol::changes::Change;
use copperroute_routing::interface::Nanos;

/// A wall clock that is ahead of all that was told by no more than this agrees with it: what is told is underway for
/// some of that, and events and answers come more than once a second.
pub const MAX_CLOCK_LEAD: Nanos = Nanos(1_000_000_000);
/// Times told are kept for one to two times as long: monotonic clocks drift by less than a second in that, and a false
/// time is forgotten.
pub const OBSERVATION_WINDOW: Nanos = Nanos(600_000_000_000);
/// After so long with answers the largest time told is the outside's present, whatever the wall clock says.
pub const SETTLING_TIME: Nanos = Nanos(10_000_000_000);
/// No Unix millisecond past this one (the year 2200) is believed.
const LATEST_BELIEVED_MS: u64 = 7_258_118_400_000;

/// The largest Unix time told by one kind of witness, as nanoseconds by which it leads the monotonic clock.
#[derive(Debug, Clone, Copy, Default)]
struct Leads {
    began: Nanos,
    current: Option<i64>,
    previous: Option<i64>,
}

impl Leads {
    fn heard(&mut self, now: Nanos, lead: i64) {
        if now.since(self.began) > OBSERVATION_WINDOW {
            (self.began, self.previous, self.current) = (now, self.current, None);
        }
        self.current = self.current.max(Some(lead));
    }

    fn largest(&self) -> Option<i64> {
        self.current.max(self.previous)
    }
}

/// The outside's present, as far as it is known.
#[derive(Debug)]
pub struct ExternalTime {
    own: Epoch,
    /// By the change log: purges, starts, and versions of the rules as they were issued.
    log: Leads,
    /// By nodes' answers: when copies were made.
    answers: Leads,
    /// When the first answer told a time.
    answered: Option<Nanos>,
}

impl ExternalTime {
    /// Nothing told yet, on a machine whose wall clock lies so to the monotonic one.
    pub fn new(own: Epoch) -> Self {
        ExternalTime { own, log: Leads::default(), answers: Leads::default(), answered: None }
    }

    /// An event of the change log was heard, live or not: the times in it have passed.
    pub fn observe_event(&mut self, now: Nanos, change: &Change) {
        let starts = change.fleet.iter().flat_map(|fleet| &fleet.servers).filter_map(|node| node.started_ms);
        let purged = change.invalidate.iter().map(|purge| purge.time);
        let issued = change.rules.iter().filter_map(|rules| rules["issued_ms"].as_u64());
        starts.chain(purged).chain(issued).for_each(|unix_ms| self.observe_time(now, unix_ms));
    }

    /// Those who change the fleet wrote a Unix millisecond, which has passed: in the change log, or in a file.
    pub fn observe_time(&mut self, now: Nanos, unix_ms: u64) {
        lead(now, unix_ms).into_iter().for_each(|lead| self.log.heard(now, lead));
    }

    /// A copy was told of that was made at a Unix millisecond.
    pub fn observe_copy(&mut self, now: Nanos, made_ms: u64) {
        if let Some(lead) = lead(now, made_ms) {
            self.answers.heard(now, lead);
            self.answered.get_or_insert(now);
        }
    }

    /// A copy that was kept over a restart was made at a Unix millisecond, which may be long ago.
    pub fn observe_restored_copy(&mut self, now: Nanos, made_ms: u64) {
        lead(now, made_ms).into_iter().for_each(|lead| self.answers.heard(now, lead));
    }

    /// Whether any answer has told a time.
    pub fn has_copy_time(&self) -> bool {
        self.answered.is_some()
    }

    /// The Unix millisecond that it is outside at the least: the own clock's where the witnesses agree, else what was
    /// told. Where the own clock is behind, only the change log moves it: one node's false time must not make a cold
    /// node warm, nor a version of the rules act early.
    pub fn earliest_ms(&self, now: Nanos) -> u64 {
        let own_ms = self.own.unix_ms(now);
        let log_ms = self.log.largest().map_or(0, |lead| unix_ms(now, lead));
        match self.told_ms(now) {
            Some(told_ms) if own_ms > told_ms.saturating_add(MAX_CLOCK_LEAD.0 / 1_000_000) => told_ms,
            _ => own_ms.max(log_ms),
        }
    }

    /// The Unix millisecond that it may be outside at the most, for what must not be served too old.
    pub fn latest_ms(&self, now: Nanos) -> u64 {
        let own_ms = self.own.unix_ms(now);
        let Some(told_ms) = self.told_ms(now) else { return own_ms };
        let settled = self.answered.is_some_and(|since| now.since(since) >= SETTLING_TIME);
        let most_ms = if settled { told_ms.saturating_add(MAX_CLOCK_LEAD.0 / 1_000_000) } else { u64::MAX };
        own_ms.clamp(told_ms, most_ms)
    }

    /// How long ago, at the least, something happened at a Unix millisecond of the outside's.
    pub fn min_age(&self, now: Nanos, happened_ms: u64) -> Nanos {
        let own_ms = self.own.unix_ms(now);
        let earliest_ms = self.earliest_ms(now);
        match earliest_ms == own_ms {
            true => now.since(self.own.from_unix_ms(happened_ms)),
            false => Nanos(earliest_ms.saturating_sub(happened_ms).saturating_mul(1_000_000)),
        }
    }

    /// The largest time told, carried on to now.
    fn told_ms(&self, now: Nanos) -> Option<u64> {
        self.log.largest().max(self.answers.largest()).map(|lead| unix_ms(now, lead))
    }
}

/// By how much a Unix time leads the monotonic clock; none for what is no time, or none to be believed.
fn lead(now: Nanos, unix_ms: u64) -> Option<i64> {
    let told = (1..=LATEST_BELIEVED_MS).contains(&unix_ms);
    told.then(|| (unix_ms * 1_000_000) as i64 - now.0.min(i64::MAX as u64) as i64)
}

/// The Unix millisecond by a lead over the monotonic clock.
fn unix_ms(now: Nanos, lead: i64) -> u64 {
    now.0.saturating_add_signed(lead) / 1_000_000
}
