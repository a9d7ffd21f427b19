//! Thousands of dispatchers that agree on versions of rules, simulated: the same cores as in the program, for the
//! agreement and for when the list service is called; streams that are lost by chance.

use copperroute_config_rollout::agreement::Agreement;
use copperroute_config_rollout::faults::Faults;
use copperroute_config_rollout::rules::{Field, RuleSet};
use copperroute_config_rollout::timing::TimingBounds;
use copperroute_config_rollout::version::{IssuedVersion, ValidationContext, format_digest};
use copperroute_routing::interface::{ColdStart, Nanos, Settings, ZoneId};
use copperroute_routing::reconnect_schedule::{ReconnectSchedule, ReconnectSettings};
use copperroute_routing::structures::random::Random;
use serde_json::{Map, Value, json};
use std::collections::VecDeque;

const STEP_MS: u64 = 100;
const UNIX_MS: u64 = 1_764_576_000_000;
/// Versions come so far apart, and act so long after they were issued.
const EACH_MS: u64 = 10_000;
const AHEAD_MS: u64 = 4_000;
const TERMS: TimingBounds = TimingBounds {
    lease: Nanos(3_000_000_000),
    clock_error: Nanos(250_000_000),
    propagation_bound: Nanos(500_000_000),
};
const PULLS: Field = Field::Fleet(0);
const SAID: [u64; 4] = [3, 6, 2, 5];
/// Nothing is counted before.
const SETTLED_MS: u64 = 12_000;

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Case {
    /// How many dispatchers.
    pub dispatchers: u32,
    /// The part of the streams that is lost in each second.
    pub loss: f64,
    /// The service is away for so long, from 30 s on.
    pub away_ms: u64,
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Outcome {
    /// The part of the time that a dispatcher was out of touch.
    pub out_share: f64,
    /// Seconds after its issue until all acted no looser than a version that tightens, at worst.
    pub tight_s: f64,
    /// Times that a dispatcher was seen to act on what the version in force forbade.
    pub forbidden: u64,
    /// The most calls in a second, beside what the service bears.
    pub peak: f64,
    /// Seconds after the service's return until all were in touch.
    pub back_s: Option<f64>,
}

struct One {
    core: Agreement,
    calls: ReconnectSchedule,
    /// Its clock is so many milliseconds off.
    off_ms: i64,
    /// When it hears the next line, where it follows; when it calls, where not.
    next_ms: u64,
    follows: bool,
    heard: usize,
}

/// Settings under which versions are agreed on.
pub(crate) fn settings() -> Settings {
    let cold = ColdStart { share: 0.3, warm_after: Nanos(12_000_000_000), overload_multiple: 1.5 };
    Settings {
        seed: 1,
        zone: ZoneId(0),
        dispatchers: 1,
        zone_dispatchers: 1,
        content_types: Vec::new(),
        parent_kind: None,
        origin_kind: None,
        direct_to_parents: true,
        coalesces_fills: false,
        fill_source_reported: true,
        fill_from_other_locations: false,
        client_kb_per_s: 0.0,
        link_kb_per_s: 0.0,
        purge_done: Nanos::ZERO,
        purge_notice: Nanos::ZERO,
        drain_grace: Nanos(1_000_000_000),
        cache_cold: cold,
        parent_cold: cold,
        overload_window: Nanos(3_000_000_000),
        origin_stop_multiple: 0.0,
        list_needs_subscription: false,
        cancel: true,
        retry_after: true,
        max_retry_after: Nanos(1_000_000_000),
        max_attempts: 6,
        capacities_listed: true,
        load_probes: false,
        readiness_probes: false,
        overload_control: None,
    }
}

fn said(attempts: u64) -> Map<String, Value> {
    [("max_pulls".to_string(), json!(attempts))].into_iter().collect()
}

/// All start within a second; versions come for 90 s.
pub(crate) fn simulate(case: &Case) -> Outcome {
    let bears = f64::from(case.dispatchers) / 5.0;
    let mut chance = Random::new(case.seed);
    let platform_rules = RuleSet::from_settings(&settings(), &[]);
    let floor =
        RuleSet::parse(&platform_rules, &[], "floor", &said(2)).unwrap_or_else(|_| platform_rules.clone());
    let ground = ValidationContext {
        platform_rules,
        content_types: Vec::new(),
        timing: TERMS,
        faults: Faults::default(),
    };
    let mut all: Vec<One> = (0..case.dispatchers)
        .map(|at| {
            let told = ReconnectSettings {
                dispatchers: case.dispatchers,
                calls_per_s: Some(bears),
                delivered_after: Nanos(7_000_000_000),
                window_range: [0.0, 1.0],
            };
            let seed = case.seed.wrapping_mul(1_000_003) + u64::from(at);
            let mut calls = ReconnectSchedule::new(told, seed, UNIX_MS * 1_000_000);
            let first = calls.started(Nanos::from_secs(chance.next_f64()), true);
            let off_ms = (chance.next_f64() * 250.0) as i64 - 125;
            let core = Agreement::new(ground.clone(), &floor);
            One { core, calls, off_ms, next_ms: first.0 / 1_000_000, follows: false, heard: 0 }
        })
        .collect();
    let away = 30_000..30_000 + case.away_ms;
    let until = 90_000 + case.away_ms;
    let (mut log, mut after): (Vec<IssuedVersion>, String) = (Vec::new(), String::new());
    let mut outcome = Outcome { out_share: 0.0, tight_s: 0.0, forbidden: 0, peak: 0.0, back_s: None };
    let (mut looked, mut out, mut recent) = (0_u64, 0_u64, VecDeque::new());
    for now_ms in (0..until).step_by(STEP_MS as usize) {
        let now = Nanos(now_ms * 1_000_000);
        let is_away = away.contains(&now_ms);
        // Nobody issues what can't be told.
        if now_ms % EACH_MS == 5_000 && !is_away {
            let number = log.len() as u64 + 1;
            let issued_ms = UNIX_MS + now_ms;
            let rules = said(SAID[log.len() % SAID.len()]);
            let issue = IssuedVersion {
                version: number,
                after: after.clone(),
                issuer: "lab".into(),
                issued_ms,
                from_ms: issued_ms + AHEAD_MS,
                rules,
                floor: None,
            };
            after = format_digest(number, issue.digest());
            log.push(issue);
        }
        let attempts_of = |issue: &IssuedVersion| issue.rules["max_pulls"].as_u64().unwrap_or(6);
        // What a clock may show that is off by no more than is stated.
        let on = |off_ms: i64| {
            let unix = (UNIX_MS + now_ms).saturating_add_signed(off_ms);
            log.iter().rev().find(|issue| issue.from_ms <= unix).map_or(6, attempts_of)
        };
        let allowed = [-250, 0, 250].map(on).into_iter().max().unwrap_or(6);
        let last = log.last().map(|issue| (issue.issued_ms - UNIX_MS, attempts_of(issue)));
        let (mut all_tight, mut all_in) = (true, true);
        for one in &mut all {
            let unix_ms = (UNIX_MS + now_ms).saturating_add_signed(one.off_ms);
            if one.follows && is_away {
                one.follows = false;
                one.next_ms = one.calls.ended(now).0.0 / 1_000_000;
            }
            if one.next_ms <= now_ms {
                if !one.follows {
                    one.calls.connect_started(now);
                    recent.push_back(now_ms);
                    one.core.request_sent(now);
                }
                let lost = is_away || (one.follows && chance.next_f64() < case.loss);
                if lost {
                    one.follows = false;
                    one.next_ms = one.calls.ended(now).0.0 / 1_000_000;
                } else {
                    one.follows = true;
                    one.calls.line_received(now);
                    for issue in &log[one.heard..] {
                        let _ = one.core.version_received(now, unix_ms, issue);
                    }
                    one.heard = log.len();
                    one.core.heartbeat_received(now, true);
                    one.next_ms = now_ms + 1_000;
                }
            } else if one.follows && one.heard < log.len() && chance.next_f64() < 0.5 {
                // An event is told at once, and takes a step or some.
                for issue in &log[one.heard..] {
                    let _ = one.core.version_received(now, unix_ms, issue);
                }
                one.heard = log.len();
            }
            one.core.update(now, unix_ms);
            let acts = one.core.effective_rules().get(PULLS) as u64;
            outcome.forbidden += u64::from(acts > allowed);
            all_tight &= last.is_none_or(|last| acts <= last.1);
            let out_of_touch = one.core.out_of_touch().is_some();
            all_in &= !out_of_touch;
            if now_ms >= SETTLED_MS && !away.contains(&now_ms) {
                (looked, out) = (looked + 1, out + u64::from(out_of_touch));
            }
        }
        if let Some((issued_ms, _)) = last.filter(|_| !all_tight) {
            outcome.tight_s = outcome.tight_s.max((now_ms - issued_ms + STEP_MS) as f64 / 1e3);
        }
        if all_in && now_ms >= away.end && outcome.back_s.is_none() {
            outcome.back_s = Some((now_ms - away.end) as f64 / 1e3);
        }
        while recent.front().is_some_and(|at| now_ms - at >= 1_000) {
            recent.pop_front();
        }
        outcome.peak = outcome.peak.max(recent.len() as f64 / bears);
    }
    outcome.out_share = out as f64 / looked.max(1) as f64;
    outcome
}

/// A table over numbers of dispatchers and losses.
pub(crate) fn table(dispatchers: &[u32], losses: &[f64], away_s: f64, seed: u64) -> String {
    let mut text = String::from(
        "| dispatchers | streams lost a second | away (s) | out of touch | all act on what is tightened after (s) | \
         seen to act on what is forbidden | most calls, beside what is borne | all in touch after return (s) |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for dispatchers in dispatchers {
        for loss in losses {
            let away_ms = (away_s * 1e3) as u64;
            let case = Case { dispatchers: *dispatchers, loss: *loss, away_ms, seed };
            let Outcome { out_share, tight_s, forbidden, peak, back_s } = simulate(&case);
            let back = back_s.map_or("never".into(), |back| format!("{back:.1}"));
            text += &format!(
                "| {dispatchers} | {:.1}% | {away_s} | {:.2}% | {tight_s:.1} | {forbidden} | {peak:.2} | {back} |\n",
                loss * 100.0,
                out_share * 100.0
            );
        }
    }
    text
}

#[cfg(test)]
#[path = "tests/many_rules.rs"]
mod tests;
