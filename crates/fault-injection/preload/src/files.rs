//! Calls on files and folders other than reads and writes.

use crate::real::real;
use crate::session;
use copperroute_fault_injection::Call;
use libc::{c_char, c_int, mode_t, off_t, off64_t};
use std::ffi::{CStr, OsStr};
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};

/// A path as it was handed in, from the root; a relative one from the process's folder, nothing resolved.
///
/// # Safety
/// It is a C string, as for the function whose place is taken.
unsafe fn path_of(path: *const c_char) -> PathBuf {
    // SAFETY: as the caller's.
    let bytes = unsafe { CStr::from_ptr(path) }.to_bytes();
    let path = Path::new(OsStr::from_bytes(bytes));
    std::path::absolute(path).unwrap_or_else(|_| path.to_owned())
}

macro_rules! take_place_by_path {
    ($($name:ident($path:ident: *const c_char $(, $argument:ident: $type:ty)*), $call:expr;)*) => {$(
        /// Takes the place of libc's; of an open, which takes two or three arguments, always hands on three.
        ///
        /// # Safety
        /// As libc's.
        // SAFETY: of the name and type of libc's. Both ways to call pass the arguments in the same registers where this
        // is built (x86-64 and AArch64); a third that was not handed in isn't looked at.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($path: *const c_char $(, $argument: $type)*) -> c_int {
            // SAFETY: as libc's.
            if session::fails_on_path($call, &unsafe { path_of($path) }) {
                return -1;
            }
            real!($name($path $(, $argument)*): fn(*const c_char $(, $type)*) -> c_int)
        }
    )*};
}

macro_rules! take_place_by_descriptor {
    ($($name:ident($descriptor:ident: c_int $(, $argument:ident: $type:ty)*), $call:expr;)*) => {$(
        /// Takes the place of libc's.
        ///
        /// # Safety
        /// As libc's.
        // SAFETY: of the name and type of libc's.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($descriptor: c_int $(, $argument: $type)*) -> c_int {
            if session::fails_on_file($call, $descriptor) {
                return -1;
            }
            real!($name($descriptor $(, $argument)*): fn(c_int $(, $type)*) -> c_int)
        }
    )*};
}

take_place_by_path! {
    open(path: *const c_char, flags: c_int, mode: mode_t), Call::Open;
    open64(path: *const c_char, flags: c_int, mode: mode_t), Call::Open;
    unlink(path: *const c_char), Call::Unlink;
    mkdir(path: *const c_char, mode: mode_t), Call::Mkdir;
}

take_place_by_descriptor! {
    fsync(descriptor: c_int), Call::Fsync;
    fdatasync(descriptor: c_int), Call::Fdatasync;
    ftruncate(descriptor: c_int, length: off_t), Call::Ftruncate;
    ftruncate64(descriptor: c_int, length: off64_t), Call::Ftruncate;
}

/// Takes the place of libc's. Where it's renamed to is what counts.
///
/// # Safety
/// As libc's.
// SAFETY: of the name and type of libc's.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: as libc's.
    if session::fails_on_path(Call::Rename, &unsafe { path_of(to) }) {
        return -1;
    }
    real!(rename(from, to): fn(*const c_char, *const c_char) -> c_int)
}
