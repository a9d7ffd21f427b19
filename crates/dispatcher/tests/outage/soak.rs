//! Random scenarios. The test runs a few seeds; this command runs more and prints a line for each:
//!
//!     COPPERROUTE_SOAK_SEEDS=100..160 cargo test -p copperroute-dispatcher --test outage soak -- --nocapture

use crate::story::Scenario;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The seeds that the test runs by default.
const SEEDS: std::ops::Range<u64> = 1..13;
/// The number of scenarios that run at the same time.
const CONCURRENT_SCENARIOS: usize = 4;
/// The range of the time before the first fault, in seconds: short by default, long for named seeds.
const SHORT_QUIET_S: [f64; 2] = [5.0, 8.0];
const LONG_QUIET_S: [f64; 2] = [5.0, 40.0];

/// The seeds named in the environment, if any.
fn named_seeds() -> Option<std::ops::Range<u64>> {
    let text = std::env::var("COPPERROUTE_SOAK_SEEDS").ok()?;
    let (from, until) = text.split_once("..").expect("seeds as FROM..UNTIL");
    Some(from.parse().expect("a seed")..until.parse().expect("a seed"))
}

#[test]
fn no_rule_is_broken_in_random_scenarios() {
    let named = named_seeds();
    let quiet = if named.is_some() { LONG_QUIET_S } else { SHORT_QUIET_S };
    let seeds = named.unwrap_or(SEEDS);
    let (next, broken) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_SCENARIOS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let scenario = Scenario::generate(seed, quiet);
                    let record = scenario.run();
                    println!("seed {seed}: {}", record.summary());
                    if let Some(text) = record.broken() {
                        broken.lock().expect("no scenario panics").push(format!("{scenario:?}\n{text}"));
                    }
                }
            });
        }
    });
    let broken = broken.into_inner().expect("no scenario panics");
    assert!(
        broken.is_empty(),
        "{} of {} scenarios broke a rule\n{}",
        broken.len(),
        seeds.count(),
        broken.join("\n\n")
    );
}
