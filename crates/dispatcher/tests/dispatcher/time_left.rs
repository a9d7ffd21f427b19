//! The time to live that an attempt sends to its node is the client's remaining time when the first byte is sent.
//! Events in, effects out.

use crate::common::{CONFIG, Play, request};
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_routing::interface::Nanos;
use expect_test::expect;

/// The time to live of the last attempt in the trace, in milliseconds.
fn sent_ttl_ms(trace: &str) -> Option<u64> {
    let line = trace.lines().rev().find(|line| line.contains("<- fetch"))?;
    line.split("ttl=").nth(1)?.split([',', ' ']).next()?.parse().ok()
}

/// A dispatcher on a network where connections and writes complete only by events of the test.
fn slow_network() -> Play {
    let mut play = Play::of(CONFIG);
    play.calm = false;
    play
}

/// Time spent on connecting is taken off the remaining time.
#[test]
fn an_attempt_that_waited_for_its_connection_sends_the_remaining_time() {
    let mut play = slow_network();
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.pass(200);
    play.event(Event::Connected(Peer::Node(1)));
    assert_eq!(sent_ttl_ms(&play.take()), Some(1_300));
}

/// An attempt was encoded when it was queued on its connection, and sent unchanged once the connection took bytes
/// again.
#[test]
fn a_queued_attempt_sends_the_remaining_time() {
    let mut play = slow_network();
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.event(Event::Connected(Peer::Node(1)));
    play.take();
    play.pass(300);
    play.event(Event::OutputStale(Peer::Node(1)));
    expect![[r#"
        retract Node(1) from 0
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1200 0
    "#]]
    .assert_eq(&play.take());
}

/// Of several queued attempts, those partly sent stay as they are; the others keep their order behind them.
#[test]
fn a_partly_sent_attempt_is_not_encoded_again() {
    let mut play = slow_network();
    // One attempt on each connection that a node may have, and one more on the first connection.
    for tag in 7..12 {
        play.client(&request(tag, "image", &format!("9b{tag:02}"), ",need=100"));
    }
    play.event(Event::Connected(Peer::Node(1)));
    play.event(Event::Written(Peer::Node(1), 10));
    play.take();
    play.pass(200);
    play.event(Event::OutputStale(Peer::Node(1)));
    expect![[r#"
        retract Node(1) from 78
    "#]]
    .assert_eq(&play.take());
    // The rest of the first attempt was sent: the second is encoded with its client's remaining time.
    play.event(Event::Written(Peer::Node(1), 78));
    expect![[r#"
        Node(1) <- fetch 9b11 lane=image,name=7f3a,piece=0,ttl=1300,keep=1 0
    "#]]
    .assert_eq(&play.take());
}

/// A connection comes up when nearly all of the client's time has passed: nothing is sent, and the client is
/// answered.
#[test]
fn nothing_is_sent_when_no_time_remains() {
    for calm in [false, true] {
        let mut play = slow_network();
        play.calm = calm;
        // Half a millisecond remains.
        play.event(Event::InputDelay(Nanos(99_500_000)));
        play.client(&request(7, "image", "9b1f", ",need=100,timeout=100"));
        play.event(Event::Connected(Peer::Node(1)));
        play.pass(1);
        let trace = play.take();
        assert!(!trace.contains("fetch"), "{trace}");
        assert_eq!(trace.matches("Client(1) <-").count(), 1, "{trace}");
    }
}

/// The time that a request lay unread while the program was not scheduled is taken off the remaining time.
#[test]
fn time_spent_unread_is_taken_off_the_remaining_time() {
    let mut play = Play::of(CONFIG);
    play.event(Event::InputDelay(Nanos(300_000_000)));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    assert_eq!(sent_ttl_ms(&play.take()), Some(1_200));
    play.pass(1_200);
    assert_eq!(play.take().matches("Client(1) <-").count(), 1);
    play.event(Event::InputDelay(Nanos::ZERO));
    play.client(&request(8, "image", "9b20", ",need=100"));
    assert_eq!(sent_ttl_ms(&play.take()), Some(1_500));
}
