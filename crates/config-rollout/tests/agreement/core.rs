//! On which rules one dispatcher acts, as traces.

use crate::common::{TERMS, dispatcher, issue, ms, object};
use copperroute_config_rollout::agreement::Agreement;
use copperroute_config_rollout::faults::Faults;
use copperroute_config_rollout::rules::Field;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use copperroute_routing::interface::Nanos;
use expect_test::expect;
use serde_json::json;
use std::fmt::Write as _;

/// A dispatcher played by hand; its clock shows the same milliseconds as everybody's, and `off_ms` more.
struct Play {
    core: Agreement,
    now_ms: u64,
    off_ms: i64,
    trace: String,
}

/// The place of `max_attempts`.
const PULLS: Field = Field::Fleet(0);

impl Play {
    fn new() -> Play {
        Play { core: dispatcher(TERMS, Faults::default()), now_ms: 100_000, off_ms: 0, trace: String::new() }
    }

    fn now(&self) -> Nanos {
        ms(self.now_ms)
    }

    fn unix_ms(&self) -> u64 {
        self.now_ms.saturating_add_signed(self.off_ms)
    }

    fn look(&mut self) {
        if self.core.update(self.now(), self.unix_ms()) {
            let stands =
                self.core.out_of_touch().map_or("in touch".to_string(), |why| format!("out of touch, {why}"));
            let (version, attempts) = (self.core.in_force().number, self.core.effective_rules().get(PULLS));
            let _ = writeln!(
                self.trace,
                "{:.1} s: version {version}, {stands}, {attempts} pulls",
                self.now_ms as f64 / 1e3
            );
        }
    }

    /// Lines come each second, for so long.
    fn lines(&mut self, for_ms: u64) {
        let until = self.now_ms + for_ms;
        while self.now_ms < until {
            self.now_ms += 100;
            if self.now_ms.is_multiple_of(1_000) {
                self.core.heartbeat_received(self.now(), true);
            }
            self.look();
        }
    }

    /// Nothing comes, for so long; it looks as often as it decides.
    fn silence(&mut self, for_ms: u64) {
        let until = self.now_ms + for_ms;
        while self.now_ms < until {
            self.now_ms += 100;
            self.look();
        }
    }

    fn heard(&mut self, issue: &IssuedVersion) {
        if let Err(why) = self.core.version_received(self.now(), self.unix_ms(), issue) {
            let _ = writeln!(self.trace, "{:.1} s: refused: {why}", self.now_ms as f64 / 1e3);
        }
        self.look();
    }

    /// The next version, issued now, so long ahead.
    fn next(&self, ahead_ms: u64, attempts: u64) -> IssuedVersion {
        let (_, last) = self.core.pending_versions();
        let digest = if last == self.core.in_force().number { self.core.in_force().digest } else { 0 };
        let after = format_digest(last, digest);
        issue(last + 1, &after, self.now_ms, self.now_ms + ahead_ms, json!({ "max_pulls": attempts }))
    }
}

/// A dispatcher in touch.
fn in_touch() -> Play {
    let mut play = Play::new();
    play.lines(3_000);
    play.trace.clear();
    play
}

#[test]
fn a_lease_comes_and_goes_and_is_looked_at_when_a_decision_is_made() {
    let mut play = Play::new();
    play.look();
    play.lines(4_000);
    play.silence(5_000);
    play.lines(3_000);
    // Stopped: nobody looks until it goes on.
    play.now_ms += 5_000;
    play.look();
    expect![[r#"
        100.0 s: version 0, out of touch, nothing heard since the start, 2 pulls
        102.0 s: version 0, in touch, 6 pulls
        107.0 s: version 0, out of touch, lease lapsed, 2 pulls
        111.0 s: version 0, in touch, 6 pulls
        117.0 s: version 0, out of touch, lease lapsed, 2 pulls
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn what_is_tightened_acts_at_once_and_what_is_loosened_at_its_moment() {
    let mut play = in_touch();
    let tight = play.next(4_000, 3);
    play.heard(&tight);
    play.lines(6_000);
    let loose = play.next(4_000, 5);
    play.heard(&loose);
    play.lines(6_000);
    expect![[r#"
        103.0 s: version 0, in touch, 3 pulls
        107.0 s: version 1, in touch, 3 pulls
        109.0 s: version 1, in touch, 3 pulls
        113.0 s: version 2, in touch, 5 pulls
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn who_did_not_hear_of_a_version_acts_on_the_floor_before_its_moment() {
    let mut play = in_touch();
    let tight = play.next(3_750, 3);
    play.silence(6_000);
    play.core.request_sent(play.now());
    play.heard(&tight);
    play.core.heartbeat_received(play.now(), true);
    play.look();
    expect![[r#"
        106.0 s: version 0, out of touch, lease lapsed, 2 pulls
        109.0 s: version 1, out of touch, lease lapsed, 2 pulls
        109.0 s: version 1, in touch, 3 pulls
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn lines_out_of_a_queue_renew_nothing() {
    let mut play = in_touch();
    play.now_ms += 6_000;
    for _ in 0..5 {
        play.core.heartbeat_received(play.now(), true);
        play.look();
    }
    play.lines(2_000);
    expect![[r#"
        109.0 s: version 0, out of touch, lease lapsed, 2 pulls
        110.0 s: version 0, in touch, 6 pulls
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn versions_faster_than_leases_are_all_obeyed_until_the_last_acts() {
    let mut play = in_touch();
    let (mut last, mut after) = (0, String::new());
    for attempts in [5, 3, 6, 4, 6, 6, 6, 6, 6, 6, 6] {
        let next =
            issue(last + 1, &after, play.now_ms, play.now_ms + 4_000, json!({ "max_pulls": attempts }));
        play.heard(&next);
        (last, after) = (next.version, format_digest(next.version, next.digest()));
        play.lines(300);
    }
    assert!(play.core.pending_versions().0 <= 8);
    play.lines(6_000);
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
    .assert_eq(&play.trace);
}

#[test]
fn what_may_not_follow_is_refused_by_name_and_the_last_good_one_stands() {
    let mut play = in_touch();
    let good = play.next(4_000, 4);
    play.heard(&good);
    play.heard(&good);
    let after = format_digest(1, good.digest());
    let (now, then) = (play.now_ms, play.now_ms + 5_000);
    play.heard(&issue(1, "", now, then, json!({"max_pulls": 5})));
    play.heard(&issue(0, "", now, then, json!({})));
    play.heard(&issue(2, &after, now, now + 3_000, json!({})));
    play.heard(&issue(2, &after, now - 5_000, now - 1_000, json!({})));
    play.heard(&issue(2, &after, now, then, json!({"max_pulls": 7})));
    play.heard(&issue(2, &after, now, then, json!({"max_pulls": 1})));
    play.heard(&issue(2, &after, now, then, json!({"pulls": 1})));
    let mut wider = issue(2, &after, now, then, json!({"max_pulls": 3}));
    wider.floor = Some(object(json!({"max_pulls": 1})));
    play.heard(&wider);
    play.heard(&issue(2, "00000000000000ff", now, then, json!({"max_pulls": 5})));
    play.heard(&issue(2, &after, now, then, json!({"max_pulls": 5})));
    play.lines(6_000);
    expect![[r#"
        103.0 s: version 0, in touch, 4 pulls
        103.0 s: refused: known
        103.0 s: refused: version 1 has two contents: 52ec781344728987 stands, a169a1be2f664049 came
        103.0 s: refused: version 0 has two contents: 0000000000000000 stands, ca76824d4f8fc00e came
        103.0 s: refused: from_ms: 3000 ms after issued_ms; expected 3750 at least
        103.0 s: refused: from_ms: 102000; expected more than 107000, of the version before it
        103.0 s: refused: max_pulls: looser than the platform's settings
        103.0 s: refused: max_pulls: stricter than the floor allows
        103.0 s: refused: rules.pulls: no rule; expected one of max_pulls, cold_share, cold_s, cold_falls_at, parent_cold_share, parent_cold_s, parent_falls_at, past_caches, from_other_locations, purge_done_s, purge_notice_s, types
        103.0 s: refused: max_pulls: a stricter floor than before
        103.0 s: refused: version 2 follows '00000000000000ff', held is '52ec781344728987'
        103.0 s: version 0, out of touch, another version was followed, 2 pulls
        103.0 s: version 0, in touch, 4 pulls
        107.0 s: version 1, in touch, 4 pulls
        108.0 s: version 2, in touch, 5 pulls
    "#]].assert_eq(&play.trace);
}

#[test]
fn a_version_withdrawn_before_its_moment_never_acts_alone() {
    let mut play = in_touch();
    let loose = issue(1, "", play.now_ms, play.now_ms + 4_000, json!({"max_pulls": 3}));
    play.heard(&loose);
    play.lines(1_000);
    let after = format_digest(1, loose.digest());
    play.heard(&issue(2, &after, play.now_ms, play.now_ms + 4_000, json!({})));
    play.lines(6_000);
    expect![[r#"
        103.0 s: version 0, in touch, 3 pulls
        104.0 s: version 0, in touch, 3 pulls
        107.0 s: version 1, in touch, 3 pulls
        108.0 s: version 2, in touch, 6 pulls
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_missing_version_counts_as_out_of_touch_until_the_next_acts() {
    let mut play = in_touch();
    play.heard(&issue(3, "00000000000000ff", play.now_ms, play.now_ms + 4_000, json!({"max_pulls": 5})));
    play.lines(5_000);
    // The service could not tell what lay between, then says that nothing did.
    play.core.events_missed(None);
    play.lines(2_000);
    play.heard(&issue(
        4,
        &format_digest(3, play.core.in_force().digest),
        play.now_ms,
        play.now_ms + 4_000,
        json!({}),
    ));
    play.core.events_missed(Some(4));
    play.lines(5_000);
    expect![[r#"
        103.0 s: version 0, out of touch, a version is missing, 2 pulls
        107.0 s: version 3, in touch, 5 pulls
        108.1 s: version 3, out of touch, a version is missing, 2 pulls
        110.0 s: version 3, in touch, 5 pulls
        110.1 s: version 3, out of touch, lease lapsed, 2 pulls
        111.0 s: version 3, in touch, 5 pulls
        114.0 s: version 4, in touch, 6 pulls
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_clock_that_is_off_is_noticed_by_what_is_told_and_counts_as_out_of_touch() {
    let mut play = in_touch();
    play.off_ms = -400;
    play.heard(&issue(1, "", play.now_ms, play.now_ms + 4_000, json!({})));
    play.lines(1_000);
    // Set right, and ahead later.
    play.off_ms = 0;
    play.core.event_time_received(play.now(), play.unix_ms(), play.now_ms);
    play.lines(1_000);
    play.off_ms = 2_300;
    play.core.event_time_received(play.now(), play.unix_ms(), play.now_ms);
    play.look();
    expect![[r#"
        103.0 s: version 0, out of touch, clock off, 2 pulls
        104.1 s: version 0, in touch, 6 pulls
        105.0 s: version 1, out of touch, clock off, 2 pulls
    "#]]
    .assert_eq(&play.trace);
}
