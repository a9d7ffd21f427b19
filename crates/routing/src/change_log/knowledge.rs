//! Up to when the change log is known, and whether what was not heard may count as told by now.
//!
//! Events are pushed, so while heartbeats come in time all that was written is known but for how late the stream is. When
//! they stop, nobody can say whether events were written meanwhile; by the platform's protocol these count as told after a
//! span that depends on what happened to the stream. Whatever must not act on events that it has not heard asks
//! [`Knowledge::is_doubtful`] with the time that the rules give to heed an event. docs/change-log.md has the table of what
//! is done in doubt.

use super::lateness::HEARTBEAT_PERIOD;
use crate::interface::Nanos;

/// What a stream that stops would have told counts as told after this.
const TOLD_AFTER_STOP: Nanos = Nanos(4_000_000_000);
/// What a stream that breaks would have told counts as told after this.
const TOLD_AFTER_BREAK: Nanos = Nanos(2_000_000_000);
/// What the change log has to tell as it moves counts as told after this.
const TOLD_AFTER_MOVE: Nanos = Nanos(4_000_000_000);
/// A heartbeat may be later than its period by this before the stream counts as stopped.
const HEARTBEAT_SLACK: Nanos = Nanos(500_000_000);
/// What is decided takes a moment to leave, and the writer's clock is not ours: doubt begins earlier by this.
const MARGIN: Nanos = Nanos(100_000_000);

/// What one dispatcher knows of the change log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// All that was written by then is known.
    complete_until: Nanos,
    /// When a heartbeat last said that nothing is missing, and how late it was; `None` while no stream is followed.
    vouched: Option<Vouched>,
    /// What has not been heard counts as told from then on.
    counts_from: Nanos,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Vouched {
    at: Nanos,
    late_by: Nanos,
}

impl Knowledge {
    /// At the start: the configuration knows all up to now.
    pub fn started(now: Nanos) -> Self {
        Knowledge { complete_until: now, vouched: None, counts_from: now.after(TOLD_AFTER_BREAK) }
    }

    /// A heartbeat names the last event that was applied; it was late by so much.
    pub fn vouched(&mut self, now: Nanos, late_by: Nanos) {
        let written = now.since(late_by);
        self.complete_until = self.complete_until.max(written);
        self.vouched = Some(Vouched { at: now, late_by });
        self.counts_from = written.after(TOLD_AFTER_STOP);
    }

    /// No stream is followed any more.
    pub fn lost(&mut self, now: Nanos) {
        if self.vouched.take().is_some() {
            self.counts_from = self.counts_from.min(now.after(TOLD_AFTER_BREAK));
        }
    }

    /// The change log is asked anew: all that it holds counts as told with that, unless another stream tells it.
    pub fn asked(&mut self, now: Nanos) {
        if !self.is_followed(now) {
            self.counts_from = self.counts_from.min(now);
        }
    }

    /// The change log is to be followed elsewhere.
    pub fn moved(&mut self, now: Nanos) {
        self.vouched = None;
        self.counts_from = self.counts_from.min(now.after(TOLD_AFTER_MOVE));
    }

    /// Whether heartbeats come in time.
    pub fn is_followed(&self, now: Nanos) -> bool {
        self.vouched.is_some_and(|last| now.since(last.at) <= HEARTBEAT_PERIOD.after(HEARTBEAT_SLACK))
    }

    /// Whether all is known that must be heeded within `grace`: heartbeats come in time, and are not late by that.
    pub fn is_current(&self, now: Nanos, grace: Nanos) -> bool {
        let in_time = |last: Vouched| last.late_by < grace.since(MARGIN).max(MARGIN);
        self.is_followed(now) && self.vouched.is_some_and(in_time)
    }

    /// All that was written by then is known; a stream that is followed knows all but what it is late by.
    pub fn complete_until(&self, now: Nanos) -> Nanos {
        match self.vouched.filter(|_| self.is_followed(now)) {
            Some(last) => self.complete_until.max(now.since(last.late_by)),
            None => self.complete_until,
        }
    }

    /// How old what is known is.
    pub fn age(&self, now: Nanos) -> Nanos {
        now.since(self.complete_until(now))
    }

    /// When doubt begins, unless something is heard before, about events that must be heeded within `grace`.
    pub fn doubtful_from(&self, now: Nanos, grace: Nanos) -> Nanos {
        let within = grace.since(MARGIN);
        match self.vouched.filter(|_| self.is_followed(now)) {
            Some(last) if last.late_by >= within.max(MARGIN) => last.at,
            Some(last) => {
                last.at.after(HEARTBEAT_PERIOD).after(HEARTBEAT_SLACK).max(self.counts_from.after(within))
            }
            None => self.counts_from.after(within),
        }
    }

    /// Whether events that must be heeded within `grace` may have been written, and count as told, that are not known.
    pub fn is_doubtful(&self, now: Nanos, grace: Nanos) -> bool {
        now >= self.doubtful_from(now, grace)
    }
}
