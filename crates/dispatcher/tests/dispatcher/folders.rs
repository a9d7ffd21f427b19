//! State on disk across a restart: when cached copies are trusted, and the saved node list on a failing disk.

use crate::faulty::{Fault, Kind, Loss, Memory};
use copperroute_dispatcher::node_list_snapshot::{decode, encode};
use copperroute_dispatcher::purge_coverage::covers_purges_after;
use copperroute_dispatcher::snapshot_writer::{SnapshotWriter, load_with};
use copperroute_protocol::changes::{Change, KnownEvents};
use expect_test::expect;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const NOW_MS: u64 = 1_764_576_000_000;
const HOUR_MS: u64 = 3_600_000;
const FOLDER: &str = "/list";

fn change(line: &str) -> Change {
    serde_json::from_str(line).expect("an event")
}

fn list(seq: u64, full: bool) -> Change {
    change(&format!(r#"{{"seq":{seq},"fleet":{{"full":{full},"servers":[]}}}}"#))
}

fn purge(seq: u64) -> Change {
    change(&format!(r#"{{"seq":{seq},"invalidate":{{"bucket":17,"time":{NOW_MS}}}}}"#))
}

/// The purge marks on disk after which all later purges are known.
fn trusted_marks(seq: u64, results: Vec<Change>) -> String {
    let known = KnownEvents { seq, results };
    let marked = (0..=seq + 1).filter(|marked| covers_purges_after(&known, *marked));
    format!("{:?}\n", marked.collect::<Vec<_>>())
}

#[test]
fn a_disk_is_trusted_only_if_every_event_after_its_last_mark_is_known() {
    let trace = [
        (
            "all events from the first",
            trusted_marks(4, vec![list(1, true), purge(2), list(3, false), purge(4)]),
        ),
        ("none", trusted_marks(4, vec![])),
        ("nothing has come yet", trusted_marks(0, vec![])),
        ("one is missing between", trusted_marks(4, vec![list(1, true), purge(2), purge(4)])),
        ("a snapshot in place of all before it", trusted_marks(4, vec![list(3, true), purge(4)])),
        ("a snapshot that may stand for a purge with the same number", trusted_marks(4, vec![list(4, true)])),
        (
            "a saved node list with its purges after it",
            trusted_marks(4, vec![list(4, true), purge(3), purge(4)]),
        ),
        ("a saved node list without its older purges", trusted_marks(9, vec![list(9, true), purge(9)])),
    ];
    let trace = trace.map(|(what, marked)| format!("{what}: {marked}"));
    expect![[r#"
        all events from the first: [0, 1, 2, 3, 4]
        none: [4]
        nothing has come yet: [0]
        one is missing between: [3, 4]
        a snapshot in place of all before it: [3, 4]
        a snapshot that may stand for a purge with the same number: [4]
        a saved node list with its purges after it: [2, 3, 4]
        a saved node list without its older purges: [8, 9]
    "#]]
    .assert_eq(&trace.concat());
}

fn encoded(seq: u64) -> Vec<u8> {
    encode(&KnownEvents { seq, results: vec![list(seq, true), purge(seq)] }, NOW_MS, 7)
}

fn load_seq(files: &Memory) -> Result<Option<u64>, String> {
    load_with(files, Path::new(FOLDER), NOW_MS, 7, HOUR_MS, 0).map(|found| found.map(|(known, _)| known.seq))
}

fn snapshot_writer(files: &Memory) -> SnapshotWriter {
    SnapshotWriter::start_with(files.clone(), PathBuf::from(FOLDER)).expect("a folder")
}

/// The file operations of saving a node list over an older one, with the length of each write.
fn operations() -> Vec<(Kind, usize)> {
    let (files, seen) = (Memory::default(), Arc::new(std::sync::Mutex::new(Vec::new())));
    snapshot_writer(&files).stop();
    let shared = seen.clone();
    files.plan(Some(Box::new(move |_, kind, length| {
        shared.lock().expect("the kinds").push((kind, length));
        None
    })));
    let snapshot_writer = snapshot_writer(&files);
    snapshot_writer.save(encoded(2));
    snapshot_writer.stop();
    seen.lock().expect("the kinds").clone()
}

#[test]
fn the_old_or_the_new_node_list_is_found_after_any_failed_or_partial_write() {
    let mut runs = 0;
    // The first operation creates the folder, without which the writer does not start.
    for (at, (kind, length)) in operations().into_iter().enumerate().skip(1) {
        for torn in (0..=length).filter(|torn| *torn == 0 || kind == Kind::Write) {
            let files = Memory::default();
            let first = snapshot_writer(&files);
            first.save(encoded(1));
            first.stop();
            assert_eq!(load_seq(&files), Ok(Some(1)));
            // All operations fail from here on, so that no retry succeeds.
            files.plan(Some(Box::new(move |number, _, _| {
                (number >= at as u64).then_some(Fault { errno: 28, torn })
            })));
            let second = snapshot_writer(&files);
            second.save(encoded(2));
            second.stop();
            let ends = [files.after_kill()].into_iter().chain(Loss::ALL.map(|loss| files.after_stop(loss)));
            for end in ends {
                let found =
                    load_seq(&end).unwrap_or_else(|why| panic!("{at}, {kind:?} torn at {torn}: {why}"));
                assert!(matches!(found, Some(1 | 2)), "{at}, {kind:?} torn at {torn}: {found:?}");
            }
            runs += 1;
        }
    }
    assert!(runs > 200, "{runs} points of failure");
}

#[test]
fn a_failed_save_of_the_node_list_is_retried() {
    for failing in [Kind::Open, Kind::Write, Kind::Sync, Kind::Rename, Kind::SyncFolder] {
        let (files, fails) = (Memory::default(), Arc::new(AtomicBool::new(true)));
        let shared = fails.clone();
        files.plan(Some(Box::new(move |_, kind, _| {
            (kind == failing && shared.load(Ordering::Relaxed)).then_some(Fault { errno: 5, torn: 9 })
        })));
        let snapshot_writer = snapshot_writer(&files);
        snapshot_writer.save(encoded(3));
        std::thread::sleep(Duration::from_millis(200));
        fails.store(false, Ordering::Relaxed);
        let began = Instant::now();
        // No other node list is saved, so the one found after the machine stops was written by a retry.
        while load_seq(&files.after_stop(Loss::All)) != Ok(Some(3)) {
            assert!(began.elapsed() < Duration::from_secs(5), "{failing:?}: not retried");
            std::thread::sleep(Duration::from_millis(20));
        }
        snapshot_writer.stop();
    }
}

#[test]
fn a_node_list_saved_by_an_earlier_version_can_be_read() {
    let bytes = include_bytes!("../fixtures/a402d9a/list");
    let (known, age) = decode(bytes, NOW_MS + 40, 7, HOUR_MS, 0).expect("a good list");
    let lines = known.results.iter().map(|change| match (&change.fleet, &change.invalidate) {
        (Some(fleet), _) => {
            let nodes = fleet.servers.iter().map(|node| format!(" {} {:?}", node.id, node.state));
            format!("{} list {:?}{}\n", change.seq, fleet.version, nodes.collect::<String>())
        }
        (_, Some(purge)) => {
            format!("{} purge {:?} {:?} {}\n", change.seq, purge.object, purge.bucket, purge.time)
        }
        _ => format!("{}\n", change.seq),
    });
    expect![[r#"
        4 list Some(4) s-a Active s-b Leaving
        3 purge None Some(17) 1764575999000
        4 purge Some("7f3a000000000000") None 1764575999500
        event 4, 40 ms old
    "#]]
    .assert_eq(&(lines.collect::<String>() + &format!("event {}, {age} ms old\n", known.seq)));
}
