//! Error numbers, written by name in a plan.

use std::fmt;
use std::str::FromStr;

/// An error number as in `errno`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Errno(pub i32);

macro_rules! names {
    ($($name:ident)*) => {
        /// Every error that a plan can write by name, with its number.
        const NAMES: &[(&str, i32)] = &[$((stringify!($name), libc::$name)),*];
    };
}

names! {
    EACCES EADDRINUSE EADDRNOTAVAIL EAFNOSUPPORT EAGAIN EALREADY EBADF EBUSY ECONNABORTED ECONNREFUSED ECONNRESET
    EDESTADDRREQ EDQUOT EEXIST EFAULT EFBIG EHOSTDOWN EHOSTUNREACH EINPROGRESS EINTR EINVAL EIO EISCONN EISDIR ELOOP
    EMFILE EMLINK EMSGSIZE ENAMETOOLONG ENETDOWN ENETRESET ENETUNREACH ENFILE ENOBUFS ENODEV ENOENT ENOMEM ENONET
    ENOPROTOOPT ENOSPC ENOSR ENOSYS ENOTCONN ENOTDIR ENOTEMPTY ENOTSOCK ENXIO EOPNOTSUPP EOVERFLOW EPERM EPIPE EPROTO
    EPROTONOSUPPORT EROFS ESHUTDOWN ESOCKTNOSUPPORT ESTALE ETIMEDOUT ETXTBSY EXDEV
}

impl fmt::Display for Errno {
    /// The name of the error, or its number if it has no name in the table.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match NAMES.iter().find(|(_, number)| *number == self.0) {
            Some((name, _)) => out.write_str(name),
            None => self.0.fmt(out),
        }
    }
}

impl FromStr for Errno {
    type Err = ();

    fn from_str(text: &str) -> Result<Errno, ()> {
        let named = NAMES.iter().find(|(name, _)| *name == text).map(|(_, number)| *number);
        let number = named.or_else(|| text.parse().ok().filter(|number| (1..4096).contains(number)));
        number.map(Errno).ok_or(())
    }
}
