//! The change log is followed by one stream from each of two replicas. Events in, effects out.

use crate::common::{CONFIG, LOOPBACK, Play, request};
use copperroute_dispatcher::changes::stricter::stricter_part;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_protocol::changes::Change;
use copperroute_settings::operator::OperatorFile;
use expect_test::expect;
use serde_json::json;

/// The example configuration with replicas at these ports, each in a zone of its own.
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

/// The reconnect window: 59 dispatchers that all follow both replicas, at 0.8 of 60 connections per second.
const RECONNECT_WINDOW_MS: u64 = 1_230;

/// A dispatcher that follows two replicas by `ChangeLog(1)` and `ChangeLog(2)`, and is caught up with both.
fn followed() -> Play {
    let mut play = Play::with(config(&[2381, 2382]));
    play.pass(RECONNECT_WINDOW_MS);
    expect![[r#"
        connect ChangeLog(1) 127.0.0.1:2382
        ChangeLog(1) <- since 1\n
        connect ChangeLog(2) 127.0.0.1:2381
        ChangeLog(2) <- since 1\n
    "#]]
    .assert_eq(&streams(&mut play));
    ["1", "1"].iter().zip(1..).for_each(|(line, connection)| play.log(connection, line));
    // Streams count as steady after two seconds; one that closes sooner may skip reconnect windows.
    (0..3).for_each(|_| heartbeats(&mut play, &[1, 2], 1));
    assert_eq!(streams(&mut play), "");
    play
}

/// The trace lines about streams since the trace was last taken, with the test's own lines.
fn streams(play: &mut Play) -> String {
    let trace = play.take();
    let of_streams = trace.lines().filter(|line| !line.contains("Client(") && !line.contains("Node("));
    of_streams.map(|line| format!("{line}\n")).collect()
}

/// A new client sends a request: the first client may have been idle for too long.
fn ask(play: &mut Play, tag: u64, id: &str, more: &str) {
    let client = 100 + tag as u32;
    play.event(Event::Accepted(client, LOOPBACK));
    play.event(Event::Received(Peer::Client(client), &request(tag, "image", id, more)));
}

/// One second passes, and each of these connections delivers a heartbeat.
fn heartbeats(play: &mut Play, connections: &[u32], last: u64) {
    play.pass(1_000);
    connections.iter().for_each(|connection| play.log(*connection, &last.to_string()));
}

/// A purge at the time when `followed` returns, so that it agrees with the wall clock.
fn purge(seq: u64, object: &str) -> String {
    format!(r#"{{"seq":{seq},"invalidate":{{"object":"{object}","time":1764576004230}}}}"#)
}

fn leaving(seq: u64, node: &str, port: u16) -> String {
    format!(
        r#"{{"seq":{seq},"fleet":{{"servers":[{{"id":"{node}","addr":"127.0.0.1:{port}","zone":"east","kind":"box","state":"leaving"}}]}}}}"#
    )
}

/// Which nodes of the location are asked, over several requests.
fn asked_nodes(play: &mut Play) -> String {
    play.take();
    for tag in 0..6 {
        ask(play, tag, &format!("{tag:04x}"), &format!(",need=100,block={tag}"));
    }
    let trace = play.take();
    let is_asked = |port: &str| trace.contains(&format!("127.0.0.1:{port}"));
    format!("s-a {}, s-b {}", is_asked("6001"), is_asked("6002"))
}

#[test]
fn events_keep_arriving_while_one_lost_stream_reconnects_in_its_window() {
    let mut play = followed();
    play.event(Event::Closed(Peer::ChangeLog(1)));
    play.trace.push_str("no immediate reconnect\n");
    play.log(2, &purge(2, "7f3a"));
    assert_eq!(play.applied(), 2);
    play.pass(RECONNECT_WINDOW_MS);
    play.log(2, "2");
    play.trace.push_str("within the reconnect window\n");
    play.log(3, "2");
    heartbeats(&mut play, &[2, 3], 2);
    for connection in [3, 2] {
        play.log(connection, &purge(3, "7f3b"));
        assert_eq!(play.applied(), 3);
    }
    heartbeats(&mut play, &[2, 3], 3);
    play.trace.push_str("the other stream is silent\n");
    heartbeats(&mut play, &[3], 3);
    heartbeats(&mut play, &[3], 3);
    play.trace.push_str("for two seconds\n");
    play.log(3, &purge(4, "7f3c"));
    assert_eq!(play.applied(), 4);
    heartbeats(&mut play, &[3], 4);
    play.pass(RECONNECT_WINDOW_MS);
    expect![[r#"
        close ChangeLog(1)
        no immediate reconnect
        connect ChangeLog(3) 127.0.0.1:2382
        ChangeLog(3) <- since 2\n
        within the reconnect window
        the other stream is silent
        for two seconds
        connect ChangeLog(4) 127.0.0.1:2381
        ChangeLog(4) <- since 4\n
    "#]]
    .assert_eq(&streams(&mut play));
}

/// The reconnect in a trace, if there is one: its connection, and the event that it resumes from.
fn reconnect_in(trace: &str) -> Option<(u32, u64)> {
    let asked: Vec<_> = trace.lines().filter(|line| line.contains("since")).collect();
    let [line] = asked[..] else {
        assert!(asked.is_empty(), "one reconnect per window, {trace}");
        return None;
    };
    let connection = line["ChangeLog(".len()..].split(')').next().and_then(|n| n.parse().ok());
    let since = line.rsplit(' ').next().and_then(|n| n.trim_end_matches("\\n").parse().ok());
    Some((connection.expect("a number"), since.expect("a number")))
}

#[test]
fn streams_that_are_silent_in_turn_lose_no_event() {
    const STEP_MS: u64 = 50;
    let mut play = followed();
    let (mut connections, mut seq) = ([1, 2], 1);
    for turn in 0..6 {
        let (silent, active) = (turn % 2, 1 - turn % 2);
        let mut reconnect = None;
        for _ in 0..4 {
            seq += 1;
            play.log(connections[active], &purge(seq, "7f3a"));
            assert_eq!(play.applied(), seq, "turn {turn}");
            reconnect.into_iter().for_each(|connection| play.log(connection, &purge(seq, "7f3a")));
            for _ in 0..1_000 / STEP_MS {
                play.pass(STEP_MS);
                let trace = play.take();
                let Some((connection, since)) = reconnect_in(&trace) else { continue };
                assert_eq!(reconnect, None, "turn {turn}: one reconnect per window, {trace}");
                reconnect = Some(connection);
                assert!((seq - 4..=seq).contains(&since), "turn {turn}: {trace}");
                // The new stream repeats events that are already known; the silent stream stays open until then.
                (since + 1..=seq).for_each(|seq| play.log(connection, &purge(seq, "7f3a")));
                play.log(connection, &seq.to_string());
                assert_eq!(
                    streams(&mut play),
                    format!("close ChangeLog({})\n", connections[silent]),
                    "turn {turn}"
                );
            }
            let open_streams = [Some(connections[active]), reconnect];
            open_streams.into_iter().flatten().for_each(|connection| play.log(connection, &seq.to_string()));
        }
        connections[silent] = reconnect.unwrap_or_else(|| panic!("turn {turn}: no reconnect"));
        heartbeats(&mut play, &connections, seq);
        assert_eq!(streams(&mut play), "", "turn {turn}");
    }
    assert_eq!(play.applied(), seq);
}

#[test]
fn a_gap_on_one_stream_is_filled_by_the_other_before_later_events_apply() {
    let mut play = followed();
    play.log(1, &leaving(3, "s-b", 6002));
    assert_eq!((play.applied(), asked_nodes(&mut play).as_str()), (1, "s-a true, s-b true"));
    play.log(2, &leaving(2, "s-a", 6001));
    assert_eq!((play.applied(), asked_nodes(&mut play).as_str()), (3, "s-a false, s-b false"));
    play.log(2, &leaving(3, "s-b", 6002));
    heartbeats(&mut play, &[1, 2], 3);
    assert_eq!(streams(&mut play), "");
}

#[test]
fn a_gap_that_no_stream_fills_is_requested_once_more() {
    let mut play = followed();
    play.log(1, &purge(3, "7f3a"));
    play.pass(900);
    play.log(2, "1");
    assert_eq!((play.applied(), streams(&mut play).as_str()), (1, ""));
    // A gap is checked for every 250 ms.
    play.pass(350);
    assert_eq!(play.applied(), 1);
    play.trace.push_str("after a second\n");
    play.pass(RECONNECT_WINDOW_MS);
    play.log(2, "1");
    play.trace.push_str("within the reconnect window\n");
    // The same gap again: the other stream gets one more second to fill it, then the missing event counts as lost.
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
        within the reconnect window
    "#]]
    .assert_eq(&streams(&mut play));
}

#[test]
fn contradicting_events_with_one_number_both_apply() {
    let mut play = followed();
    play.log(1, &leaving(2, "s-a", 6001));
    play.log(2, &leaving(2, "s-b", 6002));
    assert_eq!(play.applied(), 2);
    let mut alone = followed();
    alone.log(1, &leaving(2, "s-a", 6001));
    alone.log(2, &leaving(2, "s-a", 6001));
    let mut trace = format!("one content: {}\n", asked_nodes(&mut alone));
    trace += &format!("two contents: {}\n", asked_nodes(&mut play));
    expect![[r#"
        one content: s-a false, s-b true
        two contents: s-a false, s-b false
    "#]]
    .assert_eq(&trace);
}

#[test]
fn of_a_contradicting_event_the_restricting_part_applies() {
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

/// The number of attempts of one request: two for a dispatcher without a lease (the floor), more for one with a
/// lease.
fn attempts(play: &mut Play) -> usize {
    play.take();
    ask(play, 7, "0001", ",need=100");
    (0..8).for_each(|_| play.node("0001 refused - 0"));
    play.take().matches("<- fetch").count()
}

#[test]
fn a_stream_that_is_behind_renews_no_lease() {
    // Event 2 arrives on one stream, which closes; for 3.1 s the other stream sends heartbeats with the number
    // `last`.
    let attempts_at_heartbeat = |last: u64| {
        let mut play = followed();
        play.log(1, &purge(2, "7f3a"));
        if last == 2 {
            play.log(2, &purge(2, "7f3a"));
        }
        play.event(Event::Closed(Peer::ChangeLog(1)));
        for _ in 0..2 {
            heartbeats(&mut play, &[2], last);
        }
        play.pass(1_100);
        attempts(&mut play)
    };
    assert_eq!(
        format!("caught up {}, behind {}", attempts_at_heartbeat(2), attempts_at_heartbeat(1)),
        "caught up 4, behind 2"
    );
}

#[test]
fn a_delayed_heartbeat_renews_no_lease() {
    // The heartbeats of one stream arrive each second, or are delayed by 1.9 s; the other stream is behind and not
    // delayed.
    let attempts_if_delayed = |delayed: bool| {
        let mut play = followed();
        play.log(1, &purge(2, "7f3a"));
        heartbeats(&mut play, &[2], 1);
        if !delayed {
            play.log(1, "2");
        }
        play.pass(900);
        play.log(2, "1");
        play.log(1, "2");
        if delayed {
            play.log(1, "2");
        }
        play.pass(1_200);
        attempts(&mut play)
    };
    assert_eq!(
        format!("in time {}, delayed {}", attempts_if_delayed(false), attempts_if_delayed(true)),
        "in time 4, delayed 2"
    );
}

#[test]
fn a_reload_keeps_the_stream_from_a_replica_that_stays_configured() {
    let mut play = followed();
    play.event(Event::Reload(&config(&[2381, 2382])));
    assert_eq!(streams(&mut play), "");
    play.event(Event::Reload(&config(&[2381, 2383])));
    play.trace.push_str("2383 instead of 2382\n");
    play.pass(RECONNECT_WINDOW_MS);
    ["1", "1"].iter().zip(2..).for_each(|(line, connection)| play.log(connection, line));
    for _ in 0..3 {
        heartbeats(&mut play, &[2, 3], 1);
    }
    play.log(2, &purge(2, "7f3a"));
    assert_eq!(play.applied(), 2);
    play.trace.push_str("one address again\n");
    play.event(Event::Reload(&Config::parse(CONFIG).expect("good")));
    play.trace.push_str("two replicas again\n");
    play.event(Event::Reload(&config(&[2381, 2382])));
    play.trace.push_str("in their slots of the reconnect window\n");
    play.pass(RECONNECT_WINDOW_MS);
    expect![[r#"
        close ChangeLog(1)
        2383 instead of 2382
        connect ChangeLog(3) 127.0.0.1:2383
        ChangeLog(3) <- since 1\n
        one address again
        close ChangeLog(3)
        connect ChangeLog(4) 127.0.0.1:2379
        ChangeLog(4) <- since 2\n
        close ChangeLog(2)
        two replicas again
        close ChangeLog(4)
        in their slots of the reconnect window
        connect ChangeLog(5) 127.0.0.1:2382
        ChangeLog(5) <- since 2\n
        connect ChangeLog(6) 127.0.0.1:2381
        ChangeLog(6) <- since 2\n
    "#]]
    .assert_eq(&streams(&mut play));
}

#[test]
fn a_restarted_log_is_read_from_its_first_event_by_both_streams() {
    let mut play = followed();
    play.log(1, &purge(2, "7f3a"));
    play.log(2, &purge(2, "7f3a"));
    heartbeats(&mut play, &[1, 2], 2);
    // For two seconds the earlier heartbeats of both streams still confirm event 2; after that each stream sends a
    // lower number three times.
    for _ in 0..4 {
        heartbeats(&mut play, &[1, 2], 1);
    }
    assert_eq!((play.applied(), streams(&mut play).as_str()), (2, ""));
    heartbeats(&mut play, &[1, 2], 1);
    assert_eq!(play.applied(), 0);
    play.trace.push_str("no immediate reconnect\n");
    play.pass(RECONNECT_WINDOW_MS);
    expect![[r#"
        close ChangeLog(2)
        close ChangeLog(1)
        no immediate reconnect
        connect ChangeLog(3) 127.0.0.1:2382
        ChangeLog(3) <- since 0\n
        connect ChangeLog(4) 127.0.0.1:2381
        ChangeLog(4) <- since 0\n
    "#]]
    .assert_eq(&streams(&mut play));
    play.log(3, &purge(1, "7f3a"));
    assert_eq!(play.applied(), 1);
}
