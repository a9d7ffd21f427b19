//! Compares admission rules by hit ratio, and sync policies and start-up by time:
//! `cargo bench -p copperroute-cache-store --bench tiers`. Prints tables; times depend on the machine and are only
//! comparable with each other.

use copperroute_cache_store::admission::{Seen, Tier};
use copperroute_cache_store::disk::{Disk, Limits, Sync};
use copperroute_cache_store::memory::Memory;
use copperroute_cache_store::record::{Facts, Key};
use copperroute_cache_store::sketch::Sketch;
use copperroute_routing::interface::mix;
use copperroute_routing::structures::random::Random;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

/// Objects that are requested again and again.
const OBJECTS: f64 = 20_000.0;
const REQUESTS: u32 = 400_000;
/// Request rate of the simulated day.
const REQUESTS_PER_S: f64 = 170.0;

fn key(number: u64) -> Key {
    let mut object = [b'0'; 16];
    object.copy_from_slice(format!("{number:016x}").as_bytes());
    Key { content_type: 0, object, part: 0 }
}

fn facts() -> Facts {
    Facts { etag: [b'e'; 16], made_ms: 1, group: None }
}

/// Size of an object's part: 200 to 240,000 bytes, most of them small.
fn length(number: u64) -> usize {
    let share = (mix(number) >> 11) as f64 / (1_u64 << 53) as f64;
    (200.0 * 1200_f64.powf(share * share)) as usize
}

/// Object numbers of a day's requests. Popularity falls with the number; one request in eight is for a new object that
/// is never requested again.
fn simulate_day() -> Vec<u64> {
    let mut random = Random::new(7);
    let once = |at: u32| 1 << 40 | u64::from(at);
    let request =
        |at| if random.next_f64() < 0.125 { once(at) } else { OBJECTS.powf(random.next_f64()) as u64 };
    (0..REQUESTS).map(request).collect()
}

/// Hit ratio and byte hit ratio of a memory tier that admits copies by a rule, which returns the rank of a copy.
fn hit_ratios(day: &[u64], bytes: usize, mut rule: impl FnMut(u64, usize, f64) -> Option<u8>) -> [f64; 2] {
    let mut memory = Memory::new(bytes);
    let (mut hits, mut hit_bytes, mut all_bytes) = (0.0, 0.0, 0.0);
    for (at, number) in day.iter().enumerate() {
        let length = length(*number);
        let rank = rule(*number, length, at as f64 / REQUESTS_PER_S);
        all_bytes += length as f64;
        if memory.get(&key(*number), rank.unwrap_or(1)).is_some() {
            hits += 1.0;
            hit_bytes += length as f64;
        } else if let Some(rank) = rank {
            memory.put(key(*number), facts(), rank, Arc::from(vec![0; length]));
        }
    }
    [hits / day.len() as f64, hit_bytes / all_bytes]
}

fn admission() {
    println!("admission, memory tier: hits, bytes hit, of {REQUESTS} requests");
    let day = simulate_day();
    for mb in [1, 4, 16, 64] {
        let bytes = mb * 1_000_000;
        let all = hit_ratios(&day, bytes, |_, _, _| Some(1));
        let mut sketch = Sketch::new(40_000);
        let filtered = hit_ratios(&day, bytes, |number, _, _| {
            sketch.record(mix(number));
            (sketch.estimate(mix(number)) > 1).then_some(1)
        });
        let mut gaps: HashMap<u64, (f64, Option<f64>)> = HashMap::new();
        let mc3 = hit_ratios(&day, bytes, |number, bytes, now| {
            let seen = gaps.entry(number).or_insert((now, None));
            let gap =
                (now > seen.0).then(|| seen.1.map_or(now - seen.0, |old| 0.5 * old + 0.5 * (now - seen.0)));
            *seen = (now, gap.or(seen.1));
            let rate = seen.1.map(|gap| 1.0 / gap.max(1e-3));
            Tier::Memory.keeps(&Seen { rate, hops: 1.0, bytes, keepable: true })
        });
        println!(
            "  {mb:3} MB: MC3 {mc3:.3?}, keep all (least recently used evicted) {all:.3?}, sketch filter {filtered:.3?}"
        );
    }
}

fn fill(folder: &Path, limits: Limits, copies: u64) -> (Disk, f64) {
    let (mut disk, _) = Disk::open(folder, limits).expect("open the store");
    let started = Instant::now();
    for number in 0..copies {
        disk.put(key(number), facts(), 1, &vec![7; 2_000]).expect("write a copy");
    }
    (disk, copies as f64 / started.elapsed().as_secs_f64())
}

fn disk_costs() {
    println!(
        "disk: copies of 2,000 bytes per second by sync policy; start-up time by size, scan and snapshot"
    );
    for (sync, copies) in [(Sync::Never, 20_000), (Sync::Segments, 20_000), (Sync::Always, 1_000)] {
        let folder = tempfile::tempdir().expect("temporary folder");
        let limits = Limits { most_bytes: 1 << 34, segment_bytes: 16_000_000, sync };
        println!("  {sync:?}: {:.0} copies per second", fill(folder.path(), limits, copies).1);
    }
    let limits = Limits { most_bytes: 1 << 34, segment_bytes: 16_000_000, sync: Sync::Never };
    for copies in [1_000, 10_000, 100_000, 400_000] {
        let folder = tempfile::tempdir().expect("temporary folder");
        let (mut disk, _) = fill(folder.path(), limits, copies);
        disk.snapshot().expect("write a snapshot");
        drop(disk);
        let start = || {
            let started = Instant::now();
            let (disk, found) = Disk::open(folder.path(), limits).expect("open the store");
            (started.elapsed().as_secs_f64() * 1e3, found.copies, disk.sizes().2)
        };
        let with = start();
        std::fs::remove_file(folder.path().join("snapshot")).expect("remove the snapshot");
        let without = start();
        assert_eq!(with.1, without.1);
        let (mb, each) = (copies as f64 * 2_064.0 / 1e6, with.2 as f64 / copies as f64);
        println!(
            "  {mb:.0} MB, {copies} copies: scan {:.1} ms, snapshot {:.1} ms; index {each:.0} bytes per copy",
            without.0, with.0
        );
    }
}

fn main() {
    // `cargo test --benches` runs this program too and must not measure anything.
    if std::env::args().any(|word| word == "--bench") {
        admission();
        disk_costs();
    }
}
