//! Decides whether what the event loop knows is recent enough when bytes leave for a node, and whether due
//! timers wait for unread input. If the machine suspends the process, or a turn of the loop takes long, time
//! passes between polling the sockets and writing: a client may have disconnected meanwhile, and a deadline
//! already encoded has come closer.
//!
//! No I/O; the event loop calls it and passes in the time.

use copperroute_routing::interface::Nanos;
use std::time::Duration;

/// Nothing starts to leave for a node if it was encoded, or if client sockets were last polled, longer ago
/// than this. An attempt begun 0.1 s after its client has disconnected counts as wasted; the other half
/// allows for the poll itself and the network.
pub const STALE_AFTER: Nanos = Nanos(50_000_000);
/// Input that lay unread for less than this counts as read on arrival: far less than the slack of a deadline
/// that is passed on.
const PROMPT_READ_LIMIT: Nanos = Nanos(20_000_000);
/// The most consecutive polls before bytes leave all the same. After a suspension one or two are enough. In a
/// process near its capacity each poll takes long because it finds new requests, and without this bound all
/// attempts already decided would wait.
pub const MAX_CONSECUTIVE_POLLS: u32 = 4;

/// The most turns of the loop for which due timers wait while there is more input.
pub const MAX_POSTPONED_TURNS: u32 = 16;
/// The longest time for which due timers wait, as a turn can be long: half of the time by which a final
/// answer may be late.
pub const MAX_POSTPONEMENT: Nanos = Nanos(250_000_000);

/// Postpones due timers while input that arrived before them may still be unread.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerPostponement {
    turns: u32,
    since: Nanos,
}

impl TimerPostponement {
    /// Whether timers were postponed in the last turn.
    pub fn is_active(&self) -> bool {
        self.turns > 0
    }

    /// Whether due timers are postponed in the turn that began at `now`; `more` is true if there may be more
    /// unread input.
    pub fn postpone(&mut self, now: Nanos, more: bool) -> bool {
        let since = if self.is_active() { self.since } else { now };
        let postponed = more && self.turns < MAX_POSTPONED_TURNS && now.since(since) < MAX_POSTPONEMENT;
        *self = TimerPostponement { turns: if postponed { self.turns + 1 } else { 0 }, since };
        postponed
    }
}

/// When the loop last polled its sockets, and what follows for output and input.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// When the last poll began: what is known of clients was true then, or later.
    poll_began: Nanos,
    /// When the last poll returned.
    poll_ended: Nanos,
    /// Input that is read now arrived at this time or later.
    unread_since: Nanos,
    /// The number of consecutive turns in which output was held back for a poll.
    consecutive_polls: u32,
}

impl Freshness {
    /// The state at the start, before any client has connected.
    pub fn new(now: Nanos) -> Self {
        Freshness { poll_began: now, poll_ended: now, unread_since: now, consecutive_polls: 0 }
    }

    /// A poll of all sockets began at `began`, was to wait for at most `wait`, and returned at `ended`.
    pub fn polled(&mut self, began: Nanos, wait: Option<Duration>, ended: Nanos) {
        let wait_ends = wait.map(|wait| began.after(Nanos(wait.as_nanos() as u64)));
        let busy = began.since(self.poll_ended);
        let was_suspended = wait_ends.is_some_and(|until| ended.since(until) > PROMPT_READ_LIMIT);
        let poll_was_short = ended.since(began) <= STALE_AFTER;
        self.unread_since = match () {
            // Input arrived while the loop was busy.
            () if busy > PROMPT_READ_LIMIT && poll_was_short => self.poll_ended,
            // The process was suspended during the wait; when the input arrived is unknown.
            () if was_suspended => began,
            () => ended,
        };
        // The process may have been suspended after the poll, so at worst its results are as old as its
        // start.
        (self.poll_began, self.poll_ended) = (began, ended);
    }

    /// Whether sockets must be polled again before anything leaves for a node. Call it once for each
    /// connection; after [`MAX_CONSECUTIVE_POLLS`] it returns false.
    pub fn needs_poll(&self, now: Nanos) -> bool {
        now.since(self.poll_began) > STALE_AFTER && self.may_hold_output()
    }

    /// Whether output to nodes may be held back for another turn.
    pub fn may_hold_output(&self) -> bool {
        self.consecutive_polls < MAX_CONSECUTIVE_POLLS
    }

    /// Counts a turn that ended with output held back for a poll, or without.
    pub fn turn_ended(&mut self, held_back: bool) {
        self.consecutive_polls = if held_back { self.consecutive_polls + 1 } else { 0 };
    }

    /// Input of connections that the last poll has found, and that had none before, arrived at this time or later.
    pub fn unread_since(&self) -> Nanos {
        self.unread_since
    }

    /// How long such input may have lain unread if it is read now; 0 if that is short enough to ignore.
    pub fn input_delay(&self, now: Nanos) -> Nanos {
        Self::delay_of(self.unread_since, now)
    }

    /// How long input that arrived at `unread_since` or later may have lain unread if it is read now; 0 if that is
    /// short enough to ignore.
    pub fn delay_of(unread_since: Nanos, now: Nanos) -> Nanos {
        let span = now.since(unread_since);
        if span > PROMPT_READ_LIMIT { span } else { Nanos::ZERO }
    }

    /// Whether output encoded at `encoded` must be encoded again before it leaves.
    pub fn is_stale(encoded: Nanos, now: Nanos) -> bool {
        now.since(encoded) > STALE_AFTER
    }
}
