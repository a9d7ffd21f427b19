//! The kinds of faults, how often a month has each, and what each does step by step.

use super::arrangement::Arrangement;
use super::assumptions::*;
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::random::Random;

/// The first fault begins then; all that is counted is counted from a little before.
pub(super) const BEGINS: Nanos = Nanos(30 * SECOND.0);
pub(super) const COUNTED_FROM: Nanos = Nanos(25 * SECOND.0);
/// After the last step the run goes on for so long.
const SETTLES: Nanos = Nanos(60 * SECOND.0);
/// Faults that hit one dispatcher are played so often in one run, one a second.
const SINGLES: u32 = 30;
/// Replicas are restarted one after the other, so far apart.
const ROLL_PACE: Nanos = Nanos(30 * SECOND.0);
/// A machine that is replaced stays away for ten minutes; nobody is counted while it is away, so where no other waits
/// for it, it is not waited for either.
const SHORTENED: Nanos = Nanos(20 * SECOND.0);

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    None,
    DispatcherRestart,
    DispatcherMachine,
    StreamReset,
    StreamSilent,
    LogRestart,
    LogMachine,
    ReplicaRoll,
    ReplicaMachine,
    Rack,
    RackOfLog,
    RackOfReplica,
    Zone,
    ZoneOfLog,
    ZoneOfReplica,
    RegionCut,
    /// A connection needs both ways, so this is as the one before: a test shows it, the tables leave it out.
    RegionCutOneWay,
    RegionOfLogCut,
    PairWithLogCut,
    OtherPairCut,
}

/// Whose process or machine it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    Dispatcher(u32),
    Rack(u32),
    Zone(usize),
}

/// One step of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Dispatchers end; without a word where their machines are lost.
    Stop(Scope),
    Start(Scope),
    /// A source of streams ends: the log is 0, replicas follow.
    SourceStop {
        source: usize,
        machine: bool,
    },
    SourceStart {
        source: usize,
    },
    /// The way from a region to another, one way.
    Cut {
        from: usize,
        to: usize,
        cut: bool,
    },
    /// From now on these regions can't be reached from the log, or all can again.
    Unreachable([bool; REGIONS]),
    Reset {
        dispatcher: u32,
        stream: usize,
    },
    Silence {
        dispatcher: u32,
        stream: usize,
    },
}

/// What is played.
#[derive(Debug, Clone)]
pub(super) struct Script {
    pub steps: Vec<(Nanos, Step)>,
    /// How many faults of the kind it has.
    pub faults: u32,
    pub until: Nanos,
}

impl Kind {
    pub(super) const ALL: [Kind; 19] = [
        Kind::None,
        Kind::DispatcherRestart,
        Kind::DispatcherMachine,
        Kind::StreamReset,
        Kind::StreamSilent,
        Kind::LogRestart,
        Kind::LogMachine,
        Kind::ReplicaRoll,
        Kind::ReplicaMachine,
        Kind::Rack,
        Kind::RackOfLog,
        Kind::RackOfReplica,
        Kind::Zone,
        Kind::ZoneOfLog,
        Kind::ZoneOfReplica,
        Kind::RegionCut,
        Kind::RegionOfLogCut,
        Kind::PairWithLogCut,
        Kind::OtherPairCut,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Kind::None => "no fault, an hour",
            Kind::DispatcherRestart => "a dispatcher restarts",
            Kind::DispatcherMachine => "a dispatcher's machine is lost and replaced",
            Kind::StreamReset => "one stream is reset",
            Kind::StreamSilent => "one stream goes silent",
            Kind::LogRestart => "the log's process restarts (5 s)",
            Kind::LogMachine => "the log's machine is lost (10 min)",
            Kind::ReplicaRoll => "all replicas restart in a roll",
            Kind::ReplicaMachine => "a replica's machine is lost (10 min)",
            Kind::Rack => "a rack of 17 dispatchers",
            Kind::RackOfLog => "the rack with the log",
            Kind::RackOfReplica => "a rack with a replica",
            Kind::Zone => "a zone",
            Kind::ZoneOfLog => "the zone with the log",
            Kind::ZoneOfReplica => "a zone with a replica",
            Kind::RegionCut => "a region cut off for an hour",
            Kind::RegionCutOneWay => "a region cut off for an hour, one way",
            Kind::RegionOfLogCut => "the log's region cut off for an hour",
            Kind::PairWithLogCut => "a region and the log's lose each other for an hour",
            Kind::OtherPairCut => "two other regions lose each other for an hour",
        }
    }

    /// Whether it lasts an hour.
    pub(super) fn is_long(self) -> bool {
        use Kind::*;
        matches!(self, None | RegionCut | RegionCutOneWay | RegionOfLogCut | PairWithLogCut | OtherPairCut)
    }

    /// How often in an ordinary month.
    pub(super) fn per_month(self, dispatchers: u32, arrangement: &Arrangement) -> f64 {
        let dispatchers = f64::from(dispatchers);
        let scale = dispatchers / TOLD_DISPATCHERS;
        let machines_told = TOLD_DISPATCHERS + TOLD_CACHE_HOSTS + CONTROL_MACHINES;
        let failures = MACHINE_FAILURES_PER_DAY * DAYS_PER_MONTH / machines_told;
        let restarts = RESTARTS_PER_DAY * DAYS_PER_MONTH / machines_told;
        let replicas = arrangement.replicas as f64;
        let streams = dispatchers * arrangement.streams as f64;
        let racks = RACKS_PER_MONTH * scale;
        let rack = racks / (dispatchers / f64::from(RACK)).ceil();
        let zone = ZONES_PER_MONTH / ZONES as f64;
        let regions = REGIONS as f64;
        let with_log = 2.0 / regions;
        match self {
            Kind::None => 0.0,
            Kind::DispatcherRestart => restarts * dispatchers,
            Kind::DispatcherMachine => failures * dispatchers,
            Kind::StreamReset => RESETS_PER_STREAM_MONTH * streams,
            Kind::StreamSilent => SILENCES_PER_STREAM_MONTH * streams,
            Kind::LogRestart => restarts,
            Kind::LogMachine => failures,
            Kind::ReplicaRoll if replicas > 0.0 => restarts,
            Kind::ReplicaRoll => 0.0,
            Kind::ReplicaMachine => failures * replicas,
            Kind::Rack => racks - rack * (1.0 + replicas),
            Kind::RackOfLog => rack,
            Kind::RackOfReplica => rack * replicas,
            Kind::Zone => ZONES_PER_MONTH - zone * (1.0 + replicas),
            Kind::ZoneOfLog => zone,
            Kind::ZoneOfReplica => zone * replicas,
            Kind::RegionCut | Kind::RegionCutOneWay => REGIONS_CUT_PER_MONTH * (1.0 - 1.0 / regions),
            Kind::RegionOfLogCut => REGIONS_CUT_PER_MONTH / regions,
            Kind::PairWithLogCut => PAIRS_CUT_PER_MONTH * with_log,
            Kind::OtherPairCut => PAIRS_CUT_PER_MONTH * (1.0 - with_log),
        }
    }

    /// What is played; `cut` is for how long regions are cut.
    pub(super) fn script(self, dispatchers: u32, arrangement: &Arrangement, cut: Nanos, seed: u64) -> Script {
        let mut writer = Writer { steps: Vec::new(), faults: 1, chance: Random::new(seed) };
        writer.write(self, dispatchers, arrangement, cut);
        let last = writer.steps.iter().map(|step| step.0).max();
        let last = last.unwrap_or(BEGINS.after(cut));
        writer.steps.sort_by_key(|step| step.0);
        Script { steps: writer.steps, faults: writer.faults, until: last.after(SETTLES) }
    }
}

struct Writer {
    steps: Vec<(Nanos, Step)>,
    faults: u32,
    chance: Random,
}

impl Writer {
    fn step(&mut self, at: Nanos, step: Step) {
        self.steps.push((at, step));
    }

    fn write(&mut self, kind: Kind, dispatchers: u32, arrangement: &Arrangement, cut: Nanos) {
        let replica = 1 + (self.chance.next_f64() * arrangement.replicas as f64) as usize;
        let place = super::topology::replica(replica - 1);
        match kind {
            Kind::None => {}
            Kind::DispatcherRestart => self.singles(dispatchers, RESTART_TAKES),
            Kind::DispatcherMachine => self.singles(dispatchers, SHORTENED),
            Kind::StreamReset | Kind::StreamSilent => self.streams(kind, dispatchers, arrangement),
            Kind::LogRestart => self.source(0, false, BEGINS, RESTART_TAKES),
            Kind::LogMachine => self.source(0, true, BEGINS, REPLACED_AFTER),
            Kind::ReplicaRoll => (0..arrangement.replicas).for_each(|at| {
                let begins = BEGINS.after(Nanos(at as u64 * ROLL_PACE.0));
                self.source(at + 1, false, begins, RESTART_TAKES);
            }),
            Kind::ReplicaMachine if arrangement.replicas == 0 => {}
            Kind::ReplicaMachine => self.source(replica, true, BEGINS, REPLACED_AFTER),
            Kind::Rack => self.group(Scope::Rack(7), SHORTENED),
            Kind::RackOfLog => {
                self.group(Scope::Rack(0), REPLACED_AFTER);
                self.source(0, true, BEGINS, REPLACED_AFTER);
            }
            Kind::RackOfReplica | Kind::ZoneOfReplica if arrangement.replicas == 0 => {}
            Kind::RackOfReplica => {
                self.group(Scope::Rack(place.rack), REPLACED_AFTER);
                self.source(replica, true, BEGINS, REPLACED_AFTER);
            }
            Kind::Zone => self.group(Scope::Zone(7), SHORTENED),
            Kind::ZoneOfLog => {
                self.group(Scope::Zone(0), REPLACED_AFTER);
                self.source(0, true, BEGINS, REPLACED_AFTER);
            }
            Kind::ZoneOfReplica => {
                self.group(Scope::Zone(place.zone), REPLACED_AFTER);
                self.source(replica, true, BEGINS, REPLACED_AFTER);
            }
            Kind::RegionCut | Kind::RegionCutOneWay | Kind::RegionOfLogCut => self.region(kind, cut),
            Kind::PairWithLogCut => self.pair(0, 2, cut),
            Kind::OtherPairCut => self.pair(2, 3, cut),
        }
    }

    fn group(&mut self, scope: Scope, away: Nanos) {
        self.step(BEGINS, Step::Stop(scope));
        self.step(BEGINS.after(away), Step::Start(scope));
    }

    fn source(&mut self, source: usize, machine: bool, begins: Nanos, away: Nanos) {
        self.step(begins, Step::SourceStop { source, machine });
        self.step(begins.after(away), Step::SourceStart { source });
    }

    fn single(&mut self, at: u32, dispatchers: u32) -> (Nanos, u32) {
        let spread = dispatchers / SINGLES.min(dispatchers);
        let first = (self.chance.next_f64() * f64::from(spread)) as u32;
        let moment = Nanos::from_secs(f64::from(at) + self.chance.next_f64());
        (BEGINS.after(moment), at * spread + first)
    }

    fn singles(&mut self, dispatchers: u32, away: Nanos) {
        self.faults = SINGLES.min(dispatchers);
        for at in 0..self.faults {
            let (moment, dispatcher) = self.single(at, dispatchers);
            self.step(moment, Step::Stop(Scope::Dispatcher(dispatcher)));
            self.step(moment.after(away), Step::Start(Scope::Dispatcher(dispatcher)));
        }
    }

    fn streams(&mut self, kind: Kind, dispatchers: u32, arrangement: &Arrangement) {
        self.faults = SINGLES.min(dispatchers);
        for at in 0..self.faults {
            let (moment, dispatcher) = self.single(at, dispatchers);
            let stream = at as usize % arrangement.streams;
            let step = match kind {
                Kind::StreamReset => Step::Reset { dispatcher, stream },
                _ => Step::Silence { dispatcher, stream },
            };
            self.step(moment, step);
        }
    }

    fn region(&mut self, kind: Kind, cut: Nanos) {
        let alone = if kind == Kind::RegionOfLogCut { 0 } else { 2 };
        let mut unreachable = [kind == Kind::RegionOfLogCut; REGIONS];
        unreachable[alone] = !unreachable[alone];
        for (at, is_cut) in [(BEGINS, true), (BEGINS.after(cut), false)] {
            for other in (0..REGIONS).filter(|other| *other != alone) {
                self.step(at, Step::Cut { from: other, to: alone, cut: is_cut });
                if kind != Kind::RegionCutOneWay {
                    self.step(at, Step::Cut { from: alone, to: other, cut: is_cut });
                }
            }
            let now = if is_cut { unreachable } else { [false; REGIONS] };
            self.step(at, Step::Unreachable(now));
        }
    }

    fn pair(&mut self, one: usize, other: usize, cut: Nanos) {
        for (at, is_cut) in [(BEGINS, true), (BEGINS.after(cut), false)] {
            self.step(at, Step::Cut { from: one, to: other, cut: is_cut });
            self.step(at, Step::Cut { from: other, to: one, cut: is_cut });
        }
    }
}
