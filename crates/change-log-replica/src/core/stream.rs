//! What a source tells: its events and heartbeats, and what is made of those that can't be right.

use super::{Core, Doubt, Effect, Phase};
use crate::faults::Fault;
use crate::lines::{EventLine, Kind, Line};
use copperroute_routing::interface::Nanos;

/// So many heartbeats in a row with a lower number than was heard: the source has begun anew.
const BEHIND: u32 = 3;

impl Core {
    /// The source has told these bytes. Events go out together, before the heartbeat that stands behind them.
    pub(super) fn told(&mut self, now: Nanos, bytes: &[u8]) {
        self.decoder.feed(bytes);
        while self.phase != Phase::Waiting {
            match self.decoder.next_line() {
                Ok(None) => break,
                Ok(Some(Line::Event(event))) => {
                    self.heard(now);
                    self.event(now, event);
                }
                Ok(Some(Line::Heartbeat(last))) => {
                    self.heard(now);
                    self.tell(now);
                    self.heartbeat(now, last);
                }
                Err(fault) => self.lose(now, &fault.to_string()),
            }
        }
        self.tell(now);
    }

    /// A whole line has come.
    fn heard(&mut self, now: Nanos) {
        if let Some(away) = self.calls.line_received(now) {
            let address = self.sources.present().address;
            log::info!("{}: source {address}: steady after {:.1} s", self.name, away.secs());
        }
    }

    fn event(&mut self, now: Nanos, event: EventLine) {
        let last = self.retention.last();
        if event.seq < last {
            return;
        }
        if event.seq == last {
            return self.again(now, &event);
        }
        let whole = event.kind == Kind::WholeList;
        // Asked for one event more than it lacks, a source may tell a whole list that hides the one that it does lack.
        if whole && self.joined < last {
            self.overlap = false;
            return self.lose(now, "what was heard last is held there no more");
        }
        let gap = event.seq > last + 1;
        let doubtful = event.kind == Kind::Unreadable || (gap && !whole);
        let doubt = Doubt { seq: event.seq, print: event.print() };
        if doubtful && self.doubt != Some(doubt) {
            self.doubt = Some(doubt);
            let what = if gap { "does not follow" } else { "can't be read, behind" };
            return self.lose(now, &format!("event {} {what} {last}", event.seq));
        }
        if doubtful {
            let seq = event.seq;
            log::warn!("{}: event {seq} behind {last} came twice the same: passed on as it is", self.name);
        }
        self.joined = event.seq;
        self.retention.push(now, event, gap);
    }

    /// The last event is told once more: another content under its number means that the source has another past.
    fn again(&mut self, now: Nanos, event: &EventLine) {
        let Some((print, whole)) = self.retention.last_print() else { return };
        // A whole list may stand for an event: these two can't be compared.
        if whole || event.kind == Kind::WholeList || print == event.print() {
            self.joined = event.seq;
            return;
        }
        let why = format!("event {} is not the one that was heard before", event.seq);
        self.begin_anew(now, &why);
    }

    fn heartbeat(&mut self, now: Nanos, last: u64) {
        let fresh = self.heartbeats.is_fresh(now);
        let held = self.retention.last();
        if last > held {
            return self.lose(now, &format!("at {last}, told up to {held}"));
        }
        if last == held && self.joined < held {
            self.overlap = false;
            return self.lose(now, &format!("event {held} was not told again"));
        }
        if last < held {
            self.lines_behind += 1;
            if self.lines_behind >= BEHIND {
                self.begin_anew(now, &format!("at {last}, told up to {held}, it has begun anew"));
            }
            return;
        }
        self.lines_behind = 0;
        if !fresh && !self.faults.is(Fault::TrustQueue) {
            return;
        }
        self.heartbeats.confirm(now);
        self.overlap = true;
        if self.phase == Phase::Calling {
            self.move_to(Phase::Current);
            let address = self.sources.present().address;
            log::info!("{}: current at event {last}, from {address}", self.name);
        }
        let mut out = Vec::new();
        self.followers.heartbeat(now, last, &mut out);
        self.effects.extend(out.into_iter().map(Effect::Follower));
    }
}
