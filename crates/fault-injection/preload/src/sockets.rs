//! Replacements of calls on sockets other than reads and writes, and of the calls of event loops.

use crate::descriptor::{self, Kind};
use crate::real::{real, replace};
use crate::session;
use copperroute_fault_injection::{Call, Errno};
use libc::{c_int, c_uint, c_ulong, c_void, epoll_event, itimerspec, sigset_t, sockaddr, socklen_t};

replace! {
    accept(socket: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int, Call::Accept;
    accept4(socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int, Call::Accept;
    socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int, Call::Socket;
    bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int, Call::Bind;
    listen(socket: c_int, backlog: c_int) -> c_int, Call::Listen;
    shutdown(socket: c_int, how: c_int) -> c_int, Call::Shutdown;
    getsockopt(socket: c_int, level: c_int, name: c_int, value: *mut c_void, length: *mut socklen_t) -> c_int,
        Call::Getsockopt;
    setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t) -> c_int,
        Call::Setsockopt;
    getsockname(socket: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int, Call::Getsockname;
    getpeername(socket: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int, Call::Getpeername;
    epoll_create1(flags: c_int) -> c_int, Call::EpollCreate;
    epoll_ctl(epoll: c_int, operation: c_int, descriptor: c_int, event: *mut epoll_event) -> c_int, Call::EpollCtl;
    epoll_wait(epoll: c_int, events: *mut epoll_event, capacity: c_int, timeout: c_int) -> c_int, Call::EpollWait;
    epoll_pwait(epoll: c_int, events: *mut epoll_event, capacity: c_int, timeout: c_int, signals: *const sigset_t)
        -> c_int, Call::EpollWait;
    timerfd_create(clock: c_int, flags: c_int) -> c_int, Call::TimerfdCreate;
    timerfd_settime(timer: c_int, flags: c_int, new: *const itimerspec, old: *mut itimerspec) -> c_int,
        Call::TimerfdSettime;
    eventfd(value: c_uint, flags: c_int) -> c_int, Call::Eventfd;
    signalfd(descriptor: c_int, signals: *const sigset_t, flags: c_int) -> c_int, Call::Signalfd;
}

/// Replaces libc's function of this name. If the plan's error is `EINTR` or `EINPROGRESS`, the connection is opened
/// all the same: the kernel, too, goes on connecting after these errors.
///
/// # Safety
/// The same as for libc's function.
// SAFETY: it has the name and type of libc's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let error = session::error(Call::Connect);
    if let None | Some(Errno(libc::EINTR | libc::EINPROGRESS)) = error {
        let result = real!(connect(socket, address, length): fn(c_int, *const sockaddr, socklen_t) -> c_int);
        if error.is_none() {
            return result;
        }
    }
    session::set_errno(error);
    -1
}

/// Replaces libc's function of this name, which is variadic. Here it takes one argument, an address or a number of that
/// size, as all requests have. On x86-64 and AArch64, for which this is built, variadic and ordinary calls pass it in
/// the same register.
///
/// # Safety
/// The same as for libc's function.
// SAFETY: it has the name and, as described above, a compatible type of libc's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn ioctl(descriptor: c_int, request: c_ulong, argument: *mut c_void) -> c_int {
    if descriptor::kind(descriptor) == Kind::Socket && session::fails(Call::Ioctl) {
        return -1;
    }
    real!(ioctl(descriptor, request, argument): fn(c_int, c_ulong, *mut c_void) -> c_int)
}
