//! The class of every error that Linux's manual names for system calls on sockets.

use copperroute_change_log_replica::socket_errors::{
    AcceptError, ConnectError, TransferError, classify_accept_error, classify_connect_error,
    classify_transfer_error,
};
use std::io::{self, ErrorKind};

fn error(number: &i32) -> io::Error {
    io::Error::from_raw_os_error(*number)
}

#[test]
fn errors_of_one_connection_are_no_lack_of_descriptors() {
    let of_one = [
        libc::EINTR,
        libc::ECONNABORTED,
        libc::ECONNRESET,
        libc::EPROTO,
        libc::EPERM,
        libc::ENETDOWN,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
        libc::ETIMEDOUT,
    ];
    for number in of_one {
        assert_eq!(classify_accept_error(&error(&number)), AcceptError::ConnectionFailed, "{number}");
    }
    for number in [libc::EMFILE, libc::ENFILE] {
        assert_eq!(classify_accept_error(&error(&number)), AcceptError::NoDescriptors, "{number}");
    }
    for number in
        [libc::ENOBUFS, libc::ENOMEM, libc::ENOSR, libc::EBADF, libc::EFAULT, libc::EINVAL, libc::ENOTSOCK]
    {
        assert_eq!(classify_accept_error(&error(&number)), AcceptError::LocalError, "{number}");
    }
    assert_eq!(classify_accept_error(&error(&libc::EAGAIN)), AcceptError::NoneWaiting);
}

#[test]
fn a_lack_on_this_machine_says_nothing_about_the_peer() {
    for number in [libc::EINPROGRESS, libc::EALREADY, libc::EINTR] {
        assert_eq!(classify_connect_error(&error(&number)), ConnectError::InProgress, "{number}");
    }
    assert_eq!(classify_connect_error(&error(&libc::EISCONN)), ConnectError::Connected);
    for number in [libc::EMFILE, libc::ENFILE] {
        assert_eq!(classify_connect_error(&error(&number)), ConnectError::NoDescriptors, "{number}");
    }
    let own = [
        libc::ENOMEM,
        libc::ENOBUFS,
        libc::ENOSR,
        libc::EADDRNOTAVAIL,
        libc::EADDRINUSE,
        libc::EAGAIN,
        libc::EACCES,
        libc::EPERM,
        libc::EAFNOSUPPORT,
        libc::EPROTONOSUPPORT,
        libc::EPROTOTYPE,
        libc::EINVAL,
        libc::EBADF,
        libc::EFAULT,
        libc::ENOTSOCK,
        libc::ENETDOWN,
        libc::ENETUNREACH,
    ];
    for number in own {
        assert_eq!(classify_connect_error(&error(&number)), ConnectError::LocalError, "{number}");
    }
    for number in [libc::ECONNREFUSED, libc::ECONNRESET, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::EHOSTDOWN]
    {
        assert_eq!(classify_connect_error(&error(&number)), ConnectError::Unreachable, "{number}");
    }
}

#[test]
fn every_lasting_error_means_a_broken_connection() {
    let broken = [
        libc::ECONNRESET,
        libc::ECONNREFUSED,
        libc::ECONNABORTED,
        libc::EPIPE,
        libc::ETIMEDOUT,
        libc::EHOSTUNREACH,
        libc::EHOSTDOWN,
        libc::ENETUNREACH,
        libc::ENETDOWN,
        libc::ENETRESET,
        libc::ENONET,
        libc::ENOTCONN,
        libc::ESHUTDOWN,
        libc::EPROTO,
        libc::EIO,
        libc::EBADF,
        libc::EFAULT,
        libc::EINVAL,
        libc::ENOTSOCK,
        libc::EOPNOTSUPP,
        libc::EDESTADDRREQ,
        libc::EMSGSIZE,
        libc::EACCES,
        libc::EPERM,
    ];
    for number in broken {
        assert_eq!(classify_transfer_error(&error(&number)), TransferError::Broken, "{number}");
    }
    assert_eq!(classify_transfer_error(&error(&libc::EAGAIN)), TransferError::NotReady);
    assert_eq!(classify_transfer_error(&error(&libc::EINTR)), TransferError::Interrupted);
    for number in [libc::ENOMEM, libc::ENOBUFS] {
        assert_eq!(classify_transfer_error(&error(&number)), TransferError::OutOfMemory, "{number}");
    }
    assert_eq!(classify_transfer_error(&ErrorKind::WriteZero.into()), TransferError::Broken);
}
