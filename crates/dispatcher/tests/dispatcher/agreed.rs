//! Rules with versions: which a dispatcher acts on, seen from its connections.

use crate::common::{CONFIG, Play, request};
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_settings::operator::OperatorFile;
use expect_test::expect;
use serde_json::{Value, json};
use std::fmt::Write as _;

/// What the clock of a play shows at its start.
const START_MS: u64 = 1_764_576_000_000;

fn config() -> Config {
    let operator = json!({"agreement": {"lease_s": 3, "floor": {"max_pulls": 2, "types": {"image": {"expiry_s": 0.5}}}}});
    let mut config = Config::parse(CONFIG).expect("a good configuration");
    config.agreement =
        config.agreeing(&OperatorFile::parse(&operator.to_string()).expect("good")).expect("good");
    config
}

fn version(seq: u64, version: u64, after: &str, at_ms: u64, ahead_ms: u64, rules: Value) -> String {
    json!({"seq": seq, "rules": {"version": version, "after": after, "issuer": "ops",
        "issued_ms": START_MS + at_ms, "from_ms": START_MS + at_ms + ahead_ms, "rules": rules}})
    .to_string()
}

/// The most attempts that one of several requests takes whose nodes refuse, beside others that are served.
fn attempts(play: &mut Play, round: u8) -> usize {
    let mut most = 0;
    for number in 0..12 {
        play.take();
        let id = format!("{round:02x}{number:02x}");
        play.client(&request(7, "image", &id, &format!(",need=100,block={number}")));
        for _ in 0..8 {
            play.node(&if number % 2 == 0 {
                format!("{id} ok why=local 4")
            } else {
                format!("{id} refused - 0")
            });
        }
        play.pass(10);
        most = most.max(play.take().matches("<- fetch").count());
    }
    most
}

/// Lines of the change log, a second apart.
fn lines(play: &mut Play, count: u64, last: u64) {
    for _ in 0..count {
        play.pass(1_000);
        play.log(1, &last.to_string());
    }
}

#[test]
fn out_of_touch_a_download_takes_no_more_pulls_than_the_floor_allows() {
    let mut play = Play::with(config());
    let mut trace = String::new();
    let _ = writeln!(trace, "before anything is heard: {}", attempts(&mut play, 1));
    lines(&mut play, 2, 1);
    let _ = writeln!(trace, "in touch: {}", attempts(&mut play, 2));
    lines(&mut play, 1, 1);
    play.pass(3_100);
    let _ = writeln!(trace, "after 3.1 s of silence: {}", attempts(&mut play, 3));
    expect![[r#"
        before anything is heard: 2
        in touch: 3
        after 3.1 s of silence: 2
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_version_tightens_at_once_and_loosens_at_its_moment() {
    let mut play = Play::with(config());
    let mut trace = String::new();
    lines(&mut play, 2, 1);
    let first = version(2, 1, "", 2_000, 4_000, json!({"max_pulls": 2}));
    let told: Value = serde_json::from_str(&first).expect("JSON");
    let digest = IssuedVersion::from_value(&told["rules"]).expect("a version").digest();
    play.log(1, &first);
    play.log(1, &version(3, 2, &format_digest(1, digest), 2_000, 4_500, json!({"max_pulls": 6})));
    play.log(1, "3");
    let _ = writeln!(trace, "tightened: {}", attempts(&mut play, 1));
    lines(&mut play, 5, 3);
    let _ = writeln!(trace, "loosened: {}", attempts(&mut play, 2));
    expect![[r#"
        tightened: 2
        loosened: 3
    "#]]
    .assert_eq(&trace);
}

#[test]
fn an_older_list_undoes_no_drain_and_a_service_that_begins_anew_is_asked_for_all() {
    let listed = |version: u64, state: &str| {
        format!(
            r#""fleet":{{"version":{version},"servers":[{{"id":"s-a","addr":"127.0.0.1:6001","zone":"east","kind":"box","state":"{state}"}}]}}"#
        )
    };
    let mut play = Play::with(config());
    lines(&mut play, 2, 1);
    play.log(1, &format!(r#"{{"seq":2,{}}}"#, listed(9, "leaving")));
    play.log(1, &format!(r#"{{"seq":3,{}}}"#, listed(8, "active")));
    play.take();
    for id in 0..6 {
        play.client(&request(id, "image", &format!("{id:04x}"), &format!(",need=100,block={id}")));
    }
    assert!(!play.take().contains(":6001"), "the list that drains is the later one");
    // It forgets its past: after three lines all is asked for.
    for _ in 0..3 {
        play.pass(1_000);
        play.log(1, "1");
    }
    play.pass(1_000);
    assert!(play.take().contains("ChangeLog(2) <- since 0"));
}

#[test]
fn what_was_taken_under_stricter_rules_stays_under_them() {
    let mut play = Play::with(config());
    play.client(&request(7, "image", "0001", ",need=100"));
    // In touch from here on: six attempts are allowed again, but not to this one.
    lines(&mut play, 1, 1);
    for _ in 0..8 {
        play.node("0001 refused - 0");
    }
    assert!(play.take().matches("<- fetch").count() <= 2);
    play.event(Event::Closed(Peer::ChangeLog(1)));
}
