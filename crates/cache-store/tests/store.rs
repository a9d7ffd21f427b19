//! The store against the simplest model, with every cut and flip, and through kills.

use copperroute_cache_store::disk::{Disk, Found, Limits, Sync};
use copperroute_cache_store::index::{Index, Place};
use copperroute_cache_store::memory::Memory;
use copperroute_cache_store::purges::Purges;
use copperroute_cache_store::record::{Facts, Head, Key};
use copperroute_cache_store::snapshot::Snapshot;
use copperroute_cache_store::worker::{Answers, Worker};
use proptest::prelude::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

const LIMITS: Limits = Limits { most_bytes: 400_000, segment_bytes: 40_000, sync: Sync::Never };

fn object(number: u32) -> [u8; 16] {
    let mut object = [b'0'; 16];
    object[8..].copy_from_slice(format!("{number:08x}").as_bytes());
    object
}

fn key(number: u32) -> Key {
    Key { content_type: 0, object: object(number), part: number % 3 }
}

fn facts(number: u32, made_ms: u64) -> Facts {
    Facts { etag: [b'e'; 16], made_ms, group: Some((number % 5) as u8) }
}

/// The bytes that the source has for a key at a time: of any length, thousands of small ones beside large.
fn source(number: u32, made_ms: u64) -> Vec<u8> {
    let length = if number.is_multiple_of(17) { 9_000 } else { 20 + (number * 7 % 300) as usize };
    let seed = format!("{number} {made_ms} ").into_bytes();
    seed.into_iter().cycle().take(length).collect()
}

/// Opens a store. For a moment the lock may still be with a child that another test has just forked.
fn open(folder: &Path, limits: Limits) -> (Disk, Found) {
    for _ in 0..400 {
        match Disk::open(folder, limits) {
            Err(fault) if fault.kind() == std::io::ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_millis(5))
            }
            opened => return opened.expect("a store"),
        }
    }
    panic!("the lock is not let go of");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn an_index_is_a_map(steps in prop::collection::vec((0_u64..400, 0_u32..1000, any::<bool>()), 1..800)) {
        let (mut index, mut plain) = (Index::default(), HashMap::new());
        for (print, offset, put) in steps {
            // Many share their place in the table.
            let print = print * 64 + 1;
            let place = Place { segment: 1, offset, length: offset, rank: 3 };
            if put {
                prop_assert_eq!(index.put(print, place), plain.insert(print, place));
            } else {
                prop_assert_eq!(index.remove(print), plain.remove(&print));
            }
            prop_assert_eq!(index.len(), plain.len());
        }
        prop_assert!(plain.iter().all(|(print, place)| index.get(*print) == Some(*place)));
        prop_assert_eq!(index.iter().count(), plain.len());
    }

    #[test]
    fn a_store_serves_what_was_put_last_and_was_not_purged(
        steps in prop::collection::vec((0_u32..60, 0_u8..20), 1..400),
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut disk, _) = open(folder.path(), LIMITS);
        let mut plain: HashMap<u32, u64> = HashMap::new();
        for (now, (number, what)) in (1..).zip(steps) {
            match what {
                0 => {
                    disk.purge_object(object(number), now, now).expect("a mark");
                    plain.remove(&number);
                }
                1 => {
                    disk.purge_group((number % 5) as u8, now, now).expect("a mark");
                    plain.retain(|other, _| other % 5 != number % 5);
                }
                2 => {
                    disk.drop_copy(&key(number)).expect("dropped");
                    plain.remove(&number);
                }
                3 => {
                    drop(disk);
                    let (again, found) = open(folder.path(), LIMITS);
                    prop_assert!(found.torn == 0 && !found.began_anew);
                    disk = again;
                }
                4 => disk.snapshot().expect("a snapshot"),
                _ => {
                    prop_assert!(disk.put(key(number), facts(number, now), 1, &source(number, now)).expect("kept"));
                    plain.insert(number, now);
                }
            }
            if what % 4 == 0 {
                for other in 0..60 {
                    // What had to make room is a miss; nothing else may differ.
                    if let Some((told, body)) = disk.get(&key(other)) {
                        prop_assert_eq!(Some(&told.made_ms), plain.get(&other));
                        prop_assert_eq!(body, source(other, told.made_ms));
                    }
                }
            }
            prop_assert!(disk.sizes().1 <= LIMITS.most_bytes + u64::from(LIMITS.segment_bytes));
        }
    }

    #[test]
    fn no_bytes_make_a_reader_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Head::decode(&bytes);
        prop_assert!(Snapshot::decode(&bytes).is_none());
    }

    #[test]
    fn a_flipped_bit_is_found(at in 0_usize..64, bit in 0_u32..8) {
        let mut bytes = Head::copy(key(7), facts(7, 9), b"body").encode();
        bytes[at] ^= 1_u8 << bit;
        prop_assert!(Head::decode(&bytes).is_err());
    }

    #[test]
    fn memory_stays_within_its_bound(steps in prop::collection::vec((0_u32..80, 0_u8..4, 0_usize..4000), 1..300)) {
        let mut memory = Memory::new(20_000);
        for (number, rank, length) in steps {
            let body: Arc<[u8]> = vec![number as u8; length].into();
            let kept = memory.put(key(number), facts(number, 1), rank, body);
            prop_assert!(memory.bytes() <= 20_000);
            prop_assert_eq!(memory.get(&key(number), rank).is_some(), kept);
        }
        memory.remove_all(|_, facts| facts.group == Some(2));
        prop_assert!((0..80).all(|number| number % 5 != 2 || memory.get(&key(number), 0).is_none()));
        memory.limit(1_000);
        prop_assert!(memory.bytes() <= 1_000);
    }
}

/// A small store with twenty copies, of which one object is purged in the middle.
fn small(folder: &Path) {
    let (mut disk, _) = open(folder, LIMITS);
    for number in 1..=20 {
        disk.put(key(number), facts(number, u64::from(number)), 1, &source(number, u64::from(number)))
            .expect("kept");
        if number == 10 {
            disk.purge_object(object(3), 10, 4).expect("a mark");
        }
    }
}

/// All that a damaged store serves is what its source had, and not purged.
fn check(folder: &Path, what: &str) -> usize {
    let (mut disk, _) = open(folder, LIMITS);
    let served = (1..=20).filter(|number| {
        let Some((told, body)) = disk.get(&key(*number)) else { return false };
        assert_eq!(body, source(*number, told.made_ms), "{what}: {number}");
        // Its mark may be lost where the log ends before it: then its number is not reached, and the change log
        // tells it again before anything is served.
        assert!(*number != 3 || disk.seq() < 4, "{what}: purged");
        true
    });
    served.count()
}

fn log_of(folder: &Path) -> std::path::PathBuf {
    folder.join("00000000.log")
}

#[test]
fn cut_at_any_byte_it_serves_what_is_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    small(folder.path());
    let whole = std::fs::read(log_of(folder.path())).expect("a log");
    let mut before = 0;
    for length in (0..whole.len()).step_by(13).chain([whole.len()]) {
        std::fs::write(log_of(folder.path()), &whole[..length]).expect("cut");
        let served = check(folder.path(), &format!("cut at {length}"));
        assert!(served + 1 >= before, "a longer log serves no less, but for what its mark forbids");
        before = served;
    }
    assert_eq!(before, 19);
}

#[test]
fn with_any_bit_flipped_it_serves_nothing_else() {
    let folder = tempfile::tempdir().expect("a folder");
    small(folder.path());
    let whole = std::fs::read(log_of(folder.path())).expect("a log");
    for at in (0..whole.len()).step_by(29) {
        let mut bytes = whole.clone();
        bytes[at] ^= 1_u8 << (at % 8);
        std::fs::write(log_of(folder.path()), &bytes).expect("flipped");
        check(folder.path(), &format!("flipped at {at}"));
        let numbers = std::fs::read_dir(folder.path()).expect("a folder").flatten();
        numbers
            .filter(|entry| entry.file_name() != "lock")
            .for_each(|entry| std::fs::remove_file(entry.path()).expect("removed"));
    }
}

#[test]
fn a_flipped_bit_in_a_snapshot_costs_a_scan_only() {
    let folder = tempfile::tempdir().expect("a folder");
    small(folder.path());
    let (mut disk, _) = open(folder.path(), LIMITS);
    disk.snapshot().expect("a snapshot");
    drop(disk);
    let (_, found) = open(folder.path(), LIMITS);
    assert_eq!((found.copies, found.scanned), (20, 0));
    let place = folder.path().join("snapshot");
    let mut bytes = std::fs::read(&place).expect("a snapshot");
    bytes[50] ^= 4;
    std::fs::write(&place, &bytes).expect("flipped");
    let (_, found) = open(folder.path(), LIMITS);
    assert!(found.copies == 20 && found.scanned > 0);
    assert_eq!(check(folder.path(), "after"), 19);
}

#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let (_disk, _) = open(folder.path(), LIMITS);
    let second = Disk::open(folder.path(), LIMITS).expect_err("refused");
    assert_eq!(second.to_string(), "in use by another process");
}

#[test]
fn a_copy_made_before_a_purge_is_not_kept_after_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut disk, _) = open(folder.path(), LIMITS);
    disk.purge_object(object(1), 50, 1).expect("a mark");
    let kept = [49, 50, 51].map(|made| disk.put(key(1), facts(1, made), 1, b"x").expect("put"));
    assert_eq!(kept, [false, false, true]);
    // Moved on with its rank as its segment is taken back, unless it was purged meanwhile.
    disk.put(key(2), facts(2, 60), 3, b"moved").expect("put");
    disk.put(key(4), facts(4, 60), 3, b"purged").expect("put");
    disk.purge_object(object(4), 61, 2).expect("a mark");
    for number in 100..400 {
        disk.put(key(number), facts(number, 100), 1, &[7; 2_000]).expect("put");
        let moved = disk.get(&key(2)).is_some();
        assert!(disk.get(&key(4)).is_none() && (moved || number > 300));
    }
}

#[test]
fn a_smaller_limit_takes_the_oldest_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut disk, _) = open(folder.path(), LIMITS);
    for number in 0..200 {
        disk.put(key(number), facts(number, 1), 1, &[1; 1_500]).expect("put");
    }
    drop(disk);
    let (disk, found) = open(folder.path(), Limits { most_bytes: 100_000, ..LIMITS });
    assert!(disk.sizes().1 <= 100_000 && found.copies > 20 && found.copies < 70);
}

#[test]
fn marks_are_bounded_and_forgetting_them_drops_all() {
    let mut purges = Purges::default();
    purges.object(object(1), 10, 1);
    purges.group(2, 20, 2);
    assert!(purges.forbid(&object(1), None, 10) && !purges.forbid(&object(1), Some(3), 11));
    assert!(purges.forbid(&object(9), Some(2), 20));
    purges.forget_before(15);
    assert_eq!((purges.len(), purges.seq()), (1, 2));
}

struct Tell(Sender<String>);

impl Answers for Tell {
    fn read(&self, ticket: u64, copy: Option<(Facts, Vec<u8>)>) {
        let _ = self.0.send(format!("{ticket}: {:?}", copy.map(|(_, body)| body.len())));
    }
    fn marked(&self, seq: u64) {
        let _ = self.0.send(format!("marked {seq}"));
    }
    fn off(&self) {
        let _ = self.0.send("off".into());
    }
}

#[test]
fn what_is_asked_of_the_disk_is_answered_in_order_and_a_dead_one_is_off() {
    let folder = tempfile::tempdir().expect("a folder");
    let (disk, _) = open(folder.path(), LIMITS);
    let (tell, told) = channel();
    let worker = Worker::start(disk, Tell(tell.clone()));
    assert!(worker.write(key(1), facts(1, 5), 1, b"hello"[..].into()));
    assert!(worker.read(key(1), 1));
    worker.purge_object(object(1), 6, 3);
    assert!(worker.read(key(1), 2));
    assert!(worker.stop());
    let said: Vec<_> = told.try_iter().collect();
    assert_eq!(said, ["1: Some(5)", "marked 3", "2: None"]);

    let (disk, found) = open(folder.path(), Limits { segment_bytes: 1_000, ..LIMITS });
    assert_eq!(found.scanned, 0);
    let worker = Worker::start(disk, Tell(tell));
    // Its folder is gone: the next segment can't be made.
    std::fs::remove_dir_all(folder.path()).expect("removed");
    for number in 0..3 {
        worker.write(key(number), facts(number, 9), 1, vec![0; 900].into());
    }
    let off = told.recv_timeout(Duration::from_secs(10)).expect("told");
    assert!(off == "off" && worker.is_off() && !worker.read(key(1), 3));
    assert!(worker.stop());
}

/// How often the writer is killed; `STORE_KILLS=200` is the long form.
fn kills() -> u64 {
    std::env::var("STORE_KILLS").ok().and_then(|kills| kills.parse().ok()).unwrap_or(25)
}

#[test]
fn killed_at_any_moment_it_serves_nothing_torn_or_purged() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut purged: HashMap<u32, u64> = HashMap::new();
    let (mut served, mut torn) = (0, 0);
    for run in 1..=kills() {
        let mut writer = Command::new(std::env::current_exe().expect("this program"))
            .args(["--exact", "writer", "--ignored", "--nocapture"])
            .env("STORE_FOLDER", folder.path())
            .env("STORE_RUN", run.to_string())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a writer");
        let out = writer.stdout.take().expect("its output");
        let reader =
            std::thread::spawn(move || BufReader::new(out).lines().map_while(Result::ok).collect::<Vec<_>>());
        std::thread::sleep(Duration::from_micros(8_000 + (run * 7_919_777) % 37_000));
        writer.kill().expect("killed");
        writer.wait().expect("gone");
        for line in reader.join().expect("read") {
            if let Some((number, at)) = line.strip_prefix("purged ").and_then(|rest| rest.split_once(' ')) {
                // The last line may be cut.
                if let (Ok(number), Some(Ok(at))) = (number.parse(), at.strip_suffix('.').map(str::parse)) {
                    purged.insert(number, at);
                }
            }
        }
        let (mut disk, found) = open(folder.path(), LIMITS);
        assert!(!found.began_anew, "run {run}: a kill damages nothing but the end");
        torn += u64::from(found.torn > 0);
        for number in 0..300 {
            let Some((told, body)) = disk.get(&key(number)) else { continue };
            assert_eq!(body, source(number, told.made_ms), "run {run}: {number} differs from its source");
            let purge = purged.get(&number).copied().unwrap_or_default();
            assert!(told.made_ms > purge, "run {run}: {number} of {} was purged at {purge}", told.made_ms);
            served += 1;
        }
    }
    assert!(served > 50 * kills() && !purged.is_empty(), "{served} served, {} purged", purged.len());
    println!("{} kills: {served} copies served, {} objects purged, {torn} torn ends", kills(), purged.len());
}

/// Writes, moves, purges and reads until it is killed.
#[test]
#[ignore = "run by the test above"]
fn writer() {
    let Ok(folder) = std::env::var("STORE_FOLDER") else { return };
    let run: u64 = std::env::var("STORE_RUN").ok().and_then(|run| run.parse().ok()).unwrap_or_default();
    let (mut disk, _) = open(Path::new(&folder), LIMITS);
    let mut out = std::io::stdout();
    for step in 1..1_000_000_u64 {
        let now = run * 1_000_000 + step;
        let number = (copperroute_routing::interface::mix(now) % 300) as u32;
        if step.is_multiple_of(20) {
            disk.purge_object(object(number), now, now).expect("a mark");
            // Told only once it is marked.
            writeln!(out, "purged {number} {now}.").expect("told");
            out.flush().expect("told");
        } else {
            disk.put(key(number), facts(number, now), (step % 4) as u8, &source(number, now)).expect("kept");
        }
        if step.is_multiple_of(500) {
            disk.snapshot().expect("a snapshot");
        }
    }
}
