//! Cost of purge decisions by the number of remembered purges, compared with a list that is searched: `cargo bench
//! --bench purges`.

use copperroute_routing::interface::{Nanos, mix};
use copperroute_routing::purges::{Purged, Purges};
use divan::{Bencher, black_box};

/// Numbers of remembered purges: 7 s at six a second, larger backlogs, an hour at six a second, and more.
const REMEMBERED: [u64; 4] = [42, 4_200, 21_600, 100_000];
const SPAN: Nanos = Nanos(7_000_000_000);

fn main() {
    divan::main();
}

/// A list of all purges, searched for each decision.
#[derive(Default)]
struct PurgeList(Vec<(Purged, Nanos)>);

impl PurgeList {
    fn decide(&mut self, now: Nanos, object: u64) -> Option<Nanos> {
        self.0.retain(|purge| now.since(purge.1) <= SPAN);
        let matches = |purge: &&(Purged, Nanos)| purge.0 == Purged::Object(object);
        self.0.iter().filter(matches).map(|purge| purge.1).max()
    }
}

/// The time of purge number `at`, if `count` purges are spread evenly over the span.
fn time_of(at: u64, count: u64) -> Nanos {
    Nanos(1 + at * (SPAN.0 - 1) / count)
}

/// The lookup and the expiry of one decision, while no purge has expired yet.
#[divan::bench(args = REMEMBERED)]
fn decision(bencher: Bencher, count: u64) {
    let mut purges = Purges::default();
    (0..count).for_each(|at| purges.add(Purged::Object(mix(at)), time_of(at, count)));
    let mut object = 0;
    bencher.bench_local(|| {
        object += 1;
        purges.forget(SPAN, SPAN);
        black_box(purges.last(mix(object % count), Some(1)))
    });
}

/// The same with a list.
#[divan::bench(args = REMEMBERED, max_time = 2)]
fn decision_of_a_list(bencher: Bencher, count: u64) {
    let mut purges = PurgeList::default();
    (0..count).for_each(|at| purges.0.push((Purged::Object(mix(at)), time_of(at, count))));
    let mut object = 0;
    bencher.bench_local(|| {
        object += 1;
        black_box(purges.decide(SPAN, mix(object % count)))
    });
}

/// Adding a purge while `count` are remembered, and expiring the oldest.
#[divan::bench(args = REMEMBERED)]
fn purge(bencher: Bencher, count: u64) {
    let mut purges = Purges::default();
    (0..count).for_each(|at| purges.add(Purged::Object(mix(at)), time_of(at, count)));
    let mut at = count;
    bencher.bench_local(|| {
        at += 1;
        let now = time_of(at, count);
        purges.add(Purged::Object(mix(at)), now);
        purges.forget(now, SPAN);
    });
}
