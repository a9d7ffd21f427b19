//! The model of a dispatcher, which follows both replicas with the real merge, and the checks of what it applies.

use super::model::Fault;
use super::parts::{Link, Message, PROPAGATION_BOUND, clock};
use copperroute_routing::change_log::{Arrival, Content, Heartbeat, Merge, Step};

/// A broken property; no ordering may lead to one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Violation {
    /// An event was applied twice, after a later one, or before its predecessors.
    OutOfOrder,
    /// An event was skipped that was not lost on both streams, or was not applied though a stream delivered every
    /// event.
    Lost,
    /// A lease was renewed although an event was not applied that was written longer ago than a heartbeat may take.
    StaleLease,
    /// The merge reports a restarted log, though the event numbers never restart in this model.
    LogRestarted,
}

/// The number of lost events from which an event may be skipped: one copy lost on each of the two streams.
const LOST_ON_BOTH_STREAMS: u8 = 2;

/// The state of a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Dispatcher {
    merge: Merge<u64>,
    /// The number of the last event that was applied.
    pub applied: u64,
    /// The link from each replica.
    pub streams: [Link; 2],
    /// The number of events lost on either stream.
    lost_in_transit: u8,
    pub violation: Option<Violation>,
}

impl Dispatcher {
    /// Both streams are up, and each has delivered one heartbeat.
    pub(super) fn new() -> Self {
        let streams = [Link::up(), Link::up()];
        let mut merge = merge();
        for replica in 0..streams.len() {
            merge.request_sent(clock(0), replica);
            assert_eq!(merge.heartbeat(clock(0), replica, 0), Heartbeat::CaughtUp);
        }
        Dispatcher { merge, applied: 0, streams, lost_in_transit: 0, violation: None }
    }

    /// The process is killed and started again without any state.
    pub(super) fn restart(&mut self) {
        self.streams.iter_mut().for_each(Link::end);
        (self.merge, self.applied) = (merge(), 0);
    }

    /// Connects to a replica and requests the events that follow the last applied one; `last` is the replica's last
    /// event.
    pub(super) fn reconnect(&mut self, second: u64, replica: usize, last: u64, fault: Option<Fault>) {
        let events_missed = u64::from(fault == Some(Fault::RequestTooLate));
        self.merge.request_sent(clock(second), replica);
        self.streams[replica].reconnect(self.merge.applied() + events_missed, last);
    }

    /// Ends the stream from a replica.
    pub(super) fn end(&mut self, replica: usize) {
        self.merge.ended(replica);
        self.streams[replica].end();
    }

    /// Loses the next message of the stream from a replica.
    pub(super) fn lose_next(&mut self, replica: usize) {
        let lost = self.streams[replica].lose_next();
        self.lost_in_transit += u8::from(matches!(lost, Some(Message::Event(_))));
    }

    /// Receives the next message from a replica. When a heartbeat renews the lease, every event up to `before` must
    /// have been applied.
    pub(super) fn receive(&mut self, second: u64, replica: usize, before: u64, fault: Option<Fault>) {
        match self.streams[replica].deliver() {
            Some(Message::Event(number)) => self.receive_event(replica, number, fault),
            Some(Message::Heartbeat(last)) => self.receive_heartbeat(second, replica, last, before, fault),
            None => {}
        }
        self.run_merge_steps(second);
    }

    fn receive_event(&mut self, replica: usize, number: u64, fault: Option<Fault>) {
        let applied = self.merge.applied();
        let is_applied_at_once = match fault {
            Some(Fault::ApplySecondCopy) => number <= applied,
            Some(Fault::ApplyOverGap) => number > applied + 1,
            _ => false,
        };
        if is_applied_at_once {
            self.apply(number, false);
        }
        let content = Content::Delta(number);
        self.merge.arrived(replica, Arrival { number, bytes: 1, digest: Some(number), content });
    }

    fn receive_heartbeat(
        &mut self,
        second: u64,
        replica: usize,
        last: u64,
        before: u64,
        fault: Option<Fault>,
    ) {
        let renews_while_behind = fault == Some(Fault::RenewWhileBehind) && last < self.merge.applied();
        match self.merge.heartbeat(clock(second), replica, last) {
            Heartbeat::CaughtUp => self.renew_lease(before),
            Heartbeat::Inconclusive | Heartbeat::Behind { .. } if renews_while_behind => {
                self.renew_lease(before)
            }
            Heartbeat::Inconclusive | Heartbeat::Behind { .. } => {}
            Heartbeat::Reconnect(_) => self.end(replica),
            Heartbeat::LogRestarted(_) => self.violation = Some(Violation::LogRestarted),
        }
    }

    fn renew_lease(&mut self, before: u64) {
        if self.applied < before {
            self.violation = Some(Violation::StaleLease);
        }
    }

    /// Runs the steps that the merge requests at this second.
    pub(super) fn run_merge_steps(&mut self, second: u64) {
        while let Some(step) = self.merge.next_step(clock(second)) {
            match step {
                Step::Apply { event, lost } => self.apply(event, lost),
                Step::Reconnect { source, .. } => self.end(source),
                // In this model every event is usable, and no two events share a number.
                Step::Skip { .. } | Step::Contradiction { .. } => {
                    self.violation = Some(Violation::OutOfOrder);
                }
            }
        }
    }

    /// Applies an event and checks its order with numbers of its own, not those of the merge.
    fn apply(&mut self, number: u64, is_gap_known: bool) {
        let follows = number == self.applied + 1;
        if number <= self.applied || !(follows || is_gap_known) {
            self.violation = Some(Violation::OutOfOrder);
        } else if !follows && self.lost_in_transit < LOST_ON_BOTH_STREAMS {
            self.violation = Some(Violation::Lost);
        }
        self.applied = number;
    }
}

fn merge() -> Merge<u64> {
    let mut merge = Merge::new(0, PROPAGATION_BOUND);
    merge.add_source();
    merge.add_source();
    merge.detect_log_restart(true);
    merge
}
