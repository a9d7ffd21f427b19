//! The change log followed by streams from two replicas, seen from the reducer's connections.

use crate::common::{CONFIG, LOOPBACK, Play, request};
use copperroute_dispatcher::changes::stricter::restrictions;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_protocol::changes::Change;
use copperroute_settings::operator::Operator;
use expect_test::expect;
use serde_json::json;

/// The example's configuration with replicas at these ports, each in a zone of its own.
fn config(ports: &[u16]) -> Config {
    let replica =
        |port| json!({"address": format!("127.0.0.1:{port}"), "region": "north", "zone": format!("z{port}")});
    let replicas: Vec<_> = ports.iter().map(replica).collect();
    let operator = json!({
        "lists": {"calls_per_s": 60, "dispatchers": 59, "replicas": replicas},
        "agreement": {"lease_s": 3, "floor": {"max_pulls": 2}},
    });
    let operator = Operator::parse(&operator.to_string()).expect("a good file");
    let mut config = Config::parse(CONFIG).expect("a good configuration");
    config.calls = operator.calls(config.calls).expect("good");
    config.replicas = operator.replicas().expect("good");
    config.agreeing = config.agreeing(&operator).expect("good");
    config
}

/// A dispatcher that follows two replicas and is caught up with both: by `ChangeLog(1)` and `ChangeLog(2)`. It has a list,
/// so it calls in the last round in which it still hears in time.
fn followed() -> Play {
    let mut play = Play::with(config(&[2381, 2382]));
    play.pass(6_600);
    let trace = play.take();
    assert!(
        trace.contains("ChangeLog(1) <- since 1") && trace.contains("ChangeLog(2) <- since 1"),
        "{trace}"
    );
    ["1", "1"].iter().zip(1..).for_each(|(line, connection)| play.log(connection, line));
    both(&mut play, &[1, 2], 1);
    assert_eq!(play.take(), "");
    // The first client was idle for too long.
    play.event(Event::Accepted(1, LOOPBACK));
    play
}

/// A second's line from each of these connections.
fn both(play: &mut Play, connections: &[u32], last: u64) {
    play.pass(1_000);
    connections.iter().for_each(|connection| play.log(*connection, &last.to_string()));
}

fn purge(seq: u64, object: &str) -> String {
    format!(r#"{{"seq":{seq},"invalidate":{{"object":"{object}","time":1764576007600}}}}"#)
}

fn leaving(seq: u64, node: &str, port: u16) -> String {
    format!(
        r#"{{"seq":{seq},"fleet":{{"servers":[{{"id":"{node}","addr":"127.0.0.1:{port}","zone":"east","kind":"box","state":"leaving"}}]}}}}"#
    )
}

/// Which nodes of the location are asked, over several requests.
fn asked(play: &mut Play) -> String {
    play.take();
    for tag in 0..6 {
        play.client(&request(100 + tag, "image", &format!("{tag:04x}"), &format!(",need=100,block={tag}")));
    }
    let trace = play.take();
    let asks = |port: &str| trace.contains(&format!("127.0.0.1:{port}"));
    format!("s-a {}, s-b {}", asks("6001"), asks("6002"))
}

#[test]
fn events_keep_coming_while_one_stream_is_lost_and_that_one_is_called_in_rounds() {
    let mut play = followed();
    play.event(Event::Closed(Peer::ChangeLog(1)));
    play.log(2, &purge(2, "7f3a"));
    for last in [2, 2] {
        both(&mut play, &[2], last);
    }
    play.trace.push_str("one is back\n");
    play.log(3, "2");
    play.log(3, &purge(3, "7f3b"));
    play.log(2, &purge(3, "7f3b"));
    both(&mut play, &[2, 3], 3);
    play.trace.push_str("the other is silent\n");
    for _ in 0..3 {
        both(&mut play, &[3], 3);
    }
    play.log(3, &purge(4, "7f3c"));
    play.pass(1_000);
    expect![[r#""#]].assert_eq(&play.take());
}

#[test]
fn both_streams_silent_in_turn_lose_nothing() {
    let mut play = followed();
    let (mut connections, mut seq) = ([1, 2], 1);
    for turn in 0..6 {
        let (silent, heard) = (turn % 2, 1 - turn % 2);
        for _ in 0..4 {
            seq += 1;
            play.log(connections[heard], &purge(seq, "7f3a"));
            both(&mut play, &[connections[heard]], seq);
        }
        let trace = play.take();
        let asked: Vec<_> = trace.lines().filter(|line| line.contains("since")).collect();
        let [line] = asked[..] else { panic!("turn {turn}: called once a round, {trace}") };
        connections[silent] =
            line["ChangeLog(".len()..].split(')').next().and_then(|n| n.parse().ok()).expect("a number");
        let since: u64 =
            line.rsplit(' ').next().and_then(|n| n.trim_end_matches("\\n").parse().ok()).expect("a number");
        assert!((seq - 4..=seq).contains(&since), "turn {turn}: {line}");
        // It tells all from there, which is known already.
        (since + 1..=seq).for_each(|seq| play.log(connections[silent], &purge(seq, "7f3a")));
        both(&mut play, &connections, seq);
        assert_eq!(play.take(), "", "turn {turn}");
    }
    assert_eq!(play.applied(), seq);
}

#[test]
fn a_gap_on_one_stream_is_filled_by_the_other_before_anything_acts() {
    let mut play = followed();
    play.log(1, &leaving(3, "s-b", 6002));
    assert_eq!((play.applied(), asked(&mut play).as_str()), (1, "s-a true, s-b true"));
    play.log(2, &leaving(2, "s-a", 6001));
    assert_eq!(play.applied(), 3);
    play.log(2, &leaving(3, "s-b", 6002));
    both(&mut play, &[1, 2], 3);
    assert!(!play.take().contains("close ChangeLog"));
    // One that nobody fills is asked for again, and stands when it comes again.
    play.log(1, &purge(5, "7f3a"));
    play.pass(900);
    play.log(2, "3");
    assert_eq!(play.take(), "");
    play.pass(400);
    play.log(2, "3");
    play.trace.push_str("asked again\n");
    play.pass(1_000);
    play.log(2, "3");
    play.log(3, &purge(5, "7f3a"));
    play.pass(900);
    play.log(2, "3");
    play.pass(400);
    assert_eq!(play.applied(), 5);
    expect![[r#""#]].assert_eq(&play.take());
}

#[test]
fn what_contradicts_under_one_number_both_acts() {
    let mut play = followed();
    play.log(1, &leaving(2, "s-a", 6001));
    play.log(2, &leaving(2, "s-b", 6002));
    assert_eq!(play.applied(), 2);
    let mut alone = followed();
    alone.log(1, &leaving(2, "s-a", 6001));
    alone.log(2, &leaving(2, "s-a", 6001));
    let mut trace = format!("one content: {}\n", asked(&mut alone));
    trace += &format!("two contents: {}\n", asked(&mut play));
    expect![[r#""#]].assert_eq(&trace);
}

#[test]
fn of_a_second_content_what_restricts_is_taken() {
    let contents = [
        r#"{"seq":2,"invalidate":{"object":"7f3a","time":1}}"#,
        r#"{"seq":2,"fleet":{"version":9,"full":true,"servers":[{"id":"a","state":"active"},{"id":"b","state":"left"},{"id":"c","state":"leaving"}]}}"#,
        r#"{"seq":2,"fleet":{"version":9,"full":true,"servers":[]}}"#,
        r#"{"seq":2,"fleet":{"servers":[{"id":"a","state":"active"}]},"invalidate":{"bucket":17,"time":1}}"#,
        r#"{"seq":2,"rules":{"version":3}}"#,
        r#"{"seq":2,"other":{}}"#,
    ];
    let taken = contents.map(|content| {
        let change: Change = serde_json::from_str(content).expect("an event");
        restrictions(&change).map_or("nothing\n".into(), |taken| json!(taken).to_string() + "\n")
    });
    expect![[r#"
        {"fleet":null,"invalidate":{"bucket":null,"object":"7f3a","time":1},"seq":2}
        {"fleet":{"full":false,"servers":[{"addr":null,"cell":null,"id":"b","kind":"","started_ms":null,"state":"left","weight":null,"zone":""},{"addr":null,"cell":null,"id":"c","kind":"","started_ms":null,"state":"leaving","weight":null,"zone":""}]},"invalidate":null,"seq":2}
        nothing
        {"fleet":null,"invalidate":{"bucket":17,"object":null,"time":1},"seq":2}
        {"fleet":null,"invalidate":null,"rules":{"version":3},"seq":2}
        nothing
    "#]].assert_eq(&taken.concat());
}

#[test]
fn a_stream_that_is_behind_or_waited_on_its_way_renews_no_lease() {
    // Out of touch, two pulls are allowed; in touch six.
    let pulls = |play: &mut Play| {
        play.take();
        play.client(&request(7, "image", "0001", ",need=100"));
        (0..8).for_each(|_| play.node("0001 refused - 0"));
        play.take().matches("<- fetch").count()
    };
    let mut play = followed();
    let in_touch = pulls(&mut play);
    play.event(Event::Closed(Peer::ChangeLog(2)));
    play.log(1, &purge(2, "7f3a"));
    // What is left says less than was applied.
    let mut behind = followed();
    behind.log(1, &purge(2, "7f3a"));
    behind.event(Event::Closed(Peer::ChangeLog(1)));
    for _ in 0..2 {
        both(&mut behind, &[2], 1);
    }
    behind.pass(1_100);
    let lapsed = pulls(&mut behind);
    // One is held on its way; meanwhile the other, which is behind, is heard.
    let mut held = followed();
    held.log(1, &purge(2, "7f3a"));
    both(&mut held, &[2], 1);
    held.pass(900);
    held.log(2, "1");
    (0..2).for_each(|_| held.log(1, "2"));
    held.pass(1_200);
    let waited = pulls(&mut held);
    expect![[r#""#]].assert_eq(&format!("in touch {in_touch}, behind {lapsed}, waited {waited}\n"));
}

#[test]
fn a_stream_from_a_replica_that_stays_lives_on_when_others_are_told() {
    let mut play = followed();
    // Of more replicas this dispatcher may follow others: whichever stay must not be touched.
    play.event(Event::Reload(&config(&[2381, 2382])));
    assert_eq!(play.take(), "");
    play.event(Event::Reload(&config(&[2381, 2383])));
    for _ in 0..3 {
        both(&mut play, &[2, 3], 1);
    }
    play.trace.push_str("one address again\n");
    play.event(Event::Reload(&Config::parse(CONFIG).expect("good")));
    play.pass(10);
    play.trace.push_str("two replicas again\n");
    play.event(Event::Reload(&config(&[2381, 2382])));
    play.pass(1_500);
    expect![[r#""#]].assert_eq(&play.take());
}

#[test]
fn a_log_that_begins_anew_is_read_from_its_first_event_by_both() {
    let mut play = followed();
    play.log(1, &purge(2, "7f3a"));
    play.log(2, &purge(2, "7f3a"));
    both(&mut play, &[1, 2], 2);
    for _ in 0..5 {
        both(&mut play, &[1, 2], 1);
    }
    play.pass(2_000);
    assert_eq!(play.applied(), 0);
    expect![[r#""#]].assert_eq(&play.take());
}
