//! The state of the whole model, and the transitions of that state.

use super::dispatcher::{Dispatcher, Violation};
use super::model::Fault;
use super::parts::{Message, Replica};

/// A failure; the numbers are the dispatcher's, if any, and then the replica's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Failure {
    /// The stream from the log to a replica, or from a replica to a dispatcher, ends.
    EndSource(usize),
    EndStream(usize, usize),
    /// The stream falls silent, and its messages wait.
    HoldSource(usize),
    HoldStream(usize, usize),
    /// The next message of a stream is lost, or arrives twice.
    LoseNext(usize, usize),
    DuplicateNext(usize, usize),
    RestartReplica(usize),
    RestartDispatcher(usize),
}

/// The state of the whole model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub second: u64,
    /// The number of the log's last event.
    pub log: u64,
    /// The log's last event at the start of this second and of the two before it.
    last_at_start: [u64; 3],
    pub replicas: [Replica; 2],
    pub dispatchers: [Dispatcher; 2],
    /// The number of failures so far.
    pub failures: usize,
}

impl World {
    /// Every link is up, and the log is empty.
    pub(super) fn new() -> Self {
        World {
            second: 0,
            log: 0,
            last_at_start: [0; 3],
            replicas: [Replica::new(), Replica::new()],
            dispatchers: [Dispatcher::new(), Dispatcher::new()],
            failures: 0,
        }
    }

    pub(super) fn violation(&self) -> Option<Violation> {
        self.dispatchers.iter().find_map(|dispatcher| dispatcher.violation)
    }

    /// Whether every message that is not held has arrived: only then may the second end.
    pub(super) fn is_settled(&self) -> bool {
        let sources = self.replicas.iter().map(|replica| &replica.source);
        let streams = self.dispatchers.iter().flat_map(|dispatcher| &dispatcher.streams);
        !sources.chain(streams).any(|link| link.has_deliverable())
    }

    /// Appends an event to the log.
    pub(super) fn write(&mut self) {
        self.log += 1;
        for replica in &mut self.replicas {
            replica.source.send(Message::Event(self.log));
        }
    }

    /// Ends a second and begins the next.
    pub(super) fn tick(&mut self, fault: Option<Fault>) {
        self.check_delivery();
        self.second += 1;
        self.last_at_start = [self.log, self.last_at_start[0], self.last_at_start[1]];
        for replica in 0..self.replicas.len() {
            self.replicas[replica].source.send(Message::Heartbeat(self.log));
            self.replicas[replica].source.begin_second();
            let sends_own_heartbeat =
                fault == Some(Fault::SendOwnHeartbeat) && !self.replicas[replica].source.is_intact;
            if sends_own_heartbeat {
                self.send_to_followers(replica, Message::Heartbeat(self.replicas[replica].last));
            } else if self.replicas[replica].drop_stale_source(self.second) {
                self.end_followers(replica);
            }
        }
        for dispatcher in &mut self.dispatchers {
            dispatcher.streams.iter_mut().for_each(|stream| stream.begin_second());
            dispatcher.run_merge_steps(self.second);
        }
    }

    /// Checks that a dispatcher has applied every event if both links on the way through one replica were up and intact
    /// during the whole second.
    fn check_delivery(&mut self) {
        let (replicas, log) = (&self.replicas, self.log);
        for dispatcher in &mut self.dispatchers {
            let mut paths = replicas.iter().zip(&dispatcher.streams);
            let is_fully_delivered =
                paths.any(|(replica, stream)| replica.source.is_intact && stream.is_intact);
            if is_fully_delivered && dispatcher.applied != log {
                dispatcher.violation = Some(Violation::Lost);
            }
        }
    }

    fn end_followers(&mut self, replica: usize) {
        self.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.end(replica));
    }

    /// Sends a message from a replica to every dispatcher that follows it.
    fn send_to_followers(&mut self, replica: usize, message: Message) {
        self.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.streams[replica].send(message));
    }

    pub(super) fn replica_receives(&mut self, replica: usize) {
        if let Some(message) = self.replicas[replica].receive(self.second) {
            self.send_to_followers(replica, message);
        }
    }

    /// A heartbeat that renews a lease requires that every event is applied that was written before this second, or
    /// before an earlier one by `max_heartbeat_age_s`.
    pub(super) fn dispatcher_receives(
        &mut self,
        dispatcher: usize,
        replica: usize,
        max_heartbeat_age_s: usize,
        fault: Option<Fault>,
    ) {
        let before = self.last_at_start[max_heartbeat_age_s];
        self.dispatchers[dispatcher].receive(self.second, replica, before, fault);
    }

    pub(super) fn replica_reconnects(&mut self, replica: usize) {
        self.replicas[replica].reconnect(self.second, self.log);
    }

    pub(super) fn dispatcher_reconnects(&mut self, dispatcher: usize, replica: usize, fault: Option<Fault>) {
        let last = self.replicas[replica].last;
        self.dispatchers[dispatcher].reconnect(self.second, replica, last, fault);
    }

    pub(super) fn fail(&mut self, failure: Failure) {
        self.failures += 1;
        match failure {
            Failure::EndSource(replica) => self.replicas[replica].lose_source(),
            Failure::EndStream(dispatcher, replica) => self.dispatchers[dispatcher].end(replica),
            Failure::HoldSource(replica) => self.replicas[replica].source.hold(),
            Failure::HoldStream(dispatcher, replica) => self.dispatchers[dispatcher].streams[replica].hold(),
            Failure::LoseNext(dispatcher, replica) => self.dispatchers[dispatcher].lose_next(replica),
            Failure::DuplicateNext(dispatcher, replica) => {
                self.dispatchers[dispatcher].streams[replica].duplicate_next()
            }
            Failure::RestartReplica(replica) => {
                self.replicas[replica].restart();
                self.end_followers(replica);
            }
            Failure::RestartDispatcher(dispatcher) => self.dispatchers[dispatcher].restart(),
        }
    }
}
