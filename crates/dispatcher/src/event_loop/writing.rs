//! Bytes on their way out: given, retracted, held back, written, and the end behind them.

use super::connections::REPEATS;
use super::*;
use copperroute_change_log_replica::socket_errors::{TransferError, classify_transfer_error};

impl Carrier {
    /// Writes what is left, then ends the sending side.
    pub(super) fn shut(&mut self, peer: Peer, behind: TrailingInput) {
        if let Some(connection) = self.connections.get_mut(&peer) {
            connection.shuts = true;
            connection.reads = behind == TrailingInput::Discard;
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
            true => (connection.unwritten, connection.asked_at) = (bytes, self.asked_at),
            false => connection.unwritten.extend_from_slice(&bytes),
        }
        self.dirty.push(peer);
    }

    /// Writes what has gathered in this turn; what leaves may bring more to write.
    pub(super) fn flush_all(&mut self) {
        while let Some(peer) = self.dirty.pop() {
            self.flush(peer);
        }
        self.freshness.turn_ended(!self.held_back.is_empty());
        self.dirty.append(&mut self.held_back);
    }

    pub(super) fn flush(&mut self, peer: Peer) {
        if !self.has_to_write(peer) || (matches!(peer, Peer::Node(_)) && !self.may_leave(peer)) {
            return;
        }
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        let before = connection.left;
        let flushed = connection.flush();
        let left = connection.left;
        self.set_interest(peer);
        // First what has left: an attempt that left whole may have run, though the connection has ended.
        if left > before {
            self.reduce(Event::Written(peer, left));
        }
        match flushed {
            Err(fault) if classify_transfer_error(&fault) == TransferError::Broken => self.broken(peer),
            Err(fault) => self.wants(&fault),
            Ok(()) => {}
        }
    }

    fn has_to_write(&self, peer: Peer) -> bool {
        let connection = self.connections.get(&peer);
        connection.is_some_and(|c| !c.connecting && (!c.unwritten.is_empty() || c.shuts))
    }

    /// Whether what is unwritten may leave for a node now: else clients are looked at first, as some may have gone. What
    /// was encoded long ago is encoded anew.
    fn may_leave(&mut self, peer: Peer) -> bool {
        let now = self.clock.now();
        if self.freshness.needs_poll(now) {
            self.held_back.push(peer);
            return false;
        }
        if let Some(connection) = self.connections.get_mut(&peer)
            && Freshness::is_stale(connection.asked_at, now)
        {
            connection.asked_at = now;
            self.reduce(Event::OutputStale(peer));
            // That took time as well.
            return self.has_to_write(peer) && self.may_leave(peer);
        }
        true
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

impl Connection {
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
                Err(fault) => match classify_transfer_error(&fault) {
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
