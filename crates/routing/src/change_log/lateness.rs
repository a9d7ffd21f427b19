//! Estimates how late the lines of one change-log stream are, from their times of arrival. Called with each line and
//! heartbeat.
//!
//! A request is answered by events at once, or by a heartbeat within its period: a first line that takes longer is late
//! by the difference. From then on a heartbeat is written each period; one that arrives later than the earliest
//! heartbeat predicts is late by the difference. The prediction may move later by a small part of the period, as the
//! two clocks drift.

use crate::interface::Nanos;

/// A heartbeat is written each second.
pub const HEARTBEAT_PERIOD: Nanos = Nanos(1_000_000_000);
/// By this part of the period (1/50) the prediction may move later with each heartbeat: clocks drift, and a writer that
/// sleeps for its period takes slightly longer.
const DRIFT_DIVISOR: u64 = 50;

/// The lateness of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lateness {
    requested_at: Option<Nanos>,
    /// How late the first line was.
    first_line: Option<Nanos>,
    /// When the next heartbeat is due, as predicted from the earliest one before it.
    due: Option<Nanos>,
    /// How much later than predicted the last heartbeat was.
    behind: Nanos,
}

impl Lateness {
    /// The stream is requested.
    pub fn request_sent(&mut self, now: Nanos) {
        *self = Lateness { requested_at: Some(now), ..Lateness::default() };
    }

    /// A whole line has arrived.
    pub fn line_received(&mut self, now: Nanos) {
        let requested_at = self.requested_at.unwrap_or(now);
        self.first_line.get_or_insert(now.since(requested_at).since(HEARTBEAT_PERIOD));
    }

    /// A heartbeat has arrived; [`Self::line_received`] is called for its line as well.
    pub fn heartbeat_received(&mut self, now: Nanos) {
        let earliest = self.due.unwrap_or(now).min(now);
        self.behind = now.since(earliest);
        // The next one is due a period after this one was due, later by the drift at the most.
        let drift = Nanos(HEARTBEAT_PERIOD.0 / DRIFT_DIVISOR).min(self.behind);
        self.due = Some(earliest.after(HEARTBEAT_PERIOD).after(drift));
    }

    /// How late the stream is; `None` before the first line.
    pub fn late_by(&self) -> Option<Nanos> {
        self.first_line.map(|late| late.after(self.behind))
    }
}
