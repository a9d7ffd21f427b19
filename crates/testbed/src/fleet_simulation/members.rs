//! The followers' side of the simulated network: starts and stops dispatchers and replicas, connects their streams,
//! sends requests, delivers events and heartbeats, and closes silent streams. Called by `World` for each event.

use super::assumptions::*;
use super::follower::{Follower, FollowerStart, Update};
use super::source::Connection;
use super::world::{Link, Payload, SWEEP_GROUPS, SimulationEvent, World};
use copperroute_dispatcher::effects::{Effect, Peer};
use copperroute_routing::interface::{Nanos, mix};

impl World {
    pub(super) fn is_open(&self, connection: &Connection) -> bool {
        let member = &self.members[connection.member as usize];
        let link = member.links.get(connection.stream);
        member.follower.is_some()
            && member.incarnation == connection.incarnation
            && link.is_some_and(|link| link.open && link.number == connection.number)
    }

    pub(super) fn start_member(&mut self, number: u32) {
        let arrangement = self.case.arrangement;
        let is_dispatcher = number < self.case.dispatchers;
        let count = if is_dispatcher { arrangement.streams } else { 1 };
        let reconnect = match is_dispatcher {
            true => arrangement.reconnect_settings(self.case.dispatchers),
            false => arrangement.replica_reconnect_settings(self.case.dispatchers),
        };
        let delay_first_connect = is_dispatcher && arrangement.delays_first_connect;
        let known_event = self.record.last_at(self.now.since(STARTUP_EVENT_AGE));
        let member = &mut self.members[number as usize];
        member.incarnation += 1;
        let start = FollowerStart {
            sources: member.sources[..count].to_vec(),
            reconnect,
            seed: mix(self.case.seed ^ mix(u64::from(number) << 20 | u64::from(member.incarnation))),
            known_event,
            clock_error_ms: ((self.rng.next_f64() - 0.5) * CLOCK_SPREAD_MS) as i64,
            applies_versions: is_dispatcher,
        };
        member.follower = Some(Follower::new(&start));
        member.links = vec![Link::default(); count];
        member.out_of_touch = true;
        if is_dispatcher {
            self.measures.started(number, self.now);
        }
        for stream in 0..count {
            let start = |follower: &mut Follower, now, effects: &mut Vec<Effect>| {
                follower.start(stream, delay_first_connect, now, effects);
            };
            self.with_follower(number, stream, start);
        }
    }

    pub(super) fn stop_member(&mut self, number: u32) {
        if number < self.case.dispatchers {
            self.count_unacted(number);
        }
        self.members[number as usize].follower = None;
    }

    /// Counts the time up to now for the oldest event on which a dispatcher has not acted.
    pub(super) fn count_unacted(&mut self, dispatcher: u32) {
        let follower = self.members[dispatcher as usize].follower.as_ref();
        let Some(newest) = follower.map(Follower::newest) else { return };
        let overdue = |at: Nanos| self.now.since(at) > PURGE_BOUND;
        if newest < self.record.last() {
            let entry = self.record.entry(newest + 1);
            if overdue(entry.issued) {
                self.measures.acted(dispatcher, newest + 1, [entry.issued, entry.appended], self.now);
            }
        } else if let Some(issued) = self.pending_purges.first().filter(|issued| overdue(**issued)) {
            self.measures.acted(dispatcher, newest + 1, [*issued, self.now], self.now);
        }
    }

    /// Runs an action on a follower and carries out the effects that it returns.
    pub(super) fn with_follower(
        &mut self,
        member: u32,
        stream: usize,
        action: impl FnOnce(&mut Follower, Nanos, &mut Vec<Effect>),
    ) {
        let mut effects = Vec::new();
        if let Some(follower) = &mut self.members[member as usize].follower {
            action(follower, self.now, &mut effects);
            self.apply_effects(member, stream, effects);
        }
    }

    pub(super) fn apply_effects(&mut self, member: u32, stream: usize, effects: Vec<Effect>) {
        let incarnation = self.members[member as usize].incarnation;
        for effect in effects {
            match effect {
                Effect::Arm(at, _) => {
                    self.schedule(at, SimulationEvent::ConnectDue { member, stream, incarnation })
                }
                Effect::Connect(Peer::ChangeLog(number), address) => {
                    let connection = Connection { member, stream, incarnation, number };
                    self.connect(connection, usize::from(address.port()));
                }
                Effect::Write(..) => self.send_request(member, stream),
                // Closing an older connection that a newer one has replaced loses nothing.
                Effect::Close(Peer::ChangeLog(number))
                    if number == self.members[member as usize].links[stream].number =>
                {
                    self.stream_closed(member, stream);
                }
                _ => {}
            }
        }
    }

    pub(super) fn connect(&mut self, connection: Connection, source: usize) {
        let member = &mut self.members[connection.member as usize];
        let place = member.place;
        let link = &mut member.links[connection.stream];
        *link = Link { source, number: connection.number, open: true, ..Link::default() };
        if self.network.connects(place, self.sources[source].place) {
            let delay = self.network.delay(place, self.sources[source].place);
            self.schedule(self.now.after(delay), SimulationEvent::ConnectReceived { connection, source });
        }
    }

    pub(super) fn send_request(&mut self, number: u32, stream: usize) {
        let member = &mut self.members[number as usize];
        let Some(follower) = &member.follower else { return };
        let (newest, after) = (follower.newest(), follower.applied(stream));
        let link = &mut member.links[stream];
        link.newest_at_request = newest;
        let (source, link_number) = (link.source, link.number);
        let connection =
            Connection { member: number, stream, incarnation: member.incarnation, number: link_number };
        let delay = self.network.delay(member.place, self.sources[source].place);
        self.schedule(self.now.after(delay), SimulationEvent::RequestReceived { connection, source, after });
    }

    /// A stream was closed: its next connection goes to the next source in order of preference.
    pub(super) fn stream_closed(&mut self, number: u32, stream: usize) {
        let member = &mut self.members[number as usize];
        let closed_source = member.links[stream].source;
        member.links[stream].open = false;
        let at = member.sources.iter().position(|source| *source == closed_source).unwrap_or(0);
        let in_turn = member.sources.iter().cycle().skip(at + 1).take(member.sources.len());
        let others: Vec<usize> = member.links.iter().map(|link| link.source).collect();
        let next = in_turn.copied().find(|source| !others.contains(source));
        if let Some(next) = next {
            member.links[stream].source = next;
            self.with_follower(number, stream, |follower, now, effects| {
                follower.follow_source(stream, next, now, effects)
            });
        }
        if number >= self.case.dispatchers {
            // Without its own source a replica cannot tell whether its events are current.
            let source = (number - self.case.dispatchers) as usize + 1;
            self.sources[source].current = false;
            self.end_streams(source);
        }
    }

    pub(super) fn deliver(&mut self, connection: Connection, payload: &Payload) {
        if !self.is_open(&connection)
            || self.members[connection.member as usize].links[connection.stream].stalled
        {
            return;
        }
        let newest_at_request =
            self.members[connection.member as usize].links[connection.stream].newest_at_request;
        let heartbeat;
        let (bytes, counted_bytes) = match payload {
            Payload::Events(after, upto) => {
                let counted_bytes = self.record.length((*after).max(newest_at_request), *upto);
                (self.record.bytes(*after, *upto), counted_bytes)
            }
            Payload::Heartbeat(last) => {
                heartbeat = format!("{last}\n");
                (heartbeat.as_bytes(), heartbeat.len() as u64)
            }
        };
        let mut effects = Vec::new();
        let Some(follower) = &mut self.members[connection.member as usize].follower else { return };
        let updates = follower.received(connection.stream, connection.number, bytes, self.now, &mut effects);
        match connection.member < self.case.dispatchers {
            true => self.dispatcher_received(connection.member, counted_bytes, &updates),
            false => self.replica_received(connection.member, &updates),
        }
        self.apply_effects(connection.member, connection.stream, effects);
    }

    pub(super) fn dispatcher_received(&mut self, dispatcher: u32, bytes: u64, updates: &[Update]) {
        self.measures.bytes(dispatcher, bytes, self.now);
        for update in updates {
            if let Update::Event(number) = update {
                let entry = self.record.entry(*number);
                self.measures.acted(dispatcher, *number, [entry.issued, entry.appended], self.now);
            }
        }
        self.record_version(dispatcher);
    }

    pub(super) fn replica_received(&mut self, member: u32, updates: &[Update]) {
        let source = (member - self.case.dispatchers) as usize + 1;
        let events = updates.iter().filter(|update| matches!(update, Update::Event(_))).count() as u64;
        if events > 0 {
            self.broadcast(source, |last| Payload::Events(last - events, last));
        }
        if updates.contains(&Update::Heartbeat { current: true }) {
            self.sources[source].current = true;
            self.broadcast(source, Payload::Heartbeat);
        }
    }

    pub(super) fn record_version(&mut self, dispatcher: u32) {
        let follower = self.members[dispatcher as usize].follower.as_ref();
        let version = follower.map_or(0, Follower::in_force);
        self.measures.version(dispatcher, version, self.record.versions(), self.now);
    }

    pub(super) fn sweep(&mut self, group: u32) {
        for number in (group..self.members.len() as u32).step_by(SWEEP_GROUPS as usize) {
            for stream in 0..self.members[number as usize].links.len() {
                self.with_follower(number, stream, |follower, now, effects| {
                    follower.check_silence(stream, now, effects)
                });
            }
            if number < self.case.dispatchers {
                self.update_agreement(number);
            }
        }
        self.schedule(self.now.after(self.case.sweep), SimulationEvent::Sweep(group));
    }

    pub(super) fn update_agreement(&mut self, dispatcher: u32) {
        let now = self.now;
        let member = &mut self.members[dispatcher as usize];
        let Some(follower) = &mut member.follower else { return };
        follower.update_agreement(now);
        let out_of_touch = follower.is_out_of_touch();
        let was_out_of_touch = std::mem::replace(&mut member.out_of_touch, out_of_touch);
        if out_of_touch {
            self.measures.out_of_touch(now, !was_out_of_touch);
        }
        self.record_version(dispatcher);
    }
}
