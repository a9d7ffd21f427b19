//! Runs one fault kind under one arrangement with a given seed, and reduces the measures of the run to an `Outcome`.

use super::arrangement::Arrangement;
use super::assumptions::*;
use super::fault::FaultKind;
use super::measures::{TimeOverBound, quantile};
use super::world::{Case, World};
use copperroute_routing::interface::Nanos;

/// Interval between versions in runs that last minutes; runs of an hour use `VERSIONS_PER_HOUR`.
const SHORT_RUN_VERSION_INTERVAL: Nanos = Nanos(10 * SECOND.0);

/// The parameters of a trial, apart from its seed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    pub dispatchers: u32,
    pub arrangement: Arrangement,
    pub kind: FaultKind,
    /// How long regions are cut off from each other.
    pub cut: Nanos,
    /// Interval at which streams are checked for silence.
    pub sweep: Nanos,
}

/// The results of one run; dispatcher-seconds are per fault.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Outcome {
    /// Dispatchers over the purge bound, per fault, and the longest uninterrupted span over it, in seconds.
    pub affected: f64,
    pub longest_s: f64,
    pub purges: TimeOverBound,
    pub configuration: TimeOverBound,
    pub bytes_over_s: f64,
    pub most_bytes: u64,
    /// Mean bytes per second received by one dispatcher.
    pub bytes_per_s: f64,
    /// Time until the last reachable dispatcher acted on a purge: p50, p99, worst, in seconds.
    pub purge_s: [f64; 3],
    /// Time until a version was in force at a dispatcher: p50, p99, worst, in seconds.
    pub version_s: [f64; 3],
    pub out_of_touch_s: f64,
    /// Seconds from the first step until the first and the last time that a dispatcher became out of touch.
    pub out_of_touch_at_s: Option<(f64, f64)>,
    pub overloads: u32,
    /// The most connections in one second at a source, as a multiple of its capacity.
    pub max_connect_load: f64,
}

impl Trial {
    /// Runs the trial with one seed.
    pub(super) fn run(&self, seed: u64) -> Outcome {
        let script = self.kind.script(self.dispatchers, &self.arrangement, self.cut, seed);
        let version_interval = match self.kind.is_long() && self.cut >= CUT_DURATION {
            true => Nanos::from_secs(3_600.0 / VERSIONS_PER_HOUR),
            false => SHORT_RUN_VERSION_INTERVAL,
        };
        let case = Case {
            dispatchers: self.dispatchers,
            arrangement: self.arrangement,
            seed,
            sweep: self.sweep,
            version_interval,
        };
        let (faults, first_step) = (f64::from(script.faults), script.steps.first().map(|step| step.0));
        let counted_s = script.ends_at.since(super::fault::COUNTED_FROM).secs();
        let mut world = World::new(case, script);
        world.run();
        self.outcome(&mut world, faults, counted_s, first_step.unwrap_or(Nanos::ZERO))
    }

    fn outcome(&self, world: &mut World, faults: f64, counted_s: f64, first_step: Nanos) -> Outcome {
        let max_connects_per_s =
            world.sources.iter().map(|source| source.max_connects_per_s).max().unwrap_or(0);
        let overloads = world.sources.iter().map(|source| source.overloads).sum();
        let measures = &mut world.measures;
        let (affected, longest_s) = measures.affected();
        let per_fault = |over: TimeOverBound| TimeOverBound {
            distribution_s: over.distribution_s / faults,
            log_down_s: over.log_down_s / faults,
            unreachable_s: over.unreachable_s / faults,
        };
        measures.slowest.retain(|taken| *taken > Nanos::ZERO);
        let quantiles_s =
            |times: &mut [Nanos]| [0.5, 0.99, 1.0].map(|fraction| quantile(times, fraction).secs());
        Outcome {
            affected: affected as f64 / faults,
            longest_s,
            purges: per_fault(measures.purges),
            configuration: per_fault(measures.configuration),
            bytes_over_s: measures.bytes_over_s as f64 / faults,
            most_bytes: measures.most_bytes,
            bytes_per_s: measures.bytes as f64 / counted_s / f64::from(self.dispatchers),
            purge_s: quantiles_s(&mut measures.slowest),
            version_s: quantiles_s(&mut measures.in_force),
            out_of_touch_s: measures.out_of_touch_s / faults,
            out_of_touch_at_s: measures
                .out_of_touch_span
                .map(|(first, last)| (first.since(first_step).secs(), last.since(first_step).secs())),
            overloads,
            max_connect_load: max_connects_per_s as f64
                / self.arrangement.connect_capacity_per_s(self.dispatchers),
        }
    }
}
