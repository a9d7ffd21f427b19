//! A dispatcher whose wall clock is off, by seconds or by an hour, beside one whose clock is right.

use crate::common::{CONFIG, Play, START_MS, request};
use copperroute_cache_store::record::{Facts, Key};
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::Event;

/// Wall clocks that are off by so many milliseconds.
const OFF_MS: [i64; 4] = [5_000, -5_000, 3_600_000, -3_600_000];
/// Where the two caches listen.
const PORTS: [u16; 2] = [6001, 6002];
const OBJECT: &str = "7f3a000000000000";

fn play(off_ms: i64, bytes: usize) -> Play {
    let config = Config::parse(CONFIG).expect("a good configuration");
    Play::with_clock_off(Config { copy_memory_bytes: bytes, ..config }, off_ms)
}

fn listed(seq: u64, id: &str, port: u16, started_ms: u64) -> String {
    format!(
        r#"{{"seq":{seq},"fleet":{{"version":{seq},"servers":[{{"id":"{id}","addr":"127.0.0.1:{port}","zone":"east","kind":"box","cell":0,"state":"active","weight":20,"started_ms":{started_ms}}}]}}}}"#
    )
}

/// Asks for an object's parts, `each` milliseconds apart, which are served with a copy made then; tells how many attempts
/// went to each of two caches.
fn attempts(play: &mut Play, from: u64, count: u64, each: u64) -> [usize; 2] {
    let mut attempts = [0; 2];
    for number in from..from + count {
        play.take();
        let id = format!("{number:04x}");
        play.client(&request(number, "image", &id, &format!(",block={number},need=10000")));
        let asked = play.take();
        let to = play.pulled_at(&asked);
        for (pulled, port) in attempts.iter_mut().zip(PORTS) {
            *pulled += usize::from(to == Some(port));
        }
        let made = format!("etag=4b00000000000000,made={},why=local", START_MS + play.passed_ms());
        play.node(&format!("{id} ok {made} 4"));
        play.pass(each);
    }
    attempts
}

/// The change log is followed, and two heartbeats have come in time: what it tells next is heard of live.
fn follow_live(play: &mut Play) {
    play.log(1, "1");
    play.pass(1_000);
    play.log(1, "1");
}

/// What goes to a cache that has just started and to another in eight seconds from 1 s after its start on.
fn sent_to_a_cold_cache(off_ms: i64) -> [usize; 2] {
    let mut play = play(off_ms, 0);
    attempts(&mut play, 1, 20, 100);
    follow_live(&mut play);
    play.log(1, &listed(2, "s-a", 6001, START_MS + play.passed_ms()));
    play.pass(1_000);
    attempts(&mut play, 100, 160, 50)
}

#[test]
fn a_cache_whose_start_is_heard_of_live_is_sent_its_part_whatever_the_own_clock_says() {
    let right = sent_to_a_cold_cache(0);
    assert!(2 * right[0] < right[1], "{right:?}: not cold");
    for off_ms in OFF_MS {
        assert_eq!(sent_to_a_cold_cache(off_ms), right, "a wall clock {off_ms} ms off");
    }
}

/// What goes to them from a dispatcher that starts so long after the first one, with its start in the configuration: in
/// eight seconds, and in eight from 16 s on.
fn sent_by_one_that_starts(off_ms: i64, ago_ms: u64) -> [[usize; 2]; 2] {
    let event = listed(9, "s-a", 6001, START_MS - ago_ms);
    let mut config = Config::parse(CONFIG).expect("a good configuration");
    config.known.results.push(serde_json::from_str(&event).expect("an event"));
    let mut play = Play::with_clock_off(config, off_ms);
    let first = attempts(&mut play, 1, 160, 50);
    attempts(&mut play, 1_000, 160, 50);
    [first, attempts(&mut play, 2_000, 160, 50)]
}

#[test]
fn a_cache_that_started_before_is_cold_for_its_time_and_no_longer() {
    let is_cold = |[to_it, to_other]: [usize; 2]| 2 * to_it < to_other;
    for off_ms in OFF_MS.into_iter().chain([0]) {
        let started_now = sent_by_one_that_starts(off_ms, 500);
        assert_eq!(started_now.map(is_cold), [true, false], "{off_ms} ms off: {started_now:?}");
        let long_up = sent_by_one_that_starts(off_ms, 600_000);
        // On a clock that is far behind nothing tells how long it has been up: it is cold once, for its time.
        let unknown = off_ms == -3_600_000;
        assert_eq!(long_up.map(is_cold), [unknown, false], "{off_ms} ms off: {long_up:?}");
    }
}

/// The age limits in whole seconds, if any, of attempts so long after a purge that was heard of live.
fn limits(off_ms: i64) -> Vec<Option<u64>> {
    let mut play = play(off_ms, 0);
    attempts(&mut play, 1, 10, 100);
    play.log(1, "1");
    let purge =
        format!(r#"{{"seq":2,"invalidate":{{"object":"{OBJECT}","time":{}}}}}"#, START_MS + play.passed_ms());
    play.log(1, &purge);
    play.beats(1, 2);
    let limit = |number: u64| {
        play.pass(1_500);
        play.take();
        play.client(&request(number, "image", &format!("{number:04x}"), &format!(",block={number}")));
        let asked = play.take();
        play.node(&format!("{number:04x} ok etag=4b00000000000000,made={START_MS},why=local 4"));
        let limit = asked.split("maxage=").nth(1)?;
        limit.split([',', ' ']).next()?.parse::<u64>().ok().map(|limit_ms| limit_ms / 1_000)
    };
    (100..107).map(limit).collect()
}

#[test]
fn pulls_ask_for_copies_made_after_a_purge_for_as_long_as_older_ones_lie_about() {
    let right = limits(0);
    assert_eq!(right, [Some(1), Some(3), Some(4), Some(6), None, None, None]);
    for off_ms in OFF_MS {
        assert_eq!(limits(off_ms), right, "a wall clock {off_ms} ms off");
    }
}

/// Asks for an object that is wanted often; returns whether a node was asked, which serves a copy made then.
fn asks_a_node(play: &mut Play, number: u64, made_ms: u64) -> bool {
    play.take();
    let id = format!("{number:04x}");
    play.client(&request(number, "image", &id, ",family=17"));
    let asked = play.take().contains("fetch");
    if asked {
        play.node(&format!("{id} ok etag=4b00000000000000,made={made_ms},why=local 4"));
    }
    play.pass(100);
    asked
}

#[test]
fn no_copy_from_before_a_purge_is_kept_and_later_ones_are() {
    for off_ms in OFF_MS.into_iter().chain([0]) {
        let mut play = play(off_ms, 1_000_000);
        play.log(1, "1");
        for number in 1..=4 {
            asks_a_node(&mut play, number, START_MS);
        }
        let purged_ms = START_MS + play.passed_ms();
        let purge = format!(r#"{{"seq":2,"invalidate":{{"bucket":17,"time":{purged_ms}}}}}"#);
        play.log(1, &purge);
        let older = (10..16).filter(|number| asks_a_node(&mut play, *number, purged_ms - 1)).count();
        assert_eq!(older, 6, "{off_ms} ms off: copies from before the purge were kept");
        let newer = (20..26).filter(|number| asks_a_node(&mut play, *number, purged_ms + 600)).count();
        assert_eq!(newer, 1, "{off_ms} ms off: copies from after the purge were not kept");
    }
}

#[test]
fn a_purge_told_live_with_an_old_number_counts_as_just_now() {
    let mut play = play(0, 0);
    attempts(&mut play, 1, 10, 100);
    follow_live(&mut play);
    play.log(
        1,
        &format!(r#"{{"seq":2,"invalidate":{{"object":"{OBJECT}","time":{}}}}}"#, START_MS - 3_600_000),
    );
    play.pass(1_000);
    play.client(&request(99, "image", "0099", ""));
    assert!(play.take().contains("maxage=1000"));
}

#[test]
fn a_purge_out_of_a_queue_is_as_old_as_its_number_says() {
    let mut play = play(0, 0);
    attempts(&mut play, 1, 10, 100);
    follow_live(&mut play);
    // The process is stopped; what came meanwhile is read at once.
    play.stop(20_000);
    let purged_ms = START_MS + play.passed_ms() - 10_000;
    (0..20).for_each(|_| play.log(1, "1"));
    play.log(1, &format!(r#"{{"seq":2,"invalidate":{{"object":"{OBJECT}","time":{purged_ms}}}}}"#));
    play.take();
    play.client(&request(99, "image", "0099", ""));
    let asked = play.take();
    assert!(asked.contains("fetch") && !asked.contains("maxage"), "{asked}");
}

#[test]
fn a_copy_kept_on_disk_is_served_after_a_restart_on_a_clock_that_was_set_back() {
    for off_ms in OFF_MS.into_iter().chain([0]) {
        let mut play = play(off_ms, 1_000_000);
        let key = Key { content_type: 0, object: *b"7f3a000000000000", part: 0 };
        play.event(Event::DiskReady(&[key.print()], 0));
        play.log(1, "1");
        play.take();
        play.client(&request(1, "image", "0001", ""));
        let ticket = *play.tickets.last().expect("the disk is asked");
        let facts = Facts { etag: [7; 16], made_ms: START_MS - 1_000, group: None };
        play.event(Event::CopyRead(ticket, Some((facts, b"kept"))));
        assert!(play.take().contains("kept"), "{off_ms} ms off");
    }
}
