//! The store's structures beside plain ones: `cargo bench -p copperroute-store`.

use copperroute_cache_store::index::{Index, Place};
use copperroute_cache_store::sketch::Sketch;
use copperroute_routing::interface::mix;
use divan::{Bencher, black_box};
use std::collections::{BTreeMap, HashMap};

const SIZES: [u64; 4] = [10_000, 100_000, 1_000_000, 10_000_000];
const CALLS: u64 = 10_000;
const PLACE: Place = Place { segment: 1, offset: 2, length: 3, rank: 1 };

fn main() {
    divan::main();
}

/// Half look-ups, half entries that take the place of others, in a table of so many.
macro_rules! places {
    ($name:ident, $new:expr, $put:expr, $get:expr, $remove:expr) => {
        #[divan::bench(args = SIZES, sample_count = 20)]
        fn $name(bencher: Bencher, size: u64) {
            let mut table = $new;
            for at in 0..size {
                $put(&mut table, mix(at));
            }
            let mut next = 0;
            bencher.bench_local(|| {
                for call in next..next + CALLS {
                    black_box($get(&table, mix(call * 7 % size)));
                    $remove(&mut table, mix(call));
                    $put(&mut table, mix(size + call));
                }
                next += CALLS;
            });
        }
    };
}

places!(
    places_index,
    Index::default(),
    |table: &mut Index, print| {
        table.put(print, PLACE);
    },
    |table: &Index, print| table.get(print),
    |table: &mut Index, print| {
        table.remove(print);
    }
);
places!(
    places_hash_map,
    HashMap::<u64, Place>::new(),
    |table: &mut HashMap<u64, Place>, print| {
        table.insert(print, PLACE);
    },
    |table: &HashMap<u64, Place>, print| table.get(&print).copied(),
    |table: &mut HashMap<u64, Place>, print| {
        table.remove(&print);
    }
);
places!(
    places_btree_map,
    BTreeMap::<u64, Place>::new(),
    |table: &mut BTreeMap<u64, Place>, print| {
        table.insert(print, PLACE);
    },
    |table: &BTreeMap<u64, Place>, print| table.get(&print).copied(),
    |table: &mut BTreeMap<u64, Place>, print| {
        table.remove(&print);
    }
);

/// Counts of so many keys in a sketch.
#[divan::bench(args = SIZES, sample_count = 20)]
fn counts_sketch(bencher: Bencher, size: u64) {
    let mut sketch = Sketch::new(size as usize);
    let mut next = 0;
    bencher.bench_local(|| {
        for call in next..next + CALLS {
            sketch.count(mix(call % size));
            black_box(sketch.seen(mix(call * 7 % size)));
        }
        next += CALLS;
    });
}

/// The same in a map.
#[divan::bench(args = SIZES, sample_count = 20)]
fn counts_hash_map(bencher: Bencher, size: u64) {
    let mut map: HashMap<u64, u32> = (0..size).map(|at| (mix(at), 1)).collect();
    let mut next = 0;
    bencher.bench_local(|| {
        for call in next..next + CALLS {
            *map.entry(mix(call % size)).or_default() += 1;
            black_box(map.get(&mix(call * 7 % size)));
        }
        next += CALLS;
    });
}
