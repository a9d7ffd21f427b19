//! What followers do on the network: they start and stop, call, ask, take what is told and give streams up.

use super::assumptions::*;
use super::follower::{Follower, News, Start};
use super::source::Connection;
use super::world::{Link, Occurrence, Payload, SWEEP_GROUPS, World};
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
        let calls = match is_dispatcher {
            true => arrangement.calls(self.case.dispatchers),
            false => arrangement.replica_calls(self.case.dispatchers),
        };
        let waits = is_dispatcher && arrangement.waits_at_start;
        let known = self.record.last_at(self.now.since(KNOWN_UP_TO));
        let member = &mut self.members[number as usize];
        member.incarnation += 1;
        let start = Start {
            sources: member.sources[..count].to_vec(),
            calls,
            seed: mix(self.case.seed ^ mix(u64::from(number) << 20 | u64::from(member.incarnation))),
            known,
            clock_off_ms: ((self.chance.next_f64() - 0.5) * CLOCK_SPREAD_MS) as i64,
            agrees: is_dispatcher,
        };
        member.follower = Some(Follower::new(&start));
        member.links = vec![Link::default(); count];
        member.out_of_touch = true;
        if is_dispatcher {
            self.measures.started(number, self.now);
        }
        for stream in 0..count {
            let start = |follower: &mut Follower, now, effects: &mut Vec<Effect>| {
                follower.start(stream, waits, now, effects);
            };
            self.with(number, stream, start);
        }
    }

    pub(super) fn stop_member(&mut self, number: u32) {
        if number < self.case.dispatchers {
            self.count_unacted(number);
        }
        self.members[number as usize].follower = None;
    }

    /// What a dispatcher has not acted on by now counts up to now.
    pub(super) fn count_unacted(&mut self, dispatcher: u32) {
        let follower = self.members[dispatcher as usize].follower.as_ref();
        let Some(newest) = follower.map(Follower::newest) else { return };
        let overdue = |at: Nanos| self.now.since(at) > PURGE_BOUND;
        if newest < self.record.last() {
            let entry = self.record.entry(newest + 1);
            if overdue(entry.issued) {
                self.measures.acted(dispatcher, newest + 1, [entry.issued, entry.entered], self.now);
            }
        } else if let Some(issued) = self.waiting.first().filter(|issued| overdue(**issued)) {
            self.measures.acted(dispatcher, newest + 1, [*issued, self.now], self.now);
        }
    }

    /// Has a follower do something, and carries out what it asks for.
    pub(super) fn with(
        &mut self,
        member: u32,
        stream: usize,
        act: impl FnOnce(&mut Follower, Nanos, &mut Vec<Effect>),
    ) {
        let mut effects = Vec::new();
        if let Some(follower) = &mut self.members[member as usize].follower {
            act(follower, self.now, &mut effects);
            self.carry_out(member, stream, effects);
        }
    }

    pub(super) fn carry_out(&mut self, member: u32, stream: usize, effects: Vec<Effect>) {
        let incarnation = self.members[member as usize].incarnation;
        for effect in effects {
            match effect {
                Effect::Arm(at, _) => self.put(at, Occurrence::Due { member, stream, incarnation }),
                Effect::Connect(Peer::ChangeLog(number), address) => {
                    let connection = Connection { member, stream, incarnation, number };
                    self.connect(connection, usize::from(address.port()));
                }
                Effect::Write(..) => self.ask(member, stream),
                // An older call, which a newer one has taken the place of, ends with nothing lost.
                Effect::Close(Peer::ChangeLog(number))
                    if number == self.members[member as usize].links[stream].number =>
                {
                    self.lost(member, stream);
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
            self.put(self.now.after(delay), Occurrence::Call { connection, source });
        }
    }

    pub(super) fn ask(&mut self, number: u32, stream: usize) {
        let member = &mut self.members[number as usize];
        let Some(follower) = &member.follower else { return };
        let (newest, after) = (follower.newest(), follower.applied(stream));
        let link = &mut member.links[stream];
        link.taken_before = newest;
        let (source, of) = (link.source, link.number);
        let connection = Connection { member: number, stream, incarnation: member.incarnation, number: of };
        let delay = self.network.delay(member.place, self.sources[source].place);
        self.put(self.now.after(delay), Occurrence::Since { connection, source, after });
    }

    /// A stream was given up, or has ended: the next call goes to the source that comes next.
    pub(super) fn lost(&mut self, number: u32, stream: usize) {
        let member = &mut self.members[number as usize];
        let was = member.links[stream].source;
        member.links[stream].open = false;
        let at = member.sources.iter().position(|source| *source == was).unwrap_or(0);
        let in_turn = member.sources.iter().cycle().skip(at + 1).take(member.sources.len());
        let others: Vec<usize> = member.links.iter().map(|link| link.source).collect();
        let next = in_turn.copied().find(|source| !others.contains(source));
        if let Some(next) = next {
            member.links[stream].source = next;
            self.with(number, stream, |follower, now, effects| follower.turn_to(stream, next, now, effects));
        }
        if number >= self.case.dispatchers {
            // A replica vouches for nothing without its own source.
            let source = (number - self.case.dispatchers) as usize + 1;
            self.sources[source].current = false;
            self.end_streams(source);
        }
    }

    pub(super) fn told(&mut self, of: Connection, payload: &Payload) {
        if !self.is_open(&of) || self.members[of.member as usize].links[of.stream].stalled {
            return;
        }
        let taken_before = self.members[of.member as usize].links[of.stream].taken_before;
        let line;
        let (bytes, counted) = match payload {
            Payload::Events(after, upto) => {
                let counted = self.record.length((*after).max(taken_before), *upto);
                (self.record.bytes(*after, *upto), counted)
            }
            Payload::Line(last) => {
                line = format!("{last}\n");
                (line.as_bytes(), line.len() as u64)
            }
        };
        let mut effects = Vec::new();
        let Some(follower) = &mut self.members[of.member as usize].follower else { return };
        let news = follower.received(of.stream, of.number, bytes, self.now, &mut effects);
        match of.member < self.case.dispatchers {
            true => self.dispatcher_heard(of.member, counted, &news),
            false => self.replica_heard(of.member, &news),
        }
        self.carry_out(of.member, of.stream, effects);
    }

    pub(super) fn dispatcher_heard(&mut self, dispatcher: u32, bytes: u64, news: &[News]) {
        self.measures.bytes(dispatcher, bytes, self.now);
        for heard in news {
            if let News::Event(number) = heard {
                let entry = self.record.entry(*number);
                self.measures.acted(dispatcher, *number, [entry.issued, entry.entered], self.now);
            }
        }
        self.note_version(dispatcher);
    }

    pub(super) fn replica_heard(&mut self, member: u32, news: &[News]) {
        let source = (member - self.case.dispatchers) as usize + 1;
        let events = news.iter().filter(|heard| matches!(heard, News::Event(_))).count() as u64;
        if events > 0 {
            self.broadcast(source, |last| Payload::Events(last - events, last));
        }
        if news.contains(&News::Line { current: true }) {
            self.sources[source].current = true;
            self.broadcast(source, Payload::Line);
        }
    }

    pub(super) fn note_version(&mut self, dispatcher: u32) {
        let follower = self.members[dispatcher as usize].follower.as_ref();
        let version = follower.map_or(0, Follower::in_force);
        self.measures.version(dispatcher, version, self.record.versions(), self.now);
    }

    pub(super) fn sweep(&mut self, group: u32) {
        for number in (group..self.members.len() as u32).step_by(SWEEP_GROUPS as usize) {
            for stream in 0..self.members[number as usize].links.len() {
                self.with(number, stream, |follower, now, effects| follower.watch(stream, now, effects));
            }
            if number < self.case.dispatchers {
                self.look(number);
            }
        }
        self.put(self.now.after(self.case.sweep), Occurrence::Sweep(group));
    }

    pub(super) fn look(&mut self, dispatcher: u32) {
        let now = self.now;
        let member = &mut self.members[dispatcher as usize];
        let Some(follower) = &mut member.follower else { return };
        follower.look(now);
        let out = follower.is_out_of_touch();
        let was_out = std::mem::replace(&mut member.out_of_touch, out);
        if out {
            self.measures.out_of_touch(now, !was_out);
        }
        self.note_version(dispatcher);
    }
}
