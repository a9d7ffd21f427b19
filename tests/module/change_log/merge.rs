//! Two streams as one sequence, as traces.

use crate::common::ms;
use copperroute::change_log::{Arrival, Content, Heartbeat, Merge, Step};
use expect_test::expect;
use std::fmt::Write as _;

/// A merge with two streams that are asked for.
struct Play {
    merge: Merge<&'static str>,
    now_ms: u64,
    trace: String,
}

impl Play {
    fn new(applied: u64) -> Play {
        Play::with_streams(applied, 2)
    }

    fn with_streams(applied: u64, streams: usize) -> Play {
        let mut merge = Merge::new(applied, ms(500));
        merge.look_for_anew(true);
        let mut play = Play { merge, now_ms: 10_000, trace: String::new() };
        for source in 0..streams {
            play.merge.add_source();
            play.ask(source);
        }
        play
    }

    fn ask(&mut self, source: usize) {
        self.merge.asked(ms(self.now_ms), source);
    }

    fn event(&mut self, source: usize, number: u64, says: &'static str) {
        let digest = (!says.is_empty()).then(|| says.len() as u64 * 1_000 + u64::from(says.as_bytes()[0]));
        self.arrives(source, Arrival { number, bytes: 100, digest, content: Content::Delta(says) });
    }

    fn snapshot(&mut self, source: usize, number: u64) {
        self.arrives(source, Arrival { number, bytes: 100, digest: None, content: Content::Snapshot("all") });
    }

    fn unusable(&mut self, source: usize, number: u64) {
        let content = Content::Unusable("no such state".into());
        self.arrives(source, Arrival { number, bytes: 100, digest: None, content });
    }

    fn arrives(&mut self, source: usize, arrival: Arrival<&'static str>) {
        self.merge.arrived(source, arrival);
        self.steps();
    }

    fn steps(&mut self) {
        while let Some(step) = self.merge.next_step(ms(self.now_ms)) {
            let _ = match step {
                Step::Apply { event, lost: false } => {
                    writeln!(self.trace, "{}: {event}", self.merge.applied())
                }
                Step::Apply { event, lost: true } => {
                    writeln!(self.trace, "{}: {event}, lost what lies between", self.merge.applied())
                }
                Step::LeftOut { number, why } => writeln!(self.trace, "{number} left out: {why}"),
                Step::Contradiction { source, number, event } => {
                    writeln!(self.trace, "{number}: stream {source} says {event}")
                }
                Step::Reconnect { source, reason } => {
                    writeln!(self.trace, "stream {source} again: {reason}")
                }
            };
        }
    }

    fn heartbeat(&mut self, source: usize, last: u64) {
        let says = match self.merge.heartbeat(ms(self.now_ms), source, last) {
            Heartbeat::CaughtUp => "caught up".to_string(),
            Heartbeat::Unsure => "unsure".into(),
            Heartbeat::Behind { news: false } => "behind".into(),
            Heartbeat::Behind { news: true } => "behind for long".into(),
            Heartbeat::Reconnect(reason) => format!("again: {reason}"),
            Heartbeat::BegunAnew(reason) => format!("all again: {reason}"),
        };
        let _ = writeln!(self.trace, "stream {source} at {last}: {says}");
        self.steps();
    }

    fn pass(&mut self, millis: u64) {
        self.now_ms += millis;
        self.steps();
    }

    fn note(&mut self, text: &str) {
        let _ = writeln!(self.trace, "-- {text}");
    }
}

#[test]
fn the_first_copy_counts_whichever_stream_tells_it() {
    let mut play = Play::new(1);
    play.event(0, 2, "two");
    play.event(1, 2, "two");
    play.event(1, 3, "three");
    play.event(1, 4, "four");
    play.event(0, 3, "three");
    play.event(0, 4, "four");
    play.event(0, 4, "four");
    play.heartbeat(0, 4);
    play.heartbeat(1, 4);
    expect![[r#"
        2: two
        3: three
        4: four
        stream 0 at 4: caught up
        stream 1 at 4: caught up
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_gap_on_one_stream_is_filled_by_the_other() {
    let mut play = Play::new(1);
    play.event(0, 3, "three");
    play.event(0, 4, "four");
    play.heartbeat(0, 4);
    assert_eq!(play.merge.held(0), (2, 200));
    play.pass(400);
    play.note("the other tells what lacks");
    play.event(1, 2, "two");
    play.event(1, 3, "three");
    play.heartbeat(1, 3);
    play.heartbeat(1, 4);
    assert_eq!((play.merge.held(0), play.merge.held(1)), ((0, 0), (0, 0)));
    expect![[r#"
        stream 0 at 4: unsure
        -- the other tells what lacks
        2: two
        3: three
        4: four
        stream 1 at 3: behind
        stream 1 at 4: caught up
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_gap_that_is_not_filled_is_asked_for_once_and_then_stands() {
    let mut play = Play::new(1);
    play.event(0, 3, "three");
    play.pass(900);
    play.note("1 s");
    play.pass(100);
    play.ask(0);
    play.event(0, 3, "three");
    play.event(0, 4, "four");
    play.note("1 s more");
    play.pass(1_000);
    play.note("with one stream at once");
    let mut alone = Play::with_streams(4, 1);
    alone.event(0, 6, "six");
    alone.ask(0);
    alone.event(0, 6, "six");
    play.trace += &alone.trace;
    expect![[r#"
        -- 1 s
        stream 0 again: event 3 after 1
        -- 1 s more
        3: three, lost what lies between
        4: four
        -- with one stream at once
        stream 0 again: event 6 after 4
        6: six, lost what lies between
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn what_is_held_back_is_let_go_of_when_nobody_stands_who_could_fill_the_gap() {
    let mut play = Play::new(1);
    play.event(0, 3, "three");
    play.note("the other ends");
    play.merge.ended(1);
    play.steps();
    expect![[r#"
        -- the other ends
        stream 0 again: event 3 after 1
    "#]]
    .assert_eq(&play.trace);
    assert_eq!(play.merge.held(0), (0, 0));
}

#[test]
fn what_is_held_back_is_bounded_in_count_and_bytes() {
    let mut play = Play::new(1);
    for number in 3..3 + 4_096 {
        play.event(0, number, "one of many");
    }
    assert_eq!(play.merge.held(0).0, 4_096);
    play.note("one more");
    play.event(0, 5_000, "one of many");
    assert_eq!(play.merge.held(0), (0, 0));
    play.note("a large one");
    play.ask(0);
    let content = Content::Delta("large");
    play.arrives(0, Arrival { number: 7, bytes: 4 * 1024 * 1024 + 1, digest: None, content });
    assert_eq!(play.merge.held(0), (0, 0));
    expect![[r#"
        -- one more
        stream 0 again: event 3 after 1
        -- a large one
        stream 0 again: event 7 after 1
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_snapshot_waits_for_what_it_stands_for_and_is_not_asked_for_twice() {
    let mut play = Play::new(1);
    play.snapshot(0, 9);
    play.event(0, 10, "ten");
    play.note("the other tells a part of it in time");
    play.event(1, 2, "two");
    play.pass(1_000);
    play.event(1, 3, "three");
    play.snapshot(1, 10);
    play.note("and all of it");
    play.snapshot(0, 13);
    play.event(1, 11, "eleven");
    play.event(1, 12, "twelve");
    play.note("alone it stands at once");
    play.merge.ended(1);
    play.snapshot(0, 20);
    expect![[r#"
        -- the other tells a part of it in time
        2: two
        9: all, lost what lies between
        10: ten
        -- and all of it
        11: eleven
        12: twelve
        13: all
        -- alone it stands at once
        20: all, lost what lies between
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn an_event_that_one_stream_can_not_use_is_taken_from_the_other() {
    let mut play = Play::new(1);
    play.unusable(0, 2);
    play.event(0, 3, "three");
    play.event(1, 2, "two");
    play.note("neither");
    play.unusable(0, 4);
    play.unusable(1, 4);
    play.event(1, 5, "five");
    play.ask(0);
    play.event(0, 5, "five");
    play.note("one alone: the other may yet tell it");
    play.unusable(0, 6);
    play.pass(1_000);
    play.ask(0);
    play.unusable(0, 6);
    play.pass(999);
    play.note("1 s again");
    play.pass(1);
    expect![[r#"
        2: two
        3: three
        -- neither
        stream 0 again: event 4: no such state
        4 left out: no such state
        5: five
        -- one alone: the other may yet tell it
        stream 0 again: event 6: no such state
        -- 1 s again
        6 left out: no such state
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_second_content_under_one_number_is_told_once() {
    let mut play = Play::new(1);
    play.event(0, 2, "two");
    play.event(1, 2, "not two");
    play.event(1, 2, "not two");
    play.event(1, 2, "two");
    play.note("a snapshot, and an event that says nothing, contradict none");
    play.snapshot(1, 2);
    play.event(1, 2, "");
    play.event(0, 3, "");
    play.event(1, 3, "three");
    play.note("held back, it is compared when its turn comes");
    play.event(1, 5, "not five");
    play.event(0, 4, "four");
    play.event(0, 5, "five");
    play.note("what was applied long ago is compared with nothing");
    for number in 6..6 + 1_024 {
        play.event(0, number, "later");
    }
    play.trace.truncate(play.trace.find("6: later").unwrap_or(0));
    play.event(1, 5, "other");
    play.event(1, 6, "other");
    expect![[r#"
        2: two
        2: stream 1 says not two
        -- a snapshot, and an event that says nothing, contradict none
        3: 
        -- held back, it is compared when its turn comes
        4: four
        5: not five
        5: stream 0 says five
        -- what was applied long ago is compared with nothing
        6: stream 1 says other
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn only_a_stream_that_names_the_last_event_in_time_is_caught_up() {
    let mut play = Play::new(4);
    play.heartbeat(0, 4);
    play.event(1, 5, "five");
    play.note("one that knows of less");
    play.pass(1_000);
    play.heartbeat(0, 4);
    play.heartbeat(1, 5);
    play.note("one that waited on its way, and what came with it");
    play.event(0, 5, "five");
    play.pass(1_600);
    play.heartbeat(0, 5);
    play.heartbeat(0, 5);
    play.pass(500);
    play.heartbeat(0, 5);
    play.note("one that says more than it told");
    play.heartbeat(1, 6);
    expect![[r#"
        stream 0 at 4: caught up
        5: five
        -- one that knows of less
        stream 0 at 4: behind
        stream 1 at 5: caught up
        -- one that waited on its way, and what came with it
        stream 0 at 5: unsure
        stream 0 at 5: unsure
        stream 0 at 5: caught up
        -- one that says more than it told
        stream 1 at 6: again: at 6, applied 5
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn one_replica_that_lags_or_was_restored_makes_nothing_begin_anew() {
    let mut play = Play::new(9);
    for _ in 0..4 {
        play.pass(1_000);
        play.heartbeat(0, 9);
        play.heartbeat(1, 3);
    }
    play.note("its events are old; what contradicts is told");
    play.event(0, 10, "ten");
    play.event(1, 4, "four");
    play.event(1, 10, "other ten");
    play.note("the one that knows more ends: the other has three heartbeats to catch up");
    play.merge.ended(0);
    for _ in 0..2 {
        play.pass(1_000);
        play.heartbeat(1, 9);
    }
    play.event(1, 11, "eleven");
    play.heartbeat(1, 11);
    expect![[r#"
        stream 0 at 9: caught up
        stream 1 at 3: behind
        stream 0 at 9: caught up
        stream 1 at 3: behind
        stream 0 at 9: caught up
        stream 1 at 3: behind for long
        stream 0 at 9: caught up
        stream 1 at 3: behind
        -- its events are old; what contradicts is told
        10: ten
        10: stream 1 says other ten
        -- the one that knows more ends: the other has three heartbeats to catch up
        stream 1 at 9: behind
        stream 1 at 9: behind
        11: eleven
        stream 1 at 11: caught up
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_log_that_begins_anew_at_1_is_asked_for_all_once_nobody_vouches_for_more() {
    let mut play = Play::new(9);
    play.heartbeat(0, 9);
    play.note("one hears of it first");
    play.merge.ended(1);
    play.ask(1);
    for _ in 0..2 {
        play.pass(1_000);
        play.heartbeat(1, 1);
    }
    play.note("then the other");
    play.merge.ended(0);
    play.ask(0);
    for _ in 0..3 {
        play.pass(1_000);
        play.heartbeat(0, 1);
        play.heartbeat(1, 1);
    }
    assert_eq!(play.merge.applied(), 0);
    play.ask(0);
    play.ask(1);
    play.snapshot(1, 1);
    play.snapshot(0, 1);
    play.heartbeat(0, 1);
    expect![[r#"
        stream 0 at 9: caught up
        -- one hears of it first
        stream 1 at 1: behind
        stream 1 at 1: behind
        -- then the other
        stream 0 at 1: behind
        stream 1 at 1: behind for long
        stream 0 at 1: behind
        stream 1 at 1: behind
        stream 0 at 1: all again: at 1, applied 9: it has begun anew
        stream 1 at 1: again: at 1, applied 0
        1: all
        stream 0 at 1: caught up
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_log_restored_to_an_earlier_state_is_read_anew_once_the_replica_ahead_of_it_is_silent() {
    let mut play = Play::new(100);
    play.pass(1_000);
    play.heartbeat(0, 100);
    play.heartbeat(1, 100);
    play.note("restored to 80: the replica that was asked anew tells that, the other stops");
    play.merge.ended(1);
    play.ask(1);
    play.heartbeat(1, 80);
    play.pass(1_000);
    play.heartbeat(1, 81);
    play.pass(1_000);
    play.heartbeat(1, 82);
    play.merge.ended(0);
    for last in 82..85 {
        play.pass(1_000);
        play.heartbeat(1, last);
    }
    expect![[r#"
        stream 0 at 100: caught up
        stream 1 at 100: caught up
        -- restored to 80: the replica that was asked anew tells that, the other stops
        stream 1 at 80: behind
        stream 1 at 81: behind
        stream 1 at 82: behind for long
        stream 1 at 82: behind
        stream 1 at 83: behind
        stream 1 at 84: all again: at 84, applied 100: it has begun anew
    "#]]
    .assert_eq(&play.trace);
}
