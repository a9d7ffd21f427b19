//! Rules of a small fleet and versions of them, for all tests.

use copperroute_config_rollout::agreement::Agreement;
use copperroute_config_rollout::faults::Faults;
use copperroute_config_rollout::rules::RuleSet;
use copperroute_config_rollout::timing::TimingBounds;
use copperroute_config_rollout::version::{IssuedVersion, ValidationContext};
use copperroute_routing::interface::{ColdStart, ContentType, Nanos, RetrySafety, Settings, ZoneId};
use serde_json::{Map, Value, json};

/// A duration in milliseconds.
pub(crate) fn ms(ms: u64) -> Nanos {
    Nanos(ms * 1_000_000)
}

/// The names of the content types.
pub(crate) fn types() -> Vec<String> {
    ["image", "post"].map(str::to_string).to_vec()
}

/// The platform's settings.
pub(crate) fn settings() -> Settings {
    let content_type = |retry_safety| ContentType {
        latency_target: ms(400),
        latency_target_stretch: 1.0,
        retry_safety,
        fresh_for: None,
        uncacheable: false,
        benefit: 1.0,
    };
    let cold = ColdStart { share: 0.3, warm_after: ms(12_000), overload_multiple: 1.5 };
    Settings {
        seed: 1,
        zone: ZoneId(0),
        dispatchers: 4,
        zone_dispatchers: 4,
        content_types: vec![content_type(RetrySafety::Retriable), content_type(RetrySafety::NonRetriable)],
        parent_kind: Some(1),
        origin_kind: Some(2),
        direct_to_parents: true,
        coalesces_fills: false,
        fill_source_reported: true,
        fill_from_other_locations: false,
        client_kb_per_s: 0.0,
        link_kb_per_s: 0.0,
        purge_done: ms(6_000),
        purge_notice: ms(7_000),
        drain_grace: ms(1_000),
        cache_cold: cold,
        parent_cold: cold,
        overload_window: ms(3_000),
        origin_stop_multiple: 2.5,
        list_needs_subscription: false,
        cancel: true,
        retry_after: true,
        max_retry_after: ms(1_000),
        max_attempts: 6,
        capacities_listed: true,
        load_probes: false,
        readiness_probes: false,
        overload_control: None,
    }
}

/// The rules of [`settings`], with an expiry of 5 s for `image` and of 3 s for `post`.
pub(crate) fn base() -> RuleSet {
    RuleSet::from_settings(&settings(), &[ms(5_000), ms(3_000)])
}

/// The JSON object in a value; empty if the value is none.
pub(crate) fn object(value: Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap_or_default()
}

/// The platform's rules with the fields of `document` changed.
pub(crate) fn rules_with(document: Value) -> RuleSet {
    RuleSet::parse(&base(), &types(), "rules", &object(document)).expect("good rules")
}

/// Lease 3 s, clock error 0.25 s, slack 0.5 s.
pub(crate) const TIMING: TimingBounds = TimingBounds {
    lease: Nanos(3_000_000_000),
    clock_error: Nanos(250_000_000),
    propagation_bound: Nanos(500_000_000),
};

/// A dispatcher of the small fleet. By the floor, no version may allow fewer than two attempts or a cold share below
/// 0.1.
pub(crate) fn dispatcher(timing: TimingBounds, faults: Faults) -> Agreement {
    let ground = ValidationContext { platform_rules: base(), content_types: types(), timing, faults };
    Agreement::new(ground, &rules_with(json!({"max_pulls": 2, "cold_share": 0.1})))
}

/// A version issued by `ops` without a floor.
pub(crate) fn issue(version: u64, after: &str, issued_ms: u64, from_ms: u64, rules: Value) -> IssuedVersion {
    let (after, rules) = (after.to_string(), object(rules));
    IssuedVersion { version, after, issuer: "ops".into(), issued_ms, from_ms, rules, floor: None }
}
