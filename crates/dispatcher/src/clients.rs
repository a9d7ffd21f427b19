//! Client connections: the requests open on each, the bytes that have not left yet, and when a connection is
//! to be closed. No I/O: the reducer calls it, and what is to be written or closed is added to the effects.

use crate::effects::{Effect, Peer, TrailingInput};
use crate::lingering::{LingeringConnections, LingeringInput};
use copperroute_protocol::clients::{Answer, Decoder, encode};
use copperroute_routing::interface::{Nanos, RequestId, stable_hash};
use std::collections::HashMap;
use std::net::IpAddr;

/// A client with more unsent bytes than this counts as slow until half of it has left; when memory is short,
/// slow clients are refused first. Their connections are still read, or they could neither abort nor leave.
const SLOW_CLIENT_BYTES: u64 = 512 * 1024;

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
const RECENT: Nanos = Nanos(100_000_000);

/// One connection of a client.
#[derive(Debug, Default)]
pub struct Client {
    /// A hash of the client's address.
    source_hash: u64,
    /// Decoder of the bytes that the client sends.
    pub decoder: Decoder,
    /// Open requests by tag.
    pub open: HashMap<u64, RequestId>,
    /// Bytes queued for the connection, and how many of them have left.
    queued_bytes: u64,
    written_bytes: u64,
    /// The client reads slowly: see [`SLOW_CLIENT_BYTES`].
    slow: bool,
    /// No new requests are accepted; the connection is closed once all earlier ones are answered.
    closing: bool,
    /// The start of the next message is unknown, so nothing that the client sends is decoded any more.
    unreadable: bool,
    /// When bytes last left, or when the first unsent ones were queued.
    last_progress: Nanos,
    /// When the client connected, last sent a whole message or was last written to, whichever is latest.
    last_active: Nanos,
    /// The client has sent at least one whole message.
    has_sent_message: bool,
    /// Since when an incomplete message has been waiting for its rest.
    partial_since: Option<Nanos>,
    /// Input of it may lie unread in its socket.
    has_unread_input: bool,
    /// Received bytes are being decoded; the connection is not closed before all requests in them are
    /// answered.
    decoding: bool,
    /// The client takes its answers too slowly; its connection is closed once all received requests are
    /// answered.
    too_slow: bool,
    /// The client may still wait for answers that were queued for it, until then: what a socket has taken is on its way,
    /// and only the client's time for it tells when it is of no use any more.
    undelivered_until: Nanos,
}

impl Client {
    fn unsent(&self) -> u64 {
        self.queued_bytes.saturating_sub(self.written_bytes)
    }

    /// Whether the client waits for nothing: no request is open, and no answer may be undelivered.
    fn is_idle(&self, now: Nanos) -> bool {
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

    /// Whether the connection is to be closed because the client takes its answers too slowly.
    pub fn is_too_slow(&self) -> bool {
        self.too_slow
    }

    /// Whether the connection can be closed: no new requests are accepted, and all received ones are
    /// answered.
    pub fn can_close(&self) -> bool {
        self.closing && !self.decoding && self.open.is_empty()
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
    fn close_order(&self, now: Nanos) -> (u8, u64) {
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
    fn is_overdue(&self, now: Nanos) -> bool {
        if self.has_unread_input {
            return false;
        }
        let late = |since: Nanos, span: Nanos| now.since(since) > span;
        (!self.has_sent_message && late(self.last_active, MESSAGE_TIMEOUT))
            || self.partial_since.is_some_and(|since| late(since, MESSAGE_TIMEOUT))
            || (self.is_idle(now) && late(self.last_active, IDLE_TIMEOUT))
    }
}

/// What is left of a client that was removed from the table.
struct RemovedClient {
    open: Vec<RequestId>,
    /// What to do with the bytes that it still sends: those of a client that can't be decoded hold no request to answer,
    /// so they are discarded.
    trailing_input: TrailingInput,
    undelivered_until: Nanos,
}

/// The connections of all clients.
#[derive(Debug, Default)]
pub struct Clients {
    by_connection: HashMap<u32, Client>,
    unsent: u64,
    /// The connections with unread input, as last reported.
    unread: Vec<u32>,
    /// Connections in a lingering close.
    pub lingering: LingeringConnections,
}

impl Clients {
    /// The number of connections, including those in a lingering close.
    pub fn count(&self) -> usize {
        self.by_connection.len() + self.lingering.count()
    }

    /// The number of unsent bytes of all clients.
    pub fn unsent(&self) -> u64 {
        self.unsent
    }

    /// Adds a client that has connected.
    pub fn accept(&mut self, number: u32, from: IpAddr, now: Nanos) {
        let from = stable_hash(from.to_string().as_bytes());
        self.by_connection
            .insert(number, Client { source_hash: from, last_active: now, ..Client::default() });
    }

    /// The client with this connection number, if it is still connected.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut Client> {
        self.by_connection.get_mut(&number)
    }

    /// Input of these connections may lie unread in their sockets; of all others it was read to its end.
    pub fn set_unread(&mut self, unread: &[u32]) {
        let before = std::mem::replace(&mut self.unread, unread.to_vec());
        for (numbers, has_unread_input) in [(before.as_slice(), false), (unread, true)] {
            for number in numbers {
                if let Some(client) = self.by_connection.get_mut(number) {
                    client.has_unread_input = has_unread_input;
                }
            }
        }
    }

    /// The hash of the client's address; 0 if the client is no longer connected.
    pub fn source_hash(&self, number: u32) -> u64 {
        self.by_connection.get(&number).map_or(0, |client| client.source_hash)
    }

    /// Whether a client reads slowly.
    pub fn is_slow(&self, number: u32) -> bool {
        self.by_connection.get(&number).is_some_and(|client| client.slow)
    }

    /// Whether the client's socket has not taken all that was queued for it.
    pub fn has_unsent(&self, number: u32) -> bool {
        self.by_connection.get(&number).is_some_and(|client| client.unsent() > 0)
    }

    /// Queues an answer for a client, if it is still connected.
    pub fn write(
        &mut self,
        number: u32,
        tag: u64,
        answer: Answer<'_>,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        let Some(client) = self.by_connection.get_mut(&number) else { return };
        client.last_active = now;
        if client.unsent() == 0 {
            client.last_progress = now;
        }
        let bytes = encode(tag, answer);
        client.queued_bytes += bytes.len() as u64;
        self.unsent += bytes.len() as u64;
        effects.push(Effect::Write(Peer::Client(number), bytes));
        client.slow |= client.unsent() > SLOW_CLIENT_BYTES;
    }

    /// A client was answered a request that it waits for until `deadline`.
    pub fn answered_before(&mut self, number: u32, deadline: Nanos) {
        if let Some(client) = self.by_connection.get_mut(&number) {
            client.undelivered_until = client.undelivered_until.max(deadline);
        }
    }

    /// A client takes what it is sent so slowly that it is no longer waited for.
    pub fn give_up_delivery(&mut self, number: u32) {
        if let Some(client) = self.by_connection.get_mut(&number) {
            client.undelivered_until = Nanos::ZERO;
        }
    }

    /// Stops accepting requests from a client that takes its answers too slowly.
    pub fn mark_too_slow(&mut self, number: u32) {
        if let Some(client) = self.by_connection.get_mut(&number) {
            client.too_slow = true;
            client.close_when_answered();
        }
    }

    /// Bytes for a client have left, `total` since it connected.
    pub fn written(&mut self, number: u32, total: u64, now: Nanos) {
        let Some(client) = self.by_connection.get_mut(&number) else { return };
        client.last_progress = now;
        self.unsent -= total.saturating_sub(client.written_bytes);
        client.written_bytes = total;
        client.slow &= client.unsent() > SLOW_CLIENT_BYTES / 2;
    }

    /// Removes a client from the table.
    fn take(&mut self, number: u32) -> Option<RemovedClient> {
        let client = self.by_connection.remove(&number)?;
        self.unsent -= client.unsent();
        let mut open: Vec<_> = client.open.into_values().collect();
        open.sort_by_key(|request_id| request_id.0);
        let trailing_input =
            if client.unreadable { TrailingInput::Discard } else { TrailingInput::LeaveUnread };
        Some(RemovedClient { open, trailing_input, undelivered_until: client.undelivered_until })
    }

    /// Closes a client's connection at once; returns its open requests.
    pub fn remove(&mut self, number: u32, effects: &mut Vec<Effect>) -> Vec<RequestId> {
        self.lingering.remove(number);
        effects.push(Effect::Close(Peer::Client(number)));
        self.take(number).map(|client| client.open).unwrap_or_default()
    }

    /// Closes a client's connection with a lingering close; returns its open requests.
    pub fn close_lingering(&mut self, number: u32, now: Nanos, effects: &mut Vec<Effect>) -> Vec<RequestId> {
        let Some(client) = self.take(number) else { return Vec::new() };
        effects.push(Effect::CloseLingering(Peer::Client(number), client.trailing_input));
        let displaced = self.lingering.begin(now, number, client.undelivered_until);
        effects.extend(displaced.map(|oldest| Effect::Close(Peer::Client(oldest))));
        client.open
    }

    /// Closes all connections with a lingering close as the process exits, which it does at `exit_by` at the latest.
    pub fn close_all_lingering(&mut self, now: Nanos, exit_by: Nanos, effects: &mut Vec<Effect>) {
        let mut numbers: Vec<_> = self.by_connection.keys().copied().collect();
        numbers.sort();
        self.lingering.shorten_for_exit(now, exit_by);
        for number in numbers {
            let Some(client) = self.take(number) else { continue };
            self.lingering.begin_at_exit(now, number, client.undelivered_until, exit_by);
            effects.push(Effect::CloseLingering(Peer::Client(number), client.trailing_input));
        }
    }

    /// A connection in a lingering close has sent bytes, which are dropped.
    pub fn lingering_received(&mut self, number: u32, bytes: usize, now: Nanos, effects: &mut Vec<Effect>) {
        let peer = Peer::Client(number);
        match self.lingering.received(now, number, bytes) {
            Some(LingeringInput::Close) => effects.push(Effect::Close(peer)),
            Some(LingeringInput::LeaveUnread) => effects.push(Effect::SetReading(peer, false)),
            Some(LingeringInput::Read) | None => {}
        }
    }

    /// Closes the connections whose lingering close has timed out.
    pub fn close_lingered(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        effects.extend(self.lingering.take_expired(now).into_iter().map(|n| Effect::Close(Peer::Client(n))));
    }

    /// The clients that have sent nothing, or only part of a message, or have been idle, for too long.
    pub fn overdue(&self, now: Nanos) -> Vec<u32> {
        let overdue = self.by_connection.iter().filter(|(_, client)| client.is_overdue(now));
        let mut overdue: Vec<_> = overdue.map(|(number, _)| *number).collect();
        overdue.sort();
        overdue
    }

    /// The clients that have taken none of their unsent bytes for longer than `span`.
    pub fn stalled(&self, now: Nanos, span: Nanos) -> Vec<u32> {
        let is_stalled = |client: &Client| client.unsent() > 0 && now.since(client.last_progress) > span;
        let mut stalled: Vec<_> =
            self.by_connection.iter().filter(|(_, c)| is_stalled(c)).map(|(n, _)| *n).collect();
        stalled.sort();
        stalled
    }

    /// Closes up to `max` idle connections, but not `except`, in the order in which they are to be closed.
    pub fn close_idle(&mut self, max: usize, except: Option<u32>, now: Nanos, effects: &mut Vec<Effect>) {
        let idle = self.by_connection.iter().filter(|(number, c)| c.is_idle(now) && Some(**number) != except);
        let mut idle: Vec<_> = idle.map(|(number, c)| (c.close_order(now), *number)).collect();
        idle.sort();
        for (_, number) in idle.into_iter().take(max) {
            self.close_lingering(number, now, effects);
        }
    }

    /// While there are more connections than `max`, closes those in a lingering close, oldest first, but none with
    /// undelivered answers.
    pub fn limit_lingering(&mut self, max: usize, now: Nanos, effects: &mut Vec<Effect>) {
        while self.count() > max
            && let Some(number) = self.lingering.pop_delivered(now)
        {
            effects.push(Effect::Close(Peer::Client(number)));
        }
    }

    /// Frees descriptors at once: closes up to `max` idle connections and the older ones in a lingering
    /// close. Clients that have just connected or were just written to stay, as a request or an answer may be
    /// on its way.
    pub fn free_descriptors(&mut self, max: usize, now: Nanos, effects: &mut Vec<Effect>) {
        for number in self.idle(max, now) {
            self.take(number);
            effects.push(Effect::Close(Peer::Client(number)));
        }
        while let Some(number) = self.lingering.pop_delivered_older_than(now, RECENT) {
            effects.push(Effect::Close(Peer::Client(number)));
        }
    }

    /// Up to `max` connections that have been idle for a while, in the order in which they are to be closed.
    pub fn idle(&self, max: usize, now: Nanos) -> Vec<u32> {
        let is_idle = |client: &Client| client.is_idle(now) && now.since(client.last_active) >= RECENT;
        let idle = self.by_connection.iter().filter(|(_, client)| is_idle(client));
        let mut idle: Vec<_> = idle.map(|(number, c)| (c.close_order(now), *number)).collect();
        idle.sort();
        idle.into_iter().take(max).map(|(_, number)| number).collect()
    }
}
