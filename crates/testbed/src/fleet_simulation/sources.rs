//! The sources' side of the simulated network: accepts connections, sends events and heartbeats, and ends streams.
//! Called by `World` for each event.

use super::assumptions::STREAM_BYTES_PER_S;
use super::follower::Follower;
use super::source::{ConnectAnswer, Connection};
use super::world::{Payload, SimulationEvent, World};
use copperroute_routing::interface::Nanos;

impl World {
    /// The last event that a source has.
    pub(super) fn last_event(&self, source: usize) -> u64 {
        match source {
            0 => self.record.last(),
            replica => {
                let member = self.case.dispatchers as usize + replica - 1;
                self.members[member].follower.as_ref().map_or(0, Follower::newest)
            }
        }
    }

    pub(super) fn broadcast(&mut self, source: usize, payload: impl Fn(u64) -> Payload) {
        let last = self.last_event(source);
        let mut followers = std::mem::take(&mut self.sources[source].followers);
        followers.retain(|connection| self.is_open(connection));
        for connection in &followers {
            self.send(source, *connection, payload(last));
        }
        self.sources[source].followers = followers;
    }

    pub(super) fn send(&mut self, source: usize, to: Connection, payload: Payload) {
        let (from, member) = (self.sources[source].place, &self.members[to.member as usize]);
        let place = member.place;
        if member.links[to.stream].stalled {
            return;
        }
        if !self.network.connects(from, place) {
            self.members[to.member as usize].links[to.stream].stalled = true;
            return;
        }
        let bytes = match payload {
            Payload::Events(after, upto) => self.record.length(after, upto),
            Payload::Heartbeat(_) => 0,
        };
        let delay = self.network.delay(from, place);
        let sent = self.now.after(Nanos::from_secs(bytes as f64 / STREAM_BYTES_PER_S));
        let link = &mut self.members[to.member as usize].links[to.stream];
        link.last_arrival = sent.after(delay).max(link.last_arrival);
        let at = link.last_arrival;
        self.schedule(at, SimulationEvent::Delivered(to, payload));
    }

    pub(super) fn connect_received(&mut self, connection: Connection, source: usize) {
        if !self.is_open(&connection) || !self.sources[source].machine_up {
            return;
        }
        let place = self.members[connection.member as usize].place;
        let delay = self.network.delay(self.sources[source].place, place);
        let answer = self.sources[source].connect_received(self.now);
        let event = match answer {
            ConnectAnswer::Accepted => SimulationEvent::Accepted(connection),
            ConnectAnswer::Refused | ConnectAnswer::Overloaded => SimulationEvent::Closed(connection),
        };
        self.schedule(self.now.after(delay), event);
        if answer == ConnectAnswer::Overloaded {
            self.end_streams(source);
        }
    }

    pub(super) fn request_received(&mut self, connection: Connection, source: usize, after: u64) {
        if !self.is_open(&connection) || !self.sources[source].current {
            return;
        }
        let last = self.last_event(source);
        let link = &mut self.members[connection.member as usize].links[connection.stream];
        link.last_arrival = self.now;
        self.sources[source].followers.push(connection);
        if after < last {
            self.send(source, connection, Payload::Events(after, last));
        }
        self.send(source, connection, Payload::Heartbeat(last));
    }

    /// Resets all streams of a source.
    pub(super) fn end_streams(&mut self, source: usize) {
        let followers = std::mem::take(&mut self.sources[source].followers);
        self.reset(source, followers);
    }

    pub(super) fn reset(&mut self, source: usize, followers: Vec<Connection>) {
        let from = self.sources[source].place;
        for connection in followers {
            let place = self.members[connection.member as usize].place;
            if self.is_open(&connection) && self.network.connects(from, place) {
                let delay = self.network.delay(from, place);
                self.schedule(self.now.after(delay), SimulationEvent::Closed(connection));
            }
        }
    }
}
