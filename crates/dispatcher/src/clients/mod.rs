//! Client connections: the requests open on each, the bytes that have not left yet, and when a connection is
//! to be closed. No I/O: the reducer calls it, and what is to be written or closed is added to the effects.

use crate::effects::{Effect, Peer, TrailingInput};
use crate::lingering::{LingeringConnections, LingeringInput, LingeringStart};
use copperroute_protocol::clients::{Answer, encode};
use copperroute_routing::interface::{Nanos, RequestId, stable_hash};
use std::collections::HashMap;
use std::net::IpAddr;

mod connection;

pub use connection::{Client, MAX_OPEN_REQUESTS};
use connection::{RECENT, SLOW_CLIENT_BYTES};

/// What is left of a client that was removed from the table.
struct RemovedClient {
    open: Vec<RequestId>,
    /// What to do with the bytes that it still sends: those of a client that can't be decoded hold no request to answer,
    /// so they are discarded.
    trailing_input: TrailingInput,
    lingering: LingeringStart,
}

/// The connections of all clients.
#[derive(Debug, Default)]
pub struct Clients {
    by_connection: HashMap<u32, Client>,
    unsent: u64,
    /// The memory that incomplete messages take, of all clients.
    input_bytes: u64,
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

    /// The number of unsent bytes of all clients, including those in a lingering close.
    pub fn unsent(&self) -> u64 {
        self.unsent + self.lingering.unsent()
    }

    /// The number of unsent bytes of a client.
    pub fn unsent_of(&self, number: u32) -> u64 {
        self.by_connection.get(&number).map_or(0, Client::unsent)
    }

    /// The memory that incomplete messages take, of all clients.
    pub fn input_bytes(&self) -> u64 {
        self.input_bytes
    }

    /// The memory that a client's incomplete messages and its open requests take.
    pub fn held_by(&self, number: u32) -> u64 {
        self.by_connection.get(&number).map_or(0, |client| client.input_bytes + client.request_bytes)
    }

    /// Counts the memory of a client's incomplete messages again.
    pub fn count_input(&mut self, number: u32) {
        let Some(client) = self.by_connection.get_mut(&number) else { return };
        let held = client.decoder.held_bytes() as u64;
        self.input_bytes = self.input_bytes - client.input_bytes + held;
        client.input_bytes = held;
    }

    /// A client has opened a request that takes this much memory.
    pub fn request_opened(&mut self, number: u32, tag: u64, request_id: RequestId, bytes: u64) {
        if let Some(client) = self.by_connection.get_mut(&number) {
            client.open.insert(tag, request_id);
            client.request_bytes += bytes;
        }
    }

    /// A request of a client, if it is still connected, takes no memory any more.
    pub fn request_released(&mut self, number: u32, bytes: u64) {
        if let Some(client) = self.by_connection.get_mut(&number) {
            client.request_bytes = client.request_bytes.saturating_sub(bytes);
        }
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

    /// Whether the connection is to be closed because the client takes its answers too slowly.
    pub fn is_too_slow(&self, number: u32) -> bool {
        self.by_connection.get(&number).is_some_and(|client| client.too_slow)
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
        let Some(client) = self.by_connection.get_mut(&number) else {
            return self.lingering.written(number, total);
        };
        client.last_progress = now;
        self.unsent -= total.saturating_sub(client.written_bytes);
        client.written_bytes = total;
        client.slow &= client.unsent() > SLOW_CLIENT_BYTES / 2;
    }

    /// Removes a client from the table.
    fn take(&mut self, number: u32) -> Option<RemovedClient> {
        let client = self.by_connection.remove(&number)?;
        self.unsent -= client.unsent();
        self.input_bytes -= client.input_bytes;
        let lingering = LingeringStart {
            number,
            undelivered_until: client.undelivered_until,
            queued_bytes: client.queued_bytes,
            unsent: client.unsent(),
        };
        let mut open: Vec<_> = client.open.into_values().collect();
        open.sort_by_key(|request_id| request_id.0);
        let trailing_input =
            if client.unreadable { TrailingInput::Discard } else { TrailingInput::LeaveUnread };
        Some(RemovedClient { open, trailing_input, lingering })
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
        let displaced = self.lingering.begin(now, client.lingering);
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
            self.lingering.begin_at_exit(now, client.lingering, exit_by);
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
