//! Tracks up to when the change log is known, and whether the knowledge may be stale.
//!
//! Events are pushed, so while heartbeats arrive in time all events are known, apart from the lateness of the stream.
//! When heartbeats stop, events may have been written that were not received; by the platform's protocol these count as
//! delivered after a time that depends on what happened to the stream. Code that must not act on stale knowledge asks
//! [`Knowledge::may_be_stale`] with the time that the rules allow for acting on an event. docs/change-log.md lists what
//! is done while the knowledge may be stale.

use super::lateness::HEARTBEAT_PERIOD;
use crate::interface::Nanos;

/// When a stream stops, events that it would have carried count as delivered after this time.
const DELIVERED_AFTER_STOP: Nanos = Nanos(4_000_000_000);
/// When a stream is closed or reset, events that it would have carried count as delivered after this time.
const DELIVERED_AFTER_CLOSE: Nanos = Nanos(2_000_000_000);
/// When the change log changes its address, events written meanwhile count as delivered after this time.
const DELIVERED_AFTER_MOVE: Nanos = Nanos(4_000_000_000);
/// By this much a heartbeat may exceed its period before the stream counts as stopped.
const HEARTBEAT_SLACK: Nanos = Nanos(500_000_000);
/// A partial line is completed within this time if it was merely split into two packets.
const SPLIT_LINE_TIMEOUT: Nanos = Nanos(50_000_000);
/// Knowledge counts as stale this much earlier: a decision takes time to be sent, and the writer has another clock.
const STALENESS_MARGIN: Nanos = Nanos(100_000_000);

/// What one dispatcher knows of the change log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// All events written up to this time are known.
    complete_until: Nanos,
    /// The last heartbeat that confirmed that nothing is missing; `None` while no stream is followed.
    last_confirmed: Option<Confirmation>,
    /// Events that were not received count as delivered from this time on.
    delivered_from: Nanos,
    /// Since when the current line has been incomplete.
    partial_line_since: Option<Nanos>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Confirmation {
    at: Nanos,
    /// How late the stream was.
    late_by: Nanos,
}

impl Knowledge {
    /// At the start: the configuration covers all events up to now.
    pub fn started(now: Nanos) -> Self {
        Knowledge {
            complete_until: now,
            last_confirmed: None,
            delivered_from: now.after(DELIVERED_AFTER_CLOSE),
            partial_line_since: None,
        }
    }

    /// A heartbeat that was late by `late_by` names the last applied event.
    pub fn heartbeat_confirmed(&mut self, now: Nanos, late_by: Nanos) {
        let written_at = now.since(late_by);
        self.complete_until = self.complete_until.max(written_at);
        self.last_confirmed = Some(Confirmation { at: now, late_by });
        self.partial_line_since = None;
        self.delivered_from = written_at.after(DELIVERED_AFTER_STOP);
    }

    /// All received bytes have been read; `ends_in_line` if they end within a line. An event counts as delivered when
    /// its line begins to arrive. Other events may be queued behind a slow line, so only a heartbeat ends the
    /// staleness.
    pub fn bytes_read(&mut self, now: Nanos, ends_in_line: bool) {
        match self.partial_line_since {
            None if ends_in_line => self.partial_line_since = Some(now),
            Some(begun) if !ends_in_line && now.since(begun) < SPLIT_LINE_TIMEOUT => {
                self.partial_line_since = None
            }
            _ => {}
        }
    }

    /// Something was received that shows that events are missing. They were written after the known ones.
    pub fn events_missing(&mut self) {
        self.drop_confirmation();
        self.delivered_from = self.delivered_from.min(self.complete_until);
    }

    /// The last stream has ended.
    pub fn stream_lost(&mut self, now: Nanos) {
        if self.drop_confirmation() {
            self.delivered_from = self.delivered_from.min(now.after(DELIVERED_AFTER_CLOSE));
        }
    }

    /// Drops the last confirmation; returns whether there was one. Events of the time by which the stream was late may
    /// have been written and not received.
    fn drop_confirmation(&mut self) -> bool {
        let Some(last) = self.last_confirmed.take() else { return false };
        if last.late_by > STALENESS_MARGIN {
            self.delivered_from = self.delivered_from.min(last.at.since(last.late_by));
        }
        true
    }

    /// The change log is requested again: all its events count as delivered with that, unless another stream carries
    /// them.
    pub fn request_sent(&mut self, now: Nanos) {
        if !self.is_followed(now) {
            self.delivered_from = self.delivered_from.min(now);
        }
    }

    /// The change log has another address.
    pub fn address_changed(&mut self, now: Nanos) {
        self.drop_confirmation();
        self.delivered_from = self.delivered_from.min(now.after(DELIVERED_AFTER_MOVE));
    }

    /// Whether heartbeats arrive in time.
    pub fn is_followed(&self, now: Nanos) -> bool {
        let line_is_stuck =
            self.partial_line_since.is_some_and(|begun| now.since(begun) >= SPLIT_LINE_TIMEOUT);
        !line_is_stuck
            && self
                .last_confirmed
                .is_some_and(|last| now.since(last.at) <= HEARTBEAT_PERIOD.after(HEARTBEAT_SLACK))
    }

    /// Whether all events are known that must be acted on within `grace`: heartbeats arrive in time, and the stream is
    /// less late than that.
    pub fn is_current(&self, now: Nanos, grace: Nanos) -> bool {
        let in_time = |last: Confirmation| last.late_by < grace.since(STALENESS_MARGIN).max(STALENESS_MARGIN);
        self.is_followed(now) && self.last_confirmed.is_some_and(in_time)
    }

    /// The time up to which all events are known; while a stream is followed, now less its lateness.
    pub fn complete_until(&self, now: Nanos) -> Nanos {
        match self.last_confirmed.filter(|_| self.is_followed(now)) {
            Some(last) => self.complete_until.max(now.since(last.late_by)),
            None => self.complete_until,
        }
    }

    /// The age of the knowledge.
    pub fn age(&self, now: Nanos) -> Nanos {
        now.since(self.complete_until(now))
    }

    /// When the knowledge becomes stale for events that must be acted on within `grace`, if nothing is received until
    /// then.
    pub fn stale_from(&self, now: Nanos, grace: Nanos) -> Nanos {
        let within = grace.since(STALENESS_MARGIN);
        let line = self.partial_line_since.map(|begun| begun.after(within.max(SPLIT_LINE_TIMEOUT)));
        line.into_iter().chain([self.stale_from_without_line(now, within)]).min().unwrap_or(now)
    }

    fn stale_from_without_line(&self, now: Nanos, within: Nanos) -> Nanos {
        let without_stream = self.delivered_from.after(within);
        match self.last_confirmed {
            Some(last) if last.late_by >= within.max(STALENESS_MARGIN) => last.at,
            Some(last) if self.is_followed(now) => {
                without_stream.max(last.at.after(HEARTBEAT_PERIOD).after(HEARTBEAT_SLACK))
            }
            _ => without_stream,
        }
    }

    /// Whether there may be events that must be acted on within `grace` and that count as delivered, but are not known.
    pub fn may_be_stale(&self, now: Nanos, grace: Nanos) -> bool {
        now >= self.stale_from(now, grace)
    }
}
