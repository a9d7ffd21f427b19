//! The timers that are due and have not fired. They wait for a bounded time while input that arrived before them may be
//! unread, and then fire, however much arrives. A turn of the event loop fires them for a bounded time; the others fire
//! in the next turn without waiting again. No I/O; the event loop calls it and passes in the time.

use crate::freshness::TimerPostponement;
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// A turn of the event loop begins to fire no timer once it has fired others for this long.
pub const MAX_FIRING_TIME: Nanos = Nanos(50_000_000);

/// Timers that are due, with payloads `T`.
#[derive(Debug)]
pub struct DueTimers<T> {
    /// Due, and not yet to be fired.
    waiting: Vec<T>,
    /// To be fired, in this order.
    firing: VecDeque<T>,
    postponement: TimerPostponement,
    firing_ends: Nanos,
}

impl<T> Default for DueTimers<T> {
    fn default() -> Self {
        DueTimers {
            waiting: Vec::new(),
            firing: VecDeque::new(),
            postponement: TimerPostponement::default(),
            firing_ends: Nanos::ZERO,
        }
    }
}

impl<T> DueTimers<T> {
    /// Where timers that have become due are added.
    pub fn newly_due(&mut self) -> &mut Vec<T> {
        &mut self.waiting
    }

    /// Whether any timer is due.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.firing.is_empty()
    }

    /// Decides, after the turn that began at `turn_began` has read, which timers fire in it. `has_unread_input` is true
    /// if input that arrived before them may be unread; those for which `waits_for_input` is false fire all the same.
    pub fn begin_firing(
        &mut self,
        turn_began: Nanos,
        now: Nanos,
        has_unread_input: bool,
        waits_for_input: impl Fn(&T) -> bool,
    ) {
        self.firing_ends = now.after(MAX_FIRING_TIME);
        let is_postponed =
            self.postponement.postpone(turn_began, has_unread_input && !self.waiting.is_empty());
        let fires = |timer: &mut T| !is_postponed || !waits_for_input(timer);
        self.firing.extend(self.waiting.extract_if(.., fires));
    }

    /// The next timer to fire in this turn.
    pub fn next(&mut self, now: Nanos) -> Option<T> {
        if now >= self.firing_ends {
            return None;
        }
        self.firing.pop_front()
    }
}
