//! The store on a disk that fails, is full, or stops at any moment. Guards against a restart that forgets a purge,
//! against serving partly written or lost copies, and against a store that stays closed after the disk works again.

use copperroute_cache_store::disk::{Disk, Limits, Location, Sync};
use copperroute_cache_store::purges::Purges;
use copperroute_cache_store::record::{Facts, Key};
use faulty::{Fault, Kind, Loss, Memory};
use proptest::prelude::*;
use std::path::Path;
use std::sync::Arc;

mod faulty;

const EIO: i32 = 5;
const ENOSPC: i32 = 28;
const EROFS: i32 = 30;
const EDQUOT: i32 = 122;
const OBJECTS: u8 = 6;
const LIMITS: Limits = Limits { most_bytes: 1_500, segment_bytes: 500, sync: Sync::Segments };

fn key(object: u8) -> Key {
    Key { content_type: 0, object: [b'a' + object; 16], part: 0 }
}

/// The expected bytes of an object's copy made at a time.
fn expected_body(object: u8, made_ms: u64) -> Vec<u8> {
    let seed = format!("{object} {made_ms} ").into_bytes();
    seed.into_iter().cycle().take(30 + usize::from(object) * 23).collect()
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Stores a copy of an object, made so many steps ago.
    Copy(u8, u64),
    /// Purges an object.
    Purge(u8),
    /// Purges a group: the objects with even numbers or those with odd ones.
    PurgeGroup(u8),
    /// Writes a snapshot.
    Snapshot,
}

/// A purge: object (`Ok`) or group (`Err`), and its time in Unix milliseconds.
type Purge = (Result<u8, u8>, u64);

/// One run of a dispatcher, reduced to its store: the purges that it received, and the disk, which is closed after an
/// error as the disk's thread does.
struct Run {
    files: Memory,
    disk: Option<Disk>,
    /// All purges since the beginning of the change log; the first is event 1.
    purged: Vec<Purge>,
    received: Purges,
    /// The last event that the disk has reported as recorded; 0 after the store was opened empty.
    recorded: u64,
    now_ms: u64,
}

fn location(files: &Memory) -> Location {
    Location::with_files(Arc::new(files.clone()), Path::new("/store"), LIMITS)
}

fn record_purge(disk: &mut Disk, (what, at_ms): Purge, seq: u64) -> std::io::Result<()> {
    match what {
        Ok(object) => disk.purge_object(key(object).object, at_ms, seq),
        Err(group) => disk.purge_group(group, at_ms, seq),
    }
}

impl Run {
    /// Starts the first run on an empty folder, or a later one. The store is trusted up to the last event that it has
    /// recorded, and receives all later purges again.
    fn start(files: Memory, purged: Vec<Purge>, now_ms: u64) -> Run {
        let mut received = Purges::default();
        for (what, at_ms) in &purged {
            match what {
                Ok(object) => received.object(key(*object).object, *at_ms, 0),
                Err(group) => received.group(*group, *at_ms, 0),
            }
        }
        let mut disk = location(&files).open().ok().map(|(disk, _)| disk);
        let seq = disk.as_ref().map_or(0, Disk::seq);
        for (seq, purge) in (1..).zip(&purged).skip(seq as usize) {
            disk = disk.and_then(|mut disk| record_purge(&mut disk, *purge, seq).is_ok().then_some(disk));
        }
        let recorded = disk.as_ref().map_or(0, Disk::seq);
        Run { files, disk, purged, received, recorded, now_ms }
    }

    fn step(&mut self, step: Step) {
        self.now_ms += 10;
        if self.disk.is_none() {
            self.disk = location(&self.files).open_empty().ok();
            self.recorded = 0;
        }
        let Some(disk) = &mut self.disk else { return self.receive(step) };
        let result = match step {
            Step::Copy(object, ago) => {
                let made_ms = self.now_ms.saturating_sub(ago * 10);
                let group = Some(object % 2);
                if self.received.forbid(&key(object).object, group, made_ms) {
                    return;
                }
                let facts = Facts { etag: [b'e'; 16], made_ms, group };
                disk.put(key(object), facts, object % 4, &expected_body(object, made_ms)).map(drop)
            }
            Step::Purge(object) => {
                record_purge(disk, (Ok(object), self.now_ms), self.purged.len() as u64 + 1)
            }
            Step::PurgeGroup(group) => {
                record_purge(disk, (Err(group), self.now_ms), self.purged.len() as u64 + 1)
            }
            Step::Snapshot => disk.snapshot(),
        };
        match (result, step) {
            (Err(_), _) => self.disk = None,
            (Ok(()), Step::Purge(_) | Step::PurgeGroup(_)) => self.recorded = self.purged.len() as u64 + 1,
            (Ok(()), _) => {}
        }
        self.receive(step);
    }

    fn receive(&mut self, step: Step) {
        match step {
            Step::Purge(object) => {
                self.received.object(key(object).object, self.now_ms, 0);
                self.purged.push((Ok(object), self.now_ms));
            }
            Step::PurgeGroup(group) => {
                self.received.group(group, self.now_ms, 0);
                self.purged.push((Err(group), self.now_ms));
            }
            Step::Copy(..) | Step::Snapshot => {}
        }
    }
}

/// Number of copies that a store serves. Fails if one differs from what was stored or predates a purge up to this
/// event.
fn served_copies(disk: &mut Disk, purged: &[Purge], last_event: u64) -> Result<usize, String> {
    let mut served = 0;
    for object in 0..OBJECTS {
        let Some((facts, body)) = disk.get(&key(object)) else { continue };
        served += 1;
        if body != expected_body(object, facts.made_ms) {
            return Err(format!("object {object}: the bytes differ from those stored"));
        }
        for (seq, (what, at_ms)) in (1..=last_event).zip(purged) {
            let covers = matches!(what, Ok(of) if *of == object) || *what == Err(object % 2);
            if covers && facts.made_ms <= *at_ms {
                return Err(format!(
                    "object {object} made at {} is served despite purge {seq} at {at_ms}",
                    facts.made_ms
                ));
            }
        }
    }
    Ok(served)
}

/// Checks what the next run finds against all purges that the store reports as recorded. These must include the purges
/// that the store reported in this run, unless it serves nothing.
fn check_next_run(files: Memory, run: &Run) -> Result<usize, String> {
    let purged = &run.purged;
    let (mut disk, _) =
        location(&files).open().map_err(|error| format!("the store does not open: {error}"))?;
    let recorded = disk.seq();
    if recorded > purged.len() as u64 {
        return Err(format!("event {recorded} is recorded but was never received"));
    }
    let served = served_copies(&mut disk, purged, recorded)?;
    if recorded < run.recorded && served > 0 {
        return Err(format!("events are recorded up to {recorded}, expected {}", run.recorded));
    }
    Ok(served)
}

/// Checks every way in which this run can end now: a kill, and stops of the machine. Returns the most copies served.
fn check_every_end(run: &Run) -> Result<usize, String> {
    let mut best = check_next_run(run.files.after_kill(), run).map_err(|why| format!("killed: {why}"))?;
    for loss in Loss::ALL {
        let after = run.files.after_stop(loss);
        let found = check_next_run(after, run).map_err(|why| format!("stopped, lost {loss:?}: {why}"))?;
        best = best.max(found);
    }
    Ok(best)
}

/// Copies, purges, three changes of segments, reclaimed space, and copies that are older than a purge.
fn scenario() -> Vec<Step> {
    use Step::{Copy, Purge, PurgeGroup, Snapshot};
    vec![
        Copy(0, 0),
        Copy(1, 0),
        Purge(1),
        Copy(2, 0),
        Copy(1, 5),
        Copy(3, 0),
        PurgeGroup(0),
        Copy(1, 0),
        Copy(4, 0),
        Purge(3),
        Snapshot,
        Copy(5, 0),
        Copy(3, 0),
        Purge(1),
        Copy(0, 0),
        Copy(2, 1),
        PurgeGroup(1),
        Copy(4, 0),
        Copy(5, 0),
        Purge(5),
    ]
}

/// Runs the scenario with a plan of faults and checks every end after each step that `checks` selects.
fn run_scenario(
    plan: impl FnMut(u64, Kind, usize) -> Option<Fault> + Send + 'static,
    checks: impl Fn(usize) -> bool,
) -> Run {
    let files = Memory::default();
    files.plan(Some(Box::new(plan)));
    let mut run = Run::start(files, Vec::new(), 1_000);
    for (at, step) in scenario().into_iter().enumerate() {
        run.step(step);
        if let Some(disk) = run.disk.as_mut().filter(|_| checks(at)) {
            // This run may serve nothing that predates a purge which it has received.
            served_copies(disk, &run.purged, run.purged.len() as u64).expect("copies of this run");
        }
        if checks(at) {
            check_every_end(&run).unwrap_or_else(|why| panic!("after step {at}, {step:?}: {why}"));
        }
    }
    run
}

/// Kind and length of every operation that the scenario does without faults.
fn all_operations() -> Vec<(Kind, usize)> {
    let seen = Arc::new(std::sync::Mutex::new(Vec::new()));
    let recorder = seen.clone();
    let plan = move |_, operation, length| {
        recorder.lock().expect("lock the operations").push((operation, length));
        None
    };
    let run = run_scenario(plan, |_| false);
    assert!(run.disk.is_some());
    seen.lock().expect("lock the operations").clone()
}

#[test]
fn without_faults_every_crash_leaves_what_was_synced() {
    let run = run_scenario(|_, _, _| None, |_| true);
    assert!(check_every_end(&run).expect("every end") >= 1);
}

#[test]
fn one_failed_operation_or_several_in_sequence_lose_no_purge() {
    let operations = all_operations();
    assert!(operations.len() > 60, "{} operations", operations.len());
    for (at, (operation, _)) in operations.iter().enumerate() {
        for (errno, failures) in [(EIO, 1), (ENOSPC, 4), (EROFS, 25), (EDQUOT, u64::MAX)] {
            let fails = at as u64..(at as u64).saturating_add(failures);
            let plan = move |number, _, _| fails.contains(&number).then_some(Fault { errno, torn: 0 });
            let run = std::panic::catch_unwind(|| run_scenario(plan, |_| true));
            let run = run.unwrap_or_else(|_| {
                panic!("operation {at}, {operation:?}, errno {errno}, {failures} failures")
            });
            // Once the disk works again the store is used again, without a restart.
            assert!(run.disk.is_some() || failures > 4, "operation {at}, {operation:?}: store not reopened");
        }
    }
}

#[test]
fn a_read_only_disk_loses_no_purge() {
    use Kind::{FileNames, MakeFolder, Open, Read};
    let reads = |operation| matches!(operation, FileNames | Read | Open | MakeFolder);
    for at in 0..all_operations().len() as u64 {
        let plan = move |number, operation, _| {
            (number >= at && !reads(operation)).then_some(Fault { errno: EROFS, torn: 0 })
        };
        let run = std::panic::catch_unwind(|| run_scenario(plan, |_| true));
        run.unwrap_or_else(|_| panic!("read-only from operation {at} on"));
    }
}

#[test]
fn a_write_cut_at_any_byte_loses_no_purge_and_serves_no_partial_copy() {
    let mut cases = 0;
    for (at, (operation, length)) in all_operations().into_iter().enumerate() {
        for written in (0..=length).filter(|_| operation == Kind::Write) {
            cases += 1;
            // All later operations fail, as after a kill; or only this one fails, as on a full disk, and the run goes
            // on.
            for failures in [u64::MAX, 1] {
                let fails = at as u64..(at as u64).saturating_add(failures);
                let plan = move |number, _, _| {
                    fails.contains(&number).then_some(Fault { errno: ENOSPC, torn: written })
                };
                let run = std::panic::catch_unwind(|| run_scenario(plan, |step| step == 19));
                run.unwrap_or_else(|_| panic!("operation {at} cut at byte {written} of {length}"));
            }
        }
    }
    assert!(cases > 2_000, "{cases} cases");
}

#[test]
fn a_snapshot_keeps_purges_of_removed_segments_when_the_machine_stops_after_it() {
    let mut run = Run::start(Memory::default(), Vec::new(), 1_000);
    let copies = [2, 5].into_iter().map(|object| Step::Copy(object, 0));
    let more = [5, 0, 4, 0, 4, 5, 1].into_iter().map(|object| Step::Copy(object, 0));
    for step in copies.chain([Step::Purge(1)]).chain(more).chain([Step::Snapshot]) {
        run.step(step);
        check_every_end(&run).unwrap_or_else(|why| panic!("after {step:?}: {why}"));
    }
    assert!(run.disk.is_some_and(|disk| disk.seq() == 1));
}

#[test]
fn a_copy_of_unknown_group_is_covered_by_every_group_purge() {
    let files = Memory::default();
    let (mut disk, _) = location(&files).open().expect("open the store");
    let facts = |made_ms, group| Facts { etag: [b'e'; 16], made_ms, group };
    for (object, group) in [(1, None), (2, Some(1)), (3, Some(2))] {
        disk.put(key(object), facts(10, group), 1, b"bytes").expect("store a copy");
    }
    disk.purge_group(1, 20, 1).expect("record the purge");
    let served = [1, 2, 3].map(|object| disk.get(&key(object)).is_some());
    assert_eq!(served, [false, false, true]);
    let stored =
        [20, 21].map(|made_ms| disk.put(key(1), facts(made_ms, None), 1, b"bytes").expect("store a copy"));
    assert_eq!(stored, [false, true]);
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..OBJECTS, 0_u64..8).prop_map(|(object, ago)| Step::Copy(object, ago)),
        2 => (0..OBJECTS).prop_map(Step::Purge),
        1 => (0_u8..2).prop_map(Step::PurgeGroup),
        1 => Just(Step::Snapshot),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Several runs on one disk with random faults, each ended by a kill or a stop of the machine.
    #[test]
    fn runs_on_a_failing_disk_lose_no_purge(
        runs in prop::collection::vec((prop::collection::vec(any_step(), 1..60), any::<u64>(), 0_usize..4), 1..6),
        fault_rate in 1_u64..40,
    ) {
        let (mut files, mut purged, mut now_ms) = (Memory::default(), Vec::new(), 1_000);
        for (steps, seed, end) in runs {
            let mut random = seed | 1;
            files.plan(Some(Box::new(move |_, _, length| {
                // xorshift: the same faults for the same seed.
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                let written = (random >> 20) as usize % (length + 1);
                (random % 100 < fault_rate / 2).then_some(Fault { errno: EIO, torn: written })
            })));
            let mut run = Run::start(files.clone(), purged, now_ms);
            for step in steps {
                run.step(step);
                if let Some(disk) = &mut run.disk {
                    let found = served_copies(disk, &run.purged, run.purged.len() as u64);
                    prop_assert!(found.is_ok(), "copies of this run: {:?}", found);
                }
            }
            run.disk = None;
            let found = check_every_end(&run);
            prop_assert!(found.is_ok(), "{:?}", found);
            files = match end {
                0 => run.files.after_kill(),
                end => run.files.after_stop(Loss::ALL[end - 1]),
            };
            (purged, now_ms) = (run.purged, run.now_ms);
        }
    }
}
