//! Attempts and how they end: reducer events in, effects out, without sockets.

use crate::common::{LOOPBACK, Play, last_connection, request};
use copperroute_dispatcher::effects::{Event, Peer};
use expect_test::expect;

#[test]
fn a_request_is_looked_up_filled_and_answered_once() {
    let mut play = Play::new();
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.node("9b1f nothing - 0");
    play.node("9b1f ok why=pulled,ttfb=12 4");
    play.node("9b1f ok why=pulled,ttfb=12 4");
    play.pass(2_000);
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500,src=p-2 0
        Client(1) <- *4 $1 7 $2 OK $0  $4 body
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_node_that_fails_during_an_answer_is_replaced() {
    let mut play = Play::new();
    play.client(&request(7, "image", "9b1f", ",need=100"));
    let first = last_connection(&play.trace);
    play.node_bytes("9b1f ok - 4", "bo");
    play.event(Event::Closed(Peer::Node(first)));
    play.node("9b1f ok why=local 4");
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        close Node(1)
        connect Node(2) 127.0.0.1:6002
        Node(2) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        Client(1) <- *4 $1 7 $2 OK $0  $4 body
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_post_that_may_have_run_is_not_retried() {
    let mut play = Play::new();
    play.client(&request(7, "post", "9b1f", ""));
    play.event(Event::Closed(Peer::Node(1)));
    expect![[r#"
        connect Node(1) 127.0.0.1:6005
        Node(1) <- fetch 9b1f lane=post,name=7f3a,piece=0,ttl=1500 0
        close Node(1)
        Client(1) <- *4 $1 7 $6 FAILED $0  $0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_post_that_was_not_fully_written_is_retried() {
    let mut play = Play::new();
    play.calm = false;
    play.client(&request(7, "post", "9b1f", ""));
    play.event(Event::Connected(Peer::Node(1)));
    play.event(Event::Written(Peer::Node(1), 20));
    play.event(Event::Closed(Peer::Node(1)));
    expect![[r#"
        connect Node(1) 127.0.0.1:6005
        Node(1) <- fetch 9b1f lane=post,name=7f3a,piece=0,ttl=1500 0
        close Node(1)
        connect Node(2) 127.0.0.1:6004
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_post_is_retried_after_a_connect_timeout() {
    let mut play = Play::new();
    play.calm = false;
    play.client(&request(7, "post", "9b1f", ""));
    play.pass(500);
    expect![[r#"
        connect Node(1) 127.0.0.1:6005
        close Node(1)
        connect Node(2) 127.0.0.1:6004
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn an_attempt_waiting_for_a_draining_node_moves_to_another() {
    let mut play = Play::new();
    play.calm = false;
    play.client(&request(7, "image", "9b1f", ",need=100"));
    let waits_for_s_a = play.trace.contains(":6001");
    let draining = if waits_for_s_a { "s-a" } else { "s-b" };
    play.log(1, &format!("{{\"seq\":2,\"fleet\":{{\"servers\":[{{\"id\":\"{draining}\",\"addr\":\"127.0.0.1:6001\",\"zone\":\"east\",\"kind\":\"box\",\"state\":\"leaving\"}}]}}}}"));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        close Node(1)
        connect Node(2) 127.0.0.1:6002
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_connection_with_an_unfinished_answer_takes_no_new_attempts() {
    let mut play = Play::new();
    play.beats(1, 1);
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.pass(300);
    play.node_bytes("9b1f ok - 400", "half of it");
    play.pass(300);
    play.client(&request(8, "image", "9b20", ",need=100"));
    play.pass(6_000);
    play.client(&request(9, "image", "9b21", ",need=100"));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        Node(1) <- abort 9b1f
        close Node(1)
        connect Node(2) 127.0.0.1:6002
        Node(2) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1160 0
        connect Node(3) 127.0.0.1:6002
        Node(3) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        Node(2) <- abort 9b1f
        close Node(2)
        Node(3) <- abort 9b20
        close Node(3)
        Client(1) <- *4 $1 7 $4 BUSY $11 holdoff=174 $0
        Client(1) <- *4 $1 8 $4 BUSY $11 holdoff=196 $0
        connect Node(4) 127.0.0.1:6001
        Node(4) <- fetch 9b21 lane=image,name=7f3a,piece=0,ttl=1500,src=p-2,keep=1 0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn an_expired_request_is_answered_once_and_a_late_answer_is_ignored() {
    let mut play = Play::new();
    play.client(&request(7, "post", "9b1f", ""));
    play.pass(1_499);
    play.trace.push_str("just before the timeout\n");
    play.pass(1);
    play.node("9b1f ok why=pulled_far 4");
    expect![[r#"
        connect Node(1) 127.0.0.1:6005
        Node(1) <- fetch 9b1f lane=post,name=7f3a,piece=0,ttl=1500 0
        just before the timeout
        Node(1) <- abort 9b1f
        close Node(1)
        Client(1) <- *4 $1 7 $6 FAILED $0  $0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_copy_that_the_client_has_is_not_sent_again() {
    let mut play = Play::new();
    play.client(&request(7, "image", "9b1f", ",need=100,cached=4b00000000000000"));
    play.node("9b1f current etag=4b00000000000000,made=1764,why=local 0");
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500,have=4b00 0
        Client(1) <- *4 $1 7 $2 OK $6 keep=1 $0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn after_a_purge_attempts_limit_the_age_of_copies() {
    let mut play = Play::new();
    play.pass(1_000);
    play.log(1, r#"{"seq":2,"invalidate":{"object":"7f3a000000000000","time":1764576000400}}"#);
    play.client(&request(7, "image", "9b1f", ",need=100"));
    // A repeated event has no effect. The purge of the object's group is later than that of the object.
    play.log(1, r#"{"seq":2,"invalidate":{"object":"7f3a000000000000","time":1764576000999}}"#);
    play.log(1, r#"{"seq":3,"invalidate":{"bucket":17,"time":1764576000900}}"#);
    play.client(&request(8, "image", "9b20", ",need=100,family=17"));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500,maxage=600 0
        connect Node(2) 127.0.0.1:6001
        Node(2) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500,keep=1,maxage=100 0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn an_attempt_still_unsent_at_a_purge_asks_for_a_newer_copy() {
    let mut play = Play::new();
    play.calm = false;
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.pass(100);
    play.log(1, r#"{"seq":2,"invalidate":{"object":"7f3a000000000000","time":1764576000080}}"#);
    play.pass(150);
    play.event(Event::Connected(Peer::Node(1)));
    play.event(Event::Connected(Peer::Node(2)));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1250,maxage=170 0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn malformed_input_ends_one_connection_only() {
    let mut play = Play::new();
    play.event(Event::Accepted(2, LOOPBACK));
    play.event(Event::Received(Peer::Client(2), b"GET / HTTP/1.1\r\n"));
    play.client(&request(6, "nothing-known", "9b1e", ""));
    play.client(&request(7, "image", "bad id", ""));
    play.client(&request(8, "image", "9b20", ",need=100"));
    let first = last_connection(&play.trace);
    play.event(Event::Received(Peer::Node(first), b"what?\r\n"));
    play.node("9b20 ok why=local 4");
    expect![[r#"
        shut Client(2), read on
        Client(1) <- *4 $1 6 $6 FAILED $0  $0
        Client(1) <- *4 $1 7 $6 FAILED $0  $0
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500 0
        close Node(1)
        connect Node(2) 127.0.0.1:6002
        Node(2) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500 0
        Client(1) <- *4 $1 8 $2 OK $0  $4 body
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn an_invalid_answer_ends_its_connection_and_its_request_moves_to_another_node() {
    for invalid in ["9b1f ok why=local", "9b1f current etag=4b00000000000000,made=1764"] {
        let mut play = Play::new();
        play.client(&request(7, "image", "9b1f", ",need=100"));
        play.client(&request(8, "image", "9b20", ",need=100"));
        play.take();
        // An answer to an unknown request is ignored.
        play.node("9b99 ok why=local 4");
        let line = invalid.replace("9b1f", "9b1f000000000000") + " 0\r\n\r\n";
        play.event(Event::Received(Peer::Node(1), line.as_bytes()));
        let trace = play.take();
        assert!(trace.starts_with("close Node(1)\nconnect Node(3) 127.0.0.1:6002\n"), "{trace}");
        assert!(trace.contains("fetch 9b1f") && !trace.contains("fetch 9b20"), "{trace}");
    }
}

#[test]
fn an_unsafe_request_uses_no_idle_connection() {
    let mut play = Play::new();
    play.beats(1, 1);
    for (tag, kind) in [(7, "post"), (8, "post"), (9, "image"), (10, "image")] {
        let id = format!("9b{tag:02}");
        play.client(&request(tag, kind, &id, ",need=100"));
        play.node(&format!("{id} ok why=local 4"));
        play.pass(100);
    }
    // The node closes an idle connection just as an attempt is sent: idle connections are not reused for a while.
    play.client(&request(11, "image", "9b11", ",need=100"));
    let last = last_connection(&play.trace);
    play.event(Event::Closed(Peer::Node(last)));
    play.node("9b11 ok why=local 4");
    play.pass(100);
    play.event(Event::Accepted(2, LOOPBACK));
    for tag in [12, 13, 14] {
        if tag == 14 {
            play.pass(11_000);
            play.event(Event::Accepted(3, LOOPBACK));
        }
        let bytes = request(tag, "image", &format!("9b{tag}"), ",need=100");
        play.event(Event::Received(Peer::Client(if tag == 14 { 3 } else { 2 }), &bytes));
        play.node(&format!("9b{tag} ok why=local 4"));
        play.pass(100);
    }
    let trace = play.take();
    let nodes = trace.lines().filter(|line| line.contains("Node") && !line.contains("abort"));
    expect![[r#"
        connect Node(1) 127.0.0.1:6005
        Node(1) <- fetch 9b07 lane=post,name=7f3a,piece=0,ttl=1500 0
        close Node(1)
        connect Node(2) 127.0.0.1:6005
        Node(2) <- fetch 9b08 lane=post,name=7f3a,piece=0,ttl=1500 0
        connect Node(3) 127.0.0.1:6001
        Node(3) <- fetch 9b09 lane=image,name=7f3a,piece=0,ttl=1500 0
        Node(3) <- fetch 9b10 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        Node(3) <- fetch 9b11 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        close Node(3)
        connect Node(4) 127.0.0.1:6002
        Node(4) <- fetch 9b11 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        connect Node(5) 127.0.0.1:6001
        Node(5) <- fetch 9b12 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        close Node(5)
        connect Node(6) 127.0.0.1:6001
        Node(6) <- fetch 9b13 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        Node(6) <- fetch 9b14 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
    "#]]
    .assert_eq(&nodes.map(|line| format!("{line}\n")).collect::<String>());
}

#[test]
fn a_stalled_answer_ends_its_connection() {
    let mut play = Play::new();
    play.client(&request(7, "image", "9b1f", ",need=100000"));
    play.node_bytes("9b1f ok - 4", "bo");
    play.take();
    play.pass(300);
    // New attempts on the connection do not extend its timeout.
    play.client(&request(8, "image", "9b20", ",need=100000"));
    play.pass(400);
    expect![[r#"
        connect Node(2) 127.0.0.1:6001
        Node(2) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        close Node(1)
        Client(1) <- *4 $1 7 $4 BUSY $11 holdoff=115 $0
    "#]]
    .assert_eq(&play.take());
}

/// A node that accepts connections and closes them at once, under ten requests per second: the reconnect backoff grows,
/// so that fewer connections are opened in the second half.
#[test]
fn connections_to_a_node_that_closes_them_at_once_back_off() {
    let mut play = Play::new();
    let mut opened = [0; 2];
    for number in 0..200 {
        play.client(&request(7, "image", &format!("{number:04x}"), ",need=100"));
        // Closes every new connection, and those opened in response.
        for _ in 0..8 {
            let trace = play.take();
            let connected =
                trace.lines().filter_map(|line| line.strip_prefix("connect Node(")?.split(')').next());
            let connected: Vec<u32> = connected.filter_map(|number| number.parse().ok()).collect();
            opened[number / 100] += connected.len();
            connected.iter().for_each(|number| play.event(Event::Closed(Peer::Node(*number))));
        }
        play.pass(100);
    }
    assert!(opened[0] < 60 && opened[1] < 20, "{opened:?}");
}
