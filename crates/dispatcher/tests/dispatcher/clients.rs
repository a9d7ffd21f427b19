//! Client connections: reducer events in, effects out, without sockets.

use crate::common::{CONFIG, LOOPBACK, Play, message, request};
use copperroute_dispatcher::effects::{Event, Peer};
use expect_test::expect;

#[test]
fn a_client_that_leaves_is_sent_nothing() {
    let mut play = Play::new();
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.client(&request(8, "image", "9b20", ",need=100"));
    play.client(&message("ABORT", 7));
    play.node("9b1f ok why=local 4");
    play.event(Event::Closed(Peer::Client(1)));
    play.node("9b20 ok why=local 4");
    play.event(Event::Accepted(1, LOOPBACK));
    play.client(&request(9, "image", "9b21", ",need=100"));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        connect Node(2) 127.0.0.1:6001
        Node(2) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        Node(1) <- abort 9b1f
        close Client(1)
        Node(2) <- abort 9b20
        Node(1) <- fetch 9b21 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_repeated_id_reaches_no_node_until_it_expires() {
    let mut play = Play::new();
    play.beats(1, 1);
    play.event(Event::Accepted(2, LOOPBACK));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.client(&message("ABORT", 7));
    // The same id again, on the same connection and on another.
    play.client(&request(8, "image", "9b1f", ",need=100"));
    play.event(Event::Received(Peer::Client(2), &request(1, "image", "9b1f", ",need=100")));
    play.pass(5_000);
    play.trace.push_str("id expired\n");
    play.event(Event::Accepted(3, LOOPBACK));
    play.event(Event::Received(Peer::Client(3), &request(1, "image", "9b1f", ",need=100")));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        Node(1) <- abort 9b1f
        Client(1) <- *4 $1 8 $6 FAILED $0  $0
        Client(2) <- *4 $1 1 $6 FAILED $0  $0
        id expired
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn without_descriptors_idle_clients_are_closed_and_busy_ones_stay() {
    let mut play = Play::new();
    play.event(Event::Accepted(2, LOOPBACK));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.take();
    // A new client is kept, since its request may be on its way.
    play.event(Event::NoDescriptors);
    play.trace.push_str("later\n");
    play.pass(100);
    play.event(Event::NoDescriptors);
    expect![[r#"
        later
        close Client(2)
    "#]]
    .assert_eq(&play.take());
}

/// Sends answers of 240,000 bytes to requests with these ids; returns the trace without the bodies.
fn send_large_answers(play: &mut Play, ids: &[&str]) -> String {
    let body = "x".repeat(240_000);
    for id in ids {
        play.node_bytes(&format!("{id} ok - {}", body.len()), &format!("{body}\r\n"));
    }
    play.take().replace(&body, "(240000 bytes)")
}

/// Guards against attempts for clients that have left: if the dispatcher stops reading from a client that reads slowly,
/// it misses its abort and its end of stream.
/// What was answered before the end of its stream is still sent: it may read on.
#[test]
fn a_slow_readers_abort_and_end_of_stream_are_handled() {
    let mut play = Play::new();
    for tag in 7..10 {
        play.client(&request(tag, "image", &format!("9b{tag:02}"), ",need=100"));
    }
    play.calm = false;
    play.take();
    let mut trace = send_large_answers(&mut play, &["9b07", "9b08", "9b09"]);
    play.client(&request(10, "image", "9b10", ",need=100"));
    play.client(&message("ABORT", 10));
    play.event(Event::EndOfStream(Peer::Client(1)));
    trace += &play.take();
    expect![[r#"
        Client(1) <- *4 $1 7 $2 OK $0  $240000 (240000 bytes)
        Client(1) <- *4 $1 8 $2 OK $0  $240000 (240000 bytes)
        Client(1) <- *4 $1 9 $2 OK $0  $240000 (240000 bytes)
        Node(1) <- fetch 9b10 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        retract Node(1) from 78
        shut Client(1)
    "#]]
    .assert_eq(&trace);
}

/// A client that reads slowly and keeps sending requests is refused when memory runs short and closed when it is used
/// up.
#[test]
fn a_slow_reader_that_keeps_sending_requests_uses_bounded_memory() {
    let mut play = Play::of(&CONFIG.replace("\"memory_mb\": 192", "\"memory_mb\": 4"));
    for tag in 7..10 {
        play.client(&request(tag, "image", &format!("9b{tag:02}"), ",need=100"));
    }
    play.calm = false;
    let _ = send_large_answers(&mut play, &["9b07", "9b08", "9b09"]);
    let mut busy = 0;
    for tag in 100.. {
        play.client(&request(tag, "image", &format!("{tag:06x}"), ",need=100"));
        let trace = play.take();
        assert!(!trace.contains("fetch"), "{trace}");
        if trace.contains("close Client(1)") {
            break;
        }
        busy += trace.matches("BUSY").count();
    }
    expect![[r#"
        closed after 9151 refusals
    "#]]
    .assert_eq(&format!("closed after {busy} refusals\n"));
}

#[test]
fn clients_that_do_not_read_take_no_memory_from_those_that_do() {
    let mut play = Play::of(&CONFIG.replace("\"memory_mb\": 192", "\"memory_mb\": 4"));
    play.event(Event::Accepted(2, LOOPBACK));
    for (client, tag) in [(1, 7), (1, 8), (1, 9), (1, 10), (2, 11), (2, 12)] {
        let bytes = request(tag, "image", &format!("9b{tag:02}"), ",need=100");
        play.event(Event::Received(Peer::Client(client), &bytes));
    }
    play.calm = false;
    play.take();
    expect![[r#"
        Client(1) <- *4 $1 7 $2 OK $0  $240000 (240000 bytes)
        Client(1) <- *4 $1 8 $2 OK $0  $240000 (240000 bytes)
        Client(1) <- *4 $1 9 $2 OK $0  $240000 (240000 bytes)
        Client(1) <- *4 $2 10 $6 FAILED $0  $0
        Client(2) <- *4 $2 11 $2 OK $0  $240000 (240000 bytes)
        Client(2) <- *4 $2 12 $2 OK $0  $240000 (240000 bytes)
        read Node(1) false
        read Node(2) false
        read Node(3) false
        read Node(4) false
    "#]]
    .assert_eq(&send_large_answers(&mut play, &["9b07", "9b08", "9b09", "9b10", "9b11", "9b12"]));
}

#[test]
fn a_client_that_takes_no_bytes_is_closed() {
    let mut play = Play::new();
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.calm = false;
    play.node("9b1f ok why=local 4");
    play.take();
    play.pass(20_000);
    play.event(Event::Written(Peer::Client(1), 10));
    play.pass(30_000);
    assert!(!play.take().contains("Client"));
    play.pass(2_000);
    expect!["shut Client(1)close Client(1)"]
        .assert_eq(&play.take().lines().filter(|line| line.contains("Client")).collect::<String>());
}

#[test]
fn a_request_outside_the_limits_reaches_no_node() {
    let mut play = Play::new();
    play.client(&request(1, "image", "9b1f", ",timeout=5001"));
    play.client(&request(2, "image", "9b1f", ",family=256"));
    play.client(
        &String::from_utf8(request(3, "image", "9b1f", ""))
            .expect("text")
            .replace("$0\r\n", "$1\r\nx")
            .into_bytes(),
    );
    // Invalid requests do not keep later ones on the connection from being admitted.
    play.client(&request(4, "post", "9b20", ""));
    // The id of an open request with another part; then the tag of an open request.
    play.client(&request(5, "image", "9b20", ",block=1"));
    play.client(&request(4, "image", "9b21", ""));
    // Later requests are refused; the open one is answered, then the connection ends.
    play.client(&request(6, "image", "9b22", ""));
    play.node("9b20 ok - 4");
    expect![[r#"
        Client(1) <- *4 $1 1 $6 FAILED $0  $0
        Client(1) <- *4 $1 2 $6 FAILED $0  $0
        Client(1) <- *4 $1 3 $6 FAILED $0  $0
        connect Node(1) 127.0.0.1:6005
        Node(1) <- fetch 9b20 lane=post,name=7f3a,piece=0,ttl=1500 0
        Client(1) <- *4 $1 5 $6 FAILED $0  $0
        Client(1) <- *4 $1 6 $4 BUSY $0  $0
        Client(1) <- *4 $1 4 $2 OK $0  $4 body
        shut Client(1)
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_connection_has_32_open_requests_at_most() {
    let mut play = Play::new();
    let mut all = Vec::new();
    (1..=200).for_each(|tag| all.extend(request(tag, "post", &format!("{tag:016x}"), "")));
    (1..=200).for_each(|tag| all.extend(message("ABORT", tag)));
    play.client(&all);
    let trace = play.take();
    let count = |what: &str| trace.matches(what).count();
    expect![[r#"
        0 fetched, 168 busy
    "#]]
    .assert_eq(&format!("{} fetched, {} busy\n", count("<- fetch"), count("BUSY")));
}

#[test]
fn clients_that_send_nothing_or_half_a_message_are_closed() {
    let mut play = Play::new();
    (2..=5).for_each(|client| play.event(Event::Accepted(client, LOOPBACK)));
    let whole = message("HEALTH", 1);
    // Client 1 sends nothing, 2 half a message, 3 a whole and a half message, 4 a whole one, 5 waits for an answer.
    play.event(Event::Received(Peer::Client(2), &whole[..9]));
    play.event(Event::Received(Peer::Client(3), &[&whole[..], &whole[..9]].concat()));
    play.event(Event::Received(Peer::Client(4), &whole));
    play.event(Event::Received(Peer::Client(5), &request(7, "image", "9b1f", ",timeout=5000,need=100000")));
    play.take();
    let mut trace = String::new();
    for ms in [1_900, 600, 2_500, 3_500] {
        play.pass(ms);
        trace += &format!("{ms} ms more\n");
        trace += &play
            .take()
            .lines()
            .filter(|line| line.contains("Client"))
            .map(|l| format!("{l}\n"))
            .collect::<String>();
    }
    expect![[r#"
        1900 ms more
        600 ms more
        shut Client(1)
        shut Client(2)
        shut Client(3)
        2500 ms more
        close Client(1)
        close Client(2)
        close Client(3)
        Client(5) <- *4 $1 7 $6 FAILED $0  $0
        3500 ms more
        shut Client(4)
    "#]]
    .assert_eq(&trace);
}

#[test]
fn without_descriptors_clients_that_sent_no_request_are_closed_first() {
    let mut play = Play::of(&CONFIG.replace("\"sockets\": 1024", "\"sockets\": 8"));
    play.client(&message("HEALTH", 1));
    play.event(Event::Accepted(2, LOOPBACK));
    play.pass(200);
    (3..=7).for_each(|client| play.event(Event::Accepted(client, LOOPBACK)));
    let busy = |tag: u64| request(tag, "image", &format!("{tag:016x}"), ",need=100");
    (3..=9).for_each(|client| {
        play.event(Event::Accepted(client, LOOPBACK));
        play.event(Event::Received(Peer::Client(client), &busy(client.into())));
    });
    let trace = play.take();
    let clients = trace.lines().filter(|line| line.starts_with("shut Client")).collect::<Vec<_>>();
    expect![[r#"
        shut Client(2)
        shut Client(1)
        shut Client(3)
        shut Client(4)
        shut Client(5)
        shut Client(6)
        shut Client(7)
        shut Client(7)
        shut Client(8)
        shut Client(9)"#]]
    .assert_eq(&clients.join("\n"));
}

/// Guards against a client that is taken for idle as soon as its answers are handed to its socket: a crowd of silent clients
/// had it closed, and the reset discarded what was still on its way.
#[test]
fn a_crowd_of_silent_clients_closes_no_client_whose_answers_may_be_on_their_way() {
    let mut play = Play::of(&CONFIG.replace("\"sockets\": 1024", "\"sockets\": 64"));
    play.client(&request(7, "image", "9b1f", ",need=100,timeout=1500"));
    play.node("9b1f ok why=local 4");
    play.pass(200);
    play.take();
    (2..=200).for_each(|number| play.event(Event::Accepted(number, LOOPBACK)));
    let trace = play.take();
    assert!(trace.contains("shut Client(2)"), "{trace}");
    assert!(!trace.contains("shut Client(1)\n") && !trace.contains("close Client(1)\n"), "{trace}");
    play.event(Event::NoDescriptors);
    assert!(!play.take().contains("close Client(1)\n"));
    // Its time is over: nobody waits for the answer any more.
    play.pass(1_300);
    (201..=400).for_each(|number| play.event(Event::Accepted(number, LOOPBACK)));
    let trace = play.take();
    assert!(trace.contains("shut Client(1)\n"), "{trace}");
}

/// Guards against nodes that stay unread: output of a connection in its lingering close counts as held until the connection
/// ends, and no other event may follow.
#[test]
fn nodes_are_read_again_as_a_lingering_connection_frees_its_output() {
    let mut play = Play::of(&CONFIG.replace("\"memory_mb\": 192", "\"memory_mb\": 4"));
    play.event(Event::Accepted(2, LOOPBACK));
    for (client, tag) in [(1, 7), (1, 8), (1, 9), (2, 11), (2, 12)] {
        let bytes = request(tag, "image", &format!("9b{tag:02}"), ",need=100");
        play.event(Event::Received(Peer::Client(client), &bytes));
    }
    play.calm = false;
    let trace = send_large_answers(&mut play, &["9b07", "9b08", "9b09", "9b11", "9b12"]);
    assert!(trace.contains("read Node(1) false"), "{trace}");
    play.event(Event::EndOfStream(Peer::Client(1)));
    assert!(!play.take().contains("read Node(1) true"), "its output is still held");
    play.pass(2_000);
    let trace = play.take();
    assert!(trace.contains("close Client(1)") && trace.contains("read Node(1) true"), "{trace}");
}

/// Guards against usual clients that are dismissed as memory for output runs out: each waits for one large answer only. What
/// they ask besides is rejected, and what they were answered is still theirs.
#[test]
fn clients_with_one_large_answer_each_are_not_dismissed_when_memory_is_short() {
    let mut play = Play::of(&CONFIG.replace("\"memory_mb\": 192", "\"memory_mb\": 4"));
    (2..=5).for_each(|client| play.event(Event::Accepted(client, LOOPBACK)));
    let ids: Vec<_> = (1..=5).map(|client| format!("9b{client:02}")).collect();
    for (client, id) in (1..).zip(&ids) {
        let bytes = request(7, "image", id, ",need=100");
        play.event(Event::Received(Peer::Client(client), &bytes));
    }
    play.calm = false;
    let ids: Vec<_> = ids.iter().map(String::as_str).collect();
    let trace = send_large_answers(&mut play, &ids);
    assert_eq!(trace.matches("OK").count(), 5, "{trace}");
    play.event(Event::Received(Peer::Client(1), &request(8, "image", "9c01", ",need=100")));
    let trace = play.take();
    assert!(trace.contains("Client(1) <- *4 $1 8 $4 BUSY"), "{trace}");
    assert!(!trace.contains("shut Client(1)") && !trace.contains("close Client(1)"), "{trace}");
}
