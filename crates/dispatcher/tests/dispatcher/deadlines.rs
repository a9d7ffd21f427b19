//! The event loop's deadlines: their order, what is due, what is forgotten, and what each costs.

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
fn what_is_due_comes_in_the_order_of_its_times() {
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
    // Also those armed after some of their time were taken.
    (100..105).for_each(|number| deadlines.arm(Nanos(7), number));
    assert_eq!(due_by(&mut deadlines, 7), [100, 101, 102, 103, 104]);
}

#[test]
fn after_a_stop_all_that_is_overdue_comes_in_order_behind_what_was_put_off() {
    let mut deadlines = Deadlines::default();
    (0..1_000).for_each(|number| deadlines.arm(Nanos(1_000 - number), number));
    let mut due = vec![5_000];
    deadlines.take_due(Nanos(u64::MAX), &mut due);
    assert_eq!(due[0], 5_000);
    assert_eq!(due[1..], (0..1_000).rev().collect::<Vec<_>>());
    // One armed in the past is the next to come.
    deadlines.arm(Nanos(2_000), 2);
    deadlines.arm(Nanos(1), 1);
    assert_eq!(due_by(&mut deadlines, 2_000), [1, 2]);
}

#[test]
fn what_nobody_waits_for_is_forgotten_and_the_rest_stays_in_order() {
    let mut deadlines = Deadlines::default();
    (0..10).for_each(|number| deadlines.arm(Nanos(7 + number / 4), number));
    deadlines.prune(|number| number % 3 == 0);
    assert_eq!(deadlines.count(), 4);
    assert_eq!(due_by(&mut deadlines, 20), [0, 3, 6, 9]);
}

/// Requests that end long before their time-out: 50,000 a second and 60 s would leave 3,000,000 behind.
#[test]
fn of_requests_that_end_early_no_more_stand_than_the_bound() {
    const OPEN: u64 = 3_000;
    let mut deadlines = Deadlines::default();
    let (mut most, mut passes) = (0, 0);
    for request in 0..300_000 {
        deadlines.arm(Nanos(60_000_000_000 + request * 20_000), request);
        if deadlines.needs_pruning() {
            passes += 1;
            deadlines.prune(|other| other + OPEN > request);
        }
        most = most.max(deadlines.count());
    }
    assert!(most <= 2 * OPEN as usize, "{most} stand at most");
    // Each pass looks at twice what is open, and comes after half of that was armed.
    assert!(passes <= 300_000 / OPEN, "{passes} passes");
}

/// After a crowd has gone the bound follows: it is twice what stands now, not what stood then.
#[test]
fn the_bound_falls_with_what_stands() {
    let mut deadlines = Deadlines::default();
    for number in 0..100_000 {
        deadlines.arm(Nanos(number), number);
        if deadlines.needs_pruning() {
            deadlines.prune(|_| true);
        }
    }
    assert!(!deadlines.needs_pruning(), "all are waited for");
    assert_eq!(due_by(&mut deadlines, 99_999).len(), 100_000);
    (0..PRUNE_THRESHOLD as u64 - 1).for_each(|number| deadlines.arm(Nanos(number), number));
    assert!(!deadlines.needs_pruning());
    deadlines.arm(Nanos(0), 0);
    assert!(deadlines.needs_pruning());
}

/// What a deadline costs, armed and taken when due, with so many standing: the best of three times.
fn cost(standing: u64) -> Duration {
    const CALLS: u64 = 50_000;
    let (mut deadlines, mut due) = (Deadlines::default(), Vec::new());
    (0..standing).for_each(|at| deadlines.arm(Nanos(at), at));
    let mut next = standing;
    let times = [(); 3].map(|()| {
        let begun = Instant::now();
        for _ in 0..CALLS {
            deadlines.arm(Nanos(next), next);
            deadlines.take_due(Nanos(next - standing), &mut due);
            next += 1;
        }
        assert_eq!(due.len() as u64, CALLS);
        due.clear();
        begun.elapsed()
    });
    times.into_iter().min().unwrap_or_default()
}

/// As 1,000 requests a second with a time-out of 3 s, and 50,000 with one of 60 s. With a source for each deadline, which is
/// searched for among all, the second cost hundreds of times the first.
#[test]
fn a_deadline_costs_the_same_with_a_thousand_times_as_many_standing() {
    let (few, many) = (cost(3_000), cost(3_000_000));
    assert!(many < 4 * few, "{few:?} with few, {many:?} with many");
}

/// What may be done with deadlines.
#[derive(Debug, Clone)]
enum Step {
    Arm(u64),
    Pass(u64),
    /// Forgets what has not this remainder by 3.
    Forget(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u64..50).prop_map(Step::Arm),
        2 => (0_u64..20).prop_map(Step::Pass),
        1 => (0_u64..3).prop_map(Step::Forget),
    ]
}

proptest! {
    /// The simplest model: a list in the order of arming, sorted by time wherever something is due.
    #[test]
    fn deadlines_are_as_in_a_list_that_is_sorted(steps in prop::collection::vec(step(), 1..200)) {
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
                Step::Pass(span) => {
                    now += span;
                    model.sort_by_key(|(at, _)| *at);
                    let count = model.iter().filter(|(at, _)| *at <= now).count();
                    let expected: Vec<_> = model.drain(..count).map(|(_, number)| number).collect();
                    prop_assert_eq!(due_by(&mut deadlines, now), expected);
                }
                Step::Forget(rest) => {
                    deadlines.prune(|number| number % 3 == rest);
                    model.retain(|(_, number)| number % 3 == rest);
                }
            }
            prop_assert_eq!(deadlines.count(), model.len());
            prop_assert_eq!(deadlines.first().map(|at| at.0), model.iter().map(|(at, _)| *at).min());
        }
    }
}
