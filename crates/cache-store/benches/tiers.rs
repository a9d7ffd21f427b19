//! What tiers and rules of admission are worth, and what the disk costs: `cargo bench -p copperroute-store --bench tiers`.
//! Prints tables; times are of this machine, to be read beside each other.

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

const OBJECTS: f64 = 20_000.0;
const DOWNLOADS: u32 = 400_000;
const PER_SECOND: f64 = 170.0;

fn key(number: u64) -> Key {
    let mut object = [b'0'; 16];
    object.copy_from_slice(format!("{number:016x}").as_bytes());
    Key { content_type: 0, object, part: 0 }
}

fn facts() -> Facts {
    Facts { etag: [b'e'; 16], made_ms: 1, group: None }
}

/// From 200 bytes to 240,000, most of them small.
fn length(number: u64) -> usize {
    let share = (mix(number) >> 11) as f64 / (1_u64 << 53) as f64;
    (200.0 * 1200_f64.powf(share * share)) as usize
}

/// A day of downloads: objects asked for by rank, one in eight of them new and never asked for again.
fn day() -> Vec<u64> {
    let mut chance = Random::new(7);
    let once = |at: u32| 1 << 40 | u64::from(at);
    let asked =
        |at| if chance.next_f64() < 0.125 { once(at) } else { OBJECTS.powf(chance.next_f64()) as u64 };
    (0..DOWNLOADS).map(asked).collect()
}

/// Hits and bytes hit of all, with the rank that a rule keeps a copy at.
fn play(day: &[u64], bytes: usize, mut rule: impl FnMut(u64, usize, f64) -> Option<u8>) -> [f64; 2] {
    let mut memory = Memory::new(bytes);
    let (mut hits, mut hit_bytes, mut all) = (0.0, 0.0, 0.0);
    for (at, number) in day.iter().enumerate() {
        let length = length(*number);
        let rank = rule(*number, length, at as f64 / PER_SECOND);
        all += length as f64;
        if memory.get(&key(*number), rank.unwrap_or(1)).is_some() {
            hits += 1.0;
            hit_bytes += length as f64;
        } else if let Some(rank) = rank {
            memory.put(key(*number), facts(), rank, Arc::from(vec![0; length]));
        }
    }
    [hits / day.len() as f64, hit_bytes / all]
}

fn admission() {
    println!("admission, memory tier: hits, bytes hit, of {DOWNLOADS} downloads");
    let day = day();
    for mb in [1, 4, 16, 64] {
        let bytes = mb * 1_000_000;
        let all = play(&day, bytes, |_, _, _| Some(1));
        let mut sketch = Sketch::new(40_000);
        let filtered = play(&day, bytes, |number, _, _| {
            sketch.count(mix(number));
            (sketch.seen(mix(number)) > 1).then_some(1)
        });
        let mut gaps: HashMap<u64, (f64, Option<f64>)> = HashMap::new();
        let mc3 = play(&day, bytes, |number, bytes, now| {
            let seen = gaps.entry(number).or_insert((now, None));
            let gap =
                (now > seen.0).then(|| seen.1.map_or(now - seen.0, |old| 0.5 * old + 0.5 * (now - seen.0)));
            *seen = (now, gap.or(seen.1));
            let rate = seen.1.map(|gap| 1.0 / gap.max(1e-3));
            Tier::Memory.keeps(&Seen { rate, hops: 1.0, bytes, keepable: true })
        });
        println!(
            "  {mb:3} MB: MC3 {mc3:.3?}, keep all (the least recent goes) {all:.3?}, sketch filter {filtered:.3?}"
        );
    }
}

fn fill(folder: &Path, limits: Limits, copies: u64) -> (Disk, f64) {
    let (mut disk, _) = Disk::open(folder, limits).expect("a store");
    let begun = Instant::now();
    for number in 0..copies {
        disk.put(key(number), facts(), 1, &vec![7; 2_000]).expect("kept");
    }
    (disk, copies as f64 / begun.elapsed().as_secs_f64())
}

fn disks() {
    println!("disk: copies of 2,000 bytes a second by sync; start by size, without a snapshot and with one");
    for (sync, copies) in [(Sync::Never, 20_000), (Sync::Segments, 20_000), (Sync::Always, 1_000)] {
        let folder = tempfile::tempdir().expect("a folder");
        let limits = Limits { most_bytes: 1 << 34, segment_bytes: 16_000_000, sync };
        println!("  {sync:?}: {:.0} copies a second", fill(folder.path(), limits, copies).1);
    }
    let limits = Limits { most_bytes: 1 << 34, segment_bytes: 16_000_000, sync: Sync::Never };
    for copies in [1_000, 10_000, 100_000, 400_000] {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut disk, _) = fill(folder.path(), limits, copies);
        disk.snapshot().expect("a snapshot");
        drop(disk);
        let start = || {
            let begun = Instant::now();
            let (disk, found) = Disk::open(folder.path(), limits).expect("a store");
            (begun.elapsed().as_secs_f64() * 1e3, found.copies, disk.sizes().2)
        };
        let with = start();
        std::fs::remove_file(folder.path().join("snapshot")).expect("removed");
        let without = start();
        assert_eq!(with.1, without.1);
        let (mb, each) = (copies as f64 * 2_064.0 / 1e6, with.2 as f64 / copies as f64);
        println!(
            "  {mb:.0} MB, {copies} copies: scan {:.1} ms, snapshot {:.1} ms; index {each:.0} bytes a copy",
            without.0, with.0
        );
    }
}

fn main() {
    // Run by `cargo test --benches` too, which measures nothing.
    if std::env::args().any(|word| word == "--bench") {
        admission();
        disks();
    }
}
