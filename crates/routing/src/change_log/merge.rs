//! One sequence of events from up to two streams of the change log.
//!
//! Input: events and heartbeats of each stream. Output: [`Step`]s for the caller, which asks [`Merge::next_step`] after
//! each change until there is none, and the meaning of each heartbeat ([`Heartbeat`]). No I/O.
//!
//! The first copy of an event is applied; later copies and older events are dropped. An event whose predecessors are
//! missing is held back while another stream may deliver them, bounded in count, bytes and time ([`held_back`]); if the
//! gap is not filled, the stream is requested again from the last applied event. If the same event arrives early again,
//! on either stream, the events in between are not available: they count as lost, and the event is applied. A snapshot
//! replaces the events in between and is not requested twice. A stream that has ended, or holds back events itself,
//! can't fill a gap, so there is no wait with one stream, or where both lack the same event.
//!
//! A stream is caught up when its heartbeat arrives in time and names the last applied event; a stream that names a
//! lower number is behind and confirms nothing. If all streams stay behind, the log was restarted, or restored to an
//! earlier state, and everything is requested again. If another stream confirms the higher number, the one behind is a
//! replica that lags or was restored; of its events only contradictions are passed on.
//!
//! [`held_back`]: super::held_back

use super::digests::Digests;
use super::heartbeat::Heartbeats;
use super::held_back::HeldBack;
use crate::interface::Nanos;
use std::fmt;

/// After this many consecutive heartbeats with a number lower than the last applied event the log counts as restarted.
const BEHIND_HEARTBEATS: u32 = 3;
/// How long a stream's confirmation of the last number remains valid: as long as a stream may be silent.
const CONFIRMATION_VALID_FOR: Nanos = Nanos(2_000_000_000);

/// The content of an event.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Content<E> {
    /// A delta.
    Delta(E),
    /// The whole state, in place of all events before.
    Snapshot(E),
    /// An event that can't be used, and why.
    Unusable(String),
}

/// An event as received on a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Arrival<E> {
    /// Its number.
    pub number: u64,
    /// The approximate memory that it takes.
    pub bytes: usize,
    /// The digest of its content; `None` if it is not compared: a snapshot, or an event without content.
    pub digest: Option<u64>,
    /// Its content.
    pub content: Content<E>,
}

/// Why a stream must be requested again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// An event arrived before its predecessors.
    Gap {
        /// The event's number.
        number: u64,
        /// The number of the last applied event.
        applied: u64,
    },
    /// An event can't be used.
    Unusable {
        /// The event's number.
        number: u64,
        /// Why not, for the log.
        why: String,
    },
    /// Its heartbeat names an event that was not received.
    Missing {
        /// The number that it names.
        last: u64,
        /// The number of the last applied event.
        applied: u64,
    },
    /// Its numbers are lower than that of the last applied event: the log was restarted or restored.
    LogRestarted {
        /// The number that it names.
        last: u64,
        /// The number of the last applied event.
        applied: u64,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Gap { number, applied } => {
                write!(to, "event {number} received after {applied}: events in between are missing")
            }
            Reason::Unusable { number, why } => write!(to, "event {number} can't be used: {why}"),
            Reason::Missing { last, applied } => {
                write!(to, "heartbeat names event {last}, last applied is {applied}")
            }
            Reason::LogRestarted { last, applied } => {
                write!(to, "heartbeat names event {last}, last applied is {applied}: the log was restarted")
            }
        }
    }
}

/// An action for the caller.
#[derive(Debug)]
pub enum Step<E> {
    /// Apply an event.
    Apply {
        /// The event.
        event: E,
        /// The events between it and the one applied before were not received.
        lost: bool,
    },
    /// Skip an event that can't be used.
    Skip {
        /// The event's number.
        number: u64,
        /// Why not, for the log.
        why: String,
    },
    /// A stream delivered another content under a number that was applied: the stricter of both takes effect.
    Contradiction {
        /// The stream, by its index.
        source: usize,
        /// The event's number.
        number: u64,
        /// The event.
        event: E,
    },
    /// Close a stream and request it again from the last applied event.
    Reconnect {
        /// The stream, by its index.
        source: usize,
        /// Why.
        reason: Reason,
    },
}

/// The meaning of a heartbeat.
#[derive(Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// The stream's last event is the last applied event.
    CaughtUp,
    /// It confirms nothing: it arrived late, or events of its stream are held back.
    Inconclusive,
    /// It names a lower number than the last applied event.
    Behind {
        /// True once, at the `BEHIND_HEARTBEATS`th consecutive heartbeat that is behind.
        should_log: bool,
    },
    /// The stream must be requested again.
    Reconnect(Reason),
    /// All streams must be requested again: numbers start again.
    LogRestarted(Reason),
}

/// One stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Source<E> {
    /// It was requested and has not ended.
    is_open: bool,
    held_back: HeldBack<E>,
    heartbeats: Heartbeats,
    /// When it last confirmed the last applied event.
    confirmed_at: Option<Nanos>,
    /// Consecutive heartbeats with a lower number.
    behind: u32,
    /// Those of them while no other stream confirmed the higher number.
    behind_unopposed: u32,
}

impl<E> Default for Source<E> {
    fn default() -> Self {
        Source {
            is_open: false,
            held_back: HeldBack::default(),
            heartbeats: Heartbeats::default(),
            confirmed_at: None,
            behind: 0,
            behind_unopposed: 0,
        }
    }
}

impl<E> Source<E> {
    /// Whether it may still deliver what another stream lacks.
    fn may_fill(&self) -> bool {
        self.is_open && self.held_back.first().is_none()
    }

    fn ended(&mut self) {
        self.is_open = false;
        self.confirmed_at = None;
        self.held_back.clear();
    }
}

/// The events of up to two streams as one sequence.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Merge<E> {
    /// The number of the last applied event.
    applied: u64,
    /// The number of an event that could not be used, or arrived early. If that happens again, on either stream, the
    /// event is skipped or applied as it is.
    retried_number: Option<u64>,
    sources: Vec<Source<E>>,
    digests: Digests,
    /// Whether a restart of the log is detected.
    detects_restart: bool,
    /// How much later than its period a heartbeat may come.
    slack: Nanos,
}

impl<E> Merge<E> {
    /// Events up to `applied` are known; a heartbeat may be `slack` later than its period.
    pub fn new(applied: u64, slack: Nanos) -> Self {
        Merge {
            applied,
            retried_number: None,
            sources: Vec::new(),
            digests: Digests::default(),
            detects_restart: false,
            slack,
        }
    }

    /// Enables or disables the detection of a restart of the log.
    pub fn detect_log_restart(&mut self, enabled: bool) {
        self.detects_restart = enabled;
    }

    /// The number of the last applied event.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Adds a stream; streams are numbered from 0.
    pub fn add_source(&mut self) {
        self.sources.push(Source::default());
    }

    /// Removes a stream; the numbers of those after it decrease by one.
    pub fn remove_source(&mut self, source: usize) {
        self.sources.remove(source);
    }

    /// A stream is requested from the last applied event on.
    pub fn request_sent(&mut self, now: Nanos, source: usize) {
        self.sources[source].is_open = true;
        self.sources[source].heartbeats.request_sent(now);
    }

    /// A stream has ended. Its events that were not applied are dropped: they are requested again.
    pub fn ended(&mut self, source: usize) {
        self.sources[source].ended();
    }

    /// The number of events of a stream that are held back, and their bytes.
    pub fn held(&self, source: usize) -> (usize, usize) {
        self.sources[source].held_back.size()
    }

    /// An event was received on a stream.
    pub fn arrived(&mut self, source: usize, arrival: Arrival<E>) {
        self.sources[source].held_back.push(arrival);
    }

    /// The next action; call it until it returns `None`, after each change and periodically.
    pub fn next_step(&mut self, now: Nanos) -> Option<Step<E>> {
        let sources = 0..self.sources.len();
        let step = sources.clone().find_map(|source| self.step_in_order(source));
        step.or_else(|| sources.clone().find_map(|source| self.step_out_of_order(now, source)))
    }

    /// Applies a held-back event that follows the last applied one, and drops known events.
    fn step_in_order(&mut self, source: usize) -> Option<Step<E>> {
        let another_is_open = self.any_other(source, |other| other.is_open);
        loop {
            let first = self.sources[source].held_back.first()?;
            let number = first.number;
            let usable = !matches!(first.content, Content::Unusable(_));
            if number == self.applied + 1 && usable {
                return self.apply_first(source, false);
            }
            if number > self.applied || !(usable || another_is_open) {
                return None;
            }
            let dropped = self.sources[source].held_back.pop()?;
            if !self.digests.contradicts(dropped.number, dropped.digest) {
                continue;
            }
            if let Content::Delta(event) | Content::Snapshot(event) = dropped.content {
                return Some(Step::Contradiction { source, number, event });
            }
        }
    }

    /// Handles the first event that a stream holds back, when no event can be applied in order.
    fn step_out_of_order(&mut self, now: Nanos, source: usize) -> Option<Step<E>> {
        let another_may_fill = self.any_other(source, Source::may_fill);
        let stream = &mut self.sources[source];
        let number = stream.held_back.first()?.number;
        if another_may_fill && stream.held_back.may_wait(now) {
            return None;
        }
        let is_retried = self.retried_number == Some(number);
        match stream.held_back.first()?.content {
            Content::Snapshot(_) => self.apply_first(source, true),
            Content::Delta(_) if is_retried => self.apply_first(source, true),
            Content::Unusable(_) if is_retried => self.skip_first(source),
            _ => self.reconnect(source),
        }
    }

    fn apply_first(&mut self, source: usize, lost: bool) -> Option<Step<E>> {
        let arrival = self.sources[source].held_back.pop()?;
        let (Content::Delta(event) | Content::Snapshot(event)) = arrival.content else { return None };
        self.applied = arrival.number;
        self.digests.record(arrival.number, arrival.digest);
        Some(Step::Apply { event, lost })
    }

    fn skip_first(&mut self, source: usize) -> Option<Step<E>> {
        let arrival = self.sources[source].held_back.pop()?;
        let Content::Unusable(why) = arrival.content else { return None };
        self.applied = self.applied.max(arrival.number);
        Some(Step::Skip { number: arrival.number, why })
    }

    /// The first event that a stream holds back can't be used, or arrived early. The first time that may be a
    /// transmission fault, so the stream is requested again.
    fn reconnect(&mut self, source: usize) -> Option<Step<E>> {
        let applied = self.applied;
        let Arrival { number, content, .. } = self.sources[source].held_back.pop()?;
        let reason = match content {
            Content::Unusable(why) => Reason::Unusable { number, why },
            _ => Reason::Gap { number, applied },
        };
        self.retried_number = Some(number);
        self.sources[source].ended();
        Some(Step::Reconnect { source, reason })
    }

    /// A stream has sent its last number, after all its events.
    pub fn heartbeat(&mut self, now: Nanos, source: usize, last: u64) -> Heartbeat {
        let (applied, slack) = (self.applied, self.slack);
        let several = self.sources.len() > 1;
        let stream = &mut self.sources[source];
        // With one stream, the code that renews the lease checks the time itself.
        let in_time = stream.heartbeats.received(now, slack) || !several;
        let received = stream.held_back.last().unwrap_or(0).max(applied);
        if last > received {
            stream.ended();
            return Heartbeat::Reconnect(Reason::Missing { last, applied });
        }
        if last < applied && !in_time {
            // A delayed heartbeat shows an earlier state, so it interrupts the consecutive heartbeats that are behind.
            stream.behind_unopposed = 0;
            return Heartbeat::Inconclusive;
        }
        if last < applied {
            return self.behind_heartbeat(now, source, last);
        }
        (stream.behind, stream.behind_unopposed) = (0, 0);
        if stream.held_back.first().is_some() || !in_time {
            return Heartbeat::Inconclusive;
        }
        stream.confirmed_at = Some(now);
        Heartbeat::CaughtUp
    }

    /// A stream names a lower number than the last applied event. At first it may not have caught up itself.
    fn behind_heartbeat(&mut self, now: Nanos, source: usize, last: u64) -> Heartbeat {
        let confirms =
            |other: &Source<E>| other.confirmed_at.is_some_and(|at| now.since(at) <= CONFIRMATION_VALID_FOR);
        let is_opposed = self.any_other(source, confirms);
        let stream = &mut self.sources[source];
        stream.behind = stream.behind.saturating_add(1);
        stream.behind_unopposed = if is_opposed { 0 } else { stream.behind_unopposed + 1 };
        if stream.behind_unopposed < BEHIND_HEARTBEATS || !self.detects_restart {
            return Heartbeat::Behind { should_log: stream.behind == BEHIND_HEARTBEATS };
        }
        let reason = Reason::LogRestarted { last, applied: self.applied };
        self.applied = 0;
        self.digests.clear();
        for source in &mut self.sources {
            source.ended();
            (source.behind, source.behind_unopposed) = (0, 0);
        }
        Heartbeat::LogRestarted(reason)
    }

    /// Whether `is` holds for any other stream.
    fn any_other(&self, source: usize, is: impl Fn(&Source<E>) -> bool) -> bool {
        self.sources.iter().enumerate().any(|(at, other)| at != source && is(other))
    }
}
