//! The clients' side of the request table: output for clients, the memory that it may take, and ends of connections.

use super::*;

impl RequestTable {
    /// Queues an answer for a client, if it is still connected.
    pub fn write(&mut self, client: u32, tag: u64, answer: Answer<'_>) {
        self.clients.write(client, tag, answer, self.now, &mut self.effects);
        self.update_node_reads();
    }

    /// The same for a request that the client waits for until `deadline`: its connection stays open until then, unless the
    /// client closes it.
    pub fn write_awaited(&mut self, client: u32, tag: u64, answer: Answer<'_>, deadline: Nanos) {
        self.clients.answered_before(client, deadline);
        self.write(client, tag, answer);
    }

    /// Bytes for a client have left, `total` since it connected.
    pub fn client_written(&mut self, client: u32, total: u64) {
        self.clients.written(client, total, self.now);
        self.update_node_reads();
    }

    /// Closes a client's connection at once; returns its open requests.
    pub fn remove_client(&mut self, client: u32) -> Vec<RequestId> {
        let open = self.clients.remove(client, &mut self.effects);
        self.update_node_reads();
        open
    }

    /// Closes a client's connection with a lingering close; returns its open requests.
    pub fn close_client_lingering(&mut self, client: u32) -> Vec<RequestId> {
        let open = self.clients.close_lingering(client, self.now, &mut self.effects);
        self.update_node_reads();
        open
    }

    /// Closes a client's connection once its earlier requests are answered; used after a violation of the
    /// protocol.
    pub fn close_when_answered(&mut self, client: u32) {
        if let Some(client) = self.clients.get_mut(client) {
            client.close_when_answered();
        }
        self.close_if_answered(client);
    }

    /// The same for a client whose input can't be decoded any more.
    pub fn mark_client_unreadable(&mut self, client: u32) {
        if let Some(client) = self.clients.get_mut(client) {
            client.mark_unreadable();
        }
        self.close_if_answered(client);
    }

    /// Closes a connection that accepts no new requests once none is open on it.
    pub fn close_if_answered(&mut self, client: u32) {
        if self.clients.get_mut(client).is_some_and(|client| client.can_close()) {
            self.close_client_lingering(client);
        }
    }

    /// Whether memory is short and this client is slow, so that its requests are rejected.
    pub fn is_memory_short_for(&self, client: u32) -> bool {
        self.clients.unsent() > self.max_unsent_bytes / 2 && self.clients.is_slow(client)
    }

    /// Whether the memory for clients is used up and this client is slow.
    pub fn is_memory_exhausted_for(&self, client: u32) -> bool {
        self.clients.unsent() > self.max_unsent_bytes && self.clients.is_slow(client)
    }

    /// Stops reading from nodes while clients take too little: what nodes hold back takes no memory here.
    fn update_node_reads(&mut self) {
        let max = self.max_unsent_bytes / if self.nodes.reads_paused() { 2 } else { 1 };
        self.nodes.pause_reads(self.clients.unsent() > max, &mut self.effects);
    }
}
