//! What heartbeats of two streams are taken for: caught up, behind, begun anew.

use super::merge_play::Play;
use expect_test::expect;

#[test]
fn only_a_stream_that_names_the_last_event_in_time_is_caught_up() {
    let mut play = Play::new(4);
    play.heartbeat(0, 4);
    play.heartbeat(1, 4);
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
        stream 1 at 4: caught up
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
fn the_first_heartbeat_after_a_call_is_in_time_only_as_an_answer() {
    let mut play = Play::new(4);
    play.pass(500);
    play.heartbeat(0, 4);
    play.pass(100);
    play.heartbeat(1, 4);
    play.note("what comes right behind it, and what follows in time");
    play.heartbeat(1, 4);
    play.pass(1_000);
    play.heartbeat(1, 4);
    play.note("asked anew");
    play.merge.ended(1);
    play.ask(1);
    play.pass(1_000);
    play.heartbeat(1, 4);
    expect![[r#"
        stream 0 at 4: caught up
        stream 1 at 4: unsure
        -- what comes right behind it, and what follows in time
        stream 1 at 4: unsure
        stream 1 at 4: caught up
        -- asked anew
        stream 1 at 4: unsure
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn one_replica_that_lags_or_was_restored_makes_nothing_begin_anew() {
    let mut play = Play::new(9);
    for millis in [400, 1_000, 1_000, 1_000] {
        play.pass(millis);
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
    for millis in [400, 1_000] {
        play.pass(millis);
        play.heartbeat(1, 1);
    }
    play.note("then the other");
    play.merge.ended(0);
    play.ask(0);
    for millis in [400, 1_000, 1_000] {
        play.pass(millis);
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
    play.pass(400);
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
