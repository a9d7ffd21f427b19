//! Handles the events and heartbeats of a source, and rejects those that are inconsistent with the events held.

use super::{Core, Effect, Phase, RejectedEvent};
use crate::faults::Fault;
use crate::lines::{EventKind, EventLine, Line};
use copperroute_routing::interface::Nanos;

/// After this many consecutive heartbeats with a lower number than the last event held, the source counts as restarted
/// with a new history. Fewer may come from a replica that is still catching up.
const MAX_LOWER_HEARTBEATS: u32 = 3;

impl Core {
    /// The source has sent these bytes. Events go to followers together, before the heartbeat that follows them.
    pub(super) fn source_sent(&mut self, now: Nanos, bytes: &[u8]) {
        self.decoder.feed(bytes);
        while self.phase != Phase::Waiting {
            match self.decoder.next_line() {
                Ok(None) => break,
                Ok(Some(Line::Event(event))) => {
                    self.line_received(now);
                    self.event(now, event);
                }
                Ok(Some(Line::Heartbeat(last))) => {
                    self.line_received(now);
                    self.send_events(now);
                    self.heartbeat(now, last);
                }
                Err(fault) => self.lose_source(now, &fault.to_string()),
            }
        }
        self.send_events(now);
    }

    /// A whole line was received.
    fn line_received(&mut self, now: Nanos) {
        if let Some(interval) = self.reconnects.line_received(now) {
            let address = self.sources.current().address;
            log::info!("{}: source {address}: connected again after {:.1} s", self.name, interval.secs());
        }
    }

    fn event(&mut self, now: Nanos, event: EventLine) {
        let last = self.retention.last();
        if event.seq < last {
            return;
        }
        if event.seq == last {
            return self.last_event_repeated(now, &event);
        }
        let is_snapshot = event.kind == EventKind::Snapshot;
        // The request named one event more than is missing. A source that no longer holds that event answers with a
        // snapshot, which may hide events that it still holds: the next request does not repeat the last event.
        if is_snapshot && self.confirmed_from < last {
            self.overlap = false;
            return self.lose_source(now, "the source no longer holds the last event received");
        }
        let gap = event.seq > last + 1;
        let is_inconsistent = event.kind == EventKind::Unreadable || (gap && !is_snapshot);
        let rejected = RejectedEvent { seq: event.seq, digest: event.digest() };
        if is_inconsistent && self.rejected != Some(rejected) {
            self.rejected = Some(rejected);
            let what = if gap { "does not follow event" } else { "can't be read, after event" };
            return self.lose_source(now, &format!("event {} {what} {last}", event.seq));
        }
        if is_inconsistent {
            let seq = event.seq;
            log::warn!(
                "{}: event {seq} after event {last} came twice with the same content: passed on unchanged",
                self.name
            );
        }
        self.confirmed_from = event.seq;
        self.retention.push(now, event, gap);
    }

    /// The last event was received again: other content under its number means that the source has another history.
    fn last_event_repeated(&mut self, now: Nanos, event: &EventLine) {
        let Some((digest, is_snapshot)) = self.retention.last_digest() else { return };
        // A snapshot may stand for an event under the same number: the two can't be compared.
        if is_snapshot || event.kind == EventKind::Snapshot || digest == event.digest() {
            self.confirmed_from = event.seq;
            return;
        }
        let why = format!("event {} has other content than the one received before", event.seq);
        self.reset(now, &why);
    }

    fn heartbeat(&mut self, now: Nanos, last: u64) {
        let is_fresh = self.heartbeats.is_fresh(now);
        let held = self.retention.last();
        if last > held {
            return self.lose_source(now, &format!("heartbeat {last}, received only up to event {held}"));
        }
        if last == held && self.confirmed_from < held {
            self.overlap = false;
            return self.lose_source(now, &format!("event {held} was not sent again"));
        }
        if last < held {
            self.lower_heartbeats += 1;
            if self.lower_heartbeats >= MAX_LOWER_HEARTBEATS {
                self.reset(
                    now,
                    &format!(
                        "heartbeat {last}, received up to event {held}: the source has restarted its history"
                    ),
                );
            }
            return;
        }
        self.lower_heartbeats = 0;
        if !is_fresh && !self.faults.is(Fault::TrustDelayedHeartbeats) {
            return;
        }
        self.heartbeats.confirm(now);
        self.overlap = true;
        if self.phase == Phase::CatchingUp {
            self.move_to(Phase::Current);
            let address = self.sources.current().address;
            log::info!("{}: current at event {last}, from {address}", self.name);
        }
        let mut out = Vec::new();
        self.followers.heartbeat(now, last, &mut out);
        self.effects.extend(out.into_iter().map(Effect::Follower));
    }
}
