//! An origin that is slow, set aside or stopped, and parents that bear nothing: who fetches then, and what still runs.

use crate::common::*;
use copperroute_routing::interface::*;
use copperroute_routing::nodes::{Node, Nodes};
use copperroute_routing::policy::Dispatcher;
use expect_test::expect;

/// Fails the origin eight times in a row, then asks for `more` requests that must run there.
fn aside(outcome: Outcome, more: u32) -> String {
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
fn a_few_that_must_run_at_the_origin_still_do_while_it_is_set_aside_unless_it_died() {
    expect![[r#"
        dl 20: pull 5 from 5 rank 0 join
        dl 21: pull 5 from 5 rank 0 join
        dl 22: pull 5 from 5 rank 0 join
        dl 23: pull 5 from 5 rank 0 join
        dl 24: pull 5 from 5 rank 0 join
    "#]]
    .assert_eq(&aside(Outcome::Failed, 5));
    expect![[r#"
        dl 20: throttled, come back
        dl 21: throttled, come back
    "#]]
    .assert_eq(&aside(Outcome::Unreachable, 2));
}

/// The nodes as a dispatcher of this location sees them: three locations with two caches each.
fn seen_from(zone: u32) -> Nodes {
    let mut nodes = Nodes::new(ZoneId(zone), Some(1), Some(2), true);
    let cache = |id: u32| NodeEntry { zone: ZoneId(id / 2), ..entry(id, 0, Readiness::Ready, Nanos::ZERO) };
    nodes.update_list(&(0..6).map(cache).collect::<Vec<_>>(), |e| Node::new(*e, ms(2_000), 8));
    nodes
}

#[test]
fn locations_have_one_order_for_a_copy_and_ask_the_first_of_it() {
    for object in 0..200 {
        let copy = stable_hash(format!("object-{object}").as_bytes());
        let mut turns: Vec<_> = (0..3).map(|zone| (seen_from(zone).location_rank(copy, 0.0), zone)).collect();
        turns.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Each has a place of its own, and the last asks the first.
        assert_eq!(turns.iter().map(|turn| (turn.0 * 3.0).round() as u32).collect::<Vec<_>>(), [0, 1, 2]);
        let asked = seen_from(turns[2].1).homes_in_other_locations(copy, ms(1), ms(1))[0];
        assert_eq!(asked.0 / 2, turns[0].1);
    }
    // Alone, chance decides as for any share.
    assert_eq!(Nodes::new(ZoneId(0), None, None, true).location_rank(7, 0.4), 0.4);
}

/// A dispatcher with a cache of another location in its list, whose parents have all just started.
fn parents_cold(fill_from_other_locations: bool) -> (Dispatcher, Trace) {
    let (mut module, mut trace) =
        start(Settings { fill_from_other_locations, overload_window: ms(1), ..settings() });
    let away = NodeEntry { zone: ZoneId(4), ..entry(6, 0, Readiness::Ready, Nanos::ZERO) };
    let parents = [3, 4].map(|id| entry(id, 1, Readiness::Ready, ms(9_999)));
    module.nodes_changed(ms(10_000), &[&parents[..], &[away]].concat(), &mut trace);
    (module, trace)
}

#[test]
fn where_no_parent_bears_a_fill_the_copys_cache_of_another_location_is_asked() {
    let filled = |sideways| {
        let (mut module, mut trace) = parents_cold(sideways);
        ask(&mut module, ms(10_001), 0, 0, 1, &mut trace);
        miss(&mut module, ms(10_002), 0, &mut trace);
        trace.0
    };
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: pull 1 from 6 rank 1 join held-only
    "#]]
    .assert_eq(&filled(true));
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: throttled, come back
    "#]]
    .assert_eq(&filled(false));
}

#[test]
fn a_fill_is_too_late_only_at_a_cache_that_is_loaded_over_what_it_can_do() {
    let (mut module, mut trace) = start(settings());
    // Fetches have come to take long, though in time for a large object.
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
        dl 900: pull 1 from 1 rank 0 join
        dl 900: pull 1 from 4 rank 0 join
    "#]]
    .assert_eq(&trace.0);
}
