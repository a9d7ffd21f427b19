//! Merging the events of two streams into one sequence, as traces.

use super::merge_play::Play;
use copperroute_routing::change_log::{Arrival, Content};
use expect_test::expect;

#[test]
fn the_first_copy_of_an_event_is_applied_from_either_stream() {
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
    play.note("the other stream delivers the missing events");
    play.event(1, 2, "two");
    play.event(1, 3, "three");
    play.heartbeat(1, 3);
    play.heartbeat(1, 4);
    assert_eq!((play.merge.held(0), play.merge.held(1)), ((0, 0), (0, 0)));
    expect![[r#"
        stream 0 at 4: inconclusive
        -- the other stream delivers the missing events
        2: two
        3: three
        4: four
        stream 1 at 3: behind
        stream 1 at 4: caught up
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_gap_that_is_not_filled_is_requested_once_and_then_counts_as_lost() {
    let mut play = Play::new(1);
    play.event(0, 3, "three");
    play.pass(900);
    play.note("1 s");
    play.pass(100);
    play.request(0);
    play.event(0, 3, "three");
    play.event(0, 4, "four");
    play.note("1 s more");
    play.pass(1_000);
    play.note("with one stream there is no wait");
    let mut alone = Play::with_streams(4, 1);
    alone.event(0, 6, "six");
    alone.request(0);
    alone.event(0, 6, "six");
    play.trace += &alone.trace;
    expect![[r#"
        -- 1 s
        stream 0 reconnects: event 3 received after 1: events in between are missing
        -- 1 s more
        3: three, events before it lost
        4: four
        -- with one stream there is no wait
        stream 0 reconnects: event 6 received after 4: events in between are missing
        6: six, events before it lost
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn held_back_events_are_dropped_when_no_open_stream_could_fill_the_gap() {
    let mut play = Play::new(1);
    play.event(0, 3, "three");
    play.note("the other stream ends");
    play.merge.ended(1);
    play.steps();
    expect![[r#"
        -- the other stream ends
        stream 0 reconnects: event 3 received after 1: events in between are missing
    "#]]
    .assert_eq(&play.trace);
    assert_eq!(play.merge.held(0), (0, 0));
}

#[test]
fn held_back_events_are_bounded_in_count_and_bytes() {
    let mut play = Play::new(1);
    for number in 3..3 + 4_096 {
        play.event(0, number, "one of many");
    }
    assert_eq!(play.merge.held(0).0, 4_096);
    play.note("one more");
    play.event(0, 5_000, "one of many");
    assert_eq!(play.merge.held(0), (0, 0));
    play.note("a large one");
    play.request(0);
    let content = Content::Delta("large");
    play.arrives(0, Arrival { number: 7, bytes: 4 * 1024 * 1024 + 1, digest: None, content });
    assert_eq!(play.merge.held(0), (0, 0));
    expect![[r#"
        -- one more
        stream 0 reconnects: event 3 received after 1: events in between are missing
        -- a large one
        stream 0 reconnects: event 7 received after 1: events in between are missing
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_snapshot_waits_for_the_events_it_covers_and_is_not_requested_twice() {
    let mut play = Play::new(1);
    play.snapshot(0, 9);
    play.event(0, 10, "ten");
    play.note("the other stream delivers a part of it in time");
    play.event(1, 2, "two");
    play.pass(1_000);
    play.event(1, 3, "three");
    play.snapshot(1, 10);
    play.note("and then all of it");
    play.snapshot(0, 13);
    play.event(1, 11, "eleven");
    play.event(1, 12, "twelve");
    play.note("with one stream it is applied at once");
    play.merge.ended(1);
    play.snapshot(0, 20);
    expect![[r#"
        -- the other stream delivers a part of it in time
        2: two
        9: all, events before it lost
        10: ten
        -- and then all of it
        11: eleven
        12: twelve
        13: all
        -- with one stream it is applied at once
        20: all, events before it lost
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn an_event_that_is_unusable_on_one_stream_is_taken_from_the_other() {
    let mut play = Play::new(1);
    play.unusable(0, 2);
    play.event(0, 3, "three");
    play.event(1, 2, "two");
    play.note("neither stream has a usable copy");
    play.unusable(0, 4);
    play.unusable(1, 4);
    play.event(1, 5, "five");
    play.request(0);
    play.event(0, 5, "five");
    play.note("only one stream has delivered it: the other may still");
    play.unusable(0, 6);
    play.pass(1_000);
    play.request(0);
    play.unusable(0, 6);
    play.pass(999);
    play.note("1 s again");
    play.pass(1);
    expect![[r#"
        2: two
        3: three
        -- neither stream has a usable copy
        stream 0 reconnects: event 4 can't be used: no such state
        4 skipped: no such state
        5: five
        -- only one stream has delivered it: the other may still
        stream 0 reconnects: event 6 can't be used: no such state
        -- 1 s again
        6 skipped: no such state
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_second_content_under_one_number_is_reported_once() {
    let mut play = Play::new(1);
    play.event(0, 2, "two");
    play.event(1, 2, "not two");
    play.event(1, 2, "not two");
    play.event(1, 2, "two");
    play.note("a snapshot and an event without content contradict nothing");
    play.snapshot(1, 2);
    play.event(1, 2, "");
    play.event(0, 3, "");
    play.event(1, 3, "three");
    play.note("an event that is held back is compared once its predecessors are applied");
    play.event(1, 5, "not five");
    play.event(0, 4, "four");
    play.event(0, 5, "five");
    play.note("events applied long ago are not compared");
    for number in 6..6 + 1_024 {
        play.event(0, number, "later");
    }
    play.trace.truncate(play.trace.find("6: later").unwrap_or(0));
    play.event(1, 5, "other");
    play.event(1, 6, "other");
    expect![[r#"
        2: two
        2: stream 1 has not two
        -- a snapshot and an event without content contradict nothing
        3: 
        -- an event that is held back is compared once its predecessors are applied
        4: four
        5: not five
        5: stream 0 has five
        -- events applied long ago are not compared
        6: stream 1 has other
    "#]]
    .assert_eq(&play.trace);
}
