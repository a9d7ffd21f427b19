//! Versioned rules: which version a dispatcher applies, checked by the attempts that it sends.

use crate::common::{CONFIG, Play, request};
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Event, Peer};
use copperroute_settings::operator::OperatorFile;
use expect_test::expect;
use serde_json::{Value, json};
use std::fmt::Write as _;

/// Unix time in milliseconds at the start of a scenario.
const START_MS: u64 = 1_764_576_000_000;

fn config() -> Config {
    let operator = json!({"agreement": {"lease_s": 3, "floor": {"max_pulls": 2, "types": {"image": {"expiry_s": 0.5}}}}});
    let mut config = Config::parse(CONFIG).expect("a valid configuration");
    config.agreement = config
        .agreeing(&OperatorFile::parse(&operator.to_string()).expect("valid operator settings"))
        .expect("valid operator settings");
    config
}

fn version(seq: u64, version: u64, after: &str, at_ms: u64, ahead_ms: u64, rules: Value) -> String {
    json!({"seq": seq, "rules": {"version": version, "after": after, "issuer": "ops",
        "issued_ms": START_MS + at_ms, "from_ms": START_MS + at_ms + ahead_ms, "rules": rules}})
    .to_string()
}

/// Sends 12 requests, half of which every node refuses; returns the largest number of attempts for one of them.
fn max_attempts_per_request(play: &mut Play, batch: u8) -> usize {
    let mut most = 0;
    for number in 0..12 {
        play.take();
        let id = format!("{batch:02x}{number:02x}");
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

/// Delivers `count` heartbeats of the change log with the sequence number `last`, one per second.
fn heartbeats(play: &mut Play, count: u64, last: u64) {
    for _ in 0..count {
        play.pass(1_000);
        play.log(1, &last.to_string());
    }
}

#[test]
fn a_disconnected_dispatcher_limits_attempts_to_the_floor() {
    let mut play = Play::with(config());
    let mut trace = String::new();
    let _ = writeln!(trace, "before the first heartbeat: {}", max_attempts_per_request(&mut play, 1));
    heartbeats(&mut play, 2, 1);
    let _ = writeln!(trace, "connected: {}", max_attempts_per_request(&mut play, 2));
    heartbeats(&mut play, 1, 1);
    play.pass(3_100);
    let _ = writeln!(trace, "3.1 s after the last heartbeat: {}", max_attempts_per_request(&mut play, 3));
    expect![[r#"
        before the first heartbeat: 2
        connected: 3
        3.1 s after the last heartbeat: 2
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_version_tightens_at_once_and_loosens_at_its_activation_time() {
    let mut play = Play::with(config());
    let mut trace = String::new();
    heartbeats(&mut play, 2, 1);
    let first = version(2, 1, "", 2_000, 4_000, json!({"max_pulls": 2}));
    let delivered: Value = serde_json::from_str(&first).expect("JSON");
    let digest = IssuedVersion::from_value(&delivered["rules"]).expect("a version").digest();
    play.log(1, &first);
    play.log(1, &version(3, 2, &format_digest(1, digest), 2_000, 4_500, json!({"max_pulls": 6})));
    play.log(1, "3");
    let _ = writeln!(trace, "tightened: {}", max_attempts_per_request(&mut play, 1));
    heartbeats(&mut play, 5, 3);
    let _ = writeln!(trace, "loosened: {}", max_attempts_per_request(&mut play, 2));
    expect![[r#"
        tightened: 2
        loosened: 3
    "#]]
    .assert_eq(&trace);
}

#[test]
fn an_older_node_list_undoes_no_drain_and_a_restarted_change_log_is_asked_for_a_snapshot() {
    let listed = |version: u64, state: &str| {
        format!(
            r#""fleet":{{"version":{version},"servers":[{{"id":"s-a","addr":"127.0.0.1:6001","zone":"east","kind":"box","state":"{state}"}}]}}"#
        )
    };
    let mut play = Play::with(config());
    heartbeats(&mut play, 2, 1);
    play.log(1, &format!(r#"{{"seq":2,{}}}"#, listed(9, "leaving")));
    play.log(1, &format!(r#"{{"seq":3,{}}}"#, listed(8, "active")));
    play.take();
    for id in 0..6 {
        play.client(&request(id, "image", &format!("{id:04x}"), &format!(",need=100,block={id}")));
    }
    assert!(!play.take().contains(":6001"), "the older node list undid the drain");
    // The change log restarts with a lower sequence number: after three such heartbeats a snapshot is requested.
    for _ in 0..3 {
        play.pass(1_000);
        play.log(1, "1");
    }
    play.pass(1_000);
    assert!(play.take().contains("ChangeLog(2) <- since 0"));
}

#[test]
fn a_request_admitted_under_stricter_rules_keeps_them() {
    let mut play = Play::with(config());
    play.client(&request(7, "image", "0001", ",need=100"));
    // Connected from here on: new requests may take six attempts, but this one keeps its limit.
    heartbeats(&mut play, 1, 1);
    for _ in 0..8 {
        play.node("0001 refused - 0");
    }
    assert!(play.take().matches("<- fetch").count() <= 2);
    play.event(Event::Closed(Peer::ChangeLog(1)));
}
