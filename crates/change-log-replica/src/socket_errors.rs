//! What an error of a system call on a socket means for who made it, by Linux's manual (accept(2), socket(2), connect(2),
//! read(2), write(2), recv(2), send(2)). Protocol-free and without input or output; the dispatcher's event loop and the
//! replica's both go by it.

use std::io;

/// What an error of `accept` means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptError {
    /// Nobody waits.
    NoneWaiting,
    /// It was of the one connection that would have been accepted, or a signal came: the next may be accepted at once.
    ConnectionFailed,
    /// The process, or the machine, has no descriptor left.
    NoDescriptors,
    /// Anything else, as want of memory: trying again at once is of no use, nor is closing other connections.
    LocalError,
}

/// What an error of `socket` or `connect`, or of preparing a socket, means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// It goes on in the background: the socket shows as writable once it has ended.
    InProgress,
    /// It has come up already.
    Connected,
    /// The process, or the machine, has no descriptor left. Says nothing of the other side.
    NoDescriptors,
    /// This machine lacks something else of its own, or can't do it: says nothing of the other side.
    LocalError,
    /// The other side, or the way to it.
    Unreachable,
}

/// What an error of a read or write means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferError {
    /// Not now: the socket shows as ready again.
    NotReady,
    /// A signal came before anything was done.
    Interrupted,
    /// This machine lacks memory: the connection is whole, and trying again at once is of no use.
    OutOfMemory,
    /// The connection is over, however that shows: a reset, a time-out, a way that has gone.
    Broken,
}

/// An error of `accept`.
pub fn classify_accept_error(fault: &io::Error) -> AcceptError {
    match number(fault) {
        libc::EAGAIN => AcceptError::NoneWaiting,
        libc::EINTR
        | libc::ECONNABORTED
        | libc::ECONNRESET
        | libc::EPROTO
        | libc::EPERM
        // Errors of the network that were pending on the new connection, which Linux passes on.
        | libc::ENETDOWN
        | libc::ENOPROTOOPT
        | libc::EHOSTDOWN
        | libc::ENONET
        | libc::EHOSTUNREACH
        | libc::EOPNOTSUPP
        | libc::ENETUNREACH
        | libc::ETIMEDOUT => AcceptError::ConnectionFailed,
        libc::EMFILE | libc::ENFILE => AcceptError::NoDescriptors,
        _ => AcceptError::LocalError,
    }
}

/// An error of `socket` or `connect`, or of preparing a socket, as the call returned it.
pub fn classify_connect_error(fault: &io::Error) -> ConnectError {
    match number(fault) {
        libc::EINPROGRESS | libc::EALREADY | libc::EINTR => ConnectError::InProgress,
        libc::EISCONN => ConnectError::Connected,
        libc::EMFILE | libc::ENFILE => ConnectError::NoDescriptors,
        libc::ENOMEM
        | libc::ENOBUFS
        | libc::ENOSR
        // No free port of its own, or none for now.
        | libc::EADDRNOTAVAIL
        | libc::EADDRINUSE
        | libc::EAGAIN
        // Its own rules or kinds of sockets.
        | libc::EACCES
        | libc::EPERM
        | libc::EAFNOSUPPORT
        | libc::EPROTONOSUPPORT
        | libc::EPROTOTYPE
        | libc::EINVAL
        | libc::EBADF
        | libc::EFAULT
        | libc::ENOTSOCK
        // Its own network, or its own table of routes: nothing was sent.
        | libc::ENETDOWN
        | libc::ENETUNREACH => ConnectError::LocalError,
        _ => ConnectError::Unreachable,
    }
}

/// An error of a read or write.
pub fn classify_transfer_error(fault: &io::Error) -> TransferError {
    match number(fault) {
        libc::EAGAIN => TransferError::NotReady,
        libc::EINTR => TransferError::Interrupted,
        libc::ENOMEM | libc::ENOBUFS => TransferError::OutOfMemory,
        _ => TransferError::Broken,
    }
}

/// The system's number of an error; zero for one that isn't the system's, as a write of no bytes.
fn number(fault: &io::Error) -> i32 {
    fault.raw_os_error().unwrap_or(0)
}
