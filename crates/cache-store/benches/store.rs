//! Compares the index and the frequency sketch with standard maps: `cargo bench -p copperroute-cache-store --bench
//! store`.

use copperroute_cache_store::index::{Index, RecordPosition};
use copperroute_cache_store::sketch::Sketch;
use copperroute_routing::interface::mix;
use divan::{Bencher, black_box};
use std::collections::{BTreeMap, HashMap};

const SIZES: [u64; 4] = [10_000, 100_000, 1_000_000, 10_000_000];
/// Lookups and updates in one sample.
const OPERATIONS: u64 = 10_000;
const POSITION: RecordPosition = RecordPosition { segment: 1, offset: 2, length: 3, rank: 1 };

fn main() {
    divan::main();
}

/// Each operation looks up one entry and replaces another, in a table of `size` entries.
macro_rules! positions {
    ($name:ident, $new:expr, $put:expr, $get:expr, $remove:expr) => {
        #[divan::bench(args = SIZES, sample_count = 20)]
        fn $name(bencher: Bencher, size: u64) {
            let mut table = $new;
            for at in 0..size {
                $put(&mut table, mix(at));
            }
            let mut next = 0;
            bencher.bench_local(|| {
                for operation in next..next + OPERATIONS {
                    black_box($get(&table, mix(operation * 7 % size)));
                    $remove(&mut table, mix(operation));
                    $put(&mut table, mix(size + operation));
                }
                next += OPERATIONS;
            });
        }
    };
}

positions!(
    positions_index,
    Index::default(),
    |table: &mut Index, fingerprint| {
        table.put(fingerprint, POSITION);
    },
    |table: &Index, fingerprint| table.get(fingerprint),
    |table: &mut Index, fingerprint| {
        table.remove(fingerprint);
    }
);
positions!(
    positions_hash_map,
    HashMap::<u64, RecordPosition>::new(),
    |table: &mut HashMap<u64, RecordPosition>, fingerprint| {
        table.insert(fingerprint, POSITION);
    },
    |table: &HashMap<u64, RecordPosition>, fingerprint| table.get(&fingerprint).copied(),
    |table: &mut HashMap<u64, RecordPosition>, fingerprint| {
        table.remove(&fingerprint);
    }
);
positions!(
    positions_btree_map,
    BTreeMap::<u64, RecordPosition>::new(),
    |table: &mut BTreeMap<u64, RecordPosition>, fingerprint| {
        table.insert(fingerprint, POSITION);
    },
    |table: &BTreeMap<u64, RecordPosition>, fingerprint| table.get(&fingerprint).copied(),
    |table: &mut BTreeMap<u64, RecordPosition>, fingerprint| {
        table.remove(&fingerprint);
    }
);

/// Counts requests for `size` keys in a sketch.
#[divan::bench(args = SIZES, sample_count = 20)]
fn counts_sketch(bencher: Bencher, size: u64) {
    let mut sketch = Sketch::new(size as usize);
    let mut next = 0;
    bencher.bench_local(|| {
        for operation in next..next + OPERATIONS {
            sketch.record(mix(operation % size));
            black_box(sketch.estimate(mix(operation * 7 % size)));
        }
        next += OPERATIONS;
    });
}

/// Counts requests for `size` keys in a map.
#[divan::bench(args = SIZES, sample_count = 20)]
fn counts_hash_map(bencher: Bencher, size: u64) {
    let mut map: HashMap<u64, u32> = (0..size).map(|at| (mix(at), 1)).collect();
    let mut next = 0;
    bencher.bench_local(|| {
        for operation in next..next + OPERATIONS {
            *map.entry(mix(operation % size)).or_default() += 1;
            black_box(map.get(&mix(operation * 7 % size)));
        }
        next += OPERATIONS;
    });
}
