//! Two streams as one sequence, as traces.

use super::merge_play::Play;
use copperroute_routing::change_log::{Arrival, Content};
use expect_test::expect;

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
