//! The sockets of a replica: accepting, connecting, reading, writing and closing.

use super::*;
use crate::socket_errors::{
    AcceptError, ConnectError, TransferError, classify_accept_error, classify_connect_error,
    classify_transfer_error,
};
use copperroute_protocol::outgoing::OutputQueue;

type Source = calloop::Dispatcher<'static, Generic<Rc<TcpStream>>, Inbox>;

/// How often a system call that a signal interrupts is repeated at once before it is left for a later turn of the loop.
const MAX_INTERRUPTED_ATTEMPTS: u32 = 8;

/// A connection and the bytes that are still to be written.
pub(super) struct Connection {
    stream: Rc<TcpStream>,
    source: Source,
    token: calloop::RegistrationToken,
    connecting: bool,
    output: OutputQueue,
}

/// The result of writing the waiting bytes.
pub(super) enum Flushed {
    /// This many bytes were written.
    Wrote(usize),
    /// This many bytes were written; the others were not, because this machine lacks memory or signals interrupted.
    Blocked(usize),
    /// The connection is broken.
    Broken,
}

impl Connection {
    /// Writes as much as the socket takes.
    fn flush(&mut self) -> Flushed {
        let (mut total, mut interrupted) = (0, 0);
        while !self.output.is_empty() {
            match (&*self.stream).write(self.output.next_bytes()) {
                Ok(0) => return Flushed::Broken,
                Ok(count) => {
                    self.output.written(count);
                    total += count;
                }
                Err(fault) => match classify_transfer_error(&fault) {
                    TransferError::NotReady => break,
                    TransferError::Interrupted if interrupted < MAX_INTERRUPTED_ATTEMPTS => interrupted += 1,
                    TransferError::Interrupted | TransferError::OutOfMemory => {
                        return Flushed::Blocked(total);
                    }
                    TransferError::Broken => return Flushed::Broken,
                },
            }
        }
        Flushed::Wrote(total)
    }
}

impl Driver {
    /// Accepts waiting connections; returns whether the listener may continue at once.
    pub(super) fn accept(&mut self, listener: &TcpListener) -> bool {
        let mut may_continue = true;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match listener.accept() {
                Ok((stream, _)) => {
                    may_continue = true;
                    self.last_follower += 1;
                    let id = FollowerId(self.last_follower);
                    // If this fails, the kernel buffers more bytes: heartbeats may then leave late without being
                    // noticed.
                    let _ = SockRef::from(&stream).set_send_buffer_size(FOLLOWER_SEND_BUFFER_BYTES);
                    if self.insert(Peer::Follower(id), stream, false) {
                        self.handle_event(Event::FollowerConnected(id));
                    }
                }
                Err(fault) => match classify_accept_error(&fault) {
                    AcceptError::NoneWaiting => return true,
                    // If only errors follow, the listener pauses instead of retrying without end.
                    AcceptError::ConnectionFailed => {
                        self.log_error(format_args!("accept: {fault}"));
                        may_continue = false;
                    }
                    AcceptError::NoDescriptors | AcceptError::LocalError => {
                        self.log_error(format_args!("accept: {fault}"));
                        return false;
                    }
                },
            }
        }
        may_continue
    }

    pub(super) fn connect(&mut self, stream: StreamId, address: SocketAddr) {
        let begin = || -> io::Result<TcpStream> {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_nonblocking(true)?;
            begin_connecting(&socket, address)?;
            Ok(socket.into())
        };
        let made = match begin() {
            Ok(socket) => self.insert(Peer::Source(stream), socket, true),
            Err(fault) => {
                self.log_error(format_args!("connect to source {address}: {fault}"));
                false
            }
        };
        if !made {
            self.handle_event(Event::SourceEnded(stream));
        }
    }

    /// Logs an error that may occur often, within the rate limit.
    pub(super) fn log_error(&mut self, line: std::fmt::Arguments<'_>) {
        let now = self.now();
        self.error_log.warn(now, line);
    }

    fn insert(&mut self, peer: Peer, stream: TcpStream, connecting: bool) -> bool {
        let interest = if connecting { Interest::WRITE } else { Interest::READ };
        // If this fails, lines are sent with a delay, but they are sent.
        let _ = stream.set_nodelay(true);
        let prepared = stream.set_nonblocking(true);
        let stream = Rc::new(stream);
        let generic = Generic::new(stream.clone(), interest, Mode::Level);
        let source = Source::new(generic, move |readiness, _, inbox: &mut Inbox| {
            inbox.ready.push((peer, readiness));
            Ok(PostAction::Continue)
        });
        match (prepared, self.handle.register_dispatcher(source.clone())) {
            (Ok(()), Ok(token)) => {
                let connection =
                    Connection { stream, source, token, connecting, output: OutputQueue::default() };
                self.connections.insert(peer, connection);
                true
            }
            (prepared, registered) => {
                let registered = registered.map(|token| self.handle.remove(token)).err();
                self.log_error(format_args!(
                    "connection of {peer:?}: set-up failed: {:?} {registered:?}",
                    prepared.err()
                ));
                false
            }
        }
    }

    pub(super) fn close(&mut self, peer: Peer) {
        if let Some(connection) = self.connections.remove(&peer) {
            self.handle.remove(connection.token);
        }
    }

    fn connection_lost(&mut self, peer: Peer) {
        self.close(peer);
        self.handle_event(match peer {
            Peer::Source(stream) => Event::SourceEnded(stream),
            Peer::Follower(id) => Event::FollowerEnded(id),
        });
    }

    /// Reads and writes what a connection is ready for.
    pub(super) fn ready(&mut self, peer: Peer, readiness: Readiness) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        if connection.connecting {
            connection.connecting = false;
            if !matches!(connection.stream.take_error(), Ok(None)) {
                return self.connection_lost(peer);
            }
            self.set_interest(peer);
            if let Peer::Source(stream) = peer {
                self.handle_event(Event::SourceConnected(stream));
            }
            return;
        }
        if readiness.writable {
            self.flush(peer);
        }
        if readiness.readable || readiness.error {
            self.read(peer);
        }
    }

    /// Reads once. Further bytes are read in the next turn of the loop.
    fn read(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get(&peer) else { return };
        let mut scratch = std::mem::take(&mut self.scratch);
        match (&*connection.stream).read(&mut scratch) {
            Ok(0) => self.connection_lost(peer),
            Ok(count) => {
                let bytes = &scratch[..count];
                self.handle_event(match peer {
                    Peer::Source(stream) => Event::SourceSent(stream, bytes),
                    Peer::Follower(id) => Event::FollowerSent(id, bytes),
                });
            }
            Err(fault) => match classify_transfer_error(&fault) {
                TransferError::NotReady | TransferError::Interrupted => {}
                TransferError::OutOfMemory => {
                    self.log_error(format_args!("connection: {fault}"));
                    self.pause_requested = true;
                }
                TransferError::Broken => self.connection_lost(peer),
            },
        }
        self.scratch = scratch;
    }

    pub(super) fn write(&mut self, peer: Peer, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        connection.output.push(bytes.to_vec());
        self.to_flush.push(peer);
    }

    /// Writes the bytes gathered in this turn; a write may cause an event that adds more.
    pub(super) fn flush_all(&mut self) {
        while let Some(peer) = self.to_flush.pop() {
            self.flush(peer);
        }
    }

    fn flush(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        if connection.connecting || connection.output.is_empty() {
            return;
        }
        let bytes = match connection.flush() {
            Flushed::Broken => return self.connection_lost(peer),
            Flushed::Wrote(bytes) => bytes,
            Flushed::Blocked(bytes) => {
                self.pause_requested = true;
                bytes
            }
        };
        self.set_interest(peer);
        if let (Peer::Follower(id), true) = (peer, bytes > 0) {
            self.handle_event(Event::FollowerWritten(id, bytes));
        }
    }

    /// Registers interest in the readiness that the connection waits for.
    fn set_interest(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get(&peer) else { return };
        let writable = connection.connecting || !connection.output.is_empty();
        let interest = Interest { readable: !connection.connecting, writable };
        let mut source = connection.source.as_source_mut();
        if (source.interest.readable, source.interest.writable) == (interest.readable, interest.writable) {
            return;
        }
        source.interest = interest;
        drop(source);
        if let Err(fault) = self.handle.update(&connection.token) {
            self.log_error(format_args!("connection: {fault}"));
        }
    }
}

/// Begins to connect. An attempt that continues in the background makes the socket writable later, or reports an error.
/// An interrupted call may or may not have begun the attempt: repeating it shows which.
pub fn begin_connecting(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    for _ in 0..MAX_INTERRUPTED_ATTEMPTS {
        match socket.connect(&address.into()) {
            Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
            Err(fault) => {
                return match classify_connect_error(&fault) {
                    ConnectError::InProgress | ConnectError::Connected => Ok(()),
                    _ => Err(fault),
                };
            }
            Ok(()) => return Ok(()),
        }
    }
    Ok(())
}
