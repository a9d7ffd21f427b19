//! Events in, effects out: what the dispatcher does on its connections, without sockets.

use crate::common::{CONFIG, LOOPBACK, Play, message, request};
use copperroute_dispatcher::effects::{Event, Peer};
use expect_test::expect;

/// The connection that the last pull went out on.
fn last_connection(trace: &str) -> u32 {
    let line = trace.lines().rev().find(|line| line.contains("<- fetch")).unwrap_or_default();
    line.split(['(', ')']).nth(1).and_then(|number| number.parse().ok()).unwrap_or_default()
}

#[test]
fn a_download_is_looked_for_filled_and_answered_once() {
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
fn a_node_that_dies_midway_is_replaced() {
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
fn a_post_that_may_have_run_is_not_sent_again() {
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
fn a_post_that_was_not_written_whole_goes_again() {
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
fn a_connection_that_never_comes_up_proves_that_nothing_ran() {
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
fn what_waits_for_a_node_that_drains_goes_elsewhere() {
    let mut play = Play::new();
    play.calm = false;
    play.client(&request(7, "image", "9b1f", ",need=100"));
    let waits_for_a = play.trace.contains(":6001");
    let drains = if waits_for_a { "s-a" } else { "s-b" };
    play.log(1, &format!("{{\"seq\":2,\"fleet\":{{\"servers\":[{{\"id\":\"{drains}\",\"addr\":\"127.0.0.1:6001\",\"zone\":\"east\",\"kind\":\"box\",\"state\":\"leaving\"}}]}}}}"));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        close Node(1)
        connect Node(2) 127.0.0.1:6002
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_connection_that_finishes_no_answer_takes_no_further_pulls() {
    let mut play = Play::new();
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
        close ChangeLog(1)
        connect ChangeLog(2) 127.0.0.1:2379
        ChangeLog(2) <- since 1\n
        close ChangeLog(2)
        connect ChangeLog(3) 127.0.0.1:2379
        ChangeLog(3) <- since 1\n
        connect Node(4) 127.0.0.1:6001
        Node(4) <- fetch 9b21 lane=image,name=7f3a,piece=0,ttl=1500,src=p-2,keep=1 0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_download_that_expires_is_answered_once_whatever_comes_after() {
    let mut play = Play::new();
    play.client(&request(7, "post", "9b1f", ""));
    play.pass(1_499);
    play.trace.push_str("now\n");
    play.pass(1);
    play.node("9b1f ok why=pulled_far 4");
    expect![[r#"
        connect Node(1) 127.0.0.1:6005
        Node(1) <- fetch 9b1f lane=post,name=7f3a,piece=0,ttl=1500 0
        now
        Node(1) <- abort 9b1f
        close Node(1)
        Client(1) <- *4 $1 7 $6 FAILED $0  $0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_client_that_leaves_is_owed_nothing() {
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
fn an_id_that_comes_again_reaches_no_node_until_it_is_forgotten() {
    let mut play = Play::new();
    play.event(Event::Accepted(2, LOOPBACK));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.client(&message("ABORT", 7));
    // Again on the same connection, and on another.
    play.client(&request(8, "image", "9b1f", ",need=100"));
    play.event(Event::Received(Peer::Client(2), &request(1, "image", "9b1f", ",need=100")));
    play.pass(5_000);
    play.trace.push_str("forgotten\n");
    play.event(Event::Accepted(3, LOOPBACK));
    play.event(Event::Received(Peer::Client(3), &request(1, "image", "9b1f", ",need=100")));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        Node(1) <- abort 9b1f
        Client(1) <- *4 $1 8 $6 FAILED $0  $0
        Client(2) <- *4 $1 1 $6 FAILED $0  $0
        close ChangeLog(1)
        connect ChangeLog(2) 127.0.0.1:2379
        ChangeLog(2) <- since 1\n
        close ChangeLog(2)
        connect ChangeLog(3) 127.0.0.1:2379
        ChangeLog(3) <- since 1\n
        forgotten
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_copy_that_the_client_holds_costs_no_bytes() {
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
fn after_a_purge_the_copy_may_be_no_older() {
    let mut play = Play::new();
    play.pass(1_000);
    play.log(1, r#"{"seq":2,"invalidate":{"object":"7f3a000000000000","time":1764576000400}}"#);
    play.client(&request(7, "image", "9b1f", ",need=100"));
    // The same event again changes nothing; the group's purge is the later one.
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
fn what_waits_to_be_sent_when_a_purge_is_heard_asks_for_a_newer_copy() {
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
fn the_change_log_is_followed_without_a_gap() {
    let mut play = Play::new();
    play.log(1, "1");
    play.log(1, "5");
    play.trace.push_str("behind\n");
    play.pass(200);
    play.log(2, "{\"seq\":2");
    play.trace.push_str("a bad line\n");
    play.pass(400);
    play.log(3, r#"{"seq":2,"fleet":{"servers":[{"id":"s-a","state":"gone fishing"}]}}"#);
    play.trace.push_str("an event that can't be used\n");
    play.pass(800);
    play.log(4, r#"{"seq":2,"fleet":{"servers":[{"id":"s-a","state":"gone fishing"}]}}"#);
    play.log(4, r#"{"seq":3,"invalidate":{"bucket":17,"time":1764576000480}}"#);
    play.trace.push_str("passed over\n");
    play.log(4, "3");
    play.trace.push_str("silent\n");
    play.pass(4_500);
    expect![[r#"
        close ChangeLog(1)
        behind
        connect ChangeLog(2) 127.0.0.1:2379
        ChangeLog(2) <- since 1\n
        close ChangeLog(2)
        a bad line
        connect ChangeLog(3) 127.0.0.1:2379
        ChangeLog(3) <- since 1\n
        close ChangeLog(3)
        an event that can't be used
        connect ChangeLog(4) 127.0.0.1:2379
        ChangeLog(4) <- since 1\n
        passed over
        silent
        close Client(1)
        close ChangeLog(4)
        connect ChangeLog(5) 127.0.0.1:2379
        ChangeLog(5) <- since 3\n
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_new_node_at_the_address_of_one_that_has_gone_is_connected_to_anew() {
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
fn a_node_that_has_gone_is_forgotten_and_its_place_is_free_for_another() {
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
fn what_cannot_be_read_ends_one_connection_only() {
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
        close Client(2)
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
fn health_follows_the_phases_and_the_last_answer_comes_before_the_exit() {
    let empty = CONFIG.replace(r#""full": true, "servers""#, r#""full": true, "later""#);
    let empty = empty.replace(r#""later""#, r#""servers": [], "later""#).replace(r#""fleet""#, r#""other""#);
    let mut play = Play::of(&empty);
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
    play.trace.push_str("nothing new can come\n");
    play.node("9b20 ok why=local 4");
    expect![[r#"
        Client(1) <- *4 $1 1 $4 DOWN $0  $0
        Client(1) <- *4 $1 2 $2 UP $0  $0
        Client(1) <- *4 $1 3 $4 DOWN $0  $0
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500 0
        Client(1) <- *4 $1 7 $2 OK $0  $4 body
        Node(1) <- fetch 9b20 lane=image,name=7f3a,piece=0,ttl=1500,keep=1 0
        nothing new can come
        Client(1) <- *4 $1 8 $2 OK $0  $4 body
        exit
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn a_new_configuration_moves_the_change_log_and_ends_nothing() {
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
        exit
    "#]]
    .assert_eq(&play.take());
}

#[test]
fn the_end_comes_by_the_longest_expiry_though_a_client_takes_nothing() {
    let short = CONFIG.replace("\"deadline_s\": 5.0", "\"deadline_s\": 1.0");
    let short = short.replace("\"deadline_s\": 3.0", "\"deadline_s\": 1.2");
    let ends = |config: &str| {
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
        close ChangeLog(1)
        connect ChangeLog(2) 127.0.0.1:2379
        3400 ms
        exit
        3600 ms
        connect Node(1) 127.0.0.1:6001
        connect Node(2) 127.0.0.1:6002
        close Node(1)
        Client(1) <- *4 $1 7 $4 BUSY $11 holdoff=197 $0
        close Node(2)
        1600 ms
        exit
        1800 ms
        close ChangeLog(1)
        connect ChangeLog(2) 127.0.0.1:2379
        3400 ms
        3600 ms
    "#]]
    .assert_eq(&[CONFIG, &short].map(ends).concat());
}

#[test]
fn without_descriptors_idle_clients_go_and_busy_ones_stay() {
    let mut play = Play::new();
    play.event(Event::Accepted(2, LOOPBACK));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    play.take();
    play.event(Event::NoDescriptors);
    expect![[r#"
        close Client(2)
    "#]]
    .assert_eq(&play.take());
}

/// Answers of the greatest size to downloads with these ids.
fn large(play: &mut Play, ids: &[&str]) -> String {
    let body = "x".repeat(240_000);
    for id in ids {
        play.node_bytes(&format!("{id} ok - {}", body.len()), &format!("{body}\r\n"));
    }
    play.take().replace(&body, "(240000 bytes)")
}

#[test]
fn who_does_not_read_is_not_read_from() {
    let mut play = Play::new();
    for tag in 7..10 {
        play.client(&request(tag, "image", &format!("9b{tag:02}"), ",need=100"));
    }
    play.calm = false;
    play.take();
    let mut trace = large(&mut play, &["9b07", "9b08", "9b09"]);
    play.event(Event::Written(Peer::Client(1), 400_000));
    play.event(Event::Written(Peer::Client(1), 700_000));
    trace += &play.take();
    expect![[r#"
        Client(1) <- *4 $1 7 $2 OK $0  $240000 (240000 bytes)
        Client(1) <- *4 $1 8 $2 OK $0  $240000 (240000 bytes)
        Client(1) <- *4 $1 9 $2 OK $0  $240000 (240000 bytes)
        read Client(1) false
        read Client(1) true
    "#]]
    .assert_eq(&trace);
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
        read Client(1) false
        Client(1) <- *4 $2 10 $6 FAILED $0  $0
        Client(2) <- *4 $2 11 $2 OK $0  $240000 (240000 bytes)
        Client(2) <- *4 $2 12 $2 OK $0  $240000 (240000 bytes)
        read Node(1) false
        read Node(2) false
        read Node(3) false
        read Node(4) false
    "#]]
    .assert_eq(&large(&mut play, &["9b07", "9b08", "9b09", "9b10", "9b11", "9b12"]));
}

#[test]
fn a_client_that_has_vanished_is_closed() {
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
    expect!["close Client(1)"]
        .assert_eq(&play.take().lines().filter(|line| line.contains("Client")).collect::<String>());
}

#[test]
fn a_request_that_the_settings_do_not_allow_reaches_no_node() {
    let mut play = Play::new();
    play.client(&request(1, "image", "9b1f", ",timeout=5001"));
    play.client(&request(2, "image", "9b1f", ",family=256"));
    play.client(
        &String::from_utf8(request(3, "image", "9b1f", ""))
            .expect("text")
            .replace("$0\r\n", "$1\r\nx")
            .into_bytes(),
    );
    // What it sent before does not keep a client's downloads from being taken.
    play.client(&request(4, "post", "9b20", ""));
    // The id of an open request, with another object; then a number that is open.
    play.client(&request(5, "image", "9b20", ",block=1"));
    play.client(&request(4, "image", "9b21", ""));
    expect![[r#"
        Client(1) <- *4 $1 1 $6 FAILED $0  $0
        Client(1) <- *4 $1 2 $6 FAILED $0  $0
        Client(1) <- *4 $1 3 $6 FAILED $0  $0
        connect Node(1) 127.0.0.1:6005
        Node(1) <- fetch 9b20 lane=post,name=7f3a,piece=0,ttl=1500 0
        Client(1) <- *4 $1 5 $6 FAILED $0  $0
        close Client(1)
        Node(1) <- abort 9b20
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
fn clients_that_say_nothing_or_half_of_something_are_closed() {
    let mut play = Play::new();
    (2..=5).for_each(|client| play.event(Event::Accepted(client, LOOPBACK)));
    let whole = message("HEALTH", 1);
    // Client 1 says nothing, 2 half of something, 3 half of something after a whole, 4 rests, 5 waits.
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
        close Client(1)
        close Client(2)
        close Client(3)
        2500 ms more
        Client(5) <- *4 $1 7 $6 FAILED $0  $0
        3500 ms more
        close Client(4)
    "#]]
    .assert_eq(&trace);
}

#[test]
fn without_descriptors_those_who_never_asked_go_first() {
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
    let clients = trace.lines().filter(|line| line.starts_with("close Client")).collect::<Vec<_>>();
    expect![[r#"
        close Client(2)
        close Client(1)
        close Client(3)
        close Client(4)
        close Client(5)
        close Client(6)
        close Client(7)
        close Client(9)"#]]
    .assert_eq(&clients.join("\n"));
}

#[test]
fn an_answer_that_cannot_be_ends_its_connection_and_goes_elsewhere() {
    for spoilt in ["9b1f ok why=local", "9b1f current etag=4b00000000000000,made=1764"] {
        let mut play = Play::new();
        play.client(&request(7, "image", "9b1f", ",need=100"));
        play.client(&request(8, "image", "9b20", ",need=100"));
        play.take();
        // What belongs to nobody is passed over.
        play.node("9b99 ok why=local 4");
        let line = spoilt.replace("9b1f", "9b1f000000000000") + " 0\r\n\r\n";
        play.event(Event::Received(Peer::Node(1), line.as_bytes()));
        let trace = play.take();
        assert!(trace.starts_with("close Node(1)\nconnect Node(3) 127.0.0.1:6002\n"), "{trace}");
        assert!(trace.contains("fetch 9b1f") && !trace.contains("fetch 9b20"), "{trace}");
    }
}

#[test]
fn what_may_run_once_uses_no_connection_that_rested() {
    let mut play = Play::new();
    for (tag, kind) in [(7, "post"), (8, "post"), (9, "image"), (10, "image")] {
        let id = format!("9b{tag:02}");
        play.client(&request(tag, kind, &id, ",need=100"));
        play.node(&format!("{id} ok why=local 4"));
        play.pass(100);
    }
    // A node ends a connection that rested just as a pull comes: none that rested is used for a while.
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
fn an_answer_that_does_not_go_on_ends_its_connection() {
    let mut play = Play::new();
    play.client(&request(7, "image", "9b1f", ",need=100000"));
    play.node_bytes("9b1f ok - 4", "bo");
    play.take();
    play.pass(300);
    // Further pulls on it do not keep it alive.
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

#[test]
fn a_wrong_configuration_is_named_in_one_line() {
    let wrong = [
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
    .assert_eq(&wrong.map(read).concat());
}

/// A node that takes connections and ends them at once: asked ten times a second, it is connected to ever more rarely, and
/// what is asked for is answered at once.
#[test]
fn a_node_that_turns_connections_away_is_connected_to_more_and_more_rarely() {
    let mut play = Play::new();
    let mut opened = [0; 2];
    for number in 0..200 {
        play.client(&request(7, "image", &format!("{number:04x}"), ",need=100"));
        // Whatever was connected to ends; what comes of that too.
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

#[test]
fn where_a_whole_list_stands_for_what_is_lost_older_copies_count_as_purged() {
    let mut play = Play::new();
    for _ in 0..3 {
        play.pass(1_000);
        play.log(1, "1");
    }
    play.pass(1_500);
    // Its service holds three events only, and tells the list in place of those before.
    let list = r#"{"seq":9,"fleet":{"version":9,"full":true,"servers":[{"id":"s-a","addr":"127.0.0.1:6001","zone":"east","kind":"box","state":"active"}]}}"#;
    play.log(1, list);
    play.take();
    play.event(Event::Accepted(1, LOOPBACK));
    play.client(&request(7, "image", "9b1f", ",need=100"));
    expect![[r#"
        connect Node(1) 127.0.0.1:6001
        Node(1) <- fetch 9b1f lane=image,name=7f3a,piece=0,ttl=1500,maxage=2500 0
    "#]]
    .assert_eq(&play.take());
}
