//! A simulated network of replicas, a change log and followers on one clock. Connections have latency, can be held, and
//! can end. Everything is drawn from a seed, so that a run can be repeated.

use crate::common::{START, address, secs};
use copperroute_change_log_replica::config::Config;
use copperroute_change_log_replica::core::{Core, Effect, Event, StreamId};
use copperroute_change_log_replica::faults::Faults;
use copperroute_change_log_replica::followers::{FollowerEffect, FollowerId};
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::random::{Follower, Log};

/// A party of the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Party {
    Log,
    Replica(usize),
    Follower(usize),
}

/// A connection as both ends see it.
#[derive(Debug)]
struct Connection {
    caller: Party,
    /// The caller's number for the connection.
    stream: u32,
    callee: Party,
    /// Whether each end is still open.
    open: [bool; 2],
    /// For each direction: the time before which nothing arrives, and the time at which the last thing sent arrives.
    held: [Nanos; 2],
    latest: [Nanos; 2],
}

/// The ends of a connection, as indices into its arrays.
const CALLER: usize = 0;
const CALLEE: usize = 1;

#[derive(Debug, Clone)]
enum What {
    /// The caller learns that the connection is established.
    Up,
    /// The callee learns of the connection.
    Came,
    Bytes(Vec<u8>),
    End,
}

/// Something that arrives at one end of a connection.
#[derive(Debug, Clone)]
struct Arrival {
    connection: usize,
    end: usize,
    what: What,
}

pub(crate) struct Network {
    pub now: Nanos,
    pub chance: Random,
    pub log: Log,
    pub replicas: Vec<Option<Core>>,
    pub followers: Vec<Follower>,
    configs: Vec<Config>,
    stopped: Vec<Nanos>,
    connections: Vec<Connection>,
    due: BTreeMap<(Nanos, u64), Arrival>,
    next: u64,
    cut: BTreeSet<(Party, Party)>,
    /// The number of heartbeats that replicas have written.
    pub heartbeats: u64,
    next_core_seed: u64,
    faults: Faults,
    /// Whether the replicas' own invariants are checked; if not, only what followers receive is judged.
    pub checks_invariants: bool,
}

fn party(address_of: SocketAddr, replicas: usize) -> Party {
    (0..replicas).find(|of| address(2 + *of as u8) == address_of).map_or(Party::Log, Party::Replica)
}

impl Network {
    pub(crate) fn new(seed: u64, configs: Vec<Config>, followers: Vec<Follower>, faults: Faults) -> Self {
        let replicas = configs.iter().map(|_| None).collect();
        let mut network = Network {
            now: START,
            chance: Random::new(seed),
            log: Log::new(START),
            replicas,
            followers,
            stopped: vec![Nanos::ZERO; configs.len()],
            configs,
            connections: Vec::new(),
            due: BTreeMap::new(),
            next: 0,
            cut: BTreeSet::new(),
            heartbeats: 0,
            next_core_seed: seed << 16,
            faults,
            checks_invariants: true,
        };
        (0..network.configs.len()).for_each(|of| network.start(of));
        network
    }

    /// Starts a replica without any events.
    pub(crate) fn start(&mut self, of: usize) {
        self.next_core_seed += 1;
        self.replicas[of] =
            Some(Core::new(&self.configs[of], self.next_core_seed, 0).with_faults(self.faults));
    }

    /// Kills a replica: its connections end.
    pub(crate) fn kill(&mut self, of: usize) {
        self.replicas[of] = None;
        self.end_connections(Party::Replica(of));
    }

    /// Stops a replica's process for a time; what arrives waits.
    pub(crate) fn stop(&mut self, of: usize, span: Nanos) {
        self.stopped[of] = self.stopped[of].max(self.now.after(span));
    }

    /// Ends all connections between two parties and prevents new ones until `mend`.
    pub(crate) fn cut(&mut self, a: Party, b: Party) {
        self.cut.extend([(a, b), (b, a)]);
        for at in 0..self.connections.len() {
            let Connection { caller, callee, .. } = self.connections[at];
            if (caller, callee) == (a, b) || (caller, callee) == (b, a) {
                self.break_off(at);
            }
        }
    }

    pub(crate) fn mend(&mut self, a: Party, b: Party) {
        self.cut.retain(|pair| *pair != (a, b) && *pair != (b, a));
    }

    /// Holds all that the connections of one party carry for a time; then it arrives at once.
    pub(crate) fn hold(&mut self, party: Party, span: Nanos) {
        for connection in &mut self.connections {
            if connection.caller == party || connection.callee == party {
                connection.held = [self.now.after(span); 2];
            }
        }
    }

    /// Holds all that connections between two parties carry for a time; then it arrives at once.
    pub(crate) fn hold_between(&mut self, a: Party, b: Party, span: Nanos) {
        for connection in &mut self.connections {
            let ends = (connection.caller, connection.callee);
            if ends == (a, b) || ends == (b, a) {
                connection.held = [self.now.after(span); 2];
            }
        }
    }

    /// Ends all connections of one party.
    pub(crate) fn end_connections(&mut self, party: Party) {
        for at in 0..self.connections.len() {
            if self.connections[at].caller == party || self.connections[at].callee == party {
                self.break_off(at);
            }
        }
    }

    fn break_off(&mut self, at: usize) {
        for end in [CALLER, CALLEE] {
            if self.connections[at].open[end] {
                self.send(at, end, What::End);
            }
        }
        self.due.retain(|_, arrival| arrival.connection != at || matches!(arrival.what, What::End));
    }

    /// Sends something to one end of a connection, after all that was sent there before.
    fn send(&mut self, connection: usize, end: usize, what: What) {
        let latency = secs(0.001 + 0.019 * self.chance.next_f64());
        let of = &mut self.connections[connection];
        let at = self.now.after(latency).max(of.held[end]).max(of.latest[end]);
        of.latest[end] = at;
        self.next += 1;
        self.due.insert((at, self.next), Arrival { connection, end, what });
    }

    fn call(&mut self, caller: Party, stream: u32, to: SocketAddr) {
        let callee = party(to, self.configs.len());
        let there = match callee {
            Party::Log => self.log.is_up,
            Party::Replica(of) => self.replicas[of].is_some(),
            Party::Follower(_) => false,
        };
        let (held, latest) = Default::default();
        let connection = Connection { caller, stream, callee, open: [true, true], held, latest };
        self.connections.push(connection);
        let at = self.connections.len() - 1;
        if there && !self.cut.contains(&(caller, callee)) {
            self.send(at, CALLEE, What::Came);
            self.send(at, CALLER, What::Up);
        } else {
            self.connections[at].open[CALLEE] = false;
            self.send(at, CALLER, What::End);
        }
    }

    /// Closes one end of a connection.
    fn close(&mut self, connection: usize, end: usize) {
        if std::mem::replace(&mut self.connections[connection].open[end], false) {
            self.send(connection, 1 - end, What::End);
        }
    }

    fn of_stream(&self, caller: Party, stream: u32) -> Option<usize> {
        let is = |of: &Connection| of.caller == caller && of.stream == stream && of.open[CALLER];
        self.connections.iter().rposition(is)
    }

    /// Runs the network for a time, in steps of 10 ms.
    pub(crate) fn run(&mut self, span: Nanos, judge: &mut impl FnMut(&mut Network)) {
        let until = self.now.after(span);
        while self.now < until {
            self.now = self.now.after(secs(0.01));
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let arrival = entry.remove();
                self.arrive(arrival);
            }
            for of in 0..self.replicas.len() {
                if self.stopped[of] <= self.now {
                    self.handle(of, Event::Tick);
                }
            }
            self.tick_log();
            self.tick_followers();
            judge(self);
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let Arrival { connection, end, what } = arrival.clone();
        let of = &self.connections[connection];
        if !of.open[end] {
            return;
        }
        let party = if end == CALLER { of.caller } else { of.callee };
        let stream = of.stream;
        if let Party::Replica(replica) = party
            && self.stopped[replica] > self.now
        {
            self.next += 1;
            self.due.insert((self.stopped[replica], self.next), arrival);
            return;
        }
        if matches!(what, What::End) {
            self.connections[connection].open[end] = false;
        }
        match (party, end) {
            (Party::Replica(of), CALLER) => {
                let stream = StreamId(stream);
                match what {
                    What::Up => self.handle(of, Event::SourceConnected(stream)),
                    What::Bytes(bytes) => self.handle(of, Event::SourceSent(stream, &bytes)),
                    _ => self.handle(of, Event::SourceEnded(stream)),
                }
            }
            (Party::Replica(of), _) => {
                let id = FollowerId(connection as u32);
                match what {
                    What::Came => self.handle(of, Event::FollowerConnected(id)),
                    What::Bytes(bytes) => self.handle(of, Event::FollowerSent(id, &bytes)),
                    _ => self.handle(of, Event::FollowerEnded(id)),
                }
            }
            (Party::Follower(of), _) => match what {
                What::Up => {
                    let ask = self.followers[of].request(self.now);
                    self.send(connection, CALLEE, What::Bytes(ask));
                }
                What::Bytes(bytes) => {
                    let stays = self.followers[of].receive(self.now, &bytes, &self.log);
                    if !stays {
                        self.close(connection, CALLER);
                    }
                }
                _ => self.followers[of].ended(),
            },
            (Party::Log, _) => {
                if let What::Bytes(bytes) = what {
                    self.log.request_received(self.now, connection, &bytes);
                }
            }
        }
    }

    fn handle(&mut self, of: usize, event: Event<'_>) {
        let Some(core) = &mut self.replicas[of] else { return };
        let effects = core.handle(self.now, event);
        let holds = core.check_invariants(self.now);
        if self.checks_invariants {
            holds.unwrap_or_else(|broken| panic!("replica {of}: {broken}"));
        }
        let mut written = Vec::new();
        for effect in effects {
            match effect {
                Effect::Connect(stream, to) => self.call(Party::Replica(of), stream.0, to),
                Effect::SendRequest(stream, bytes) => {
                    if let Some(at) = self.of_stream(Party::Replica(of), stream.0) {
                        self.send(at, CALLEE, What::Bytes(bytes));
                    }
                }
                Effect::CloseSource(stream) => {
                    if let Some(at) = self.of_stream(Party::Replica(of), stream.0) {
                        self.close(at, CALLER);
                    }
                }
                Effect::Follower(FollowerEffect::Write(id, bytes)) => {
                    let line = std::str::from_utf8(&bytes).expect("text");
                    self.heartbeats += u64::from(line.trim().parse::<u64>().is_ok());
                    written.push((id, bytes.len()));
                    self.send(id.0 as usize, CALLER, What::Bytes(bytes));
                }
                Effect::Follower(FollowerEffect::Close(id)) => self.close(id.0 as usize, CALLEE),
            }
        }
        written.into_iter().for_each(|(id, length)| self.handle(of, Event::FollowerWritten(id, length)));
    }

    fn tick_log(&mut self) {
        for (connection, bytes) in self.log.lines_due(self.now) {
            if self.connections[connection].open[CALLEE] {
                self.send(connection, CALLER, What::Bytes(bytes));
            }
        }
    }

    fn tick_followers(&mut self) {
        for of in 0..self.followers.len() {
            if let Some(stream) = self.followers[of].timed_out_stream(self.now)
                && let Some(at) = self.of_stream(Party::Follower(of), stream)
            {
                self.close(at, CALLER);
            }
            if let Some((stream, to)) = self.followers[of].connect_due(self.now) {
                self.call(Party::Follower(of), stream, to);
            }
        }
    }
}
