//! Connections: read, written and closed.

use super::*;
use copperroute_relay::socket_errors::{ConnectError, TransferError, of_connect, of_transfer};

/// A connection, and what it has still to write.
pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    pub(super) source: Source,
    pub(super) token: RegistrationToken,
    pub(super) connecting: bool,
    /// Its bytes are wanted.
    pub(super) reads: bool,
    pub(super) unwritten: Vec<u8>,
    pub(super) at: usize,
    /// Bytes that have left in all.
    pub(super) left: u64,
    /// The sending side ends once all is written.
    pub(super) shuts: bool,
}

impl Carrier {
    pub(super) fn insert(&mut self, peer: Peer, stream: TcpStream, connecting: bool) -> bool {
        let interest = if connecting { Interest::WRITE } else { Interest::READ };
        // Without it answers leave later, but they leave.
        let _ = stream.set_nodelay(true);
        let prepared = again(|| stream.set_nonblocking(true));
        let stream = Rc::new(stream);
        let generic = Generic::new(stream.clone(), interest, Mode::Level);
        let source = Source::new(generic, move |readiness, _, inbox: &mut Inbox| {
            inbox.ready.push((peer, readiness));
            Ok(PostAction::Continue)
        });
        let registered = self.handle.register_dispatcher(source.clone());
        match (prepared, registered) {
            (Ok(()), Ok(token)) => {
                let (unwritten, at, left, reads, shuts) = (Vec::new(), 0, 0, true, false);
                let connection =
                    Connection { stream, source, token, connecting, reads, unwritten, at, left, shuts };
                self.connections.insert(peer, connection);
                true
            }
            (prepared, registered) => {
                let (prepared, registered) =
                    (prepared.err(), registered.map(|token| self.handle.remove(token)).err());
                let line = format_args!("connection: {prepared:?} {registered:?}");
                self.complaints.warn(self.clock.now(), line);
                false
            }
        }
    }

    pub(super) fn close(&mut self, peer: Peer) {
        if let Some(mut connection) = self.connections.remove(&peer) {
            // A client's answers go out as far as they can at once. What a node was not sent by now counts as
            // never sent, and may be on its way to another: not a byte more.
            if matches!(peer, Peer::Client(_)) {
                let _ = connection.flush();
            }
            self.handle.remove(connection.token);
        }
    }

    pub(super) fn closed(&mut self, peer: Peer) {
        self.close(peer);
        self.reduce(Event::Closed(peer));
    }

    /// Carries out what a connection is ready for; tells whether more bytes may wait.
    pub(super) fn ready(&mut self, peer: Peer, readiness: Readiness) -> bool {
        let Some(connection) = self.connections.get_mut(&peer) else { return false };
        if connection.connecting {
            match connection.stream.take_error() {
                Ok(None) => {
                    connection.connecting = false;
                    self.set_interest(peer);
                    self.reduce(Event::Connected(peer));
                }
                // It was accepted and reset at once: not the same as a node that is not there.
                Ok(Some(fault)) if fault.kind() == ErrorKind::ConnectionReset => {
                    self.reduce(Event::Connected(peer));
                    self.closed(peer);
                }
                Ok(Some(fault)) if of_connect(&fault) == ConnectError::Unreachable => self.closed(peer),
                // Of this machine's own, or the call that asks has failed.
                Ok(Some(fault)) | Err(fault) => {
                    self.complaints.warn(self.clock.now(), format_args!("connect: {fault}"));
                    self.close(peer);
                    self.reduce(Event::Unopened(peer));
                }
            }
            return false;
        }
        if readiness.writable {
            self.flush(peer);
        }
        let reads = readiness.readable || readiness.error;
        match peer {
            // Behind a request may lie its abort, or the client's end: heard in the same turn, what the request led to has
            // not left yet and never does.
            Peer::Client(_) => reads && self.read_client(peer),
            _ => reads && self.read(peer) > 0,
        }
    }

    /// Reads all that a client may have open at once, and what lies behind it; tells whether more bytes may wait.
    fn read_client(&mut self, peer: Peer) -> bool {
        let mut bytes = 0;
        for _ in 0..READS_OF_CLIENT {
            match self.read(peer) {
                0 => return false,
                count => bytes += count,
            }
            if bytes > BYTES_OF_CLIENT {
                break;
            }
        }
        true
    }

    /// Reads once; tells how many bytes came. What is behind them shows in the next turn.
    pub(super) fn read(&mut self, peer: Peer) -> usize {
        let Some(connection) = self.connections.get_mut(&peer) else { return 0 };
        let mut scratch = std::mem::take(&mut self.scratch);
        // While another read brings a connection that lacks a descriptor, there is none.
        scratch.resize(READ_AT_ONCE, 0);
        let came = match connection.read(&mut scratch) {
            // A client may still read, and is to hear what becomes of what it asked for.
            Ok(0) if matches!(peer, Peer::Client(_)) => {
                self.reduce(Event::Ended(peer));
                0
            }
            Ok(0) => {
                self.closed(peer);
                0
            }
            Ok(count) => {
                self.reduce(Event::Received(peer, &scratch[..count]));
                count
            }
            Err(fault) => {
                match of_transfer(&fault) {
                    TransferError::NotReady => {}
                    TransferError::Interrupted | TransferError::OwnWant => self.wants(&fault),
                    TransferError::Broken => self.closed(peer),
                }
                0
            }
        };
        self.scratch = scratch;
        came
    }

    /// A read or write could not be done for want of something of this machine's own, or was interrupted: it's tried again in
    /// the next turn, which doesn't come at once.
    fn wants(&mut self, fault: &io::Error) {
        if of_transfer(fault) == TransferError::OwnWant {
            self.complaints.warn(self.clock.now(), format_args!("connection: {fault}"));
        }
        self.pauses = true;
    }

    /// A write has failed: what the other side had sent before is told first. An answer among it must not count as
    /// broken off, or its download might run twice.
    fn broken(&mut self, peer: Peer) {
        for _ in 0..READS_OF_BROKEN {
            if self.read(peer) == 0 {
                break;
            }
        }
        if self.connections.contains_key(&peer) {
            self.closed(peer);
        }
    }

    /// The end of the program: accepts what waits, listens no more, and tells all that clients have sent by now.
    pub(super) fn read_last(&mut self) {
        if let Some(listener) = self.listener.take() {
            self.accept(&listener, BACKLOG as usize);
            self.handle.remove(self.listening);
        }
        let mut clients: Vec<_> =
            self.connections.keys().copied().filter(|peer| matches!(peer, Peer::Client(_))).collect();
        clients.sort();
        for peer in clients {
            let mut reads = 0;
            while reads < READS_OF_BROKEN && self.read(peer) > 0 {
                reads += 1;
            }
        }
        self.reduce(Event::ReadLast);
    }

    /// Writes what is left, then ends the sending side.
    pub(super) fn shut(&mut self, peer: Peer) {
        if let Some(connection) = self.connections.get_mut(&peer) {
            connection.shuts = true;
            self.dirty.push(peer);
        }
    }

    /// Drops bytes that have not left, from a place on.
    pub(super) fn retract(&mut self, peer: Peer, from: u64) {
        if let Some(connection) = self.connections.get_mut(&peer) {
            let kept = from.saturating_sub(connection.left) as usize;
            connection.unwritten.truncate(connection.at + kept);
        }
        // With nothing left to write it must not wait to write: it would be ready for ever.
        self.set_interest(peer);
    }

    pub(super) fn write(&mut self, peer: Peer, bytes: Vec<u8>) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        match connection.unwritten.is_empty() {
            true => connection.unwritten = bytes,
            false => connection.unwritten.extend_from_slice(&bytes),
        }
        self.dirty.push(peer);
    }

    /// Writes what has gathered in this turn; what leaves may bring more to write.
    pub(super) fn flush_all(&mut self) {
        while let Some(peer) = self.dirty.pop() {
            self.flush(peer);
        }
    }

    pub(super) fn flush(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        if connection.connecting || (connection.unwritten.is_empty() && !connection.shuts) {
            return;
        }
        let before = connection.left;
        let flushed = connection.flush();
        let left = connection.left;
        self.set_interest(peer);
        // First what has left: a pull that left whole may have run, though the connection has ended.
        if left > before {
            self.reduce(Event::Written(peer, left));
        }
        match flushed {
            Err(fault) if of_transfer(&fault) == TransferError::Broken => self.broken(peer),
            Err(fault) => self.wants(&fault),
            Ok(()) => {}
        }
    }

    /// Follows what the connection waits for.
    pub(super) fn set_interest(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get(&peer) else { return };
        let writable = connection.connecting || !connection.unwritten.is_empty();
        let interest = Interest { readable: connection.reads && !connection.connecting, writable };
        let mut source = connection.source.as_source_mut();
        if (source.interest.readable, source.interest.writable) == (interest.readable, interest.writable) {
            return;
        }
        source.interest = interest;
        drop(source);
        if let Err(fault) = self.handle.update(&connection.token) {
            self.complaints.warn(self.clock.now(), format_args!("connection: {fault}"));
        }
    }
}

/// Bytes of a client that are read in one turn: 32 requests of 48 KB, the most that may be open on a connection, and as
/// much again for what lies behind them, so that nothing is sent for a client whose abort or end has come.
const BYTES_OF_CLIENT: usize = 2 * 32 * 50_000;
/// Reads of a client's connection in one turn at most: one that sends in small pieces without end is not heard out.
const READS_OF_CLIENT: u32 = 256;
/// Reads of a connection that has failed, or at the end, at most: a peer that never stops is not heard out.
const READS_OF_BROKEN: usize = 16;
/// A call that signals interrupt is repeated so often at once.
const REPEATS: u32 = 8;

/// Makes a call again if it fails, so often at most.
fn again(mut call: impl FnMut() -> io::Result<()>) -> io::Result<()> {
    let tried = (1..REPEATS).any(|_| call().is_ok());
    if tried { Ok(()) } else { call() }
}

impl Connection {
    /// Reads once.
    fn read(&self, to: &mut [u8]) -> io::Result<usize> {
        let mut interrupted = 0;
        loop {
            match (&*self.stream).read(to) {
                Err(fault) if fault.kind() == ErrorKind::Interrupted && interrupted < REPEATS => {
                    interrupted += 1;
                }
                other => return other,
            }
        }
    }

    /// Writes as much as goes. An error that is not of a broken connection leaves the rest for later.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        let mut interrupted = 0;
        while self.at < self.unwritten.len() {
            match (&*self.stream).write(&self.unwritten[self.at..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.at += count;
                    self.left += count as u64;
                }
                Err(fault) => match of_transfer(&fault) {
                    TransferError::NotReady => return Ok(()),
                    TransferError::Interrupted if interrupted < REPEATS => interrupted += 1,
                    _ => return Err(fault),
                },
            }
        }
        self.unwritten = Vec::new();
        self.at = 0;
        if std::mem::take(&mut self.shuts) {
            self.stream.shutdown(Shutdown::Write)?;
        }
        Ok(())
    }
}
