//! Merging two streams with random loss, restarts, duplicates and lagging replicas, compared with the simplest model:
//! the number of the last applied event, and the times of each stream's heartbeats.

use crate::common::ms;
use copperroute_routing::change_log::{Arrival, Content, Heartbeat, Merge, Step};
use proptest::prelude::*;
use std::collections::{BTreeSet, VecDeque};

const SLACK_MS: u64 = 500;

/// An action; numbers name a stream and its replica.
#[derive(Debug, Clone)]
enum Action {
    /// The log gains one event.
    Append,
    /// A replica receives the log's next event, if it is connected to the log.
    Replicate(usize),
    /// A replica loses its connection to the log, or connects again.
    DisconnectReplica(usize),
    ConnectReplica(usize),
    /// A connected replica writes a heartbeat.
    Heartbeat(usize),
    /// The first line in flight arrives, is lost, or is duplicated.
    Deliver(usize),
    DropLine(usize),
    Duplicate(usize),
    /// A stream ends, and its lines in flight are lost; a stream is requested.
    End(usize),
    Request(usize),
    /// A replica restarts with this many events fewer than it had, which ends its stream.
    Restart(usize, u64),
    /// Time passes.
    Pass(u64),
}

fn action() -> impl Strategy<Value = Action> {
    use Action::*;
    let stream = || 0_usize..2;
    prop_oneof![
        4 => Just(Append),
        6 => stream().prop_map(Replicate),
        1 => stream().prop_map(DisconnectReplica),
        2 => stream().prop_map(ConnectReplica),
        4 => stream().prop_map(Heartbeat),
        12 => stream().prop_map(Deliver),
        1 => stream().prop_map(DropLine),
        1 => stream().prop_map(Duplicate),
        1 => stream().prop_map(End),
        4 => stream().prop_map(Request),
        1 => (stream(), 0_u64..4).prop_map(|(of, fewer)| Restart(of, fewer)),
        4 => (1_u64..1_300).prop_map(Pass),
    ]
}

#[derive(Debug, Clone, Copy)]
enum Line {
    Event(u64),
    Heartbeat(u64),
}

/// A replica, and the stream from it.
#[derive(Debug, Default)]
struct Stream {
    /// The last event that the replica has.
    last_event: u64,
    is_disconnected: bool,
    open: bool,
    /// The last event that was written on the stream.
    written: u64,
    in_flight: VecDeque<Line>,
    /// When the last heartbeat arrived, or the stream was requested.
    last_heartbeat_ms: u64,
    /// When a heartbeat last arrived late.
    late_ms: Option<u64>,
    /// When it last confirmed the last applied event.
    confirmed_ms: Option<u64>,
    /// Consecutive heartbeats with a lower number while the other stream confirmed nothing.
    behind: u32,
}

struct World {
    merge: Merge<u64>,
    streams: [Stream; 2],
    /// The last event of the log.
    log: u64,
    now_ms: u64,
    /// The model: the last applied event, the events reported as lost, and those applied.
    applied: u64,
    lost: BTreeSet<u64>,
    seen: BTreeSet<u64>,
}

impl World {
    fn new() -> World {
        let mut merge = Merge::new(0, ms(SLACK_MS));
        merge.detect_log_restart(true);
        merge.add_source();
        merge.add_source();
        let (lost, seen) = Default::default();
        let mut world =
            World { merge, streams: Default::default(), log: 0, now_ms: 10_000, applied: 0, lost, seen };
        world.play(&Action::Request(0));
        world.play(&Action::Request(1));
        world
    }

    fn play(&mut self, action: &Action) {
        match *action {
            Action::Append => self.log += 1,
            Action::Replicate(of) => self.replicate(of),
            Action::DisconnectReplica(of) => self.streams[of].is_disconnected = true,
            Action::ConnectReplica(of) => self.streams[of].is_disconnected = false,
            Action::Heartbeat(of) => {
                let stream = &mut self.streams[of];
                if stream.open && !stream.is_disconnected {
                    stream.in_flight.push_back(Line::Heartbeat(stream.last_event));
                }
            }
            Action::Deliver(of) => self.deliver(of),
            Action::DropLine(of) => drop(self.streams[of].in_flight.pop_front()),
            Action::Duplicate(of) => {
                let first = self.streams[of].in_flight.front().copied();
                first.into_iter().for_each(|line| self.streams[of].in_flight.push_front(line));
            }
            Action::End(of) => self.end(of),
            Action::Request(of) => self.request(of),
            Action::Restart(of, fewer) => {
                self.end(of);
                self.streams[of].last_event = self.streams[of].last_event.saturating_sub(fewer);
            }
            Action::Pass(millis) => self.now_ms += millis,
        }
        self.steps();
    }

    fn replicate(&mut self, of: usize) {
        let log = self.log;
        let stream = &mut self.streams[of];
        if !stream.is_disconnected && stream.last_event < log {
            stream.last_event += 1;
            self.write(of);
        }
    }

    /// A replica writes the events that the stream lacks.
    fn write(&mut self, of: usize) {
        let stream = &mut self.streams[of];
        while stream.open && stream.written < stream.last_event {
            stream.written += 1;
            stream.in_flight.push_back(Line::Event(stream.written));
        }
    }

    fn request(&mut self, of: usize) {
        if self.streams[of].open {
            return;
        }
        self.merge.request_sent(ms(self.now_ms), of);
        let stream = &mut self.streams[of];
        (stream.open, stream.written) = (true, self.merge.applied());
        (stream.last_heartbeat_ms, stream.late_ms, stream.confirmed_ms) = (self.now_ms, None, None);
        self.write(of);
    }

    fn end(&mut self, of: usize) {
        self.merge.ended(of);
        self.ended(of);
    }

    fn ended(&mut self, of: usize) {
        let stream = &mut self.streams[of];
        stream.open = false;
        stream.in_flight.clear();
        stream.confirmed_ms = None;
    }

    fn deliver(&mut self, of: usize) {
        let Some(line) = self.streams[of].in_flight.pop_front() else { return };
        match line {
            Line::Event(number) => {
                let content = Content::Delta(number);
                self.merge.arrived(of, Arrival { number, bytes: 10, digest: Some(number), content });
            }
            Line::Heartbeat(last) => self.heartbeat(of, last),
        }
    }

    fn heartbeat(&mut self, of: usize, last: u64) {
        let meaning = self.merge.heartbeat(ms(self.now_ms), of, last);
        let confirmed_ms = self.streams[1 - of].confirmed_ms;
        let other_confirms = confirmed_ms.is_some_and(|at| self.now_ms - at <= 2_000);
        let stream = &mut self.streams[of];
        if self.now_ms - stream.last_heartbeat_ms > 1_000 + SLACK_MS {
            stream.late_ms = Some(self.now_ms);
        }
        stream.last_heartbeat_ms = self.now_ms;
        let may_be_delayed = stream.late_ms.is_some_and(|late| self.now_ms - late < SLACK_MS);
        stream.behind = match meaning {
            Heartbeat::Reconnect(_) => stream.behind,
            _ if last < self.applied && !other_confirms => stream.behind + 1,
            _ => 0,
        };
        match meaning {
            Heartbeat::CaughtUp => {
                assert_eq!(
                    last, self.applied,
                    "caught up at another number than that of the last applied event"
                );
                assert!(!may_be_delayed, "confirmed by a heartbeat that may have been delayed");
                assert!(stream.open, "confirmed by a stream that has ended");
                stream.confirmed_ms = Some(self.now_ms);
            }
            Heartbeat::Behind { .. } => assert!(last < self.applied),
            Heartbeat::Inconclusive => {}
            Heartbeat::Reconnect(_) => {
                assert!(last > self.applied);
                self.ended(of);
            }
            Heartbeat::LogRestarted(_) => {
                assert!(
                    !other_confirms && stream.behind >= 3,
                    "counted as a restart though another stream confirms more, or too soon"
                );
                self.applied = 0;
                self.seen.clear();
                self.lost.clear();
                for of in [0, 1] {
                    self.ended(of);
                    self.streams[of].behind = 0;
                }
            }
        }
    }

    fn steps(&mut self) {
        while let Some(step) = self.merge.next_step(ms(self.now_ms)) {
            match step {
                Step::Apply { event, lost } => {
                    assert!(
                        event > self.applied,
                        "{event} after {}: out of order, or applied twice",
                        self.applied
                    );
                    assert!(
                        lost || event == self.applied + 1,
                        "{event} after {}: a gap that is not reported",
                        self.applied
                    );
                    self.lost.extend(self.applied + 1..event);
                    self.seen.insert(event);
                    self.applied = event;
                }
                Step::Reconnect { source, .. } => self.ended(source),
                Step::Skip { .. } | Step::Contradiction { .. } => {
                    panic!("{step:?} without an unusable or contradicting event")
                }
            }
        }
        assert_eq!(self.applied, self.merge.applied());
        for of in [0, 1] {
            let (events, bytes) = self.merge.held(of);
            assert!(events <= 4_096 && bytes <= 4 * 1024 * 1024);
        }
    }

    /// One replica receives all events of the log, and its stream delivers them.
    fn catch_up(&mut self, of: usize) {
        (0..self.log).for_each(|_| self.play(&Action::Replicate(of)));
        while !self.streams[of].in_flight.is_empty() {
            self.play(&Action::Deliver(of));
            self.play(&Action::Request(of));
        }
    }

    /// Ten seconds without faults: both replicas receive all events, and streams that end are requested again.
    fn settle(&mut self) {
        for _ in 0..10 {
            for of in [0, 1] {
                self.play(&Action::ConnectReplica(of));
                self.play(&Action::Request(of));
                (0..self.log).for_each(|_| self.play(&Action::Replicate(of)));
                self.play(&Action::Heartbeat(of));
                while !self.streams[of].in_flight.is_empty() {
                    self.play(&Action::Deliver(of));
                }
            }
            self.play(&Action::Pass(1_000));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: ProptestConfig::default().cases.max(1_000), ..ProptestConfig::default() })]

    /// Whatever happens to both streams: no event is applied out of order or twice, skipped events are reported as
    /// lost, no heartbeat confirms that may have been delayed or names another number, and once there are no faults all
    /// events are applied.
    #[test]
    fn no_event_is_applied_out_of_order_and_no_lease_is_renewed_wrongly(
        actions in prop::collection::vec(action(), 1..200),
    ) {
        let mut world = World::new();
        actions.iter().for_each(|action| world.play(action));
        world.settle();
        prop_assert_eq!(world.applied, world.log);
        prop_assert_eq!(world.seen.len() + world.lost.len(), world.log as usize);
    }

    /// While one stream delivers within the time that a gap may wait, no event is lost, whatever happens to the other.
    #[test]
    fn nothing_is_lost_while_either_stream_delivers(
        actions in prop::collection::vec(action(), 1..200), good in 0_usize..2,
    ) {
        use Action::*;
        let mut world = World::new();
        for action in &actions {
            match action {
                DisconnectReplica(of) | DropLine(of) | End(of) | Restart(of, _) if *of == good => continue,
                Pass(_) => world.catch_up(good),
                _ => {}
            }
            world.play(action);
            world.play(&Request(good));
            prop_assert!(world.lost.is_empty(), "lost {:?}", world.lost);
        }
        world.catch_up(good);
        prop_assert!(world.lost.is_empty(), "lost {:?}", world.lost);
        prop_assert_eq!(world.applied, world.log);
    }
}
