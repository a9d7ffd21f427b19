//! Runs the disk tier on its own thread. Callers hand jobs over through a bounded queue and never wait for the disk;
//! the thread reports results through [`Answers`].
//!
//! The store is closed if an operation fails or is slow, or if a purge does not fit in the queue: purges may be
//! missing from it, or bytes that a failed sync lost. The thread reopens it, empty, after a backoff. One log line
//! tells when the disk fails and one when it works again.
//!
//! Each opening of the store has a generation number. Callers start to use a reopened store with [`Worker::resume`].

use crate::disk::{Disk, Location};
use crate::record::{Facts, Key};
use crate::reopening::Reopening;
use copperroute_routing::interface::Nanos;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of jobs that the queue holds.
const QUEUE_CAPACITY: usize = 1024;
/// Longest time of one operation. A slower disk is of no use, so the store is then closed.
const MAX_OPERATION_TIME: Duration = Duration::from_millis(1_500);
/// Time for the queued jobs at shutdown; a disk that hangs must not hold up the end of the program.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the checks whether the thread has ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Generation number that means that no store is open.
const OFF: u64 = 0;

/// Receives what the disk tier has done. Called on the disk's thread.
pub trait Answers: Send + 'static {
    /// A read has ended: the copy for this ticket, or `None` on a miss.
    fn read(&self, ticket: u64, copy: Option<(Facts, Vec<u8>)>);
    /// The purges up to this change log event are recorded on disk.
    fn marked(&self, seq: u64);
    /// The store is closed until `ready` is called.
    fn off(&self);
    /// The store is open again, empty, with this generation number. It is used after [`Worker::resume`].
    fn ready(&self, _generation: u64) {}
}

enum Work {
    Read(Key, u64),
    Write(Key, Facts, u8, Arc<[u8]>),
    PurgeObject([u8; 16], u64, u64),
    PurgeGroup(u8, u64, u64),
    Stop,
}

/// Work for the store of one generation. A store of a later generation must not do it: purges received between the two
/// are recorded nowhere.
struct Job {
    generation: u64,
    work: Work,
}

/// Handle to the disk's thread.
#[derive(Debug)]
pub struct Worker {
    jobs: SyncSender<Job>,
    /// Generation of the open store, or [`OFF`]; shared with the thread.
    open_generation: Arc<AtomicU64>,
    /// Generation that this handle uses.
    generation: u64,
    thread: Option<JoinHandle<()>>,
}

/// State of the thread.
struct DiskThread<A> {
    location: Location,
    disk: Option<Disk>,
    /// Generation of the last store that was opened.
    generation: u64,
    open_generation: Arc<AtomicU64>,
    backoff: Reopening,
    started: Instant,
    answers: A,
}

impl<A: Answers> DiskThread<A> {
    fn now(&self) -> Nanos {
        Nanos(self.started.elapsed().as_nanos() as u64)
    }

    fn run(mut self, jobs: &Receiver<Job>) {
        loop {
            let received = match self.backoff.due() {
                None => jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(due) => jobs.recv_timeout(Duration::from_nanos(due.since(self.now()).0)),
            };
            match received {
                Ok(Job { work: Work::Stop, .. }) => return self.stop(),
                Ok(job) => self.execute(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.backoff.due().is_some_and(|due| self.now() >= due) {
                self.reopen();
            }
        }
    }

    fn execute(&mut self, job: Job) {
        if self.disk.is_some() && self.open_generation.load(Ordering::Acquire) != self.generation {
            // A purge is missing, so no copy in the store is known not to be purged.
            self.close("a purge did not fit in the queue of disk operations");
        }
        let Some(disk) = self.disk.as_mut().filter(|_| job.generation == self.generation) else {
            // Reads that were queued before the store was closed still get an answer.
            if let Work::Read(_, ticket) = job.work {
                self.answers.read(ticket, None);
            }
            return;
        };
        let started = Instant::now();
        let result = match job.work {
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
        let duration = started.elapsed();
        match result {
            Err(error) => self.close(&error.to_string()),
            Ok(()) if duration > MAX_OPERATION_TIME => self.close(&too_slow(duration)),
            Ok(()) => {}
        }
    }

    /// Closes the store after a failure and schedules the next attempt to open it.
    fn close(&mut self, why: &str) {
        self.open_generation.store(OFF, Ordering::Release);
        self.disk = None;
        if self.backoff.failed(self.now()) {
            log::warn!("store: {}: off, tried again by itself: {why}", self.location);
            self.answers.off();
        }
    }

    /// Opens an empty store. What is on the disk is not read: purges since the store was closed are recorded nowhere.
    fn reopen(&mut self) {
        let started = Instant::now();
        let disk = self.location.open_empty();
        let duration = started.elapsed();
        match disk {
            Err(error) => self.close(&error.to_string()),
            Ok(_) if duration > MAX_OPERATION_TIME => self.close(&too_slow(duration)),
            Ok(disk) => {
                self.generation += 1;
                self.disk = Some(disk);
                let lasted = self.backoff.succeeded(self.now()).unwrap_or_default();
                log::info!("store: {}: on again after {:.1} s, empty", self.location, lasted.secs());
                self.open_generation.store(self.generation, Ordering::Release);
                self.answers.ready(self.generation);
            }
        }
    }

    /// Writes a last snapshot, so that the next start reads less of the log.
    fn stop(mut self) {
        let Some(disk) = &mut self.disk else { return };
        if let Err(error) = disk.snapshot().and_then(|()| disk.sync()) {
            log::warn!("store: {}: no snapshot written at shutdown: {error}", self.location);
        }
    }
}

fn too_slow(duration: Duration) -> String {
    let (duration_ms, max_ms) = (duration.as_millis(), MAX_OPERATION_TIME.as_millis());
    format!("an operation took {duration_ms} ms, more than {max_ms} ms")
}

impl Worker {
    /// Starts the thread with an open store.
    pub fn start(disk: Disk, answers: impl Answers) -> Worker {
        Worker::start_at(disk.location(), Ok(disk), answers)
    }

    /// Starts the thread with the result of opening the store at a location. An error is logged, and the store is
    /// opened again after a backoff.
    pub fn start_at(location: Location, disk: Result<Disk, String>, answers: impl Answers) -> Worker {
        let (jobs, queue) = sync_channel(QUEUE_CAPACITY);
        let generation = if disk.is_ok() { 1 } else { OFF };
        let open_generation = Arc::new(AtomicU64::new(generation));
        let shared = open_generation.clone();
        let thread = std::thread::spawn(move || {
            let (backoff, started) = (Reopening::default(), Instant::now());
            let mut thread = DiskThread {
                location,
                disk: None,
                generation,
                open_generation: shared,
                backoff,
                started,
                answers,
            };
            match disk {
                Ok(disk) => thread.disk = Some(disk),
                Err(why) => thread.close(&why),
            }
            thread.run(&queue);
        });
        Worker { jobs, open_generation, generation, thread: Some(thread) }
    }

    /// Whether the store is closed, or was reopened and [`Worker::resume`] has not been called yet.
    pub fn is_off(&self) -> bool {
        self.generation == OFF || self.open_generation.load(Ordering::Acquire) != self.generation
    }

    /// Uses the reopened store of this generation. From now on the caller must hand over every purge that it receives.
    pub fn resume(&mut self, generation: u64) {
        self.generation = generation;
    }

    fn job(&self, work: Work) -> Job {
        Job { generation: self.generation, work }
    }

    /// Requests a copy. Returns whether [`Answers::read`] will be called with this ticket.
    pub fn read(&self, key: Key, ticket: u64) -> bool {
        !self.is_off() && self.jobs.try_send(self.job(Work::Read(key, ticket))).is_ok()
    }

    /// Queues a copy to be stored. Returns false if the queue is full or the store closed; the copy is then not
    /// stored, which costs an attempt later.
    pub fn write(&self, key: Key, facts: Facts, rank: u8, body: Arc<[u8]>) -> bool {
        !self.is_off() && self.jobs.try_send(self.job(Work::Write(key, facts, rank, body))).is_ok()
    }

    /// Queues a purge. If it does not fit in the queue the store is closed; the thread logs it.
    fn record_purge(&self, work: Work) {
        if !self.is_off() && self.jobs.try_send(self.job(work)).is_err() {
            let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
            let _ = self.open_generation.compare_exchange(self.generation, OFF, success, failure);
        }
    }

    /// Records the purge of an object by a change log event.
    pub fn purge_object(&self, object: [u8; 16], at_ms: u64, seq: u64) {
        self.record_purge(Work::PurgeObject(object, at_ms, seq));
    }

    /// Records the purge of a group by a change log event.
    pub fn purge_group(&self, group: u8, at_ms: u64, seq: u64) {
        self.record_purge(Work::PurgeGroup(group, at_ms, seq));
    }

    /// Ends the thread after the queued jobs and returns whether it ended without a panic. A thread that hangs longer
    /// than the time for shutdown is left running.
    pub fn stop(mut self) -> bool {
        let started = Instant::now();
        while let Err(TrySendError::Full(_)) = self.jobs.try_send(self.job(Work::Stop)) {
            if started.elapsed() > SHUTDOWN_TIMEOUT {
                return false;
            }
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        join_until_timeout(self.thread.take(), started)
    }
}

fn join_until_timeout(thread: Option<JoinHandle<()>>, started: Instant) -> bool {
    let Some(thread) = thread else { return false };
    while !thread.is_finished() {
        if started.elapsed() > SHUTDOWN_TIMEOUT {
            return false;
        }
        std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
    }
    thread.join().is_ok()
}
