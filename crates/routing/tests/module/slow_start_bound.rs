//! The attempts that a cold node gets from 1 to 900 dispatchers together, by their real decisions. N is the
//! number of attempts that rule 4 allows in its window by the settings. No window has more than N + 2 sqrt(N) + 2
//! attempts, however small N is and whichever dispatchers restart. If there are more dispatchers than the settings
//! say, no window exceeds the bound of the rule itself.

use crate::common::*;
use crate::slow_start_fleet::{Restarts, Scenario, WORK_S};
use copperroute_routing::fleet::slow_start::{Rate, TokenBucket};
use copperroute_routing::interface::*;
use proptest::prelude::*;

/// The bound that slow start keeps.
fn slow_start_bound(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// The bound of rule 4, which is wider for small N.
fn rule_bound(n: f64) -> f64 {
    if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { slow_start_bound(n) }
}

/// Weight, overload multiple and window in ms. N at the start is 90, 6, 36 and 16.
const NODES: [(f64, f64, u64); 4] =
    [(12.0, 2.5, 1_500), (1.5, 2.0, 1_000), (3.0, 2.0, 3_000), (2.0, 4.0, 1_000)];
/// The same with N from 2 to 8, with a multiple below 2, and with N 360.
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

fn scenario(dispatchers: u32, (weight, multiple, window): (f64, f64, u64)) -> Scenario {
    Scenario {
        dispatchers,
        listed_dispatchers: dispatchers,
        weight,
        multiple,
        window: ms(window),
        // Near the capacity of the location once it is warm. More load would make nodes appear larger than listed.
        rate: 0.9 * 3.0 * weight / WORK_S,
        silence: (0, 0),
        restarts: Restarts::None,
    }
}

/// Runs all scenarios and asserts that no window exceeds the bound.
fn assert_bound(scenarios: &[Scenario], seeds: impl Fn(&Scenario) -> u64, bound: fn(f64) -> f64) {
    let (mut worst, mut attempts) = (Vec::new(), 0);
    for scenario in scenarios {
        for seed in 1..=seeds(scenario) {
            let arrivals = scenario.run(seed);
            for (node_name, arrivals) in ["cache", "parent"].iter().zip(&arrivals) {
                attempts += arrivals.len();
                worst.push((
                    scenario.fullest(arrivals, bound),
                    format!("{node_name} seed {seed} {scenario:?} {} attempts", arrivals.len()),
                ));
            }
        }
    }
    worst.sort_by(|a, b| b.0.total_cmp(&a.0));
    let shown: Vec<_> = worst.iter().take(12).map(|(part, what)| format!("{part:.2} {what}")).collect();
    println!("{} runs, {attempts} attempts\n{}", worst.len(), shown.join("\n"));
    assert!(worst[0].0 <= 1.0, "\n{}", shown.join("\n"));
    assert!(attempts > 100 * scenarios.len(), "{attempts} attempts: nothing was sent");
}

#[test]
fn no_window_exceeds_the_bound_of_a_cold_node() {
    let mut scenarios = Vec::new();
    for dispatchers in [4, 20, 30, 300] {
        for node in NODES {
            for (silence, restarts) in SILENCES_AND_RESTARTS {
                scenarios.push(Scenario { silence, restarts, ..scenario(dispatchers, node) });
            }
        }
    }
    assert_bound(&scenarios, |scenario| if scenario.dispatchers > 100 { 1 } else { 3 }, slow_start_bound);
}

#[test]
fn no_window_exceeds_the_bound_with_1_to_900_dispatchers() {
    let mut scenarios = Vec::new();
    for dispatchers in [1, 2, 12, 900] {
        for node in NODES {
            for (silence, restarts) in SILENCES_AND_RESTARTS {
                scenarios.push(Scenario { silence, restarts, ..scenario(dispatchers, node) });
            }
        }
    }
    assert_bound(&scenarios, |scenario| if scenario.dispatchers > 100 { 1 } else { 2 }, slow_start_bound);
}

#[test]
fn no_window_exceeds_the_bound_for_small_n() {
    let mut scenarios = Vec::new();
    for dispatchers in [1, 2, 4, 12, 30, 300] {
        for node in SMALL {
            for silence in [(0, 0), (2, 8)] {
                scenarios.push(Scenario { silence, ..scenario(dispatchers, node) });
            }
        }
    }
    assert_bound(&scenarios, |_| 1, slow_start_bound);
}

#[test]
fn no_window_exceeds_the_bound_with_repeated_restarts() {
    let mut scenarios = Vec::new();
    for dispatchers in [1, 4, 30, 300] {
        for node in NODES {
            for every in [300, 1_200, 4_000] {
                let restarts = Restarts::InTurn(ms(every));
                scenarios.push(Scenario { restarts, ..scenario(dispatchers, node) });
                scenarios.push(Scenario { restarts, silence: (2, 5), ..scenario(dispatchers, node) });
            }
        }
    }
    assert_bound(&scenarios, |_| 1, slow_start_bound);
}

/// Scenarios with `times` as many dispatchers as the settings say.
fn wrong_dispatcher_count(times: f64) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for listed_dispatchers in [2, 4, 12, 30, 200] {
        for node in NODES.into_iter().chain(SMALL) {
            let dispatchers = (f64::from(listed_dispatchers) * times) as u32;
            scenarios.push(Scenario { listed_dispatchers, ..scenario(dispatchers, node) });
        }
    }
    scenarios
}

#[test]
fn no_window_exceeds_rule_4_with_half_more_dispatchers_than_configured() {
    let mut scenarios = wrong_dispatcher_count(1.5);
    for scenario in wrong_dispatcher_count(1.5).iter().filter(|scenario| scenario.listed_dispatchers < 200) {
        let harder = SILENCES_AND_RESTARTS.into_iter().skip(1);
        scenarios.extend(harder.map(|(silence, restarts)| Scenario { silence, restarts, ..*scenario }));
    }
    assert_bound(&scenarios, |_| 1, rule_bound);
}

/// After a silence the bound may be exceeded, as the tokens that each saved are meant for half as many dispatchers.
#[test]
fn no_window_exceeds_rule_4_with_twice_the_configured_dispatchers_at_steady_load() {
    let mut scenarios = wrong_dispatcher_count(2.0);
    let restarts = Restarts::Once(3, 100);
    scenarios
        .extend(wrong_dispatcher_count(2.0).into_iter().map(|scenario| Scenario { restarts, ..scenario }));
    assert_bound(&scenarios, |_| 1, rule_bound);
}

#[test]
fn stated_sum_leaves_three_standard_deviations_below_the_bound() {
    for (weight, multiple, window) in NODES.into_iter().chain(SMALL) {
        for age_ms in [window, 5_000, 14_999] {
            for dispatchers in [1, 2, 4, 12, 30, 300, 900] {
                let n = scenario(dispatchers, (weight, multiple, window)).allowed(ms(age_ms - window));
                // As in `src/policy/safety_rules.rs`: half of what rule 4 allows, never more than the present
                // capacity.
                let bearable = n * WORK_S / ms(window).secs() / multiple * (multiple / 2.0).min(1.0);
                let most_s =
                    Rate::new(bearable, multiple.max(2.0), ms(window), dispatchers).max_in_window_s();
                let attempts = most_s / WORK_S;
                assert!(attempts <= 0.75 * n + 1e-9, "{attempts} attempts, N {n}");
                assert!(
                    attempts + 3.0 * attempts.sqrt() <= slow_start_bound(n),
                    "{attempts} attempts, N {n}"
                );
            }
        }
    }
}

/// A step of the property test for one dispatcher and its token bucket.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An attempt with this work in ms is considered.
    Attempt(u64),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<(u64, usize, Step)>> {
    let step = prop_oneof![9 => (1_u64..400).prop_map(Step::Attempt), 1 => Just(Step::Restart)];
    let gap = prop_oneof![6 => 0_u64..60, 1 => 500_u64..6_000];
    prop::collection::vec((gap, 0_usize..12, step), 1..250)
}

proptest! {
    /// Whenever dispatchers send, restart or are silent, the expected work in any window stays within the stated sum.
    #[test]
    fn stated_sum_holds_in_every_window(steps in steps(), sharers in 1_u32..12, rule in 2.0_f64..5.0, window in 300_u64..4_000) {
        let (window, start) = (ms(window), ms(60_000));
        let mut buckets = vec![TokenBucket::default(); sharers as usize];
        let (mut now, mut spent) = (start, Vec::<(Nanos, f64)>::new());
        for (gap, number, step) in steps {
            now = now.after(ms(gap));
            // The capacity of the node rises.
            let rate = Rate::new(2.0 + now.since(start).secs(), rule, window, sharers);
            let bucket = &mut buckets[number % sharers as usize];
            match step {
                Step::Attempt(work_ms) => {
                    let work_s = ms(work_ms).secs();
                    spent.push((now, bucket.spend(now, &rate, work_s) * work_s));
                }
                Step::Restart => *bucket = TokenBucket::empty(now),
            }
            let in_window = spent.iter().rev().take_while(|(at, _)| now.since(*at) < window);
            let sum_s: f64 = in_window.map(|(_, work_s)| work_s).sum();
            prop_assert!(sum_s <= rate.max_in_window_s() + 1e-9, "{sum_s} of {}", rate.max_in_window_s());
        }
    }
}
