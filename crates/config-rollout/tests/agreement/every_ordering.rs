//! A model checker runs through every ordering of a small system: three dispatchers with the real [`Agreement`], a
//! change log that two issuers write to, and disturbances between them. A judge that sees the whole state checks each
//! step.
//!
//! A step is one second. The lease is two seconds, clocks differ by one, a line takes at most one, so a version is
//! issued four seconds before its activation time. The judge keeps the valid versions and allows at each second what
//! any version allows that is in force on a clock within the stated error.
//!
//! [`Agreement`]: copperroute_config_rollout::agreement::Agreement

use crate::ordering_model::{NO_VIOLATION, OrderingModel, THIRD_IN_FORCE, VersionKind};
use copperroute_config_rollout::faults::Fault;
use stateright::{Checker, Model};

/// Checks every ordering: returns whether the judge found no violation, and the number of distinct states.
fn check_all_orderings(model: OrderingModel) -> (bool, usize) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery(NO_VIOLATION).map(|path| {
        let last = path.last_state().violation;
        eprintln!("{last:?}: {:?}", path.into_actions());
    });
    let third_in_force = checker.discovery(THIRD_IN_FORCE).is_some();
    assert!(
        third_in_force || !checker.model().must_agree(),
        "the third version was never in force everywhere"
    );
    (found.is_none(), checker.unique_state_count())
}

/// Small enough to run with every change of the code.
#[test]
fn no_ordering_of_three_versions_and_one_disturbance_contradicts() {
    let kinds = vec![VersionKind::Valid(3), VersionKind::Valid(6)];
    let (holds, states) =
        check_all_orderings(OrderingModel { fault: None, issues: 3, disturbances: 1, until: 7, kinds });
    assert!(holds && states > 100_000, "{states} states");
}

#[test]
fn invalid_versions_change_nothing() {
    let kinds = vec![
        VersionKind::Valid(4),
        VersionKind::ShortNotice,
        VersionKind::BelowFloor,
        VersionKind::RepeatedNumber,
    ];
    let (holds, states) =
        check_all_orderings(OrderingModel { fault: None, issues: 2, disturbances: 1, until: 6, kinds });
    assert!(holds && states > 10_000, "{states} states");
}

/// Longer runs: `cargo test -p copperroute-config-rollout --release -- --ignored --nocapture`.
#[test]
#[ignore = "a minute and 3 GB"]
fn no_ordering_of_longer_runs_contradicts() {
    use VersionKind::*;
    let runs = [
        ("three versions, one disturbance", 3, 1, 10, vec![Valid(3), Valid(6)]),
        ("two issuers, two disturbances", 2, 2, 7, vec![Valid(3), RepeatedNumber]),
        ("two versions, two disturbances", 2, 2, 8, vec![Valid(3), Valid(6)]),
        (
            "not valid, one disturbance",
            2,
            1,
            8,
            vec![Valid(4), ShortNotice, BelowFloor, RepeatedNumber, OlderNumber],
        ),
    ];
    for (name, issues, disturbances, until, kinds) in runs {
        let started = std::time::Instant::now();
        let (holds, states) =
            check_all_orderings(OrderingModel { fault: None, issues, disturbances, until, kinds });
        println!("{name}, {until} s: {states} states in {:.1} s", started.elapsed().as_secs_f64());
        assert!(holds);
    }
}

#[test]
fn each_deliberate_fault_is_caught() {
    use VersionKind::*;
    for (name, fault) in Fault::NAMED {
        let (issues, disturbances, kinds) = match fault {
            Fault::GoBack => (3, 0, vec![Valid(3), Valid(6), OlderNumber]),
            Fault::SkipNotice => (1, 0, vec![ShortNotice]),
            Fault::SkipBand => (1, 0, vec![BelowFloor]),
            Fault::TakeSecond => (2, 0, vec![Valid(3), RepeatedNumber]),
            _ => (2, 1, vec![Valid(3), Valid(6)]),
        };
        let (holds, states) =
            check_all_orderings(OrderingModel { fault: Some(fault), issues, disturbances, until: 8, kinds });
        assert!(!holds, "{name} in {states} states");
    }
}
