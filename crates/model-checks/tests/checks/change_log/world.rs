//! The state of all, and what can happen to it.

use super::dispatcher::{Dispatcher, Violation};
use super::model::Fault;
use super::parts::{Message, Replica};

/// What goes wrong; numbers name a dispatcher and a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Trouble {
    /// A replica's stream from the log, or a dispatcher's from a replica, ends.
    EndSource(usize),
    EndStream(usize, usize),
    /// It falls silent, and what it carries waits.
    HoldSource(usize),
    HoldStream(usize, usize),
    /// The next message of a stream is lost, or comes twice.
    LoseNext(usize, usize),
    DoubleNext(usize, usize),
    RestartReplica(usize),
    RestartDispatcher(usize),
}

/// All, and the judge's findings.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub second: u64,
    /// The last event of the log, and the last as this second and the two before it began.
    pub log: u64,
    before: [u64; 3],
    pub replicas: [Replica; 2],
    pub dispatchers: [Dispatcher; 2],
    /// How much has gone wrong.
    pub troubles: usize,
}

impl World {
    /// All are in touch, and the log is empty.
    pub(super) fn new() -> Self {
        World {
            second: 0,
            log: 0,
            before: [0; 3],
            replicas: [Replica::new(), Replica::new()],
            dispatchers: [Dispatcher::new(), Dispatcher::new()],
            troubles: 0,
        }
    }

    pub(super) fn violation(&self) -> Option<Violation> {
        self.dispatchers.iter().find_map(|dispatcher| dispatcher.violation)
    }

    /// Whether all that is not held has arrived: only then the second may end.
    pub(super) fn is_settled(&self) -> bool {
        let sources = self.replicas.iter().map(|replica| &replica.source);
        let streams = self.dispatchers.iter().flat_map(|dispatcher| &dispatcher.streams);
        !sources.chain(streams).any(|link| link.has_due())
    }

    /// The log has one event more.
    pub(super) fn write(&mut self) {
        self.log += 1;
        for replica in &mut self.replicas {
            replica.source.send(Message::Event(self.log));
        }
    }

    /// A second ends, and another begins.
    pub(super) fn tick(&mut self, fault: Option<Fault>) {
        self.judge();
        self.second += 1;
        self.before = [self.log, self.before[0], self.before[1]];
        for of in 0..self.replicas.len() {
            self.replicas[of].source.send(Message::Heartbeat(self.log));
            self.replicas[of].source.second_begins();
            let begins_heartbeat = fault == Some(Fault::BeginHeartbeat) && !self.replicas[of].source.is_whole;
            if begins_heartbeat {
                self.tell(of, Message::Heartbeat(self.replicas[of].last));
            } else if self.replicas[of].lapses(self.second) {
                self.end_followers(of);
            }
        }
        for dispatcher in &mut self.dispatchers {
            dispatcher.streams.iter_mut().for_each(|stream| stream.second_begins());
            dispatcher.take_steps(self.second);
        }
    }

    /// Who was told all through the second by one replica has acted on all.
    fn judge(&mut self) {
        let (replicas, log) = (&self.replicas, self.log);
        for dispatcher in &mut self.dispatchers {
            let mut ways = replicas.iter().zip(&dispatcher.streams);
            let is_told_all = ways.any(|(replica, stream)| replica.source.is_whole && stream.is_whole);
            if is_told_all && dispatcher.acted != log {
                dispatcher.violation = Some(Violation::Lost);
            }
        }
    }

    fn end_followers(&mut self, of: usize) {
        self.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.end(of));
    }

    /// A replica passes something on.
    fn tell(&mut self, of: usize, message: Message) {
        self.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.streams[of].send(message));
    }

    pub(super) fn replica_hears(&mut self, of: usize) {
        if let Some(message) = self.replicas[of].hear(self.second) {
            self.tell(of, message);
        }
    }

    /// What renews a lease has to vouch for all that was written before this second, or so many seconds earlier.
    pub(super) fn dispatcher_hears(
        &mut self,
        who: usize,
        of: usize,
        seconds_old: usize,
        fault: Option<Fault>,
    ) {
        let before = self.before[seconds_old];
        self.dispatchers[who].hear(self.second, of, before, fault);
    }

    pub(super) fn replica_calls(&mut self, of: usize) {
        self.replicas[of].call(self.second, self.log);
    }

    pub(super) fn dispatcher_calls(&mut self, who: usize, of: usize, fault: Option<Fault>) {
        let last = self.replicas[of].last;
        self.dispatchers[who].call(self.second, of, last, fault);
    }

    pub(super) fn suffer(&mut self, trouble: Trouble) {
        self.troubles += 1;
        match trouble {
            Trouble::EndSource(of) => self.replicas[of].lose_source(),
            Trouble::EndStream(who, of) => self.dispatchers[who].end(of),
            Trouble::HoldSource(of) => self.replicas[of].source.hold(),
            Trouble::HoldStream(who, of) => self.dispatchers[who].streams[of].hold(),
            Trouble::LoseNext(who, of) => self.dispatchers[who].lose_next(of),
            Trouble::DoubleNext(who, of) => self.dispatchers[who].streams[of].double_next(),
            Trouble::RestartReplica(of) => {
                self.replicas[of].restart();
                self.end_followers(of);
            }
            Trouble::RestartDispatcher(who) => self.dispatchers[who].restart(),
        }
    }
}
