//! A disk that failed, was slow or could not be told of a purge comes back by itself, and nobody waits for it.

use copperroute_cache_store::disk::{Disk, Limits, Location, Sync};
use copperroute_cache_store::record::{Facts, Key};
use copperroute_cache_store::reopening::{FIRST_WAIT, LONGEST_WAIT, Reopening, WELL_AFTER};
use copperroute_cache_store::worker::{Answers, Worker};
use copperroute_routing::interface::Nanos;
use expect_test::expect;
use faulty::{Fault, Kind, Loss, Memory};
use proptest::prelude::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

mod faulty;

const EIO: i32 = 5;
const LIMITS: Limits = Limits { most_bytes: 400_000, segment_bytes: 40_000, sync: Sync::Segments };
const SOON: Duration = Duration::from_secs(10);

fn seconds(s: f64) -> Nanos {
    Nanos((s * 1e9) as u64)
}

#[test]
fn waits_grow_to_a_bound_and_begin_small_after_a_time_without_trouble() {
    let mut reopening = Reopening::default();
    let (mut trace, mut now) = (String::new(), seconds(100.0));
    let mut fails = |reopening: &mut Reopening, now: Nanos| {
        let begins = if reopening.failed(now) { " begins" } else { "" };
        let due = reopening.due().expect("a time");
        trace.push_str(&format!("{:.0}:{begins} next {:.0}\n", now.secs(), due.secs()));
        due
    };
    for _ in 0..8 {
        now = fails(&mut reopening, now);
    }
    let lasted = reopening.succeeded(now).expect("it had trouble");
    assert!(reopening.due().is_none() && reopening.succeeded(now).is_none());
    now = fails(&mut reopening, now.after(seconds(59.0)));
    reopening.succeeded(now);
    fails(&mut reopening, now.after(seconds(60.0)));
    trace.push_str(&format!("the first lasted {:.0} s\n", lasted.secs()));
    expect![[r#"
        100: begins next 101
        101: next 103
        103: next 107
        107: next 115
        115: next 131
        131: next 163
        163: next 223
        223: next 283
        342: begins next 402
        462: begins next 463
        the first lasted 183 s
    "#]]
    .assert_eq(&trace);
}

proptest! {
    /// Whatever it does, a disk is tried again within the longest wait, and one that fails at once after each return is
    /// emptied no more often than the waits allow.
    #[test]
    fn a_disk_is_tried_neither_too_late_nor_too_often(fails in prop::collection::vec((any::<bool>(), 0_u64..90_000), 1..200)) {
        let (mut reopening, mut now, mut waited) = (Reopening::default(), Nanos(1), Nanos::ZERO);
        let mut well_since = Nanos::ZERO;
        for (try_fails, well_ms) in fails {
            match reopening.due() {
                None => {
                    now = now.after(Nanos(well_ms * 1_000_000));
                    prop_assert!(reopening.failed(now));
                    let wait = reopening.due().expect("a time").since(now);
                    let floor = if now.since(well_since) >= WELL_AFTER { FIRST_WAIT } else { waited };
                    prop_assert!(wait >= floor && wait <= LONGEST_WAIT);
                    waited = wait;
                }
                Some(due) => {
                    now = due;
                    if try_fails {
                        prop_assert!(!reopening.failed(now));
                        waited = reopening.due().expect("a time").since(now);
                        prop_assert!(waited >= FIRST_WAIT && waited <= LONGEST_WAIT);
                    } else {
                        reopening.succeeded(now);
                        well_since = now;
                    }
                }
            }
        }
    }
}

fn key(number: u8) -> Key {
    Key { content_type: 0, object: [number; 16], part: 0 }
}

const FACTS: Facts = Facts { etag: [b'e'; 16], made_ms: 5, group: None };

/// Tells what it hears; that the disk is off it takes so long to hear.
struct Tell(Sender<String>, Duration);

impl Answers for Tell {
    fn read(&self, ticket: u64, copy: Option<(Facts, Vec<u8>)>) {
        let _ = self.0.send(format!("{ticket}: {:?}", copy.map(|(_, body)| body.len())));
    }
    fn marked(&self, seq: u64) {
        let _ = self.0.send(format!("marked {seq}"));
    }
    fn off(&self) {
        let _ = self.0.send("off".into());
        std::thread::sleep(self.1);
    }
    fn ready(&self, opened: u64) {
        let _ = self.0.send(format!("ready {opened}"));
    }
}

/// A worker on a disk in memory, of which operations fail as the plan says.
fn worker(files: &Memory) -> (Worker, Receiver<String>) {
    worker_heard_after(files, Duration::ZERO)
}

fn worker_heard_after(files: &Memory, slow: Duration) -> (Worker, Receiver<String>) {
    let location = Location::among(Arc::new(files.clone()), Path::new("/store"), LIMITS);
    let (disk, _): (Disk, _) = location.open().expect("a disk");
    let (tell, told) = channel();
    (Worker::start(disk, Tell(tell, slow)), told)
}

fn next(told: &Receiver<String>) -> String {
    told.recv_timeout(SOON).expect("something is told")
}

#[test]
fn a_disk_that_fails_for_a_while_comes_back_empty_and_says_so_once() {
    for failing in [Kind::Write, Kind::Sync, Kind::Open, Kind::SyncFolder, Kind::Remove] {
        let files = Memory::default();
        let (mut worker, told) = worker(&files);
        assert!(worker.write(key(1), FACTS, 1, b"before"[..].into()) && worker.read(key(1), 1));
        assert_eq!(next(&told), "1: Some(6)");
        let (fails, tries) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicUsize::new(0)));
        let (its, tried) = (fails.clone(), tries.clone());
        files.plan(Some(Box::new(move |_, kind, _| {
            // A mark always fails; what else does so shows at the tries.
            let first = kind == Kind::Write && tried.load(Ordering::Relaxed) == 0;
            let due = its.load(Ordering::Relaxed) && (first || kind == failing);
            due.then(|| tried.fetch_add(1, Ordering::Relaxed)).map(|_| Fault { errno: EIO, torn: 3 })
        })));
        worker.purge_object(key(2).object, 6, 3);
        assert_eq!(next(&told), "off", "{failing:?}");
        assert!(worker.is_off() && !worker.read(key(1), 2));
        std::thread::sleep(Duration::from_millis(1_400));
        fails.store(false, Ordering::Relaxed);
        assert_eq!(next(&told), "ready 2", "{failing:?}: once off, once on again");
        // Until the purges that it has to hear are handed over, it is given nothing.
        assert!(worker.is_off() && !worker.write(key(3), FACTS, 1, b"too soon"[..].into()));
        worker.resume(2);
        assert!(worker.read(key(1), 3) && worker.write(key(4), FACTS, 1, b"after"[..].into()));
        worker.purge_object(key(5).object, 7, 4);
        assert!(worker.read(key(3), 4) && worker.read(key(4), 5));
        assert!(worker.stop());
        let said: Vec<_> = told.try_iter().collect();
        assert_eq!(said, ["3: None", "marked 4", "4: None", "5: Some(5)"], "{failing:?}");
        for loss in Loss::ALL {
            let files = Arc::new(files.after_stop(loss));
            let (next, found) = Location::among(files, Path::new("/store"), LIMITS).open().expect("a disk");
            assert_eq!((next.seq(), found.copies), (4, 1), "{failing:?}, {loss:?}");
        }
    }
}

#[test]
fn a_disk_that_could_not_be_opened_is_tried_again() {
    let files = Memory::default();
    let location = Location::among(Arc::new(files.clone()), Path::new("/store"), LIMITS);
    let (tell, told) = channel();
    let mut worker = Worker::start_at(location, Err("Input/output error".into()), Tell(tell, Duration::ZERO));
    assert!(worker.is_off() && !worker.read(key(1), 1));
    assert_eq!([next(&told), next(&told)], ["off", "ready 1"]);
    worker.resume(1);
    assert!(worker.write(key(1), FACTS, 1, b"bytes"[..].into()) && worker.read(key(1), 2));
    assert_eq!(next(&told), "2: Some(5)");
    assert!(worker.stop());
}

/// A plan under which the disk hangs at its next write until the sender is dropped.
fn hanging(files: &Memory) -> Sender<()> {
    let (hold, held) = channel::<()>();
    let held = Mutex::new(held);
    files.plan(Some(Box::new(move |_, kind, _| {
        if kind == Kind::Write {
            let _ = held.lock().expect("the plan").recv();
        }
        None
    })));
    hold
}

#[test]
fn what_waited_when_a_purge_could_not_be_handed_over_is_not_given_to_the_next_store() {
    let files = Memory::default();
    // The first try is due before what waits has been gone through.
    let (mut worker, told) = worker_heard_after(&files, Duration::from_millis(1_200));
    let hold = hanging(&files);
    let mut waits = 0;
    while worker.write(key(1), FACTS, 1, b"older than the purge"[..].into()) {
        waits += 1;
    }
    assert!(waits >= 1_024);
    worker.purge_object(key(1).object, 6, 3);
    assert!(worker.is_off(), "the mark could not be handed over");
    drop(hold);
    assert_eq!([next(&told), next(&told)], ["off", "ready 2"]);
    worker.resume(2);
    assert!(worker.read(key(1), 1));
    assert_eq!(next(&told), "1: None");
    assert!(worker.stop());
}

#[test]
fn a_disk_that_hangs_holds_up_no_end() {
    let files = Memory::default();
    let (worker, _told) = worker(&files);
    let hold = hanging(&files);
    let began = Instant::now();
    while worker.write(key(1), FACTS, 1, b"bytes"[..].into()) {}
    assert!(began.elapsed() < Duration::from_secs(1), "nobody waits for it");
    assert!(!worker.stop());
    assert!(began.elapsed() < Duration::from_secs(4), "it took {:?}", began.elapsed());
    drop(hold);
}
