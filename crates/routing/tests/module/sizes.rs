//! What nodes can do, where the list gives no sizes or wrong ones.

use crate::common::*;
use copperroute_routing::interface::*;
use copperroute_routing::node_capacity::{CapacityEstimates, NodeCapacity};
use copperroute_routing::policy::Dispatcher;
use expect_test::expect;

/// What a node of true size 6 is found to be after so many reports, or so many seconds of answers, by how it was listed.
fn found(told: bool, listed: f64, reports: u32, answered_s: u64) -> f64 {
    let (mut sizes, mut size) = (CapacityEstimates::new(told), NodeCapacity::default());
    for at in 0..reports {
        let busy = [0.4, 0.6, 0.8][at as usize % 3];
        sizes.record_load_report(None, &mut size, (0, listed), 6.0 * busy, busy);
    }
    // Of two dispatchers' work one sees a half: 60 ms each 20 ms, which take half as long again as on an idle node.
    for at in 0..answered_s * 50 {
        sizes.record_answer(ms(20 * (at + 1)), &mut size, (0, listed), 2, [0.06, 0.09]);
    }
    (sizes.estimate(&size, 0, listed) * 100.0).round() / 100.0
}

#[test]
fn sizes_are_found_from_reports_or_answers_whether_none_are_told_or_wrong_ones() {
    let row = |told, listed, reports, secs| format!("{listed}: {}\n", found(told, listed, reports, secs));
    let found = [
        "none told, listed, then by reports or by answers\n".to_string(),
        row(false, 1.0, 0, 0),
        row(false, 1.0, 1, 0),
        row(false, 1.0, 10, 0),
        row(false, 1.0, 0, 9),
        "told too small, by reports, by answers\n".to_string(),
        row(true, 3.0, 20, 0),
        row(true, 3.0, 100, 0),
        row(true, 3.0, 0, 600),
        "told too large\n".to_string(),
        row(true, 12.0, 20, 0),
        row(true, 12.0, 100, 0),
        row(true, 12.0, 0, 600),
        "told well\n".to_string(),
        row(true, 6.0, 100, 0),
        row(true, 6.0, 0, 600),
    ];
    expect![[r#"
        none told, listed, then by reports or by answers
        1: 1
        1: 5.83
        1: 6
        1: 5.98
        told too small, by reports, by answers
        3: 5.37
        3: 5.86
        3: 4.08
        told too large
        12: 7.26
        12: 6.29
        12: 8.85
        told well
        6: 6
        6: 6
    "#]]
    .assert_eq(&found.concat());
}

#[test]
fn what_is_idle_or_overrun_shows_no_size() {
    let (mut sizes, mut size) = (CapacityEstimates::new(false), NodeCapacity::default());
    for (in_hand, busy) in [(0.0, 0.5), (1.0, 0.01), (40.0, 1.0)] {
        sizes.record_load_report(None, &mut size, (0, 1.0), in_hand, busy);
    }
    assert!(!sizes.is_known(0));
}

/// Two dispatchers that ask for much, of which the list gives caches this weight and cache 2 is cold; true sizes are 12.
/// The most that was sent to the cold one, in parts of what rule 4 bears, and attempts sent to it in all.
fn cold_cache(told: bool, weight: f64, seed: u64) -> (f64, usize) {
    let s = |seed| Settings {
        seed,
        capacities_listed: told,
        load_probes: true,
        link_kb_per_s: 1e6,
        ..settings()
    };
    let mut fleet = [0, 1].map(|at| (Dispatcher::new(s(seed + at)), Trace::default()));
    let began = ms(20_000);
    for (module, trace) in &mut fleet {
        let nodes = [(0, 0), (1, 0), (2, 0), (3, 1), (4, 1), (5, 2)];
        let list =
            nodes.map(|(id, kind)| NodeEntry { weight, ..entry(id, kind, Readiness::Ready, Nanos::ZERO) });
        module.node_list_replaced(ms(1), &list, trace);
        // Warm caches say what they do.
        for at in 0..200_u64 {
            let report = LoadReport { in_flight: Some(6.0), busy: Some(0.5) };
            module.load_probe_answered(ms(50 * at), NodeId(at as u32 % 3), report);
        }
        let again = NodeEntry { weight, ..entry(2, 0, Readiness::Ready, began) };
        module.nodes_changed(began, &[again], trace);
    }
    let (mut request_id, mut sent) = (0, Vec::new());
    for step in 0..4_000_u64 {
        let now = began.after(ms(5 * step));
        for (module, trace) in &mut fleet {
            request_id += 1;
            ask(module, now, request_id, 0, request_id % 40, trace);
            let last = trace.0.lines().last().unwrap_or_default().to_string();
            if last.contains("pull 2 ") {
                sent.push(now);
            }
            if last.contains("pull") {
                let end = AttemptEnd { duration: ms(100), ..end(Outcome::Served, Remark::Hit) };
                module.attempt_ended(now, RequestId(request_id), 0, &end, trace);
            }
        }
    }
    // A request's work is 0.1 s; the cache rises from its cold share of 12 in a line.
    let s = settings();
    let worst = sent.iter().map(|from| {
        let window = sent.iter().filter(|at| **at >= *from && at.since(*from) < s.overload_window).count()
            as f64
            * 0.1;
        let risen = from.since(began).secs() / s.cache_cold.warm_after.secs();
        let present = 12.0 * (s.cache_cold.share + (1.0 - s.cache_cold.share) * risen.min(1.0));
        window / (s.cache_cold.overload_multiple * present * s.overload_window.secs())
    });
    (worst.fold(0.0, f64::max), sent.len())
}

#[test]
fn a_cold_cache_is_not_pushed_over_whatever_the_list_says_of_its_size() {
    for seed in [1, 5, 9] {
        for (told, weight) in [(false, 1.0), (true, 6.0), (true, 12.0), (true, 24.0)] {
            let (worst, attempts) = cold_cache(told, weight, seed);
            assert!(worst < 1.0, "seed {seed}, listed {weight}: {worst:.2} of what rule 4 bears");
            assert!(attempts > 300, "seed {seed}, listed {weight}: {attempts} pulls, the cache stays empty");
        }
    }
}

#[test]
fn nodes_not_met_before_are_asked_at_once_where_sizes_are_not_told() {
    let (_, trace) = start(Settings { capacities_listed: false, load_probes: true, ..settings() });
    expect![[r#"
        probe 0
        probe 1
        probe 2
        probe 3
        probe 4
    "#]]
    .assert_eq(&trace.0);
    let (_, trace) = start(Settings { capacities_listed: true, load_probes: true, ..settings() });
    assert_eq!(trace.0, "");
}
