//! The limits on followers, and what slow followers are sent.

use crate::common::{Player, at, config, list, purge, secs};
use copperroute_change_log_replica::config::Config;
use copperroute_change_log_replica::core::{Core, Effect, Event, StreamId};
use copperroute_change_log_replica::followers::{FollowerEffect, FollowerId};
use copperroute_change_log_replica::retention::RetentionSettings;
use expect_test::expect;

/// A replica that is current at event `upto` since second 1, with a changed configuration.
fn current(upto: u64, change: impl Fn(&mut Config)) -> Player {
    let mut config = config(&[]);
    change(&mut config);
    let mut player = Player::new(&config);
    player.connected(0.6);
    let mut lines = vec![list(1)];
    lines.extend((2..=upto).map(purge));
    lines.push(upto.to_string());
    let lines: Vec<_> = lines.iter().map(String::as_str).collect();
    player.source_sends(1.0, &lines);
    player.take_trace();
    player
}

#[test]
fn a_connection_over_a_limit_is_closed_without_a_line() {
    let mut player = current(2, |config| {
        config.followers.most = 2;
        config.followers.calls_per_s = 3.0;
    });
    for id in 1..=4 {
        player.handle(1.1, Event::FollowerConnected(FollowerId(id)));
    }
    player.handle(1.2, Event::FollowerEnded(FollowerId(1)));
    // A third of a second allows one more connection.
    player.handle(1.5, Event::FollowerConnected(FollowerId(5)));
    expect![[r#"
        1.10 close f3
        1.10 close f4
    "#]]
    .assert_eq(&player.take_trace());
    assert_eq!(player.core.followers(), 2);
}

#[test]
fn a_follower_with_an_unreadable_or_late_request_is_closed() {
    let mut player = current(2, |_| {});
    player.handle(1.1, Event::FollowerConnected(FollowerId(1)));
    player.handle(1.2, Event::FollowerSent(FollowerId(1), b"GET / HTTP/1.1\r\n"));
    player.source_sends(2.0, &["2"]);
    player.handle(2.1, Event::FollowerConnected(FollowerId(2)));
    player.handle(2.2, Event::FollowerSent(FollowerId(2), b"since "));
    player.source_sends(3.0, &["2"]);
    player.source_sends(4.0, &["2"]);
    player.handle(4.2, Event::Tick);
    expect![[r#"
        1.20 close f1
        4.20 close f2
    "#]]
    .assert_eq(&player.take_trace());
}

#[test]
fn a_follower_that_needs_a_snapshot_is_closed_if_there_is_none() {
    let mut player = Player::new(&config(&[]));
    player.connected(0.0);
    // The first event of this change log is not a node list.
    player.source_sends(0.5, &[&purge(1), &purge(2), "2"]);
    player.follower(0.6, 1, 0);
    assert!(player.take_trace().ends_with("0.60 to f1: purge 1, purge 2\n"), "nothing is forgotten");
    let mut short = current(2, |_| {});
    short.follower(1.1, 1, 0);
    assert_eq!(short.take_trace(), "1.10 to f1: list 1 of [s-0], purge 2\n");
    let mut config = config(&[]);
    config.retention = RetentionSettings { max_age: secs(3600.0), bytes: 300 };
    let mut none = Player::new(&config);
    none.connected(0.0);
    none.source_sends(0.5, &[&purge(1), &purge(2), &purge(3), &purge(4), "4"]);
    none.take_trace();
    none.follower(0.6, 1, 0);
    none.follower(0.7, 2, 3);
    assert_eq!(none.take_trace(), "0.60 close f1\n0.70 to f2: purge 4\n");
}

#[test]
fn a_follower_whose_next_event_was_evicted_begins_with_a_snapshot() {
    let mut player =
        current(40, |config| config.retention = RetentionSettings { max_age: secs(3600.0), bytes: 600 });
    player.follower(1.1, 1, 0);
    player.follower(1.2, 2, 20);
    player.follower(1.3, 3, 38);
    expect![[r#"
        1.10 to f1: list 35 of [s-0]
        1.10 to f1: purge 36, purge 37, purge 38, purge 39, purge 40
        1.20 to f2: list 35 of [s-0]
        1.20 to f2: purge 36, purge 37, purge 38, purge 39, purge 40
        1.30 to f3: purge 39, purge 40
    "#]]
    .assert_eq(&player.take_trace());
}

/// A core with a follower that accepts bytes only when the test says so.
struct SlowFollower {
    core: Core,
    unsent: usize,
    received: String,
    closed: Option<f64>,
}

impl SlowFollower {
    fn handle(&mut self, secs: f64, event: Event<'_>) {
        for effect in self.core.handle(at(secs), event) {
            match effect {
                Effect::Follower(FollowerEffect::Write(_, bytes)) => {
                    self.unsent += bytes.len();
                    self.received += &String::from_utf8_lossy(&bytes);
                }
                Effect::Follower(FollowerEffect::Close(_)) => self.closed = Some(secs),
                _ => {}
            }
        }
        self.core.check_invariants(at(secs)).expect("the invariants hold");
    }

    fn source_sends(&mut self, secs: f64, text: &str) {
        self.handle(secs, Event::SourceSent(StreamId(1), format!("{text}\n").as_bytes()));
    }

    fn takes(&mut self, secs: f64, bytes: usize) {
        let bytes = bytes.min(self.unsent);
        self.unsent -= bytes;
        self.handle(secs, Event::FollowerWritten(FollowerId(1), bytes));
    }

    fn start(retention: usize) -> SlowFollower {
        let mut config = config(&[]);
        config.retention.bytes = retention;
        let core = Core::new(&config, 1, 0);
        let mut slow = SlowFollower { core, unsent: 0, received: String::new(), closed: None };
        slow.handle(0.0, Event::Tick);
        slow.handle(0.0, Event::SourceConnected(StreamId(1)));
        slow.source_sends(0.1, &format!("{}\n1", list(1)));
        slow.handle(0.2, Event::FollowerConnected(FollowerId(1)));
        slow.handle(0.2, Event::FollowerSent(FollowerId(1), b"since 1\n"));
        slow
    }
}

#[test]
fn a_follower_that_accepts_no_bytes_is_closed_after_two_seconds() {
    let mut slow = SlowFollower::start(1_000_000);
    slow.source_sends(1.0, &format!("{}\n2", purge(2)));
    slow.source_sends(2.0, "2");
    slow.source_sends(2.9, "2");
    assert_eq!(slow.closed, None);
    slow.handle(3.1, Event::Tick);
    assert_eq!(slow.closed, Some(3.1));
    assert_eq!(
        slow.received,
        format!("{}\n2\n", purge(2)),
        "no later heartbeat behind bytes that had not left"
    );
}

#[test]
fn a_slow_follower_has_bounded_waiting_bytes_and_gets_all_events_in_order_without_heartbeats() {
    let mut slow = SlowFollower::start(1_000_000);
    let mut seq = 1;
    for tenth in 0..50 {
        let now = 0.3 + f64::from(tenth) / 10.0;
        for _ in 0..10 {
            seq += 1;
            slow.source_sends(now, &purge(seq));
        }
        slow.source_sends(now + 0.05, &seq.to_string());
        // The follower accepts fewer bytes than are sent.
        slow.takes(now + 0.06, 300);
        assert!(slow.unsent <= 4_096 + 2_048 + 200, "{} bytes wait", slow.unsent);
    }
    assert!(
        !slow.received.lines().any(|line| line.parse::<u64>().is_ok()),
        "no heartbeat while it is behind"
    );
    let mut now = 6.0;
    while slow.unsent > 0 {
        now += 0.02;
        slow.takes(now, 4_000);
    }
    let sent: Vec<_> = slow.received.lines().map(str::to_string).collect();
    assert_eq!(sent, (2..=seq).map(purge).collect::<Vec<_>>());
    slow.source_sends(6.3, &seq.to_string());
    assert!(slow.received.ends_with(&format!("\n{seq}\n")), "then a heartbeat again");
    assert_eq!(slow.closed, None);
}

#[test]
fn a_follower_whose_next_event_is_evicted_is_closed_after_correct_events_only() {
    let mut slow = SlowFollower::start(8_000);
    for seq in 2..=400 {
        let now = 0.3 + seq as f64 / 200.0;
        slow.source_sends(now, &purge(seq));
        slow.takes(now, 10);
        if slow.closed.is_some() {
            break;
        }
    }
    assert!(slow.closed.is_some());
    let sent: Vec<_> = slow.received.lines().map(str::to_string).collect();
    assert_eq!(sent, (2..2 + sent.len() as u64).map(purge).collect::<Vec<_>>());
}

#[test]
fn followers_that_catch_up_share_the_rate_and_each_gets_a_line_a_second() {
    let mut config = config(&[]);
    config.followers.most = 100;
    config.followers.calls_per_s = 1_000.0;
    config.followers.catch_up_bytes_per_s = 100.0 * 2_048.0;
    let mut player = Player::new(&config);
    player.connected(0.0);
    let mut lines = vec![list(1)];
    lines.extend((2..=2_000).map(purge));
    lines.push("2000".into());
    player.source_sends(0.5, &lines.iter().map(String::as_str).collect::<Vec<_>>());
    for id in 1..=100 {
        player.follower(0.6, id, 1);
    }
    let mut bytes = 0;
    let mut last = vec![0.6; 101];
    let mut longest: f64 = 0.0;
    player.take_trace();
    for tick in 0..200 {
        let now = 0.6 + f64::from(tick) / 100.0;
        for effect in player.core.handle(at(now), Event::Tick) {
            if let Effect::Follower(FollowerEffect::Write(id, sent)) = effect {
                bytes += sent.len();
                longest = longest.max(now - last[id.0 as usize]);
                last[id.0 as usize] = now;
                player.core.handle(at(now), Event::FollowerWritten(id, sent.len()));
            }
        }
        if tick % 50 == 0 {
            player.source_sends(now, &["2000"]);
        }
    }
    // Two seconds of the rate, with the burst of a tenth of a second and one line more.
    let rate = config.followers.catch_up_bytes_per_s;
    assert!((bytes as f64) < 2.2 * rate, "{bytes} bytes at {rate} a second");
    assert!((bytes as f64) > 1.7 * rate, "{bytes} bytes at {rate} a second");
    assert!(longest < 1.2, "a follower got nothing for {longest:.2} s");
}
