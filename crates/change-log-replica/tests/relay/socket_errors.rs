//! Every error that Linux's manual names for calls on sockets, and what it means.

use copperroute_change_log_replica::socket_errors::{
    AcceptError, ConnectError, TransferError, of_accept, of_connect, of_transfer,
};
use std::io::{self, ErrorKind};

fn error(number: &i32) -> io::Error {
    io::Error::from_raw_os_error(*number)
}

#[test]
fn errors_of_one_connection_are_no_want_of_descriptors() {
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
        assert_eq!(of_accept(&error(&number)), AcceptError::OfOneConnection, "{number}");
    }
    for number in [libc::EMFILE, libc::ENFILE] {
        assert_eq!(of_accept(&error(&number)), AcceptError::NoDescriptors, "{number}");
    }
    for number in
        [libc::ENOBUFS, libc::ENOMEM, libc::ENOSR, libc::EBADF, libc::EFAULT, libc::EINVAL, libc::ENOTSOCK]
    {
        assert_eq!(of_accept(&error(&number)), AcceptError::Unable, "{number}");
    }
    assert_eq!(of_accept(&error(&libc::EAGAIN)), AcceptError::Empty);
}

#[test]
fn what_lacks_on_this_machine_says_nothing_of_the_other_side() {
    for number in [libc::EINPROGRESS, libc::EALREADY, libc::EINTR] {
        assert_eq!(of_connect(&error(&number)), ConnectError::UnderWay, "{number}");
    }
    assert_eq!(of_connect(&error(&libc::EISCONN)), ConnectError::Connected);
    for number in [libc::EMFILE, libc::ENFILE] {
        assert_eq!(of_connect(&error(&number)), ConnectError::NoDescriptors, "{number}");
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
        assert_eq!(of_connect(&error(&number)), ConnectError::OwnFault, "{number}");
    }
    for number in [libc::ECONNREFUSED, libc::ECONNRESET, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::EHOSTDOWN]
    {
        assert_eq!(of_connect(&error(&number)), ConnectError::Unreachable, "{number}");
    }
}

#[test]
fn a_connection_is_over_however_that_shows() {
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
        assert_eq!(of_transfer(&error(&number)), TransferError::Broken, "{number}");
    }
    assert_eq!(of_transfer(&error(&libc::EAGAIN)), TransferError::NotReady);
    assert_eq!(of_transfer(&error(&libc::EINTR)), TransferError::Interrupted);
    for number in [libc::ENOMEM, libc::ENOBUFS] {
        assert_eq!(of_transfer(&error(&number)), TransferError::OwnWant, "{number}");
    }
    assert_eq!(of_transfer(&ErrorKind::WriteZero.into()), TransferError::Broken);
}
