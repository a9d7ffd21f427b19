//! State of the preloaded process: the plan, which is read once or again from its file, and how often each call was
//! used and made to fail.

use crate::real::real;
use copperroute_fault_injection::{Call, Errno, FaultPlan, VARIABLE};
use libc::{c_int, clockid_t, timespec};
use std::cell::Cell;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, PoisonError, RwLock};

/// Shortest interval between two reads of the plan's file, in milliseconds.
const FILE_READ_INTERVAL_MS: u64 = 50;

struct Session {
    /// Monotonic time of the first replaced call, which counts as the start of the process.
    started_ms: u64,
    /// The plan from the environment variable.
    initial_plan: Arc<FaultPlan>,
    /// The plan in force.
    plan: RwLock<Arc<FaultPlan>>,
    /// When the plan's file is read next, in milliseconds since the start.
    next_read_ms: AtomicU64,
    counts: [Counts; Call::COUNT],
    /// Number of reads and writes of sockets.
    transfers: AtomicU64,
}

#[derive(Default)]
struct Counts {
    uses: AtomicU64,
    failed: AtomicU64,
}

/// Holds `None` in a process without a plan.
static SESSION: OnceLock<Option<Session>> = OnceLock::new();

thread_local! {
    /// Set while this thread runs code of this library; its own calls are then passed on.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

/// Runs a function with the process's session. Returns `None` without a plan, and for calls that such a function makes
/// itself, so that these are passed on.
fn with_session<T>(run: impl FnOnce(&Session) -> Option<T>) -> Option<T> {
    if INSIDE.try_with(|inside| inside.replace(true)).unwrap_or(true) {
        return None;
    }
    let result = SESSION.get_or_init(Session::start).as_ref().and_then(run);
    let _ = INSIDE.try_with(|inside| inside.set(false));
    result
}

/// Whether this use of a call is to fail, whatever the plan's folders are; if so, sets `errno`.
pub(crate) fn fails(call: Call) -> bool {
    set_errno(with_session(|session| session.error(call, || true)))
}

/// The same for a call on a path, to which the plan's folders apply.
pub(crate) fn fails_on_path(call: Call, path: &Path) -> bool {
    set_errno(with_session(|session| session.error(call, || session.covers(path))))
}

/// The same for a call on an open file.
pub(crate) fn fails_on_file(call: Call, descriptor: c_int) -> bool {
    let covered = |session: &Session| {
        let path = crate::descriptor::path(descriptor);
        path.is_some_and(|path| session.covers(&path))
    };
    set_errno(with_session(|session| session.error(call, || covered(session))))
}

/// The error that this use of a call is to fail with, if any; does not set `errno`.
pub(crate) fn error(call: Call) -> Option<Errno> {
    with_session(|session| session.error(call, || true))
}

/// The number of bytes that a read or write of `length` bytes on a socket may transfer.
pub(crate) fn shortened(length: usize) -> usize {
    let shortened = with_session(|session| {
        let uses = session.transfers.fetch_add(1, Ordering::Relaxed);
        Some(session.plan().shortened(length, uses))
    });
    shortened.unwrap_or(length)
}

/// Difference of the wall clock from the true time, in milliseconds.
pub(crate) fn wall_offset_ms() -> i64 {
    with_session(|session| Some(session.plan().wall_offset_ms(session.now_ms()))).unwrap_or(0)
}

/// Sets `errno` to this error, if there is one, and returns whether there is.
pub(crate) fn set_errno(error: Option<Errno>) -> bool {
    if let Some(Errno(number)) = error {
        // SAFETY: the address is that of this thread's `errno`.
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
    /// Parses the plan of the environment variable; aborts the process if it is not valid.
    fn start() -> Option<Session> {
        let text = std::env::var(VARIABLE).ok()?;
        let plan = match text.parse::<FaultPlan>() {
            Ok(plan) => Arc::new(plan),
            Err(error) => {
                eprintln!("{VARIABLE}: {error}");
                std::process::abort();
            }
        };
        Some(Session {
            started_ms: clock_ms(libc::CLOCK_MONOTONIC),
            initial_plan: plan.clone(),
            plan: RwLock::new(plan),
            next_read_ms: AtomicU64::new(0),
            counts: std::array::from_fn(|_| Counts::default()),
            transfers: AtomicU64::new(0),
        })
    }

    fn now_ms(&self) -> u64 {
        clock_ms(libc::CLOCK_MONOTONIC).saturating_sub(self.started_ms)
    }

    /// The plan in force; reads the plan's file again if that is due.
    fn plan(&self) -> Arc<FaultPlan> {
        if let Some(path) = &self.initial_plan.file {
            self.read_if_due(path);
        }
        self.plan.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Reads the plan's file if that is due. A plan that can't be parsed changes nothing, as the file may be half
    /// written; if the file can't be read, the initial plan is in force.
    fn read_if_due(&self, path: &Path) {
        let now = self.now_ms();
        let next = self.next_read_ms.load(Ordering::Relaxed);
        let claimed = || {
            let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
            self.next_read_ms.compare_exchange(next, now + FILE_READ_INTERVAL_MS, success, failure).is_ok()
        };
        if now < next || !claimed() {
            return;
        }
        let plan = match fs::read_to_string(path).map(|text| text.parse::<FaultPlan>()) {
            Ok(Ok(plan)) => Arc::new(plan),
            Ok(Err(_)) => return,
            Err(_) => self.initial_plan.clone(),
        };
        *self.plan.write().unwrap_or_else(PoisonError::into_inner) = plan;
    }

    /// The error that this use of a call is to fail with, if any. `applies` says whether the plan applies to what the
    /// call is used on; it is evaluated only if a rule names the call, and uses to which the plan does not apply are
    /// not counted.
    fn error(&self, call: Call, applies: impl FnOnce() -> bool) -> Option<Errno> {
        let plan = self.plan();
        if plan.rules.iter().all(|rule| rule.call != call) || !applies() {
            return None;
        }
        let now_ms = self.now_ms();
        let Counts { uses, failed } = &self.counts[call.index()];
        let uses = uses.fetch_add(1, Ordering::Relaxed);
        let errno = plan.error(call, now_ms, uses, failed.load(Ordering::Relaxed))?;
        failed.fetch_add(1, Ordering::Relaxed);
        if let Some(path) = plan.trace.as_ref().or(self.initial_plan.trace.as_ref()) {
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
