//! The time that an attempt tells its node is what its client has left as the first byte leaves. Events in, effects out.

use crate::common::{CONFIG, Play, request};
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_routing::interface::Nanos;
use expect_test::expect;

/// The time that the last attempt told.
fn told(trace: &str) -> Option<u64> {
    let line = trace.lines().rev().find(|line| line.contains("<- fetch"))?;
    line.split("ttl=").nth(1)?.split([',', ' ']).next()?.parse().ok()
}

/// A dispatcher on a network where nothing happens by itself.
fn slow_network() -> Play {
    let mut play = Play::of(CONFIG);
    play.calm = false;
    play
}

/// The time that passes before a connection comes up is not told as left.
#[test]
fn what_waited_for_its_connection_tells_what_is_left() {
    let mut play = slow_network();
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.pass(200);
    play.event(Event::Connected(Peer::Node(1)));
    assert_eq!(told(&play.take()), Some(1_300));
}

/// An attempt was put into words as it was given to its connection, and left whenever that took bytes again.
#[test]
fn what_waited_to_leave_tells_what_is_left() {
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

/// Of several, those that have begun to leave stay; the others keep their order, behind them.
#[test]
fn what_has_begun_to_leave_is_not_put_into_other_words() {
    let mut play = slow_network();
    // As many connections as one node gets, and one more attempt on the first of them.
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
    // The rest of the first has left: the second goes with what its client has left now.
    play.event(Event::Written(Peer::Node(1), 78));
    expect![[r#"
        Node(1) <- fetch 9b11 lane=image,name=7f3a,piece=0,ttl=1300,keep=1 0
    "#]]
    .assert_eq(&play.take());
}

/// A connection comes up as nearly all of the client's time is over: nothing is sent, and the client is answered.
#[test]
fn with_no_time_left_nothing_is_sent() {
    for calm in [false, true] {
        let mut play = slow_network();
        play.calm = calm;
        // Half a millisecond is left.
        play.event(Event::InputDelay(Nanos(99_500_000)));
        play.client(&request(7, "image", "9b1f", ",need=100,timeout=100"));
        play.event(Event::Connected(Peer::Node(1)));
        play.pass(1);
        let trace = play.take();
        assert!(!trace.contains("fetch"), "{trace}");
        assert_eq!(trace.matches("Client(1) <-").count(), 1, "{trace}");
    }
}

/// What lay unread while the machine held the program up is taken from the client's time.
#[test]
fn what_lay_unread_is_taken_from_the_time_left() {
    let mut play = Play::of(CONFIG);
    play.event(Event::InputDelay(Nanos(300_000_000)));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    assert_eq!(told(&play.take()), Some(1_200));
    play.pass(1_200);
    assert_eq!(play.take().matches("Client(1) <-").count(), 1);
    play.event(Event::InputDelay(Nanos::ZERO));
    play.client(&request(8, "image", "9b20", ",need=100"));
    assert_eq!(told(&play.take()), Some(1_500));
}
