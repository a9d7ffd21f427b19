//! Output of connections: queued, taken back, postponed until clients are polled, written, and the shutdown after it.

use super::connections::MAX_INTERRUPTED_RETRIES;
use super::*;
use copperroute_change_log_replica::socket_errors::{TransferError, classify_transfer_error};

impl Driver {
    /// Writes the remaining output, then shuts down the sending side. `input` says whether input is still read.
    pub(super) fn close_lingering(&mut self, peer: Peer, input: TrailingInput) {
        if let Some(connection) = self.connections.get_mut(&peer) {
            connection.shutdown_after_output = true;
            connection.wants_input = input == TrailingInput::Discard;
            self.has_output.push(peer);
        }
    }

    /// Drops unwritten output from a position on, counted from the first byte ever given to the connection.
    pub(super) fn truncate_output(&mut self, peer: Peer, from: u64) {
        if let Some(connection) = self.connections.get_mut(&peer) {
            let kept = from.saturating_sub(connection.bytes_written) as usize;
            connection.output.truncate(kept);
        }
        // A connection without output must not be polled for writing: it would always be ready.
        self.set_interest(peer);
    }

    /// Queues output of a connection; it is written at the end of the turn.
    pub(super) fn write(&mut self, peer: Peer, bytes: Vec<u8>) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        if connection.output.is_empty() {
            connection.requested_at = self.requested_at;
        }
        connection.output.push(bytes);
        self.has_output.push(peer);
    }

    /// Writes the output of this turn. Written output may cause more output, which is written too.
    pub(super) fn flush_all(&mut self) {
        while let Some(peer) = self.has_output.pop() {
            self.flush(peer);
        }
        self.freshness.turn_ended(!self.awaiting_poll.is_empty());
        self.has_output.append(&mut self.awaiting_poll);
    }

    /// Writes a connection's output, as far as the socket takes it, and reports the result.
    pub(super) fn flush(&mut self, peer: Peer) {
        if !self.has_output_for(peer) || (matches!(peer, Peer::Node(_)) && !self.may_write_now(peer)) {
            return;
        }
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        let before = connection.bytes_written;
        let flushed = connection.flush();
        let written = connection.bytes_written;
        self.set_interest(peer);
        // Written bytes are reported before a failure: an attempt that was written in full may have run.
        if written > before {
            self.reduce(Event::Written(peer, written));
        }
        match flushed {
            Err(fault) if classify_transfer_error(&fault) == TransferError::Broken => self.write_failed(peer),
            Err(fault) => self.retry_later(&fault),
            Ok(()) => {}
        }
    }

    fn has_output_for(&self, peer: Peer) -> bool {
        let connection = self.connections.get(&peer);
        connection.is_some_and(|c| !c.connecting && (!c.output.is_empty() || c.shutdown_after_output))
    }

    /// Whether output to a node may be written now. If the clients' sockets were polled too long ago, or were not read to
    /// their end, another turn comes first, as clients may have gone. Output that was encoded too long ago is encoded again.
    fn may_write_now(&mut self, peer: Peer) -> bool {
        let now = self.clock.now();
        let may_be_unread = self.unread.has_client_input() && self.freshness.may_hold_output();
        if may_be_unread || self.freshness.needs_poll(now) {
            self.awaiting_poll.push(peer);
            return false;
        }
        if let Some(connection) = self.connections.get_mut(&peer)
            && Freshness::is_stale(connection.requested_at, now)
        {
            connection.requested_at = now;
            self.reduce(Event::OutputStale(peer));
            // Encoding took time, so the check is repeated.
            return self.has_output_for(peer) && self.may_write_now(peer);
        }
        true
    }

    /// Registers what the connection is to be polled for.
    pub(super) fn set_interest(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get(&peer) else { return };
        let writable = connection.connecting || !connection.output.is_empty();
        let interest = Interest { readable: connection.wants_input && !connection.connecting, writable };
        let mut source = connection.source.as_source_mut();
        if (source.interest.readable, source.interest.writable) == (interest.readable, interest.writable) {
            return;
        }
        source.interest = interest;
        drop(source);
        if let Err(fault) = self.handle.update(&connection.token) {
            self.log_limiter.warn(
                self.clock.now(),
                format_args!("connection: {peer:?}: cannot change what is polled: {fault}"),
            );
        }
    }
}

impl Connection {
    /// Writes as much as the socket takes. After an error the rest stays queued, for a retry if the connection is not
    /// broken.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        let mut interrupted = 0;
        while !self.output.is_empty() {
            match (&*self.stream).write(self.output.next_bytes()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.output.written(count);
                    self.bytes_written += count as u64;
                }
                Err(fault) => match classify_transfer_error(&fault) {
                    TransferError::NotReady => return Ok(()),
                    TransferError::Interrupted if interrupted < MAX_INTERRUPTED_RETRIES => interrupted += 1,
                    _ => return Err(fault),
                },
            }
        }
        if std::mem::take(&mut self.shutdown_after_output) {
            self.stream.shutdown(Shutdown::Write)?;
        }
        Ok(())
    }
}
