//! A play drawn from a seed: what is quiet for how long, which faults come alone or two at once, which events fall into them,
//! and how the program ends.

use crate::change_log::LogFault;
use crate::clients::next_draw;
use crate::fleet::{Fleet, Terms};
use crate::judge::Record;
use crate::nodes::NodeFault;
use copperroute_fault_injection::FaultPlan;
use std::time::Duration;

const HOUR_MS: i64 = 3_600_000;
/// After the last fault the play goes on for so long.
const AFTER_S: f64 = 3.0;
/// The kill comes at the page's earliest: the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
const KILLED_AFTER_S: f64 = 3.7;

/// Draws in a fixed order, so that a seed always tells the same story.
struct Draws(u64);

impl Draws {
    fn below(&mut self, count: u64) -> u64 {
        next_draw(&mut self.0) % count
    }

    fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (next_draw(&mut self.0) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn one_of<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }

    fn span(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(self.between(from, to))
    }
}

/// Something that happens at a time.
#[derive(Debug, Clone, Copy)]
enum Happening {
    LogFault(LogFault),
    LogHeals,
    NodeFault(u64, NodeFault),
    NodesHeal,
    Drain(u64),
    DrainParent,
    Return(u64),
    PurgeHalf,
    Purge(u64),
    Move(u8),
    Stop,
    Continue,
    Terminate,
}

/// A play, drawn from a seed.
#[derive(Debug)]
pub(crate) struct Story {
    seed: u64,
    terms: Terms,
    clock: FaultPlan,
    crowd: usize,
    happenings: Vec<(f64, Happening)>,
    ends: f64,
}

impl Story {
    /// The play of a seed, whose first fault comes after a quiet time of these seconds.
    pub(crate) fn drawn(seed: u64, quiet: [f64; 2]) -> Story {
        let mut draws = Draws(seed.wrapping_mul(0x2545_f491_4f6c_dd1d));
        let seconds = Duration::from_secs_f64;
        let terms = Terms {
            drain_grace: seconds(draws.one_of(&[0.5, 1.0, 1.0, 2.0])),
            purge_notice: seconds(draws.one_of(&[0.3, 0.5, 1.0])),
            ..Terms::default()
        };
        let mut clock = FaultPlan::default();
        if draws.below(4) == 0 {
            clock = clock.wall(draws.one_of(&[HOUR_MS, -HOUR_MS, 7_000]), draws.below(10_000));
        }
        let crowd = if draws.below(3) == 0 { 200 } else { 0 };
        let begins = draws.between(quiet[0], quiet[1]);
        let lasts = draws.between(3.0, 14.0);
        let mut happenings = vec![(begins, Happening::LogFault(log_fault(&mut draws)))];
        if draws.below(3) == 0 {
            let second = begins + draws.between(0.2, lasts);
            happenings.push((second, Happening::LogFault(log_fault(&mut draws))));
        }
        let ends = begins + lasts;
        happenings.push((ends, Happening::LogHeals));
        if draws.below(2) == 0 {
            let node = draws.below(5);
            let fault = draws.one_of(&[
                NodeFault::Hangs,
                NodeFault::Resets,
                NodeFault::Slow(seconds(0.05)),
                NodeFault::Slow(seconds(0.4)),
            ]);
            happenings.push((begins + draws.between(-1.0, lasts), Happening::NodeFault(node, fault)));
            happenings.push((ends + 0.5, Happening::NodesHeal));
        }
        if draws.below(4) == 0 {
            let stopped = begins + draws.between(-1.0, lasts);
            happenings.push((stopped, Happening::Stop));
            happenings.push((stopped + draws.between(0.1, 1.5), Happening::Continue));
        }
        if draws.below(3) == 0 {
            let first = begins + draws.between(0.0, lasts);
            for number in 1..=3_u8 {
                happenings.push((first + 0.3 * f64::from(number), Happening::Move(number)));
            }
        }
        events(&mut draws, begins, lasts, &mut happenings);
        let last = happenings.iter().map(|(at, _)| *at).fold(ends, f64::max) + AFTER_S;
        let is_terminated = draws.below(2) == 0;
        if is_terminated {
            happenings.push((last, Happening::Terminate));
        }
        happenings.sort_by(|a, b| a.0.total_cmp(&b.0));
        let ends = last + if is_terminated { KILLED_AFTER_S } else { 0.0 };
        Story { seed, terms, clock, crowd, happenings, ends }
    }

    /// Plays it, and hands over what was recorded.
    pub(crate) fn play(&self) -> Record {
        let mut fleet = Fleet::on_clock("soak", self.terms, self.seed, &self.clock);
        let _crowd = fleet.crowd(self.crowd);
        for (at, happening) in &self.happenings {
            fleet.until(*at);
            happen(&mut fleet, *happening);
        }
        fleet.until(self.ends);
        fleet.end()
    }
}

fn log_fault(draws: &mut Draws) -> LogFault {
    match draws.below(8) {
        0 => LogFault::Refuses,
        1 => LogFault::Mute,
        2 => LogFault::AnswersLate(draws.span(0.5, 6.0)),
        3 => LogFault::BytesLate(draws.span(0.3, 9.0)),
        4 => LogFault::InPieces(draws.span(0.5, 6.0)),
        5 => LogFault::BreaksOff,
        6 => LogFault::NamesOnly,
        _ => LogFault::EndsEach(draws.span(0.2, 2.5)),
    }
}

/// Drains and purges: some just as the fault begins, some in it, some after it.
fn events(draws: &mut Draws, begins: f64, lasts: f64, happenings: &mut Vec<(f64, Happening)>) {
    let at = |draws: &mut Draws| match draws.below(3) {
        0 => begins + draws.between(0.0, 0.3),
        1 => begins + draws.between(0.0, lasts),
        _ => begins + lasts + draws.between(-0.2, 1.0),
    };
    let drained = draws.below(5);
    let first = at(draws);
    happenings.push((first, Happening::Drain(drained)));
    if draws.below(2) == 0 {
        happenings.push((first + draws.between(1.0, 8.0), Happening::Return(drained)));
    }
    happenings.push((at(draws), Happening::DrainParent));
    happenings.push((at(draws), Happening::PurgeHalf));
    for _ in 0..draws.below(4) {
        let group = draws.below(8);
        happenings.push((at(draws), Happening::Purge(group)));
    }
}

fn happen(fleet: &mut Fleet, happening: Happening) {
    let cache = |number: u64| format!("s-{number}");
    match happening {
        Happening::LogFault(fault) => fleet.fault(fault),
        Happening::LogHeals => fleet.heal(),
        Happening::NodeFault(node, fault) => fleet.nodes.node(&cache(node)).fault(Some(fault)),
        Happening::NodesHeal => fleet.nodes.all().iter().for_each(|node| node.fault(None)),
        Happening::Drain(node) => fleet.drain(&cache(node)),
        Happening::DrainParent => fleet.drain("p-0"),
        Happening::Return(node) => fleet.activate(&cache(node)),
        Happening::PurgeHalf => fleet.purge_half(),
        Happening::Purge(group) => fleet.purge(group),
        Happening::Move(number) => fleet.move_log(number),
        Happening::Stop => fleet.signal("STOP"),
        Happening::Continue => fleet.signal("CONT"),
        Happening::Terminate => fleet.signal("TERM"),
    }
}
