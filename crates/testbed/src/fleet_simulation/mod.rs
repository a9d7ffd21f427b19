//! A seeded simulation of the fleet's way of changes under faults, at sizes that no machine holds: the program's own
//! cores that follow the change log and agree on versions, on one clock. See docs/CAPACITY.md.

mod arrangement;
mod assumptions;
mod fault;
mod follower;
mod measures;
mod members;
mod network;
mod record;
mod report;
mod source;
mod sources;
mod steps;
mod topology;
mod trial;
mod world;

use arrangement::Arrangement;
use assumptions::{CUT, SWEEP};
use copperroute_routing::interface::Nanos;
use fault::Kind;
use report::Row;
use trial::Plan;

/// What is asked for on the command line.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    pub dispatchers: Vec<u32>,
    pub seeds: u64,
    /// Those that last an hour with so many.
    pub long_seeds: u64,
    /// The ways of changes by their letters; all if empty.
    pub ways: String,
    /// Only the ordinary month, ways side by side.
    pub month: bool,
    /// For how many seconds regions are cut.
    pub cut_s: f64,
}

/// The tables.
pub(crate) fn table(options: &Options) -> String {
    let mut text = String::new();
    for dispatchers in &options.dispatchers {
        let ways: Vec<(Arrangement, Vec<Row>)> = Arrangement::ALL
            .into_iter()
            .filter(|way| options.ways.is_empty() || options.ways.split(',').any(|of| way.letter() == of))
            .map(|way| (way, rows(*dispatchers, way, options)))
            .collect();
        if !options.month {
            ways.iter().for_each(|(way, rows)| text += &report::faults(*dispatchers, way, rows));
        }
        text += &report::month(*dispatchers, options.cut_s, &ways);
    }
    text
}

fn rows(dispatchers: u32, arrangement: Arrangement, options: &Options) -> Vec<Row> {
    let cut = Nanos::from_secs(options.cut_s).min(CUT);
    let row = |kind: Kind| {
        let per_month = kind.per_month(dispatchers, &arrangement);
        let plan = Plan { dispatchers, arrangement, kind, cut, sweep: SWEEP };
        // What never comes is not played.
        let seeds = match kind.is_long() {
            true => options.long_seeds,
            false => options.seeds,
        };
        let seeds = if per_month > 0.0 || kind == Kind::None { seeds } else { 0 };
        let outcomes = (1..=seeds).map(|seed| plan.play(seed)).collect();
        eprintln!("{dispatchers}, {}: {}", arrangement.name, kind.name());
        Row { kind, per_month, outcomes }
    };
    Kind::ALL.into_iter().map(row).collect()
}

#[cfg(test)]
#[path = "../tests/fleet_simulation.rs"]
mod tests;
