//! What a node that has just started gets from all dispatchers together, counted where it arrives: real decisions of 1 to
//! 900 of them. N is what the settings let it be asked for in the rule's window. No window has more than N + 2 roots
//! of N + 2 calls, however small N is and whoever begins anew; where more dispatchers run than were told, none has more
//! than the rule's own bound.

use crate::cold_fleet::{Case, Restarts, WORK_S};
use crate::common::*;
use copperroute_routing::fleet::slow_start::{Rate, TokenBucket};
use copperroute_routing::interface::*;
use proptest::prelude::*;

/// The bound that the module keeps to.
fn kept(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// The rule's own bound, which is wider where N is small.
fn rule(n: f64) -> f64 {
    if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { kept(n) }
}

/// Weight, multiple and window, as they make N at the start 90, 6, 36 and 16.
const NODES: [(f64, f64, u64); 4] =
    [(12.0, 2.5, 1_500), (1.5, 2.0, 1_000), (3.0, 2.0, 3_000), (2.0, 4.0, 1_000)];
/// The same with N from 2 to 8, a multiple under 2, and N 360.
const SMALL: [(f64, f64, u64); 6] = [
    (0.5, 2.0, 1_000),
    (1.0, 2.0, 500),
    (1.0, 2.0, 1_000),
    (2.0, 2.0, 1_000),
    (4.0, 1.25, 500),
    (24.0, 2.5, 3_000),
];
const SILENCES_AND_RESTARTS: [((u64, u64), Restarts); 4] = [
    ((0, 0), Restarts::None),
    ((2, 8), Restarts::None),
    ((0, 0), Restarts::Once(3, 100)),
    ((3, 6), Restarts::Once(6, 50)),
];

fn case(dispatchers: u32, (weight, multiple, window): (f64, f64, u64)) -> Case {
    Case {
        dispatchers,
        told: dispatchers,
        weight,
        multiple,
        window: ms(window),
        // What the location bears once all of it is warm: more would show nodes that can do more than is told.
        rate: 0.9 * 3.0 * weight / WORK_S,
        silent: (0, 0),
        restarts: Restarts::None,
    }
}

/// Plays all cases, and asserts that no window has more than a bound.
fn assert_bound(cases: &[Case], seeds: impl Fn(&Case) -> u64, bound: fn(f64) -> f64) {
    let (mut worst, mut calls) = (Vec::new(), 0);
    for case in cases {
        for seed in 1..=seeds(case) {
            let came = case.play(seed);
            for (cold, came) in ["cache", "parent"].iter().zip(&came) {
                calls += came.len();
                worst.push((
                    case.fullest(came, bound),
                    format!("{cold} seed {seed} {case:?} {} calls", came.len()),
                ));
            }
        }
    }
    worst.sort_by(|a, b| b.0.total_cmp(&a.0));
    let shown: Vec<_> = worst.iter().take(12).map(|(part, what)| format!("{part:.2} {what}")).collect();
    println!("{} plays, {calls} calls\n{}", worst.len(), shown.join("\n"));
    assert!(worst[0].0 <= 1.0, "\n{}", shown.join("\n"));
    assert!(calls > 100 * cases.len(), "{calls} calls: nothing was asked for");
}

#[test]
fn no_window_has_more_calls_than_a_cold_node_bears_from_all_dispatchers() {
    let mut cases = Vec::new();
    for dispatchers in [4, 20, 30, 300] {
        for node in NODES {
            for (silent, restarts) in SILENCES_AND_RESTARTS {
                cases.push(Case { silent, restarts, ..case(dispatchers, node) });
            }
        }
    }
    assert_bound(&cases, |case| if case.dispatchers > 100 { 1 } else { 3 }, kept);
}

#[test]
fn nor_from_one_or_from_nine_hundred() {
    let mut cases = Vec::new();
    for dispatchers in [1, 2, 12, 900] {
        for node in NODES {
            for (silent, restarts) in SILENCES_AND_RESTARTS {
                cases.push(Case { silent, restarts, ..case(dispatchers, node) });
            }
        }
    }
    assert_bound(&cases, |case| if case.dispatchers > 100 { 1 } else { 2 }, kept);
}

#[test]
fn nor_where_n_is_two() {
    let mut cases = Vec::new();
    for dispatchers in [1, 2, 4, 12, 30, 300] {
        for node in SMALL {
            for silent in [(0, 0), (2, 8)] {
                cases.push(Case { silent, ..case(dispatchers, node) });
            }
        }
    }
    assert_bound(&cases, |_| 1, kept);
}

#[test]
fn nor_while_all_begin_anew_again_and_again() {
    let mut cases = Vec::new();
    for dispatchers in [1, 4, 30, 300] {
        for node in NODES {
            for every in [300, 1_200, 4_000] {
                let restarts = Restarts::InTurn(ms(every));
                cases.push(Case { restarts, ..case(dispatchers, node) });
                cases.push(Case { restarts, silent: (2, 5), ..case(dispatchers, node) });
            }
        }
    }
    assert_bound(&cases, |_| 1, kept);
}

/// So many times as many dispatchers as the settings name.
fn told_wrongly(times: f64) -> Vec<Case> {
    let mut cases = Vec::new();
    for told in [2, 4, 12, 30, 200] {
        for node in NODES.into_iter().chain(SMALL) {
            let dispatchers = (f64::from(told) * times) as u32;
            cases.push(Case { told, ..case(dispatchers, node) });
        }
    }
    cases
}

#[test]
fn nor_from_half_as_many_again_as_were_told() {
    let mut cases = told_wrongly(1.5);
    for case in told_wrongly(1.5).iter().filter(|case| case.told < 200) {
        let harder = SILENCES_AND_RESTARTS.into_iter().skip(1);
        cases.extend(harder.map(|(silent, restarts)| Case { silent, restarts, ..*case }));
    }
    assert_bound(&cases, |_| 1, rule);
}

/// After a silence they may have more: what each saved was meant for half of them.
#[test]
fn nor_from_twice_as_many_as_were_told_that_ask_steadily() {
    let mut cases = told_wrongly(2.0);
    let restarts = Restarts::Once(3, 100);
    cases.extend(told_wrongly(2.0).into_iter().map(|case| Case { restarts, ..case }));
    assert_bound(&cases, |_| 1, rule);
}

#[test]
fn the_stated_sum_leaves_room_for_three_deviations_below_the_bound() {
    for (weight, multiple, window) in NODES.into_iter().chain(SMALL) {
        for age_ms in [window, 5_000, 14_999] {
            for dispatchers in [1, 2, 4, 12, 30, 300, 900] {
                let n = case(dispatchers, (weight, multiple, window)).allowed(ms(age_ms - window));
                // As `src/policy/safety_rules.rs` has it: half of what the rule bears, and never over what the node can
                // do.
                let bearable = n * WORK_S / ms(window).secs() / multiple * (multiple / 2.0).min(1.0);
                let most_s =
                    Rate::new(bearable, multiple.max(2.0), ms(window), dispatchers).max_in_window_s();
                let calls = most_s / WORK_S;
                assert!(calls <= 0.75 * n + 1e-9, "{calls} calls, N {n}");
                assert!(calls + 3.0 * calls.sqrt() <= kept(n), "{calls} calls, N {n}");
            }
        }
    }
}

/// What a dispatcher does with its bucket.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// It is asked for an attempt that takes so many milliseconds to send.
    Asked(u64),
    BeginsAnew,
}

fn steps() -> impl Strategy<Value = Vec<(u64, usize, Step)>> {
    let step = prop_oneof![9 => (1_u64..400).prop_map(Step::Asked), 1 => Just(Step::BeginsAnew)];
    let gap = prop_oneof![6 => 0_u64..60, 1 => 500_u64..6_000];
    prop::collection::vec((gap, 0_usize..12, step), 1..250)
}

proptest! {
    /// Whoever asks, begins anew or is silent, and whenever: in the mean of the draws no window has more than is stated.
    #[test]
    fn the_stated_sum_holds_in_every_window(steps in steps(), sharers in 1_u32..12, rule in 2.0_f64..5.0, window in 300_u64..4_000) {
        let (window, start) = (ms(window), ms(60_000));
        let mut buckets = vec![TokenBucket::default(); sharers as usize];
        let (mut now, mut spent) = (start, Vec::<(Nanos, f64)>::new());
        for (gap, who, step) in steps {
            now = now.after(ms(gap));
            // What it can do rises.
            let rate = Rate::new(2.0 + now.since(start).secs(), rule, window, sharers);
            let bucket = &mut buckets[who % sharers as usize];
            match step {
                Step::Asked(work_ms) => {
                    let work_s = ms(work_ms).secs();
                    spent.push((now, bucket.spend(now, &rate, work_s) * work_s));
                }
                Step::BeginsAnew => *bucket = TokenBucket::empty(now),
            }
            let in_window = spent.iter().rev().take_while(|(at, _)| now.since(*at) < window);
            let sum_s: f64 = in_window.map(|(_, work_s)| work_s).sum();
            prop_assert!(sum_s <= rate.max_in_window_s() + 1e-9, "{sum_s} of {}", rate.max_in_window_s());
        }
    }
}
