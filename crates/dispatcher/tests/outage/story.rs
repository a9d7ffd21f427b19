//! A random scenario generated from a seed: the time before the first fault, one or two faults of the change log,
//! faults of nodes, drains and purges around them, and how the program ends.

use crate::change_log::LogFault;
use crate::clients::next_random;
use crate::fleet::{Fleet, Terms};
use crate::judge::Record;
use crate::nodes::NodeFault;
use copperroute_fault_injection::FaultPlan;
use std::time::Duration;

/// The step of the wall clock in some scenarios.
const HOUR_MS: i64 = 3_600_000;
/// How long the scenario goes on after the last action.
const AFTER_S: f64 = 3.0;
/// When the program is killed after SIGTERM, the earliest time that the rules allow: the longest deadline, 3 s at most,
/// and 0.7 s more.
const KILLED_AFTER_S: f64 = 3.7;

/// Random values in a fixed order, so that a seed always gives the same scenario.
struct Random(u64);

impl Random {
    fn below(&mut self, count: u64) -> u64 {
        next_random(&mut self.0) % count
    }

    fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (next_random(&mut self.0) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn one_of<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }

    fn span(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(self.between(from, to))
    }
}

/// An action of a scenario.
#[derive(Debug, Clone, Copy)]
enum Action {
    LogFault(LogFault),
    EndLogFault,
    NodeFault(u64, NodeFault),
    EndNodeFaults,
    Drain(u64),
    DrainParent,
    Activate(u64),
    PurgeHalf,
    Purge(u64),
    MoveLog(u8),
    Stop,
    Continue,
    Terminate,
}

/// A scenario: its settings, and its actions with their times in seconds.
#[derive(Debug)]
pub(crate) struct Scenario {
    seed: u64,
    terms: Terms,
    clock: FaultPlan,
    idle_clients: usize,
    actions: Vec<(f64, Action)>,
    ends: f64,
}

impl Scenario {
    /// Generates the scenario of a seed. The first fault comes after a time within `quiet`, in seconds.
    pub(crate) fn generate(seed: u64, quiet: [f64; 2]) -> Scenario {
        let mut random = Random(seed.wrapping_mul(0x2545_f491_4f6c_dd1d));
        let seconds = Duration::from_secs_f64;
        let terms = Terms {
            drain_grace: seconds(random.one_of(&[0.5, 1.0, 1.0, 2.0])),
            purge_notice: seconds(random.one_of(&[0.3, 0.5, 1.0])),
            ..Terms::default()
        };
        let mut clock = FaultPlan::default();
        if random.below(4) == 0 {
            clock = clock.wall(random.one_of(&[HOUR_MS, -HOUR_MS, 7_000]), random.below(10_000));
        }
        let idle_clients = if random.below(3) == 0 { 200 } else { 0 };
        let begins = random.between(quiet[0], quiet[1]);
        let lasts = random.between(3.0, 14.0);
        let mut actions = vec![(begins, Action::LogFault(log_fault(&mut random)))];
        if random.below(3) == 0 {
            let second = begins + random.between(0.2, lasts);
            actions.push((second, Action::LogFault(log_fault(&mut random))));
        }
        let ends = begins + lasts;
        actions.push((ends, Action::EndLogFault));
        if random.below(2) == 0 {
            let node = random.below(5);
            let fault = random.one_of(&[
                NodeFault::Hangs,
                NodeFault::Resets,
                NodeFault::Slow(seconds(0.05)),
                NodeFault::Slow(seconds(0.4)),
            ]);
            actions.push((begins + random.between(-1.0, lasts), Action::NodeFault(node, fault)));
            actions.push((ends + 0.5, Action::EndNodeFaults));
        }
        if random.below(4) == 0 {
            let stopped = begins + random.between(-1.0, lasts);
            actions.push((stopped, Action::Stop));
            actions.push((stopped + random.between(0.1, 1.5), Action::Continue));
        }
        if random.below(3) == 0 {
            let first = begins + random.between(0.0, lasts);
            for number in 1..=3_u8 {
                actions.push((first + 0.3 * f64::from(number), Action::MoveLog(number)));
            }
        }
        events(&mut random, begins, lasts, &mut actions);
        let last = actions.iter().map(|(at, _)| *at).fold(ends, f64::max) + AFTER_S;
        let is_terminated = random.below(2) == 0;
        if is_terminated {
            actions.push((last, Action::Terminate));
        }
        actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        let ends = last + if is_terminated { KILLED_AFTER_S } else { 0.0 };
        Scenario { seed, terms, clock, idle_clients, actions, ends }
    }

    /// Runs the scenario and returns what was recorded.
    pub(crate) fn run(&self) -> Record {
        let mut fleet = Fleet::start_with_clock("soak", self.terms, self.seed, &self.clock);
        let _idle_clients = fleet.idle_clients(self.idle_clients);
        for (at, action) in &self.actions {
            fleet.wait_until(*at);
            perform(&mut fleet, *action);
        }
        fleet.wait_until(self.ends);
        fleet.end()
    }
}

fn log_fault(random: &mut Random) -> LogFault {
    match random.below(8) {
        0 => LogFault::Refuses,
        1 => LogFault::Silent,
        2 => LogFault::LateAnswers(random.span(0.5, 6.0)),
        3 => LogFault::LateBytes(random.span(0.3, 9.0)),
        4 => LogFault::ByteByByte(random.span(0.5, 6.0)),
        5 => LogFault::CutsEvents,
        6 => LogFault::HeartbeatsOnly,
        _ => LogFault::ClosesEach(random.span(0.2, 2.5)),
    }
}

/// Adds drains and purges: some as the fault begins, some during it, some around its end.
fn events(random: &mut Random, begins: f64, lasts: f64, actions: &mut Vec<(f64, Action)>) {
    let at = |random: &mut Random| match random.below(3) {
        0 => begins + random.between(0.0, 0.3),
        1 => begins + random.between(0.0, lasts),
        _ => begins + lasts + random.between(-0.2, 1.0),
    };
    let drained = random.below(5);
    let first = at(random);
    actions.push((first, Action::Drain(drained)));
    if random.below(2) == 0 {
        actions.push((first + random.between(1.0, 8.0), Action::Activate(drained)));
    }
    actions.push((at(random), Action::DrainParent));
    actions.push((at(random), Action::PurgeHalf));
    for _ in 0..random.below(4) {
        let group = random.below(8);
        actions.push((at(random), Action::Purge(group)));
    }
}

fn perform(fleet: &mut Fleet, action: Action) {
    let cache = |number: u64| format!("s-{number}");
    match action {
        Action::LogFault(fault) => fleet.fault(fault),
        Action::EndLogFault => fleet.end_fault(),
        Action::NodeFault(node, fault) => fleet.nodes.node(&cache(node)).fault(Some(fault)),
        Action::EndNodeFaults => fleet.nodes.all().iter().for_each(|node| node.fault(None)),
        Action::Drain(node) => fleet.drain(&cache(node)),
        Action::DrainParent => fleet.drain("p-0"),
        Action::Activate(node) => fleet.activate(&cache(node)),
        Action::PurgeHalf => fleet.purge_half(),
        Action::Purge(group) => fleet.purge(group),
        Action::MoveLog(number) => fleet.move_log(number),
        Action::Stop => fleet.signal("STOP"),
        Action::Continue => fleet.signal("CONT"),
        Action::Terminate => fleet.signal("TERM"),
    }
}
