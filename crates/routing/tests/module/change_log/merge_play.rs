//! Feeds a merge with the events and heartbeats of two streams and records the resulting steps as a trace.

use crate::common::ms;
use copperroute_routing::change_log::{Arrival, Content, Heartbeat, Merge, Step};
use std::fmt::Write as _;

/// A merge with streams that have been requested.
pub(super) struct Play {
    pub merge: Merge<&'static str>,
    pub now_ms: u64,
    pub trace: String,
}

impl Play {
    pub(super) fn new(applied: u64) -> Play {
        Play::with_streams(applied, 2)
    }

    pub(super) fn with_streams(applied: u64, streams: usize) -> Play {
        let mut merge = Merge::new(applied, ms(500));
        merge.detect_log_restart(true);
        let mut play = Play { merge, now_ms: 10_000, trace: String::new() };
        for source in 0..streams {
            play.merge.add_source();
            play.request(source);
        }
        play
    }

    pub(super) fn request(&mut self, source: usize) {
        self.merge.request_sent(ms(self.now_ms), source);
    }

    pub(super) fn event(&mut self, source: usize, number: u64, text: &'static str) {
        let digest = (!text.is_empty()).then(|| text.len() as u64 * 1_000 + u64::from(text.as_bytes()[0]));
        self.arrives(source, Arrival { number, bytes: 100, digest, content: Content::Delta(text) });
    }

    pub(super) fn snapshot(&mut self, source: usize, number: u64) {
        self.arrives(source, Arrival { number, bytes: 100, digest: None, content: Content::Snapshot("all") });
    }

    pub(super) fn unusable(&mut self, source: usize, number: u64) {
        let content = Content::Unusable("no such state".into());
        self.arrives(source, Arrival { number, bytes: 100, digest: None, content });
    }

    pub(super) fn arrives(&mut self, source: usize, arrival: Arrival<&'static str>) {
        self.merge.arrived(source, arrival);
        self.steps();
    }

    pub(super) fn steps(&mut self) {
        while let Some(step) = self.merge.next_step(ms(self.now_ms)) {
            let _ = match step {
                Step::Apply { event, lost: false } => {
                    writeln!(self.trace, "{}: {event}", self.merge.applied())
                }
                Step::Apply { event, lost: true } => {
                    writeln!(self.trace, "{}: {event}, events before it lost", self.merge.applied())
                }
                Step::Skip { number, why } => writeln!(self.trace, "{number} skipped: {why}"),
                Step::Contradiction { source, number, event } => {
                    writeln!(self.trace, "{number}: stream {source} has {event}")
                }
                Step::Reconnect { source, reason } => {
                    writeln!(self.trace, "stream {source} reconnects: {reason}")
                }
            };
        }
    }

    pub(super) fn heartbeat(&mut self, source: usize, last: u64) {
        let meaning = match self.merge.heartbeat(ms(self.now_ms), source, last) {
            Heartbeat::CaughtUp => "caught up".to_string(),
            Heartbeat::Inconclusive => "inconclusive".into(),
            Heartbeat::Behind { should_log: false } => "behind".into(),
            Heartbeat::Behind { should_log: true } => "behind for long".into(),
            Heartbeat::Reconnect(reason) => format!("reconnects: {reason}"),
            Heartbeat::LogRestarted(reason) => format!("all reconnect: {reason}"),
        };
        let _ = writeln!(self.trace, "stream {source} at {last}: {meaning}");
        self.steps();
    }

    pub(super) fn pass(&mut self, millis: u64) {
        self.now_ms += millis;
        self.steps();
    }

    pub(super) fn note(&mut self, text: &str) {
        let _ = writeln!(self.trace, "-- {text}");
    }
}
