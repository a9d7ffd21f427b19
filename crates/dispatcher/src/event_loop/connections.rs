//! Connections: read, written and closed.

use super::*;
use copperroute_change_log_replica::socket_errors::{
    ConnectError, TransferError, classify_connect_error, classify_transfer_error,
};

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
    /// When what is unwritten was asked for.
    pub(super) asked_at: Nanos,
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
                let connection = Connection {
                    stream,
                    source,
                    token,
                    connecting,
                    reads: true,
                    unwritten: Vec::new(),
                    at: 0,
                    asked_at: Nanos::ZERO,
                    left: 0,
                    shuts: false,
                };
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
                Ok(Some(fault)) if classify_connect_error(&fault) == ConnectError::Unreachable => {
                    self.closed(peer)
                }
                // Of this machine's own, or the call that asks has failed.
                Ok(Some(fault)) | Err(fault) => {
                    self.complaints.warn(self.clock.now(), format_args!("connect: {fault}"));
                    self.close(peer);
                    self.reduce(Event::ConnectFailedLocally(peer));
                }
            }
            return false;
        }
        // Its end is all that is still heard of it: what it was ready for before is left unread.
        if matches!(peer, Peer::Client(_)) && !connection.reads {
            let waits_for_end = connection.waits_for_nothing();
            match waits_for_end {
                true => self.closed(peer),
                false if readiness.writable => self.flush(peer),
                false => {}
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
                self.reduce(Event::EndOfStream(peer));
                0
            }
            Ok(0) => {
                self.closed(peer);
                0
            }
            Ok(count) => {
                if matches!(peer, Peer::Client(_)) {
                    self.tell_unread();
                }
                self.reduce(Event::Received(peer, &scratch[..count]));
                count
            }
            Err(fault) => {
                match classify_transfer_error(&fault) {
                    TransferError::NotReady => {}
                    TransferError::Interrupted | TransferError::OutOfMemory => self.wants(&fault),
                    TransferError::Broken => self.closed(peer),
                }
                0
            }
        };
        self.scratch = scratch;
        came
    }

    /// Tells for how long what is read now may have lain unread, where that has changed.
    fn tell_unread(&mut self) {
        let unread = self.freshness.input_delay(self.clock.now());
        if std::mem::replace(&mut self.unread, unread) != unread {
            self.reduce(Event::InputDelay(unread));
        }
    }

    /// A read or write could not be done for want of something of this machine's own, or was interrupted: it's tried again in
    /// the next turn, which doesn't come at once.
    pub(super) fn wants(&mut self, fault: &io::Error) {
        if classify_transfer_error(fault) == TransferError::OutOfMemory {
            self.complaints.warn(self.clock.now(), format_args!("connection: {fault}"));
        }
        self.pauses = true;
    }

    /// A write has failed: what the other side had sent before is told first. An answer among it must not count as
    /// broken off, or its request might run twice.
    pub(super) fn broken(&mut self, peer: Peer) {
        let reads = |c: &Connection| c.reads || !matches!(peer, Peer::Client(_));
        for _ in 0..READS_OF_BROKEN {
            if !self.connections.get(&peer).is_some_and(reads) || self.read(peer) == 0 {
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
        let read = self.connections.iter().filter(|(_, connection)| connection.reads);
        let mut clients: Vec<_> =
            read.map(|(peer, _)| *peer).filter(|peer| matches!(peer, Peer::Client(_))).collect();
        clients.sort();
        for peer in clients {
            let mut reads = 0;
            while reads < READS_OF_BROKEN && self.read(peer) > 0 {
                reads += 1;
            }
        }
        self.reduce(Event::FinalReadDone);
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
pub(super) const REPEATS: u32 = 8;

/// Makes a call again if it fails, so often at most.
fn again(mut call: impl FnMut() -> io::Result<()>) -> io::Result<()> {
    let tried = (1..REPEATS).any(|_| call().is_ok());
    if tried { Ok(()) } else { call() }
}

impl Connection {
    /// Whether only an end, or a fault, can show.
    fn waits_for_nothing(&self) -> bool {
        let interest = self.source.as_source_ref().interest;
        !interest.readable && !interest.writable
    }

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
}
