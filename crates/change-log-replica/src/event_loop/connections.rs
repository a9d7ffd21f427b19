//! Sockets: accepted, connected, read, written and closed.

use super::*;
use crate::socket_errors::{
    AcceptError, ConnectError, TransferError, classify_accept_error, classify_connect_error,
    classify_transfer_error,
};

type Source = calloop::Dispatcher<'static, Generic<Rc<TcpStream>>, Inbox>;

/// A call that signals interrupt is repeated so often at once.
const REPEATS: u32 = 8;

/// A connection, and what it has still to write.
pub(super) struct Connection {
    stream: Rc<TcpStream>,
    source: Source,
    token: calloop::RegistrationToken,
    connecting: bool,
    unwritten: Vec<u8>,
    at: usize,
}

/// What became of what was to be written.
pub(super) enum Flushed {
    /// So many bytes have left.
    Left(usize),
    /// The same; the rest could not for want of something of this machine's own, or was interrupted.
    Hindered(usize),
    /// The connection is broken.
    Broken,
}

impl Connection {
    /// Writes as much as goes.
    fn flush(&mut self) -> Flushed {
        let (before, mut interrupted) = (self.at, 0);
        while self.at < self.unwritten.len() {
            match (&*self.stream).write(&self.unwritten[self.at..]) {
                Ok(0) => return Flushed::Broken,
                Ok(count) => self.at += count,
                Err(fault) => match classify_transfer_error(&fault) {
                    TransferError::NotReady => break,
                    TransferError::Interrupted if interrupted < REPEATS => interrupted += 1,
                    TransferError::Interrupted | TransferError::OutOfMemory => {
                        return Flushed::Hindered(self.at - before);
                    }
                    TransferError::Broken => return Flushed::Broken,
                },
            }
        }
        let left = self.at - before;
        if self.at == self.unwritten.len() {
            (self.unwritten, self.at) = (Vec::new(), 0);
        }
        Flushed::Left(left)
    }
}

impl Carrier {
    /// Accepts what waits; tells whether the listener may go on at once.
    pub(super) fn accept(&mut self, listener: &TcpListener) -> bool {
        let mut goes_on = true;
        for _ in 0..ACCEPTED_AT_ONCE {
            match listener.accept() {
                Ok((stream, _)) => {
                    goes_on = true;
                    self.last_follower += 1;
                    let id = FollowerId(self.last_follower);
                    // Without it the machine holds more than it might: heartbeats may then leave late unseen.
                    let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER);
                    if self.insert(Peer::Follower(id), stream, false) {
                        self.reduce(Event::FollowerCame(id));
                    }
                }
                Err(fault) => match classify_accept_error(&fault) {
                    AcceptError::NoneWaiting => return true,
                    // Where nothing but errors comes, it isn't asked on and on.
                    AcceptError::ConnectionFailed => {
                        self.complain(format_args!("accept: {fault}"));
                        goes_on = false;
                    }
                    AcceptError::NoDescriptors | AcceptError::LocalError => {
                        self.complain(format_args!("accept: {fault}"));
                        return false;
                    }
                },
            }
        }
        goes_on
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
                self.complain(format_args!("connect: {fault}"));
                false
            }
        };
        if !made {
            self.reduce(Event::SourceEnded(stream));
        }
    }

    /// One line of those that may come often.
    pub(super) fn complain(&mut self, line: std::fmt::Arguments<'_>) {
        let now = self.now();
        self.complaints.warn(now, line);
    }

    fn insert(&mut self, peer: Peer, stream: TcpStream, connecting: bool) -> bool {
        let interest = if connecting { Interest::WRITE } else { Interest::READ };
        // Without it lines leave later, but they leave.
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
                    Connection { stream, source, token, connecting, unwritten: Vec::new(), at: 0 };
                self.connections.insert(peer, connection);
                true
            }
            (prepared, registered) => {
                let registered = registered.map(|token| self.handle.remove(token)).err();
                self.complain(format_args!("connection: {:?} {registered:?}", prepared.err()));
                false
            }
        }
    }

    pub(super) fn close(&mut self, peer: Peer) {
        if let Some(connection) = self.connections.remove(&peer) {
            self.handle.remove(connection.token);
        }
    }

    fn closed(&mut self, peer: Peer) {
        self.close(peer);
        self.reduce(match peer {
            Peer::Source(stream) => Event::SourceEnded(stream),
            Peer::Follower(id) => Event::FollowerEnded(id),
        });
    }

    /// Carries out what a connection is ready for.
    pub(super) fn ready(&mut self, peer: Peer, readiness: Readiness) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        if connection.connecting {
            connection.connecting = false;
            if !matches!(connection.stream.take_error(), Ok(None)) {
                return self.closed(peer);
            }
            self.set_interest(peer);
            if let Peer::Source(stream) = peer {
                self.reduce(Event::SourceConnected(stream));
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

    /// Reads once. What is behind that shows in the next turn.
    fn read(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get(&peer) else { return };
        let mut scratch = std::mem::take(&mut self.scratch);
        match (&*connection.stream).read(&mut scratch) {
            Ok(0) => self.closed(peer),
            Ok(count) => {
                let bytes = &scratch[..count];
                self.reduce(match peer {
                    Peer::Source(stream) => Event::SourceTold(stream, bytes),
                    Peer::Follower(id) => Event::FollowerSent(id, bytes),
                });
            }
            Err(fault) => match classify_transfer_error(&fault) {
                TransferError::NotReady | TransferError::Interrupted => {}
                TransferError::OutOfMemory => {
                    self.complain(format_args!("connection: {fault}"));
                    self.pauses = true;
                }
                TransferError::Broken => self.closed(peer),
            },
        }
        self.scratch = scratch;
    }

    pub(super) fn write(&mut self, peer: Peer, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        connection.unwritten.extend_from_slice(bytes);
        self.dirty.push(peer);
    }

    /// Writes what has gathered in this turn; what leaves may bring more to write.
    pub(super) fn flush_all(&mut self) {
        while let Some(peer) = self.dirty.pop() {
            self.flush(peer);
        }
    }

    fn flush(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        if connection.connecting || connection.unwritten.is_empty() {
            return;
        }
        let bytes = match connection.flush() {
            Flushed::Broken => return self.closed(peer),
            Flushed::Left(bytes) => bytes,
            Flushed::Hindered(bytes) => {
                self.pauses = true;
                bytes
            }
        };
        self.set_interest(peer);
        if let (Peer::Follower(id), true) = (peer, bytes > 0) {
            self.reduce(Event::FollowerTook(id, bytes));
        }
    }

    /// Follows what the connection waits for.
    fn set_interest(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get(&peer) else { return };
        let writable = connection.connecting || !connection.unwritten.is_empty();
        let interest = Interest { readable: !connection.connecting, writable };
        let mut source = connection.source.as_source_mut();
        if (source.interest.readable, source.interest.writable) == (interest.readable, interest.writable) {
            return;
        }
        source.interest = interest;
        drop(source);
        if let Err(fault) = self.handle.update(&connection.token) {
            self.complain(format_args!("connection: {fault}"));
        }
    }
}

/// Begins to connect; what goes on in the background shows as writable later, or as an error. A call that was interrupted may
/// or may not have begun: made again, it tells.
pub fn begin_connecting(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    for _ in 0..REPEATS {
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
