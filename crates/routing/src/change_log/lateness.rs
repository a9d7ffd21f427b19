//! How late one stream of the change log is, measured and not assumed.
//!
//! A call is answered by events at once, or by a heartbeat within its period: a first line that takes longer than that was
//! late by the rest. From then on a heartbeat was written each period. One that comes later than the earliest of them would
//! have it, was late by the difference; the earliest is let creep, as two clocks drift.

use crate::interface::Nanos;

/// A heartbeat is written each second.
pub const HEARTBEAT_PERIOD: Nanos = Nanos(1_000_000_000);
/// What one heartbeat may be later than the one before without being called late, as a part of the period: clocks drift, and a
/// writer that sleeps for its period takes a little longer than that.
const CREEP_PART: u64 = 50;

/// How late the lines of one stream are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lateness {
    asked: Option<Nanos>,
    /// By how much the first line was late.
    first: Option<Nanos>,
    /// When the next heartbeat is due by the earliest before it.
    due: Option<Nanos>,
    /// By how much the last heartbeat was later than the earliest.
    behind: Nanos,
}

impl Lateness {
    /// The stream is asked for what follows an event.
    pub fn request_sent(&mut self, now: Nanos) {
        *self = Lateness { asked: Some(now), ..Lateness::default() };
    }

    /// A whole line has come.
    pub fn line_received(&mut self, now: Nanos) {
        let asked = self.asked.unwrap_or(now);
        self.first.get_or_insert(now.since(asked).since(HEARTBEAT_PERIOD));
    }

    /// A heartbeat has come, as a line.
    pub fn heartbeat_received(&mut self, now: Nanos) {
        let earliest = self.due.unwrap_or(now).min(now);
        self.behind = now.since(earliest);
        // The next one is due a period after this one was, a little later at the most.
        let creep = Nanos(HEARTBEAT_PERIOD.0 / CREEP_PART).min(self.behind);
        self.due = Some(earliest.after(HEARTBEAT_PERIOD).after(creep));
    }

    /// How late the last heartbeat was; nothing is known before the first line.
    pub fn late_by(&self) -> Option<Nanos> {
        self.first.map(|first| first.after(self.behind))
    }
}
