//! The change log followed by streams from two replicas, seen from the reducer's connections.

use crate::common::{CONFIG, LOOPBACK, Play, request};
use copperroute_dispatcher::changes::stricter::stricter_part;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_protocol::changes::Change;
use copperroute_settings::operator::OperatorFile;
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
    let operator = OperatorFile::parse(&operator.to_string()).expect("a good file");
    let mut config = Config::parse(CONFIG).expect("a good configuration");
    config.reconnect = operator.reconnect_settings(config.reconnect).expect("good");
    config.replicas = operator.replicas().expect("good");
    config.agreement = config.agreeing(&operator).expect("good");
    config
}

/// A round of calls: 59 dispatchers, all of which follow both of two replicas, at 0.8 of 60 calls a second.
const ROUND_MS: u64 = 1_230;

/// A dispatcher that follows two replicas and is caught up with both: by `ChangeLog(1)` and `ChangeLog(2)`.
fn followed() -> Play {
    let mut play = Play::with(config(&[2381, 2382]));
    play.pass(ROUND_MS);
    expect![[r#"
        connect ChangeLog(1) 127.0.0.1:2382
        ChangeLog(1) <- since 1\n
        connect ChangeLog(2) 127.0.0.1:2381
        ChangeLog(2) <- since 1\n
    "#]]
    .assert_eq(&streams(&mut play));
    ["1", "1"].iter().zip(1..).for_each(|(line, connection)| play.log(connection, line));
    // From two seconds on they count as steady: one that ends sooner may pass over rounds.
    (0..3).for_each(|_| both(&mut play, &[1, 2], 1));
    assert_eq!(streams(&mut play), "");
    play
}

/// What was done about streams since the last call, with the marks of the test.
fn streams(play: &mut Play) -> String {
    let trace = play.take();
    let of_streams = trace.lines().filter(|line| !line.contains("Client(") && !line.contains("Node("));
    of_streams.map(|line| format!("{line}\n")).collect()
}

/// A client that has just come asks: the first may have been idle for too long.
fn ask(play: &mut Play, tag: u64, id: &str, more: &str) {
    let client = 100 + tag as u32;
    play.event(Event::Accepted(client, LOOPBACK));
    play.event(Event::Received(Peer::Client(client), &request(tag, "image", id, more)));
}

/// A second's line from each of these connections.
fn both(play: &mut Play, connections: &[u32], last: u64) {
    play.pass(1_000);
    connections.iter().for_each(|connection| play.log(*connection, &last.to_string()));
}

/// It happened when `followed` returns: told then, nothing is wrong with the clocks.
fn purge(seq: u64, object: &str) -> String {
    format!(r#"{{"seq":{seq},"invalidate":{{"object":"{object}","time":1764576004230}}}}"#)
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
        ask(play, tag, &format!("{tag:04x}"), &format!(",need=100,block={tag}"));
    }
    let trace = play.take();
    let asks = |port: &str| trace.contains(&format!("127.0.0.1:{port}"));
    format!("s-a {}, s-b {}", asks("6001"), asks("6002"))
}

#[test]
fn events_keep_coming_while_one_stream_is_lost_and_that_one_is_called_in_rounds() {
    let mut play = followed();
    play.event(Event::Closed(Peer::ChangeLog(1)));
    play.trace.push_str("not called at once\n");
    play.log(2, &purge(2, "7f3a"));
    assert_eq!(play.applied(), 2);
    play.pass(ROUND_MS);
    play.log(2, "2");
    play.trace.push_str("within a round\n");
    play.log(3, "2");
    both(&mut play, &[2, 3], 2);
    for told in [3, 2] {
        play.log(told, &purge(3, "7f3b"));
        assert_eq!(play.applied(), 3);
    }
    both(&mut play, &[2, 3], 3);
    play.trace.push_str("the other is silent\n");
    both(&mut play, &[3], 3);
    both(&mut play, &[3], 3);
    play.trace.push_str("for two seconds\n");
    play.log(3, &purge(4, "7f3c"));
    assert_eq!(play.applied(), 4);
    both(&mut play, &[3], 4);
    play.pass(ROUND_MS);
    expect![[r#"
        close ChangeLog(1)
        not called at once
        connect ChangeLog(3) 127.0.0.1:2382
        ChangeLog(3) <- since 2\n
        within a round
        the other is silent
        for two seconds
        connect ChangeLog(4) 127.0.0.1:2381
        ChangeLog(4) <- since 4\n
    "#]]
    .assert_eq(&streams(&mut play));
}

/// The call of a trace, if there is one: its connection, and the event that it asks from.
fn call_in(trace: &str) -> Option<(u32, u64)> {
    let asked: Vec<_> = trace.lines().filter(|line| line.contains("since")).collect();
    let [line] = asked[..] else {
        assert!(asked.is_empty(), "called once a round, {trace}");
        return None;
    };
    let connection = line["ChangeLog(".len()..].split(')').next().and_then(|n| n.parse().ok());
    let since = line.rsplit(' ').next().and_then(|n| n.trim_end_matches("\\n").parse().ok());
    Some((connection.expect("a number"), since.expect("a number")))
}

#[test]
fn both_streams_silent_in_turn_lose_nothing() {
    const STEP_MS: u64 = 50;
    let mut play = followed();
    let (mut connections, mut seq) = ([1, 2], 1);
    for turn in 0..6 {
        let (silent, heard) = (turn % 2, 1 - turn % 2);
        let mut call = None;
        for _ in 0..4 {
            seq += 1;
            play.log(connections[heard], &purge(seq, "7f3a"));
            assert_eq!(play.applied(), seq, "turn {turn}");
            call.into_iter().for_each(|connection| play.log(connection, &purge(seq, "7f3a")));
            for _ in 0..1_000 / STEP_MS {
                play.pass(STEP_MS);
                let trace = play.take();
                let Some((connection, since)) = call_in(&trace) else { continue };
                assert_eq!(call, None, "turn {turn}: called once a round, {trace}");
                call = Some(connection);
                assert!((seq - 4..=seq).contains(&since), "turn {turn}: {trace}");
                // It tells all from there, which is known already; the silent one was left open until then.
                (since + 1..=seq).for_each(|seq| play.log(connection, &purge(seq, "7f3a")));
                play.log(connection, &seq.to_string());
                assert_eq!(
                    streams(&mut play),
                    format!("close ChangeLog({})\n", connections[silent]),
                    "turn {turn}"
                );
            }
            let standing = [Some(connections[heard]), call];
            standing.into_iter().flatten().for_each(|connection| play.log(connection, &seq.to_string()));
        }
        connections[silent] = call.unwrap_or_else(|| panic!("turn {turn}: not called"));
        both(&mut play, &connections, seq);
        assert_eq!(streams(&mut play), "", "turn {turn}");
    }
    assert_eq!(play.applied(), seq);
}

#[test]
fn a_gap_on_one_stream_is_filled_by_the_other_before_anything_acts() {
    let mut play = followed();
    play.log(1, &leaving(3, "s-b", 6002));
    assert_eq!((play.applied(), asked(&mut play).as_str()), (1, "s-a true, s-b true"));
    play.log(2, &leaving(2, "s-a", 6001));
    assert_eq!((play.applied(), asked(&mut play).as_str()), (3, "s-a false, s-b false"));
    play.log(2, &leaving(3, "s-b", 6002));
    both(&mut play, &[1, 2], 3);
    assert_eq!(streams(&mut play), "");
}

#[test]
fn a_gap_that_nobody_fills_is_asked_for_once_more() {
    let mut play = followed();
    play.log(1, &purge(3, "7f3a"));
    play.pass(900);
    play.log(2, "1");
    assert_eq!((play.applied(), streams(&mut play).as_str()), (1, ""));
    // It is looked for each quarter of a second.
    play.pass(350);
    assert_eq!(play.applied(), 1);
    play.trace.push_str("after a second\n");
    play.pass(ROUND_MS);
    play.log(2, "1");
    play.trace.push_str("within a round\n");
    // It comes so again: the other has its second once more, then what lies between is not to be had.
    play.log(3, &purge(3, "7f3a"));
    play.pass(900);
    play.log(2, "1");
    assert_eq!(play.applied(), 1);
    play.pass(350);
    assert_eq!(play.applied(), 3);
    expect![[r#"
        close ChangeLog(1)
        after a second
        connect ChangeLog(3) 127.0.0.1:2382
        ChangeLog(3) <- since 1\n
        within a round
    "#]]
    .assert_eq(&streams(&mut play));
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
    expect![[r#"
        one content: s-a false, s-b true
        two contents: s-a false, s-b false
    "#]]
    .assert_eq(&trace);
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
        stricter_part(&change).map_or("nothing\n".into(), |taken| json!(taken).to_string() + "\n")
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

/// How many attempts one request is allowed: two for a dispatcher that is out of touch, more for one in touch.
fn attempts(play: &mut Play) -> usize {
    play.take();
    ask(play, 7, "0001", ",need=100");
    (0..8).for_each(|_| play.node("0001 refused - 0"));
    play.take().matches("<- fetch").count()
}

#[test]
fn a_stream_that_is_behind_renews_no_lease() {
    // Event 2 comes by one stream, which ends; for 3.1 s what is left says that it knows of events up to this one.
    let left_says = |last: u64| {
        let mut play = followed();
        play.log(1, &purge(2, "7f3a"));
        if last == 2 {
            play.log(2, &purge(2, "7f3a"));
        }
        play.event(Event::Closed(Peer::ChangeLog(1)));
        for _ in 0..2 {
            both(&mut play, &[2], last);
        }
        play.pass(1_100);
        attempts(&mut play)
    };
    assert_eq!(format!("in touch {}, behind {}", left_says(2), left_says(1)), "in touch 4, behind 2");
}

#[test]
fn a_heartbeat_that_waited_on_its_way_renews_no_lease() {
    // One stream is heard each second or is held for 1.9 s on its way; the other, which is behind, is heard meanwhile.
    let is_held = |held: bool| {
        let mut play = followed();
        play.log(1, &purge(2, "7f3a"));
        both(&mut play, &[2], 1);
        if !held {
            play.log(1, "2");
        }
        play.pass(900);
        play.log(2, "1");
        play.log(1, "2");
        if held {
            play.log(1, "2");
        }
        play.pass(1_200);
        attempts(&mut play)
    };
    assert_eq!(format!("in time {}, held {}", is_held(false), is_held(true)), "in time 4, held 2");
}

#[test]
fn a_stream_from_a_replica_that_stays_lives_on_when_others_are_told() {
    let mut play = followed();
    play.event(Event::Reload(&config(&[2381, 2382])));
    assert_eq!(streams(&mut play), "");
    play.event(Event::Reload(&config(&[2381, 2383])));
    play.trace.push_str("another one instead of 2382\n");
    play.pass(ROUND_MS);
    ["1", "1"].iter().zip(2..).for_each(|(line, connection)| play.log(connection, line));
    for _ in 0..3 {
        both(&mut play, &[2, 3], 1);
    }
    play.log(2, &purge(2, "7f3a"));
    assert_eq!(play.applied(), 2);
    play.trace.push_str("one address again\n");
    play.event(Event::Reload(&Config::parse(CONFIG).expect("good")));
    play.trace.push_str("two replicas again\n");
    play.event(Event::Reload(&config(&[2381, 2382])));
    play.trace.push_str("in their places of the round\n");
    play.pass(ROUND_MS);
    expect![[r#"
        close ChangeLog(1)
        another one instead of 2382
        connect ChangeLog(3) 127.0.0.1:2383
        ChangeLog(3) <- since 1\n
        one address again
        close ChangeLog(3)
        connect ChangeLog(4) 127.0.0.1:2379
        ChangeLog(4) <- since 2\n
        close ChangeLog(2)
        two replicas again
        close ChangeLog(4)
        in their places of the round
        connect ChangeLog(5) 127.0.0.1:2382
        ChangeLog(5) <- since 2\n
        connect ChangeLog(6) 127.0.0.1:2381
        ChangeLog(6) <- since 2\n
    "#]]
    .assert_eq(&streams(&mut play));
}

#[test]
fn a_log_that_begins_anew_is_read_from_its_first_event_by_both() {
    let mut play = followed();
    play.log(1, &purge(2, "7f3a"));
    play.log(2, &purge(2, "7f3a"));
    both(&mut play, &[1, 2], 2);
    // For two seconds either vouches for event 2 by what it said before, and after that each says three times less.
    for _ in 0..4 {
        both(&mut play, &[1, 2], 1);
    }
    assert_eq!((play.applied(), streams(&mut play).as_str()), (2, ""));
    both(&mut play, &[1, 2], 1);
    assert_eq!(play.applied(), 0);
    play.trace.push_str("not called at once\n");
    play.pass(ROUND_MS);
    expect![[r#"
        close ChangeLog(2)
        close ChangeLog(1)
        not called at once
        connect ChangeLog(3) 127.0.0.1:2382
        ChangeLog(3) <- since 0\n
        connect ChangeLog(4) 127.0.0.1:2381
        ChangeLog(4) <- since 0\n
    "#]]
    .assert_eq(&streams(&mut play));
    play.log(3, &purge(1, "7f3a"));
    assert_eq!(play.applied(), 1);
}
