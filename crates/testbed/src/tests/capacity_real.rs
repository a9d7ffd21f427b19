use super::*;

#[test]
fn the_version_in_force_is_read_from_the_line_on_rules_alone() {
    let line = "[2026-01-01T00:00:00Z INFO  copperroute_dispatcher::agreed] rules: in touch version=3 digest=00ff age_s=2";
    assert_eq!(version_of(line), Some(3));
    assert_eq!(version_of("rules: not taken, of 'lab': version 4 is older"), None);
    assert_eq!(version_of("change log: lost, silent"), None);
}
