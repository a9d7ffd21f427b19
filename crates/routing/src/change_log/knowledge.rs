//! Up to when the change log is known, and whether what was not heard may count as told by now.
//!
//! Events are pushed, so while heartbeats come in time all that was written is known but for how late the stream is. When
//! they stop, nobody can say whether events were written meanwhile; by the platform's protocol these count as told after a
//! span that depends on what happened to the stream. Whatever must not act on events that it has not heard asks
//! [`Knowledge::may_be_stale`] with the time that the rules give to heed an event. docs/change-log.md has the table of
//! what is done in doubt.

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
/// A line that is not whole after this has not just been cut in two on its way.
const QUICK_LINE: Nanos = Nanos(50_000_000);
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
    /// Since when a line has been coming that is not whole.
    line_begun: Option<Nanos>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Vouched {
    at: Nanos,
    late_by: Nanos,
}

impl Knowledge {
    /// At the start: the configuration knows all up to now.
    pub fn started(now: Nanos) -> Self {
        Knowledge {
            complete_until: now,
            vouched: None,
            counts_from: now.after(TOLD_AFTER_BREAK),
            line_begun: None,
        }
    }

    /// A heartbeat names the last event that was applied; it was late by so much.
    pub fn heartbeat_confirmed(&mut self, now: Nanos, late_by: Nanos) {
        let written = now.since(late_by);
        self.complete_until = self.complete_until.max(written);
        self.vouched = Some(Vouched { at: now, late_by });
        self.line_begun = None;
        self.counts_from = written.after(TOLD_AFTER_STOP);
    }

    /// All bytes that came have been read; whether they end within a line. An event that takes long to come has been told as
    /// it began, and others may wait behind it: only a heartbeat says that there are none.
    pub fn bytes_read(&mut self, now: Nanos, is_midway: bool) {
        match self.line_begun {
            None if is_midway => self.line_begun = Some(now),
            Some(begun) if !is_midway && now.since(begun) < QUICK_LINE => self.line_begun = None,
            _ => {}
        }
    }

    /// Something has been told that shows that events are missing: they were written after all that is known.
    pub fn events_missing(&mut self) {
        self.unfollow();
        self.counts_from = self.counts_from.min(self.complete_until);
    }

    /// No stream is followed any more.
    pub fn stream_lost(&mut self, now: Nanos) {
        if self.unfollow() {
            self.counts_from = self.counts_from.min(now.after(TOLD_AFTER_BREAK));
        }
    }

    /// The stream that vouched stands no more; tells whether there was one. What it was late by was written, and not told.
    fn unfollow(&mut self) -> bool {
        let Some(last) = self.vouched.take() else { return false };
        if last.late_by > MARGIN {
            self.counts_from = self.counts_from.min(last.at.since(last.late_by));
        }
        true
    }

    /// The change log is asked anew: all that it holds counts as told with that, unless another stream tells it.
    pub fn request_sent(&mut self, now: Nanos) {
        if !self.is_followed(now) {
            self.counts_from = self.counts_from.min(now);
        }
    }

    /// The change log is to be followed elsewhere.
    pub fn address_changed(&mut self, now: Nanos) {
        self.unfollow();
        self.counts_from = self.counts_from.min(now.after(TOLD_AFTER_MOVE));
    }

    /// Whether heartbeats come in time.
    pub fn is_followed(&self, now: Nanos) -> bool {
        let waits = self.line_begun.is_some_and(|begun| now.since(begun) >= QUICK_LINE);
        !waits
            && self.vouched.is_some_and(|last| now.since(last.at) <= HEARTBEAT_PERIOD.after(HEARTBEAT_SLACK))
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
    pub fn stale_from(&self, now: Nanos, grace: Nanos) -> Nanos {
        let within = grace.since(MARGIN);
        let line = self.line_begun.map(|begun| begun.after(within.max(QUICK_LINE)));
        line.into_iter().chain([self.doubtful_without_line(now, within)]).min().unwrap_or(now)
    }

    fn doubtful_without_line(&self, now: Nanos, within: Nanos) -> Nanos {
        let list_ends = self.counts_from.after(within);
        match self.vouched {
            Some(last) if last.late_by >= within.max(MARGIN) => last.at,
            Some(last) if self.is_followed(now) => {
                list_ends.max(last.at.after(HEARTBEAT_PERIOD).after(HEARTBEAT_SLACK))
            }
            _ => list_ends,
        }
    }

    /// Whether events that must be heeded within `grace` may have been written, and count as told, that are not known.
    pub fn may_be_stale(&self, now: Nanos, grace: Nanos) -> bool {
        now >= self.stale_from(now, grace)
    }
}
