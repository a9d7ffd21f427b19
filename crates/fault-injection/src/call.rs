//! The system calls that a plan can make fail, and their names in a plan.

use std::fmt;
use std::str::FromStr;

/// A call, distinguished by what it is used on: reads and writes of sockets, of files and of other descriptors are
/// different calls, whichever libc function is called.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
#[repr(usize)]
pub enum Call {
    Accept,
    Socket,
    Connect,
    Bind,
    Listen,
    /// `recv`, `recvfrom`, `recvmsg`, `read` and `readv` of a socket.
    Recv,
    /// `send`, `sendto`, `sendmsg`, `write` and `writev` to a socket.
    Send,
    Shutdown,
    Getsockopt,
    Setsockopt,
    Getsockname,
    Getpeername,
    /// `ioctl` of a socket, for example to make it non-blocking.
    Ioctl,
    /// A read of a descriptor that is neither a socket nor a file, such as a pipe or signalfd.
    OtherRead,
    /// A write to a descriptor that is neither a socket nor a file, such as a pipe; standard error often is one.
    OtherWrite,
    Open,
    FileRead,
    FileWrite,
    Fsync,
    Fdatasync,
    Ftruncate,
    Rename,
    Unlink,
    Mkdir,
    /// This and the following calls are those of event loops. They fail only in programs that make them through libc.
    EpollCreate,
    EpollCtl,
    EpollWait,
    TimerfdCreate,
    TimerfdSettime,
    Eventfd,
    Signalfd,
}

impl Call {
    /// Every call, in the order of their indices, with its name in a plan.
    const NAMES: [(Call, &'static str); 31] = [
        (Call::Accept, "accept"),
        (Call::Socket, "socket"),
        (Call::Connect, "connect"),
        (Call::Bind, "bind"),
        (Call::Listen, "listen"),
        (Call::Recv, "recv"),
        (Call::Send, "send"),
        (Call::Shutdown, "shutdown"),
        (Call::Getsockopt, "getsockopt"),
        (Call::Setsockopt, "setsockopt"),
        (Call::Getsockname, "getsockname"),
        (Call::Getpeername, "getpeername"),
        (Call::Ioctl, "ioctl"),
        (Call::OtherRead, "other_read"),
        (Call::OtherWrite, "other_write"),
        (Call::Open, "open"),
        (Call::FileRead, "file_read"),
        (Call::FileWrite, "file_write"),
        (Call::Fsync, "fsync"),
        (Call::Fdatasync, "fdatasync"),
        (Call::Ftruncate, "ftruncate"),
        (Call::Rename, "rename"),
        (Call::Unlink, "unlink"),
        (Call::Mkdir, "mkdir"),
        (Call::EpollCreate, "epoll_create"),
        (Call::EpollCtl, "epoll_ctl"),
        (Call::EpollWait, "epoll_wait"),
        (Call::TimerfdCreate, "timerfd_create"),
        (Call::TimerfdSettime, "timerfd_settime"),
        (Call::Eventfd, "eventfd"),
        (Call::Signalfd, "signalfd"),
    ];
    /// Number of calls.
    pub const COUNT: usize = Self::NAMES.len();

    /// Index of the call, less than [`Call::COUNT`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Name of the call in a plan.
    pub fn name(self) -> &'static str {
        Self::NAMES[self.index()].1
    }

    /// Every call.
    pub fn all() -> impl Iterator<Item = Call> {
        Self::NAMES.into_iter().map(|(call, _)| call)
    }

    /// Whether the call is on files; a plan's folders restrict the rules for these calls.
    pub fn is_on_files(self) -> bool {
        (Call::Open.index()..=Call::Mkdir.index()).contains(&self.index())
    }
}

impl fmt::Display for Call {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.name())
    }
}

impl FromStr for Call {
    type Err = ();

    /// `accept4` is another name of `accept`.
    fn from_str(text: &str) -> Result<Call, ()> {
        let text = if text == "accept4" { "accept" } else { text };
        Self::NAMES.into_iter().find(|(_, name)| *name == text).map(|(call, _)| call).ok_or(())
    }
}
