//! What is borne of followers, and what slow ones are told.

use crate::common::{Player, at, config, list, purge, secs};
use copperroute_change_log_replica::config::Config;
use copperroute_change_log_replica::core::{Core, Effect, Event, StreamId};
use copperroute_change_log_replica::followers::{FollowerId, ForFollower};
use copperroute_change_log_replica::retention::RetentionSettings;
use expect_test::expect;

/// Current at an event of this number since second 1, with a config changed.
fn current(upto: u64, change: impl Fn(&mut Config)) -> Player {
    let mut config = config(&[]);
    change(&mut config);
    let mut player = Player::new(&config);
    player.connected(0.6);
    let mut lines = vec![list(1)];
    lines.extend((2..=upto).map(purge));
    lines.push(upto.to_string());
    let lines: Vec<_> = lines.iter().map(String::as_str).collect();
    player.told(1.0, &lines);
    player.said();
    player
}

#[test]
fn over_the_most_followers_or_calls_a_second_a_call_is_closed_without_a_line() {
    let mut player = current(2, |config| {
        config.followers.most = 2;
        config.followers.calls_per_s = 3.0;
    });
    for id in 1..=4 {
        player.hand(1.1, Event::FollowerCame(FollowerId(id)));
    }
    player.hand(1.2, Event::FollowerEnded(FollowerId(1)));
    // A third of a second brings one call more.
    player.hand(1.5, Event::FollowerCame(FollowerId(5)));
    expect![[r#"
        1.10 close f3
        1.10 close f4
    "#]]
    .assert_eq(&player.said());
    assert_eq!(player.core.followers(), 2);
}

#[test]
fn who_asks_for_nothing_that_can_be_read_or_for_nothing_in_time_is_closed() {
    let mut player = current(2, |_| {});
    player.hand(1.1, Event::FollowerCame(FollowerId(1)));
    player.hand(1.2, Event::FollowerSent(FollowerId(1), b"GET / HTTP/1.1\r\n"));
    player.told(2.0, &["2"]);
    player.hand(2.1, Event::FollowerCame(FollowerId(2)));
    player.hand(2.2, Event::FollowerSent(FollowerId(2), b"since "));
    player.told(3.0, &["2"]);
    player.told(4.0, &["2"]);
    player.hand(4.2, Event::Tick);
    expect![[r#"
        1.20 close f1
        4.20 close f2
    "#]]
    .assert_eq(&player.said());
}

#[test]
fn without_a_whole_list_who_needs_one_is_closed() {
    let mut player = Player::new(&config(&[]));
    player.connected(0.0);
    // The first event of this log is no list.
    player.told(0.5, &[&purge(1), &purge(2), "2"]);
    player.follower(0.6, 1, 0);
    assert!(player.said().ends_with("0.60 to f1: purge 1, purge 2\n"), "nothing is forgotten");
    let mut short = current(2, |_| {});
    short.follower(1.1, 1, 0);
    assert_eq!(short.said(), "1.10 to f1: list 1 of [s-0], purge 2\n");
    let mut config = config(&[]);
    config.retention = RetentionSettings { span: secs(3600.0), bytes: 300 };
    let mut none = Player::new(&config);
    none.connected(0.0);
    none.told(0.5, &[&purge(1), &purge(2), &purge(3), &purge(4), "4"]);
    none.said();
    none.follower(0.6, 1, 0);
    none.follower(0.7, 2, 3);
    assert_eq!(none.said(), "0.60 close f1\n0.70 to f2: purge 4\n");
}

#[test]
fn who_is_behind_the_retention_begins_with_a_whole_list() {
    let mut player =
        current(40, |config| config.retention = RetentionSettings { span: secs(3600.0), bytes: 600 });
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
    .assert_eq(&player.said());
}

/// A core with a follower that takes nothing of what it is sent unless told to.
struct Slow {
    core: Core,
    unsent: usize,
    told: String,
    closed: Option<f64>,
}

impl Slow {
    fn hand(&mut self, secs: f64, event: Event<'_>) {
        for effect in self.core.handle(at(secs), event) {
            match effect {
                Effect::Follower(ForFollower::Write(_, bytes)) => {
                    self.unsent += bytes.len();
                    self.told += &String::from_utf8_lossy(&bytes);
                }
                Effect::Follower(ForFollower::Close(_)) => self.closed = Some(secs),
                _ => {}
            }
        }
        self.core.holds(at(secs)).expect("the invariants hold");
    }

    fn told(&mut self, secs: f64, text: &str) {
        self.hand(secs, Event::SourceTold(StreamId(1), format!("{text}\n").as_bytes()));
    }

    fn takes(&mut self, secs: f64, bytes: usize) {
        let bytes = bytes.min(self.unsent);
        self.unsent -= bytes;
        self.hand(secs, Event::FollowerTook(FollowerId(1), bytes));
    }

    fn start(retention: usize) -> Slow {
        let mut config = config(&[]);
        config.retention.bytes = retention;
        let core = Core::new(&config, 1, 0);
        let mut slow = Slow { core, unsent: 0, told: String::new(), closed: None };
        slow.hand(0.0, Event::Tick);
        slow.hand(0.0, Event::SourceConnected(StreamId(1)));
        slow.told(0.1, &format!("{}\n1", list(1)));
        slow.hand(0.2, Event::FollowerCame(FollowerId(1)));
        slow.hand(0.2, Event::FollowerSent(FollowerId(1), b"since 1\n"));
        slow
    }
}

#[test]
fn a_follower_that_takes_nothing_is_ended_after_two_seconds() {
    let mut slow = Slow::start(1_000_000);
    slow.told(1.0, &format!("{}\n2", purge(2)));
    slow.told(2.0, "2");
    slow.told(2.9, "2");
    assert_eq!(slow.closed, None);
    slow.hand(3.1, Event::Tick);
    assert_eq!(slow.closed, Some(3.1));
    assert_eq!(slow.told, format!("{}\n2\n", purge(2)), "no later heartbeat behind bytes that had not left");
}

#[test]
fn what_waits_for_a_slow_follower_is_bounded_and_it_hears_all_of_it_in_order_without_heartbeats() {
    let mut slow = Slow::start(1_000_000);
    let mut seq = 1;
    for tenth in 0..50 {
        let now = 0.3 + f64::from(tenth) / 10.0;
        for _ in 0..10 {
            seq += 1;
            slow.told(now, &purge(seq));
        }
        slow.told(now + 0.05, &seq.to_string());
        // It takes less than comes.
        slow.takes(now + 0.06, 300);
        assert!(slow.unsent <= 4_096 + 2_048 + 200, "{} bytes wait", slow.unsent);
    }
    assert!(!slow.told.lines().any(|line| line.parse::<u64>().is_ok()), "no heartbeat while it is behind");
    let mut now = 6.0;
    while slow.unsent > 0 {
        now += 0.02;
        slow.takes(now, 4_000);
    }
    let told: Vec<_> = slow.told.lines().map(str::to_string).collect();
    assert_eq!(told, (2..=seq).map(purge).collect::<Vec<_>>());
    slow.told(6.3, &seq.to_string());
    assert!(slow.told.ends_with(&format!("\n{seq}\n")), "then a heartbeat again");
    assert_eq!(slow.closed, None);
}

#[test]
fn a_follower_that_falls_behind_what_is_held_is_ended_and_told_nothing_wrong() {
    let mut slow = Slow::start(8_000);
    for seq in 2..=400 {
        let now = 0.3 + seq as f64 / 200.0;
        slow.told(now, &purge(seq));
        slow.takes(now, 10);
        if slow.closed.is_some() {
            break;
        }
    }
    assert!(slow.closed.is_some());
    let told: Vec<_> = slow.told.lines().map(str::to_string).collect();
    assert_eq!(told, (2..2 + told.len() as u64).map(purge).collect::<Vec<_>>());
}

#[test]
fn those_who_are_behind_share_the_rate_and_each_hears_a_line_a_second() {
    let mut config = config(&[]);
    config.followers.most = 100;
    config.followers.calls_per_s = 1_000.0;
    config.followers.catch_up_bytes_per_s = 100.0 * 2_048.0;
    let mut player = Player::new(&config);
    player.connected(0.0);
    let mut lines = vec![list(1)];
    lines.extend((2..=2_000).map(purge));
    lines.push("2000".into());
    player.told(0.5, &lines.iter().map(String::as_str).collect::<Vec<_>>());
    for id in 1..=100 {
        player.follower(0.6, id, 1);
    }
    let mut bytes = 0;
    let mut last = vec![0.6; 101];
    let mut longest: f64 = 0.0;
    player.said();
    for tick in 0..200 {
        let now = 0.6 + f64::from(tick) / 100.0;
        for effect in player.core.handle(at(now), Event::Tick) {
            if let Effect::Follower(ForFollower::Write(id, told)) = effect {
                bytes += told.len();
                longest = longest.max(now - last[id.0 as usize]);
                last[id.0 as usize] = now;
                player.core.handle(at(now), Event::FollowerTook(id, told.len()));
            }
        }
        if tick % 50 == 0 {
            player.told(now, &["2000"]);
        }
    }
    // In two seconds, with a tenth saved and a line over.
    let rate = config.followers.catch_up_bytes_per_s;
    assert!((bytes as f64) < 2.2 * rate, "{bytes} bytes at {rate} a second");
    assert!((bytes as f64) > 1.7 * rate, "{bytes} bytes at {rate} a second");
    assert!(longest < 1.2, "one heard nothing for {longest:.2} s");
}
