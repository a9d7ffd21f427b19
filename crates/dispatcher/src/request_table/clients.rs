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
        self.clients.count_input(client);
        self.close_if_answered(client);
    }

    /// Closes a connection that accepts no new requests once none is open on it.
    pub fn close_if_answered(&mut self, client: u32) {
        if self.clients.get_mut(client).is_some_and(|client| client.can_close()) {
            self.close_client_lingering(client);
        }
    }

    /// Whether memory for output is short and this client is slow, so that it is sent no further content.
    pub fn is_memory_short_for(&self, client: u32) -> bool {
        self.clients.unsent() > self.memory.output / 2 && self.clients.is_slow(client)
    }

    /// Whether memory for output is short and this client is slow or holds much of it, so that its requests are rejected.
    pub fn has_no_memory_for_answers(&self, client: u32) -> bool {
        let (all, unsent) = (self.clients.unsent(), self.clients.unsent_of(client));
        self.is_memory_short_for(client) || self.memory.is_output_short(all, unsent)
    }

    /// Whether the memory for output is used up and this client is slow.
    pub fn is_memory_exhausted_for(&self, client: u32) -> bool {
        self.clients.unsent() > self.memory.output && self.clients.is_slow(client)
    }

    /// The memory that a request takes while it is open.
    pub(super) fn memory_of(request: &Request) -> u64 {
        request.body.capacity() as u64 + OPEN_REQUEST_BYTES
    }

    /// The memory that requests take: incomplete ones, open ones, and what of them waits to be sent to nodes.
    fn held_for_requests(&self) -> u64 {
        self.clients.input_bytes() + self.request_bytes + self.nodes.unsent_bytes()
    }

    /// Whether there is memory for a request of a client.
    pub fn has_memory_for(&self, client: u32, request: &Request) -> bool {
        let held_by_client = self.clients.held_by(client);
        self.memory.admits_request(self.held_for_requests(), held_by_client, Self::memory_of(request))
    }

    /// All whole messages of a client are decoded: counts what is left, and discards an incomplete body for which there is
    /// no memory. Its request is rejected once it is complete.
    pub fn limit_input(&mut self, client: u32) {
        self.clients.count_input(client);
        let held_by_client = self.clients.held_by(client);
        if self.memory.admits_request(self.held_for_requests(), held_by_client, 0) {
            return;
        }
        if let Some(client) = self.clients.get_mut(client) {
            client.decoder.discard_body();
        }
        self.clients.count_input(client);
    }

    /// Closes the connections whose lingering close has timed out, which frees the memory of their output.
    pub fn close_lingered(&mut self) {
        self.clients.close_lingered(self.now, &mut self.effects);
        self.update_node_reads();
    }

    /// Stops reading from nodes while clients take too little: what nodes hold back takes no memory here.
    fn update_node_reads(&mut self) {
        let max = self.memory.output / if self.nodes.reads_paused() { 2 } else { 1 };
        self.nodes.pause_reads(self.clients.unsent() > max, &mut self.effects);
    }
}
