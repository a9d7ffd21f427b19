//! The decisions on calls of thousands of dispatchers, simulated: the same core as in the program, a list service that
//! falls over, and the program's earlier back-off beside it.

use copperroute_routing::interface::Nanos;
use copperroute_routing::reconnect_schedule::{ReconnectSchedule, ReconnectSettings};
use copperroute_routing::structures::random::Random;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const SECOND: Nanos = Nanos(1_000_000_000);
/// A Unix time to begin at.
const UNIX: u64 = 1_764_576_000_000_000_000;
/// The earlier back-off: this long, and up to as long again.
const EARLIER_S: f64 = 0.1;

/// Who decides when to call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum How {
    /// The core, told what the service bears.
    Told,
    /// The core, told nothing of it.
    Untold,
    /// As before the core: at once, then after 0.1 to 0.2 s for good.
    Earlier,
}

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Case {
    /// How many dispatchers, in how many locations.
    pub dispatchers: u32,
    pub zones: u32,
    /// How many the settings tell of, beside those there are.
    pub told_share: f64,
    /// For how long the service is away.
    pub away: Nanos,
    /// It falls over this many times what it bears in a second, and rises under the other.
    pub falls_at: f64,
    pub rises_at: f64,
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Outcome {
    /// Calls a second that the service bears.
    pub bears: f64,
    /// The most calls in a second, beside that: at the start, and from the outage on.
    pub peaks: [f64; 2],
    pub falls: u32,
    /// Calls of one dispatcher, on average, while the service was away.
    pub in_vain: f64,
    /// Seconds until all had heard, from the start and from the return.
    pub current_s: [Option<f64>; 2],
}

enum Caller {
    Core(Box<ReconnectSchedule>),
    Earlier(Random),
}

impl Caller {
    fn ended(&mut self, now: Nanos) -> Nanos {
        match self {
            Caller::Core(calls) => calls.ended(now).0,
            Caller::Earlier(chance) => now.after(Nanos::from_secs(EARLIER_S * (1.0 + chance.next_f64()))),
        }
    }
}

/// The service's side.
struct Service {
    bears: f64,
    recent: VecDeque<Nanos>,
    fallen: bool,
}

/// All start within a second, the service goes away 20 s later, for a time, and is back for 60 s.
pub(crate) fn simulate(case: &Case, how: How) -> Outcome {
    let count = case.dispatchers;
    // As many as can all be heard in time, with a little to spare: 60 for 300.
    let bears = f64::from(count) / 5.0;
    let leaves = Nanos(20 * SECOND.0);
    let returns = leaves.after(case.away);
    let until = returns.after(Nanos(60 * SECOND.0));
    let mut chance = Random::new(case.seed);
    let mut due: BinaryHeap<Reverse<(Nanos, u32)>> = BinaryHeap::new();
    let mut callers: Vec<Caller> = (0..count)
        .map(|at| {
            let starts = Nanos::from_secs(chance.next_f64());
            let seed = case.seed.wrapping_mul(1_000_003) + u64::from(at);
            let zone = f64::from(at % case.zones);
            let zones = f64::from(case.zones);
            let calls_per_s = (how == How::Told).then_some(bears);
            let settings = ReconnectSettings {
                dispatchers: ((f64::from(count) * case.told_share) as u32).max(1),
                calls_per_s,
                delivered_after: Nanos(7 * SECOND.0),
                window_range: [zone / zones, (zone + 1.0) / zones],
            };
            let (caller, at_first) = match how {
                How::Earlier => (Caller::Earlier(Random::new(seed)), starts),
                _ => {
                    let mut calls = ReconnectSchedule::new(settings, seed, UNIX);
                    let at_first = calls.started(starts, true);
                    (Caller::Core(Box::new(calls)), at_first)
                }
            };
            due.push(Reverse((at_first, at)));
            caller
        })
        .collect();
    let mut service = Service { bears, recent: VecDeque::new(), fallen: false };
    let (mut peaks, mut falls, mut in_vain) = ([0_usize; 2], 0, 0_u64);
    let mut follows: Vec<Option<Nanos>> = vec![None; count as usize];
    let mut current: [Option<Nanos>; 2] = [None; 2];
    let mut heard = 0_u32;
    // Everybody whose stream has ended, at one moment.
    let end_all = |now: Nanos,
                   callers: &mut Vec<Caller>,
                   follows: &mut Vec<Option<Nanos>>,
                   due: &mut BinaryHeap<Reverse<(Nanos, u32)>>| {
        for at in 0..count {
            if let Some(since) = follows[at as usize].take() {
                let caller = &mut callers[at as usize];
                if let Caller::Core(calls) = caller {
                    // Each second's line was heard until now.
                    calls.line_received(Nanos(now.0.max(since.0 + 1) - 1));
                }
                due.push(Reverse((caller.ended(now), at)));
            }
        }
    };
    let mut gone = false;
    // Somebody has to be there when it leaves, though all follow.
    due.push(Reverse((leaves, u32::MAX)));
    while let Some(Reverse((now, at))) = due.pop() {
        if now > until {
            break;
        }
        if !gone && now >= leaves {
            gone = true;
            heard = 0;
            // Whose turn it was is put back, and comes after the end of the others' streams.
            end_all(leaves, &mut callers, &mut follows, &mut due);
            due.push(Reverse((now, at)));
            continue;
        }
        if at == u32::MAX {
            continue;
        }
        service.recent.push_back(now);
        while service.recent.front().is_some_and(|first| now.since(*first) >= SECOND) {
            service.recent.pop_front();
        }
        let rate = service.recent.len();
        let phase = usize::from(now >= leaves);
        peaks[phase] = peaks[phase].max(rate);
        let caller = &mut callers[at as usize];
        if let Caller::Core(calls) = caller {
            calls.connect_started(now);
        }
        if rate as f64 > service.bears * case.falls_at && !service.fallen {
            service.fallen = true;
            falls += 1;
            heard = 0;
            end_all(now, &mut callers, &mut follows, &mut due);
        } else if service.fallen && (rate as f64) < service.bears * case.rises_at {
            service.fallen = false;
        }
        let away = now >= leaves && now < returns;
        let caller = &mut callers[at as usize];
        if service.fallen || away {
            in_vain += u64::from(away);
            due.push(Reverse((caller.ended(now), at)));
            continue;
        }
        if let Caller::Core(calls) = caller {
            calls.line_received(now);
        }
        follows[at as usize] = Some(now);
        heard += 1;
        if heard == count {
            current[phase] = current[phase].or(Some(now));
        }
    }
    Outcome {
        bears,
        peaks: peaks.map(|peak| peak as f64 / bears),
        falls,
        in_vain: in_vain as f64 / f64::from(count),
        current_s: [current[0].map(Nanos::secs), current[1].map(|at| at.since(returns).secs())],
    }
}

/// A table over numbers of dispatchers, the worst of several seeds.
pub(crate) fn table(counts: &[u32], away_s: f64, zones: u32, told_share: f64, seeds: u64) -> String {
    let mut text = String::from(
        "dispatchers | calls a second borne | decided by | worst second at the start, from the outage on (times that) | falls | calls of each while away | all current after the start, after the return (s)\n",
    );
    for count in counts {
        for (how, name) in
            [(How::Told, "core, told"), (How::Untold, "core, untold"), (How::Earlier, "as before")]
        {
            let case = |seed| Case {
                dispatchers: *count,
                zones,
                told_share,
                away: Nanos::from_secs(away_s),
                falls_at: 1.5,
                rises_at: 0.95,
                seed,
            };
            let outcomes: Vec<_> = (1..=seeds).map(|seed| simulate(&case(seed), how)).collect();
            let worst = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).fold(0.0, f64::max);
            let current = |phase: usize| {
                let worst = worst(&|o| o.current_s[phase].unwrap_or(f64::INFINITY));
                if worst.is_finite() { format!("{worst:.1}") } else { "never".into() }
            };
            text += &format!(
                "{count} | {:.0} | {name} | {:.2}, {:.2} | {:.0} | {:.1} | {}, {}\n",
                outcomes[0].bears,
                worst(&|o| o.peaks[0]),
                worst(&|o| o.peaks[1]),
                worst(&|o| f64::from(o.falls)),
                worst(&|o| o.in_vain),
                current(0),
                current(1),
            );
        }
    }
    text += &format!("bytes that one dispatcher keeps for it: {}\n", size_of::<ReconnectSchedule>());
    text
}

#[cfg(test)]
#[path = "tests/many.rs"]
mod tests;
