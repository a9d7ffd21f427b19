//! A dispatcher whose wall clock is wrong, by seconds or by an hour, compared with one whose clock is right.

use crate::common::{CONFIG, Play, START_MS, request};
use copperroute_cache_store::record::{Facts, Key};
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::Event;

/// Errors of the wall clock in milliseconds.
const CLOCK_ERRORS_MS: [i64; 4] = [5_000, -5_000, 3_600_000, -3_600_000];
/// Ports of the two caches.
const PORTS: [u16; 2] = [6001, 6002];
const OBJECT: &str = "7f3a000000000000";

fn play(off_ms: i64, bytes: usize) -> Play {
    let config = Config::parse(CONFIG).expect("a valid configuration");
    Play::with_clock_off(Config { copy_memory_bytes: bytes, ..config }, off_ms)
}

fn listed(seq: u64, id: &str, port: u16, started_ms: u64) -> String {
    format!(
        r#"{{"seq":{seq},"fleet":{{"version":{seq},"servers":[{{"id":"{id}","addr":"127.0.0.1:{port}","zone":"east","kind":"box","cell":0,"state":"active","weight":20,"started_ms":{started_ms}}}]}}}}"#
    )
}

/// Requests `count` parts of an object, `interval_ms` apart, each answered with a copy made at that time; returns how
/// many attempts went to each of the two caches.
fn attempts(play: &mut Play, from: u64, count: u64, interval_ms: u64) -> [usize; 2] {
    let mut attempts = [0; 2];
    for number in from..from + count {
        play.take();
        let id = format!("{number:04x}");
        play.client(&request(number, "image", &id, &format!(",block={number},need=10000")));
        let asked = play.take();
        let to = play.pulled_at(&asked);
        for (attempts_there, port) in attempts.iter_mut().zip(PORTS) {
            *attempts_there += usize::from(to == Some(port));
        }
        let made = format!("etag=4b00000000000000,made={},why=local", START_MS + play.passed_ms());
        play.node(&format!("{id} ok {made} 4"));
        play.pass(interval_ms);
    }
    attempts
}

/// Delivers two heartbeats in time, so that the events after them count as received live.
fn deliver_two_heartbeats(play: &mut Play) {
    play.log(1, "1");
    play.pass(1_000);
    play.log(1, "1");
}

/// Attempts sent to a cache that has just started and to another, in 8 s from 1 s after its start on.
fn attempts_in_slow_start(off_ms: i64) -> [usize; 2] {
    let mut play = play(off_ms, 0);
    attempts(&mut play, 1, 20, 100);
    deliver_two_heartbeats(&mut play);
    play.log(1, &listed(2, "s-a", 6001, START_MS + play.passed_ms()));
    play.pass(1_000);
    attempts(&mut play, 100, 160, 50)
}

#[test]
fn slow_start_of_a_cache_seen_live_does_not_depend_on_the_wall_clock() {
    let expected = attempts_in_slow_start(0);
    assert!(2 * expected[0] < expected[1], "{expected:?}: no slow start");
    for off_ms in CLOCK_ERRORS_MS {
        assert_eq!(attempts_in_slow_start(off_ms), expected, "a wall clock {off_ms} ms off");
    }
}

/// Attempts sent to the two caches by a dispatcher that starts `uptime_ms` after the first cache, whose start time is
/// in the configuration: in the first 8 s, and in 8 s from 16 s on.
fn attempts_after_restart(off_ms: i64, uptime_ms: u64) -> [[usize; 2]; 2] {
    let event = listed(9, "s-a", 6001, START_MS - uptime_ms);
    let mut config = Config::parse(CONFIG).expect("a valid configuration");
    config.known.results.push(serde_json::from_str(&event).expect("an event"));
    let mut play = Play::with_clock_off(config, off_ms);
    let first = attempts(&mut play, 1, 160, 50);
    attempts(&mut play, 1_000, 160, 50);
    [first, attempts(&mut play, 2_000, 160, 50)]
}

#[test]
fn a_cache_that_started_earlier_has_only_the_rest_of_its_slow_start() {
    let is_cold = |[to_it, to_other]: [usize; 2]| 2 * to_it < to_other;
    for off_ms in CLOCK_ERRORS_MS.into_iter().chain([0]) {
        let started_now = attempts_after_restart(off_ms, 500);
        assert_eq!(started_now.map(is_cold), [true, false], "{off_ms} ms off: {started_now:?}");
        let long_up = attempts_after_restart(off_ms, 600_000);
        // With a clock far behind, the uptime is unknown: the cache is treated as cold once, for one slow start.
        let unknown = off_ms == -3_600_000;
        assert_eq!(long_up.map(is_cold), [unknown, false], "{off_ms} ms off: {long_up:?}");
    }
}

/// The age limits, in whole seconds, of seven attempts 1.5 s apart after a purge that was received live; `None` where
/// an attempt has no limit.
fn age_limits_s(off_ms: i64) -> Vec<Option<u64>> {
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
fn attempts_limit_the_age_of_copies_while_copies_from_before_a_purge_may_exist() {
    let expected = age_limits_s(0);
    assert_eq!(expected, [Some(1), Some(3), Some(4), Some(6), None, None, None]);
    for off_ms in CLOCK_ERRORS_MS {
        assert_eq!(age_limits_s(off_ms), expected, "a wall clock {off_ms} ms off");
    }
}

/// Requests a popular object; returns whether a node was asked, which then answers with a copy made at `made_ms`.
fn sends_attempt(play: &mut Play, number: u64, made_ms: u64) -> bool {
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
fn only_copies_made_after_a_purge_are_cached() {
    for off_ms in CLOCK_ERRORS_MS.into_iter().chain([0]) {
        let mut play = play(off_ms, 1_000_000);
        play.log(1, "1");
        for number in 1..=4 {
            sends_attempt(&mut play, number, START_MS);
        }
        let purged_ms = START_MS + play.passed_ms();
        let purge = format!(r#"{{"seq":2,"invalidate":{{"bucket":17,"time":{purged_ms}}}}}"#);
        play.log(1, &purge);
        let older = (10..16).filter(|number| sends_attempt(&mut play, *number, purged_ms - 1)).count();
        assert_eq!(older, 6, "{off_ms} ms off: copies from before the purge were cached");
        let newer = (20..26).filter(|number| sends_attempt(&mut play, *number, purged_ms + 600)).count();
        assert_eq!(newer, 1, "{off_ms} ms off: copies from after the purge were not cached");
    }
}

#[test]
fn a_purge_received_live_with_an_old_time_counts_as_issued_just_now() {
    let mut play = play(0, 0);
    attempts(&mut play, 1, 10, 100);
    deliver_two_heartbeats(&mut play);
    play.log(
        1,
        &format!(r#"{{"seq":2,"invalidate":{{"object":"{OBJECT}","time":{}}}}}"#, START_MS - 3_600_000),
    );
    play.pass(1_000);
    play.client(&request(99, "image", "0099", ""));
    assert!(play.take().contains("maxage=1000"));
}

#[test]
fn a_queued_purge_is_as_old_as_its_time_says() {
    let mut play = play(0, 0);
    attempts(&mut play, 1, 10, 100);
    deliver_two_heartbeats(&mut play);
    // The process is stopped; the lines that arrive meanwhile are then read all at once.
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
fn a_copy_on_disk_is_served_after_a_restart_on_a_clock_that_was_set_back() {
    for off_ms in CLOCK_ERRORS_MS.into_iter().chain([0]) {
        let mut play = play(off_ms, 1_000_000);
        let key = Key { content_type: 0, object: *b"7f3a000000000000", part: 0 };
        play.event(Event::DiskReady(&[key.print()], 0));
        play.log(1, "1");
        play.take();
        play.client(&request(1, "image", "0001", ""));
        let ticket = *play.tickets.last().expect("a read from disk");
        let facts = Facts { etag: [7; 16], made_ms: START_MS - 1_000, group: None };
        play.event(Event::CopyRead(ticket, Some((facts, b"kept"))));
        assert!(play.take().contains("kept"), "{off_ms} ms off");
    }
}
