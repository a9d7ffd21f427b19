//! Reading, comparing and applying rules.

use crate::common::{base, ms, object, rules_with, settings, types};
use copperroute_config_rollout::rules::{RuleSet, differences, stricter_state};
use copperroute_routing::interface::Readiness::{Draining, Gone, Ready};
use copperroute_routing::interface::RetrySafety;
use expect_test::expect;
use proptest::prelude::*;
use serde_json::json;

#[test]
fn every_field_that_differs_is_listed_with_the_stricter_side() {
    let tight = rules_with(json!({
        "max_pulls": 2, "cold_share": 0.1, "cold_s": 20, "cold_falls_at": 1.2, "parent_cold_share": 0.05,
        "parent_cold_s": 40, "parent_falls_at": 1.1, "past_caches": false, "purge_done_s": 9, "purge_notice_s": 10,
        "types": {"image": {"repeat": "non-retriable", "expiry_s": 2, "fresh_for_s": 60}}
    }));
    let lines: String =
        differences(&base(), &tight, &types()).iter().map(|differs| format!("{differs}\n")).collect();
    expect![[r#"
        max_pulls: 6 to 2, stricter
        cold_share: 0.3 to 0.1, stricter
        cold_s: 12.0 to 20.0, stricter
        cold_falls_at: 1.5 to 1.2, stricter
        parent_cold_share: 0.3 to 0.05, stricter
        parent_cold_s: 12.0 to 40.0, stricter
        parent_falls_at: 1.5 to 1.1, stricter
        past_caches: true to false, stricter
        purge_done_s: 6.0 to 9.0, stricter
        purge_notice_s: 7.0 to 10.0, stricter
        types.image.repeat: "retriable" to "non-retriable", stricter
        types.image.expiry_s: 5.0 to 2.0, stricter
        types.image.fresh_for_s: null to 60.0, stricter
    "#]]
    .assert_eq(&lines);
    let back = differences(&tight, &base(), &types());
    assert!(back.iter().all(|differs| !differs.stricter));
    let first = base().first_difference(&tight).map(|field| field.path(&types()));
    assert_eq!((first.as_deref(), base().first_difference(&base())), (Some("max_pulls"), None));
    assert_eq!(tight.first_looser_field(&base()), None);
}

#[test]
fn an_unreadable_field_is_refused_with_its_path() {
    let documents = [
        json!({"max_pullz": 2}),
        json!({"max_pulls": 0}),
        json!({"max_pulls": 2.5}),
        json!({"past_caches": 1}),
        json!({"cold_share": "low"}),
        json!({"types": {"video": {"expiry_s": 1}}}),
        json!({"types": {"image": {"expires": 1}}}),
        json!({"types": {"image": {"repeat": "deduped"}}}),
        json!({"types": {"post": {"repeat": "retriable"}}}),
    ];
    let errors =
        documents.map(|document| match RuleSet::parse(&base(), &types(), "rules", &object(document)) {
            Ok(_) => "good\n".to_string(),
            Err(why) => format!("{why}\n"),
        });
    expect![[r#"
        rules.max_pullz: unknown rule; expected one of max_pulls, cold_share, cold_s, cold_falls_at, parent_cold_share, parent_cold_s, parent_falls_at, past_caches, from_other_locations, purge_done_s, purge_notice_s, types
        rules.max_pulls: 0; expected a whole number, 1 or more
        rules.max_pulls: 2.5; expected a whole number, 1 or more
        rules.past_caches: 1; expected true or false
        rules.cold_share: "low"; expected a number, 0 or more
        rules.types.video: unknown content type; expected one of image, post
        rules.types.image.expires: unknown rule; expected one of repeat, expiry_s, fresh_for_s
        rules.types.image.repeat: "deduped"; the platform says retriable, expected that or non-retriable
        rules.types.post.repeat: "retriable"; the platform says non-retriable, expected that or non-retriable
    "#]].assert_eq(&errors.concat());
}

#[test]
fn rules_are_applied_to_the_settings_and_nothing_else_changes() {
    let rules =
        rules_with(json!({"max_pulls": 3, "types": {"image": {"repeat": "non-retriable", "expiry_s": 2}}}));
    let (s, expiries) = rules.apply(&settings(), &[ms(5_000), ms(3_000)]);
    let mut expected = settings();
    expected.max_attempts = 3;
    expected.content_types[0].retry_safety = RetrySafety::NonRetriable;
    assert_eq!((s, expiries), (expected, vec![ms(2_000), ms(3_000)]));
}

#[test]
fn the_node_state_that_allows_less_is_the_stricter() {
    assert_eq!(stricter_state(Ready, Draining), Draining);
    assert_eq!(stricter_state(Gone, Draining), Gone);
    assert_eq!(stricter_state(Ready, Ready), Ready);
}

fn any_rules() -> impl Strategy<Value = RuleSet> {
    let attempts = 1..=6_u32;
    (attempts, 0.01..0.3_f64, 12.0..30.0_f64, any::<bool>(), any::<bool>()).prop_map(
        |(attempts, share, cold_s, past, repeat)| {
            let repeat = if repeat { "retriable" } else { "non-retriable" };
            rules_with(
                json!({"max_pulls": attempts, "cold_share": share, "cold_s": cold_s, "past_caches": past,
            "types": {"image": {"repeat": repeat}}}),
            )
        },
    )
}

proptest! {
    #[test]
    fn the_stricter_of_two_sets_is_no_looser_than_either_and_no_stricter_than_needed(a in any_rules(), b in any_rules()) {
        let both = a.stricter(&b);
        prop_assert_eq!(both.first_looser_field(&a), None);
        prop_assert_eq!(both.first_looser_field(&b), None);
        prop_assert_eq!(&both, &b.stricter(&a));
        for field in both.fields() {
            prop_assert!(both.get(field) == a.get(field) || both.get(field) == b.get(field));
        }
        prop_assert_eq!(a.first_difference(&b).is_none(), a == b);
    }
}
