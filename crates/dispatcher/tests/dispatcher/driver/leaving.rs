//! How clients go: from then on no attempt may begin for what they asked. The model is stricter than the rule, which gives
//! 0.1 s: none begins at all.

use super::world::World;
use crate::common::message;
use copperroute_dispatcher::effects::{Event, Peer};

impl World {
    /// A client cancels a request that is open, where what it sends is read.
    pub(super) fn abort(&mut self, which: usize) {
        let read = |client: &u32| !self.unreadable.contains(client);
        let open: Vec<_> = self
            .asked
            .iter()
            .filter(|(_, asked)| asked.waits && asked.answers == 0 && read(&asked.client))
            .map(|(id, _)| *id)
            .collect();
        let Some(id) = open.get(which % open.len().max(1)) else { return };
        let asked = self.asked.get_mut(id).expect("asked for");
        asked.waits = false;
        let (client, tag) = (asked.client, asked.tag);
        self.event(Event::Received(Peer::Client(client), &message("ABORT", tag)));
    }

    /// A client sends what can't be read; it goes on with another connection, and waits on this one.
    pub(super) fn cannot_be_read(&mut self, client: usize) {
        let number = self.clients[client];
        self.event(Event::Received(Peer::Client(number), b"GET / HTTP/1.1\r\n"));
        self.unreadable.insert(number);
        self.former.push(number);
        self.connect(client);
    }

    /// A client asks under a tag that is open on its connection; it goes on as above, but can cancel.
    pub(super) fn tag_twice(&mut self, client: usize) {
        let number = self.clients[client];
        let mut open = self.asked.values().filter(|a| a.client == number && a.waits && a.answers == 0);
        let Some(tag) = open.next().map(|asked| asked.tag) else { return };
        self.event(Event::Received(Peer::Client(number), &message("HEALTH", tag)));
        self.former.push(number);
        self.connect(client);
    }

    /// A client ends its sending side, and is to be told what becomes of its requests, or its connection.
    pub(super) fn leave(&mut self, number: u32, half: bool) {
        let peer = Peer::Client(number);
        if half {
            return self.event(Event::EndOfStream(peer));
        }
        self.asked.values_mut().filter(|asked| asked.client == number).for_each(|asked| asked.waits = false);
        self.event(Event::Closed(peer));
    }

    /// The same on a connection that it used before.
    pub(super) fn leave_former(&mut self, which: usize, half: bool) {
        if !self.former.is_empty() {
            let number = self.former.swap_remove(which % self.former.len());
            self.leave(number, half);
        }
    }

    /// Nothing that has not begun to leave for a node is asked for a client that has gone, or was answered.
    pub(super) fn nothing_is_to_begin_for_who_has_gone(&self) {
        for way in self.ways.values() {
            let text = String::from_utf8_lossy(&way.unsent);
            // The rest of what has begun is no whole line of a fetch.
            let ids = text.lines().filter_map(|line| line.strip_prefix("fetch ")?.split(' ').next());
            for id in ids.map(|id| u64::from_str_radix(id, 16).expect("hex")) {
                let asked = &self.asked[&id];
                assert!(asked.waits && asked.answers == 0, "{id}: to begin though nobody waits for it");
            }
        }
    }
}
