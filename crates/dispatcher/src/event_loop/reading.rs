//! Reading connections: in slices, so that a turn of the loop stays short; before a connection is closed; and as the
//! program ends.

use super::*;
use crate::effects::PeerKind;
use crate::input_queue::{FINAL_LIMITS, InputQueue, MAX_SLICE_BYTES, Slice};
use copperroute_change_log_replica::socket_errors::{TransferError, classify_transfer_error};

/// The order in which a turn reads. The change log comes first (drains, purges), then clients (aborts, closed
/// connections), then nodes, so that an answer leads neither to an attempt for a client that has gone nor to one at a
/// node that drains.
const READ_ORDER: [PeerKind; 3] = [PeerKind::ChangeLog, PeerKind::Client, PeerKind::Node];
/// Limit on the slices read from a node whose connection has failed, against a node that sends without end: as much as
/// a socket's receive buffer usually holds.
const MAX_SLICES_AFTER_FAILURE: usize = 64;

impl Driver {
    /// Handles what the poll has found, and reads for as long as a turn may. Returns whether input may still be unread.
    pub(super) fn serve_ready(&mut self, ready: &[(Peer, Readiness)]) -> bool {
        for kind in READ_ORDER {
            for (peer, readiness) in ready.iter().filter(|(peer, _)| peer.kind() == kind) {
                self.ready(*peer, *readiness);
            }
            self.read_queued(kind);
        }
        self.report_unread_clients();
        !self.unread.is_empty()
    }

    /// Reports to the reducer the clients that this turn has not read to their end, if there are any or were any, and
    /// those of them that have gone.
    fn report_unread_clients(&mut self) {
        let unread = self.unread.unread_clients();
        self.report_departures(&unread);
        if !unread.is_empty() || self.has_unread_clients {
            self.has_unread_clients = !unread.is_empty();
            self.reduce(Event::InputUnread(&unread));
        }
    }

    /// Reads the connections of a kind that have unread input, within the limits of a turn.
    fn read_queued(&mut self, kind: PeerKind) {
        self.unread.queue(kind).begin_turn(self.clock.now());
        while let Some(slice) = self.next_slice(kind) {
            let bytes = self.read_slice(&slice);
            self.unread.queue(kind).slice_read(bytes);
        }
    }

    fn next_slice(&mut self, kind: PeerKind) -> Option<Slice> {
        let now = self.clock.now();
        self.unread.queue(kind).next_slice(now)
    }

    fn read_slice(&mut self, slice: &Slice) -> usize {
        // The reducer may have stopped reading it since it was queued.
        if !self.connections.get(&slice.peer).is_some_and(|connection| connection.wants_input) {
            return 0;
        }
        if slice.peer.kind() == PeerKind::Client {
            self.report_input_delay(slice.unread_since);
        }
        self.read(slice.peer, slice.max_bytes)
    }

    /// Reads a connection once; returns the number of bytes. Further input is reported by the next poll.
    pub(super) fn read(&mut self, peer: Peer, max_bytes: usize) -> usize {
        let Some(connection) = self.connections.get_mut(&peer) else { return 0 };
        let mut buffer = std::mem::take(&mut self.read_buffer);
        // The buffer is missing when `connect` reads idle clients from within another read.
        buffer.resize(MAX_SLICE_BYTES, 0);
        let received = match connection.read(&mut buffer[..max_bytes.min(MAX_SLICE_BYTES)]) {
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
    fn report_input_delay(&mut self, unread_since: Nanos) {
        let delay = Freshness::delay_of(unread_since, self.clock.now());
        if std::mem::replace(&mut self.input_delay, delay) != delay {
            self.reduce(Event::InputDelay(delay));
        }
    }

    /// Reads the idle clients that would be closed to free descriptors, each as far as the largest message. One that has
    /// sent a request meanwhile is no longer idle and stays open.
    pub(super) fn read_idle_clients(&mut self) {
        for number in self.reducer.idle_clients(self.clock.now()) {
            self.report_input_delay(self.freshness.unread_since());
            self.read(Peer::Client(number), MAX_SLICE_BYTES);
        }
    }

    /// A write has failed. What a node had sent before is read first: if an answer in it counted as broken off, its
    /// request might run twice. A client to which nothing can be written waits for nothing.
    pub(super) fn write_failed(&mut self, peer: Peer) {
        let mut slices = if peer.kind() == PeerKind::Client { 0 } else { MAX_SLICES_AFTER_FAILURE };
        while slices > 0 && self.connections.contains_key(&peer) && self.read(peer, MAX_SLICE_BYTES) > 0 {
            slices -= 1;
        }
        if self.connections.contains_key(&peer) {
            self.close_and_report(peer);
        }
    }

    /// The final read as the program ends: accepts the waiting clients, closes the listener, and reads what clients
    /// have sent by now, for a bounded time: the process is killed soon after.
    pub(super) fn read_final_input(&mut self) {
        if let Some(listener) = self.listener.take() {
            self.accept(&listener, BACKLOG as usize);
            self.handle.remove(self.listener_token);
        }
        let readable = self.connections.iter().filter(|(_, connection)| connection.wants_input);
        let mut clients: Vec<_> =
            readable.map(|(peer, _)| *peer).filter(|peer| matches!(peer, Peer::Client(_))).collect();
        clients.sort();
        let mut queue = InputQueue::new(FINAL_LIMITS);
        clients.into_iter().for_each(|peer| queue.push(peer, self.freshness.unread_since()));
        queue.begin_turn(self.clock.now());
        while let Some(slice) = queue.next_slice(self.clock.now()) {
            queue.slice_read(self.read_slice(&slice));
        }
        self.reduce(Event::FinalReadDone);
    }
}
