//! The plan of this process: read once, its file looked at now and then, how often each call was used and failed.

use crate::real::real;
use copperroute_fault_injection::{Call, Errno, FaultPlan, VARIABLE};
use libc::{c_int, clockid_t, timespec};
use std::cell::Cell;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, PoisonError, RwLock};

/// How often the plan's file is looked at, at most.
const LOOKED_AT_MS: u64 = 50;

struct Session {
    started_ms: u64,
    /// The plan that was handed in.
    handed_in: Arc<FaultPlan>,
    /// The plan that holds.
    plan: RwLock<Arc<FaultPlan>>,
    /// When the plan's file is looked at next.
    next_look_ms: AtomicU64,
    counts: [Counts; Call::COUNT],
    transfers: AtomicU64,
}

#[derive(Default)]
struct Counts {
    uses: AtomicU64,
    failed: AtomicU64,
}

/// Nothing in a process without a plan.
static SESSION: OnceLock<Option<Session>> = OnceLock::new();

thread_local! {
    /// This thread is carrying out the plan: its own calls go through.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

/// Runs this with the process's session, calls of its own going through; nothing without a plan, or on a call of its own.
fn within<T>(run: impl FnOnce(&Session) -> Option<T>) -> Option<T> {
    if INSIDE.try_with(|inside| inside.replace(true)).unwrap_or(true) {
        return None;
    }
    let result = SESSION.get_or_init(Session::start).as_ref().and_then(run);
    let _ = INSIDE.try_with(|inside| inside.set(false));
    result
}

/// Whether this use of a call, of nothing in a folder, is to fail; if so, `errno` is set.
pub(crate) fn fails(call: Call) -> bool {
    set(within(|session| session.error(call, || true)))
}

/// The same for a call on this path.
pub(crate) fn fails_on_path(call: Call, path: &Path) -> bool {
    set(within(|session| session.error(call, || session.covers(path))))
}

/// The same for a call on this file.
pub(crate) fn fails_on_file(call: Call, descriptor: c_int) -> bool {
    let covered = |session: &Session| {
        let path = crate::descriptor::path(descriptor);
        path.is_some_and(|path| session.covers(&path))
    };
    set(within(|session| session.error(call, || covered(session))))
}

/// The same, without setting `errno`.
pub(crate) fn error(call: Call) -> Option<Errno> {
    within(|session| session.error(call, || true))
}

/// How many of these bytes a read or write of a socket may carry.
pub(crate) fn shortened(length: usize) -> usize {
    let shortened = within(|session| {
        let uses = session.transfers.fetch_add(1, Ordering::Relaxed);
        Some(session.plan().shortened(length, uses))
    });
    shortened.unwrap_or(length)
}

/// What the wall clock shows beside the true time.
pub(crate) fn wall_offset_ms() -> i64 {
    within(|session| Some(session.plan().wall_offset_ms(session.now_ms()))).unwrap_or(0)
}

/// Sets `errno` to this error, if there is one.
pub(crate) fn set(error: Option<Errno>) -> bool {
    if let Some(Errno(number)) = error {
        // SAFETY: the address is that of this thread's own `errno`.
        unsafe { *libc::__errno_location() = number };
    }
    error.is_some()
}

/// The true time of this clock, in milliseconds.
fn clock_ms(clock: clockid_t) -> u64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    real!(clock_gettime(clock, &mut time): fn(clockid_t, *mut timespec) -> c_int);
    (time.tv_sec * 1000 + time.tv_nsec / 1_000_000).unsigned_abs()
}

impl Session {
    /// Reads the plan; one that can't be read ends the process.
    fn start() -> Option<Session> {
        let text = std::env::var(VARIABLE).ok()?;
        let plan = match text.parse::<FaultPlan>() {
            Ok(plan) => Arc::new(plan),
            Err(fault) => {
                eprintln!("{VARIABLE}: {fault}");
                std::process::abort();
            }
        };
        Some(Session {
            started_ms: clock_ms(libc::CLOCK_MONOTONIC),
            handed_in: plan.clone(),
            plan: RwLock::new(plan),
            next_look_ms: AtomicU64::new(0),
            counts: std::array::from_fn(|_| Counts::default()),
            transfers: AtomicU64::new(0),
        })
    }

    fn now_ms(&self) -> u64 {
        clock_ms(libc::CLOCK_MONOTONIC).saturating_sub(self.started_ms)
    }

    /// The plan that holds now.
    fn plan(&self) -> Arc<FaultPlan> {
        if let Some(path) = &self.handed_in.file {
            self.look_at(path);
        }
        self.plan.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes the plan from the file if it's time to; what can't be read changes nothing, as it may be half written.
    fn look_at(&self, path: &Path) {
        let now = self.now_ms();
        let next = self.next_look_ms.load(Ordering::Relaxed);
        let taken = || {
            let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
            self.next_look_ms.compare_exchange(next, now + LOOKED_AT_MS, success, failure).is_ok()
        };
        if now < next || !taken() {
            return;
        }
        let plan = match fs::read_to_string(path).map(|text| text.parse::<FaultPlan>()) {
            Ok(Ok(plan)) => Arc::new(plan),
            Ok(Err(_)) => return,
            Err(_) => self.handed_in.clone(),
        };
        *self.plan.write().unwrap_or_else(PoisonError::into_inner) = plan;
    }

    /// The error that a use of this call ends with, if any. Whether it counts is asked only where a rule could hit it.
    fn error(&self, call: Call, counts: impl FnOnce() -> bool) -> Option<Errno> {
        let plan = self.plan();
        if plan.rules.iter().all(|rule| rule.call != call) || !counts() {
            return None;
        }
        let now_ms = self.now_ms();
        let Counts { uses, failed } = &self.counts[call.index()];
        let uses = uses.fetch_add(1, Ordering::Relaxed);
        let errno = plan.error(call, now_ms, uses, failed.load(Ordering::Relaxed))?;
        failed.fetch_add(1, Ordering::Relaxed);
        if let Some(path) = plan.trace.as_ref().or(self.handed_in.trace.as_ref()) {
            let line = format!("{call} {errno} {now_ms}\n");
            let file = OpenOptions::new().append(true).create(true).open(path);
            let _ = file.and_then(|mut file| file.write_all(line.as_bytes()));
        }
        Some(errno)
    }

    fn covers(&self, path: &Path) -> bool {
        self.plan().covers(path)
    }
}
