//! Several connections to the change log open at the same time, seen from the reducer's effects.

use crate::common::{CONFIG, Play, request};
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Event, Peer};

const PURGE: &str = r#"{"seq":2,"invalidate":{"bucket":17,"time":1764576000000}}"#;

/// The change log connections opened and closed, each in order, since the trace was last taken.
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
fn a_slow_connection_delivers_events_until_a_newer_one_answers() {
    let mut play = Play::new();
    play.pass(5_000);
    let (made, closed) = connections(&mut play);
    assert!(made.len() == 2 && closed.is_empty(), "{made:?} {closed:?}");
    play.log(1, PURGE);
    assert_eq!((play.applied(), connections(&mut play)), (2, (vec![], vec![])));
    // A newer connection delivers at once: the others are closed.
    play.pass(3_000);
    let (newer, _) = connections(&mut play);
    let newest = *newer.last().expect("a second connection opened beside the slow one");
    play.log(newest, "2");
    let (_, closed) = connections(&mut play);
    assert!(closed.contains(&1) && !closed.contains(&newest), "{closed:?}");
    // Events on a closed connection are ignored.
    play.log(1, r#"{"seq":3,"invalidate":{"bucket":17,"time":1764576000000}}"#);
    assert_eq!(play.applied(), 2);
}

#[test]
fn at_most_three_connections_are_open_and_the_oldest_stays_for_30_s() {
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
fn part_of_a_line_is_kept_while_newer_connections_deliver_nothing() {
    let mut play = Play::new();
    let (first, rest) = PURGE.as_bytes().split_at(20);
    play.event(Event::Received(Peer::ChangeLog(1), first));
    play.pass(8_000);
    play.event(Event::Received(Peer::ChangeLog(1), rest));
    play.event(Event::Received(Peer::ChangeLog(1), b"\n"));
    assert_eq!(play.applied(), 2);
}

#[test]
fn the_local_cache_is_used_only_while_knowledge_is_not_stale() {
    let mut config = Config::parse(CONFIG).expect("a valid configuration");
    config.copy_memory_bytes = 1_000_000;
    let mut play = Play::with(config);
    play.beats(1, 1);
    let sends_attempt = |play: &mut Play, number: u64| {
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
    let before = (1..8).map(|number| sends_attempt(&mut play, number)).collect::<Vec<_>>();
    assert!(!before[6], "not served from the local cache: {before:?}");
    // The connection fails. Missed events count from 2 s later on and a purge must take effect
    // within 1 s, so the knowledge is stale after 3 s.
    play.beats = None;
    play.calm = false;
    play.event(Event::Closed(Peer::ChangeLog(1)));
    play.pass(2_000);
    assert!(!sends_attempt(&mut play, 20));
    play.pass(1_000);
    assert!(sends_attempt(&mut play, 21));
}
