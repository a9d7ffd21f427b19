//! Copies of the dispatcher's own: kept, served, and let go, as reducer traces.

use crate::common::{CONFIG, Play, message, request};
use copperroute_cache_store::record::Facts;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::Event;
use expect_test::expect;

fn play(bytes: usize) -> Play {
    let config = Config::parse(CONFIG).expect("a good configuration");
    Play::with(Config { copy_memory_bytes: bytes, ..config })
}

/// Asks for the object under a tag; where a node is asked, it holds the object.
fn ask(play: &mut Play, tag: u64, more: &str) -> String {
    play.client(&request(tag, "image", &format!("{tag}f1f"), more));
    let asked = play.take();
    if asked.contains("fetch") {
        play.node(&format!("{tag}f1f ok why=local 4"));
    }
    play.pass(100);
    let told = if asked.contains("fetch") { "a node was asked" } else { "no node was asked" };
    format!("{tag}: {told}; {}", asked.replace("connect", "\n  connect") + &play.take())
}

fn answers(trace: &str) -> String {
    let lines = trace.lines().filter(|line| line.contains("asked") || line.contains("Client"));
    lines.map(|line| format!("{}\n", line.split(" fetch").next().unwrap_or(line))).collect()
}

#[test]
fn what_is_asked_for_again_is_kept_and_served_without_a_pull() {
    let mut play = play(1_000_000);
    let trace: String = (1..=4).map(|tag| answers(&ask(&mut play, tag, ""))).collect();
    let held = answers(&ask(&mut play, 5, ",cached=4b00000000000000"));
    let other = answers(&ask(&mut play, 6, ",block=2"));
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
    .assert_eq(&(trace + &held + &other));
}

#[test]
fn a_purge_lets_it_go_and_forbids_what_was_made_before() {
    let mut play = play(1_000_000);
    (1..=3).for_each(|tag| drop(ask(&mut play, tag, ",family=17")));
    let before = answers(&ask(&mut play, 4, ",family=17"));
    play.log(1, r#"{"seq":2,"invalidate":{"bucket":17,"time":1764576001000}}"#);
    play.take();
    // Made in 1970, by its time: older than the purge, so it is passed on and not kept.
    let after: String = (5..=7).map(|tag| answers(&ask(&mut play, tag, ",family=17"))).collect();
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
fn with_no_room_for_it_nothing_is_kept() {
    let mut play = play(100);
    let trace: String = (1..=4).map(|tag| answers(&ask(&mut play, tag, ""))).collect();
    assert_eq!(trace.matches("a node was asked").count(), 4);
}

#[test]
fn what_must_not_run_twice_is_never_kept() {
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

/// A disk that has the object's first part, as its print says, and a change log that has told all.
fn with_disk() -> Play {
    let mut play = play(1_000_000);
    let key = copperroute_cache_store::record::Key { content_type: 0, object: *b"7f3a000000000000", part: 0 };
    play.event(Event::DiskReady(&[key.print()], 1));
    play
}

/// The lines on the disk and to the client, and whether a node was asked.
fn of_disk(trace: &str) -> String {
    let lines = trace
        .lines()
        .filter(|line| line.contains("disk:") || line.contains("Client") || line.contains("fetch"));
    lines.map(|line| format!("{}\n", if line.contains("fetch") { "a node is asked" } else { line })).collect()
}

#[test]
fn the_disk_is_asked_once_the_change_log_has_told_all() {
    let mut play = with_disk();
    play.client(&request(1, "image", "1f1f", ""));
    let mut trace = of_disk(&play.take()) + "all is told\n";
    play.log(1, "1");
    play.client(&request(2, "image", "2f1f", ""));
    trace += &of_disk(&play.take());
    let asked = play.tickets[0];
    play.event(Event::CopyRead(asked, Some((FACTS, b"bytes"))));
    // An answer that comes again, or under another ticket, is nobody's.
    play.event(Event::CopyRead(asked, Some((FACTS, b"bytes"))));
    play.event(Event::CopyRead(asked + 1, None));
    trace += &of_disk(&play.take());
    expect![[r#"
        a node is asked
        all is told
        disk: read part 0
        Client(1) <- *4 $1 2 $2 OK $0  $5 bytes
    "#]]
    .assert_eq(&trace);
}

#[test]
fn what_the_disk_lacks_or_is_late_with_goes_to_a_node() {
    let mut play = with_disk();
    play.log(1, "1");
    play.client(&request(1, "image", "1f1f", ""));
    play.pass(60);
    let late = of_disk(&play.take()) + "late\n";
    play.event(Event::CopyRead(play.tickets[0], Some((FACTS, b"bytes"))));
    play.client(&request(2, "image", "2f1f", ""));
    play.event(Event::CopyRead(play.tickets[1], None));
    let lacks = of_disk(&play.take()) + "known to lack it\n";
    play.client(&request(3, "image", "3f1f", ""));
    expect![[r#"
        disk: read part 0
        a node is asked
        late
        disk: read part 0
        a node is asked
        known to lack it
        a node is asked
    "#]]
    .assert_eq(&(late + &lacks + &of_disk(&play.take())));
}

#[test]
fn a_purge_while_the_disk_reads_forbids_what_it_brings() {
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
    .assert_eq(&of_disk(&play.take()));
}

#[test]
fn where_purges_may_be_lost_what_the_disk_is_reading_is_not_served() {
    let mut play = with_disk();
    play.log(1, "1");
    play.client(&request(1, "image", "1f1f", ""));
    // A whole list stands for events that are no longer told: of what was purged among them nothing is known.
    play.log(1, r#"{"seq":9,"fleet":{"full":true,"servers":[{"id":"s-a","addr":"127.0.0.1:6001","zone":"east","kind":"box","state":"active","weight":2.0}]}}"#);
    play.event(Event::CopyRead(play.tickets[0], Some((FACTS, b"bytes"))));
    expect![[r#"
        disk: read part 0
        a node is asked
    "#]]
    .assert_eq(&of_disk(&play.take()));
}

#[test]
fn a_disk_that_came_back_empty_is_used_and_marked_on_from_then() {
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
    .assert_eq(&of_disk(&play.take()));
}

#[test]
fn who_leaves_or_expires_while_the_disk_reads_leaves_nothing_behind() {
    let mut play = with_disk();
    play.log(1, "1");
    play.client(&request(1, "image", "1f1f", ""));
    play.client(&message("ABORT", 1));
    play.event(Event::CopyRead(play.tickets[0], Some((FACTS, b"bytes"))));
    play.client(&request(2, "image", "2f1f", ",timeout=20"));
    play.pass(30);
    play.event(Event::CopyRead(play.tickets[1], Some((FACTS, b"bytes"))));
    // Its slot serves the next one.
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
    .assert_eq(&of_disk(&play.take()));
}

#[test]
fn what_is_asked_for_again_goes_to_disk_too() {
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
    let trace = of_disk(&play.take());
    assert!(trace.contains("disk: keep part 5, 4 bytes"), "{trace}");
}
