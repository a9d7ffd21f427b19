//! One kind of fault under one way of changes, played with several seeds.

use super::arrangement::Arrangement;
use super::assumptions::*;
use super::fault::Kind;
use super::measures::{Over, quantile};
use super::world::{Case, World};
use copperroute_routing::interface::Nanos;

/// Versions come so far apart where a run lasts minutes; the told pace where it lasts an hour.
const VERSIONS_APART: Nanos = Nanos(10 * SECOND.0);

/// What is played.
#[derive(Debug, Clone, Copy)]
pub(super) struct Plan {
    pub dispatchers: u32,
    pub arrangement: Arrangement,
    pub kind: Kind,
    /// For how long regions are cut.
    pub cut: Nanos,
    /// How often silence is looked for.
    pub sweep: Nanos,
}

/// What one run brought; dispatcher-seconds are for one fault.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Outcome {
    /// Dispatchers over the bound of purges, for each fault, and the longest for which one was.
    pub affected: f64,
    pub longest_s: f64,
    pub purges: Over,
    pub configuration: Over,
    pub bytes_over_s: f64,
    pub most_bytes: u64,
    /// Bytes a second of one dispatcher.
    pub bytes_per_s: f64,
    /// Until the last reachable dispatcher acted on a purge: p50, p99, worst, in seconds.
    pub purge_s: [f64; 3],
    /// Until a version was in force at a dispatcher.
    pub version_s: [f64; 3],
    pub out_of_touch_s: f64,
    /// Seconds from the first step until a dispatcher first, and last, became out of touch.
    pub knew_s: Option<(f64, f64)>,
    pub falls: u32,
    /// The most calls in a second at a source, times what it bears.
    pub most_calls: f64,
}

impl Plan {
    /// Plays it with one seed.
    pub(super) fn play(&self, seed: u64) -> Outcome {
        let script = self.kind.script(self.dispatchers, &self.arrangement, self.cut, seed);
        let versions_apart = match self.kind.is_long() && self.cut >= CUT {
            true => Nanos::from_secs(3_600.0 / VERSIONS_PER_HOUR),
            false => VERSIONS_APART,
        };
        let case = Case {
            dispatchers: self.dispatchers,
            arrangement: self.arrangement,
            seed,
            sweep: self.sweep,
            versions_apart,
        };
        let (faults, began) = (f64::from(script.faults), script.steps.first().map(|step| step.0));
        let counted_s = script.until.since(super::fault::COUNTED_FROM).secs();
        let mut world = World::new(case, script);
        world.run();
        self.outcome(&mut world, faults, counted_s, began.unwrap_or(Nanos::ZERO))
    }

    fn outcome(&self, world: &mut World, faults: f64, counted_s: f64, began: Nanos) -> Outcome {
        let most_calls = world.sources.iter().map(|source| source.most_calls).max().unwrap_or(0);
        let falls = world.sources.iter().map(|source| source.falls).sum();
        let measures = &mut world.measures;
        let (affected, longest_s) = measures.affected();
        let each = |over: Over| Over {
            way_s: over.way_s / faults,
            log_away_s: over.log_away_s / faults,
            unreachable_s: over.unreachable_s / faults,
        };
        measures.slowest.retain(|took| *took > Nanos::ZERO);
        let three = |of: &mut [Nanos]| [0.5, 0.99, 1.0].map(|part| quantile(of, part).secs());
        Outcome {
            affected: affected as f64 / faults,
            longest_s,
            purges: each(measures.purges),
            configuration: each(measures.configuration),
            bytes_over_s: measures.bytes_over_s as f64 / faults,
            most_bytes: measures.most_bytes,
            bytes_per_s: measures.bytes as f64 / counted_s / f64::from(self.dispatchers),
            purge_s: three(&mut measures.slowest),
            version_s: three(&mut measures.in_force),
            out_of_touch_s: measures.out_of_touch_s / faults,
            knew_s: measures.knew.map(|(first, last)| (first.since(began).secs(), last.since(began).secs())),
            falls,
            most_calls: most_calls as f64 / self.arrangement.bears(self.dispatchers),
        }
    }
}
