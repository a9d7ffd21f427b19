//! Drawn plays. A few seeds here; more by hand, with a line for each:
//!
//!     COPPERROUTE_SOAK_SEEDS=100..160 cargo test -p copperroute-dispatcher --test outage soak -- --nocapture

use crate::story::Story;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The seeds that are always played.
const SEEDS: std::ops::Range<u64> = 1..13;
/// Plays at once.
const AT_ONCE: usize = 4;
/// Seconds of quiet before the first fault: short here, up to the longest by hand.
const SHORT_QUIET_S: [f64; 2] = [5.0, 8.0];
const LONG_QUIET_S: [f64; 2] = [5.0, 40.0];

/// The seeds of the environment, if it names some.
fn named_seeds() -> Option<std::ops::Range<u64>> {
    let text = std::env::var("COPPERROUTE_SOAK_SEEDS").ok()?;
    let (from, until) = text.split_once("..").expect("seeds as FROM..UNTIL");
    Some(from.parse().expect("a seed")..until.parse().expect("a seed"))
}

#[test]
fn no_rule_is_broken_in_drawn_plays() {
    let named = named_seeds();
    let quiet = if named.is_some() { LONG_QUIET_S } else { SHORT_QUIET_S };
    let seeds = named.unwrap_or(SEEDS);
    let (next, broken) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let story = Story::drawn(seed, quiet);
                    let record = story.play();
                    println!("seed {seed}: {}", record.summary());
                    if let Some(text) = record.broken() {
                        broken.lock().expect("no play panics").push(format!("{story:?}\n{text}"));
                    }
                }
            });
        }
    });
    let broken = broken.into_inner().expect("no play panics");
    assert!(broken.is_empty(), "{} of {} plays broken\n{}", broken.len(), seeds.count(), broken.join("\n\n"));
}
