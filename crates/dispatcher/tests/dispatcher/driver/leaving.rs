//! Clients that cancel, break the protocol or disconnect. From then on no attempt may start for their requests. The
//! model is stricter than the rule, which allows 0.1 s: it allows no attempt at all.

use super::world::World;
use crate::common::message;
use copperroute_dispatcher::effects::{Event, Peer};

impl World {
    /// A client cancels an open request, on a connection that the dispatcher still reads.
    pub(super) fn abort(&mut self, which: usize) {
        let read = |client: &u32| !self.unreadable.contains(client);
        let open: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, client_request)| {
                client_request.is_awaited && client_request.answers == 0 && read(&client_request.client)
            })
            .map(|(id, _)| *id)
            .collect();
        let Some(id) = open.get(which % open.len().max(1)) else { return };
        let client_request = self.requests.get_mut(id).expect("a known request");
        client_request.is_awaited = false;
        let (client, tag) = (client_request.client, client_request.tag);
        self.event(Event::Received(Peer::Client(client), &message("ABORT", tag)));
    }

    /// A client sends a malformed message. It sends further requests on a new connection, and still waits for answers
    /// on this one.
    pub(super) fn send_garbage(&mut self, client: usize) {
        let number = self.clients[client];
        self.event(Event::Received(Peer::Client(number), b"GET / HTTP/1.1\r\n"));
        self.unreadable.insert(number);
        self.former.push(number);
        self.connect(client);
    }

    /// A client reuses the tag of an open request on the same connection. It goes on as above, but can still cancel.
    pub(super) fn reuse_tag(&mut self, client: usize) {
        let number = self.clients[client];
        let mut open =
            self.requests.values().filter(|a| a.client == number && a.is_awaited && a.answers == 0);
        let Some(tag) = open.next().map(|client_request| client_request.tag) else { return };
        self.event(Event::Received(Peer::Client(number), &message("HEALTH", tag)));
        self.former.push(number);
        self.connect(client);
    }

    /// A client ends its sending side and still waits for its answers (`half`), or closes the connection.
    pub(super) fn leave(&mut self, number: u32, half: bool) {
        let peer = Peer::Client(number);
        if half {
            return self.event(Event::EndOfStream(peer));
        }
        self.requests
            .values_mut()
            .filter(|client_request| client_request.client == number)
            .for_each(|client_request| client_request.is_awaited = false);
        self.event(Event::Closed(peer));
    }

    /// The same on a connection that the client used before.
    pub(super) fn leave_former(&mut self, which: usize, half: bool) {
        if !self.former.is_empty() {
            let number = self.former.swap_remove(which % self.former.len());
            self.leave(number, half);
        }
    }

    /// Checks that every fetch not yet sent belongs to a request whose client still waits and was not answered.
    pub(super) fn check_unsent_fetches(&self) {
        for connection in self.connections.values() {
            let text = String::from_utf8_lossy(&connection.unsent);
            // The rest of a fetch that is partly sent does not start with `fetch`, so it is skipped.
            let ids = text.lines().filter_map(|line| line.strip_prefix("fetch ")?.split(' ').next());
            for id in ids.map(|id| u64::from_str_radix(id, 16).expect("hex")) {
                let client_request = &self.requests[&id];
                assert!(
                    client_request.is_awaited && client_request.answers == 0,
                    "{id}: still to be sent though its client no longer waits for it or was answered"
                );
            }
        }
    }
}
