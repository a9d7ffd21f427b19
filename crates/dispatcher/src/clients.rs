//! Client connections: what is open on each, what has not left yet, and who is read from.

use crate::effects::{Effect, Peer, TrailingInput};
use crate::lingering::LingeringConnections;
use copperroute_protocol::clients::{Answer, Decoder, encode};
use copperroute_routing::interface::{Nanos, RequestId, stable_hash};
use std::collections::HashMap;
use std::net::IpAddr;

/// A client with more unsent than this reads slowly, until half of it has left: where memory is short it goes without
/// first. It is read from all the same, or it could neither abort nor leave.
const UNSENT: u64 = 512 * 1024;

/// Requests open on one connection at most, by the protocol.
pub const MOST_OPEN: usize = 32;
/// From when it connects a client has so long to send its first whole request, and so long for any later one
/// that has begun. Guards against those who say nothing or half of something; harms who needs longer for 48 KB.
const SPEAKS: Nanos = Nanos(2_000_000_000);
/// A client that asked and then rests for so long is closed. Usual ones close by themselves after half of it.
const RESTS: Nanos = Nanos(8_000_000_000);
/// A client that has just connected is about to speak.
const YOUNG: Nanos = Nanos(100_000_000);

/// One connection of a client.
#[derive(Debug, Default)]
pub struct Client {
    /// Stands for where it comes from.
    from: u64,
    /// Decodes what it sends.
    pub decoder: Decoder,
    /// Open requests by tag.
    pub open: HashMap<u64, RequestId>,
    /// Bytes given to the connection, and those that have left.
    queued: u64,
    written: u64,
    /// It reads slowly.
    slow: bool,
    /// It has broken the protocol: it is closed once all that it asked before is answered.
    closing: bool,
    /// Where its next message begins is not known: nothing that it sends is decoded any more.
    unreadable: bool,
    /// When bytes last left, or began to wait.
    moved: Nanos,
    /// When it connected, or last sent a whole message, or was last written to.
    active: Nanos,
    /// It has asked for something.
    asked: bool,
    /// Since when the rest of a message is missing.
    midway: Option<Nanos>,
    /// What came is being decoded: its connection does not end before all of it is answered.
    decoding: bool,
    /// It takes too little, and its connection ends once all that came is answered.
    run_out: bool,
}

impl Client {
    fn unsent(&self) -> u64 {
        self.queued.saturating_sub(self.written)
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.unsent() == 0
    }

    /// It asks for nothing new any more. Aborts are heard on.
    pub fn close_when_answered(&mut self) {
        (self.closing, self.midway) = (true, None);
    }

    /// Nothing that it sends is decoded any more, so that it asks for nothing new and can't abort; it can leave.
    pub fn cannot_be_read(&mut self) {
        (self.unreadable, self.decoding, self.decoder) = (true, false, Decoder::default());
        self.close_when_answered();
    }

    /// Bytes have come that are to be decoded now.
    pub fn decodes(&mut self, bytes: &[u8]) {
        self.decoder.feed(bytes);
        self.decoding = true;
    }

    /// Whether it is not waited for any longer.
    pub fn has_run_out(&self) -> bool {
        self.run_out
    }

    /// Whether its connection can end: it asks for nothing new, and all that came is answered.
    pub fn is_spent(&self) -> bool {
        self.closing && !self.decoding && self.open.is_empty()
    }

    /// Whether it asks for nothing new any more.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Whether nothing that it sends is decoded any more.
    pub fn is_unreadable(&self) -> bool {
        self.unreadable
    }

    /// A whole message has come.
    pub fn spoke(&mut self, now: Nanos) {
        (self.active, self.asked, self.midway) = (now, true, None);
    }

    /// All that came has been decoded, as far as it is whole.
    pub fn pauses(&mut self, now: Nanos) {
        self.decoding = false;
        self.decoder.release_spare_memory();
        let waits_for_rest = self.decoder.has_partial_message() && !self.closing;
        self.midway = waits_for_rest.then(|| self.midway.unwrap_or(now));
    }

    /// It said nothing, or half of something, or rested, for too long.
    fn is_overdue(&self, now: Nanos) -> bool {
        let late = |since: Nanos, span: Nanos| now.since(since) > span;
        (!self.asked && late(self.active, SPEAKS))
            || self.midway.is_some_and(|since| late(since, SPEAKS))
            || (self.is_idle() && late(self.active, RESTS))
    }
}

/// The connections of all clients.
#[derive(Debug, Default)]
pub struct Clients {
    by_number: HashMap<u32, Client>,
    unsent: u64,
    /// Those whose connections are ending.
    pub lingering: LingeringConnections,
}

impl Clients {
    /// How many connections there are, also of those that are ending.
    pub fn count(&self) -> usize {
        self.by_number.len() + self.lingering.count()
    }

    /// Bytes for all of them that have not left.
    pub fn unsent(&self) -> u64 {
        self.unsent
    }

    /// A client has connected.
    pub fn accept(&mut self, number: u32, from: IpAddr, now: Nanos) {
        let from = stable_hash(from.to_string().as_bytes());
        self.by_number.insert(number, Client { from, active: now, ..Client::default() });
    }

    /// A client that is still there.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut Client> {
        self.by_number.get_mut(&number)
    }

    /// Stands for where a client comes from; zero once it has gone.
    pub fn from(&self, number: u32) -> u64 {
        self.by_number.get(&number).map_or(0, |client| client.from)
    }

    /// Whether a client reads slowly.
    pub fn is_slow(&self, number: u32) -> bool {
        self.by_number.get(&number).is_some_and(|client| client.slow)
    }

    /// Writes to a client, if it is still there.
    pub fn write(
        &mut self,
        number: u32,
        tag: u64,
        answer: Answer<'_>,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        let Some(client) = self.by_number.get_mut(&number) else { return };
        client.active = now;
        if client.unsent() == 0 {
            client.moved = now;
        }
        let bytes = encode(tag, answer);
        client.queued += bytes.len() as u64;
        self.unsent += bytes.len() as u64;
        effects.push(Effect::Write(Peer::Client(number), bytes));
        client.slow |= client.unsent() > UNSENT;
    }

    /// A client takes so little that it is not waited for any longer once all that came is answered.
    pub fn run_out(&mut self, number: u32) {
        if let Some(client) = self.by_number.get_mut(&number) {
            client.run_out = true;
            client.close_when_answered();
        }
    }

    /// Bytes for a client have left, so many in all.
    pub fn written(&mut self, number: u32, total: u64, now: Nanos) {
        let Some(client) = self.by_number.get_mut(&number) else { return };
        client.moved = now;
        self.unsent -= total.saturating_sub(client.written);
        client.written = total;
        client.slow &= client.unsent() > UNSENT / 2;
    }

    /// Lets go of a client; returns what was open on it, and what becomes of what it still sends: of one that can't be
    /// read no request is.
    fn forget(&mut self, number: u32) -> Option<(Vec<RequestId>, TrailingInput)> {
        let client = self.by_number.remove(&number)?;
        self.unsent -= client.unsent();
        let mut open: Vec<_> = client.open.into_values().collect();
        open.sort_by_key(|request_id| request_id.0);
        Some((open, if client.unreadable { TrailingInput::Discard } else { TrailingInput::LeaveUnread }))
    }

    /// A client's connection ends at once; returns what was open on it.
    pub fn remove(&mut self, number: u32, effects: &mut Vec<Effect>) -> Vec<RequestId> {
        self.lingering.remove(number);
        effects.push(Effect::Close(Peer::Client(number)));
        self.forget(number).map(|(open, _)| open).unwrap_or_default()
    }

    /// A client's connection ends by a lingering close; returns what was open on it.
    pub fn shut(&mut self, number: u32, now: Nanos, effects: &mut Vec<Effect>) -> Vec<RequestId> {
        let Some((open, behind)) = self.forget(number) else { return Vec::new() };
        effects.push(Effect::CloseLingering(Peer::Client(number), behind));
        let instead = self.lingering.begin(now, number);
        effects.extend(instead.map(|oldest| Effect::Close(Peer::Client(oldest))));
        open
    }

    /// All clients' connections end, as the program does.
    pub fn shut_all(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let mut numbers: Vec<_> = self.by_number.keys().copied().collect();
        numbers.sort();
        self.lingering.shorten_for_exit(now);
        for number in numbers {
            let Some((_, behind)) = self.forget(number) else { continue };
            self.lingering.begin_at_exit(now, number);
            effects.push(Effect::CloseLingering(Peer::Client(number), behind));
        }
    }

    /// Connections that have lingered for long enough are closed.
    pub fn sweep(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        effects.extend(self.lingering.take_expired(now).into_iter().map(|n| Effect::Close(Peer::Client(n))));
    }

    /// The clients that said nothing, or half of something, or rested, for too long.
    pub fn overdue(&self, now: Nanos) -> Vec<u32> {
        let overdue = self.by_number.iter().filter(|(_, client)| client.is_overdue(now));
        let mut overdue: Vec<_> = overdue.map(|(number, _)| *number).collect();
        overdue.sort();
        overdue
    }

    /// The clients that have taken nothing of what waits for them for so long.
    pub fn stuck(&self, now: Nanos, span: Nanos) -> Vec<u32> {
        let stuck = |client: &Client| client.unsent() > 0 && now.since(client.moved) > span;
        let mut stuck: Vec<_> = self.by_number.iter().filter(|(_, c)| stuck(c)).map(|(n, _)| *n).collect();
        stuck.sort();
        stuck
    }

    /// Ends up to `most` connections on which nothing is open, but not the one that is spared: first those
    /// that never asked, then those that rested longest, last those that have just come.
    pub fn close_idle(&mut self, most: usize, spared: Option<u32>, now: Nanos, effects: &mut Vec<Effect>) {
        let idle = self.by_number.iter().filter(|(number, c)| c.is_idle() && Some(**number) != spared);
        let place = |c: &Client| if c.asked { 1 } else { 2 * u8::from(now.since(c.active) < YOUNG) };
        let mut idle: Vec<_> = idle.map(|(number, c)| (place(c), c.active, *number)).collect();
        idle.sort();
        for (_, _, number) in idle.into_iter().take(most) {
            self.shut(number, now, effects);
        }
    }

    /// Of more connections than so many, those that linger are closed first.
    pub fn cut_lingering(&mut self, most: usize, effects: &mut Vec<Effect>) {
        while self.count() > most
            && let Some(number) = self.lingering.pop_oldest()
        {
            effects.push(Effect::Close(Peer::Client(number)));
        }
    }

    /// Descriptors are wanted at once: those that have lingered for a while are closed, and those that rest. Who has just come
    /// or was just written to stays: a request may be on its way, or an answer.
    pub fn make_room(&mut self, most: usize, now: Nanos, effects: &mut Vec<Effect>) {
        for number in self.resting(most, now) {
            self.forget(number);
            effects.push(Effect::Close(Peer::Client(number)));
        }
        while let Some(number) = self.lingering.pop_older_than(now, YOUNG) {
            effects.push(Effect::Close(Peer::Client(number)));
        }
    }

    /// Up to `most` connections on which nothing was open for a while, in the order in which they are to be closed.
    pub fn resting(&self, most: usize, now: Nanos) -> Vec<u32> {
        let rests = |client: &Client| client.is_idle() && now.since(client.active) >= YOUNG;
        let resting = self.by_number.iter().filter(|(_, client)| rests(client));
        let mut resting: Vec<_> = resting.map(|(number, c)| (c.asked, c.active, *number)).collect();
        resting.sort();
        resting.into_iter().take(most).map(|(_, _, number)| number).collect()
    }
}
