//! Two streams with loss, restarts, duplicates and replicas that lag, drawn at random, beside the simplest model: a
//! counter of what was applied, and the times at which each stream's heartbeats came.

use crate::common::ms;
use copperroute_routing::change_log::{Arrival, Content, Heartbeat, Merge, Step};
use proptest::prelude::*;
use std::collections::{BTreeSet, VecDeque};

const SLACK_MS: u64 = 500;

/// What happens; numbers name a stream and its replica.
#[derive(Debug, Clone)]
enum Action {
    /// The log has one event more.
    Append,
    /// A replica hears of the log's next event, if it is in touch with it.
    Replicate(usize),
    /// A replica loses touch with the log, or finds it again.
    LoseTouch(usize),
    FindTouch(usize),
    /// A replica in touch writes a heartbeat.
    Heartbeat(usize),
    /// The first line on its way arrives, or is lost, or is doubled.
    Deliver(usize),
    DropLine(usize),
    Double(usize),
    /// A stream ends, with what is on its way; a stream is asked for.
    End(usize),
    Ask(usize),
    /// A replica starts again with less than it knew, which ends its stream.
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
        1 => stream().prop_map(LoseTouch),
        2 => stream().prop_map(FindTouch),
        4 => stream().prop_map(Heartbeat),
        12 => stream().prop_map(Deliver),
        1 => stream().prop_map(DropLine),
        1 => stream().prop_map(Double),
        1 => stream().prop_map(End),
        4 => stream().prop_map(Ask),
        1 => (stream(), 0_u64..4).prop_map(|(of, less)| Restart(of, less)),
        4 => (1_u64..1_300).prop_map(Pass),
    ]
}

#[derive(Debug, Clone, Copy)]
enum Line {
    Event(u64),
    Last(u64),
}

/// A replica, and the stream from it.
#[derive(Debug, Default)]
struct Stream {
    knows: u64,
    out_of_touch: bool,
    open: bool,
    /// The last event that was written on the stream.
    written: u64,
    on_its_way: VecDeque<Line>,
    /// When its heartbeats came, and when it was asked for.
    came_ms: u64,
    late_ms: Option<u64>,
    vouched_ms: Option<u64>,
    behind: u32,
}

struct World {
    merge: Merge<u64>,
    streams: [Stream; 2],
    log: u64,
    now_ms: u64,
    /// The simplest model: what was applied, and what was said to be lost.
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
        world.play(&Action::Ask(0));
        world.play(&Action::Ask(1));
        world
    }

    fn play(&mut self, action: &Action) {
        match *action {
            Action::Append => self.log += 1,
            Action::Replicate(of) => self.replicate(of),
            Action::LoseTouch(of) => self.streams[of].out_of_touch = true,
            Action::FindTouch(of) => self.streams[of].out_of_touch = false,
            Action::Heartbeat(of) => {
                let stream = &mut self.streams[of];
                if stream.open && !stream.out_of_touch {
                    stream.on_its_way.push_back(Line::Last(stream.knows));
                }
            }
            Action::Deliver(of) => self.deliver(of),
            Action::DropLine(of) => drop(self.streams[of].on_its_way.pop_front()),
            Action::Double(of) => {
                let first = self.streams[of].on_its_way.front().copied();
                first.into_iter().for_each(|line| self.streams[of].on_its_way.push_front(line));
            }
            Action::End(of) => self.end(of),
            Action::Ask(of) => self.ask(of),
            Action::Restart(of, less) => {
                self.end(of);
                self.streams[of].knows = self.streams[of].knows.saturating_sub(less);
            }
            Action::Pass(millis) => self.now_ms += millis,
        }
        self.steps();
    }

    fn replicate(&mut self, of: usize) {
        let log = self.log;
        let stream = &mut self.streams[of];
        if !stream.out_of_touch && stream.knows < log {
            stream.knows += 1;
            self.write(of);
        }
    }

    /// A replica writes what the stream lacks.
    fn write(&mut self, of: usize) {
        let stream = &mut self.streams[of];
        while stream.open && stream.written < stream.knows {
            stream.written += 1;
            stream.on_its_way.push_back(Line::Event(stream.written));
        }
    }

    fn ask(&mut self, of: usize) {
        if self.streams[of].open {
            return;
        }
        self.merge.request_sent(ms(self.now_ms), of);
        let stream = &mut self.streams[of];
        (stream.open, stream.written) = (true, self.merge.applied());
        (stream.came_ms, stream.late_ms, stream.vouched_ms) = (self.now_ms, None, None);
        self.write(of);
    }

    fn end(&mut self, of: usize) {
        self.merge.ended(of);
        self.ended(of);
    }

    fn ended(&mut self, of: usize) {
        let stream = &mut self.streams[of];
        stream.open = false;
        stream.on_its_way.clear();
        stream.vouched_ms = None;
    }

    fn deliver(&mut self, of: usize) {
        let Some(line) = self.streams[of].on_its_way.pop_front() else { return };
        match line {
            Line::Event(number) => {
                let content = Content::Delta(number);
                self.merge.arrived(of, Arrival { number, bytes: 10, digest: Some(number), content });
            }
            Line::Last(last) => self.heartbeat(of, last),
        }
    }

    fn heartbeat(&mut self, of: usize, last: u64) {
        let said = self.merge.heartbeat(ms(self.now_ms), of, last);
        let vouched_ms = self.streams[1 - of].vouched_ms;
        let vouched_for = vouched_ms.is_some_and(|at| self.now_ms - at <= 2_000);
        let stream = &mut self.streams[of];
        if self.now_ms - stream.came_ms > 1_000 + SLACK_MS {
            stream.late_ms = Some(self.now_ms);
        }
        stream.came_ms = self.now_ms;
        let waited = stream.late_ms.is_some_and(|late| self.now_ms - late < SLACK_MS);
        stream.behind = match said {
            Heartbeat::Reconnect(_) => stream.behind,
            _ if last < self.applied && !vouched_for => stream.behind + 1,
            _ => 0,
        };
        match said {
            Heartbeat::CaughtUp => {
                assert_eq!(last, self.applied, "caught up at another number than was applied");
                assert!(!waited, "renewed by what waited on its way");
                assert!(stream.open, "renewed by a stream that has ended");
                stream.vouched_ms = Some(self.now_ms);
            }
            Heartbeat::Behind { .. } => assert!(last < self.applied),
            Heartbeat::Inconclusive => {}
            Heartbeat::Reconnect(_) => {
                assert!(last > self.applied);
                self.ended(of);
            }
            Heartbeat::LogRestarted(_) => {
                assert!(!vouched_for && stream.behind >= 3, "begun anew though another vouches, or too soon");
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
                    assert!(event > self.applied, "{event} after {}: out of order, or twice", self.applied);
                    assert!(
                        lost || event == self.applied + 1,
                        "{event} after {}: a gap not told",
                        self.applied
                    );
                    self.lost.extend(self.applied + 1..event);
                    self.seen.insert(event);
                    self.applied = event;
                }
                Step::Reconnect { source, .. } => self.ended(source),
                Step::Skip { .. } | Step::Contradiction { .. } => panic!("{step:?} where nothing says so"),
            }
        }
        assert_eq!(self.applied, self.merge.applied());
        for of in [0, 1] {
            let (events, bytes) = self.merge.held(of);
            assert!(events <= 4_096 && bytes <= 4 * 1024 * 1024);
        }
    }

    /// One replica hears of all that the log has, and its stream delivers all.
    fn catch_up(&mut self, of: usize) {
        (0..self.log).for_each(|_| self.play(&Action::Replicate(of)));
        while !self.streams[of].on_its_way.is_empty() {
            self.play(&Action::Deliver(of));
            self.play(&Action::Ask(of));
        }
    }

    /// All is well for some seconds: both replicas hear of everything, and streams that end are asked for.
    fn settle(&mut self) {
        for _ in 0..10 {
            for of in [0, 1] {
                self.play(&Action::FindTouch(of));
                self.play(&Action::Ask(of));
                (0..self.log).for_each(|_| self.play(&Action::Replicate(of)));
                self.play(&Action::Heartbeat(of));
                while !self.streams[of].on_its_way.is_empty() {
                    self.play(&Action::Deliver(of));
                }
            }
            self.play(&Action::Pass(1_000));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: ProptestConfig::default().cases.max(1_000), ..ProptestConfig::default() })]

    /// Whatever happens to both streams: nothing is applied out of order or twice, what is passed over is said to be
    /// lost, no heartbeat counts that waited or names another number, and once all is well all is applied.
    #[test]
    fn nothing_is_applied_out_of_order_and_no_lease_is_renewed_that_must_not_be(
        actions in prop::collection::vec(action(), 1..200),
    ) {
        let mut world = World::new();
        actions.iter().for_each(|action| world.play(action));
        world.settle();
        prop_assert_eq!(world.applied, world.log);
        prop_assert_eq!(world.seen.len() + world.lost.len(), world.log as usize);
    }

    /// While one stream delivers within the time that a gap may wait, however badly the other does, nothing is lost.
    #[test]
    fn nothing_is_lost_while_either_stream_delivers(
        actions in prop::collection::vec(action(), 1..200), good in 0_usize..2,
    ) {
        use Action::*;
        let mut world = World::new();
        for action in &actions {
            match action {
                LoseTouch(of) | DropLine(of) | End(of) | Restart(of, _) if *of == good => continue,
                Pass(_) => world.catch_up(good),
                _ => {}
            }
            world.play(action);
            world.play(&Ask(good));
            prop_assert!(world.lost.is_empty(), "lost {:?}", world.lost);
        }
        world.catch_up(good);
        prop_assert!(world.lost.is_empty(), "lost {:?}", world.lost);
        prop_assert_eq!(world.applied, world.log);
    }
}
