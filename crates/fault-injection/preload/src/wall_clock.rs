//! Replacements of calls that read the wall clock; they add the plan's offset. All other clocks show the true time.

use crate::real::real;
use crate::session;
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};

const NANOSECONDS_PER_S: i64 = 1_000_000_000;

/// Adds an offset to a time, given as whole seconds and a fraction in units of 1/`units_per_s` second.
fn add_offset(seconds: i64, fraction: i64, units_per_s: i64, offset_ms: i64) -> (i64, i64) {
    let fraction = fraction + offset_ms % 1000 * (units_per_s / 1000);
    (seconds + offset_ms / 1000 + fraction.div_euclid(units_per_s), fraction.rem_euclid(units_per_s))
}

/// Replaces libc's function of this name.
///
/// # Safety
/// The same as for libc's function.
// SAFETY: it has the name and type of libc's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn clock_gettime(clock: clockid_t, to: *mut timespec) -> c_int {
    let result = real!(clock_gettime(clock, to): fn(clockid_t, *mut timespec) -> c_int);
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        // SAFETY: the call succeeded, so the pointer is to a valid time.
        let time = unsafe { &mut *to };
        (time.tv_sec, time.tv_nsec) =
            add_offset(time.tv_sec, time.tv_nsec, NANOSECONDS_PER_S, session::wall_offset_ms());
    }
    result
}

/// Replaces libc's function of this name.
///
/// # Safety
/// The same as for libc's function.
// SAFETY: it has the name and type of libc's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn gettimeofday(to: *mut timeval, zone: *mut c_void) -> c_int {
    let result = real!(gettimeofday(to, zone): fn(*mut timeval, *mut c_void) -> c_int);
    if result == 0 && !to.is_null() {
        // SAFETY: the call succeeded, so the pointer is to a valid time.
        let time = unsafe { &mut *to };
        (time.tv_sec, time.tv_usec) =
            add_offset(time.tv_sec, time.tv_usec, NANOSECONDS_PER_S / 1000, session::wall_offset_ms());
    }
    result
}

/// Replaces libc's function of this name.
///
/// # Safety
/// The same as for libc's function.
// SAFETY: it has the name and type of libc's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn time(to: *mut time_t) -> time_t {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a valid time structure.
    unsafe { clock_gettime(libc::CLOCK_REALTIME, &mut now) };
    // SAFETY: by libc's rules the pointer is null or to memory for a time.
    if let Some(to) = unsafe { to.as_mut() } {
        *to = now.tv_sec;
    }
    now.tv_sec
}
