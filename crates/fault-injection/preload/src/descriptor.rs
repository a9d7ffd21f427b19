//! The kind and path of a file descriptor. Asks the system each time, so that no state is kept.

use crate::real::real;
use libc::{c_char, c_int};
use std::ffi::OsStr;
use std::mem::MaybeUninit;
use std::os::unix::ffi::OsStrExt;
use std::path::PathBuf;

/// Kind of a descriptor.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Socket,
    File,
    Other,
}

/// Kind of a descriptor; `Other` if the system does not tell it.
pub(crate) fn kind(descriptor: c_int) -> Kind {
    let mut status = MaybeUninit::<libc::stat>::uninit();
    // SAFETY: the pointer is to memory for the structure that the call writes.
    if unsafe { libc::fstat(descriptor, status.as_mut_ptr()) } != 0 {
        return Kind::Other;
    }
    // SAFETY: the call succeeded, so it has written the whole structure.
    match unsafe { status.assume_init() }.st_mode & libc::S_IFMT {
        libc::S_IFSOCK => Kind::Socket,
        libc::S_IFREG | libc::S_IFDIR => Kind::File,
        _ => Kind::Other,
    }
}

/// The current path of an open file as `/proc/self/fd` gives it; `None` if it can't be read.
pub(crate) fn path(descriptor: c_int) -> Option<PathBuf> {
    let link = format!("/proc/self/fd/{descriptor}\0");
    let mut buffer = [0_u8; libc::PATH_MAX as usize];
    let (from, to) = (link.as_ptr().cast::<c_char>(), buffer.as_mut_ptr().cast::<c_char>());
    let length = real!(readlink(from, to, buffer.len()):
        fn(*const c_char, *mut c_char, libc::size_t) -> libc::ssize_t);
    let read = buffer.get(..usize::try_from(length).ok()?)?;
    Some(PathBuf::from(OsStr::from_bytes(read)))
}
