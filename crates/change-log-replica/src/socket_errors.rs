//! Classifies errors of system calls on sockets by what the caller can do about them, according to Linux's manual
//! (accept(2), socket(2), connect(2), read(2), write(2), recv(2), send(2)). Does no input or output; the event loops of
//! the dispatcher and of the replica use it.

use std::io;

/// The meaning of an error of `accept`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptError {
    /// No connection waits to be accepted.
    NoneWaiting,
    /// Only the connection that would have been accepted failed, or a signal came: the next may be accepted at once.
    ConnectionFailed,
    /// The process or the machine has no file descriptor left.
    NoDescriptors,
    /// Any other error of this machine, such as a lack of memory. Neither an immediate retry nor closing other
    /// connections helps.
    LocalError,
}

/// The meaning of an error of `socket`, of `connect`, or of setting up a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// The attempt continues in the background: the socket becomes writable once it has ended.
    InProgress,
    /// The connection is already established.
    Connected,
    /// The process or the machine has no file descriptor left. It says nothing about the peer.
    NoDescriptors,
    /// This machine lacks another resource or does not support the operation. It says nothing about the peer.
    LocalError,
    /// The peer, or the network path to it, has failed.
    Unreachable,
}

/// The meaning of an error of a read or write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferError {
    /// The operation would block: the socket becomes ready again later.
    NotReady,
    /// A signal came before anything was transferred.
    Interrupted,
    /// This machine lacks memory: the connection is intact, and an immediate retry does not help.
    OutOfMemory,
    /// The connection is broken, for instance by a reset, a timeout or a lost network path.
    Broken,
}

/// Classifies an error of `accept`.
pub fn classify_accept_error(fault: &io::Error) -> AcceptError {
    match number(fault) {
        libc::EAGAIN => AcceptError::NoneWaiting,
        libc::EINTR
        | libc::ECONNABORTED
        | libc::ECONNRESET
        | libc::EPROTO
        | libc::EPERM
        // Network errors that were already pending on the new connection, which Linux passes on.
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

/// Classifies an error of `socket`, of `connect`, or of setting up a socket.
pub fn classify_connect_error(fault: &io::Error) -> ConnectError {
    match number(fault) {
        libc::EINPROGRESS | libc::EALREADY | libc::EINTR => ConnectError::InProgress,
        libc::EISCONN => ConnectError::Connected,
        libc::EMFILE | libc::ENFILE => ConnectError::NoDescriptors,
        libc::ENOMEM
        | libc::ENOBUFS
        | libc::ENOSR
        // This machine has no free local port, or none at present.
        | libc::EADDRNOTAVAIL
        | libc::EADDRINUSE
        | libc::EAGAIN
        // Rules of this machine, or socket types that it does not support.
        | libc::EACCES
        | libc::EPERM
        | libc::EAFNOSUPPORT
        | libc::EPROTONOSUPPORT
        | libc::EPROTOTYPE
        | libc::EINVAL
        | libc::EBADF
        | libc::EFAULT
        | libc::ENOTSOCK
        // The network interface or the routing table of this machine: nothing was sent.
        | libc::ENETDOWN
        | libc::ENETUNREACH => ConnectError::LocalError,
        _ => ConnectError::Unreachable,
    }
}

/// Classifies an error of a read or write.
pub fn classify_transfer_error(fault: &io::Error) -> TransferError {
    match number(fault) {
        libc::EAGAIN => TransferError::NotReady,
        libc::EINTR => TransferError::Interrupted,
        libc::ENOMEM | libc::ENOBUFS => TransferError::OutOfMemory,
        _ => TransferError::Broken,
    }
}

/// The operating system's number of an error; zero for other errors, such as a write of zero bytes.
fn number(fault: &io::Error) -> i32 {
    fault.raw_os_error().unwrap_or(0)
}
