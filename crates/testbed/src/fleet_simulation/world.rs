//! The fleet on one clock: the log, its replicas and all dispatchers, what is on its way between them, and a script
//! of faults. Followers are the program's own cores; bytes come to them as they would on a socket.

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

/// Dispatchers look after their connections in so many groups, one after the other.
pub(super) const SWEEP_GROUPS: u32 = 25;

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub(super) struct Case {
    pub dispatchers: u32,
    pub arrangement: Arrangement,
    pub seed: u64,
    /// How often silence is looked for; longer than `SWEEP` is a fault built in on purpose.
    pub sweep: Nanos,
    /// Versions come so far apart.
    pub versions_apart: Nanos,
}

#[derive(Debug)]
pub(super) enum Payload {
    /// Events after one number up to another.
    Events(u64, u64),
    Line(u64),
}

#[derive(Debug)]
pub(super) enum Occurrence {
    Purge,
    Version,
    LogLine,
    Sweep(u32),
    Step(usize),
    Due { member: u32, stream: usize, incarnation: u32 },
    Call { connection: Connection, source: usize },
    Accepted(Connection),
    Ended(Connection),
    Since { connection: Connection, source: usize, after: u64 },
    Told(Connection, Payload),
}

pub(super) struct Queued {
    at: Nanos,
    order: u64,
    what: Occurrence,
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
    /// The earliest is the greatest.
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
    /// Something on it was lost: nothing comes any more, and nobody is told.
    pub(super) stalled: bool,
    /// What comes later comes no earlier than this.
    pub(super) last_arrival: Nanos,
    /// Events up to this had been taken when it was asked for: a merge of streams does not ask for them again.
    pub(super) taken_before: u64,
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
    pub(super) chance: Random,
    pub(super) record: Record,
    /// Purges that were issued while the log was away.
    pub(super) waiting: Vec<Nanos>,
    /// Dispatchers, then replicas.
    pub(super) members: Vec<Member>,
    pub sources: Vec<Source>,
    pub measures: Measures,
}

impl World {
    pub(super) fn new(case: Case, script: Script) -> Self {
        let (count, arrangement) = (case.dispatchers, case.arrangement);
        let bears = arrangement.bears(count);
        let sources = (0..=arrangement.replicas).map(|at| Source::new(place_of(at), bears)).collect();
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
            chance: Random::new(mix(case.seed)),
            record: Record::default(),
            waiting: Vec::new(),
            queue: BinaryHeap::new(),
            now: Nanos::ZERO,
            order: 0,
            script,
            case,
        }
    }

    /// Plays the script to its end.
    pub(super) fn run(&mut self) {
        self.sources[0].start(true);
        for replica in 0..self.case.arrangement.replicas {
            self.sources[replica + 1].start(false);
            self.start_member(self.case.dispatchers + replica as u32);
        }
        // All dispatchers start within a second; who starts is counted from then.
        for dispatcher in 0..self.case.dispatchers {
            self.start_member(dispatcher);
        }
        self.put(Nanos::ZERO, Occurrence::Purge);
        self.put(Nanos(5 * SECOND.0), Occurrence::Version);
        self.put(SECOND, Occurrence::LogLine);
        for group in 0..SWEEP_GROUPS {
            let phase = self.case.sweep.0 / u64::from(SWEEP_GROUPS) * u64::from(group);
            self.put(Nanos(phase), Occurrence::Sweep(group));
        }
        for at in 0..self.script.steps.len() {
            self.put(self.script.steps[at].0, Occurrence::Step(at));
        }
        while let Some(Queued { at, what, .. }) = self.queue.pop() {
            if at > self.script.until {
                break;
            }
            self.now = at;
            self.happens(what);
        }
        self.now = self.script.until;
        for dispatcher in 0..self.case.dispatchers {
            self.count_unacted(dispatcher);
        }
    }

    pub(super) fn put(&mut self, at: Nanos, what: Occurrence) {
        self.order += 1;
        self.queue.push(Queued { at, order: self.order, what });
    }

    fn happens(&mut self, what: Occurrence) {
        match what {
            Occurrence::Purge => self.purge(),
            Occurrence::Version => self.version(),
            Occurrence::LogLine => {
                if self.sources[0].process_up {
                    self.broadcast(0, Payload::Line);
                }
                self.put(self.now.after(SECOND), Occurrence::LogLine);
            }
            Occurrence::Sweep(group) => self.sweep(group),
            Occurrence::Step(at) => self.step(self.script.steps[at].1),
            Occurrence::Due { member, stream, incarnation } => {
                if self.members[member as usize].incarnation == incarnation {
                    self.with(member, stream, |follower, now, effects| follower.due(stream, now, effects));
                }
            }
            Occurrence::Call { connection, source } => self.call(connection, source),
            Occurrence::Accepted(of) => {
                if self.is_open(&of) {
                    let connected = |follower: &mut Follower, now, effects: &mut Vec<Effect>| {
                        follower.connected(of.stream, of.number, now, effects);
                    };
                    self.with(of.member, of.stream, connected);
                }
            }
            Occurrence::Ended(of) => {
                if self.is_open(&of) {
                    let closed = |follower: &mut Follower, now, effects: &mut Vec<Effect>| {
                        follower.closed(of.stream, of.number, now, effects);
                    };
                    self.with(of.member, of.stream, closed);
                }
            }
            Occurrence::Since { connection, source, after } => self.since(connection, source, after),
            Occurrence::Told(connection, payload) => self.told(connection, &payload),
        }
    }

    // What is issued.

    fn purge(&mut self) {
        let gap = -(1.0 - self.chance.next_f64()).ln() / PURGES_PER_S;
        self.put(self.now.after(Nanos::from_secs(gap)), Occurrence::Purge);
        if !self.sources[0].process_up {
            return self.waiting.push(self.now);
        }
        self.record.purge(self.now, self.now);
        self.broadcast(0, |last| Payload::Events(last - 1, last));
    }

    fn version(&mut self) {
        self.put(self.now.after(self.case.versions_apart), Occurrence::Version);
        if self.sources[0].process_up {
            self.record.version(self.now);
            self.broadcast(0, |last| Payload::Events(last - 1, last));
        }
    }
}
