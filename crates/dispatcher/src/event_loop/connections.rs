//! Established connections: registering, reading and closing them.

use super::*;
use copperroute_change_log_replica::socket_errors::{
    ConnectError, TransferError, classify_connect_error, classify_transfer_error,
};
use copperroute_protocol::outgoing::OutputQueue;

/// A connection and its unwritten output.
pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    pub(super) source: Source,
    pub(super) token: RegistrationToken,
    pub(super) connecting: bool,
    /// The reducer wants its input.
    pub(super) wants_input: bool,
    pub(super) output: OutputQueue,
    /// When the unwritten output was requested.
    pub(super) requested_at: Nanos,
    /// Bytes written in total.
    pub(super) bytes_written: u64,
    /// A client that has not been read yet: it waited to be accepted at this time or later.
    pub(super) unaccepted_since: Option<Nanos>,
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
                    output: OutputQueue::default(),
                    requested_at: Nanos::ZERO,
                    bytes_written: 0,
                    unaccepted_since: None,
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

    /// Handles what a connection is ready for, and queues it if it has input.
    pub(super) fn ready(&mut self, peer: Peer, readiness: Readiness) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
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
            return;
        }
        // Input of this client is no longer wanted: only its end is reported, and earlier input stays unread.
        if matches!(peer, Peer::Client(_)) && !connection.wants_input {
            let has_ended = connection.has_no_interest();
            match has_ended {
                true => self.close_and_report(peer),
                false if readiness.writable => self.flush(peer),
                false => {}
            }
            return;
        }
        if readiness.writable {
            self.flush(peer);
        }
        if !readiness.readable && !readiness.error {
            return;
        }
        // While reading is paused only the end of a connection is reported, which a read shows.
        match self.connections.get(&peer).is_some_and(|connection| connection.wants_input) {
            true => self.queue_input(peer),
            false => drop(self.read(peer, MAX_SLICE_BYTES)),
        }
    }

    /// Queues a connection that has input.
    fn queue_input(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        let found_since = self.freshness.unread_since();
        let queue = self.unread.queue(peer.kind());
        match connection.unaccepted_since.take() {
            Some(came_at) => queue.push_new(peer, came_at.min(found_since)),
            None => queue.push(peer, found_since),
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
}

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
    pub(super) fn read(&self, to: &mut [u8]) -> io::Result<usize> {
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
