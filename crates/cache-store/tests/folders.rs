//! A folder whose disk fails, is full or stops at any moment: no purge is forgotten over a restart, nothing torn or lost
//! is served, and the store comes back by itself.

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

/// The bytes that the source has for an object at a time.
fn source(object: u8, made_ms: u64) -> Vec<u8> {
    let seed = format!("{object} {made_ms} ").into_bytes();
    seed.into_iter().cycle().take(30 + usize::from(object) * 23).collect()
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A copy of an object comes, made so many moments ago.
    Copy(u8, u64),
    /// An object is purged.
    Purge(u8),
    /// All objects of a group, which are the even or the odd ones, are.
    PurgeGroup(u8),
    /// The disk is asked to write a snapshot.
    Snapshot,
}

/// A dispatcher as far as its store goes: what it has heard, and the disk, given up after an error as its thread does.
struct Life {
    files: Memory,
    disk: Option<Disk>,
    /// All purges since the beginning of the change log, the first under number 1: object or group, and when.
    purged: Vec<(Result<u8, u8>, u64)>,
    heard: Purges,
    /// The last event whose mark the disk says to have, as long as nothing was emptied since.
    marked: u64,
    now: u64,
}

fn location(files: &Memory) -> Location {
    Location::among(Arc::new(files.clone()), Path::new("/store"), LIMITS)
}

fn mark(disk: &mut Disk, (what, at): (Result<u8, u8>, u64), seq: u64) -> std::io::Result<()> {
    match what {
        Ok(object) => disk.purge_object(key(object).object, at, seq),
        Err(group) => disk.purge_group(group, at, seq),
    }
}

impl Life {
    /// The first on an empty folder, or the next one: what is there is trusted as far as its marks reach, and all later
    /// purges are heard again.
    fn begin(files: Memory, purged: Vec<(Result<u8, u8>, u64)>, now: u64) -> Life {
        let mut heard = Purges::default();
        for (what, at) in &purged {
            match what {
                Ok(object) => heard.object(key(*object).object, *at, 0),
                Err(group) => heard.group(*group, *at, 0),
            }
        }
        let mut disk = location(&files).open().ok().map(|(disk, _)| disk);
        let seq = disk.as_ref().map_or(0, Disk::seq);
        for (seq, purge) in (1..).zip(&purged).skip(seq as usize) {
            disk = disk.and_then(|mut disk| mark(&mut disk, *purge, seq).is_ok().then_some(disk));
        }
        let marked = disk.as_ref().map_or(0, Disk::seq);
        Life { files, disk, purged, heard, marked, now }
    }

    fn step(&mut self, step: Step) {
        self.now += 10;
        if self.disk.is_none() {
            self.disk = location(&self.files).begin_anew().ok();
            self.marked = 0;
        }
        let Some(disk) = &mut self.disk else { return self.hear(step) };
        let done = match step {
            Step::Copy(object, ago) => {
                let made_ms = self.now.saturating_sub(ago * 10);
                let group = Some(object % 2);
                if self.heard.forbid(&key(object).object, group, made_ms) {
                    return;
                }
                let facts = Facts { etag: [b'e'; 16], made_ms, group };
                disk.put(key(object), facts, object % 4, &source(object, made_ms)).map(drop)
            }
            Step::Purge(object) => mark(disk, (Ok(object), self.now), self.purged.len() as u64 + 1),
            Step::PurgeGroup(group) => mark(disk, (Err(group), self.now), self.purged.len() as u64 + 1),
            Step::Snapshot => disk.snapshot(),
        };
        match (done, step) {
            (Err(_), _) => self.disk = None,
            (Ok(()), Step::Purge(_) | Step::PurgeGroup(_)) => self.marked = self.purged.len() as u64 + 1,
            (Ok(()), _) => {}
        }
        self.hear(step);
    }

    fn hear(&mut self, step: Step) {
        match step {
            Step::Purge(object) => {
                self.heard.object(key(object).object, self.now, 0);
                self.purged.push((Ok(object), self.now));
            }
            Step::PurgeGroup(group) => {
                self.heard.group(group, self.now, 0);
                self.purged.push((Err(group), self.now));
            }
            Step::Copy(..) | Step::Snapshot => {}
        }
    }
}

/// How many copies an opened store serves; none may be torn, or older than a purge up to this event.
fn served(disk: &mut Disk, purged: &[(Result<u8, u8>, u64)], upto: u64) -> Result<usize, String> {
    let mut served = 0;
    for object in 0..OBJECTS {
        let Some((facts, body)) = disk.get(&key(object)) else { continue };
        served += 1;
        if body != source(object, facts.made_ms) {
            return Err(format!("object {object} is not what its source has"));
        }
        for (seq, (what, at)) in (1..=upto).zip(purged) {
            let meant = matches!(what, Ok(of) if *of == object) || *what == Err(object % 2);
            if meant && facts.made_ms <= *at {
                return Err(format!(
                    "object {object} of {}: purge {seq} at {at} is forgotten",
                    facts.made_ms
                ));
            }
        }
    }
    Ok(served)
}

/// What the next life finds is held against all purges whose marks it says to have; those that this life was told to be
/// marked are among them, or nothing is there.
fn next_life(files: Memory, life: &Life) -> Result<usize, String> {
    let purged = &life.purged;
    let (mut disk, _) = location(&files).open().map_err(|fault| format!("it does not open: {fault}"))?;
    let marked = disk.seq();
    if marked > purged.len() as u64 {
        return Err(format!("event {marked} is marked, which has not come"));
    }
    let served = served(&mut disk, purged, marked)?;
    if marked < life.marked && served > 0 {
        return Err(format!("events are marked up to {marked}, not {}", life.marked));
    }
    Ok(served)
}

/// Every end that this life can have now: a kill, and stops of the machine.
fn every_end(life: &Life) -> Result<usize, String> {
    let mut best = next_life(life.files.after_kill(), life).map_err(|why| format!("killed: {why}"))?;
    for loss in Loss::ALL {
        let after = life.files.after_stop(loss);
        let found = next_life(after, life).map_err(|why| format!("stopped, lost {loss:?}: {why}"))?;
        best = best.max(found);
    }
    Ok(best)
}

/// Copies, marks, three turns of segments, space taken back, copies that are older than a purge.
fn story() -> Vec<Step> {
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

/// Plays the story with a plan of faults; all ends are looked at after each step that `looks` names.
fn play(
    plan: impl FnMut(u64, Kind, usize) -> Option<Fault> + Send + 'static,
    looks: impl Fn(usize) -> bool,
) -> Life {
    let files = Memory::default();
    files.plan(Some(Box::new(plan)));
    let mut life = Life::begin(files, Vec::new(), 1_000);
    for (at, step) in story().into_iter().enumerate() {
        life.step(step);
        if let Some(disk) = life.disk.as_mut().filter(|_| looks(at)) {
            // What this life serves is held against all that it has heard.
            served(disk, &life.purged, life.purged.len() as u64).expect("this life");
        }
        if looks(at) {
            every_end(&life).unwrap_or_else(|why| panic!("after step {at}, {step:?}: {why}"));
        }
    }
    life
}

fn all_kinds() -> Vec<(Kind, usize)> {
    let seen = Arc::new(std::sync::Mutex::new(Vec::new()));
    let its = seen.clone();
    let plan = move |_, kind, length| {
        its.lock().expect("the kinds").push((kind, length));
        None
    };
    let life = play(plan, |_| false);
    assert!(life.disk.is_some());
    seen.lock().expect("the kinds").clone()
}

#[test]
fn without_faults_every_end_leaves_what_was_synced() {
    let life = play(|_, _, _| None, |_| true);
    assert!(every_end(&life).expect("an end") >= 1);
}

#[test]
fn one_operation_that_fails_and_one_that_fails_for_a_while_forget_no_purge() {
    let kinds = all_kinds();
    assert!(kinds.len() > 60, "{} operations", kinds.len());
    for (at, (kind, _)) in kinds.iter().enumerate() {
        for (errno, lasts) in [(EIO, 1), (ENOSPC, 4), (EROFS, 25), (EDQUOT, u64::MAX)] {
            let fails = at as u64..(at as u64).saturating_add(lasts);
            let plan = move |number, _, _| fails.contains(&number).then_some(Fault { errno, torn: 0 });
            let life = std::panic::catch_unwind(|| play(plan, |_| true));
            let life = life.unwrap_or_else(|_| panic!("operation {at}, {kind:?}, errno {errno} for {lasts}"));
            // Once the disk is well again it is used again, without a restart.
            assert!(life.disk.is_some() || lasts > 4, "operation {at}, {kind:?}: not back");
        }
    }
}

#[test]
fn a_disk_that_takes_no_writes_but_can_be_read_forgets_no_purge() {
    let reads = |kind| matches!(kind, Kind::Names | Kind::Read | Kind::Open | Kind::MakeFolder);
    for at in 0..all_kinds().len() as u64 {
        let plan =
            move |number, kind, _| (number >= at && !reads(kind)).then_some(Fault { errno: EROFS, torn: 0 });
        let life = std::panic::catch_unwind(|| play(plan, |_| true));
        life.unwrap_or_else(|_| panic!("no writes from operation {at} on"));
    }
}

#[test]
fn a_write_torn_at_any_byte_forgets_no_purge_and_serves_nothing_torn() {
    let mut torn = 0;
    for (at, (kind, length)) in all_kinds().into_iter().enumerate() {
        for bytes in (0..=length).filter(|_| kind == Kind::Write) {
            torn += 1;
            // Killed there: nothing more is done. And told there, as of a full disk: the program goes on.
            for lasts in [u64::MAX, 1] {
                let fails = at as u64..(at as u64).saturating_add(lasts);
                let plan = move |number, _, _| {
                    fails.contains(&number).then_some(Fault { errno: ENOSPC, torn: bytes })
                };
                let life = std::panic::catch_unwind(|| play(plan, |step| step == 19));
                life.unwrap_or_else(|_| panic!("operation {at} torn at byte {bytes} of {length}"));
            }
        }
    }
    assert!(torn > 2_000, "{torn} places");
}

#[test]
fn a_snapshot_tells_marks_whose_segments_are_gone_though_the_machine_stops_behind_it() {
    let mut life = Life::begin(Memory::default(), Vec::new(), 1_000);
    let copies = [2, 5].into_iter().map(|object| Step::Copy(object, 0));
    let more = [5, 0, 4, 0, 4, 5, 1].into_iter().map(|object| Step::Copy(object, 0));
    for step in copies.chain([Step::Purge(1)]).chain(more).chain([Step::Snapshot]) {
        life.step(step);
        every_end(&life).unwrap_or_else(|why| panic!("after {step:?}: {why}"));
    }
    assert!(life.disk.is_some_and(|disk| disk.seq() == 1));
}

#[test]
fn a_copy_whose_group_is_not_known_counts_as_one_of_any() {
    let files = Memory::default();
    let (mut disk, _) = location(&files).open().expect("a disk");
    let facts = |made_ms, group| Facts { etag: [b'e'; 16], made_ms, group };
    for (object, group) in [(1, None), (2, Some(1)), (3, Some(2))] {
        disk.put(key(object), facts(10, group), 1, b"bytes").expect("kept");
    }
    disk.purge_group(1, 20, 1).expect("a mark");
    let served = [1, 2, 3].map(|object| disk.get(&key(object)).is_some());
    assert_eq!(served, [false, false, true]);
    let kept = [20, 21].map(|made_ms| disk.put(key(1), facts(made_ms, None), 1, b"bytes").expect("put"));
    assert_eq!(kept, [false, true]);
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

    /// Several lives on one disk, with faults that come and go, and any end of each.
    #[test]
    fn lives_on_a_failing_disk_forget_no_purge(
        lives in prop::collection::vec((prop::collection::vec(any_step(), 1..60), any::<u64>(), 0_usize..4), 1..6),
        often in 1_u64..40,
    ) {
        let (mut files, mut purged, mut now) = (Memory::default(), Vec::new(), 1_000);
        for (steps, seed, end) in lives {
            let mut drawn = seed | 1;
            files.plan(Some(Box::new(move |_, _, length| {
                // xorshift: the same faults for the same seed.
                drawn ^= drawn << 13;
                drawn ^= drawn >> 7;
                drawn ^= drawn << 17;
                let torn = (drawn >> 20) as usize % (length + 1);
                (drawn % 100 < often / 2).then_some(Fault { errno: EIO, torn })
            })));
            let mut life = Life::begin(files.clone(), purged, now);
            for step in steps {
                life.step(step);
                if let Some(disk) = &mut life.disk {
                    let found = served(disk, &life.purged, life.purged.len() as u64);
                    prop_assert!(found.is_ok(), "this life: {:?}", found);
                }
            }
            life.disk = None;
            let found = every_end(&life);
            prop_assert!(found.is_ok(), "{:?}", found);
            files = match end {
                0 => life.files.after_kill(),
                end => life.files.after_stop(Loss::ALL[end - 1]),
            };
            (purged, now) = (life.purged, life.now);
        }
    }
}
