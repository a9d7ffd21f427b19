//! Replacements of calls on files and folders other than reads and writes.

use crate::real::real;
use crate::session;
use copperroute_fault_injection::Call;
use libc::{c_char, c_int, mode_t, off_t, off64_t};
use std::ffi::{CStr, OsStr};
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};

/// Makes a path absolute; a relative path starts at the process's working directory. Symbolic links are not resolved.
///
/// # Safety
/// `path` must be a C string, as for the replaced function.
unsafe fn absolute_path(path: *const c_char) -> PathBuf {
    // SAFETY: the caller passes a C string.
    let bytes = unsafe { CStr::from_ptr(path) }.to_bytes();
    let path = Path::new(OsStr::from_bytes(bytes));
    std::path::absolute(path).unwrap_or_else(|_| path.to_owned())
}

macro_rules! replace_by_path {
    ($($name:ident($path:ident: *const c_char $(, $argument:ident: $type:ty)*), $call:expr;)*) => {$(
        /// Replaces libc's function of this name; `open`, which takes two or three arguments, always passes three on.
        ///
        /// # Safety
        /// The same as for libc's function.
        // SAFETY: it has the name and type of libc's function. On x86-64 and AArch64, for which this is built,
        // variadic and ordinary calls pass these arguments in the same registers; libc ignores a third one that was
        // not passed.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($path: *const c_char $(, $argument: $type)*) -> c_int {
            // SAFETY: the caller keeps the rules of libc's function.
            if session::fails_on_path($call, &unsafe { absolute_path($path) }) {
                return -1;
            }
            real!($name($path $(, $argument)*): fn(*const c_char $(, $type)*) -> c_int)
        }
    )*};
}

macro_rules! replace_by_descriptor {
    ($($name:ident($descriptor:ident: c_int $(, $argument:ident: $type:ty)*), $call:expr;)*) => {$(
        /// Replaces libc's function of this name.
        ///
        /// # Safety
        /// The same as for libc's function.
        // SAFETY: it has the name and type of libc's function.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($descriptor: c_int $(, $argument: $type)*) -> c_int {
            if session::fails_on_file($call, $descriptor) {
                return -1;
            }
            real!($name($descriptor $(, $argument)*): fn(c_int $(, $type)*) -> c_int)
        }
    )*};
}

replace_by_path! {
    open(path: *const c_char, flags: c_int, mode: mode_t), Call::Open;
    open64(path: *const c_char, flags: c_int, mode: mode_t), Call::Open;
    unlink(path: *const c_char), Call::Unlink;
    mkdir(path: *const c_char, mode: mode_t), Call::Mkdir;
}

replace_by_descriptor! {
    fsync(descriptor: c_int), Call::Fsync;
    fdatasync(descriptor: c_int), Call::Fdatasync;
    ftruncate(descriptor: c_int, length: off_t), Call::Ftruncate;
    ftruncate64(descriptor: c_int, length: off64_t), Call::Ftruncate;
}

/// Replaces libc's function of this name. A plan's folders are compared with the new path.
///
/// # Safety
/// The same as for libc's function.
// SAFETY: it has the name and type of libc's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller keeps the rules of libc's function.
    if session::fails_on_path(Call::Rename, &unsafe { absolute_path(to) }) {
        return -1;
    }
    real!(rename(from, to): fn(*const c_char, *const c_char) -> c_int)
}
