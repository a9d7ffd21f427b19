//! What is still done while the change log is not heard.

use crate::common::*;
use copperroute_routing::change_log::Knowledge;
use copperroute_routing::interface::*;
use copperroute_routing::node_lease::LeaseTerms;

/// The log breaks here; with a grace of 1 s and the test's 0.5 s for purges, doubt begins 2.9 s and 2.4 s later.
const BROKE_MS: u64 = 10_000;

/// What is known since the log broke.
fn broken() -> Knowledge {
    let mut knowledge = Knowledge::started(ms(1));
    knowledge.heartbeat_confirmed(ms(BROKE_MS - 500), Nanos::ZERO);
    knowledge.stream_lost(ms(BROKE_MS));
    knowledge
}

/// A dispatcher that may probe, or not, whose log has broken.
fn unheard(readiness_probes: bool) -> (copperroute_routing::policy::Dispatcher, Trace) {
    let (mut module, mut trace) = start(Settings { readiness_probes, ..settings() });
    module.change_log_changed(ms(BROKE_MS), broken(), &mut trace);
    (module, trace)
}

/// The nodes to which these requests go first.
fn nodes_asked(trace: &Trace) -> Vec<u32> {
    let pulls = trace.0.lines().filter_map(|line| line.split(": pull ").nth(1));
    let mut nodes: Vec<u32> = pulls.filter_map(|rest| rest.split(' ').next()?.parse().ok()).collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

/// Which nodes requests for twenty objects go to.
fn asked_at(module: &mut copperroute_routing::policy::Dispatcher, now: Nanos) -> Vec<u32> {
    let mut trace = Trace::default();
    for object in 0..20 {
        ask(module, now, 100 + object, 0, object, &mut trace);
        module.client_gone(now, RequestId(100 + object), &mut trace);
        let cancelled = end(Outcome::Cancelled, Remark::None);
        module.attempt_ended(now, RequestId(100 + object), 0, &cancelled, &mut trace);
    }
    nodes_asked(&trace)
}

#[test]
fn copies_asked_for_in_doubt_are_younger_than_the_time_to_heed_a_purge() {
    let (mut module, mut trace) = unheard(false);
    ask(&mut module, ms(BROKE_MS + 2_399), 1, 0, 1, &mut trace);
    assert!(!trace.0.contains("age<="), "{}", trace.0);
    ask(&mut module, ms(BROKE_MS + 2_400), 2, 0, 2, &mut trace);
    assert!(trace.0.contains("age<=0.400"), "{}", trace.0);
    let mut knowledge = broken();
    knowledge.heartbeat_confirmed(ms(BROKE_MS + 3_000), Nanos::ZERO);
    module.change_log_changed(ms(BROKE_MS + 3_000), knowledge, &mut trace);
    trace.0.clear();
    ask(&mut module, ms(BROKE_MS + 3_000), 3, 0, 3, &mut trace);
    assert!(!trace.0.contains("age<="), "{}", trace.0);
}

#[test]
fn under_strict_leases_only_nodes_that_answer_probes_are_sent_work() {
    let (mut module, mut trace) = unheard(true);
    assert_eq!(asked_at(&mut module, ms(BROKE_MS + 2_800)), [0, 1, 2]);
    assert_eq!(asked_at(&mut module, ms(BROKE_MS + 2_900)), [] as [u32; 0]);
    module.readiness_probe_answered(NodeId(1), ms(BROKE_MS + 2_850), true);
    module.readiness_probe_answered(NodeId(2), ms(BROKE_MS + 2_850), false);
    assert_eq!(asked_at(&mut module, ms(BROKE_MS + 2_900)), [1]);
    // A lease is over 0.9 s after the probe was sent.
    assert_eq!(asked_at(&mut module, ms(BROKE_MS + 3_749)), [1]);
    assert_eq!(asked_at(&mut module, ms(BROKE_MS + 3_750)), [] as [u32; 0]);
    trace.0.clear();
}

#[test]
fn probes_begin_before_leases_are_needed_and_end_when_the_log_is_heard() {
    let (mut module, mut trace) = unheard(true);
    let (span, token) = trace.1.pop().expect("a timer");
    let first = ms(BROKE_MS).after(span);
    assert!(first < ms(BROKE_MS + 2_900) && first > ms(BROKE_MS + 2_000), "{first:?}");
    module.timer(first, token, &mut trace);
    let probed = trace.0.lines().filter(|line| line.starts_with("alive ")).count();
    assert_eq!(probed, 6, "three caches, two parents, the origin: {}", trace.0);
    let (span, token) = trace.1.pop().expect("a timer");
    assert!(span <= ms(300), "{span:?}");
    let mut knowledge = broken();
    knowledge.heartbeat_confirmed(first, Nanos::ZERO);
    module.change_log_changed(first, knowledge, &mut trace);
    trace.0.clear();
    trace.1.clear();
    module.timer(first.after(span), token, &mut trace);
    assert_eq!((trace.0.as_str(), trace.1.len()), ("", 0));
}

#[test]
fn without_probes_a_node_that_refused_is_left_out_until_the_log_is_heard() {
    let (mut module, mut trace) = unheard(false);
    let refusing = asked_at(&mut module, ms(BROKE_MS + 100))[0];
    module.readiness_probe_answered(NodeId(refusing), ms(BROKE_MS + 200), false);
    let others: Vec<u32> = [0, 1, 2].into_iter().filter(|node| *node != refusing).collect();
    assert_eq!(asked_at(&mut module, ms(BROKE_MS + 300)), others);
    assert_eq!(asked_at(&mut module, ms(BROKE_MS + 60_000)), others);
    let mut knowledge = broken();
    knowledge.heartbeat_confirmed(ms(BROKE_MS + 60_001), Nanos::ZERO);
    module.change_log_changed(ms(BROKE_MS + 60_001), knowledge, &mut trace);
    assert_eq!(asked_at(&mut module, ms(BROKE_MS + 60_002)), [0, 1, 2]);
}

#[test]
fn without_probes_caches_that_all_refuse_are_full_and_stay_in_use() {
    let (mut module, _) = unheard(false);
    (0..3).for_each(|node| module.readiness_probe_answered(NodeId(node), ms(BROKE_MS + 200), false));
    assert_eq!(asked_at(&mut module, ms(BROKE_MS + 5_000)), [0, 1, 2]);
}

#[test]
fn probes_at_one_node_stay_within_what_it_bears_in_fleets_of_any_size() {
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
