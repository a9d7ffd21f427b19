//! Purges by how many are held, beside a list that is searched: `cargo bench --bench purges`.

use copperroute_routing::interface::{Nanos, mix};
use copperroute_routing::purges::{Purged, Purges};
use divan::{Bencher, black_box};

/// Six a second over 7 s; an hour's backlog; more.
const HELD: [u64; 4] = [42, 4_200, 21_600, 100_000];
const SPAN: Nanos = Nanos(7_000_000_000);

fn main() {
    divan::main();
}

/// A list of all, gone through for each decision.
#[derive(Default)]
struct PurgeList(Vec<(Purged, Nanos)>);

impl PurgeList {
    fn decide(&mut self, now: Nanos, object: u64) -> Option<Nanos> {
        self.0.retain(|purge| now.since(purge.1) <= SPAN);
        let meant = |purge: &&(Purged, Nanos)| purge.0 == Purged::Object(object);
        self.0.iter().filter(meant).map(|purge| purge.1).max()
    }
}

/// The time of one of so many purges within the span.
fn time_of(at: u64, held: u64) -> Nanos {
    Nanos(1 + at * (SPAN.0 - 1) / held)
}

/// What a decision asks for, and forgets, where nothing is old yet.
#[divan::bench(args = HELD)]
fn decision(bencher: Bencher, held: u64) {
    let mut purges = Purges::default();
    (0..held).for_each(|at| purges.add(Purged::Object(mix(at)), time_of(at, held)));
    let mut object = 0;
    bencher.bench_local(|| {
        object += 1;
        purges.forget(SPAN, SPAN);
        black_box(purges.last(mix(object % held), Some(1)))
    });
}

/// The same of a list.
#[divan::bench(args = HELD, max_time = 2)]
fn decision_of_a_list(bencher: Bencher, held: u64) {
    let mut purges = PurgeList::default();
    (0..held).for_each(|at| purges.0.push((Purged::Object(mix(at)), time_of(at, held))));
    let mut object = 0;
    bencher.bench_local(|| {
        object += 1;
        black_box(purges.decide(SPAN, mix(object % held)))
    });
}

/// Another purge while so many are held, with the oldest forgotten.
#[divan::bench(args = HELD)]
fn purge(bencher: Bencher, held: u64) {
    let mut purges = Purges::default();
    (0..held).for_each(|at| purges.add(Purged::Object(mix(at)), time_of(at, held)));
    let mut at = held;
    bencher.bench_local(|| {
        at += 1;
        let now = time_of(at, held);
        purges.add(Purged::Object(mix(at)), now);
        purges.forget(now, SPAN);
    });
}
