//! Tests of what `many.rs` keeps to itself.

use super::*;

fn case(dispatchers: u32, seed: u64) -> Case {
    let away = Nanos(60 * SECOND.0);
    Case { dispatchers, zones: 10, told_share: 1.0, away, falls_at: 1.5, rises_at: 0.95, seed }
}

#[test]
fn however_many_there_are_the_service_stands_and_all_are_current() {
    for (dispatchers, seed) in [(30, 1), (300, 2), (3_000, 3), (10_000, 4)] {
        let outcome = simulate(&case(dispatchers, seed), How::Told);
        let said = format!("{dispatchers}, seed {seed}: {outcome:?}");
        assert_eq!(outcome.falls, 0, "{said}");
        assert!(outcome.peaks.iter().all(|peak| *peak <= 1.5), "{said}");
        assert!(outcome.current_s.iter().all(|at| at.is_some_and(|at| at <= 7.5)), "{said}");
    }
}

#[test]
fn the_earlier_back_off_pushes_it_over_for_good() {
    let outcome = simulate(&case(300, 2), How::Earlier);
    assert!(outcome.falls > 0 && outcome.current_s == [None, None], "{outcome:?}");
}

#[test]
fn told_of_a_third_of_them_it_comes_back_all_the_same() {
    let outcome = simulate(&Case { told_share: 1.0 / 3.0, ..case(300, 2) }, How::Told);
    assert!(outcome.current_s[1].is_some_and(|at| at <= 20.0), "{outcome:?}");
}
