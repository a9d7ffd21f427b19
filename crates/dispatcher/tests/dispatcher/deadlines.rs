//! The event loop's deadlines: their order, which are due, pruning, and the cost of each.

use copperroute_dispatcher::deadlines::{Deadlines, PRUNE_THRESHOLD};
use copperroute_routing::interface::Nanos;
use proptest::prelude::*;
use std::time::{Duration, Instant};

fn due_by(deadlines: &mut Deadlines<u64>, now: u64) -> Vec<u64> {
    let mut due = Vec::new();
    deadlines.take_due(Nanos(now), &mut due);
    due
}

#[test]
fn due_deadlines_come_in_the_order_of_their_times() {
    let mut deadlines = Deadlines::default();
    for at in [30, 10, 20, 40] {
        deadlines.arm(Nanos(at), at);
    }
    assert_eq!(deadlines.first(), Some(Nanos(10)));
    assert_eq!(due_by(&mut deadlines, 9), [0; 0]);
    assert_eq!(due_by(&mut deadlines, 30), [10, 20, 30]);
    assert_eq!(deadlines.first(), Some(Nanos(40)));
    assert_eq!(due_by(&mut deadlines, 40), [40]);
    assert_eq!((deadlines.first(), deadlines.count()), (None, 0));
}

#[test]
fn equal_deadlines_come_in_the_order_of_arming() {
    let mut deadlines = Deadlines::default();
    (0..100).for_each(|number| deadlines.arm(Nanos(7), number));
    assert_eq!(due_by(&mut deadlines, 7), (0..100).collect::<Vec<_>>());
    // Also those armed after deadlines of the same time were taken.
    (100..105).for_each(|number| deadlines.arm(Nanos(7), number));
    assert_eq!(due_by(&mut deadlines, 7), [100, 101, 102, 103, 104]);
}

#[test]
fn overdue_deadlines_are_appended_in_order_to_postponed_ones() {
    let mut deadlines = Deadlines::default();
    (0..1_000).for_each(|number| deadlines.arm(Nanos(1_000 - number), number));
    let mut due = vec![5_000];
    deadlines.take_due(Nanos(u64::MAX), &mut due);
    assert_eq!(due[0], 5_000);
    assert_eq!(due[1..], (0..1_000).rev().collect::<Vec<_>>());
    // A deadline in the past comes first.
    deadlines.arm(Nanos(2_000), 2);
    deadlines.arm(Nanos(1), 1);
    assert_eq!(due_by(&mut deadlines, 2_000), [1, 2]);
}

#[test]
fn pruning_removes_unneeded_deadlines_and_keeps_the_order() {
    let mut deadlines = Deadlines::default();
    (0..10).for_each(|number| deadlines.arm(Nanos(7 + number / 4), number));
    deadlines.prune(|number| number % 3 == 0);
    assert_eq!(deadlines.count(), 4);
    assert_eq!(due_by(&mut deadlines, 20), [0, 3, 6, 9]);
}

/// Requests that end long before their timeout: without pruning, 50,000 a second with a timeout of 60 s would leave
/// 3,000,000 deadlines.
#[test]
fn deadlines_of_requests_that_end_early_stay_within_the_bound() {
    const OPEN_REQUESTS: u64 = 3_000;
    let mut deadlines = Deadlines::default();
    let (mut most, mut passes) = (0, 0);
    for request in 0..300_000 {
        deadlines.arm(Nanos(60_000_000_000 + request * 20_000), request);
        if deadlines.needs_pruning() {
            passes += 1;
            deadlines.prune(|other| other + OPEN_REQUESTS > request);
        }
        most = most.max(deadlines.count());
    }
    assert!(most <= 2 * OPEN_REQUESTS as usize, "at most {most} deadlines armed");
    // Each pass visits twice as many deadlines as requests are open, after half of them were armed since the last pass.
    assert!(passes <= 300_000 / OPEN_REQUESTS, "{passes} passes");
}

/// After a peak the bound falls again: it is twice the number of deadlines that are armed now, not at the peak.
#[test]
fn the_bound_falls_with_the_number_of_deadlines() {
    let mut deadlines = Deadlines::default();
    for number in 0..100_000 {
        deadlines.arm(Nanos(number), number);
        if deadlines.needs_pruning() {
            deadlines.prune(|_| true);
        }
    }
    assert!(!deadlines.needs_pruning(), "all deadlines are needed");
    assert_eq!(due_by(&mut deadlines, 99_999).len(), 100_000);
    (0..PRUNE_THRESHOLD as u64 - 1).for_each(|number| deadlines.arm(Nanos(number), number));
    assert!(!deadlines.needs_pruning());
    deadlines.arm(Nanos(0), 0);
    assert!(deadlines.needs_pruning());
}

/// The time that 50,000 deadlines take to be armed and taken when due, with `armed` others: the shortest of three runs.
fn time_of_arming_and_taking(armed: u64) -> Duration {
    const DEADLINES: u64 = 50_000;
    let (mut deadlines, mut due) = (Deadlines::default(), Vec::new());
    (0..armed).for_each(|at| deadlines.arm(Nanos(at), at));
    let mut next = armed;
    let times = [(); 3].map(|()| {
        let started = Instant::now();
        for _ in 0..DEADLINES {
            deadlines.arm(Nanos(next), next);
            deadlines.take_due(Nanos(next - armed), &mut due);
            next += 1;
        }
        assert_eq!(due.len() as u64, DEADLINES);
        due.clear();
        started.elapsed()
    });
    times.into_iter().min().unwrap_or_default()
}

/// The two sizes are 1,000 requests a second with a timeout of 3 s, and 50,000 with one of 60 s. With an event source
/// per deadline, found by a search among all, the second cost hundreds of times the first.
#[test]
fn a_deadline_costs_the_same_with_a_thousand_times_as_many_armed() {
    let (few, many) = (time_of_arming_and_taking(3_000), time_of_arming_and_taking(3_000_000));
    assert!(many < 4 * few, "{few:?} with few, {many:?} with many");
}

/// An operation on deadlines.
#[derive(Debug, Clone)]
enum Step {
    Arm(u64),
    Advance(u64),
    /// Keeps only deadlines whose number has this remainder modulo 3.
    Prune(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u64..50).prop_map(Step::Arm),
        2 => (0_u64..20).prop_map(Step::Advance),
        1 => (0_u64..3).prop_map(Step::Prune),
    ]
}

proptest! {
    /// The model: a list in the order of arming, stably sorted by time before due deadlines are taken.
    #[test]
    fn deadlines_match_a_sorted_list(steps in prop::collection::vec(step(), 1..200)) {
        let (mut deadlines, mut model) = (Deadlines::default(), Vec::<(u64, u64)>::new());
        let (mut now, mut armed) = (25, 0);
        for step in steps {
            match step {
                // Some are in the past.
                Step::Arm(offset) => {
                    let at = now + offset - 10;
                    deadlines.arm(Nanos(at), armed);
                    model.push((at, armed));
                    armed += 1;
                }
                Step::Advance(span) => {
                    now += span;
                    model.sort_by_key(|(at, _)| *at);
                    let count = model.iter().filter(|(at, _)| *at <= now).count();
                    let expected: Vec<_> = model.drain(..count).map(|(_, number)| number).collect();
                    prop_assert_eq!(due_by(&mut deadlines, now), expected);
                }
                Step::Prune(rest) => {
                    deadlines.prune(|number| number % 3 == rest);
                    model.retain(|(_, number)| number % 3 == rest);
                }
            }
            prop_assert_eq!(deadlines.count(), model.len());
            prop_assert_eq!(deadlines.first().map(|at| at.0), model.iter().map(|(at, _)| *at).min());
        }
    }
}
