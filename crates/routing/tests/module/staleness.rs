//! Routing while knowledge of the change log may be stale.

use crate::common::*;
use copperroute_routing::change_log::Knowledge;
use copperroute_routing::interface::*;
use copperroute_routing::node_lease::LeaseTerms;

/// The stream of the change log is lost at this time. With a drain grace of 1 s and a purge notice of 0.5 s,
/// knowledge may be stale 2.9 s later for drains and 2.4 s later for purges.
const LOST_AT_MS: u64 = 10_000;

/// Knowledge of the change log after the stream was lost.
fn knowledge_after_loss() -> Knowledge {
    let mut knowledge = Knowledge::started(ms(1));
    knowledge.heartbeat_confirmed(ms(LOST_AT_MS - 500), Nanos::ZERO);
    knowledge.stream_lost(ms(LOST_AT_MS));
    knowledge
}

/// A dispatcher that has lost the stream of the change log, with or without readiness probes.
fn start_after_loss(readiness_probes: bool) -> (copperroute_routing::policy::Dispatcher, Trace) {
    let (mut module, mut trace) = start(Settings { readiness_probes, ..settings() });
    module.change_log_changed(ms(LOST_AT_MS), knowledge_after_loss(), &mut trace);
    (module, trace)
}

/// The nodes that attempts in this trace go to, sorted.
fn nodes_in_trace(trace: &Trace) -> Vec<u32> {
    let attempts = trace.0.lines().filter_map(|line| line.split(": attempt ").nth(1));
    let mut nodes: Vec<u32> = attempts.filter_map(|rest| rest.split(' ').next()?.parse().ok()).collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

/// The nodes that requests for twenty objects go to.
fn nodes_used(module: &mut copperroute_routing::policy::Dispatcher, now: Nanos) -> Vec<u32> {
    let mut trace = Trace::default();
    for object in 0..20 {
        ask(module, now, 100 + object, 0, object, &mut trace);
        module.client_gone(now, RequestId(100 + object), &mut trace);
        let cancelled = end(Outcome::Cancelled, Remark::None);
        module.attempt_ended(now, RequestId(100 + object), 0, &cancelled, &mut trace);
    }
    nodes_in_trace(&trace)
}

#[test]
fn copies_are_age_limited_while_purges_may_be_missed() {
    let (mut module, mut trace) = start_after_loss(false);
    ask(&mut module, ms(LOST_AT_MS + 2_399), 1, 0, 1, &mut trace);
    assert!(!trace.0.contains("age<="), "{}", trace.0);
    ask(&mut module, ms(LOST_AT_MS + 2_400), 2, 0, 2, &mut trace);
    assert!(trace.0.contains("age<=0.400"), "{}", trace.0);
    let mut knowledge = knowledge_after_loss();
    knowledge.heartbeat_confirmed(ms(LOST_AT_MS + 3_000), Nanos::ZERO);
    module.change_log_changed(ms(LOST_AT_MS + 3_000), knowledge, &mut trace);
    trace.0.clear();
    ask(&mut module, ms(LOST_AT_MS + 3_000), 3, 0, 3, &mut trace);
    assert!(!trace.0.contains("age<="), "{}", trace.0);
}

#[test]
fn under_strict_leases_only_nodes_that_answer_probes_are_sent_work() {
    let (mut module, mut trace) = start_after_loss(true);
    assert_eq!(nodes_used(&mut module, ms(LOST_AT_MS + 2_800)), [0, 1, 2]);
    assert_eq!(nodes_used(&mut module, ms(LOST_AT_MS + 2_900)), [] as [u32; 0]);
    module.readiness_probe_answered(NodeId(1), ms(LOST_AT_MS + 2_850), true);
    module.readiness_probe_answered(NodeId(2), ms(LOST_AT_MS + 2_850), false);
    assert_eq!(nodes_used(&mut module, ms(LOST_AT_MS + 2_900)), [1]);
    // A lease expires 0.9 s after the probe was sent.
    assert_eq!(nodes_used(&mut module, ms(LOST_AT_MS + 3_749)), [1]);
    assert_eq!(nodes_used(&mut module, ms(LOST_AT_MS + 3_750)), [] as [u32; 0]);
    trace.0.clear();
}

#[test]
fn probes_begin_before_leases_are_needed_and_end_when_knowledge_is_current() {
    let (mut module, mut trace) = start_after_loss(true);
    let (span, token) = trace.1.pop().expect("a timer");
    let first = ms(LOST_AT_MS).after(span);
    assert!(first < ms(LOST_AT_MS + 2_900) && first > ms(LOST_AT_MS + 2_000), "{first:?}");
    module.timer(first, token, &mut trace);
    let probed = trace.0.lines().filter(|line| line.starts_with("readiness probe ")).count();
    assert_eq!(probed, 6, "three caches, two parents, the origin: {}", trace.0);
    let (span, token) = trace.1.pop().expect("a timer");
    assert!(span <= ms(300), "{span:?}");
    let mut knowledge = knowledge_after_loss();
    knowledge.heartbeat_confirmed(first, Nanos::ZERO);
    module.change_log_changed(first, knowledge, &mut trace);
    trace.0.clear();
    trace.1.clear();
    module.timer(first.after(span), token, &mut trace);
    assert_eq!((trace.0.as_str(), trace.1.len()), ("", 0));
}

#[test]
fn without_probes_a_refusing_node_is_excluded_until_knowledge_is_current() {
    let (mut module, mut trace) = start_after_loss(false);
    let refusing = nodes_used(&mut module, ms(LOST_AT_MS + 100))[0];
    module.readiness_probe_answered(NodeId(refusing), ms(LOST_AT_MS + 200), false);
    let others: Vec<u32> = [0, 1, 2].into_iter().filter(|node| *node != refusing).collect();
    assert_eq!(nodes_used(&mut module, ms(LOST_AT_MS + 300)), others);
    assert_eq!(nodes_used(&mut module, ms(LOST_AT_MS + 60_000)), others);
    let mut knowledge = knowledge_after_loss();
    knowledge.heartbeat_confirmed(ms(LOST_AT_MS + 60_001), Nanos::ZERO);
    module.change_log_changed(ms(LOST_AT_MS + 60_001), knowledge, &mut trace);
    assert_eq!(nodes_used(&mut module, ms(LOST_AT_MS + 60_002)), [0, 1, 2]);
}

#[test]
fn without_probes_caches_that_all_refuse_stay_in_use() {
    let (mut module, _) = start_after_loss(false);
    (0..3).for_each(|node| module.readiness_probe_answered(NodeId(node), ms(LOST_AT_MS + 200), false));
    assert_eq!(nodes_used(&mut module, ms(LOST_AT_MS + 5_000)), [0, 1, 2]);
}

#[test]
fn probe_rate_at_one_node_is_bounded_for_any_fleet_size() {
    for dispatchers in [1, 3, 6, 30, 100, 300, 900] {
        let terms = LeaseTerms::new(ms(900), true, dispatchers, 60);
        let at_one_node = f64::from(dispatchers) / terms.probe_every.secs();
        assert!(
            at_one_node <= 30.01 || terms.probe_every <= ms(300),
            "{dispatchers}: {at_one_node} a second"
        );
        assert!(60.0 / terms.probe_every.secs() <= 200.1, "{dispatchers}: {terms:?}");
        assert_eq!(terms.is_strict, 2 * terms.probe_every.0 <= ms(900).0, "{dispatchers}");
    }
    assert!(!LeaseTerms::new(ms(900), false, 1, 1).is_strict);
}
