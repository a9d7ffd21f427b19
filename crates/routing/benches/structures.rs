//! The data structures of overload control compared with standard collections: `cargo bench --bench structures`.

use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::generational_map::GenerationalMap;
use copperroute_routing::structures::ring_buffer::RingBuffer;
use copperroute_routing::structures::timer_wheel::TimerWheel;
use divan::{Bencher, black_box};
use std::collections::{BTreeMap, HashMap, VecDeque};

const SIZES: [u64; 4] = [1_000, 10_000, 100_000, 1_000_000];
const SECOND: u64 = 1_000_000_000;
/// Calls per iteration, on a structure that was filled before.
const CALLS: u64 = 10_000;

fn main() {
    divan::main();
}

fn key(at: u64) -> u64 {
    copperroute_routing::interface::mix(at)
}

/// Reservations as time passes, in a wheel of `slots` slots of which three quarters are full.
#[divan::bench(args = SIZES)]
fn slots_timer_wheel(bencher: Bencher, slots: u64) {
    bencher
        .with_inputs(|| {
            let mut wheel = TimerWheel::new(Nanos(slots * 1_000_000), slots as usize);
            for _ in 0..slots * 3 / 4 {
                wheel.reserve(Nanos(SECOND), Nanos(SECOND), 1.0, |_| 1.0);
            }
            wheel
        })
        .bench_local_values(|mut wheel| {
            for call in 0..CALLS {
                let now = Nanos(SECOND + call * 500_000);
                black_box(wheel.reserve(now, now, 1.0, |_| 1.0));
            }
            wheel
        });
}

/// The same with a map from slot to reserved work, searched from the first slot.
#[divan::bench(args = SIZES, max_time = 2)]
fn slots_btree(bencher: Bencher, slots: u64) {
    bencher
        .with_inputs(|| {
            (SECOND / 1_000_000..SECOND / 1_000_000 + slots * 3 / 4).map(|slot| (slot, 1.0)).collect()
        })
        .bench_local_values(|mut map: BTreeMap<u64, f64>| {
            // A hundredth of the calls at the larger sizes, as each call walks all full slots.
            let calls = if slots > 10_000 { CALLS / 100 } else { CALLS };
            for call in 0..calls {
                let first = (SECOND + call * 500_000) / 1_000_000;
                while map.first_key_value().is_some_and(|(slot, _)| *slot < first) {
                    map.pop_first();
                }
                let mut free = first;
                for (slot, work) in map.range(first..) {
                    if *slot > free || *work < 1.0 {
                        break;
                    }
                    free += 1;
                }
                *map.entry(free).or_insert(0.0) += 1.0;
            }
            map
        });
}

/// Alternating lookups and insertions as time passes, in a generational map of `size` entries.
#[divan::bench(args = SIZES)]
fn tries_generational_map(bencher: Bencher, size: u64) {
    bencher
        .with_inputs(|| {
            let mut map = GenerationalMap::new(Nanos(SECOND), 4 * size as usize);
            (0..size).for_each(|at| map.insert(Nanos(SECOND), key(at), at));
            map
        })
        .bench_local_values(|mut map| {
            for call in 0..CALLS {
                let now = Nanos(SECOND + call * SECOND / size);
                black_box(map.get(key(call * 7 % size)));
                map.insert(now, key(size + call), call);
            }
            map
        });
}

/// The same with a map and a queue of expiry times.
#[divan::bench(args = SIZES)]
fn tries_map_and_queue(bencher: Bencher, size: u64) {
    bencher
        .with_inputs(|| {
            let mut map: HashMap<u64, (u64, u64)> = HashMap::new();
            let mut queue = VecDeque::new();
            for at in 0..size {
                map.insert(key(at), (SECOND * 2, at));
                queue.push_back((SECOND * 2, key(at)));
            }
            (map, queue)
        })
        .bench_local_values(|(mut map, mut queue)| {
            for call in 0..CALLS {
                let now = SECOND + call * SECOND / size;
                while queue.front().is_some_and(|(expires, _)| *expires <= now) {
                    let Some((expires, expired)) = queue.pop_front() else { break };
                    if map.get(&expired).is_some_and(|entry| entry.0 == expires) {
                        map.remove(&expired);
                    }
                }
                black_box(map.get(&key(call * 7 % size)));
                map.insert(key(size + call), (now + SECOND, call));
                queue.push_back((now + SECOND, key(size + call)));
            }
            (map, queue)
        });
}

/// The same with a map from which expired entries are removed once a second.
#[divan::bench(args = SIZES)]
fn tries_map_swept(bencher: Bencher, size: u64) {
    bencher
        .with_inputs(|| {
            let map: HashMap<u64, (u64, u64)> = (0..size).map(|at| (key(at), (SECOND * 2, at))).collect();
            map
        })
        .bench_local_values(|mut map| {
            let mut swept_at = SECOND;
            for call in 0..CALLS {
                let now = SECOND + call * SECOND / size;
                if now >= swept_at + SECOND {
                    map.retain(|_, entry| entry.0 > now);
                    swept_at = now;
                }
                black_box(map.get(&key(call * 7 % size)));
                map.insert(key(size + call), (now + SECOND, call));
            }
            map
        });
}

/// Counting `per_second` events a second in a ring buffer of eight buckets over one second, with the sum at every
/// hundredth event.
#[divan::bench(args = SIZES)]
fn rate_ring_buffer(bencher: Bencher, per_second: u64) {
    bencher.with_inputs(|| RingBuffer::<1>::new(Nanos(SECOND), 8)).bench_local_values(|mut ring| {
        for call in 0..CALLS {
            let now = Nanos(SECOND + call * SECOND / per_second);
            ring.add(now, 0, 1.0);
            if call % 100 == 0 {
                black_box(ring.sums(now));
            }
        }
        ring
    });
}

/// The same with a queue of times, filled before.
#[divan::bench(args = SIZES)]
fn rate_queue(bencher: Bencher, per_second: u64) {
    bencher
        .with_inputs(|| (0..per_second).map(|at| at * SECOND / per_second).collect::<VecDeque<u64>>())
        .bench_local_values(|mut queue| {
            for call in 0..CALLS {
                let now = SECOND + call * SECOND / per_second;
                queue.push_back(now);
                while queue.front().is_some_and(|at| *at + SECOND < now) {
                    queue.pop_front();
                }
                if call % 100 == 0 {
                    black_box(queue.len());
                }
            }
            queue
        });
}
