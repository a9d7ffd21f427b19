//! Reopening of a store that was closed because the disk failed or was slow, or because a purge did not fit in the
//! queue. Callers never wait for the disk.

use copperroute_cache_store::disk::{Disk, Limits, Location, Sync};
use copperroute_cache_store::record::{Facts, Key};
use copperroute_cache_store::reopening::{BACKOFF_RESET_AFTER, INITIAL_BACKOFF, MAX_BACKOFF, Reopening};
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
/// Time to wait for an answer before the test fails.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

fn seconds(s: f64) -> Nanos {
    Nanos((s * 1e9) as u64)
}

#[test]
fn backoff_grows_to_a_bound_and_resets_after_a_time_without_failures() {
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
    let lasted = reopening.succeeded(now).expect("a failure before");
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
    /// A failed disk is tried again within the longest backoff, and one that fails soon after each recovery is emptied
    /// no more often than the backoff allows.
    #[test]
    fn a_failed_disk_is_retried_neither_too_late_nor_too_often(
        failures in prop::collection::vec((any::<bool>(), 0_u64..90_000), 1..200),
    ) {
        let (mut reopening, mut now, mut last_backoff) = (Reopening::default(), Nanos(1), Nanos::ZERO);
        let mut working_since = Nanos::ZERO;
        for (attempt_fails, working_ms) in failures {
            match reopening.due() {
                None => {
                    now = now.after(Nanos(working_ms * 1_000_000));
                    prop_assert!(reopening.failed(now));
                    let backoff = reopening.due().expect("a time").since(now);
                    let reset = now.since(working_since) >= BACKOFF_RESET_AFTER;
                    let floor = if reset { INITIAL_BACKOFF } else { last_backoff };
                    prop_assert!(backoff >= floor && backoff <= MAX_BACKOFF);
                    last_backoff = backoff;
                }
                Some(due) => {
                    now = due;
                    if attempt_fails {
                        prop_assert!(!reopening.failed(now));
                        last_backoff = reopening.due().expect("a time").since(now);
                        prop_assert!(last_backoff >= INITIAL_BACKOFF && last_backoff <= MAX_BACKOFF);
                    } else {
                        reopening.succeeded(now);
                        working_since = now;
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

/// Sends each answer as a line of text. `off` blocks the disk's thread for the given time.
struct AnswerLines(Sender<String>, Duration);

impl Answers for AnswerLines {
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
    fn ready(&self, generation: u64) {
        let _ = self.0.send(format!("ready {generation}"));
    }
}

/// A worker on in-memory files, and the lines of its answers.
fn worker(files: &Memory) -> (Worker, Receiver<String>) {
    worker_with_slow_off(files, Duration::ZERO)
}

/// The same; `off` blocks the disk's thread for this time.
fn worker_with_slow_off(files: &Memory, off_takes: Duration) -> (Worker, Receiver<String>) {
    let location = Location::with_files(Arc::new(files.clone()), Path::new("/store"), LIMITS);
    let (disk, _): (Disk, _) = location.open().expect("open the store");
    let (sender, lines) = channel();
    (Worker::start(disk, AnswerLines(sender, off_takes)), lines)
}

fn next(lines: &Receiver<String>) -> String {
    lines.recv_timeout(ANSWER_TIMEOUT).expect("an answer")
}

#[test]
fn a_disk_that_fails_for_a_while_reopens_empty_and_is_reported_once() {
    use Kind::{Open, Remove, Sync as SyncFile, SyncFolder, Write};
    for failing in [Write, SyncFile, Open, SyncFolder, Remove] {
        let files = Memory::default();
        let (mut worker, lines) = worker(&files);
        assert!(worker.write(key(1), FACTS, 1, b"before"[..].into()) && worker.read(key(1), 1));
        assert_eq!(next(&lines), "1: Some(6)");
        let (failing_now, faults) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicUsize::new(0)));
        let (active, count) = (failing_now.clone(), faults.clone());
        files.plan(Some(Box::new(move |_, operation, _| {
            // The first write, which records the purge, always fails; the other operations fail at the attempts to
            // reopen.
            let first = operation == Write && count.load(Ordering::Relaxed) == 0;
            let fails = active.load(Ordering::Relaxed) && (first || operation == failing);
            fails.then(|| count.fetch_add(1, Ordering::Relaxed)).map(|_| Fault { errno: EIO, torn: 3 })
        })));
        worker.purge_object(key(2).object, 6, 3);
        assert_eq!(next(&lines), "off", "{failing:?}");
        assert!(worker.is_off() && !worker.read(key(1), 2));
        std::thread::sleep(Duration::from_millis(1_400));
        failing_now.store(false, Ordering::Relaxed);
        assert_eq!(next(&lines), "ready 2", "{failing:?}: reported off once, ready once");
        // It is not used before the caller resumes it and hands over the purges received meanwhile.
        assert!(worker.is_off() && !worker.write(key(3), FACTS, 1, b"too soon"[..].into()));
        worker.resume(2);
        assert!(worker.read(key(1), 3) && worker.write(key(4), FACTS, 1, b"after"[..].into()));
        worker.purge_object(key(5).object, 7, 4);
        assert!(worker.read(key(3), 4) && worker.read(key(4), 5));
        assert!(worker.stop());
        let rest: Vec<_> = lines.try_iter().collect();
        assert_eq!(rest, ["3: None", "marked 4", "4: None", "5: Some(5)"], "{failing:?}");
        for loss in Loss::ALL {
            let files = Arc::new(files.after_stop(loss));
            let (next, found) =
                Location::with_files(files, Path::new("/store"), LIMITS).open().expect("open the store");
            assert_eq!((next.seq(), found.copies), (4, 1), "{failing:?}, {loss:?}");
        }
    }
}

#[test]
fn a_store_that_could_not_be_opened_is_opened_again() {
    let files = Memory::default();
    let location = Location::with_files(Arc::new(files.clone()), Path::new("/store"), LIMITS);
    let (sender, lines) = channel();
    let answers = AnswerLines(sender, Duration::ZERO);
    let mut worker = Worker::start_at(location, Err("Input/output error".into()), answers);
    assert!(worker.is_off() && !worker.read(key(1), 1));
    assert_eq!([next(&lines), next(&lines)], ["off", "ready 1"]);
    worker.resume(1);
    assert!(worker.write(key(1), FACTS, 1, b"bytes"[..].into()) && worker.read(key(1), 2));
    assert_eq!(next(&lines), "2: Some(5)");
    assert!(worker.stop());
}

/// Makes every write hang until the returned sender is dropped.
fn hang_writes(files: &Memory) -> Sender<()> {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    files.plan(Some(Box::new(move |_, operation, _| {
        if operation == Kind::Write {
            let _ = released.lock().expect("lock the receiver").recv();
        }
        None
    })));
    release
}

#[test]
fn jobs_queued_before_a_lost_purge_are_not_done_on_the_reopened_store() {
    let files = Memory::default();
    // The first attempt to reopen is due before the queue has been worked off.
    let (mut worker, lines) = worker_with_slow_off(&files, Duration::from_millis(1_200));
    let release = hang_writes(&files);
    let mut queued = 0;
    while worker.write(key(1), FACTS, 1, b"older than the purge"[..].into()) {
        queued += 1;
    }
    assert!(queued >= 1_024);
    worker.purge_object(key(1).object, 6, 3);
    assert!(worker.is_off(), "the purge did not fit in the queue");
    drop(release);
    assert_eq!([next(&lines), next(&lines)], ["off", "ready 2"]);
    worker.resume(2);
    assert!(worker.read(key(1), 1));
    assert_eq!(next(&lines), "1: None");
    assert!(worker.stop());
}

#[test]
fn a_hanging_disk_does_not_delay_shutdown() {
    let files = Memory::default();
    let (worker, _lines) = worker(&files);
    let release = hang_writes(&files);
    let started = Instant::now();
    while worker.write(key(1), FACTS, 1, b"bytes"[..].into()) {}
    assert!(started.elapsed() < Duration::from_secs(1), "writers wait for the disk");
    assert!(!worker.stop());
    assert!(started.elapsed() < Duration::from_secs(4), "shutdown took {:?}", started.elapsed());
    drop(release);
}
