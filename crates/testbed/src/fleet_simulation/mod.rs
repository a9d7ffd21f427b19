//! A seeded simulation of how changes reach the fleet under faults, at sizes that do not fit on one machine. It runs
//! the program's own code for following the change log and agreeing on versions, on one simulated clock. Input:
//! `Options` from the command line; output: the text of the tables. See docs/CAPACITY.md.

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
use assumptions::{CUT_DURATION, SWEEP_INTERVAL};
use copperroute_routing::interface::Nanos;
use fault::FaultKind;
use report::Row;
use trial::Trial;

/// Command-line options of the simulation.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    pub dispatchers: Vec<u32>,
    pub seeds: u64,
    /// Number of seeds for the fault kinds that last an hour (`FaultKind::is_long`).
    pub long_seeds: u64,
    /// Comma-separated letters of the arrangements to simulate (`Arrangement::letter`); all of them if empty.
    pub ways: String,
    /// Prints only the table that compares the arrangements over an ordinary month.
    pub month: bool,
    /// Seconds for which regions are cut off from each other, at most `CUT_DURATION`.
    pub cut_s: f64,
}

/// Runs the simulation and returns its tables.
pub(crate) fn table(options: &Options) -> String {
    let mut text = String::new();
    for dispatchers in &options.dispatchers {
        let arrangements: Vec<(Arrangement, Vec<Row>)> = Arrangement::ALL
            .into_iter()
            .filter(|arrangement| {
                options.ways.is_empty()
                    || options.ways.split(',').any(|letter| arrangement.letter() == letter)
            })
            .map(|arrangement| (arrangement, simulate(*dispatchers, arrangement, options)))
            .collect();
        if !options.month {
            arrangements.iter().for_each(|(arrangement, rows)| {
                text += &report::fault_table(*dispatchers, arrangement, rows)
            });
        }
        text += &report::month_table(*dispatchers, options.cut_s, &arrangements);
    }
    text
}

fn simulate(dispatchers: u32, arrangement: Arrangement, options: &Options) -> Vec<Row> {
    let cut = Nanos::from_secs(options.cut_s).min(CUT_DURATION);
    let row = |kind: FaultKind| {
        let per_month = kind.per_month(dispatchers, &arrangement);
        let trial = Trial { dispatchers, arrangement, kind, cut, sweep: SWEEP_INTERVAL };
        // A fault kind that never occurs under this arrangement is not simulated.
        let seeds = match kind.is_long() {
            true => options.long_seeds,
            false => options.seeds,
        };
        let seeds = if per_month > 0.0 || kind == FaultKind::None { seeds } else { 0 };
        let outcomes = (1..=seeds).map(|seed| trial.run(seed)).collect();
        eprintln!("{dispatchers}, {}: {}", arrangement.name, kind.name());
        Row { kind, per_month, outcomes }
    };
    FaultKind::ALL.into_iter().map(row).collect()
}

#[cfg(test)]
#[path = "../tests/fleet_simulation.rs"]
mod tests;
