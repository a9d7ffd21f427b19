//! Bytes on their way to nodes. A fetch is checked when its first byte is sent, and counts as received by the node when
//! its last byte is.

use super::world::{WINDOW, World};
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_routing::interface::Nanos;

impl World {
    /// Sends up to `bytes` bytes of a connection's output to the node.
    pub(super) fn send_bytes(&mut self, number: u32, bytes: u64) {
        let connection = self.connection(number);
        let count = (connection.unsent.len() as u64).min(bytes) as usize;
        if !connection.up || count == 0 {
            return;
        }
        let leaving: Vec<u8> = connection.unsent.drain(..count).collect();
        connection.sent += count as u64;
        let (sent, address) = (connection.sent, connection.address.clone());
        let mut whole = Vec::new();
        let mut begun = Vec::new();
        for byte in leaving {
            let arriving = &mut self.connection(number).arriving;
            if arriving.is_empty() {
                begun.push(whole.len());
            }
            arriving.push(byte);
            let text = String::from_utf8_lossy(arriving).into_owned();
            let ends = if text.starts_with("fetch") { " 0\r\n\r\n" } else { "\r\n" };
            // A fetch ends with its empty body, an abort with its line; the first word tells them apart.
            if text.ends_with(ends) && !(text.starts_with("fetch") && text.len() < 10) {
                whole.push(text);
                arriving.clear();
            }
        }
        for line in whole {
            if let Some(rest) = line.strip_prefix("fetch ") {
                self.record_fetch(number, &address, rest);
            }
        }
        self.event(Event::Written(Peer::Node(number), sent));
    }

    /// Checks that a fetch may still be sent to this address when its first byte is about to be sent; `line` is the
    /// whole line after the word `fetch`.
    pub(super) fn check_fetch(&self, line: &str, address: &str) {
        let id = u64::from_str_radix(line.split(' ').next().expect("an id"), 16).expect("hex");
        let field =
            |name: &str| line.split([' ', ',']).find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
        let client_request = &self.requests[&id];
        let node = &self.node_ids[address];
        assert!(
            client_request.is_awaited && client_request.answers == 0,
            "{id}: sent though its client no longer waits for it or was answered"
        );
        assert!(!self.draining.contains(node), "{id}: sent to {node}, which drains");
        assert!(
            !field("src").is_some_and(|source| self.draining.contains(source)),
            "{id}: filled from a node that drains"
        );
        assert!(
            !(client_request.content_type == 1 && client_request.may_have_run > 0),
            "{id}: a post is retried though it may have run"
        );
        if let Some(first_sent) = client_request
            .first_sent
            .filter(|_| client_request.content_type == 2 && client_request.may_have_run > 0)
        {
            assert!(self.now.since(first_sent) < WINDOW, "{id}: a retry after the idempotency window");
        }
        if let Some(purged) =
            self.purged.get(&client_request.object).filter(|at| self.now.since(**at) < Nanos(5_000_000_000))
        {
            let age = field("maxage").and_then(|age| age.parse::<u64>().ok());
            let purged_ms_ago = (self.now.since(*purged).0 / 1_000_000).max(1);
            assert!(
                client_request.content_type == 1 || age.is_some_and(|age| age <= purged_ms_ago),
                "{id}: maxage is {age:?} ms, but the object was purged {purged_ms_ago} ms ago"
            );
        }
    }

    /// Records that a whole fetch has reached its node.
    pub(super) fn record_fetch(&mut self, number: u32, address: &str, line: &str) {
        let id = u64::from_str_radix(line.split(' ').next().expect("an id"), 16).expect("hex");
        let connection = self.connections.get_mut(&number).expect("an open connection");
        assert!(!connection.in_flight.contains(&id), "{id}: fetched twice on one connection");
        connection.in_flight.push(id);
        let _ = address;
        let client_request = self.requests.get_mut(&id).expect("a known request");
        client_request.may_have_run += 1;
        client_request.first_sent = client_request.first_sent.or(Some(self.now));
    }

    /// Checks each fetch whose first byte is among the next `bytes` bytes.
    pub(super) fn check_next_bytes(&mut self, number: u32, bytes: u64) {
        let connection = self.connection(number);
        let text = String::from_utf8_lossy(&connection.unsent).into_owned();
        let (mut from, address) = (0, connection.address.clone());
        if !connection.arriving.is_empty() {
            // The rest of a line whose first bytes have been sent.
            from = text.find("\r\n").map_or(text.len(), |at| at + 2);
            from += usize::from(text[from..].starts_with("\r\n")) * 2;
        }
        while (from as u64) < bytes && from < text.len() {
            let end = text[from..].find("\r\n").map_or(text.len(), |at| from + at + 2);
            if let Some(line) = text[from..end].strip_prefix("fetch ") {
                self.check_fetch(line, &address);
                from = end + 2;
            } else {
                from = end;
            }
        }
    }
}
