//! Decisions on how old the loop's knowledge may be as bytes leave for a node. A machine that stops the program, or a turn
//! that takes long, lies between a look at sockets and a write: a client may have gone meanwhile, and a deadline that was
//! written down has come nearer. No input or output; time comes with each call.

use copperroute_routing::interface::Nanos;
use std::time::Duration;

/// Nothing begins to leave for a node that was encoded, or whose clients were last looked at, longer ago than this. An
/// attempt begun 0.1 s after its client has gone is lost; the rest is for the look itself and the way.
pub const STALE_AFTER: Nanos = Nanos(50_000_000);
/// Bytes that lay unread for less than this count as read as they came: far less than a passed-on deadline's slack.
const READ_AT_ONCE: Nanos = Nanos(20_000_000);
/// So many looks in a row at most before bytes leave. After a stop one or two do. Of a program that is near its limit each
/// look takes long itself, as it finds new requests: without a bound all that it has decided would wait on.
pub const MAX_CONSECUTIVE_POLLS: u32 = 4;

/// What is due waits for so many turns at most while bytes still come.
pub const MAX_POSTPONED_TURNS: u32 = 16;
/// It waits for so long at most, as turns can be long: half of what a final answer may come late by.
pub const MAX_POSTPONEMENT: Nanos = Nanos(250_000_000);

/// Whether what is due is put off, as bytes that came before it may still lie unread.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerPostponement {
    turns: u32,
    since: Nanos,
}

impl TimerPostponement {
    /// Whether something was put off in the last turn.
    pub fn is_active(&self) -> bool {
        self.turns > 0
    }

    /// Whether what is due is put off in a turn that began at a time, and in which more bytes may lie unread or not.
    pub fn postpone(&mut self, now: Nanos, more: bool) -> bool {
        let since = if self.is_active() { self.since } else { now };
        let is_on = more && self.turns < MAX_POSTPONED_TURNS && now.since(since) < MAX_POSTPONEMENT;
        *self = TimerPostponement { turns: if is_on { self.turns + 1 } else { 0 }, since };
        is_on
    }
}

/// When the loop looked at its sockets, and what follows for bytes that leave and bytes that come.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// What is known of clients was so at this time, or later.
    looked: Nanos,
    /// When the last look had found what there was.
    found: Nanos,
    /// What is read by now came at this time, or later.
    unread_since: Nanos,
    /// How often in a row bytes were held back for a look.
    looks: u32,
}

impl Freshness {
    /// At the start there is nobody to look at.
    pub fn new(now: Nanos) -> Self {
        Freshness { looked: now, found: now, unread_since: now, looks: 0 }
    }

    /// A look at all sockets began at a time, was to wait for so long at most, and has found what there is.
    pub fn polled(&mut self, began: Nanos, wait: Option<Duration>, found: Nanos) {
        let waits_until = wait.map(|wait| began.after(Nanos(wait.as_nanos() as u64)));
        let busy = began.since(self.found);
        let overslept = waits_until.is_some_and(|until| found.since(until) > READ_AT_ONCE);
        let was_short = found.since(began) <= STALE_AFTER;
        self.unread_since = match () {
            // It came while the loop was at something else.
            () if busy > READ_AT_ONCE && was_short => self.found,
            // The machine stopped the program in its wait: since when is not known.
            () if overslept => began,
            () => found,
        };
        // It may have been stopped behind the look: what it found is as old as its beginning, at worst.
        (self.looked, self.found) = (began, found);
    }

    /// Whether sockets are to be looked at again before anything leaves for a node. To be asked once for each that is
    /// held back or not; after `MAX_CONSECUTIVE_POLLS` in a row it leaves all the same.
    pub fn needs_poll(&self, now: Nanos) -> bool {
        now.since(self.looked) > STALE_AFTER && self.looks < MAX_CONSECUTIVE_POLLS
    }

    /// Counts a turn that ends with bytes held back for a look, or without.
    pub fn turn_ended(&mut self, held_back: bool) {
        self.looks = if held_back { self.looks + 1 } else { 0 };
    }

    /// For how long what is read now may have lain unread; nothing where that is no matter.
    pub fn input_delay(&self, now: Nanos) -> Nanos {
        let span = now.since(self.unread_since);
        if span > READ_AT_ONCE { span } else { Nanos::ZERO }
    }

    /// Whether bytes that were encoded at a time are to be encoded anew as they leave.
    pub fn is_stale(encoded: Nanos, now: Nanos) -> bool {
        now.since(encoded) > STALE_AFTER
    }
}
