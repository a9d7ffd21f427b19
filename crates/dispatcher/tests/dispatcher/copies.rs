//! The local cache of a dispatcher, in memory and on disk: when copies are stored, served and dropped, as reducer
//! traces.

use crate::common::{CONFIG, Play, message, request};
use copperroute_cache_store::record::Facts;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::Event;
use expect_test::expect;

fn play(bytes: usize) -> Play {
    let config = Config::parse(CONFIG).expect("a valid configuration");
    Play::with(Config { copy_memory_bytes: bytes, ..config })
}

/// Requests the object; if a node is asked, it answers with a copy. Returns the trace.
fn request_object(play: &mut Play, tag: u64, more: &str) -> String {
    play.client(&request(tag, "image", &format!("{tag}f1f"), more));
    let asked = play.take();
    if asked.contains("fetch") {
        play.node(&format!("{tag}f1f ok why=local 4"));
    }
    play.pass(100);
    let outcome = if asked.contains("fetch") { "a node was asked" } else { "no node was asked" };
    format!("{tag}: {outcome}; {}", asked.replace("connect", "\n  connect") + &play.take())
}

fn answers(trace: &str) -> String {
    let lines = trace.lines().filter(|line| line.contains("asked") || line.contains("Client"));
    lines.map(|line| format!("{}\n", line.split(" fetch").next().unwrap_or(line))).collect()
}

#[test]
fn a_repeatedly_requested_object_is_cached_and_served_without_an_attempt() {
    let mut play = play(1_000_000);
    let trace: String = (1..=4).map(|tag| answers(&request_object(&mut play, tag, ""))).collect();
    let revalidated = answers(&request_object(&mut play, 5, ",cached=4b00000000000000"));
    let other_part = answers(&request_object(&mut play, 6, ",block=2"));
    expect![[r#"
        1: a node was asked; 
        Client(1) <- *4 $1 1 $2 OK $0  $4 body
        2: a node was asked; Node(1) <-
        Client(1) <- *4 $1 2 $2 OK $0  $4 body
        3: no node was asked; Client(1) <- *4 $1 3 $2 OK $0  $4 body
        4: no node was asked; Client(1) <- *4 $1 4 $2 OK $0  $4 body
        5: no node was asked; Client(1) <- *4 $1 5 $2 OK $6 keep=1 $0
        6: a node was asked; Node(1) <-
        Client(1) <- *4 $1 6 $2 OK $0  $4 body
    "#]]
    .assert_eq(&(trace + &revalidated + &other_part));
}

#[test]
fn a_purge_drops_the_cached_copy_and_older_copies_are_not_cached() {
    let mut play = play(1_000_000);
    (1..=3).for_each(|tag| drop(request_object(&mut play, tag, ",family=17")));
    let before = answers(&request_object(&mut play, 4, ",family=17"));
    play.log(1, r#"{"seq":2,"invalidate":{"bucket":17,"time":1764576001000}}"#);
    play.take();
    // The copy was made in 1970, before the purge, so it is served but not cached.
    let after: String = (5..=7).map(|tag| answers(&request_object(&mut play, tag, ",family=17"))).collect();
    expect![[r#"
        4: no node was asked; Client(1) <- *4 $1 4 $2 OK $0  $4 body
        5: a node was asked; Node(1) <-
        Client(1) <- *4 $1 5 $2 OK $0  $4 body
        6: a node was asked; Node(1) <-
        Client(1) <- *4 $1 6 $2 OK $0  $4 body
        7: a node was asked; Node(1) <-
        Client(1) <- *4 $1 7 $2 OK $0  $4 body
    "#]]
    .assert_eq(&(before + &after));
}

#[test]
fn without_enough_memory_nothing_is_cached() {
    let mut play = play(100);
    let trace: String = (1..=4).map(|tag| answers(&request_object(&mut play, tag, ""))).collect();
    assert_eq!(trace.matches("a node was asked").count(), 4);
}

#[test]
fn answers_to_unsafe_requests_are_never_cached() {
    let mut play = play(1_000_000);
    for tag in 1..=4 {
        play.client(&request(tag, "post", &format!("{tag}f1f"), ""));
        let asked = play.take();
        assert!(asked.contains("fetch"), "{tag}: {asked}");
        play.node(&format!("{tag}f1f ok - 4"));
        play.pass(1_000);
        play.take();
    }
}

const FACTS: Facts = Facts { etag: [b'e'; 16], made_ms: 1_764_576_000_000, group: Some(17) };

/// A dispatcher whose disk has the object's first part, with all purges up to event 1 marked.
fn with_disk() -> Play {
    let mut play = play(1_000_000);
    let key = copperroute_cache_store::record::Key { content_type: 0, object: *b"7f3a000000000000", part: 0 };
    play.event(Event::DiskReady(&[key.print()], 1));
    play
}

/// The trace lines about the disk and the clients; attempts are shown as "a node is asked".
fn disk_and_client_lines(trace: &str) -> String {
    let lines = trace
        .lines()
        .filter(|line| line.contains("disk:") || line.contains("Client") || line.contains("fetch"));
    lines.map(|line| format!("{}\n", if line.contains("fetch") { "a node is asked" } else { line })).collect()
}

#[test]
fn the_disk_is_read_once_the_change_log_has_caught_up() {
    let mut play = with_disk();
    play.client(&request(1, "image", "1f1f", ""));
    let mut trace = disk_and_client_lines(&play.take()) + "change log caught up\n";
    play.log(1, "1");
    play.client(&request(2, "image", "2f1f", ""));
    trace += &disk_and_client_lines(&play.take());
    let asked = play.tickets[0];
    play.event(Event::CopyRead(asked, Some((FACTS, b"bytes"))));
    // A repeated answer, and one with an unknown ticket, is ignored.
    play.event(Event::CopyRead(asked, Some((FACTS, b"bytes"))));
    play.event(Event::CopyRead(asked + 1, None));
    trace += &disk_and_client_lines(&play.take());
    expect![[r#"
        a node is asked
        change log caught up
        disk: read part 0
        Client(1) <- *4 $1 2 $2 OK $0  $5 bytes
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_node_is_asked_when_the_disk_is_slow_or_lacks_the_copy() {
    let mut play = with_disk();
    play.log(1, "1");
    play.client(&request(1, "image", "1f1f", ""));
    play.pass(60);
    let late = disk_and_client_lines(&play.take()) + "late\n";
    play.event(Event::CopyRead(play.tickets[0], Some((FACTS, b"bytes"))));
    play.client(&request(2, "image", "2f1f", ""));
    play.event(Event::CopyRead(play.tickets[1], None));
    let lacks = disk_and_client_lines(&play.take()) + "known to be missing\n";
    play.client(&request(3, "image", "3f1f", ""));
    expect![[r#"
        disk: read part 0
        a node is asked
        late
        disk: read part 0
        a node is asked
        known to be missing
        a node is asked
    "#]]
    .assert_eq(&(late + &lacks + &disk_and_client_lines(&play.take())));
}

#[test]
fn a_copy_purged_during_its_read_from_disk_is_not_served() {
    let mut play = with_disk();
    play.log(1, "1");
    play.client(&request(1, "image", "1f1f", ",family=17"));
    play.log(1, r#"{"seq":2,"invalidate":{"bucket":17,"time":1764576000400}}"#);
    play.log(1, r#"{"seq":3,"invalidate":{"object":"7f3a000000000000","time":1764576000400}}"#);
    play.event(Event::CopyRead(play.tickets[0], Some((FACTS, b"bytes"))));
    expect![[r#"
        disk: read part 0
        disk: mark 2, group 17 at 1764576000400
        disk: mark 3, an object at 1764576000400
        a node is asked
    "#]]
    .assert_eq(&disk_and_client_lines(&play.take()));
}

#[test]
fn a_copy_being_read_from_disk_is_not_served_if_purges_may_be_missing() {
    let mut play = with_disk();
    play.log(1, "1");
    play.client(&request(1, "image", "1f1f", ""));
    // A snapshot replaces events that are no longer sent, so purges among them are unknown.
    play.log(1, r#"{"seq":9,"fleet":{"full":true,"servers":[{"id":"s-a","addr":"127.0.0.1:6001","zone":"east","kind":"box","state":"active","weight":2.0}]}}"#);
    play.event(Event::CopyRead(play.tickets[0], Some((FACTS, b"bytes"))));
    expect![[r#"
        disk: read part 0
        a node is asked
    "#]]
    .assert_eq(&disk_and_client_lines(&play.take()));
}

#[test]
fn a_disk_that_returns_empty_is_used_and_marked_from_then_on() {
    let mut play = with_disk();
    play.log(1, "1");
    play.event(Event::DiskOff);
    play.log(1, r#"{"seq":2,"invalidate":{"bucket":18,"time":1764576000100}}"#);
    play.event(Event::DiskReady(&[], 0));
    play.log(1, r#"{"seq":3,"invalidate":{"bucket":19,"time":1764576000200}}"#);
    play.client(&request(1, "image", "1f1f", ",block=5"));
    play.node("1f1f ok why=local 4");
    expect![[r#"
        disk: mark 3, group 19 at 1764576000200
        a node is asked
        Client(1) <- *4 $1 1 $2 OK $0  $4 body
    "#]]
    .assert_eq(&disk_and_client_lines(&play.take()));
}

#[test]
fn a_request_that_ends_during_a_read_from_disk_leaves_no_state() {
    let mut play = with_disk();
    play.log(1, "1");
    play.client(&request(1, "image", "1f1f", ""));
    play.client(&message("ABORT", 1));
    play.event(Event::CopyRead(play.tickets[0], Some((FACTS, b"bytes"))));
    play.client(&request(2, "image", "2f1f", ",timeout=20"));
    play.pass(30);
    play.event(Event::CopyRead(play.tickets[1], Some((FACTS, b"bytes"))));
    // The slot is free for the next request.
    play.client(&request(3, "image", "3f1f", ""));
    play.event(Event::DiskOff);
    play.client(&request(4, "image", "4f1f", ""));
    expect![[r#"
        disk: read part 0
        disk: read part 0
        Client(1) <- *4 $1 2 $6 FAILED $0  $0
        disk: read part 0
        a node is asked
        a node is asked
    "#]]
    .assert_eq(&disk_and_client_lines(&play.take()));
}

#[test]
fn a_repeatedly_requested_object_is_stored_on_disk() {
    let mut play = with_disk();
    play.log(1, "1");
    for tag in 1..=3 {
        play.client(&request(tag, "image", &format!("{tag}f1f"), ",block=5"));
        play.node(&format!("{tag}f1f ok why=local 4"));
        (0..6).for_each(|_| {
            play.pass(1_000);
            play.log(1, "1");
        });
    }
    let trace = disk_and_client_lines(&play.take());
    assert!(trace.contains("disk: keep part 5, 4 bytes"), "{trace}");
}
