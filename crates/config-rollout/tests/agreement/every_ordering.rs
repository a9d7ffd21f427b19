//! Every ordering in the small: three dispatchers with the core as it is, a log that two issuers write to, and what goes
//! wrong between them, checked against a judge that knows all.
//!
//! A step is a second. The lease is two, clocks differ by one, a line takes one at most: a version is issued four ahead.
//! The judge keeps the versions that are good, and allows at each second what any of those allow that are in force on a
//! clock within the stated error.

use crate::ordering_model::{Kind, Small};
use copperroute_config_rollout::faults::Fault;
use stateright::{Checker, Model};

/// Looks at every ordering: whether the judge found nothing, and how many states there were.
fn looked_at(model: Small) -> (bool, usize) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("nothing that the judge forbids").map(|path| {
        let last = path.last_state().broken;
        eprintln!("{last:?}: {:?}", path.into_actions());
    });
    let agreed = checker.discovery("all three act on the third version").is_some();
    assert!(agreed || !checker.model().agree(), "nothing was agreed on");
    (found.is_none(), checker.unique_state_count())
}

/// Small enough for each change.
#[test]
fn no_ordering_of_three_versions_and_a_trouble_contradicts() {
    let kinds = vec![Kind::Good(3), Kind::Good(6)];
    let (kept, states) = looked_at(Small { fault: None, issues: 3, troubles: 1, until: 7, kinds });
    assert!(kept && states > 100_000, "{states} states");
}

#[test]
fn versions_that_are_not_good_change_nothing() {
    let kinds = vec![Kind::Good(4), Kind::Near, Kind::Under, Kind::Again];
    let (kept, states) = looked_at(Small { fault: None, issues: 2, troubles: 1, until: 6, kinds });
    assert!(kept && states > 10_000, "{states} states");
}

/// The same further: `cargo test -p copperroute-agreement --release -- --ignored --nocapture`.
#[test]
#[ignore = "a minute and 3 GB"]
fn no_ordering_further_on_contradicts() {
    use Kind::*;
    let plays = [
        ("three versions, one trouble", 3, 1, 10, vec![Good(3), Good(6)]),
        ("two issuers, two troubles", 2, 2, 7, vec![Good(3), Again]),
        ("two versions, two troubles", 2, 2, 8, vec![Good(3), Good(6)]),
        ("not good, one trouble", 2, 1, 8, vec![Good(4), Near, Under, Again, Back]),
    ];
    for (name, issues, troubles, until, kinds) in plays {
        let begun = std::time::Instant::now();
        let (kept, states) = looked_at(Small { fault: None, issues, troubles, until, kinds });
        println!("{name}, {until} s: {states} states in {:.1} s", begun.elapsed().as_secs_f64());
        assert!(kept);
    }
}

#[test]
fn each_deliberate_fault_is_caught() {
    use Kind::*;
    for (name, fault) in Fault::NAMED {
        let (issues, troubles, kinds) = match fault {
            Fault::GoBack => (3, 0, vec![Good(3), Good(6), Back]),
            Fault::SkipNotice => (1, 0, vec![Near]),
            Fault::SkipBand => (1, 0, vec![Under]),
            Fault::TakeSecond => (2, 0, vec![Good(3), Again]),
            _ => (2, 1, vec![Good(3), Good(6)]),
        };
        let (kept, states) = looked_at(Small { fault: Some(fault), issues, troubles, until: 8, kinds });
        assert!(!kept, "{name} in {states} states");
    }
}
