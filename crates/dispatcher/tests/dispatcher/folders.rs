//! What lies on disk over a restart: which of it is trusted, and the last good list on a disk that fails.

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

const NOW: u64 = 1_764_576_000_000;
const HOUR: u64 = 3_600_000;
const FOLDER: &str = "/list";

fn change(line: &str) -> Change {
    serde_json::from_str(line).expect("an event")
}

fn list(seq: u64, full: bool) -> Change {
    change(&format!(r#"{{"seq":{seq},"fleet":{{"full":{full},"servers":[]}}}}"#))
}

fn purge(seq: u64) -> Change {
    change(&format!(r#"{{"seq":{seq},"invalidate":{{"bucket":17,"time":{NOW}}}}}"#))
}

/// After which marks on disk all later purges are told.
fn trusted(seq: u64, results: Vec<Change>) -> String {
    let known = KnownEvents { seq, results };
    let marked = (0..=seq + 1).filter(|marked| covers_purges_after(&known, *marked));
    format!("{:?}\n", marked.collect::<Vec<_>>())
}

#[test]
fn a_disk_is_trusted_only_if_every_event_after_its_last_mark_is_told() {
    let trace = [
        ("all events from the first", trusted(4, vec![list(1, true), purge(2), list(3, false), purge(4)])),
        ("none", trusted(4, vec![])),
        ("nothing has come yet", trusted(0, vec![])),
        ("one is missing between", trusted(4, vec![list(1, true), purge(2), purge(4)])),
        ("a whole list in place of all before it", trusted(4, vec![list(3, true), purge(4)])),
        ("a whole list that may stand for a purge of its own number", trusted(4, vec![list(4, true)])),
        ("a last good list, its purges behind it", trusted(4, vec![list(4, true), purge(3), purge(4)])),
        ("one whose older purges are forgotten", trusted(9, vec![list(9, true), purge(9)])),
    ];
    let trace = trace.map(|(what, marked)| format!("{what}: {marked}"));
    expect![[r#"
        all events from the first: [0, 1, 2, 3, 4]
        none: [4]
        nothing has come yet: [0]
        one is missing between: [3, 4]
        a whole list in place of all before it: [3, 4]
        a whole list that may stand for a purge of its own number: [4]
        a last good list, its purges behind it: [2, 3, 4]
        one whose older purges are forgotten: [8, 9]
    "#]]
    .assert_eq(&trace.concat());
}

fn kept(seq: u64) -> Vec<u8> {
    encode(&KnownEvents { seq, results: vec![list(seq, true), purge(seq)] }, NOW, 7)
}

fn found(files: &Memory) -> Result<Option<u64>, String> {
    load_with(files, Path::new(FOLDER), NOW, 7, HOUR, 0).map(|found| found.map(|(known, _)| known.seq))
}

fn snapshot_writer(files: &Memory) -> SnapshotWriter {
    SnapshotWriter::start_with(files.clone(), PathBuf::from(FOLDER)).expect("a folder")
}

/// The operations that writing a list over an older one takes, with the length of what is written.
fn operations() -> Vec<(Kind, usize)> {
    let (files, seen) = (Memory::default(), Arc::new(std::sync::Mutex::new(Vec::new())));
    snapshot_writer(&files).stop();
    let its = seen.clone();
    files.plan(Some(Box::new(move |_, kind, length| {
        its.lock().expect("the kinds").push((kind, length));
        None
    })));
    let snapshot_writer = snapshot_writer(&files);
    snapshot_writer.save(kept(2));
    snapshot_writer.stop();
    seen.lock().expect("the kinds").clone()
}

#[test]
fn whatever_fails_or_is_torn_at_any_byte_the_old_list_or_the_new_is_found() {
    let mut plays = 0;
    // The first operation makes the folder: without it nothing starts.
    for (at, (kind, length)) in operations().into_iter().enumerate().skip(1) {
        for torn in (0..=length).filter(|torn| *torn == 0 || kind == Kind::Write) {
            let files = Memory::default();
            let first = snapshot_writer(&files);
            first.save(kept(1));
            first.stop();
            assert_eq!(found(&files), Ok(Some(1)));
            // It fails from here on, so that nothing is tried with success.
            files.plan(Some(Box::new(move |number, _, _| {
                (number >= at as u64).then_some(Fault { errno: 28, torn })
            })));
            let second = snapshot_writer(&files);
            second.save(kept(2));
            second.stop();
            let ends = [files.after_kill()].into_iter().chain(Loss::ALL.map(|loss| files.after_stop(loss)));
            for end in ends {
                let found = found(&end).unwrap_or_else(|why| panic!("{at}, {kind:?} torn at {torn}: {why}"));
                assert!(matches!(found, Some(1 | 2)), "{at}, {kind:?} torn at {torn}: {found:?}");
            }
            plays += 1;
        }
    }
    assert!(plays > 200, "{plays} places");
}

#[test]
fn a_list_that_was_not_written_is_tried_again_by_itself() {
    for failing in [Kind::Open, Kind::Write, Kind::Sync, Kind::Rename, Kind::SyncFolder] {
        let (files, fails) = (Memory::default(), Arc::new(AtomicBool::new(true)));
        let its = fails.clone();
        files.plan(Some(Box::new(move |_, kind, _| {
            (kind == failing && its.load(Ordering::Relaxed)).then_some(Fault { errno: 5, torn: 9 })
        })));
        let snapshot_writer = snapshot_writer(&files);
        snapshot_writer.save(kept(3));
        std::thread::sleep(Duration::from_millis(200));
        fails.store(false, Ordering::Relaxed);
        let began = Instant::now();
        // No further list comes: what is found after the machine stops is what was tried again.
        while found(&files.after_stop(Loss::All)) != Ok(Some(3)) {
            assert!(began.elapsed() < Duration::from_secs(5), "{failing:?}: not tried again");
            std::thread::sleep(Duration::from_millis(20));
        }
        snapshot_writer.stop();
    }
}

#[test]
fn a_list_written_by_an_earlier_version_is_read_as_it_was() {
    let bytes = include_bytes!("../fixtures/a402d9a/list");
    let (known, age) = decode(bytes, NOW + 40, 7, HOUR, 0).expect("a good list");
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
