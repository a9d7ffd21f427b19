//! The simulated fleet on one clock: the change log, its replicas, all dispatchers, the messages in flight between
//! them, and a script of faults. Followers run the program's own code and receive bytes as they would on a socket.
//! `World::new` takes a case and a script; after `World::run` the results are in `measures` and `sources`.

use super::arrangement::{Arrangement, place_of};
use super::assumptions::*;
use super::fault::{COUNTED_FROM, Script};
use super::follower::Follower;
use super::measures::Measures;
use super::network::Network;
use super::record::Record;
use super::source::{Connection, Source};
use super::topology::{self, Place};
use copperroute_dispatcher::effects::Effect;
use copperroute_routing::interface::{Nanos, mix};
use copperroute_routing::structures::random::Random;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Followers check their connections in this many groups, spread evenly over the sweep interval.
pub(super) const SWEEP_GROUPS: u32 = 25;

/// The parameters of one run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Case {
    pub dispatchers: u32,
    pub arrangement: Arrangement,
    pub seed: u64,
    /// Interval at which streams are checked for silence; tests inject a fault by a value above `SWEEP_INTERVAL`.
    pub sweep: Nanos,
    /// Interval between versions.
    pub version_interval: Nanos,
}

#[derive(Debug)]
pub(super) enum Payload {
    /// The events after the first number, up to and including the second.
    Events(u64, u64),
    Heartbeat(u64),
}

#[derive(Debug)]
pub(super) enum SimulationEvent {
    Purge,
    Version,
    LogHeartbeat,
    Sweep(u32),
    Step(usize),
    ConnectDue { member: u32, stream: usize, incarnation: u32 },
    ConnectReceived { connection: Connection, source: usize },
    Accepted(Connection),
    Closed(Connection),
    RequestReceived { connection: Connection, source: usize, after: u64 },
    Delivered(Connection, Payload),
}

pub(super) struct Queued {
    at: Nanos,
    order: u64,
    event: SimulationEvent,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    /// The earliest event is the greatest, so that `BinaryHeap` returns it first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// One stream of a follower, as the network sees it.
#[derive(Debug, Clone, Default)]
pub(super) struct Link {
    pub(super) source: usize,
    pub(super) number: u32,
    pub(super) open: bool,
    /// A message on it was lost: nothing arrives any more, and neither end is notified.
    pub(super) stalled: bool,
    /// When the last message arrives; later ones arrive no earlier, so the order is kept.
    pub(super) last_arrival: Nanos,
    /// The last event that the follower had when it requested the stream: with merged streams it does not request
    /// earlier ones again, so their bytes are not counted.
    pub(super) newest_at_request: u64,
}

pub(super) struct Member {
    pub(super) place: Place,
    pub(super) follower: Option<Follower>,
    pub(super) incarnation: u32,
    pub(super) links: Vec<Link>,
    pub(super) sources: Vec<usize>,
    pub(super) out_of_touch: bool,
}

pub(super) struct World {
    pub(super) case: Case,
    pub(super) script: Script,
    pub(super) now: Nanos,
    pub(super) order: u64,
    pub(super) queue: BinaryHeap<Queued>,
    pub(super) network: Network,
    pub(super) rng: Random,
    pub(super) record: Record,
    /// Issue times of purges that were issued while the log was down.
    pub(super) pending_purges: Vec<Nanos>,
    /// Dispatchers, then replicas.
    pub(super) members: Vec<Member>,
    pub sources: Vec<Source>,
    pub measures: Measures,
}

impl World {
    pub(super) fn new(case: Case, script: Script) -> Self {
        let (count, arrangement) = (case.dispatchers, case.arrangement);
        let connect_capacity_per_s = arrangement.connect_capacity_per_s(count);
        let sources =
            (0..=arrangement.replicas).map(|at| Source::new(place_of(at), connect_capacity_per_s)).collect();
        let dispatchers = (0..count).map(|at| (topology::dispatcher(at), arrangement.sources(at, case.seed)));
        let replicas = (0..arrangement.replicas).map(|at| (topology::replica(at), vec![0]));
        let member = |(place, sources)| Member {
            place,
            follower: None,
            incarnation: 0,
            links: Vec::new(),
            sources,
            out_of_touch: true,
        };
        World {
            measures: Measures::new(count, COUNTED_FROM),
            members: dispatchers.chain(replicas).map(member).collect(),
            sources,
            network: Network::new(mix(case.seed ^ 0x6E65)),
            rng: Random::new(mix(case.seed)),
            record: Record::default(),
            pending_purges: Vec::new(),
            queue: BinaryHeap::new(),
            now: Nanos::ZERO,
            order: 0,
            script,
            case,
        }
    }

    /// Runs the script to its end.
    pub(super) fn run(&mut self) {
        self.sources[0].start(true);
        for replica in 0..self.case.arrangement.replicas {
            self.sources[replica + 1].start(false);
            self.start_member(self.case.dispatchers + replica as u32);
        }
        // All dispatchers start at once; each is counted from its start.
        for dispatcher in 0..self.case.dispatchers {
            self.start_member(dispatcher);
        }
        self.schedule(Nanos::ZERO, SimulationEvent::Purge);
        self.schedule(Nanos(5 * SECOND.0), SimulationEvent::Version);
        self.schedule(SECOND, SimulationEvent::LogHeartbeat);
        for group in 0..SWEEP_GROUPS {
            let phase = self.case.sweep.0 / u64::from(SWEEP_GROUPS) * u64::from(group);
            self.schedule(Nanos(phase), SimulationEvent::Sweep(group));
        }
        for at in 0..self.script.steps.len() {
            self.schedule(self.script.steps[at].0, SimulationEvent::Step(at));
        }
        while let Some(Queued { at, event, .. }) = self.queue.pop() {
            if at > self.script.ends_at {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = self.script.ends_at;
        for dispatcher in 0..self.case.dispatchers {
            self.count_unacted(dispatcher);
        }
    }

    pub(super) fn schedule(&mut self, at: Nanos, event: SimulationEvent) {
        self.order += 1;
        self.queue.push(Queued { at, order: self.order, event });
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Purge => self.issue_purge(),
            SimulationEvent::Version => self.issue_version(),
            SimulationEvent::LogHeartbeat => {
                if self.sources[0].process_up {
                    self.broadcast(0, Payload::Heartbeat);
                }
                self.schedule(self.now.after(SECOND), SimulationEvent::LogHeartbeat);
            }
            SimulationEvent::Sweep(group) => self.sweep(group),
            SimulationEvent::Step(at) => self.step(self.script.steps[at].1),
            SimulationEvent::ConnectDue { member, stream, incarnation } => {
                if self.members[member as usize].incarnation == incarnation {
                    self.with_follower(member, stream, |follower, now, effects| {
                        follower.connect_due(stream, now, effects)
                    });
                }
            }
            SimulationEvent::ConnectReceived { connection, source } => {
                self.connect_received(connection, source)
            }
            SimulationEvent::Accepted(connection) => {
                if self.is_open(&connection) {
                    let connected = |follower: &mut Follower, now, effects: &mut Vec<Effect>| {
                        follower.connected(connection.stream, connection.number, now, effects);
                    };
                    self.with_follower(connection.member, connection.stream, connected);
                }
            }
            SimulationEvent::Closed(connection) => {
                if self.is_open(&connection) {
                    let closed = |follower: &mut Follower, now, effects: &mut Vec<Effect>| {
                        follower.closed(connection.stream, connection.number, now, effects);
                    };
                    self.with_follower(connection.member, connection.stream, closed);
                }
            }
            SimulationEvent::RequestReceived { connection, source, after } => {
                self.request_received(connection, source, after)
            }
            SimulationEvent::Delivered(connection, payload) => self.deliver(connection, &payload),
        }
    }

    fn issue_purge(&mut self) {
        let gap = -(1.0 - self.rng.next_f64()).ln() / PURGES_PER_S;
        self.schedule(self.now.after(Nanos::from_secs(gap)), SimulationEvent::Purge);
        if !self.sources[0].process_up {
            return self.pending_purges.push(self.now);
        }
        self.record.purge(self.now, self.now);
        self.broadcast(0, |last| Payload::Events(last - 1, last));
    }

    fn issue_version(&mut self) {
        self.schedule(self.now.after(self.case.version_interval), SimulationEvent::Version);
        if self.sources[0].process_up {
            self.record.version(self.now);
            self.broadcast(0, |last| Payload::Events(last - 1, last));
        }
    }
}
