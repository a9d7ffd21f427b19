//! One sequence of events from up to two streams of the change log.
//!
//! The first copy of an event counts; copies of it and older ones are dropped. An event whose predecessors have not
//! come is held back while another stream may tell them, bounded in count, bytes and time ([`held`]); where the gap is
//! not filled, the stream is asked again from the last event that was applied. If the same event comes too early again,
//! by whichever stream, what lies between is not to be had: it counts as lost, and the event is applied. A snapshot stands for what lies
//! between and is not asked for twice. A stream that has ended, or holds something back itself, can't fill a gap: with
//! one stream, or where both lack the same, nothing is waited for.
//!
//! A stream is caught up when it says itself that the last event it knows of is the last that was applied, in time;
//! one that says a lower number is behind, and vouches for nothing. Where all are behind for long, the log has begun
//! anew (restarted, or restored to an earlier state): all is asked for again. Where another one vouches for the higher
//! number, the one behind is a replica that lags or was restored, and only what it contradicts acts.
//!
//! [`held`]: super::held

use super::digests::Digests;
use super::heartbeat::Heartbeats;
use super::held::Held;
use crate::interface::Nanos;
use std::fmt;

/// So many heartbeats in a row with a number lower than what was applied: the log has begun anew.
const BEHIND: u32 = 3;
/// Another stream vouches for the last number for so long after it was caught up: as long as it may be silent.
const VOUCHES_FOR: Nanos = Nanos(2_000_000_000);

/// What an event brings.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Content<E> {
    /// A change.
    Delta(E),
    /// The whole state, in place of all events before.
    Snapshot(E),
    /// Nothing that can be used, and why.
    Unusable(String),
}

/// An event as a stream told it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Arrival<E> {
    /// Its number.
    pub number: u64,
    /// The memory that it takes, about.
    pub bytes: usize,
    /// The digest of what it says; `None` where it is not compared: a snapshot, or an event that says nothing.
    pub digest: Option<u64>,
    /// What it brings.
    pub content: Content<E>,
}

/// Why a stream is to be asked again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// An event has come before its predecessors.
    Gap {
        /// The event's number.
        number: u64,
        /// The number of the last event that was applied.
        applied: u64,
    },
    /// An event can't be used.
    Unusable {
        /// The event's number.
        number: u64,
        /// Why not, for the log.
        why: String,
    },
    /// Its heartbeat names an event that has not come.
    Missing {
        /// The number that it names.
        last: u64,
        /// The number of the last event that was applied.
        applied: u64,
    },
    /// Its numbers are lower than what was applied.
    LogRestarted {
        /// The number that it names.
        last: u64,
        /// The number of the last event that was applied.
        applied: u64,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Gap { number, applied } => write!(to, "event {number} after {applied}"),
            Reason::Unusable { number, why } => write!(to, "event {number}: {why}"),
            Reason::Missing { last, applied } => write!(to, "at {last}, applied {applied}"),
            Reason::LogRestarted { last, applied } => {
                write!(to, "at {last}, applied {applied}: it has begun anew")
            }
        }
    }
}

/// What is to be done next.
#[derive(Debug)]
pub enum Step<E> {
    /// Apply an event. Where `lost`, what lies between it and the one before was not told.
    Apply {
        /// The event.
        event: E,
        /// Events before it were not told.
        lost: bool,
    },
    /// Pass over an event that can't be used.
    Skip {
        /// The event's number.
        number: u64,
        /// Why not, for the log.
        why: String,
    },
    /// A stream tells another content under a number that was applied: of both the stricter acts.
    Contradiction {
        /// The stream, by its index.
        source: usize,
        /// The event's number.
        number: u64,
        /// The event.
        event: E,
    },
    /// End a stream and ask it again from the last event that was applied.
    Reconnect {
        /// The stream, by its index.
        source: usize,
        /// Why.
        reason: Reason,
    },
}

/// What a heartbeat says.
#[derive(Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// All that the stream knows of has been applied, and it knows of all that was.
    CaughtUp,
    /// It vouches for nothing now: it came late, or events of its stream are held back.
    Inconclusive,
    /// It knows of less than what was applied; `should_log` the first time in a row that this lasts.
    Behind {
        /// It was not so at its last heartbeat.
        should_log: bool,
    },
    /// The stream is to be asked again.
    Reconnect(Reason),
    /// So are all: numbers begin anew.
    LogRestarted(Reason),
}

/// One stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Source<E> {
    /// It was asked and has not ended.
    stands: bool,
    held: Held<E>,
    heartbeats: Heartbeats,
    /// When it was last caught up.
    vouched: Option<Nanos>,
    /// Heartbeats in a row with a lower number: all, and those while no other stream vouched for the higher one.
    behind: u32,
    alone_behind: u32,
}

impl<E> Default for Source<E> {
    fn default() -> Self {
        Source {
            stands: false,
            held: Held::default(),
            heartbeats: Heartbeats::default(),
            vouched: None,
            behind: 0,
            alone_behind: 0,
        }
    }
}

impl<E> Source<E> {
    /// Whether it may yet tell what another one lacks.
    fn may_fill(&self) -> bool {
        self.stands && self.held.first().is_none()
    }

    fn ended(&mut self) {
        self.stands = false;
        self.vouched = None;
        self.held.clear();
    }
}

/// The events of up to two streams as one sequence.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Merge<E> {
    /// The number of the last event that was applied.
    applied: u64,
    /// The number of an event that could not be used, or came too early; if it comes so again, by whichever stream, that
    /// stands.
    doubted: Option<u64>,
    sources: Vec<Source<E>>,
    digests: Digests,
    /// Whether it is looked for that numbers begin anew.
    looks_for_anew: bool,
    /// How much later than its period a heartbeat may come.
    slack: Nanos,
}

impl<E> Merge<E> {
    /// With the events up to `applied` known; a heartbeat may take so long on its way.
    pub fn new(applied: u64, slack: Nanos) -> Self {
        Merge {
            applied,
            doubted: None,
            sources: Vec::new(),
            digests: Digests::default(),
            looks_for_anew: false,
            slack,
        }
    }

    /// Looks from now on for whether numbers begin anew, or doesn't.
    pub fn detect_log_restart(&mut self, looks: bool) {
        self.looks_for_anew = looks;
    }

    /// The number of the last event that was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// One stream more; streams are numbered from 0.
    pub fn add_source(&mut self) {
        self.sources.push(Source::default());
    }

    /// A stream less; those behind it move up.
    pub fn remove_source(&mut self, source: usize) {
        self.sources.remove(source);
    }

    /// A stream is asked for what follows the last event that was applied.
    pub fn request_sent(&mut self, now: Nanos, source: usize) {
        self.sources[source].stands = true;
        self.sources[source].heartbeats.request_sent(now);
    }

    /// A stream has ended. What it told and was not applied is forgotten: it is told again.
    pub fn ended(&mut self, source: usize) {
        self.sources[source].ended();
    }

    /// How many events of a stream are held back, and their bytes.
    pub fn held(&self, source: usize) -> (usize, usize) {
        self.sources[source].held.size()
    }

    /// A stream has told an event.
    pub fn arrived(&mut self, source: usize, arrival: Arrival<E>) {
        self.sources[source].held.push(arrival);
    }

    /// What is to be done next; to be asked until there is nothing, after each change and now and then.
    pub fn next_step(&mut self, now: Nanos) -> Option<Step<E>> {
        let sources = 0..self.sources.len();
        let in_order = sources.clone().find_map(|source| self.in_order(source));
        in_order.or_else(|| sources.clone().find_map(|source| self.out_of_order(now, source)))
    }

    /// Applies what a stream holds that follows on the last event applied, and drops what is known.
    fn in_order(&mut self, source: usize) -> Option<Step<E>> {
        let another_stands = self.another(source, |other| other.stands);
        loop {
            let first = self.sources[source].held.first()?;
            let number = first.number;
            let usable = !matches!(first.content, Content::Unusable(_));
            if number == self.applied + 1 && usable {
                return self.apply_first(source, false);
            }
            if number > self.applied || !(usable || another_stands) {
                return None;
            }
            let dropped = self.sources[source].held.pop()?;
            if !self.digests.contradicts(dropped.number, dropped.digest) {
                continue;
            }
            if let Content::Delta(event) | Content::Snapshot(event) = dropped.content {
                return Some(Step::Contradiction { source, number, event });
            }
        }
    }

    /// What is to be done about the first event that a stream holds back, where nothing else can be applied.
    fn out_of_order(&mut self, now: Nanos, source: usize) -> Option<Step<E>> {
        let another_may_fill = self.another(source, Source::may_fill);
        let of = &mut self.sources[source];
        let number = of.held.first()?.number;
        if another_may_fill && of.held.waits(now) {
            return None;
        }
        let doubted = self.doubted == Some(number);
        match of.held.first()?.content {
            Content::Snapshot(_) => self.apply_first(source, true),
            Content::Delta(_) if doubted => self.apply_first(source, true),
            Content::Unusable(_) if doubted => self.leave_out_first(source),
            _ => self.ask_again(source),
        }
    }

    fn apply_first(&mut self, source: usize, lost: bool) -> Option<Step<E>> {
        let arrival = self.sources[source].held.pop()?;
        let (Content::Delta(event) | Content::Snapshot(event)) = arrival.content else { return None };
        self.applied = arrival.number;
        self.digests.applied(arrival.number, arrival.digest);
        Some(Step::Apply { event, lost })
    }

    fn leave_out_first(&mut self, source: usize) -> Option<Step<E>> {
        let arrival = self.sources[source].held.pop()?;
        let Content::Unusable(why) = arrival.content else { return None };
        self.applied = self.applied.max(arrival.number);
        Some(Step::Skip { number: arrival.number, why })
    }

    /// The first event that a stream holds can't be used, or has come too early: once that may be a fault on its way.
    fn ask_again(&mut self, source: usize) -> Option<Step<E>> {
        let applied = self.applied;
        let Arrival { number, content, .. } = self.sources[source].held.pop()?;
        let reason = match content {
            Content::Unusable(why) => Reason::Unusable { number, why },
            _ => Reason::Gap { number, applied },
        };
        self.doubted = Some(number);
        self.sources[source].ended();
        Some(Step::Reconnect { source, reason })
    }

    /// A stream has told its last number, after all its events.
    pub fn heartbeat(&mut self, now: Nanos, source: usize, last: u64) -> Heartbeat {
        let (applied, slack) = (self.applied, self.slack);
        let several = self.sources.len() > 1;
        let of = &mut self.sources[source];
        // With one stream, whoever renews a lease judges that.
        let in_time = of.heartbeats.received(now, slack) || !several;
        let told = of.held.last().unwrap_or(0).max(applied);
        if last > told {
            of.ended();
            return Heartbeat::Reconnect(Reason::Missing { last, applied });
        }
        if last < applied && !in_time {
            // What waited on its way tells what was known then, and ends a row of those that came in time.
            of.alone_behind = 0;
            return Heartbeat::Inconclusive;
        }
        if last < applied {
            return self.behind(now, source, last);
        }
        (of.behind, of.alone_behind) = (0, 0);
        if of.held.first().is_some() || !in_time {
            return Heartbeat::Inconclusive;
        }
        of.vouched = Some(now);
        Heartbeat::CaughtUp
    }

    /// A stream knows of less than what was applied: at first it may not have caught up itself.
    fn behind(&mut self, now: Nanos, source: usize, last: u64) -> Heartbeat {
        let vouches = |other: &Source<E>| other.vouched.is_some_and(|at| now.since(at) <= VOUCHES_FOR);
        let vouched_for = self.another(source, vouches);
        let of = &mut self.sources[source];
        of.behind = of.behind.saturating_add(1);
        of.alone_behind = if vouched_for { 0 } else { of.alone_behind + 1 };
        if of.alone_behind < BEHIND || !self.looks_for_anew {
            return Heartbeat::Behind { should_log: of.behind == BEHIND };
        }
        let reason = Reason::LogRestarted { last, applied: self.applied };
        self.applied = 0;
        self.digests.clear();
        for source in &mut self.sources {
            source.ended();
            (source.behind, source.alone_behind) = (0, 0);
        }
        Heartbeat::LogRestarted(reason)
    }

    /// Whether any other stream is so.
    fn another(&self, source: usize, is: impl Fn(&Source<E>) -> bool) -> bool {
        self.sources.iter().enumerate().any(|(at, other)| at != source && is(other))
    }
}
