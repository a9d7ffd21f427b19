//! Tests of what `many_rules.rs` keeps to itself.

use super::*;

#[test]
fn nobody_acts_on_what_is_forbidden_and_the_service_is_spared() {
    for (loss, away_ms) in [(0.0, 0), (0.02, 0), (0.0, 20_000)] {
        let outcome = simulate(&Case { dispatchers: 100, loss, away_ms, seed: 3 });
        assert_eq!(outcome.forbidden, 0, "{outcome:?}");
        assert!(outcome.peak < 1.5 && outcome.tight_s <= 4.0, "{outcome:?}");
        assert!(outcome.back_s.is_some_and(|back| back < 9.0) || loss > 0.0, "{outcome:?}");
    }
}
