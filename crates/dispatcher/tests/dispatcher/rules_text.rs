//! The texts for operators that show, compare and check versions of the rules.

use crate::common::CONFIG;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use copperroute_dispatcher::config::{AgreementConfig, Config};
use copperroute_dispatcher::rules_text::{check, diff, show};
use copperroute_settings::operator::OperatorFile;
use expect_test::expect;
use serde_json::{Value, json};

fn agreeing() -> AgreementConfig {
    let operator = json!({"agreement": {"floor": {"max_pulls": 2, "cold_share": 0.1}}}).to_string();
    let config = Config::parse(CONFIG).expect("a good configuration");
    config.agreeing(&OperatorFile::parse(&operator).expect("good")).expect("good").expect("an agreement")
}

fn version(version: u64, after: &str, ahead_ms: u64, rules: Value) -> IssuedVersion {
    let issued_ms = 1_000_000 * version;
    let value = json!({"version": version, "after": after, "issuer": "ops", "issued_ms": issued_ms,
        "from_ms": issued_ms + ahead_ms, "rules": rules});
    IssuedVersion::from_value(&value).expect("a version")
}

#[test]
fn show_prints_a_version_and_diff_prints_its_changes() {
    let (agreeing, first) =
        (agreeing(), version(1, "", 4_000, json!({"max_pulls": 3, "types": {"image": {"expiry_s": 1}}})));
    let second = version(2, &format_digest(1, first.digest()), 4_000, json!({"max_pulls": 2}));
    let texts =
        [show(&agreeing, &first), diff(&agreeing, None, &first), diff(&agreeing, Some(&first), &second)];
    expect![[r#"
        version 1 of 'ops', digest 337c5a666c14f98d, issued at 1000000 ms, active from 1004000 ms
        max_pulls: 3, platform 6, floor 2
        cold_share: 0.2, floor 0.1
        cold_s: 15.0
        cold_falls_at: 2.5
        parent_cold_share: 0.07
        parent_cold_s: 20.0
        parent_falls_at: 2.0
        past_caches: true
        from_other_locations: false
        purge_done_s: 6.0
        purge_notice_s: 1.0
        types.image.repeat: "retriable"
        types.image.expiry_s: 1.0, platform 5.0, floor 5.0
        types.image.fresh_for_s: null
        types.post.repeat: "non-retriable"
        types.post.expiry_s: 3.0
        types.post.fresh_for_s: null

        from version 0 to version 1
        max_pulls: 6 to 3, stricter, on receipt
        types.image.expiry_s: 5.0 to 1.0, stricter, on receipt

        from version 1 to version 2
        max_pulls: 3 to 2, stricter, on receipt
        types.image.expiry_s: 1.0 to 5.0, looser, from 2004000 ms
    "#]]
    .assert_eq(&texts.map(|text| text.unwrap_or_else(|why| why)).join("\n"));
}

#[test]
fn check_accepts_or_refuses_a_sequence_of_versions_and_names_the_remedy() {
    let (agreeing, first) = (agreeing(), version(1, "", 4_000, json!({"max_pulls": 3})));
    let after = format_digest(1, first.digest());
    let texts = [
        check(&agreeing, &[first.clone(), version(2, &after, 4_000, json!({}))]),
        check(&agreeing, &[first.clone(), version(2, &after, 3_000, json!({}))]),
        check(&agreeing, &[first.clone(), version(2, "", 4_000, json!({}))]),
        check(&agreeing, &[first.clone(), version(2, &after, 4_000, json!({"max_pulls": 1}))]),
        check(&agreeing, &[first.clone(), version(1, "", 4_000, json!({}))]),
        check(&agreeing, &[version(1, "", 4_000, json!({"max_pulls": 9}))]),
    ];
    let texts = texts.map(|text| text.unwrap_or_else(|why| format!("refused: {why}\n")));
    expect![[r#"
        no two dispatchers act on contradicting rules for longer than 3.75 s: lease 3 s, clock error 0.25 s, propagation 0.5 s
        version 1: good, digest 756652ea1d3e641b
        version 2: good, digest 11e45330f81a4d47

        refused: no two dispatchers act on contradicting rules for longer than 3.75 s: lease 3 s, clock error 0.25 s, propagation 0.5 s
        version 1: good, digest 756652ea1d3e641b
        version 2: from_ms: 3000 ms after issued_ms; expected 3750 at least
        to do: from_ms 2003750 or later

        refused: no two dispatchers act on contradicting rules for longer than 3.75 s: lease 3 s, clock error 0.25 s, propagation 0.5 s
        version 1: good, digest 756652ea1d3e641b
        version 2: version 2 follows '', held is '756652ea1d3e641b'
        to do: after '756652ea1d3e641b'

        refused: no two dispatchers act on contradicting rules for longer than 3.75 s: lease 3 s, clock error 0.25 s, propagation 0.5 s
        version 1: good, digest 756652ea1d3e641b
        version 2: max_pulls: stricter than the floor allows
        to do: not in one step; a floor that allows for it in the operators' file and a restart of all, then this version

        refused: no two dispatchers act on contradicting rules for longer than 3.75 s: lease 3 s, clock error 0.25 s, propagation 0.5 s
        version 1: good, digest 756652ea1d3e641b
        version 1: from_ms: 1004000; expected more than 1004000, of the version before it
        to do: from_ms 1004001 or later

        refused: no two dispatchers act on contradicting rules for longer than 3.75 s: lease 3 s, clock error 0.25 s, propagation 0.5 s
        version 1: max_pulls: looser than the platform's settings
        to do: the platform's settings and a restart of all, then this version
    "#]].assert_eq(&texts.join("\n"));
}
