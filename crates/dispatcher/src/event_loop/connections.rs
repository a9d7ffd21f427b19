//! Established connections: registering, reading and closing them.

use super::*;
use copperroute_change_log_replica::socket_errors::{
    ConnectError, TransferError, classify_connect_error, classify_transfer_error,
};

/// A connection and its unwritten output.
pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    pub(super) source: Source,
    pub(super) token: RegistrationToken,
    pub(super) connecting: bool,
    /// The reducer wants its input.
    pub(super) wants_input: bool,
    pub(super) output: Vec<u8>,
    /// The bytes of `output` before this offset are written.
    pub(super) output_offset: usize,
    /// When the unwritten output was requested.
    pub(super) requested_at: Nanos,
    /// Bytes written in total.
    pub(super) bytes_written: u64,
    /// The sending side is shut down once all output is written.
    pub(super) shutdown_after_output: bool,
}

impl Driver {
    /// Registers a connection with the event loop; returns false, and drops it, if that fails.
    pub(super) fn insert(&mut self, peer: Peer, stream: TcpStream, connecting: bool) -> bool {
        let interest = if connecting { Interest::WRITE } else { Interest::READ };
        // A failure only delays answers.
        let _ = stream.set_nodelay(true);
        let prepared = retry_call(|| stream.set_nonblocking(true));
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
                    wants_input: true,
                    output: Vec::new(),
                    output_offset: 0,
                    requested_at: Nanos::ZERO,
                    bytes_written: 0,
                    shutdown_after_output: false,
                };
                self.connections.insert(peer, connection);
                true
            }
            (prepared, registered) => {
                let (prepared, registered) =
                    (prepared.err(), registered.map(|token| self.handle.remove(token)).err());
                let line =
                    format_args!("connection: set nonblocking: {prepared:?}, register: {registered:?}");
                self.log_limiter.warn(self.clock.now(), line);
                false
            }
        }
    }

    /// Closes a connection without reporting it to the reducer.
    pub(super) fn close(&mut self, peer: Peer) {
        if let Some(mut connection) = self.connections.remove(&peer) {
            // A client gets as much of its answers as can be written at once. A node gets nothing more: the reducer
            // counts unwritten attempts as not sent and may already have sent them to another node.
            if matches!(peer, Peer::Client(_)) {
                let _ = connection.flush();
            }
            self.handle.remove(connection.token);
        }
    }

    /// Closes a connection and reports that to the reducer.
    pub(super) fn close_and_report(&mut self, peer: Peer) {
        self.close(peer);
        self.reduce(Event::Closed(peer));
    }

    /// Reads and writes a connection as it is ready for; returns whether more input may be unread.
    pub(super) fn ready(&mut self, peer: Peer, readiness: Readiness) -> bool {
        let Some(connection) = self.connections.get_mut(&peer) else { return false };
        if connection.connecting {
            match connection.stream.take_error() {
                Ok(None) => {
                    connection.connecting = false;
                    self.set_interest(peer);
                    self.reduce(Event::Connected(peer));
                }
                // The node accepted the connection and reset it at once, so it is not unreachable.
                Ok(Some(fault)) if fault.kind() == ErrorKind::ConnectionReset => {
                    self.reduce(Event::Connected(peer));
                    self.close_and_report(peer);
                }
                Ok(Some(fault)) if classify_connect_error(&fault) == ConnectError::Unreachable => {
                    self.close_and_report(peer)
                }
                // A local failure, or `take_error` itself has failed.
                Ok(Some(fault)) | Err(fault) => {
                    self.log_limiter.warn(self.clock.now(), format_args!("connect: {peer:?}: {fault}"));
                    self.close(peer);
                    self.reduce(Event::ConnectFailedLocally(peer));
                }
            }
            return false;
        }
        // Input of this client is no longer wanted: only its end is reported, and earlier input stays unread.
        if matches!(peer, Peer::Client(_)) && !connection.wants_input {
            let has_ended = connection.has_no_interest();
            match has_ended {
                true => self.close_and_report(peer),
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
            // A request may be followed by its abort or by the end of stream. If that is read in the same turn, the
            // request's attempt is not written yet and is dropped.
            Peer::Client(_) => reads && self.read_client(peer),
            _ => reads && self.read(peer) > 0,
        }
    }

    /// Reads a client until no more input is there, or up to the limits for one turn; returns whether more may be
    /// unread.
    fn read_client(&mut self, peer: Peer) -> bool {
        let mut bytes = 0;
        for _ in 0..MAX_CLIENT_READS_PER_TURN {
            match self.read(peer) {
                0 => return false,
                count => bytes += count,
            }
            if bytes > MAX_CLIENT_BYTES_PER_TURN {
                break;
            }
        }
        true
    }

    /// Reads a connection once; returns the number of bytes. Further input is reported by the next poll.
    pub(super) fn read(&mut self, peer: Peer) -> usize {
        let Some(connection) = self.connections.get_mut(&peer) else { return 0 };
        let mut buffer = std::mem::take(&mut self.read_buffer);
        // The buffer is missing when `connect` reads idle clients from within another read.
        buffer.resize(READ_BUFFER_BYTES, 0);
        let received = match connection.read(&mut buffer) {
            // The client may still read the answers to its requests.
            Ok(0) if matches!(peer, Peer::Client(_)) => {
                self.reduce(Event::EndOfStream(peer));
                0
            }
            Ok(0) => {
                self.close_and_report(peer);
                0
            }
            Ok(count) => {
                if matches!(peer, Peer::Client(_)) {
                    self.report_input_delay();
                }
                self.reduce(Event::Received(peer, &buffer[..count]));
                count
            }
            Err(fault) => {
                match classify_transfer_error(&fault) {
                    TransferError::NotReady => {}
                    TransferError::Interrupted | TransferError::OutOfMemory => self.retry_later(&fault),
                    TransferError::Broken => self.close_and_report(peer),
                }
                0
            }
        };
        self.read_buffer = buffer;
        received
    }

    /// Reports to the reducer how long the input that is read now may have been unread, if that has changed.
    fn report_input_delay(&mut self) {
        let delay = self.freshness.input_delay(self.clock.now());
        if std::mem::replace(&mut self.input_delay, delay) != delay {
            self.reduce(Event::InputDelay(delay));
        }
    }

    /// A read or write has failed for a local reason or was interrupted too often. It is tried again in the next turn,
    /// after a pause.
    pub(super) fn retry_later(&mut self, fault: &io::Error) {
        if classify_transfer_error(fault) == TransferError::OutOfMemory {
            self.log_limiter
                .warn(self.clock.now(), format_args!("connection: read or write failed: {fault}"));
        }
        self.needs_pause = true;
    }

    /// A write has failed. What the other side had sent before is read first: if an answer in it counted as broken off,
    /// its request might run twice.
    pub(super) fn write_failed(&mut self, peer: Peer) {
        let is_readable = |c: &Connection| c.wants_input || !matches!(peer, Peer::Client(_));
        for _ in 0..MAX_FINAL_READS {
            if !self.connections.get(&peer).is_some_and(is_readable) || self.read(peer) == 0 {
                break;
            }
        }
        if self.connections.contains_key(&peer) {
            self.close_and_report(peer);
        }
    }

    /// The final read as the program ends: accepts the waiting clients, closes the listener, and reads all that clients
    /// have sent by now.
    pub(super) fn read_final_input(&mut self) {
        if let Some(listener) = self.listener.take() {
            self.accept(&listener, BACKLOG as usize);
            self.handle.remove(self.listener_token);
        }
        let readable = self.connections.iter().filter(|(_, connection)| connection.wants_input);
        let mut clients: Vec<_> =
            readable.map(|(peer, _)| *peer).filter(|peer| matches!(peer, Peer::Client(_))).collect();
        clients.sort();
        for peer in clients {
            let mut reads = 0;
            while reads < MAX_FINAL_READS && self.read(peer) > 0 {
                reads += 1;
            }
        }
        self.reduce(Event::FinalReadDone);
    }
}

/// Limit on bytes read from a client in one turn: 32 requests of 48 KB, the most that may be open on a connection, and
/// as much again for what follows them, so that no attempt is sent for a client whose abort or end of stream has
/// arrived.
const MAX_CLIENT_BYTES_PER_TURN: usize = 2 * 32 * 50_000;
/// Limit on reads of a client in one turn, against a client that sends small pieces without end.
const MAX_CLIENT_READS_PER_TURN: u32 = 256;
/// Limit on reads of a connection that has failed, and on final reads, against a peer that sends without end.
const MAX_FINAL_READS: usize = 16;
/// Limit on immediate retries of a call that signals interrupt.
pub(super) const MAX_INTERRUPTED_RETRIES: u32 = 8;

/// Makes a call until it succeeds, up to [`MAX_INTERRUPTED_RETRIES`] times.
fn retry_call(mut call: impl FnMut() -> io::Result<()>) -> io::Result<()> {
    let succeeded = (1..MAX_INTERRUPTED_RETRIES).any(|_| call().is_ok());
    if succeeded { Ok(()) } else { call() }
}

impl Connection {
    /// Whether it is polled for nothing, so that only its end or an error can be reported.
    fn has_no_interest(&self) -> bool {
        let interest = self.source.as_source_ref().interest;
        !interest.readable && !interest.writable
    }

    /// Reads once, and again after an interrupt.
    fn read(&self, to: &mut [u8]) -> io::Result<usize> {
        let mut interrupted = 0;
        loop {
            match (&*self.stream).read(to) {
                Err(fault)
                    if fault.kind() == ErrorKind::Interrupted && interrupted < MAX_INTERRUPTED_RETRIES =>
                {
                    interrupted += 1;
                }
                other => return other,
            }
        }
    }
}
