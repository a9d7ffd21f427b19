//! Traces of one replica: its requests, what it sends, and which connections it closes.

use crate::common::{Player, config, delta, list, purge, secs};
use copperroute_change_log_replica::core::Phase;
use copperroute_change_log_replica::faults::{Fault, Faults};
use expect_test::expect;

/// A replica that is current at event 3 since second 1, with the change log and a replica as sources.
fn current() -> Player {
    let mut player = Player::new(&config(&[2]));
    player.connected(0.6);
    player.source_sends(1.0, &[&list(1), &purge(2), &purge(3), "3"]);
    assert_eq!(player.core.phase(), Phase::Current);
    player.take_trace();
    player
}

#[test]
fn it_requests_all_events_and_serves_no_follower_before_a_confirmed_heartbeat() {
    let mut player = Player::new(&config(&[]));
    player.connected(0.0);
    player.source_sends(0.2, &[&list(1), &purge(2)]);
    player.follower(0.3, 1, 0);
    player.source_sends(0.4, &["2"]);
    player.follower(0.5, 2, 1);
    player.source_sends(1.4, &[&purge(3), "3"]);
    expect![[r#"
        0.00 call 10.0.0.1:2379 as 1
        0.00 ask 1: since 0
        0.30 close f1
        0.50 to f2: purge 2
        1.40 to f2: purge 3
        1.40 to f2: 3
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn it_sends_one_heartbeat_for_each_received_and_no_other() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.idle(1.2, 2.0);
    player.source_sends(2.0, &["3"]);
    player.source_sends(2.9, &[&purge(4)]);
    player.source_sends(3.0, &["4"]);
    expect![[r#"
        2.00 to f1: 3
        2.90 to f1: purge 4
        3.00 to f1: 4
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn streams_end_two_seconds_after_the_last_heartbeat_even_if_events_arrive() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.source_sends(2.0, &["3"]);
    player.source_sends(3.0, &[&purge(4)]);
    player.idle(3.0, 3.9);
    player.source_sends(3.95, &[&purge(5)]);
    player.idle(4.0, 4.4);
    expect![[r#"
        2.00 to f1: 3
        3.00 to f1: purge 4
        3.95 to f1: purge 5
        4.00 close f1
        4.00 hang 1
        4.20 call 10.0.0.1:2379 as 2
    "#]]
    .assert_eq(&player.take_trace());
}

/// What a follower is sent if the source's third heartbeat comes 1.7 s after the second, and another 0.1 s later.
fn sent_after_a_pause(faults: Faults) -> String {
    let mut player = Player::with_faults(&config(&[]), faults);
    player.connected(0.6);
    player.source_sends(1.0, &[&list(1), &purge(2), &purge(3), "3"]);
    player.follower(1.2, 1, 3);
    player.source_sends(2.0, &["3"]);
    player.take_trace();
    player.source_sends(3.7, &[&purge(4), "4"]);
    player.source_sends(3.8, &["4"]);
    player.take_trace()
}

#[test]
fn a_heartbeat_that_may_have_been_delayed_is_not_passed_on() {
    assert_eq!(sent_after_a_pause(Faults::default()), "3.70 to f1: purge 4\n");
    // With the fault switched on, the trace shows the delayed heartbeats.
    let trusting = sent_after_a_pause(Faults::of(Fault::TrustDelayedHeartbeats));
    assert_eq!(trusting, "3.70 to f1: purge 4\n3.70 to f1: 4\n3.80 to f1: 4\n");
}

#[test]
fn a_process_that_was_stopped_ends_its_streams_before_it_reads_what_arrived() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.source_sends(2.0, &["3"]);
    player.source_sends(9.0, &[&purge(4), "4", "4", "4"]);
    expect![[r#"
        2.00 to f1: 3
        9.00 close f1
        9.00 hang 1
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn followers_keep_their_streams_if_the_change_log_is_back_at_once() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.source_sends(2.0, &["3"]);
    player.ended(2.1);
    player.idle(2.1, 2.4);
    player.follower(2.45, 2, 3);
    player.connected(2.5);
    player.source_sends(2.6, &[&purge(3), &purge(4), "4"]);
    expect![[r#"
        2.00 to f1: 3
        2.10 hang 1
        2.30 call 10.0.0.1:2379 as 2
        2.45 close f2
        2.50 ask 2: since 2
        2.60 to f1: purge 4
        2.60 to f1: 4
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn followers_are_closed_before_it_connects_to_another_replica() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.ended(1.3);
    player.idle(1.3, 1.5);
    player.ended(1.5);
    player.idle(1.5, 1.9);
    expect![[r#"
        1.30 hang 1
        1.50 call 10.0.0.1:2379 as 2
        1.50 hang 2
        1.90 close f1
        1.90 call 10.0.0.2:2379 as 3
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn a_gap_is_requested_again_and_accepted_if_it_comes_twice() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.source_sends(2.0, &[&purge(5)]);
    player.idle(2.0, 2.4);
    player.connected(2.4);
    player.source_sends(2.5, &[&purge(3), &purge(5), "5"]);
    expect![[r#"
        2.00 hang 1
        2.20 call 10.0.0.1:2379 as 2
        2.40 ask 2: since 2
        2.50 to f1: purge 5
        2.50 to f1: 5
    "#]]
    .assert_eq(&player.take_trace());
    // The missing event may have changed the node list, so no snapshot is available. Later events are sent.
    player.follower(2.6, 2, 3);
    assert_eq!(player.take_trace(), "2.60 to f2: purge 5\n");
}

#[test]
fn an_unreadable_event_is_passed_on_unchanged_if_it_comes_twice() {
    let bad = r#"{"seq":4,"invalidate":{"bucket":"seventeen","time":1}}"#;
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.source_sends(2.0, &[bad]);
    player.idle(2.0, 2.4);
    player.connected(2.4);
    player.source_sends(2.5, &[&purge(3), bad, &purge(5), "5"]);
    expect![[r#"
        2.00 hang 1
        2.20 call 10.0.0.1:2379 as 2
        2.40 ask 2: since 2
        2.50 to f1: purge 4, purge 5
        2.50 to f1: 5
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn a_line_that_is_neither_event_nor_heartbeat_ends_the_stream() {
    let mut player = current();
    player.source_sends(2.0, &["hello"]);
    player.idle(2.0, 2.4);
    expect![[r#"
        2.00 hang 1
        2.20 call 10.0.0.1:2379 as 2
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn a_heartbeat_that_announces_events_not_received_ends_the_stream() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.source_sends(2.0, &["4"]);
    assert_eq!(player.take_trace(), "2.00 hang 1\n");
}

#[test]
fn all_events_are_requested_again_after_three_lower_heartbeats() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.source_sends(2.0, &["1"]);
    player.source_sends(2.5, &["1"]);
    assert_eq!(player.take_trace(), "", "it may not have caught up itself");
    player.source_sends(2.9, &["1"]);
    player.idle(2.9, 3.2);
    player.connected(3.2);
    player.source_sends(3.3, &[&list(1), "1"]);
    player.follower(3.4, 2, 3);
    player.source_sends(4.3, &["1"]);
    expect![[r#"
        2.90 close f1
        2.90 hang 1
        3.10 call 10.0.0.1:2379 as 2
        3.20 ask 2: since 0
        4.30 to f2: 1
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn a_follower_that_is_ahead_gets_the_lower_heartbeat_as_from_the_source() {
    let mut player = current();
    player.follower(1.2, 1, 4);
    player.source_sends(2.0, &["3"]);
    player.source_sends(2.1, &[&purge(4)]);
    player.source_sends(2.2, &[&purge(5)]);
    player.source_sends(3.0, &["5"]);
    expect![[r#"
        2.00 to f1: 3
        2.20 to f1: purge 5
        3.00 to f1: 5
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn a_source_with_another_history_is_detected_by_the_last_event_and_followed_from_its_first() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.ended(1.3);
    player.idle(1.3, 1.5);
    player.connected(1.5);
    // The change log was restored from a backup and has issued other events under the same numbers.
    let other = purge(3).replace("time\":3", "time\":30");
    player.source_sends(1.6, &[&other, &purge(4), "4"]);
    player.idle(1.6, 2.0);
    expect![[r#"
        1.30 hang 1
        1.50 call 10.0.0.1:2379 as 2
        1.50 ask 2: since 2
        1.60 close f1
        1.60 hang 2
        2.00 call 10.0.0.2:2379 as 3
    "#]]
    .assert_eq(&player.take_trace());
    player.connected(2.0);
    assert_eq!(player.take_trace(), "2.00 ask 3: since 0\n");
}

#[test]
fn a_snapshot_in_place_of_the_last_event_is_requested_again_so_that_it_hides_nothing() {
    let mut player = current();
    player.ended(1.3);
    player.idle(1.3, 1.5);
    player.connected(1.5);
    player.source_sends(1.6, &[&list(4), "4"]);
    player.ended(1.61);
    player.idle(1.6, 2.0);
    player.connected(2.0);
    player.source_sends(2.1, &[&purge(4), "4"]);
    player.follower(2.2, 1, 2);
    expect![[r#"
        1.30 hang 1
        1.50 call 10.0.0.1:2379 as 2
        1.50 ask 2: since 2
        1.60 hang 2
        2.00 call 10.0.0.2:2379 as 3
        2.00 ask 3: since 3
        2.20 to f1: purge 3, purge 4
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn a_snapshot_from_the_source_is_passed_on_unchanged() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    player.source_sends(2.0, &[&list(9), &delta(10, "s-1", "active"), "10"]);
    player.follower(2.1, 2, 1);
    player.follower(2.2, 3, 8);
    expect![[r#"
        2.00 to f1: list 9 of [s-0], news 10
        2.00 to f1: 10
        2.10 to f2: purge 2, purge 3, list 9 of [s-0], news 10
        2.20 to f3: list 10 of [s-0 s-1]
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn a_silent_source_is_given_up_for_the_next() {
    let mut player = Player::new(&config(&[2, 3]));
    player.connected(0.0);
    player.idle(0.1, 6.0);
    expect![[r#"
        0.00 call 10.0.0.1:2379 as 1
        0.00 ask 1: since 0
        2.10 hang 1
        2.30 call 10.0.0.2:2379 as 2
        4.40 hang 2
        4.80 call 10.0.0.3:2379 as 3
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn the_invariants_catch_followers_without_a_confirmed_heartbeat() {
    let mut player = current();
    player.follower(1.2, 1, 3);
    let later = crate::common::START.after(secs(30.0));
    let broken = player.core.check_invariants(later).expect_err("the heartbeat has expired");
    assert_eq!(broken, "1 followers without a confirmed heartbeat");
}
