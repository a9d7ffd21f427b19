//! The kinds of faults, how often each occurs in a month, and the script of timed steps that each one runs. A script
//! depends on the number of dispatchers, the arrangement, the cut duration and the seed.

use super::arrangement::Arrangement;
use super::assumptions::*;
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::random::Random;

/// When the first fault begins, and when counting starts, shortly before it.
pub(super) const FIRST_FAULT_AT: Nanos = Nanos(30 * SECOND.0);
pub(super) const COUNTED_FROM: Nanos = Nanos(25 * SECOND.0);
/// How long a run continues after the last step.
const SETTLE_TIME: Nanos = Nanos(60 * SECOND.0);
/// How many times a fault that affects a single dispatcher is repeated in one run, one per second.
const REPEATS_PER_RUN: u32 = 30;
/// Interval between the starts of replica restarts in a rolling restart.
const ROLL_INTERVAL: Nanos = Nanos(30 * SECOND.0);
/// Downtime of a replaced machine in place of `MACHINE_REPLACEMENT_TIME` (ten minutes). A dispatcher is not counted
/// while it is down, so where nothing else depends on the machine the shorter downtime gives the same result.
const SHORTENED_REPLACEMENT_TIME: Nanos = Nanos(20 * SECOND.0);

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultKind {
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
    /// A connection needs both directions, so this has the same effect as `RegionCut`: a test checks that, and the
    /// tables leave it out.
    RegionCutOneWay,
    RegionOfLogCut,
    PairWithLogCut,
    OtherPairCut,
}

/// The dispatchers that a step affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    Dispatcher(u32),
    Rack(u32),
    Zone(usize),
}

/// One step of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Dispatchers stop, at a restart or because their machines are lost; their connections are not closed.
    Stop(Scope),
    Start(Scope),
    /// A source of streams stops: 0 is the log, higher numbers are replicas. `machine`: its machine is lost.
    SourceStop {
        source: usize,
        machine: bool,
    },
    SourceStart {
        source: usize,
    },
    /// Cuts or restores one direction between two regions.
    Cut {
        from: usize,
        to: usize,
        cut: bool,
    },
    /// From now on the log cannot reach these regions; with none set, it reaches all again.
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

/// The steps of one run.
#[derive(Debug, Clone)]
pub(super) struct Script {
    pub steps: Vec<(Nanos, Step)>,
    /// How many faults of the kind the script contains.
    pub faults: u32,
    pub ends_at: Nanos,
}

impl FaultKind {
    pub(super) const ALL: [FaultKind; 19] = [
        FaultKind::None,
        FaultKind::DispatcherRestart,
        FaultKind::DispatcherMachine,
        FaultKind::StreamReset,
        FaultKind::StreamSilent,
        FaultKind::LogRestart,
        FaultKind::LogMachine,
        FaultKind::ReplicaRoll,
        FaultKind::ReplicaMachine,
        FaultKind::Rack,
        FaultKind::RackOfLog,
        FaultKind::RackOfReplica,
        FaultKind::Zone,
        FaultKind::ZoneOfLog,
        FaultKind::ZoneOfReplica,
        FaultKind::RegionCut,
        FaultKind::RegionOfLogCut,
        FaultKind::PairWithLogCut,
        FaultKind::OtherPairCut,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            FaultKind::None => "no fault, an hour",
            FaultKind::DispatcherRestart => "a dispatcher restarts",
            FaultKind::DispatcherMachine => "a dispatcher's machine is lost and replaced",
            FaultKind::StreamReset => "one stream is reset",
            FaultKind::StreamSilent => "one stream goes silent",
            FaultKind::LogRestart => "the log's process restarts (5 s)",
            FaultKind::LogMachine => "the log's machine is lost (10 min)",
            FaultKind::ReplicaRoll => "all replicas restart in a roll",
            FaultKind::ReplicaMachine => "a replica's machine is lost (10 min)",
            FaultKind::Rack => "a rack of 17 dispatchers",
            FaultKind::RackOfLog => "the rack with the log",
            FaultKind::RackOfReplica => "a rack with a replica",
            FaultKind::Zone => "a zone",
            FaultKind::ZoneOfLog => "the zone with the log",
            FaultKind::ZoneOfReplica => "a zone with a replica",
            FaultKind::RegionCut => "a region cut off for an hour",
            FaultKind::RegionCutOneWay => "a region cut off for an hour, one way",
            FaultKind::RegionOfLogCut => "the log's region cut off for an hour",
            FaultKind::PairWithLogCut => "a region and the log's lose each other for an hour",
            FaultKind::OtherPairCut => "two other regions lose each other for an hour",
        }
    }

    /// Whether a run of this kind lasts an hour.
    pub(super) fn is_long(self) -> bool {
        use FaultKind::*;
        matches!(self, None | RegionCut | RegionCutOneWay | RegionOfLogCut | PairWithLogCut | OtherPairCut)
    }

    /// How often this fault occurs in an ordinary month.
    pub(super) fn per_month(self, dispatchers: u32, arrangement: &Arrangement) -> f64 {
        let dispatchers = f64::from(dispatchers);
        let scale = dispatchers / REFERENCE_DISPATCHERS;
        let reference_machines = REFERENCE_DISPATCHERS + REFERENCE_CACHE_NODES + CONTROL_MACHINES;
        let failures = MACHINE_FAILURES_PER_DAY * DAYS_PER_MONTH / reference_machines;
        let restarts = RESTARTS_PER_DAY * DAYS_PER_MONTH / reference_machines;
        let replicas = arrangement.replicas as f64;
        let streams = dispatchers * arrangement.streams as f64;
        let racks = RACK_FAILURES_PER_MONTH * scale;
        let rack = racks / (dispatchers / f64::from(DISPATCHERS_PER_RACK)).ceil();
        let zone = ZONE_FAILURES_PER_MONTH / ZONES as f64;
        let regions = REGIONS as f64;
        let with_log = 2.0 / regions;
        match self {
            FaultKind::None => 0.0,
            FaultKind::DispatcherRestart => restarts * dispatchers,
            FaultKind::DispatcherMachine => failures * dispatchers,
            FaultKind::StreamReset => RESETS_PER_STREAM_MONTH * streams,
            FaultKind::StreamSilent => SILENCES_PER_STREAM_MONTH * streams,
            FaultKind::LogRestart => restarts,
            FaultKind::LogMachine => failures,
            FaultKind::ReplicaRoll if replicas > 0.0 => restarts,
            FaultKind::ReplicaRoll => 0.0,
            FaultKind::ReplicaMachine => failures * replicas,
            FaultKind::Rack => racks - rack * (1.0 + replicas),
            FaultKind::RackOfLog => rack,
            FaultKind::RackOfReplica => rack * replicas,
            FaultKind::Zone => ZONE_FAILURES_PER_MONTH - zone * (1.0 + replicas),
            FaultKind::ZoneOfLog => zone,
            FaultKind::ZoneOfReplica => zone * replicas,
            FaultKind::RegionCut | FaultKind::RegionCutOneWay => {
                REGION_CUTS_PER_MONTH * (1.0 - 1.0 / regions)
            }
            FaultKind::RegionOfLogCut => REGION_CUTS_PER_MONTH / regions,
            FaultKind::PairWithLogCut => PAIR_CUTS_PER_MONTH * with_log,
            FaultKind::OtherPairCut => PAIR_CUTS_PER_MONTH * (1.0 - with_log),
        }
    }

    /// The script of this fault; `cut` is how long regions are cut off.
    pub(super) fn script(self, dispatchers: u32, arrangement: &Arrangement, cut: Nanos, seed: u64) -> Script {
        let mut builder = ScriptBuilder { steps: Vec::new(), faults: 1, rng: Random::new(seed) };
        builder.add_steps(self, dispatchers, arrangement, cut);
        let last = builder.steps.iter().map(|step| step.0).max();
        let last = last.unwrap_or(FIRST_FAULT_AT.after(cut));
        builder.steps.sort_by_key(|step| step.0);
        Script { steps: builder.steps, faults: builder.faults, ends_at: last.after(SETTLE_TIME) }
    }
}

struct ScriptBuilder {
    steps: Vec<(Nanos, Step)>,
    faults: u32,
    rng: Random,
}

impl ScriptBuilder {
    fn push(&mut self, at: Nanos, step: Step) {
        self.steps.push((at, step));
    }

    fn add_steps(&mut self, kind: FaultKind, dispatchers: u32, arrangement: &Arrangement, cut: Nanos) {
        let replica = 1 + (self.rng.next_f64() * arrangement.replicas as f64) as usize;
        let place = super::topology::replica(replica - 1);
        match kind {
            FaultKind::None => {}
            FaultKind::DispatcherRestart => self.repeat_for_dispatchers(dispatchers, RESTART_TIME),
            FaultKind::DispatcherMachine => {
                self.repeat_for_dispatchers(dispatchers, SHORTENED_REPLACEMENT_TIME)
            }
            FaultKind::StreamReset | FaultKind::StreamSilent => {
                self.stream_faults(kind, dispatchers, arrangement)
            }
            FaultKind::LogRestart => self.source_outage(0, false, FIRST_FAULT_AT, RESTART_TIME),
            FaultKind::LogMachine => self.source_outage(0, true, FIRST_FAULT_AT, MACHINE_REPLACEMENT_TIME),
            FaultKind::ReplicaRoll => (0..arrangement.replicas).for_each(|index| {
                let at = FIRST_FAULT_AT.after(Nanos(index as u64 * ROLL_INTERVAL.0));
                self.source_outage(index + 1, false, at, RESTART_TIME);
            }),
            FaultKind::ReplicaMachine if arrangement.replicas == 0 => {}
            FaultKind::ReplicaMachine => {
                self.source_outage(replica, true, FIRST_FAULT_AT, MACHINE_REPLACEMENT_TIME)
            }
            FaultKind::Rack => self.group_outage(Scope::Rack(7), SHORTENED_REPLACEMENT_TIME),
            FaultKind::RackOfLog => {
                self.group_outage(Scope::Rack(0), MACHINE_REPLACEMENT_TIME);
                self.source_outage(0, true, FIRST_FAULT_AT, MACHINE_REPLACEMENT_TIME);
            }
            FaultKind::RackOfReplica | FaultKind::ZoneOfReplica if arrangement.replicas == 0 => {}
            FaultKind::RackOfReplica => {
                self.group_outage(Scope::Rack(place.rack), MACHINE_REPLACEMENT_TIME);
                self.source_outage(replica, true, FIRST_FAULT_AT, MACHINE_REPLACEMENT_TIME);
            }
            FaultKind::Zone => self.group_outage(Scope::Zone(7), SHORTENED_REPLACEMENT_TIME),
            FaultKind::ZoneOfLog => {
                self.group_outage(Scope::Zone(0), MACHINE_REPLACEMENT_TIME);
                self.source_outage(0, true, FIRST_FAULT_AT, MACHINE_REPLACEMENT_TIME);
            }
            FaultKind::ZoneOfReplica => {
                self.group_outage(Scope::Zone(place.zone), MACHINE_REPLACEMENT_TIME);
                self.source_outage(replica, true, FIRST_FAULT_AT, MACHINE_REPLACEMENT_TIME);
            }
            FaultKind::RegionCut | FaultKind::RegionCutOneWay | FaultKind::RegionOfLogCut => {
                self.region_cut(kind, cut)
            }
            FaultKind::PairWithLogCut => self.pair_cut(0, 2, cut),
            FaultKind::OtherPairCut => self.pair_cut(2, 3, cut),
        }
    }

    fn group_outage(&mut self, scope: Scope, downtime: Nanos) {
        self.push(FIRST_FAULT_AT, Step::Stop(scope));
        self.push(FIRST_FAULT_AT.after(downtime), Step::Start(scope));
    }

    fn source_outage(&mut self, source: usize, machine: bool, at: Nanos, downtime: Nanos) {
        self.push(at, Step::SourceStop { source, machine });
        self.push(at.after(downtime), Step::SourceStart { source });
    }

    fn target(&mut self, index: u32, dispatchers: u32) -> (Nanos, u32) {
        let spread = dispatchers / REPEATS_PER_RUN.min(dispatchers);
        let first = (self.rng.next_f64() * f64::from(spread)) as u32;
        let time = Nanos::from_secs(f64::from(index) + self.rng.next_f64());
        (FIRST_FAULT_AT.after(time), index * spread + first)
    }

    fn repeat_for_dispatchers(&mut self, dispatchers: u32, downtime: Nanos) {
        self.faults = REPEATS_PER_RUN.min(dispatchers);
        for index in 0..self.faults {
            let (time, dispatcher) = self.target(index, dispatchers);
            self.push(time, Step::Stop(Scope::Dispatcher(dispatcher)));
            self.push(time.after(downtime), Step::Start(Scope::Dispatcher(dispatcher)));
        }
    }

    fn stream_faults(&mut self, kind: FaultKind, dispatchers: u32, arrangement: &Arrangement) {
        self.faults = REPEATS_PER_RUN.min(dispatchers);
        for index in 0..self.faults {
            let (time, dispatcher) = self.target(index, dispatchers);
            let stream = index as usize % arrangement.streams;
            let step = match kind {
                FaultKind::StreamReset => Step::Reset { dispatcher, stream },
                _ => Step::Silence { dispatcher, stream },
            };
            self.push(time, step);
        }
    }

    fn region_cut(&mut self, kind: FaultKind, cut: Nanos) {
        let isolated = if kind == FaultKind::RegionOfLogCut { 0 } else { 2 };
        let mut unreachable = [kind == FaultKind::RegionOfLogCut; REGIONS];
        unreachable[isolated] = !unreachable[isolated];
        for (at, is_cut) in [(FIRST_FAULT_AT, true), (FIRST_FAULT_AT.after(cut), false)] {
            for other in (0..REGIONS).filter(|other| *other != isolated) {
                self.push(at, Step::Cut { from: other, to: isolated, cut: is_cut });
                if kind != FaultKind::RegionCutOneWay {
                    self.push(at, Step::Cut { from: isolated, to: other, cut: is_cut });
                }
            }
            let now = if is_cut { unreachable } else { [false; REGIONS] };
            self.push(at, Step::Unreachable(now));
        }
    }

    fn pair_cut(&mut self, one: usize, other: usize, cut: Nanos) {
        for (at, is_cut) in [(FIRST_FAULT_AT, true), (FIRST_FAULT_AT.after(cut), false)] {
            self.push(at, Step::Cut { from: one, to: other, cut: is_cut });
            self.push(at, Step::Cut { from: other, to: one, cut: is_cut });
        }
    }
}
