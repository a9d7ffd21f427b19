//! Several replicas, a change log and followers on one clock, with connections that take time, are held, and end. All
//! is drawn from a seed, so that a run repeats.

use crate::common::{START, address, secs};
use copperroute_change_log_replica::config::Config;
use copperroute_change_log_replica::core::{Core, Effect, Event, StreamId};
use copperroute_change_log_replica::faults::Faults;
use copperroute_change_log_replica::followers::{FollowerId, ForFollower};
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::random::{Follower, Log};

/// Who takes part.
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
    /// The caller's number for it.
    stream: u32,
    callee: Party,
    /// Each end: still open there.
    open: [bool; 2],
    /// For each way: nothing arrives before this, and when the last thing sent arrives.
    held: [Nanos; 2],
    latest: [Nanos; 2],
}

/// The ends of a connection, as places in its arrays.
const CALLER: usize = 0;
const CALLEE: usize = 1;

#[derive(Debug, Clone)]
enum What {
    /// The caller learns that it has come up.
    Up,
    /// The callee learns of it.
    Came,
    Bytes(Vec<u8>),
    End,
}

/// What arrives at one end of a connection.
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
    /// Heartbeats that replicas wrote.
    pub heartbeats: u64,
    seeds: u64,
    faults: Faults,
    /// The replicas' own invariants are looked at; without, only what followers see judges.
    pub looks_inside: bool,
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
            seeds: seed << 16,
            faults,
            looks_inside: true,
        };
        (0..network.configs.len()).for_each(|of| network.start(of));
        network
    }

    /// A replica starts, with nothing.
    pub(crate) fn start(&mut self, of: usize) {
        self.seeds += 1;
        self.replicas[of] = Some(Core::new(&self.configs[of], self.seeds, 0).with_faults(self.faults));
    }

    /// A replica dies: its connections end.
    pub(crate) fn kill(&mut self, of: usize) {
        self.replicas[of] = None;
        self.end_connections(Party::Replica(of));
    }

    /// A replica is stopped; what comes waits.
    pub(crate) fn stop(&mut self, of: usize, span: Nanos) {
        self.stopped[of] = self.stopped[of].max(self.now.after(span));
    }

    /// All connections between two end, and no new ones come up until `mend`.
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

    /// What the connections of one party carry waits for so long, then comes at once.
    pub(crate) fn hold(&mut self, party: Party, span: Nanos) {
        for connection in &mut self.connections {
            if connection.caller == party || connection.callee == party {
                connection.held = [self.now.after(span); 2];
            }
        }
    }

    /// The same only between two.
    pub(crate) fn hold_between(&mut self, a: Party, b: Party, span: Nanos) {
        for connection in &mut self.connections {
            let ends = (connection.caller, connection.callee);
            if ends == (a, b) || ends == (b, a) {
                connection.held = [self.now.after(span); 2];
            }
        }
    }

    /// All connections of one party end.
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

    /// Something goes to one end of a connection, behind what went there before.
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

    /// One end closes.
    fn close(&mut self, connection: usize, end: usize) {
        if std::mem::replace(&mut self.connections[connection].open[end], false) {
            self.send(connection, 1 - end, What::End);
        }
    }

    fn of_stream(&self, caller: Party, stream: u32) -> Option<usize> {
        let is = |of: &Connection| of.caller == caller && of.stream == stream && of.open[CALLER];
        self.connections.iter().rposition(is)
    }

    /// Runs for so long, a hundredth of a second at a time.
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
                    self.hand(of, Event::Tick);
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
                    What::Up => self.hand(of, Event::SourceConnected(stream)),
                    What::Bytes(bytes) => self.hand(of, Event::SourceTold(stream, &bytes)),
                    _ => self.hand(of, Event::SourceEnded(stream)),
                }
            }
            (Party::Replica(of), _) => {
                let id = FollowerId(connection as u32);
                match what {
                    What::Came => self.hand(of, Event::FollowerCame(id)),
                    What::Bytes(bytes) => self.hand(of, Event::FollowerSent(id, &bytes)),
                    _ => self.hand(of, Event::FollowerEnded(id)),
                }
            }
            (Party::Follower(of), _) => match what {
                What::Up => {
                    let ask = self.followers[of].asks(self.now);
                    self.send(connection, CALLEE, What::Bytes(ask));
                }
                What::Bytes(bytes) => {
                    let stays = self.followers[of].told(self.now, &bytes, &self.log);
                    if !stays {
                        self.close(connection, CALLER);
                    }
                }
                _ => self.followers[of].ended(),
            },
            (Party::Log, _) => {
                if let What::Bytes(bytes) = what {
                    self.log.asked(self.now, connection, &bytes);
                }
            }
        }
    }

    fn hand(&mut self, of: usize, event: Event<'_>) {
        let Some(core) = &mut self.replicas[of] else { return };
        let effects = core.handle(self.now, event);
        let holds = core.holds(self.now);
        if self.looks_inside {
            holds.unwrap_or_else(|broken| panic!("replica {of}: {broken}"));
        }
        let mut took = Vec::new();
        for effect in effects {
            match effect {
                Effect::Call(stream, to) => self.call(Party::Replica(of), stream.0, to),
                Effect::Ask(stream, bytes) => {
                    if let Some(at) = self.of_stream(Party::Replica(of), stream.0) {
                        self.send(at, CALLEE, What::Bytes(bytes));
                    }
                }
                Effect::Hang(stream) => {
                    if let Some(at) = self.of_stream(Party::Replica(of), stream.0) {
                        self.close(at, CALLER);
                    }
                }
                Effect::Follower(ForFollower::Write(id, bytes)) => {
                    let line = std::str::from_utf8(&bytes).expect("text");
                    self.heartbeats += u64::from(line.trim().parse::<u64>().is_ok());
                    took.push((id, bytes.len()));
                    self.send(id.0 as usize, CALLER, What::Bytes(bytes));
                }
                Effect::Follower(ForFollower::Close(id)) => self.close(id.0 as usize, CALLEE),
            }
        }
        took.into_iter().for_each(|(id, length)| self.hand(of, Event::FollowerTook(id, length)));
    }

    fn tick_log(&mut self) {
        for (connection, bytes) in self.log.tells(self.now) {
            if self.connections[connection].open[CALLEE] {
                self.send(connection, CALLER, What::Bytes(bytes));
            }
        }
    }

    fn tick_followers(&mut self) {
        for of in 0..self.followers.len() {
            if let Some(stream) = self.followers[of].gives_up(self.now)
                && let Some(at) = self.of_stream(Party::Follower(of), stream)
            {
                self.close(at, CALLER);
            }
            if let Some((stream, to)) = self.followers[of].calls(self.now) {
                self.call(Party::Follower(of), stream, to);
            }
        }
    }
}
