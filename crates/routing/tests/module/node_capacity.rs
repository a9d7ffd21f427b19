//! Estimates of node capacity if the list gives none or wrong ones.

use crate::common::*;
use copperroute_routing::interface::*;
use copperroute_routing::node_capacity::{CapacityEstimates, NodeCapacity};
use copperroute_routing::policy::Dispatcher;
use expect_test::expect;

/// The estimate for a node of capacity 6 after some load reports or some seconds of answers, by its listed weight.
fn estimated(listed_capacities: bool, listed: f64, reports: u32, answered_s: u64) -> f64 {
    let (mut estimates, mut node_capacity) =
        (CapacityEstimates::new(listed_capacities), NodeCapacity::default());
    for at in 0..reports {
        let busy = [0.4, 0.6, 0.8][at as usize % 3];
        estimates.record_load_report(None, &mut node_capacity, (0, listed), 6.0 * busy, busy);
    }
    // One of two dispatchers sees half of the work: 60 ms each 20 ms, at 1.5 times the duration on an idle node.
    for at in 0..answered_s * 50 {
        estimates.record_answer(ms(20 * (at + 1)), &mut node_capacity, (0, listed), 2, [0.06, 0.09]);
    }
    (estimates.estimate(&node_capacity, 0, listed) * 100.0).round() / 100.0
}

#[test]
fn capacity_is_estimated_from_reports_or_answers() {
    let row = |listed_capacities, listed, reports, secs| {
        format!("{listed}: {}\n", estimated(listed_capacities, listed, reports, secs))
    };
    let found = [
        "none listed, weight, then by reports or by answers\n".to_string(),
        row(false, 1.0, 0, 0),
        row(false, 1.0, 1, 0),
        row(false, 1.0, 10, 0),
        row(false, 1.0, 0, 9),
        "listed too small, by reports, by answers\n".to_string(),
        row(true, 3.0, 20, 0),
        row(true, 3.0, 100, 0),
        row(true, 3.0, 0, 600),
        "listed too large\n".to_string(),
        row(true, 12.0, 20, 0),
        row(true, 12.0, 100, 0),
        row(true, 12.0, 0, 600),
        "listed correctly\n".to_string(),
        row(true, 6.0, 100, 0),
        row(true, 6.0, 0, 600),
    ];
    expect![[r#"
        none listed, weight, then by reports or by answers
        1: 1
        1: 5.83
        1: 6
        1: 5.98
        listed too small, by reports, by answers
        3: 5.37
        3: 5.86
        3: 4.08
        listed too large
        12: 7.26
        12: 6.29
        12: 8.85
        listed correctly
        6: 6
        6: 6
    "#]]
    .assert_eq(&found.concat());
}

#[test]
fn reports_of_idle_or_overloaded_nodes_are_not_used() {
    let (mut estimates, mut node_capacity) = (CapacityEstimates::new(false), NodeCapacity::default());
    for (in_hand, busy) in [(0.0, 0.5), (1.0, 0.01), (40.0, 1.0)] {
        estimates.record_load_report(None, &mut node_capacity, (0, 1.0), in_hand, busy);
    }
    assert!(!estimates.is_known(0));
}

/// Two dispatchers under high load whose list gives caches this weight; the real capacity is 12, and cache 2 is cold.
/// Returns the most work sent to it within a window, as a share of what rule 4 allows, and the number of attempts.
fn cold_cache(listed_capacities: bool, weight: f64, seed: u64) -> (f64, usize) {
    let s = |seed| Settings {
        seed,
        capacities_listed: listed_capacities,
        load_probes: true,
        link_kb_per_s: 1e6,
        ..settings()
    };
    let mut fleet = [0, 1].map(|at| (Dispatcher::new(s(seed + at)), Trace::default()));
    let started = ms(20_000);
    for (module, trace) in &mut fleet {
        let nodes = [(0, 0), (1, 0), (2, 0), (3, 1), (4, 1), (5, 2)];
        let list =
            nodes.map(|(id, kind)| NodeEntry { weight, ..entry(id, kind, Readiness::Ready, Nanos::ZERO) });
        module.node_list_replaced(ms(1), &list, trace);
        // Warm caches report their load.
        for at in 0..200_u64 {
            let report = LoadReport { in_flight: Some(6.0), busy: Some(0.5) };
            module.load_probe_answered(ms(50 * at), NodeId(at as u32 % 3), report);
        }
        let restarted = NodeEntry { weight, ..entry(2, 0, Readiness::Ready, started) };
        module.nodes_changed(started, &[restarted], trace);
    }
    let (mut request_id, mut sent) = (0, Vec::new());
    for step in 0..4_000_u64 {
        let now = started.after(ms(5 * step));
        for (module, trace) in &mut fleet {
            request_id += 1;
            ask(module, now, request_id, 0, request_id % 40, trace);
            let last = trace.0.lines().last().unwrap_or_default().to_string();
            if last.contains("attempt 2 ") {
                sent.push(now);
            }
            if last.contains("attempt") {
                let end = AttemptEnd { duration: ms(100), ..end(Outcome::Served, Remark::Hit) };
                module.attempt_ended(now, RequestId(request_id), 0, &end, trace);
            }
        }
    }
    // The work of a request is 0.1 s. The capacity of the cache rises linearly from its initial share of 12.
    let s = settings();
    let worst = sent.iter().map(|from| {
        let window = sent.iter().filter(|at| **at >= *from && at.since(*from) < s.overload_window).count()
            as f64
            * 0.1;
        let warmed_share = from.since(started).secs() / s.cache_cold.warm_after.secs();
        let present_capacity =
            12.0 * (s.cache_cold.share + (1.0 - s.cache_cold.share) * warmed_share.min(1.0));
        window / (s.cache_cold.overload_multiple * present_capacity * s.overload_window.secs())
    });
    (worst.fold(0.0, f64::max), sent.len())
}

#[test]
fn cold_cache_is_not_overloaded_whatever_its_listed_weight() {
    for seed in [1, 5, 9] {
        for (listed_capacities, weight) in [(false, 1.0), (true, 6.0), (true, 12.0), (true, 24.0)] {
            let (worst, attempts) = cold_cache(listed_capacities, weight, seed);
            assert!(worst < 1.0, "seed {seed}, listed {weight}: {worst:.2} of what rule 4 allows");
            assert!(
                attempts > 300,
                "seed {seed}, listed {weight}: {attempts} attempts, the cache stays empty"
            );
        }
    }
}

#[test]
fn unknown_nodes_are_probed_at_once_without_listed_capacities() {
    let (_, trace) = start(Settings { capacities_listed: false, load_probes: true, ..settings() });
    expect![[r#"
        load probe 0
        load probe 1
        load probe 2
        load probe 3
        load probe 4
    "#]]
    .assert_eq(&trace.0);
    let (_, trace) = start(Settings { capacities_listed: true, load_probes: true, ..settings() });
    assert_eq!(trace.0, "");
}
