//! Notices clients that have gone while input of them is still unread. A socket returns what was received before the end of
//! a connection first, so that reading alone shows the end only after every request before it.

use super::*;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// How a client with unread input has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// The connection is broken: no answer can reach the client.
    Broken,
    /// The client sends no more; it may still read.
    FinishedSending,
}

/// Classifies the result of a poll.
fn departure(found: PollFlags) -> Option<Departure> {
    if found.intersects(PollFlags::ERR | PollFlags::HUP) {
        return Some(Departure::Broken);
    }
    found.contains(PollFlags::RDHUP).then_some(Departure::FinishedSending)
}

impl Driver {
    /// Reports those of the clients with unread input that have gone. A poll that fails shows none: their end is then
    /// found by reading.
    pub(super) fn report_departures(&mut self, unread: &[u32]) {
        for (peer, departure) in self.departures(unread) {
            match departure {
                Departure::Broken => self.close_and_report(peer),
                Departure::FinishedSending => self.reduce(Event::FinishedSending(peer)),
            }
        }
    }

    fn departures(&self, unread: &[u32]) -> Vec<(Peer, Departure)> {
        let connections: Vec<_> = unread
            .iter()
            .map(|number| Peer::Client(*number))
            .filter_map(|peer| self.connections.get(&peer).map(|connection| (peer, connection)))
            .collect();
        let sockets = connections.iter().map(|(_, connection)| &*connection.stream);
        let mut polled: Vec<_> = sockets.map(|socket| PollFd::new(socket, PollFlags::RDHUP)).collect();
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        if polled.is_empty() || poll(&mut polled, Some(&no_wait)).is_err() {
            return Vec::new();
        }
        let found = connections.iter().zip(&polled);
        found.filter_map(|((peer, _), fd)| departure(fd.revents()).map(|gone| (*peer, gone))).collect()
    }
}
