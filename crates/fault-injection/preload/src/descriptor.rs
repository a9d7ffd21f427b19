//! What a descriptor is of, asked of the system each time, so that nothing has to be kept.

use crate::real::real;
use libc::{c_char, c_int};
use std::ffi::OsStr;
use std::mem::MaybeUninit;
use std::os::unix::ffi::OsStrExt;
use std::path::PathBuf;

/// What a descriptor is of.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Socket,
    File,
    Other,
}

/// What this descriptor is of; other where it can't be told.
pub(crate) fn kind(descriptor: c_int) -> Kind {
    let mut state = MaybeUninit::<libc::stat>::uninit();
    // SAFETY: the pointer is to room for what the call writes.
    if unsafe { libc::fstat(descriptor, state.as_mut_ptr()) } != 0 {
        return Kind::Other;
    }
    // SAFETY: the call has gone well, so it has written all of it.
    match unsafe { state.assume_init() }.st_mode & libc::S_IFMT {
        libc::S_IFSOCK => Kind::Socket,
        libc::S_IFREG | libc::S_IFDIR => Kind::File,
        _ => Kind::Other,
    }
}

/// The path that a file was opened by, or has now; nothing for what has none.
pub(crate) fn path(descriptor: c_int) -> Option<PathBuf> {
    let link = format!("/proc/self/fd/{descriptor}\0");
    let mut room = [0_u8; libc::PATH_MAX as usize];
    let (from, to) = (link.as_ptr().cast::<c_char>(), room.as_mut_ptr().cast::<c_char>());
    let length = real!(readlink(from, to, room.len()):
        fn(*const c_char, *mut c_char, libc::size_t) -> libc::ssize_t);
    let read = room.get(..usize::try_from(length).ok()?)?;
    Some(PathBuf::from(OsStr::from_bytes(read)))
}
