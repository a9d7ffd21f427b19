//! The change log, reloads of the configuration, start and shutdown. Events in, effects out, without sockets.

use crate::common::{CONFIG, LOOPBACK, Play, message, request};
use copperroute_dispatcher::effects::{Event, Peer};
use expect_test::expect;

/// A dispatcher that starts without a node list.
fn without_node_list() -> Play {
    let empty = CONFIG.replace(r#""full": true, "servers""#, r#""full": true, "later""#);
    let empty = empty.replace(r#""later""#, r#""servers": [], "later""#).replace(r#""fleet""#, r#""other""#);
    Play::of(&empty)
}

#[test]
fn the_change_log_is_followed_without_a_gap() {
    let mut play = Play::new();
    play.log(1, "1");
    play.log(1, "5");
    play.trace.push_str("heartbeat ahead of the events\n");
    play.pass(200);
    play.log(2, "{\"seq\":2");
    play.trace.push_str("a bad line\n");
    play.pass(400);
    play.log(3, r#"{"seq":2,"fleet":{"servers":[{"id":"s-a","state":"gone fishing"}]}}"#);
    play.trace.push_str("an unusable event\n");
    play.pass(800);
    play.log(4, r#"{"seq":2,"fleet":{"servers":[{"id":"s-a","state":"gone fishing"}]}}"#);
    play.log(4, r#"{"seq":3,"invalidate":{"bucket":17,"time":1764576000480}}"#);
    play.trace.push_str("unusable event skipped\n");
    play.log(4, "3");
    play.trace.push_str("silent\n");
    play.pass(4_500);
    expect![[r#"
        close ChangeLog(1)
        heartbeat ahead of the events
        connect ChangeLog(2) 127.0.0.1:2379
        ChangeLog(2) <- since 1\n
        close ChangeLog(2)
        a bad line
        connect ChangeLog(3) 127.0.0.1:2379
        ChangeLog(3) <- since 1\n
        close ChangeLog(3)
        an unusable event
        connect ChangeLog(4) 127.0.0.1:2379
        ChangeLog(4) <- since 1\n
        unusable event skipped
        silent
        shut Client(1)
        close Client(1)
        connect ChangeLog(5) 127.0.0.1:2379
        ChangeLog(5) <- since 3\n
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_new_node_at_the_address_of_a_removed_one_gets_a_new_connection() {
    let mut play = Play::new();
    play.client(&request(7, "image", "9b1f", ",need=100"));
    let old = if play.trace.contains(":6001") { ("s-a", 6001) } else { ("s-b", 6002) };
    let line = |id: &str, port: u32, state: &str| {
        format!(
            "{{\"id\":\"{id}\",\"addr\":\"127.0.0.1:{port}\",\"zone\":\"east\",\"kind\":\"box\",\"state\":\"{state}\",\"weight\":20}}"
        )
    };
    let (gone, new) = (line(old.0, old.1, "left"), line("s-new", old.1, "active"));
    let other = if old.0 == "s-a" { line("s-b", 6002, "left") } else { line("s-a", 6001, "left") };
    play.log(1, &format!("{{\"seq\":2,\"fleet\":{{\"servers\":[{gone},{new},{other}]}}}}"));
    play.node("9b1f ok why=local 4");
    play.client(&request(8, "image", "9b20", ",need=100"));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        Client(1) <- *4 $1 7 $2 OK $0  $4 body
        close Node(1)
        connect Node(2) 127.0.0.1:6001
        Node(2) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_removed_node_is_dropped_and_its_slot_is_reused() {
    let mut play = Play::new();
    let line = |seq: u32, id: &str, state: &str| {
        let node = "\"addr\":\"127.0.0.1:6009\",\"zone\":\"far\",\"kind\":\"box\"";
        format!(
            "{{\"seq\":{seq},\"fleet\":{{\"servers\":[{{\"id\":\"{id}\",{node},\"state\":\"{state}\"}}]}}}}"
        )
    };
    for day in 0..50 {
        play.log(1, &line(2 * day + 2, &format!("s-{day}"), "active"));
        play.log(1, &line(2 * day + 3, &format!("s-{day}"), "left"));
        for _ in 0..6 {
            play.pass(1_000);
            play.log(1, &format!("{}", 2 * day + 3));
        }
    }
    expect![[r#"
        6 nodes kept
    "#]]
    .assert_eq(&format!("{} nodes kept\n", play.nodes_kept()));
}

#[test]
fn health_follows_the_phases_and_the_last_answer_precedes_the_exit() {
    let mut play = without_node_list();
    play.client(&message("HEALTH", 1));
    play.log(1, r#"{"seq":2,"fleet":{"full":true,"servers":[{"id":"s-a","addr":"127.0.0.1:6001","zone":"east","kind":"box","state":"active","weight":20}]}}"#);
    play.client(&message("HEALTH", 2));
    play.event(Event::Terminate);
    play.client(&message("HEALTH", 3));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.pass(200);
    play.node("9b1f ok why=local 4");
    play.pass(400);
    play.client(&request(8, "image", "9b20", ",need=100"));
    play.pass(160);
    play.trace.push_str("no new connections\n");
    play.node("9b20 ok why=local 4");
    expect![[r#"
        Client(1) <- *4 $1 1 $4 DOWN $0  $0
        Client(1) <- *4 $1 2 $2 UP $0  $0
        Client(1) <- *4 $1 3 $4 DOWN $0  $0
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        Client(1) <- *4 $1 7 $2 OK $0  $4 body
        Node(1) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        no new connections
        Client(1) <- *4 $1 8 $2 OK $0  $4 body
        read last
        shut Client(1)
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_reload_moves_the_change_log_and_ends_no_request() {
    let mut play = Play::new();
    let moved = CONFIG.replace(":2379", ":2380").replace("\"max_attempts\": 6", "\"max_attempts\": 5");
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.log(1, r#"{"seq":2,"invalidate":{"bucket":18,"time":1764576000100}}"#);
    play.reload(&moved);
    play.reload(&moved);
    play.log(1, r#"{"seq":3,"invalidate":{"bucket":19,"time":1764576000100}}"#);
    play.event(Event::Closed(Peer::ChangeLog(1)));
    play.log(2, r#"{"seq":3,"invalidate":{"bucket":17,"time":1764576000100}}"#);
    play.pass(200);
    play.client(&request(8, "image", "9b20", ",need=100,family=17"));
    play.node("9b1f ok why=local 4");
    play.event(Event::Terminate);
    play.reload(CONFIG);
    play.pass(300);
    play.node("9b20 ok why=local 4");
    play.pass(500);
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        close ChangeLog(1)
        connect ChangeLog(2) 127.0.0.1:2380
        ChangeLog(2) <- since 2\n
        connect Node(2) 127.0.0.1:6001
        Node(2) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500,keep=1,maxage=200 0
        Client(1) <- *4 $1 7 $2 OK $0  $4 body
        close ChangeLog(2)
        connect ChangeLog(3) 127.0.0.1:2379
        ChangeLog(3) <- since 3\n
        Client(1) <- *4 $1 8 $2 OK $0  $4 body
        read last
        shut Client(1)
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn the_program_exits_by_the_longest_deadline_even_if_a_client_reads_nothing() {
    let short = CONFIG.replace("\"deadline_s\": 5.0", "\"deadline_s\": 1.0");
    let short = short.replace("\"deadline_s\": 3.0", "\"deadline_s\": 1.2");
    let shutdown_trace = |config: &str| {
        let mut play = Play::of(config);
        play.event(Event::Terminate);
        play.calm = false;
        play.client(&request(7, "image", "9b1f", ",need=100,timeout=900"));
        for passed in [1_600, 1_800, 3_400, 3_600] {
            play.pass(if passed > 1_600 { 200 } else { 1_600 });
            play.trace.push_str(&format!("{passed} ms\n"));
            play.pass(if passed == 1_800 { 1_400 } else { 0 });
        }
        play.take()
    };
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        connect Node(2) 127.0.0.1:6002
        close Node(1)
        Client(1) <- *4 $1 7 $4 BUSY $11 holdoff=197 $0
        close Node(2)
        1600 ms
        1800 ms
        connect ChangeLog(2) 127.0.0.1:2379
        3400 ms
        read last
        shut Client(1)
        close Client(1)
        exit
        3600 ms
        connect Node(1) 127.0.0.1:6001
        connect Node(2) 127.0.0.1:6002
        close Node(1)
        Client(1) <- *4 $1 7 $4 BUSY $11 holdoff=197 $0
        close Node(2)
        1600 ms
        read last
        shut Client(1)
        close Client(1)
        exit
        1800 ms
        connect ChangeLog(2) 127.0.0.1:2379
        3400 ms
        3600 ms
    "#]]
    .assert_eq(&[CONFIG, &short].map(shutdown_trace).concat());
}

#[test]
fn a_faulty_configuration_is_reported_in_one_line() {
    let faulty = [
        CONFIG.replace("\"listen\": \"127.0.0.1:5050\"", "\"listen\": \"here\""),
        CONFIG.replace("\"seed\": \"8c1f30d27a5be964\"", "\"seed\": \"xyz\""),
        CONFIG.replace("\"max_attempts\": 6,", ""),
        CONFIG.replace("\"cold_s\": 15.0", "\"cold_s\": \"soon\""),
        "{".to_string(),
    ];
    let read = |text: String| {
        copperroute_dispatcher::config::Config::parse(&text)
            .map_or_else(|fault| fault + "\n", |_| "read\n".into())
    };
    expect![[r#"
        listen: invalid socket address syntax at line 3 column 18
        seed: expected hex digits, found 'xyz'
        options: limits.max_attempts is missing
        options: rules.cold_s: expected a number, found 'soon'
        EOF while parsing an object at line 1 column 1
    "#]]
    .assert_eq(&faulty.map(read).concat());
}

#[test]
fn a_snapshot_that_replaces_lost_events_makes_older_copies_count_as_purged() {
    let mut play = Play::new();
    for _ in 0..3 {
        play.pass(1_000);
        play.log(1, "1");
    }
    play.pass(1_500);
    // The change log keeps three events only, and sends a snapshot in place of earlier ones.
    let snapshot = r#"{"seq":9,"fleet":{"version":9,"full":true,"servers":[{"id":"s-a","addr":"127.0.0.1:6001","zone":"east","kind":"box","state":"active"}]}}"#;
    play.log(1, snapshot);
    play.take();
    play.event(Event::Accepted(1, LOOPBACK));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500,maxage=2500 0
    "#]]
    .assert_eq(&play.take());
}

/// A connected change log that sends nothing, or half a line: the dispatcher reconnects before its knowledge
/// counts as stale.
#[test]
fn a_change_log_that_is_silent_or_stops_within_a_line_is_reconnected() {
    for half in [false, true] {
        let mut play = Play::new();
        if half {
            play.event(Event::Received(Peer::ChangeLog(1), b"{\"seq\":2,\"fleet\":{\"ser"));
        }
        play.pass(2_600);
        let trace = play.take();
        assert!(trace.contains("ChangeLog(2) <- since 1"), "half {half}: {trace}");
    }
}

/// SIGTERM twice before any node list has arrived: the program refuses the open request and exits.
#[test]
fn sigterm_before_any_node_list_ends_the_program() {
    let mut play = without_node_list();
    play.client(&request(7, "image", "9b1f", ""));
    play.event(Event::Terminate);
    play.event(Event::Terminate);
    play.pass(740);
    play.trace.push_str("no new connections\n");
    play.pass(759);
    play.trace.push_str("the client's time of 1.5 s is over\n");
    play.pass(1);
    let trace = play.take();
    let trace: Vec<_> = trace.lines().filter(|line| !line.contains("ChangeLog")).collect();
    expect![[r#"
        Client(1) <- *4 $1 7 $4 BUSY $11 holdoff=185 $0
        no new connections
        read last
        shut Client(1)
        the client's time of 1.5 s is over
        close Client(1)
        exit"#]]
    .assert_eq(&trace.join("\n"));
}

/// Guards against an exit under an answer that is still on its way: the program ends as the client closes, and else when
/// the client's time is over.
#[test]
fn the_program_exits_as_the_clients_that_were_answered_close() {
    let mut play = Play::new();
    play.event(Event::Accepted(2, LOOPBACK));
    play.event(Event::Received(Peer::Client(2), &request(7, "image", "9b1f", ",need=100")));
    play.node("9b1f ok why=local 4");
    play.event(Event::Terminate);
    play.pass(1_000);
    let trace = play.take();
    assert!(trace.contains("close Client(1)"), "the client that asked nothing: {trace}");
    assert!(trace.contains("shut Client(2)") && !trace.contains("close Client(2)"), "{trace}");
    play.event(Event::Closed(Peer::Client(2)));
    assert!(play.take().contains("exit"));
}

/// A client connection that was shut just before does not delay the exit of the program.
#[test]
fn a_lingering_client_does_not_delay_the_exit() {
    let mut play = Play::new();
    play.event(Event::Accepted(2, LOOPBACK));
    play.event(Event::Terminate);
    play.pass(700);
    play.event(Event::Received(Peer::Client(2), b"GET / HTTP/1.1\r\n"));
    play.pass(160);
    let trace = play.take();
    assert!(
        trace.contains("shut Client(2)") && trace.ends_with("close Client(2)\nclose Client(1)\nexit\n"),
        "{trace}"
    );
}
