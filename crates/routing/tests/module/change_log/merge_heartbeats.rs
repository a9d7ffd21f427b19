//! The meaning of heartbeats of two streams: caught up, behind, log restarted.

use super::merge_play::Play;
use expect_test::expect;

#[test]
fn only_a_stream_that_names_the_last_event_in_time_is_caught_up() {
    let mut play = Play::new(4);
    play.heartbeat(0, 4);
    play.heartbeat(1, 4);
    play.event(1, 5, "five");
    play.note("a heartbeat with a lower number");
    play.pass(1_000);
    play.heartbeat(0, 4);
    play.heartbeat(1, 5);
    play.note("a delayed heartbeat, and one that arrives with it");
    play.event(0, 5, "five");
    play.pass(1_600);
    play.heartbeat(0, 5);
    play.heartbeat(0, 5);
    play.pass(500);
    play.heartbeat(0, 5);
    play.note("a heartbeat that names an event that was not received");
    play.heartbeat(1, 6);
    expect![[r#"
        stream 0 at 4: caught up
        stream 1 at 4: caught up
        5: five
        -- a heartbeat with a lower number
        stream 0 at 4: behind
        stream 1 at 5: caught up
        -- a delayed heartbeat, and one that arrives with it
        stream 0 at 5: inconclusive
        stream 0 at 5: inconclusive
        stream 0 at 5: caught up
        -- a heartbeat that names an event that was not received
        stream 1 at 6: reconnects: heartbeat names event 6, last applied is 5
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn the_first_heartbeat_after_a_request_is_in_time_only_within_the_slack() {
    let mut play = Play::new(4);
    play.pass(500);
    play.heartbeat(0, 4);
    play.pass(100);
    play.heartbeat(1, 4);
    play.note("one that arrives directly after it, and one that follows in time");
    play.heartbeat(1, 4);
    play.pass(1_000);
    play.heartbeat(1, 4);
    play.note("requested again");
    play.merge.ended(1);
    play.request(1);
    play.pass(1_000);
    play.heartbeat(1, 4);
    expect![[r#"
        stream 0 at 4: caught up
        stream 1 at 4: inconclusive
        -- one that arrives directly after it, and one that follows in time
        stream 1 at 4: inconclusive
        stream 1 at 4: caught up
        -- requested again
        stream 1 at 4: inconclusive
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn one_replica_that_lags_or_was_restored_is_no_restart_of_the_log() {
    let mut play = Play::new(9);
    for millis in [400, 1_000, 1_000, 1_000] {
        play.pass(millis);
        play.heartbeat(0, 9);
        play.heartbeat(1, 3);
    }
    play.note("its events are old; contradictions are reported");
    play.event(0, 10, "ten");
    play.event(1, 4, "four");
    play.event(1, 10, "other ten");
    play.note("the stream that is ahead ends: the other has three heartbeats to catch up");
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
        -- its events are old; contradictions are reported
        10: ten
        10: stream 1 has other ten
        -- the stream that is ahead ends: the other has three heartbeats to catch up
        stream 1 at 9: behind
        stream 1 at 9: behind
        11: eleven
        stream 1 at 11: caught up
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_log_that_restarts_at_1_is_requested_again_once_no_stream_confirms_more() {
    let mut play = Play::new(9);
    play.heartbeat(0, 9);
    play.note("one stream has it first");
    play.merge.ended(1);
    play.request(1);
    for millis in [400, 1_000] {
        play.pass(millis);
        play.heartbeat(1, 1);
    }
    play.note("then the other stream");
    play.merge.ended(0);
    play.request(0);
    for millis in [400, 1_000, 1_000] {
        play.pass(millis);
        play.heartbeat(0, 1);
        play.heartbeat(1, 1);
    }
    assert_eq!(play.merge.applied(), 0);
    play.request(0);
    play.request(1);
    play.snapshot(1, 1);
    play.snapshot(0, 1);
    play.heartbeat(0, 1);
    expect![[r#"
        stream 0 at 9: caught up
        -- one stream has it first
        stream 1 at 1: behind
        stream 1 at 1: behind
        -- then the other stream
        stream 0 at 1: behind
        stream 1 at 1: behind for long
        stream 0 at 1: behind
        stream 1 at 1: behind
        stream 0 at 1: all reconnect: heartbeat names event 1, last applied is 9: the log was restarted
        stream 1 at 1: reconnects: heartbeat names event 1, last applied is 0
        1: all
        stream 0 at 1: caught up
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_log_restored_to_an_earlier_state_is_requested_again_once_the_replica_ahead_of_it_is_silent() {
    let mut play = Play::new(100);
    play.pass(400);
    play.heartbeat(0, 100);
    play.heartbeat(1, 100);
    play.note("restored to 80: the replica that was requested again has it, the other stops");
    play.merge.ended(1);
    play.request(1);
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
        -- restored to 80: the replica that was requested again has it, the other stops
        stream 1 at 80: behind
        stream 1 at 81: behind
        stream 1 at 82: behind for long
        stream 1 at 82: behind
        stream 1 at 83: behind
        stream 1 at 84: all reconnect: heartbeat names event 84, last applied is 100: the log was restarted
    "#]]
    .assert_eq(&play.trace);
}
