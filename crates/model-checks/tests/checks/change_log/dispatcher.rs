//! A dispatcher that follows both replicas with the real merge, and the judge of what it does.

use super::model::Fault;
use super::parts::{Link, Message, PROPAGATION_BOUND, clock};
use copperroute_routing::change_log::{Arrival, Content, Heartbeat, Merge, Step};

/// What no ordering may bring about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Violation {
    /// An event was acted on twice, behind a later one, or before its predecessors.
    OutOfOrder,
    /// An event was passed over that was not lost on both ways, or was not acted on though a stream told all.
    Lost,
    /// A lease was renewed, and an event has not been acted on that was written longer ago than a heartbeat may take.
    StaleLease,
    /// All is asked for again, though numbers never begin anew.
    BegunAnew,
}

/// So often an event is lost on its way before it may be passed over.
const LOST_ON_BOTH_WAYS: u8 = 2;

/// A dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Dispatcher {
    merge: Merge<u64>,
    /// The last event that it acted on.
    pub acted: u64,
    /// From each replica.
    pub streams: [Link; 2],
    /// Events that were lost on their way to it.
    lost_on_way: u8,
    pub violation: Option<Violation>,
}

impl Dispatcher {
    /// With both streams up and one heartbeat of each heard.
    pub(super) fn new() -> Self {
        let streams = [Link::up(), Link::up()];
        let mut merge = merge();
        for of in 0..streams.len() {
            merge.request_sent(clock(0), of);
            assert_eq!(merge.heartbeat(clock(0), of, 0), Heartbeat::CaughtUp);
        }
        Dispatcher { merge, acted: 0, streams, lost_on_way: 0, violation: None }
    }

    /// It is killed and started again with nothing.
    pub(super) fn restart(&mut self) {
        self.streams.iter_mut().for_each(Link::end);
        (self.merge, self.acted) = (merge(), 0);
    }

    /// Asks a replica, whose last event has this number, for what follows.
    pub(super) fn call(&mut self, second: u64, of: usize, last: u64, fault: Option<Fault>) {
        let too_late = u64::from(fault == Some(Fault::AskTooLate));
        self.merge.request_sent(clock(second), of);
        self.streams[of].call(self.merge.applied() + too_late, last);
    }

    /// A stream ends.
    pub(super) fn end(&mut self, of: usize) {
        self.merge.ended(of);
        self.streams[of].end();
    }

    /// The next message of a stream is lost.
    pub(super) fn lose_next(&mut self, of: usize) {
        let lost = self.streams[of].lose_next();
        self.lost_on_way += u8::from(matches!(lost, Some(Message::Event(_))));
    }

    /// Takes what a stream tells next; a heartbeat has to vouch for all events up to `before`.
    pub(super) fn hear(&mut self, second: u64, of: usize, before: u64, fault: Option<Fault>) {
        match self.streams[of].deliver() {
            Some(Message::Event(number)) => self.event(of, number, fault),
            Some(Message::Heartbeat(last)) => self.heartbeat(second, of, last, before, fault),
            None => {}
        }
        self.take_steps(second);
    }

    fn event(&mut self, of: usize, number: u64, fault: Option<Fault>) {
        let applied = self.merge.applied();
        let is_acted_on_at_once = match fault {
            Some(Fault::ApplySecondCopy) => number <= applied,
            Some(Fault::ApplyOverGap) => number > applied + 1,
            _ => false,
        };
        if is_acted_on_at_once {
            self.act(number, false);
        }
        let content = Content::Delta(number);
        self.merge.arrived(of, Arrival { number, bytes: 1, digest: Some(number), content });
    }

    fn heartbeat(&mut self, second: u64, of: usize, last: u64, before: u64, fault: Option<Fault>) {
        let renews_behind = fault == Some(Fault::RenewBehind) && last < self.merge.applied();
        match self.merge.heartbeat(clock(second), of, last) {
            Heartbeat::CaughtUp => self.renew(before),
            Heartbeat::Inconclusive | Heartbeat::Behind { .. } if renews_behind => self.renew(before),
            Heartbeat::Inconclusive | Heartbeat::Behind { .. } => {}
            Heartbeat::Reconnect(_) => self.end(of),
            Heartbeat::LogRestarted(_) => self.violation = Some(Violation::BegunAnew),
        }
    }

    fn renew(&mut self, before: u64) {
        if self.acted < before {
            self.violation = Some(Violation::StaleLease);
        }
    }

    /// Does what the merge asks for by now.
    pub(super) fn take_steps(&mut self, second: u64) {
        while let Some(step) = self.merge.next_step(clock(second)) {
            match step {
                Step::Apply { event, lost } => self.act(event, lost),
                Step::Reconnect { source, .. } => self.end(source),
                // All can be used, and no two contents bear one number.
                Step::Skip { .. } | Step::Contradiction { .. } => {
                    self.violation = Some(Violation::OutOfOrder);
                }
            }
        }
    }

    /// An event is acted on; the judge's numbers are its own.
    fn act(&mut self, number: u64, is_gap_known: bool) {
        let follows = number == self.acted + 1;
        if number <= self.acted || !(follows || is_gap_known) {
            self.violation = Some(Violation::OutOfOrder);
        } else if !follows && self.lost_on_way < LOST_ON_BOTH_WAYS {
            self.violation = Some(Violation::Lost);
        }
        self.acted = number;
    }
}

fn merge() -> Merge<u64> {
    let mut merge = Merge::new(0, PROPAGATION_BOUND);
    merge.add_source();
    merge.add_source();
    merge.detect_log_restart(true);
    merge
}
