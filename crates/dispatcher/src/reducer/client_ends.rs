//! Ends of client connections: by the client, by the dispatcher, and what becomes of the open requests.

use super::*;

impl Reducer {
    /// A client's connection has ended, or is to be closed at once.
    pub(super) fn client_closed(&mut self, now: Nanos, number: u32) {
        self.request_table
            .remove_client(number)
            .into_iter()
            .for_each(|request_id| self.abandon(now, request_id));
    }

    /// Closes a client's connection with a lingering close.
    pub(super) fn close_client(&mut self, now: Nanos, number: u32) {
        self.request_table
            .close_client_lingering(number)
            .into_iter()
            .for_each(|request_id| self.abandon(now, request_id));
    }

    /// A client sends no more. Most such clients have disconnected, so their requests are abandoned; one that
    /// still reads receives a failure at once, and before it what its socket has not taken yet.
    pub(super) fn client_finished_sending(&mut self, now: Nanos, number: u32) {
        let has_unsent = self.request_table.clients.has_unsent(number);
        self.fail_open_requests(now, number);
        match has_unsent {
            true => self.close_client(now, number),
            false => self.client_closed(now, number),
        }
    }

    /// A client sends no more, but what it sent before is not read to its end. Most such clients have disconnected, so
    /// nothing is sent to nodes for it any more: open requests are abandoned, and those still unread are rejected.
    pub(super) fn client_will_finish(&mut self, now: Nanos, number: u32) {
        let Some(client) = self.request_table.clients.get_mut(number) else { return };
        if client.read_to_the_end() {
            self.fail_open_requests(now, number);
        }
    }

    /// Dismisses a client that takes its answers too slowly: all its requests are answered with a failure,
    /// and its connection is closed.
    pub(super) fn dismiss_client(&mut self, now: Nanos, number: u32) {
        self.fail_open_requests(now, number);
        self.request_table.clients.give_up_delivery(number);
        self.close_client(now, number);
    }

    /// Abandons all open requests of a client and answers them with a failure.
    fn fail_open_requests(&mut self, now: Nanos, number: u32) {
        let open =
            self.request_table.clients.get_mut(number).map(|client| client.open.clone()).unwrap_or_default();
        let mut open: Vec<_> = open.into_iter().collect();
        open.sort_by_key(|(tag, _)| *tag);
        for (tag, request_id) in open {
            let deadline = self.request_table.deadline_of(request_id).unwrap_or(now);
            self.abandon(now, request_id);
            self.request_table.write_awaited(number, tag, Answer::Failed, deadline);
        }
    }
}
