//! Which rules one dispatcher applies, as printed traces.

use crate::common::{TIMING, dispatcher, issue, ms, object};
use copperroute_config_rollout::agreement::Agreement;
use copperroute_config_rollout::faults::Faults;
use copperroute_config_rollout::rules::Field;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use copperroute_routing::interface::Nanos;
use expect_test::expect;
use serde_json::json;
use std::fmt::Write as _;

/// A dispatcher that a test drives. Its wall clock shows `now_ms` plus `off_ms`; `trace` has a line for each change.
struct Scenario {
    core: Agreement,
    now_ms: u64,
    off_ms: i64,
    trace: String,
}

/// The rule `max_pulls`: the most attempts of a request.
const MAX_PULLS: Field = Field::Fleet(0);

impl Scenario {
    fn new() -> Scenario {
        Scenario {
            core: dispatcher(TIMING, Faults::default()),
            now_ms: 100_000,
            off_ms: 0,
            trace: String::new(),
        }
    }

    fn now(&self) -> Nanos {
        ms(self.now_ms)
    }

    fn unix_ms(&self) -> u64 {
        self.now_ms.saturating_add_signed(self.off_ms)
    }

    fn update(&mut self) {
        if self.core.update(self.now(), self.unix_ms()) {
            let state =
                self.core.out_of_touch().map_or("in touch".to_string(), |why| format!("out of touch, {why}"));
            let (version, attempts) =
                (self.core.in_force().number, self.core.effective_rules().get(MAX_PULLS));
            let _ = writeln!(
                self.trace,
                "{:.1} s: version {version}, {state}, {attempts} pulls",
                self.now_ms as f64 / 1e3
            );
        }
    }

    /// A heartbeat arrives each second, for `for_ms`.
    fn with_heartbeats(&mut self, for_ms: u64) {
        let until = self.now_ms + for_ms;
        while self.now_ms < until {
            self.now_ms += 100;
            if self.now_ms.is_multiple_of(1_000) {
                self.core.heartbeat_received(self.now(), true);
            }
            self.update();
        }
    }

    /// Nothing arrives for `for_ms`; the dispatcher makes a decision every 100 ms.
    fn without_heartbeats(&mut self, for_ms: u64) {
        let until = self.now_ms + for_ms;
        while self.now_ms < until {
            self.now_ms += 100;
            self.update();
        }
    }

    fn receive(&mut self, issue: &IssuedVersion) {
        if let Err(why) = self.core.version_received(self.now(), self.unix_ms(), issue) {
            let _ = writeln!(self.trace, "{:.1} s: refused: {why}", self.now_ms as f64 / 1e3);
        }
        self.update();
    }

    /// The next version, issued now, with its activation time `ahead_ms` later.
    fn next(&self, ahead_ms: u64, attempts: u64) -> IssuedVersion {
        let (_, last) = self.core.pending_versions();
        let digest = if last == self.core.in_force().number { self.core.in_force().digest } else { 0 };
        let after = format_digest(last, digest);
        issue(last + 1, &after, self.now_ms, self.now_ms + ahead_ms, json!({ "max_pulls": attempts }))
    }
}

/// A dispatcher in touch.
fn in_touch() -> Scenario {
    let mut scenario = Scenario::new();
    scenario.with_heartbeats(3_000);
    scenario.trace.clear();
    scenario
}

#[test]
fn a_lease_is_renewed_by_heartbeats_and_checked_at_each_decision() {
    let mut scenario = Scenario::new();
    scenario.update();
    scenario.with_heartbeats(4_000);
    scenario.without_heartbeats(5_000);
    scenario.with_heartbeats(3_000);
    // The process is stopped for 5 s and makes no decision until it goes on.
    scenario.now_ms += 5_000;
    scenario.update();
    expect![[r#"
        100.0 s: version 0, out of touch, nothing received since the start, 2 pulls
        102.0 s: version 0, in touch, 6 pulls
        107.0 s: version 0, out of touch, lease lapsed, 2 pulls
        111.0 s: version 0, in touch, 6 pulls
        117.0 s: version 0, out of touch, lease lapsed, 2 pulls
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn a_tightened_rule_applies_at_once_and_a_loosened_one_at_its_activation_time() {
    let mut scenario = in_touch();
    let tight = scenario.next(4_000, 3);
    scenario.receive(&tight);
    scenario.with_heartbeats(6_000);
    let loose = scenario.next(4_000, 5);
    scenario.receive(&loose);
    scenario.with_heartbeats(6_000);
    expect![[r#"
        103.0 s: version 0, in touch, 3 pulls
        107.0 s: version 1, in touch, 3 pulls
        109.0 s: version 1, in touch, 3 pulls
        113.0 s: version 2, in touch, 5 pulls
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn a_dispatcher_that_missed_a_version_applies_the_floor_before_its_activation_time() {
    let mut scenario = in_touch();
    let tight = scenario.next(3_750, 3);
    scenario.without_heartbeats(6_000);
    scenario.core.request_sent(scenario.now());
    scenario.receive(&tight);
    scenario.core.heartbeat_received(scenario.now(), true);
    scenario.update();
    expect![[r#"
        106.0 s: version 0, out of touch, lease lapsed, 2 pulls
        109.0 s: version 1, out of touch, lease lapsed, 2 pulls
        109.0 s: version 1, in touch, 3 pulls
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn heartbeats_that_waited_in_a_queue_do_not_renew_the_lease() {
    let mut scenario = in_touch();
    scenario.now_ms += 6_000;
    for _ in 0..5 {
        scenario.core.heartbeat_received(scenario.now(), true);
        scenario.update();
    }
    scenario.with_heartbeats(2_000);
    expect![[r#"
        109.0 s: version 0, out of touch, lease lapsed, 2 pulls
        110.0 s: version 0, in touch, 6 pulls
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn versions_issued_faster_than_a_lease_all_apply_until_the_last_is_active() {
    let mut scenario = in_touch();
    let (mut last, mut after) = (0, String::new());
    for attempts in [5, 3, 6, 4, 6, 6, 6, 6, 6, 6, 6] {
        let next = issue(
            last + 1,
            &after,
            scenario.now_ms,
            scenario.now_ms + 4_000,
            json!({ "max_pulls": attempts }),
        );
        scenario.receive(&next);
        (last, after) = (next.version, format_digest(next.version, next.digest()));
        scenario.with_heartbeats(300);
    }
    assert!(scenario.core.pending_versions().0 <= 8);
    scenario.with_heartbeats(6_000);
    expect![[r#"
        103.0 s: version 0, in touch, 5 pulls
        103.3 s: version 0, in touch, 3 pulls
        103.6 s: version 0, in touch, 3 pulls
        103.9 s: version 0, in touch, 3 pulls
        104.2 s: version 0, in touch, 3 pulls
        104.5 s: version 0, in touch, 3 pulls
        104.8 s: version 0, in touch, 3 pulls
        105.1 s: version 0, in touch, 3 pulls
        105.4 s: version 0, in touch, 3 pulls
        105.7 s: version 0, in touch, 3 pulls
        106.0 s: version 0, in touch, 3 pulls
        107.9 s: version 4, in touch, 4 pulls
        108.2 s: version 5, in touch, 6 pulls
        108.5 s: version 6, in touch, 6 pulls
        108.8 s: version 7, in touch, 6 pulls
        109.1 s: version 8, in touch, 6 pulls
        109.4 s: version 9, in touch, 6 pulls
        109.7 s: version 10, in touch, 6 pulls
        110.0 s: version 11, in touch, 6 pulls
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn an_invalid_version_is_refused_with_the_reason_and_the_last_valid_one_stays() {
    let mut scenario = in_touch();
    let good = scenario.next(4_000, 4);
    scenario.receive(&good);
    scenario.receive(&good);
    let after = format_digest(1, good.digest());
    let (now, then) = (scenario.now_ms, scenario.now_ms + 5_000);
    scenario.receive(&issue(1, "", now, then, json!({"max_pulls": 5})));
    scenario.receive(&issue(0, "", now, then, json!({})));
    scenario.receive(&issue(2, &after, now, now + 3_000, json!({})));
    scenario.receive(&issue(2, &after, now - 5_000, now - 1_000, json!({})));
    scenario.receive(&issue(2, &after, now, then, json!({"max_pulls": 7})));
    scenario.receive(&issue(2, &after, now, then, json!({"max_pulls": 1})));
    scenario.receive(&issue(2, &after, now, then, json!({"pulls": 1})));
    let mut wider = issue(2, &after, now, then, json!({"max_pulls": 3}));
    wider.floor = Some(object(json!({"max_pulls": 1})));
    scenario.receive(&wider);
    scenario.receive(&issue(2, "00000000000000ff", now, then, json!({"max_pulls": 5})));
    scenario.receive(&issue(2, &after, now, then, json!({"max_pulls": 5})));
    scenario.with_heartbeats(6_000);
    expect![[r#"
        103.0 s: version 0, in touch, 4 pulls
        103.0 s: refused: known
        103.0 s: refused: version 1 has two contents: digest 52ec781344728987 is held, a169a1be2f664049 was received
        103.0 s: refused: version 0 has two contents: digest 0000000000000000 is held, ca76824d4f8fc00e was received
        103.0 s: refused: from_ms: 3000 ms after issued_ms; expected 3750 at least
        103.0 s: refused: from_ms: 102000; expected more than 107000, of the version before it
        103.0 s: refused: max_pulls: looser than the platform's settings
        103.0 s: refused: max_pulls: stricter than the floor allows
        103.0 s: refused: rules.pulls: unknown rule; expected one of max_pulls, cold_share, cold_s, cold_falls_at, parent_cold_share, parent_cold_s, parent_falls_at, past_caches, from_other_locations, purge_done_s, purge_notice_s, types
        103.0 s: refused: max_pulls: a stricter floor than before
        103.0 s: refused: version 2 follows '00000000000000ff', held is '52ec781344728987'
        103.0 s: version 0, out of touch, version has another predecessor, 2 pulls
        103.0 s: version 0, in touch, 4 pulls
        107.0 s: version 1, in touch, 4 pulls
        108.0 s: version 2, in touch, 5 pulls
    "#]].assert_eq(&scenario.trace);
}

#[test]
fn a_version_withdrawn_before_its_activation_never_applies_alone() {
    let mut scenario = in_touch();
    let loose = issue(1, "", scenario.now_ms, scenario.now_ms + 4_000, json!({"max_pulls": 3}));
    scenario.receive(&loose);
    scenario.with_heartbeats(1_000);
    let after = format_digest(1, loose.digest());
    scenario.receive(&issue(2, &after, scenario.now_ms, scenario.now_ms + 4_000, json!({})));
    scenario.with_heartbeats(6_000);
    expect![[r#"
        103.0 s: version 0, in touch, 3 pulls
        104.0 s: version 0, in touch, 3 pulls
        107.0 s: version 1, in touch, 3 pulls
        108.0 s: version 2, in touch, 6 pulls
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn a_missing_version_counts_as_out_of_touch_until_the_next_is_active() {
    let mut scenario = in_touch();
    scenario.receive(&issue(
        3,
        "00000000000000ff",
        scenario.now_ms,
        scenario.now_ms + 4_000,
        json!({"max_pulls": 5}),
    ));
    scenario.with_heartbeats(5_000);
    // The change log could not deliver the events between, then says that version 4 is the last one.
    scenario.core.events_missed(None);
    scenario.with_heartbeats(2_000);
    scenario.receive(&issue(
        4,
        &format_digest(3, scenario.core.in_force().digest),
        scenario.now_ms,
        scenario.now_ms + 4_000,
        json!({}),
    ));
    scenario.core.events_missed(Some(4));
    scenario.with_heartbeats(5_000);
    expect![[r#"
        103.0 s: version 0, out of touch, a version is missing, 2 pulls
        107.0 s: version 3, in touch, 5 pulls
        108.1 s: version 3, out of touch, a version is missing, 2 pulls
        110.0 s: version 3, in touch, 5 pulls
        110.1 s: version 3, out of touch, lease lapsed, 2 pulls
        111.0 s: version 3, in touch, 5 pulls
        114.0 s: version 4, in touch, 6 pulls
    "#]]
    .assert_eq(&scenario.trace);
}

#[test]
fn a_clock_that_is_off_is_detected_by_event_times_and_counts_as_out_of_touch() {
    let mut scenario = in_touch();
    scenario.off_ms = -400;
    scenario.receive(&issue(1, "", scenario.now_ms, scenario.now_ms + 4_000, json!({})));
    scenario.with_heartbeats(1_000);
    // The clock is set right, and runs ahead later.
    scenario.off_ms = 0;
    scenario.core.event_time_received(scenario.now(), scenario.unix_ms(), scenario.now_ms);
    scenario.with_heartbeats(1_000);
    scenario.off_ms = 2_300;
    scenario.core.event_time_received(scenario.now(), scenario.unix_ms(), scenario.now_ms);
    scenario.update();
    expect![[r#"
        103.0 s: version 0, out of touch, clock off, 2 pulls
        104.1 s: version 0, in touch, 6 pulls
        105.0 s: version 1, out of touch, clock off, 2 pulls
    "#]]
    .assert_eq(&scenario.trace);
}
