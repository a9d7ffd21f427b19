//! The disk's thread: what is asked of the disk waits in a bounded queue, and nobody waits for it. A disk that is slow
//! or fails is given up, as it is when a mark of a purge can't be handed over: what is on it may lack marks, or bytes
//! that a failed sync has lost. It is tried again by itself, and is empty then. One line tells when trouble begins, one
//! when it is over.

use crate::disk::{Disk, Location};
use crate::record::{Facts, Key};
use crate::reopening::Reopening;
use copperroute_routing::interface::Nanos;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What may wait for the disk.
const WAITING: usize = 1024;
/// A disk that takes so long for one thing is of no use.
const SLOW: Duration = Duration::from_millis(1_500);
/// At the end the disk has so long for all that waits; a disk that hangs must not hold up the end of the program.
const ENDS_WITHIN: Duration = Duration::from_secs(2);
/// How often it is looked whether the thread has ended.
const ENDED_YET: Duration = Duration::from_millis(2);
/// No store is open.
const OFF: u64 = 0;

/// Who hears of what the disk has done. Called on the disk's thread.
pub trait Answers: Send + 'static {
    /// A copy was read for a ticket, or none is there.
    fn read(&self, ticket: u64, copy: Option<(Facts, Vec<u8>)>);
    /// The purges up to this event of the change log are marked.
    fn marked(&self, seq: u64);
    /// The disk is off until `ready` says otherwise.
    fn off(&self);
    /// The disk is there again, empty, under this number. It is used once [`Worker::resume`] is told of it.
    fn ready(&self, _opened: u64) {}
}

enum Work {
    Read(Key, u64),
    Write(Key, Facts, u8, Arc<[u8]>),
    PurgeObject([u8; 16], u64, u64),
    PurgeGroup(u8, u64, u64),
    Stop,
}

/// What is asked of the store that was opened under a number. A later one must not be given it: purges may have come
/// between, and are marked nowhere.
struct Job {
    opened: u64,
    work: Work,
}

/// The way to the disk's thread.
#[derive(Debug)]
pub struct Worker {
    jobs: SyncSender<Job>,
    /// The number under which the store is open now.
    open: Arc<AtomicU64>,
    /// The one that is used here.
    used: u64,
    thread: Option<JoinHandle<()>>,
}

/// The thread's own state.
struct DiskThread<A> {
    location: Location,
    disk: Option<Disk>,
    opened: u64,
    open: Arc<AtomicU64>,
    reopening: Reopening,
    started: Instant,
    answers: A,
}

impl<A: Answers> DiskThread<A> {
    fn now(&self) -> Nanos {
        Nanos(self.started.elapsed().as_nanos() as u64)
    }

    fn run(mut self, jobs: &Receiver<Job>) {
        loop {
            let received = match self.reopening.due() {
                None => jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(due) => jobs.recv_timeout(Duration::from_nanos(due.since(self.now()).0)),
            };
            match received {
                Ok(Job { work: Work::Stop, .. }) => return self.stop(),
                Ok(job) => self.carry_out(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.reopening.due().is_some_and(|due| self.now() >= due) {
                self.reopen();
            }
        }
    }

    fn carry_out(&mut self, job: Job) {
        if self.disk.is_some() && self.open.load(Ordering::Acquire) != self.opened {
            // A copy that is not known to be purged must not be served, and can't be told apart any more.
            self.give_up("a purge could not be handed over");
        }
        let Some(disk) = self.disk.as_mut().filter(|_| job.opened == self.opened) else {
            // What was asked before it went off is answered all the same.
            if let Work::Read(_, ticket) = job.work {
                self.answers.read(ticket, None);
            }
            return;
        };
        let begun = Instant::now();
        let done = match job.work {
            Work::Read(key, ticket) => {
                self.answers.read(ticket, disk.get(&key));
                Ok(())
            }
            Work::Write(key, facts, rank, body) => disk.put(key, facts, rank, &body).map(drop),
            Work::PurgeObject(object, at_ms, seq) => {
                disk.purge_object(object, at_ms, seq).map(|()| self.answers.marked(seq))
            }
            Work::PurgeGroup(group, at_ms, seq) => {
                disk.purge_group(group, at_ms, seq).map(|()| self.answers.marked(seq))
            }
            Work::Stop => Ok(()),
        };
        let took = begun.elapsed();
        match done {
            Err(fault) => self.give_up(&fault.to_string()),
            Ok(()) if took > SLOW => self.give_up(&too_slow(took)),
            Ok(()) => {}
        }
    }

    /// The store is not used any more.
    fn give_up(&mut self, why: &str) {
        self.open.store(OFF, Ordering::Release);
        self.disk = None;
        if self.reopening.failed(self.now()) {
            log::warn!("store: {}: off, tried again by itself: {why}", self.location);
            self.answers.off();
        }
    }

    /// Tries the disk again. What is there is not looked at: purges since it was given up are marked nowhere.
    fn reopen(&mut self) {
        let begun = Instant::now();
        let disk = self.location.begin_anew();
        let took = begun.elapsed();
        match disk {
            Err(fault) => self.give_up(&fault.to_string()),
            Ok(_) if took > SLOW => self.give_up(&too_slow(took)),
            Ok(disk) => {
                self.opened += 1;
                self.disk = Some(disk);
                let lasted = self.reopening.succeeded(self.now()).unwrap_or_default();
                log::info!("store: {}: on again after {:.1} s, empty", self.location, lasted.secs());
                self.open.store(self.opened, Ordering::Release);
                self.answers.ready(self.opened);
            }
        }
    }

    fn stop(mut self) {
        let Some(disk) = &mut self.disk else { return };
        if let Err(fault) = disk.snapshot().and_then(|()| disk.sync()) {
            log::warn!("store: no snapshot: {fault}");
        }
    }
}

fn too_slow(took: Duration) -> String {
    format!("it took {} ms", took.as_millis())
}

impl Worker {
    /// Starts the thread with an open disk.
    pub fn start(disk: Disk, answers: impl Answers) -> Worker {
        Worker::start_at(disk.location(), Ok(disk), answers)
    }

    /// Starts it with what opening the disk at a location came to: where it failed, that is said and tried again.
    pub fn start_at(location: Location, disk: Result<Disk, String>, answers: impl Answers) -> Worker {
        let (jobs, waiting) = sync_channel(WAITING);
        let opened = if disk.is_ok() { 1 } else { OFF };
        let open = Arc::new(AtomicU64::new(opened));
        let its = open.clone();
        let thread = std::thread::spawn(move || {
            let (reopening, started) = (Reopening::default(), Instant::now());
            let mut thread =
                DiskThread { location, disk: None, opened, open: its, reopening, started, answers };
            match disk {
                Ok(disk) => thread.disk = Some(disk),
                Err(why) => thread.give_up(&why),
            }
            thread.run(&waiting);
        });
        Worker { jobs, open, used: opened, thread: Some(thread) }
    }

    /// Whether the disk is off.
    pub fn is_off(&self) -> bool {
        self.used == OFF || self.open.load(Ordering::Acquire) != self.used
    }

    /// The disk that came back under this number is used from now on: all purges heard from now on are handed over.
    pub fn resume(&mut self, opened: u64) {
        self.used = opened;
    }

    fn job(&self, work: Work) -> Job {
        Job { opened: self.used, work }
    }

    /// Asks for a copy under a ticket; tells whether an answer will come.
    pub fn read(&self, key: Key, ticket: u64) -> bool {
        !self.is_off() && self.jobs.try_send(self.job(Work::Read(key, ticket))).is_ok()
    }

    /// Hands a copy over to be kept. With too much waiting it is not: that costs an attempt later.
    pub fn write(&self, key: Key, facts: Facts, rank: u8, body: Arc<[u8]>) -> bool {
        !self.is_off() && self.jobs.try_send(self.job(Work::Write(key, facts, rank, body))).is_ok()
    }

    /// A mark that can't be handed over turns the disk off; its thread says so.
    fn mark(&self, work: Work) {
        if !self.is_off() && self.jobs.try_send(self.job(work)).is_err() {
            let _ = self.open.compare_exchange(self.used, OFF, Ordering::AcqRel, Ordering::Acquire);
        }
    }

    /// An object was purged.
    pub fn purge_object(&self, object: [u8; 16], at_ms: u64, seq: u64) {
        self.mark(Work::PurgeObject(object, at_ms, seq));
    }

    /// A group was purged.
    pub fn purge_group(&self, group: u8, at_ms: u64, seq: u64) {
        self.mark(Work::PurgeGroup(group, at_ms, seq));
    }

    /// Ends the thread once all that waits is done, and tells whether it ended well. One that hangs is left behind.
    pub fn stop(mut self) -> bool {
        let begun = Instant::now();
        while let Err(TrySendError::Full(_)) = self.jobs.try_send(self.job(Work::Stop)) {
            if begun.elapsed() > ENDS_WITHIN {
                return false;
            }
            std::thread::sleep(ENDED_YET);
        }
        ends(self.thread.take(), begun)
    }
}

fn ends(thread: Option<JoinHandle<()>>, begun: Instant) -> bool {
    let Some(thread) = thread else { return false };
    while !thread.is_finished() {
        if begun.elapsed() > ENDS_WITHIN {
            return false;
        }
        std::thread::sleep(ENDED_YET);
    }
    thread.join().is_ok()
}
