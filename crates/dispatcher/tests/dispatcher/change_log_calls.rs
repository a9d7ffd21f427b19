//! Calls of the change log that stay open beside each other, seen from the reducer's connections.

use crate::common::{CONFIG, Play, request};
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Event, Peer};

const PURGE: &str = r#"{"seq":2,"invalidate":{"bucket":17,"time":1764576000000}}"#;

/// The connections that were made and closed, in order, since the trace was taken.
fn connections(play: &mut Play) -> (Vec<u32>, Vec<u32>) {
    let trace = play.take();
    let of = |word: &str| {
        let numbers =
            trace.lines().filter_map(|line| line.strip_prefix(word)?.split(')').next()?.parse().ok());
        numbers.collect()
    };
    (of("connect ChangeLog("), of("close ChangeLog("))
}

#[test]
fn a_call_that_is_answered_late_brings_events_and_the_next_one_in_time_is_followed() {
    let mut play = Play::new();
    play.pass(5_000);
    let (made, closed) = connections(&mut play);
    assert!(made.len() == 2 && closed.is_empty(), "{made:?} {closed:?}");
    play.log(1, PURGE);
    assert_eq!((play.applied(), connections(&mut play)), (2, (vec![], vec![])));
    // A newer call answers at once: the others end.
    play.pass(3_000);
    let (newer, _) = connections(&mut play);
    let newest = *newer.last().expect("called beside the late one");
    play.log(newest, "2");
    let (_, closed) = connections(&mut play);
    assert!(closed.contains(&1) && !closed.contains(&newest), "{closed:?}");
    // What comes on a call that has ended is nobody's.
    play.log(1, r#"{"seq":3,"invalidate":{"bucket":17,"time":1764576000000}}"#);
    assert_eq!(play.applied(), 2);
}

#[test]
fn no_more_than_three_calls_are_open_and_the_oldest_stays_for_half_a_minute() {
    let mut play = Play::new();
    let mut open = vec![1];
    for second in 0..60 {
        play.pass(1_000);
        let (made, closed) = connections(&mut play);
        open.extend(made);
        open.retain(|number| !closed.contains(number));
        assert!(open.len() <= 3, "after {second} s: {open:?}");
        assert_eq!(open.contains(&1), second < 29 || open.contains(&1), "after {second} s: {open:?}");
        assert!(second > 28 || open[0] == 1, "after {second} s: {open:?}");
    }
    assert!(!open.contains(&1), "{open:?}");
}

#[test]
fn part_of_a_line_is_kept_while_newer_calls_bring_nothing() {
    let mut play = Play::new();
    let (first, rest) = PURGE.as_bytes().split_at(20);
    play.event(Event::Received(Peer::ChangeLog(1), first));
    play.pass(8_000);
    play.event(Event::Received(Peer::ChangeLog(1), rest));
    play.event(Event::Received(Peer::ChangeLog(1), b"\n"));
    assert_eq!(play.applied(), 2);
}

#[test]
fn own_copies_are_left_alone_in_doubt_and_good_again_after_it() {
    let mut config = Config::parse(CONFIG).expect("a good configuration");
    config.copy_memory_bytes = 1_000_000;
    let mut play = Play::with(config);
    play.beats(1, 1);
    let asks_a_node = |play: &mut Play, number: u64| {
        play.take();
        let id = format!("{number:04x}");
        play.client(&request(number, "image", &id, ",family=17"));
        let asked = play.take().contains("fetch");
        if asked {
            play.node(&format!("{id} ok etag=4b00000000000000,made=1764576000000,why=local 4"));
        }
        play.pass(100);
        asked
    };
    let before = (1..8).map(|number| asks_a_node(&mut play, number)).collect::<Vec<_>>();
    assert!(!before[6], "not served from here: {before:?}");
    // The stream breaks; what it would have told counts 2 s later, and purges are to be heeded within 1 s.
    play.beats = None;
    play.calm = false;
    play.event(Event::Closed(Peer::ChangeLog(1)));
    play.pass(2_000);
    assert!(!asks_a_node(&mut play, 20));
    play.pass(1_000);
    assert!(asks_a_node(&mut play, 21));
}
