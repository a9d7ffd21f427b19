//! Fills and uncacheable requests while the origin is slow, ejected or stopped, or while no parent can take a fill.

use crate::common::*;
use copperroute_routing::interface::*;
use copperroute_routing::nodes::{Node, Nodes};
use copperroute_routing::policy::Dispatcher;
use expect_test::expect;

/// Eight consecutive failures of the origin, then `more` requests that must run there.
fn after_origin_failures(outcome: Outcome, more: u32) -> String {
    let (mut module, mut trace) = start(settings());
    let mut now = ms(10);
    for request_id in 0..8 {
        ask(&mut module, now, request_id, 2, request_id, &mut trace);
        now = now.after(ms(5));
        let end = AttemptEnd { completes_request: false, ..end(outcome, Remark::SourceLost) };
        module.attempt_ended(now, RequestId(request_id), 0, &end, &mut trace);
    }
    trace.0.clear();
    for request_id in 20..20 + more {
        ask(&mut module, now.after(ms(1)), request_id, 2, request_id, &mut trace);
    }
    trace.0
}

#[test]
fn ejected_origin_still_runs_a_few_requests_unless_it_died() {
    expect![[r#"
        request 20: attempt 5 from 5 rank 0 join
        request 21: attempt 5 from 5 rank 0 join
        request 22: attempt 5 from 5 rank 0 join
        request 23: attempt 5 from 5 rank 0 join
        request 24: attempt 5 from 5 rank 0 join
    "#]]
    .assert_eq(&after_origin_failures(Outcome::Failed, 5));
    expect![[r#"
        request 20: rejected, retry-after
        request 21: rejected, retry-after
    "#]]
    .assert_eq(&after_origin_failures(Outcome::Unreachable, 2));
}

/// The nodes for a dispatcher of this location: three locations with two caches each.
fn nodes_of(zone: u32) -> Nodes {
    let mut nodes = Nodes::new(ZoneId(zone), Some(1), Some(2), true);
    let cache = |id: u32| NodeEntry { zone: ZoneId(id / 2), ..entry(id, 0, Readiness::Ready, Nanos::ZERO) };
    nodes.update_list(&(0..6).map(cache).collect::<Vec<_>>(), |e| Node::new(*e, ms(2_000), 8));
    nodes
}

#[test]
fn locations_agree_on_a_copys_order_and_ask_the_first() {
    for object in 0..200 {
        let copy = stable_hash(format!("object-{object}").as_bytes());
        let mut ranks: Vec<_> = (0..3).map(|zone| (nodes_of(zone).location_rank(copy, 0.0), zone)).collect();
        ranks.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Each location has its own rank, and the last one fills from the first.
        assert_eq!(ranks.iter().map(|rank| (rank.0 * 3.0).round() as u32).collect::<Vec<_>>(), [0, 1, 2]);
        let sibling = nodes_of(ranks[2].1).homes_in_other_locations(copy, ms(1), ms(1))[0];
        assert_eq!(sibling.0 / 2, ranks[0].1);
    }
    // With a single location, the rank is the random number.
    assert_eq!(Nodes::new(ZoneId(0), None, None, true).location_rank(7, 0.4), 0.4);
}

/// A dispatcher with a cache of another location in its list. All parents have just started.
fn parents_cold(fill_from_other_locations: bool) -> (Dispatcher, Trace) {
    let (mut module, mut trace) =
        start(Settings { fill_from_other_locations, overload_window: ms(1), ..settings() });
    let other_location = NodeEntry { zone: ZoneId(4), ..entry(6, 0, Readiness::Ready, Nanos::ZERO) };
    let parents = [3, 4].map(|id| entry(id, 1, Readiness::Ready, ms(9_999)));
    module.nodes_changed(ms(10_000), &[&parents[..], &[other_location]].concat(), &mut trace);
    (module, trace)
}

#[test]
fn without_usable_parents_a_fill_uses_a_cache_of_another_location() {
    let filled = |sideways| {
        let (mut module, mut trace) = parents_cold(sideways);
        ask(&mut module, ms(10_001), 0, 0, 1, &mut trace);
        miss(&mut module, ms(10_002), 0, &mut trace);
        trace.0
    };
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 1 from 6 rank 1 join held-only
    "#]]
    .assert_eq(&filled(true));
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: rejected, retry-after
    "#]]
    .assert_eq(&filled(false));
}

#[test]
fn fill_is_too_late_only_at_an_overloaded_cache() {
    let (mut module, mut trace) = start(settings());
    // Fetches take long, but are in time for a large object.
    for request_id in 0..300 {
        let now = ms(20 * u64::from(request_id));
        ask(&mut module, now, request_id, 0, request_id, &mut trace);
        miss(&mut module, now, request_id, &mut trace);
        let first_byte_wait = Some(ms(290));
        let end = AttemptEnd {
            first_byte_wait,
            duration: ms(390),
            ..end(Outcome::Served, Remark::FilledFromOrigin)
        };
        module.attempt_ended(now.after(ms(10)), RequestId(request_id), 1, &end, &mut trace);
    }
    trace.0.clear();
    ask(&mut module, ms(7_000), 900, 0, 900, &mut trace);
    miss(&mut module, ms(7_001), 900, &mut trace);
    expect![[r#"
        request 900: attempt 1 from 1 rank 0 join
        request 900: attempt 1 from 4 rank 0 join
    "#]]
    .assert_eq(&trace.0);
}
