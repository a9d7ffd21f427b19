//! The searches: none finds anything with the decisions as they are, and each deliberate fault is found.

use super::model::{ALL_ACT, Bounds, Fault, IN_ORDER, NEVER_ANEW, NO_STALE_LEASE, NONE_LOST, Search};
use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;
use std::time::Instant;

/// Searches at once.
const THREADS: usize = 2;

/// A heartbeat that renews a lease left the log at most so many whole seconds earlier.
const SECONDS_OLD: usize = 0;

fn bounds(events: u64, troubles: usize, seconds: u64) -> Bounds {
    Bounds { events, troubles, seconds }
}

fn searched(bounds: Bounds) -> Search {
    Search { fault: None, bounds, second_is_prompt: true, seconds_old: SECONDS_OLD }
}

fn shown(search: &Search) -> String {
    let Search { fault, bounds, second_is_prompt, seconds_old } = search;
    format!("{fault:?}, {bounds:?}, second prompt {second_is_prompt}, {seconds_old} s old")
}

/// Looks at every state: the properties that were broken, each with the shortest way there printed, and how many states
/// there were.
fn found(search: Search) -> (Vec<&'static str>, usize) {
    let begun = Instant::now();
    let shown = shown(&search);
    let checker = search.checker().threads(THREADS).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!("{shown}: {states} states in {:.1} s", begun.elapsed().as_secs_f64());
    let mut found = Vec::new();
    for name in [IN_ORDER, NONE_LOST, NO_STALE_LEASE, NEVER_ANEW] {
        if let Some(path) = checker.discovery(name) {
            println!("broken: {name}: {:?}", path.into_actions());
            found.push(name);
        }
    }
    assert!(checker.discovery(ALL_ACT).is_some(), "not reached: {ALL_ACT}");
    (found, states)
}

/// Looks until this property is broken: whether it was, and how many states were looked at.
fn breaks(search: Search, property: &'static str) -> (bool, usize) {
    let begun = Instant::now();
    let shown = shown(&search);
    let until = HasDiscoveries::AnyOf(BTreeSet::from([property]));
    let checker = search.checker().threads(THREADS).finish_when(until).spawn_dfs().join();
    let states = checker.unique_state_count();
    println!("{shown}: {states} states in {:.1} s", begun.elapsed().as_secs_f64());
    let path = checker.discovery(property);
    let is_broken = path.is_some();
    path.into_iter().for_each(|path| println!("broken: {property}: {:?}", path.into_actions()));
    (is_broken, states)
}

#[test]
fn no_ordering_of_two_dispatchers_breaks_a_property() {
    let (broken, states) = found(Search { second_is_prompt: false, ..searched(bounds(1, 1, 1)) });
    assert!(broken.is_empty() && states > 10_000, "{broken:?} in {states} states");
}

#[test]
fn no_ordering_further_on_breaks_a_property() {
    for bounds in [bounds(4, 0, 1), bounds(3, 1, 2), bounds(2, 1, 3), bounds(1, 2, 2)] {
        let (broken, states) = found(searched(bounds));
        assert!(broken.is_empty() && states > 1_000, "{broken:?} in {states} states");
    }
}

/// The same further: `cargo test -p copperroute-checks further_still -- --ignored --nocapture`. Numbers that begin anew have
/// their own test.
#[test]
#[ignore = "a minute: 5.2 million states, three times"]
fn no_ordering_further_still_breaks_a_property() {
    for property in [IN_ORDER, NONE_LOST, NO_STALE_LEASE] {
        let (is_broken, states) = breaks(searched(bounds(2, 2, 3)), property);
        assert!(!is_broken, "{property} in {states} states");
    }
}

/// Heartbeats that waited for three seconds come at once, behind what the other stream told before it ended.
#[test]
fn heartbeats_out_of_a_queue_do_not_begin_numbers_anew() {
    let (broken, states) = found(searched(bounds(1, 2, 3)));
    assert!(broken.is_empty(), "{broken:?} in {states} states");
}

/// The first heartbeat after a call counts only if it is sure to have left within the propagation bound.
#[test]
fn the_first_heartbeat_after_a_call_is_not_a_second_old() {
    let (broken, states) = found(Search { seconds_old: 0, ..searched(bounds(1, 2, 2)) });
    assert!(broken.is_empty(), "{broken:?} in {states} states");
}

#[test]
fn each_deliberate_fault_breaks_its_property() {
    let faults = [
        (Fault::ApplySecondCopy, IN_ORDER, bounds(1, 1, 1)),
        (Fault::ApplyOverGap, IN_ORDER, bounds(2, 1, 1)),
        (Fault::RenewBehind, NO_STALE_LEASE, bounds(2, 2, 3)),
        (Fault::BeginHeartbeat, NO_STALE_LEASE, bounds(1, 2, 3)),
        (Fault::AskTooLate, NONE_LOST, bounds(2, 2, 1)),
    ];
    for (fault, property, bounds) in faults {
        let (is_broken, states) = breaks(Search { fault: Some(fault), ..searched(bounds) }, property);
        assert!(is_broken, "{fault:?}: {property}: nothing found in {states} states");
    }
}
