//! A queued attempt that must no longer be sent is withdrawn. Events in, effects out, without sockets.

use crate::common::{CONFIG, LOOPBACK, Play, message, request};
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_dispatcher::lingering::{LingeringConnections, LingeringInput, LingeringStart};
use copperroute_routing::interface::Nanos;
use expect_test::expect;

/// A change log event that lists one cache.
fn listed(seq: u32, id: &str, port: u32, state: &str) -> String {
    format!(
        "{{\"seq\":{seq},\"fleet\":{{\"servers\":[{{\"id\":\"{id}\",\"addr\":\"127.0.0.1:{port}\",\"zone\":\"east\",\
         \"kind\":\"box\",\"state\":\"{state}\",\"weight\":20}}]}}}}"
    )
}

/// A request whose attempt is queued on a connection that takes no bytes.
fn queued_attempt(config: &str) -> Play {
    let mut play = Play::of(config);
    play.calm = false;
    play.client(&request(7, "image", "9b1f", ",need=100,family=17"));
    play.event(Event::Connected(Peer::Node(1)));
    play.take();
    play
}

/// Where attempts are not cancelled, one that waited for its connection was sent although its client had left.
#[test]
fn an_attempt_that_waits_for_its_connection_is_not_sent_after_its_client_left() {
    for cancel in ["true", "false"] {
        for leave in 0..3 {
            let mut play = Play::of(&CONFIG.replace("\"cancel\": true", &format!("\"cancel\": {cancel}")));
            play.calm = false;
            play.client(&request(7, "image", "9b1f", ",need=100"));
            match leave {
                0 => play.client(&message("ABORT", 7)),
                1 => play.event(Event::EndOfStream(Peer::Client(1))),
                _ => play.event(Event::Closed(Peer::Client(1))),
            }
            play.event(Event::Connected(Peer::Node(1)));
            play.pass(8_000);
            let trace = play.take();
            assert!(!trace.contains("fetch"), "cancel {cancel}, {leave}: {trace}");
        }
    }
}

/// The same for an attempt that is queued on its connection, with no byte sent.
#[test]
fn a_queued_attempt_is_withdrawn_when_its_client_leaves() {
    let mut play = queued_attempt(CONFIG);
    play.client(&message("ABORT", 7));
    expect![[r#"
        retract Node(1) from 0
    "#]]
    .assert_eq(&play.take());
}

/// Bytes queued for a node that takes none were sent once it took them, even if the node had started to drain.
#[test]
fn an_unsent_attempt_for_a_draining_node_goes_to_another_node() {
    let mut play = queued_attempt(CONFIG);
    play.log(1, &listed(2, "s-a", 6001, "leaving"));
    expect![[r#"
        retract Node(1) from 0
        close Node(1)
        connect Node(2) 127.0.0.1:6002
    "#]]
    .assert_eq(&play.take());
}

/// The rest of a partly sent attempt is sent, as the sent part cannot be withdrawn.
#[test]
fn a_partly_sent_attempt_is_sent_completely() {
    let mut play = queued_attempt(CONFIG);
    play.event(Event::Written(Peer::Node(1), 10));
    play.log(1, &listed(2, "s-a", 6001, "leaving"));
    assert_eq!(play.take(), "");
    play.event(Event::Written(Peer::Node(1), 78));
    play.node("9b1f ok why=local 4");
    expect![[r#"
        Client(1) <- *4 $1 7 $2 OK $0  $4 body
        close Node(1)
    "#]]
    .assert_eq(&play.take());
}

/// Lines queued behind a withdrawn attempt are queued again, an abort included.
#[test]
fn lines_behind_a_withdrawn_attempt_are_queued_again() {
    let mut play = Play::new();
    play.event(Event::Accepted(2, LOOPBACK));
    // All on one connection: more are refused.
    for tag in 7..11 {
        play.client(&request(tag, "image", &format!("9b{tag:02}"), ",need=100"));
    }
    play.calm = false;
    play.take();
    for tag in 11..15 {
        let bytes = request(tag, "image", &format!("9b{tag:02}"), ",need=100");
        play.event(Event::Received(Peer::Client(2), &bytes));
    }
    let first = play.take();
    // Unsent on connection 1: the attempt of 9b11, then the abort of 9b07, which was sent before.
    play.client(&message("ABORT", 7));
    play.event(Event::Received(Peer::Client(2), &message("ABORT", 11)));
    let trace = first + &play.take();
    let node_1_lines: Vec<_> = trace.lines().filter(|line| line.contains("Node(1)")).collect();
    expect![[r#"
        Node(1) <- fetch 9b11 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        Node(1) <- abort 9b07
        retract Node(1) from 78
        Node(1) <- abort 9b07"#]]
    .assert_eq(&node_1_lines.join("\n"));
}

/// Two attempts are queued on a connection and the client of the first leaves: the second is queued again.
#[test]
fn an_attempt_behind_a_withdrawn_one_is_still_sent() {
    let mut play = Play::new();
    play.calm = false;
    // One attempt on each connection that a node may have, and one more on the first connection.
    for tag in 7..12 {
        play.client(&request(tag, "image", &format!("9b{tag:02}"), ",need=100"));
    }
    play.take();
    play.event(Event::Connected(Peer::Node(1)));
    play.client(&message("ABORT", 7));
    expect![[r#"
        Node(1) <- fetch 9b07 lane=image,name=7f3a,piece=0,ttl=1500 0  fetch 9b11 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        retract Node(1) from 0
        Node(1) <- fetch 9b11 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
    "#]].assert_eq(&play.take());
}

/// A purge arrives while the attempt is queued: the attempt then asks for a newer copy.
#[test]
fn an_unsent_attempt_asks_for_a_newer_copy_after_a_purge() {
    let mut play = queued_attempt(CONFIG);
    play.pass(100);
    play.log(1, r#"{"seq":2,"invalidate":{"bucket":17,"time":1764576000080}}"#);
    expect![[r#"
        retract Node(1) from 0
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1400,maxage=20 0
    "#]]
    .assert_eq(&play.take());
}

/// A new node is listed at another node's address: an attempt that waits for the old node would reach the new one.
#[test]
fn an_attempt_that_waits_for_an_address_now_used_by_another_node_goes_elsewhere() {
    let mut play = Play::new();
    play.calm = false;
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.take();
    play.log(1, &listed(2, "s-new", 6001, "active"));
    play.event(Event::Connected(Peer::Node(1)));
    let trace = play.take();
    assert!(!trace.contains("Node(1) <- fetch") && trace.contains("connect Node(2)"), "{trace}");
}

/// A node is listed at a new address while its connection comes up: the attempt for the old address is started
/// again.
#[test]
fn an_attempt_that_waits_for_a_moved_node_is_started_again() {
    let mut play = Play::new();
    play.calm = false;
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.take();
    play.log(1, &listed(2, "s-a", 6011, "active"));
    play.event(Event::Connected(Peer::Node(1)));
    let trace = play.take();
    assert!(!trace.contains("Node(1) <- fetch") && trace.contains("close Node(1)"), "{trace}");
}

/// Without free descriptors, the node that could not be connected to counted as dead and was ejected.
#[test]
fn a_connect_failure_for_lack_of_descriptors_ejects_no_node() {
    let mut play = Play::new();
    play.calm = false;
    for tag in 7..12 {
        play.client(&request(tag, "image", &format!("9b{tag:02}"), ",need=100"));
        // A connection that fails may be followed by another.
        loop {
            let trace = play.take();
            let numbers =
                trace.lines().filter_map(|line| line.strip_prefix("connect Node(")?.split(')').next());
            let numbers: Vec<u32> = numbers.filter_map(|number| number.parse().ok()).collect();
            if numbers.is_empty() {
                break;
            }
            numbers
                .into_iter()
                .for_each(|number| play.event(Event::ConnectFailedLocally(Peer::Node(number))));
        }
    }
    play.calm = true;
    play.client(&request(20, "image", "9b20", ",need=100"));
    let trace = play.take();
    assert!(trace.contains("127.0.0.1:6001"), "{trace}");
}

/// The first attempt of a post is answered twice on its connection, the second time after the second attempt was
/// started: that counted as a refusal of the second attempt, and a third was sent although the second may have
/// run.
#[test]
fn a_second_answer_does_not_end_a_later_attempt_of_a_post() {
    let config = CONFIG.replace("\"pass_through_ok\": true", "\"pass_through_ok\": false");
    let refused = b"9b1f000000000000 refused why=turned_away 0\r\n\r\n";
    let mut play = Play::of(&config);
    // One cache only: the second attempt goes where the first did.
    play.log(1, &listed(2, "s-b", 6002, "left"));
    play.client(&request(7, "post", "9b1f", ",need=100"));
    play.event(Event::Received(Peer::Node(1), refused));
    play.event(Event::Received(Peer::Node(1), refused));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=post,name=7f3a,piece=0,ttl=1500,src=o-1 0
        connect Node(2) 127.0.0.1:6001
        Node(2) <- fetch 9b1f lane=post,name=7f3a,piece=0,ttl=1500,src=o-1 0
    "#]]
    .assert_eq(&play.take());
}

/// The same answer arrives twice before the second attempt is sent: it ended an attempt that was never sent, the
/// request was refused, and the attempt was sent all the same.
#[test]
fn a_second_answer_does_not_end_an_unsent_attempt() {
    let mut play = queued_attempt(CONFIG);
    play.event(Event::Written(Peer::Node(1), 78));
    let nothing = b"9b1f000000000000 nothing - 0\r\n\r\n";
    play.event(Event::Received(Peer::Node(1), nothing));
    play.event(Event::Received(Peer::Node(1), nothing));
    expect![[r#"
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500,src=p-2 0
    "#]]
    .assert_eq(&play.take());
}

/// A retry of a deduplicated request waits for its connection until nodes no longer recognize repeats: it is not
/// sent, however late the connection comes up.
#[test]
fn a_retry_past_the_deduplication_window_is_not_sent() {
    let keyed = r#"{"name": "image", "effect": "keyed", "window_s": 0.3, "dedup_scope": "all","#;
    let config = CONFIG.replace(r#"{"name": "image", "effect": "safe","#, keyed);
    for (wait, sent) in [(250, true), (290, false), (350, false)] {
        let mut play = Play::of(&config);
        play.client(&request(7, "image", "9b1f", ",need=100,opkey=cbd3d4163e11037e"));
        let trace = play.take();
        assert!(trace.contains(",dedupe=cbd3d4163e11037e 0"), "{trace}");
        play.calm = false;
        play.event(Event::Closed(Peer::Node(1)));
        play.pass(wait);
        play.event(Event::Connected(Peer::Node(2)));
        let trace = play.take();
        assert_eq!(trace.contains("Node(2) <- fetch"), sent, "{wait} ms: {trace}");
        assert!(sent || trace.contains("BUSY"), "{wait} ms: {trace}");
    }
}

#[test]
fn health_is_up_only_when_a_node_is_available() {
    let mut play = Play::new();
    play.client(&message("HEALTH", 1));
    play.log(1, r#"{"seq":2,"fleet":{"full":true,"servers":[]}}"#);
    play.client(&message("HEALTH", 2));
    play.log(1, &listed(3, "s-a", 6001, "active"));
    play.client(&message("HEALTH", 3));
    let trace = play.take();
    let words: Vec<_> = trace.lines().filter_map(|line| line.split(' ').nth(6)).collect();
    assert_eq!(words, ["UP", "DOWN", "UP"], "{trace}");
}

fn without_answers(number: u32) -> LingeringStart {
    LingeringStart { number, ..LingeringStart::default() }
}

#[test]
fn a_lingering_close_is_bounded_in_time_bytes_and_number() {
    let (now, later) = (Nanos(5_000_000_000), Nanos(6_000_000_000));
    let mut lingering = LingeringConnections::default();
    lingering.set_descriptor_limit(64);
    let closed: Vec<_> = (1..=6).filter_map(|number| lingering.begin(now, without_answers(number))).collect();
    // At most four linger, whatever the descriptor limit; a further one closes the oldest.
    assert_eq!((closed, lingering.count()), (vec![1, 2], 4));
    assert_eq!(lingering.received(now, 3, 500_000), Some(LingeringInput::Read));
    assert_eq!(lingering.received(now, 3, 100_000), Some(LingeringInput::Close));
    assert_eq!(lingering.received(now, 9, 1 << 30), None);
    lingering.remove(4);
    assert_eq!(
        (lingering.take_expired(now), lingering.take_expired(later), lingering.count()),
        (vec![], vec![5, 6], 0)
    );
}

/// Guards against a lingering connection that is closed, for want of place, time or bytes, under answers that are still on
/// their way to its client: the close resets it, and they are lost.
#[test]
fn a_lingering_close_with_undelivered_answers_ends_at_their_time() {
    let (now, answered_by) = (Nanos(5_000_000_000), Nanos(8_000_000_000));
    let mut lingering = LingeringConnections::default();
    lingering.set_descriptor_limit(64);
    let closed: Vec<_> = (1..=6)
        .filter_map(|number| {
            lingering.begin(now, LingeringStart { undelivered_until: answered_by, ..without_answers(number) })
        })
        .collect();
    assert_eq!((closed, lingering.count()), (vec![], 6));
    // One without answers is closed in their place.
    assert_eq!(lingering.begin(now, without_answers(7)), Some(7));
    assert_eq!(lingering.received(now, 3, 1 << 30), Some(LingeringInput::LeaveUnread));
    assert_eq!(lingering.pop_delivered(now), None);
    lingering.shorten_for_exit(now, Nanos(7_000_000_000));
    assert!(lingering.take_expired(Nanos(6_999_999_999)).is_empty());
    assert_eq!(lingering.take_expired(Nanos(7_000_000_000)), (1..=6).collect::<Vec<_>>());
}
