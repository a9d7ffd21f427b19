//! The wall clock, off by what the plan says; all other clocks are true.

use crate::real::real;
use crate::session;
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};

const NANOSECONDS: i64 = 1_000_000_000;

/// Moves a time, in seconds and parts of a second of which there are so many in one, by so many milliseconds.
fn moved(seconds: i64, part: i64, parts: i64, by_ms: i64) -> (i64, i64) {
    let part = part + by_ms % 1000 * (parts / 1000);
    (seconds + by_ms / 1000 + part.div_euclid(parts), part.rem_euclid(parts))
}

/// Takes the place of libc's.
///
/// # Safety
/// As libc's.
// SAFETY: of the name and type of libc's.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn clock_gettime(clock: clockid_t, to: *mut timespec) -> c_int {
    let result = real!(clock_gettime(clock, to): fn(clockid_t, *mut timespec) -> c_int);
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        // SAFETY: the call has gone well, so it's room that holds a time.
        let time = unsafe { &mut *to };
        (time.tv_sec, time.tv_nsec) =
            moved(time.tv_sec, time.tv_nsec, NANOSECONDS, session::wall_offset_ms());
    }
    result
}

/// Takes the place of libc's.
///
/// # Safety
/// As libc's.
// SAFETY: of the name and type of libc's.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn gettimeofday(to: *mut timeval, zone: *mut c_void) -> c_int {
    let result = real!(gettimeofday(to, zone): fn(*mut timeval, *mut c_void) -> c_int);
    if result == 0 && !to.is_null() {
        // SAFETY: the call has gone well, so it's room that holds a time.
        let time = unsafe { &mut *to };
        (time.tv_sec, time.tv_usec) =
            moved(time.tv_sec, time.tv_usec, NANOSECONDS / 1000, session::wall_offset_ms());
    }
    result
}

/// Takes the place of libc's.
///
/// # Safety
/// As libc's.
// SAFETY: of the name and type of libc's.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn time(to: *mut time_t) -> time_t {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: it's room for a time.
    unsafe { clock_gettime(libc::CLOCK_REALTIME, &mut now) };
    // SAFETY: null, or room for a time.
    if let Some(to) = unsafe { to.as_mut() } {
        *to = now.tv_sec;
    }
    now.tv_sec
}
