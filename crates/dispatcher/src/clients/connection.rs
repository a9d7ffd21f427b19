//! One connection of a client: its open requests, what it still has to send and to take, and when it may be closed.

use copperroute_protocol::clients::Decoder;
use copperroute_routing::interface::{Nanos, RequestId};
use std::collections::HashMap;

/// A client with more unsent bytes than this counts as slow until half of it has left; when memory is short,
/// slow clients are refused first. Their connections are still read, or they could neither abort nor leave.
pub(super) const SLOW_CLIENT_BYTES: u64 = 512 * 1024;

/// The most requests that may be open on one connection, by the protocol.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Time limit for a client's first whole message after it connects, and for completing any later message that
/// it has begun. Prevents clients that send nothing, or only part of a message, from holding connections.
/// Costs clients that need longer than this to send 48 KB.
const MESSAGE_TIMEOUT: Nanos = Nanos(2_000_000_000);
/// A client that has sent a message and is then idle for longer than this is closed. Typical clients close by
/// themselves after half of it.
const IDLE_TIMEOUT: Nanos = Nanos(8_000_000_000);
/// A client that connected or was active less than this ago is not closed for want of descriptors.
pub(super) const RECENT: Nanos = Nanos(100_000_000);

/// One connection of a client.
#[derive(Debug, Default)]
pub struct Client {
    /// A hash of the client's address.
    pub(super) source_hash: u64,
    /// Decoder of the bytes that the client sends.
    pub decoder: Decoder,
    /// Open requests by tag.
    pub open: HashMap<u64, RequestId>,
    /// Bytes queued for the connection, and how many of them have left.
    pub(super) queued_bytes: u64,
    pub(super) written_bytes: u64,
    /// The client reads slowly: see [`SLOW_CLIENT_BYTES`].
    pub(super) slow: bool,
    /// No new requests are accepted; the connection is closed once all earlier ones are answered.
    pub(super) closing: bool,
    /// The start of the next message is unknown, so nothing that the client sends is decoded any more.
    pub(super) unreadable: bool,
    /// When bytes last left, or when the first unsent ones were queued.
    pub(super) last_progress: Nanos,
    /// When the client connected, last sent a whole message or was last written to, whichever is latest.
    pub(super) last_active: Nanos,
    /// The client has sent at least one whole message.
    pub(super) has_sent_message: bool,
    /// Since when an incomplete message has been waiting for its rest.
    pub(super) partial_since: Option<Nanos>,
    /// Input of it may lie unread in its socket.
    pub(super) has_unread_input: bool,
    /// Received bytes are being decoded; the connection is not closed before all requests in them are
    /// answered.
    pub(super) decoding: bool,
    /// The client takes its answers too slowly; its connection is closed once all received requests are
    /// answered.
    pub(super) too_slow: bool,
    /// The client may still wait for answers that were queued for it, until then: what a socket has taken is on its way,
    /// and only the client's time for it tells when it is of no use any more.
    pub(super) undelivered_until: Nanos,
    /// The client sends no more, but its input is not read to the end.
    pub(super) end_is_unread: bool,
    /// The memory that its incomplete messages took when they were last counted, and that its open requests take.
    pub(super) input_bytes: u64,
    pub(super) request_bytes: u64,
}

impl Client {
    pub(super) fn unsent(&self) -> u64 {
        self.queued_bytes.saturating_sub(self.written_bytes)
    }

    /// Whether the client waits for nothing: no request is open, and no answer may be undelivered.
    pub(super) fn is_idle(&self, now: Nanos) -> bool {
        self.open.is_empty() && self.unsent() == 0 && self.undelivered_until <= now
    }

    /// Accepts no new requests. Aborts are still handled.
    pub fn close_when_answered(&mut self) {
        (self.closing, self.partial_since) = (true, None);
    }

    /// Stops decoding: the client can send neither requests nor aborts any more, but its disconnect is still
    /// noticed.
    pub fn mark_unreadable(&mut self) {
        (self.unreadable, self.decoding, self.decoder) = (true, false, Decoder::default());
        self.close_when_answered();
    }

    /// Adds received bytes to those that are to be decoded.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.decoder.feed(bytes);
        self.decoding = true;
    }

    /// The client sends no more, and is read as far as that. Accepts no new requests; returns whether it did before.
    pub fn read_to_the_end(&mut self) -> bool {
        self.close_when_answered();
        !std::mem::replace(&mut self.end_is_unread, true)
    }

    /// Whether the connection can be closed: no new requests are accepted, and all received ones are
    /// answered.
    pub fn can_close(&self) -> bool {
        self.closing && !self.decoding && !self.end_is_unread && self.open.is_empty()
    }

    /// Whether no new requests are accepted.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Whether nothing that the client sends is decoded any more.
    pub fn is_unreadable(&self) -> bool {
        self.unreadable
    }

    /// A whole message was received.
    pub fn message_received(&mut self, now: Nanos) {
        (self.last_active, self.has_sent_message, self.partial_since) = (now, true, None);
    }

    /// All whole messages among the received bytes have been decoded. If the bytes lay unread here (`was_unread`), the
    /// client gets the whole time for the rest of a message: more of it may lie unread too.
    pub fn all_decoded(&mut self, now: Nanos, was_unread: bool) {
        self.decoding = false;
        self.decoder.release_spare_memory();
        if was_unread {
            (self.last_active, self.partial_since) = (now, None);
        }
        let waits_for_rest = self.decoder.has_partial_message() && !self.closing;
        self.partial_since = waits_for_rest.then(|| self.partial_since.unwrap_or(now));
    }

    /// The order in which idle connections are closed: first those that never sent a message, then those that have been
    /// idle longest. What lies unread may be a request, so those with unread input come after them, of clients that were
    /// read before those that were read last. Those that connected recently are last, as their first message is probably
    /// on the way.
    pub(super) fn close_order(&self, now: Nanos) -> (u8, u64) {
        let is_recent = now.since(self.last_active) < RECENT;
        match (self.has_unread_input, self.has_sent_message) {
            (false, false) if !is_recent => (0, self.last_active.0),
            (false, true) => (1, self.last_active.0),
            (true, _) => (2, u64::MAX - self.last_active.0),
            (false, false) => (3, self.last_active.0),
        }
    }

    /// Whether the client has sent nothing, or only part of a message, or has been idle, for too long. One with unread
    /// input has not.
    pub(super) fn is_overdue(&self, now: Nanos) -> bool {
        if self.has_unread_input {
            return false;
        }
        let late = |since: Nanos, span: Nanos| now.since(since) > span;
        (!self.has_sent_message && late(self.last_active, MESSAGE_TIMEOUT))
            || self.partial_since.is_some_and(|since| late(since, MESSAGE_TIMEOUT))
            || (self.is_idle(now) && late(self.last_active, IDLE_TIMEOUT))
    }
}
