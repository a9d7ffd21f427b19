//! The disk tier, the memory tier and their parts against simple models, on damaged files and in killed processes.

use copperroute_cache_store::disk::{Disk, Found, Limits, Sync};
use copperroute_cache_store::index::{Index, RecordPosition};
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

/// The expected bytes of a key's copy made at a time: most are up to 320 bytes long, every 17th 9,000.
fn expected_body(number: u32, made_ms: u64) -> Vec<u8> {
    let length = if number.is_multiple_of(17) { 9_000 } else { 20 + (number * 7 % 300) as usize };
    let seed = format!("{number} {made_ms} ").into_bytes();
    seed.into_iter().cycle().take(length).collect()
}

/// Opens a store. Waits for the lock: a child process that another test has just forked may hold it for a moment.
fn open(folder: &Path, limits: Limits) -> (Disk, Found) {
    for _ in 0..400 {
        match Disk::open(folder, limits) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_millis(5))
            }
            opened => return opened.expect("open the store"),
        }
    }
    panic!("the lock of {} was not released in 2 s", folder.display());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn an_index_behaves_like_a_map(steps in prop::collection::vec((0_u64..400, 0_u32..1000, any::<bool>()), 1..800)) {
        let (mut index, mut model) = (Index::default(), HashMap::new());
        for (number, offset, put) in steps {
            // Many of these share a home slot in the table.
            let fingerprint = number * 64 + 1;
            let position = RecordPosition { segment: 1, offset, length: offset, rank: 3 };
            if put {
                prop_assert_eq!(index.put(fingerprint, position), model.insert(fingerprint, position));
            } else {
                prop_assert_eq!(index.remove(fingerprint), model.remove(&fingerprint));
            }
            prop_assert_eq!(index.len(), model.len());
        }
        prop_assert!(model.iter().all(|(fingerprint, position)| index.get(*fingerprint) == Some(*position)));
        prop_assert_eq!(index.iter().count(), model.len());
    }

    #[test]
    fn a_store_serves_only_the_latest_copies_that_were_not_purged(
        steps in prop::collection::vec((0_u32..60, 0_u8..20), 1..400),
    ) {
        let folder = tempfile::tempdir().expect("temporary folder");
        let (mut disk, _) = open(folder.path(), LIMITS);
        let mut model: HashMap<u32, u64> = HashMap::new();
        for (now, (number, operation)) in (1..).zip(steps) {
            match operation {
                0 => {
                    disk.purge_object(object(number), now, now).expect("record the purge");
                    model.remove(&number);
                }
                1 => {
                    disk.purge_group((number % 5) as u8, now, now).expect("record the purge");
                    model.retain(|other, _| other % 5 != number % 5);
                }
                2 => {
                    disk.drop_copy(&key(number)).expect("remove the copy");
                    model.remove(&number);
                }
                3 => {
                    drop(disk);
                    let (again, found) = open(folder.path(), LIMITS);
                    prop_assert!(found.truncated_bytes == 0 && !found.cleared);
                    disk = again;
                }
                4 => disk.snapshot().expect("write a snapshot"),
                _ => {
                    let body = expected_body(number, now);
                    prop_assert!(disk.put(key(number), facts(number, now), 1, &body).expect("store a copy"));
                    model.insert(number, now);
                }
            }
            if operation % 4 == 0 {
                for other in 0..60 {
                    // A copy whose segment was reclaimed is a miss; a copy that is found must be the latest one.
                    if let Some((facts, body)) = disk.get(&key(other)) {
                        prop_assert_eq!(Some(&facts.made_ms), model.get(&other));
                        prop_assert_eq!(body, expected_body(other, facts.made_ms));
                    }
                }
            }
            prop_assert!(disk.sizes().1 <= LIMITS.most_bytes + u64::from(LIMITS.segment_bytes));
        }
    }

    #[test]
    fn decoders_do_not_panic_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Head::decode(&bytes);
        prop_assert!(Snapshot::decode(&bytes).is_none());
    }

    #[test]
    fn a_flipped_bit_in_a_head_is_detected(at in 0_usize..64, bit in 0_u32..8) {
        let mut bytes = Head::copy(key(7), facts(7, 9), b"body").encode();
        bytes[at] ^= 1_u8 << bit;
        prop_assert!(Head::decode(&bytes).is_err());
    }

    #[test]
    fn memory_stays_within_its_bound(steps in prop::collection::vec((0_u32..80, 0_u8..4, 0_usize..4000), 1..300)) {
        let mut memory = Memory::new(20_000);
        for (number, rank, length) in steps {
            let body: Arc<[u8]> = vec![number as u8; length].into();
            let stored = memory.put(key(number), facts(number, 1), rank, body);
            prop_assert!(memory.bytes() <= 20_000);
            prop_assert_eq!(memory.get(&key(number), rank).is_some(), stored);
        }
        memory.remove_all(|_, facts| facts.group == Some(2));
        prop_assert!((0..80).all(|number| number % 5 != 2 || memory.get(&key(number), 0).is_none()));
        memory.set_max_bytes(1_000);
        prop_assert!(memory.bytes() <= 1_000);
    }
}

/// Writes a store of twenty copies; object 3 is purged after the tenth.
fn write_small_store(folder: &Path) {
    let (mut disk, _) = open(folder, LIMITS);
    for number in 1..=20 {
        disk.put(key(number), facts(number, u64::from(number)), 1, &expected_body(number, u64::from(number)))
            .expect("store a copy");
        if number == 10 {
            disk.purge_object(object(3), 10, 4).expect("record the purge");
        }
    }
}

/// Checks that a damaged store serves nothing that differs from what was stored and no purged copy. Returns how many
/// copies it serves.
fn check_served(folder: &Path, damage: &str) -> usize {
    let (mut disk, _) = open(folder, LIMITS);
    let served = (1..=20).filter(|number| {
        let Some((facts, body)) = disk.get(&key(*number)) else { return false };
        assert_eq!(body, expected_body(*number, facts.made_ms), "{damage}: copy {number}");
        // The purge may be lost if the log ends before it. The store then reports an earlier event number, and the
        // change log delivers the purge again before anything is served.
        assert!(*number != 3 || disk.seq() < 4, "{damage}: copy {number} was purged");
        true
    });
    served.count()
}

fn first_segment(folder: &Path) -> std::path::PathBuf {
    folder.join("00000000.log")
}

#[test]
fn a_log_cut_at_any_byte_serves_only_whole_records() {
    let folder = tempfile::tempdir().expect("temporary folder");
    write_small_store(folder.path());
    let whole = std::fs::read(first_segment(folder.path())).expect("read the log");
    let mut before = 0;
    for length in (0..whole.len()).step_by(13).chain([whole.len()]) {
        std::fs::write(first_segment(folder.path()), &whole[..length]).expect("write the shortened log");
        let served = check_served(folder.path(), &format!("cut at {length}"));
        assert!(served + 1 >= before, "a longer log serves as many copies, except for the purged one");
        before = served;
    }
    assert_eq!(before, 19);
}

#[test]
fn a_log_with_a_flipped_bit_serves_no_other_bytes() {
    let folder = tempfile::tempdir().expect("temporary folder");
    write_small_store(folder.path());
    let whole = std::fs::read(first_segment(folder.path())).expect("read the log");
    for at in (0..whole.len()).step_by(29) {
        let mut bytes = whole.clone();
        bytes[at] ^= 1_u8 << (at % 8);
        std::fs::write(first_segment(folder.path()), &bytes).expect("write the flipped bit");
        check_served(folder.path(), &format!("flipped at {at}"));
        let entries = std::fs::read_dir(folder.path()).expect("read the folder").flatten();
        entries
            .filter(|entry| entry.file_name() != "lock")
            .for_each(|entry| std::fs::remove_file(entry.path()).expect("remove a file"));
    }
}

#[test]
fn a_flipped_bit_in_a_snapshot_costs_only_a_scan() {
    let folder = tempfile::tempdir().expect("temporary folder");
    write_small_store(folder.path());
    let (mut disk, _) = open(folder.path(), LIMITS);
    disk.snapshot().expect("write a snapshot");
    drop(disk);
    let (_, found) = open(folder.path(), LIMITS);
    assert_eq!((found.copies, found.scanned), (20, 0));
    let path = folder.path().join("snapshot");
    let mut bytes = std::fs::read(&path).expect("read the snapshot");
    bytes[50] ^= 4;
    std::fs::write(&path, &bytes).expect("write the flipped bit");
    let (_, found) = open(folder.path(), LIMITS);
    assert!(found.copies == 20 && found.scanned > 0);
    assert_eq!(check_served(folder.path(), "damaged snapshot"), 19);
}

#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (_disk, _) = open(folder.path(), LIMITS);
    let second = Disk::open(folder.path(), LIMITS).expect_err("refused");
    assert_eq!(second.to_string(), "in use by another process");
}

#[test]
fn a_copy_made_before_a_purge_is_not_stored_after_it() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (mut disk, _) = open(folder.path(), LIMITS);
    disk.purge_object(object(1), 50, 1).expect("record the purge");
    let stored =
        [49, 50, 51].map(|made_ms| disk.put(key(1), facts(1, made_ms), 1, b"x").expect("store a copy"));
    assert_eq!(stored, [false, false, true]);
    // A copy of high rank is written again when its segment is reclaimed, unless it was purged meanwhile.
    disk.put(key(2), facts(2, 60), 3, b"moved").expect("store a copy");
    disk.put(key(4), facts(4, 60), 3, b"purged").expect("store a copy");
    disk.purge_object(object(4), 61, 2).expect("record the purge");
    for number in 100..400 {
        disk.put(key(number), facts(number, 100), 1, &[7; 2_000]).expect("store a copy");
        let moved = disk.get(&key(2)).is_some();
        assert!(disk.get(&key(4)).is_none() && (moved || number > 300));
    }
}

#[test]
fn a_smaller_limit_removes_the_oldest_segments() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (mut disk, _) = open(folder.path(), LIMITS);
    for number in 0..200 {
        disk.put(key(number), facts(number, 1), 1, &[1; 1_500]).expect("store a copy");
    }
    drop(disk);
    let (disk, found) = open(folder.path(), Limits { most_bytes: 100_000, ..LIMITS });
    assert!(disk.sizes().1 <= 100_000 && found.copies > 20 && found.copies < 70);
}

#[test]
fn purges_cover_older_copies_and_are_forgotten_by_time() {
    let mut purges = Purges::default();
    purges.object(object(1), 10, 1);
    purges.group(2, 20, 2);
    assert!(purges.forbid(&object(1), None, 10) && !purges.forbid(&object(1), Some(3), 11));
    assert!(purges.forbid(&object(9), Some(2), 20));
    purges.forget_before(15);
    assert_eq!((purges.len(), purges.seq()), (1, 2));
}

/// Sends each answer as a line of text.
struct AnswerLines(Sender<String>);

impl Answers for AnswerLines {
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
fn jobs_are_answered_in_order_and_a_failed_disk_is_reported_off() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (disk, _) = open(folder.path(), LIMITS);
    let (sender, lines) = channel();
    let worker = Worker::start(disk, AnswerLines(sender.clone()));
    assert!(worker.write(key(1), facts(1, 5), 1, b"hello"[..].into()));
    assert!(worker.read(key(1), 1));
    worker.purge_object(object(1), 6, 3);
    assert!(worker.read(key(1), 2));
    assert!(worker.stop());
    let answers: Vec<_> = lines.try_iter().collect();
    assert_eq!(answers, ["1: Some(5)", "marked 3", "2: None"]);

    let (disk, found) = open(folder.path(), Limits { segment_bytes: 1_000, ..LIMITS });
    assert_eq!(found.scanned, 0);
    let worker = Worker::start(disk, AnswerLines(sender));
    // Without its folder the next segment can't be created.
    std::fs::remove_dir_all(folder.path()).expect("remove the folder");
    for number in 0..3 {
        worker.write(key(number), facts(number, 9), 1, vec![0; 900].into());
    }
    let off = lines.recv_timeout(Duration::from_secs(10)).expect("an answer");
    assert!(off == "off" && worker.is_off() && !worker.read(key(1), 3));
    assert!(worker.stop());
}

/// Number of times that the writer is killed; `STORE_KILLS=200` makes a long run.
fn kills() -> u64 {
    std::env::var("STORE_KILLS").ok().and_then(|kills| kills.parse().ok()).unwrap_or(25)
}

#[test]
fn a_killed_writer_leaves_no_partial_or_purged_copy() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let mut purged: HashMap<u32, u64> = HashMap::new();
    let (mut served, mut truncated) = (0, 0);
    for run in 1..=kills() {
        let mut writer = Command::new(std::env::current_exe().expect("path of this program"))
            .args(["--exact", "writer", "--ignored", "--nocapture"])
            .env("STORE_FOLDER", folder.path())
            .env("STORE_RUN", run.to_string())
            .stdout(Stdio::piped())
            .spawn()
            .expect("start the writer");
        let out = writer.stdout.take().expect("the output of the writer");
        let reader =
            std::thread::spawn(move || BufReader::new(out).lines().map_while(Result::ok).collect::<Vec<_>>());
        std::thread::sleep(Duration::from_micros(8_000 + (run * 7_919_777) % 37_000));
        writer.kill().expect("kill the writer");
        writer.wait().expect("wait for the writer");
        for line in reader.join().expect("read its output") {
            if let Some((number, at)) = line.strip_prefix("purged ").and_then(|rest| rest.split_once(' ')) {
                // The last line may be incomplete; a whole one ends with a full stop.
                if let (Ok(number), Some(Ok(at))) = (number.parse(), at.strip_suffix('.').map(str::parse)) {
                    purged.insert(number, at);
                }
            }
        }
        let (mut disk, found) = open(folder.path(), LIMITS);
        assert!(!found.cleared, "run {run}: a kill must damage only the end of the log");
        truncated += u64::from(found.truncated_bytes > 0);
        for number in 0..300 {
            let Some((facts, body)) = disk.get(&key(number)) else { continue };
            assert_eq!(body, expected_body(number, facts.made_ms), "run {run}: copy {number} differs");
            let purge = purged.get(&number).copied().unwrap_or_default();
            let made_ms = facts.made_ms;
            assert!(made_ms > purge, "run {run}: copy {number} made at {made_ms} was purged at {purge}");
            served += 1;
        }
    }
    assert!(served > 50 * kills() && !purged.is_empty(), "{served} served, {} purged", purged.len());
    let (kills, purged) = (kills(), purged.len());
    println!("{kills} kills: {served} copies served, {purged} objects purged, {truncated} logs truncated");
}

/// Stores and purges copies and writes snapshots until the test above kills its process.
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
            disk.purge_object(object(number), now, now).expect("record the purge");
            // Printed only after the purge is recorded.
            writeln!(out, "purged {number} {now}.").expect("print the purge");
            out.flush().expect("print the purge");
        } else {
            disk.put(key(number), facts(number, now), (step % 4) as u8, &expected_body(number, now))
                .expect("store a copy");
        }
        if step.is_multiple_of(500) {
            disk.snapshot().expect("write a snapshot");
        }
    }
}
