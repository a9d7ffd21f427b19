//! Decisions on when a dispatcher calls the list service (the change log): at its start, while the service is away,
//! and when it is back. No input or output; time comes with each call, chance from a seed. See docs/cold-start.md.
//!
//! All dispatchers together keep to what the service bears without hearing of one another: the time is cut into
//! rounds, the same ones everywhere, as long as the service takes for one call of each, and each calls at most once a
//! round, at a place that it draws. A call that brings nothing leads to the next round's, not to an earlier one: an
//! outage of any length costs the same as a start. Where the operators do not tell what the service bears, rounds
//! begin short and double while nothing is heard.
//!
//! Should there be more dispatchers than was told, calls in vain make each pass over rounds, whole ones, and which ones
//! is drawn too: a longer round instead, begun by each at its own time, would for once bring twice the calls
//! (measured, docs/cold-start.md).

use crate::interface::{Nanos, mix};
use crate::structures::random::Random;

/// The part of what the service bears that rounds are laid out for: who calls at random comes unevenly.
const LOAD: f64 = 0.8;
/// What a call and its answer may take; so much of the time in which one must hear is no part of a round.
const ANSWER: Nanos = Nanos(500_000_000);
/// A second's line comes each second: after this long without a whole line a call, or a stream, has ended.
const SILENT_AFTER: Nanos = Nanos(2_000_000_000);
/// How often the wait for an answer doubles where one call is made at a time: to 16 s.
const MOST_DOUBLINGS: u32 = 3;
/// A stream that told something for so long is steady. One that ends sooner is a call more that brought nothing.
const STEADY: Nanos = Nanos(2_000_000_000);
/// Who calls so much later than it meant to was stopped.
const OVERSLEPT: Nanos = Nanos(500_000_000);
/// Rounds that are passed over since calls were in vain are passed over until a stream was steady for so long.
const LEARNT_FOR: Nanos = Nanos(600_000_000_000);
/// Rounds where nothing is told of what the service bears: the first, and the longest.
const BLIND: Nanos = Nanos(200_000_000);
const BLIND_MOST: Nanos = Nanos(3_200_000_000);
/// Calls a second that all dispatchers together make of a service that is away, where nothing is told of what it bears: few
/// dispatchers call more often than hundreds, up to the shortest of the longest rounds.
const BLIND_CALLS_PER_S: f64 = 90.0;
const BLIND_LEAST: Nanos = Nanos(400_000_000);
/// A call that could not be made for want of this machine's own is tried again after so long at the most, and half of it
/// at the least; where rounds are told, at the own place that follows that.
const WANTED: Nanos = Nanos(1_000_000_000);

/// What the operators tell of the list service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReconnectSettings {
    /// How many dispatchers call it.
    pub dispatchers: u32,
    /// Calls a second that it bears; `None` if not told.
    pub calls_per_s: Option<f64>,
    /// What it has to tell counts as told after this long, whether it was heard or not.
    pub delivered_after: Nanos,
    /// The part of each round in which this dispatcher's location calls, from and to, in [0, 1].
    pub window_range: [f64; 2],
}

impl ReconnectSettings {
    /// The shortest round in which all can call.
    fn round(&self) -> Nanos {
        self.calls_per_s.map_or(BLIND, |bears| Nanos::from_secs(f64::from(self.dispatchers) / (LOAD * bears)))
    }

    /// The longest round after which one has still heard in time.
    fn longest(&self) -> Nanos {
        let heard = Nanos(self.delivered_after.0.saturating_sub(ANSWER.0));
        if self.calls_per_s.is_some() {
            return heard;
        }
        let shared = Nanos::from_secs(f64::from(self.dispatchers) / BLIND_CALLS_PER_S);
        heard.min(shared.clamp(BLIND_LEAST, BLIND_MOST))
    }

    /// The longest that a dispatcher goes without a call, or the least that the service would have to bear, in calls
    /// a second, where so many dispatchers can't all be heard in time.
    pub fn max_wait(&self) -> Result<Nanos, f64> {
        let longest = self.longest();
        if self.round() > longest {
            return Err(f64::from(self.dispatchers) / (LOAD * longest.secs().max(1e-3)));
        }
        Ok(longest)
    }
}

/// Where a dispatcher stands with the list service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// It calls next at this time.
    Waiting(Nanos),
    /// It has called at this time, and has heard nothing yet.
    Connecting(Nanos),
    /// It hears: since the call at this time.
    Following(Nanos),
}

/// When one dispatcher calls.
#[derive(Debug)]
pub struct ReconnectSchedule {
    s: ReconnectSettings,
    chance: Random,
    /// The Unix time, in nanoseconds, at which this dispatcher's clock shows zero; wraps.
    unix_zero: u64,
    line: ConnectionState,
    /// The place in a round, in [0, 1).
    place: f64,
    /// It calls in one round of so many, and in which of them.
    one_in: u64,
    which: u64,
    /// Calls and short streams since one was steady.
    in_vain: u32,
    /// When a whole line was last heard.
    heard: Nanos,
    /// Since when nothing steady is heard, where staff were told so.
    lost: Option<Nanos>,
}

impl ReconnectSchedule {
    /// A dispatcher that has not called yet, whose clock shows zero at a Unix time in nanoseconds.
    pub fn new(s: ReconnectSettings, seed: u64, unix_zero: u64) -> Self {
        let mut calls = ReconnectSchedule {
            s,
            chance: Random::new(mix(seed)),
            unix_zero,
            line: ConnectionState::Waiting(Nanos::ZERO),
            place: 0.0,
            one_in: 1,
            which: 0,
            in_vain: 0,
            heard: Nanos::ZERO,
            lost: None,
        };
        calls.draw(1);
        calls
    }

    /// Where it stands.
    pub fn state(&self) -> ConnectionState {
        self.line
    }

    /// The one place where it changes where it stands.
    fn move_to(&mut self, to: ConnectionState) -> bool {
        use ConnectionState::*;
        let allowed = matches!(
            (self.line, to),
            (Waiting(_), Connecting(_)) | (Waiting(_) | Connecting(_), Following(_)) | (_, Waiting(_))
        );
        if allowed {
            self.line = to;
        }
        allowed
    }

    /// From now on it calls in one round of so many, another one, at another place.
    fn draw(&mut self, one_in: u64) {
        let [from, to] = self.s.window_range;
        self.place = from + (to - from) * self.chance.next_f64();
        self.pass_over(one_in);
    }

    /// From now on it calls in one round of so many, at the same place.
    fn pass_over(&mut self, one_in: u64) {
        (self.one_in, self.which) = (one_in, (self.chance.next_f64() * one_in as f64) as u64);
    }

    /// The first moment after `now` that has the own place in a round of its own.
    fn next(&self, now: Nanos) -> Nanos {
        let round = self.s.round().0.max(1);
        let unix = now.0.wrapping_add(self.unix_zero);
        let place = (round as f64 * self.place) as u64;
        let mut at = unix / round;
        while at * round + place <= unix || at % self.one_in != self.which {
            at += 1;
        }
        now.after(Nanos(at * round + place - unix))
    }

    /// The dispatcher starts, with a list that will do or without. Who has one lets those go first that have none:
    /// its round begins as late as it may and still be heard in time, so that no moment has more than its calls.
    pub fn started(&mut self, now: Nanos, has_list: bool) -> Nanos {
        if self.s.calls_per_s.is_none() {
            self.move_to(ConnectionState::Waiting(now));
            return now;
        }
        let spare = Nanos(self.s.longest().0.saturating_sub(self.s.round().0));
        let at = self.next(if has_list { now.after(spare) } else { now });
        self.move_to(ConnectionState::Waiting(at));
        at
    }

    /// The service is to be called elsewhere: all dispatchers hear that at one moment.
    pub fn address_changed(&mut self, now: Nanos) -> Nanos {
        self.in_vain = 0;
        self.draw(self.one_in);
        let at = if self.s.calls_per_s.is_some() { self.next(now) } else { now };
        self.move_to(ConnectionState::Waiting(at));
        at
    }

    /// What the operators tell of the service, or how many call it, has changed: it holds from the next call.
    pub fn settings_changed(&mut self, s: ReconnectSettings) {
        if std::mem::replace(&mut self.s, s) != s {
            self.in_vain = 0;
            self.draw(1);
        }
    }

    /// Its own moment went by while nobody looked, as in a process that was stopped, with others that were stopped
    /// alike: it takes the next one instead of calling with all of them. Returns that.
    pub fn skip_missed_turn(&mut self, now: Nanos) -> Option<Nanos> {
        let late = matches!(self.line, ConnectionState::Waiting(at) if now.since(at) > OVERSLEPT);
        if !late || self.s.calls_per_s.is_none() {
            return None;
        }
        let at = self.next(now);
        self.move_to(ConnectionState::Waiting(at));
        Some(at)
    }

    /// Whether it is to call now.
    pub fn is_due(&self, now: Nanos) -> bool {
        matches!(self.line, ConnectionState::Waiting(at) if at <= now)
    }

    /// It calls.
    pub fn connect_started(&mut self, now: Nanos) {
        if self.move_to(ConnectionState::Connecting(now)) {
            self.heard = now;
        }
    }

    /// A call made at this time, which was not waited for any more, is answered after all.
    pub fn answered_after_timeout(&mut self, called: Nanos) {
        if matches!(self.line, ConnectionState::Waiting(_) | ConnectionState::Connecting(_)) {
            self.move_to(ConnectionState::Following(called));
        }
    }

    /// A whole line was heard; returns for how long nothing steady was, where staff were told that.
    pub fn line_received(&mut self, now: Nanos) -> Option<Nanos> {
        self.heard = now;
        if let ConnectionState::Connecting(at) = self.line {
            self.move_to(ConnectionState::Following(at));
        }
        let ConnectionState::Following(at) = self.line else { return None };
        if now.since(at) < STEADY {
            return None;
        }
        self.in_vain = 0;
        if self.one_in > 1 && now.since(at) > LEARNT_FOR {
            self.draw(1);
        }
        self.lost.take().map(|since| now.since(since))
    }

    /// Whether the call, or the stream, brings nothing any more.
    pub fn is_silent(&self, now: Nanos) -> bool {
        !matches!(self.line, ConnectionState::Waiting(_)) && now.since(self.heard) > SILENT_AFTER
    }

    /// Whether one who has a single call at a time, to so many sources in turn, is to end it: a stream that is silent, or a call
    /// that was waited for twice as long as the one before to the same source. One that answers late is heard once it is
    /// waited for that long.
    pub fn has_timed_out(&self, now: Nanos, sources: u32) -> bool {
        let waits_for = match self.line {
            ConnectionState::Connecting(_) => {
                Nanos(SILENT_AFTER.0 << (self.in_vain / sources.max(1)).min(MOST_DOUBLINGS))
            }
            _ => SILENT_AFTER,
        };
        !matches!(self.line, ConnectionState::Waiting(_)) && now.since(self.heard) > waits_for
    }

    /// A call could not be made for want of this machine's own: returns when it is tried again. It has never reached the
    /// service, so it is none in vain, and costs it nothing; where rounds are told it waits for a place of its own in
    /// one, as many may be free of their wants at one moment.
    pub fn local_failure(&mut self, now: Nanos) -> Nanos {
        let after = now.after(Nanos::from_secs(WANTED.secs() * (0.5 + 0.5 * self.chance.next_f64())));
        let at = if self.s.calls_per_s.is_some() { self.next(after) } else { after };
        self.move_to(ConnectionState::Waiting(at));
        at
    }

    /// A call, or a stream, has ended: returns when it calls next, and whether staff are to be told that it is lost.
    pub fn ended(&mut self, now: Nanos) -> (Nanos, bool) {
        let steady = matches!(self.line, ConnectionState::Following(at) if self.heard.since(at) >= STEADY);
        self.in_vain = if steady { 0 } else { self.in_vain.saturating_add(1) };
        let (round, longest) = (self.s.round().0.max(1), self.s.longest().0);
        let most = (longest / round).max(1);
        // What was learnt of a crowd that is larger than told outlasts its end, or all that follow would come at once.
        let one_in = match self.s.calls_per_s {
            Some(_) => (1 << self.in_vain.min(10)).max(self.one_in).min(most),
            None => (1 << self.in_vain.saturating_sub(1).min(10)).min(most),
        };
        if steady {
            // It may have ended for all at one moment.
            self.draw(one_in);
        } else if one_in != self.one_in {
            self.pass_over(one_in);
        }
        let at = match self.s.calls_per_s {
            Some(_) => self.next(now),
            // Nobody is alike: half of the round by chance, so that no call follows at once.
            None => now
                .after(Nanos::from_secs(Nanos(round * one_in).secs() * (0.5 + 0.5 * self.chance.next_f64()))),
        };
        self.move_to(ConnectionState::Waiting(at));
        let news = self.lost.is_none() && (steady || self.in_vain > 1);
        if news {
            self.lost = Some(now);
        }
        (at, news)
    }
}
