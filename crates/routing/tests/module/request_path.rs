//! The path of a request: MC3 decides whether a copy is kept, at which rank, and whether the parent keeps one.

use crate::common::*;
use copperroute_routing::interface::*;
use expect_test::expect;
use std::fmt::Write as _;

/// Settings of a location with a single dispatcher.
fn alone() -> Settings {
    Settings { zone_dispatchers: 1, ..settings() }
}

/// Requests object 9 after each of `gaps`, in ms. Each lookup misses, and the fill ends with `remark`.
fn missed(gaps: &[u64], remark: Remark) -> String {
    let (mut module, mut trace) = start(alone());
    let mut now = ms(1_000);
    for (request_id, gap) in gaps.iter().enumerate() {
        now = now.after(ms(*gap));
        let request_id = request_id as u32;
        ask(&mut module, now, request_id, 0, 9, &mut trace);
        miss(&mut module, now, request_id, &mut trace);
        module.attempt_ended(
            now.after(ms(120)),
            RequestId(request_id),
            1,
            &end(Outcome::Served, remark),
            &mut trace,
        );
    }
    trace.0
}

#[test]
fn first_request_is_not_kept_and_second_is() {
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 1 from 4 rank 0 join
        request 1: attempt 1 from 1 rank 1 join
        request 1: attempt 1 from 3 rank 1 join
    "#]]
    .assert_eq(&missed(&[0, 5_000], Remark::FilledFromCopy));
}

#[test]
fn copy_one_hop_away_is_not_worth_keeping() {
    // Requests 60 s apart: a copy is worth keeping two hops from the closest one, not one hop from it.
    let near = missed(&[0, 60_000], Remark::FilledFromCopy);
    let far = missed(&[0, 60_000], Remark::FilledFromOrigin);
    let last = |trace: &str| trace.lines().last().unwrap_or_default().to_string();
    expect![[r#"
        near request 1: attempt 1 from 3 rank 0 join
        far  request 1: attempt 1 from 3 rank 0 join
    "#]]
    .assert_eq(&format!("near {}\nfar  {}\n", last(&near), last(&far)));
}

#[test]
fn hit_on_copy_not_worth_keeping_gets_lowest_rank() {
    let (mut module, mut trace) = start(settings());
    for (request_id, at) in [(0, 1_000), (1, 3_000), (2, 300_000)] {
        ask(&mut module, ms(at), request_id, 1, 9, &mut trace);
        module.attempt_ended(
            ms(at + 50),
            RequestId(request_id),
            0,
            &end(Outcome::Served, Remark::Hit),
            &mut trace,
        );
    }
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 1: attempt 1 from 1 rank 1 join
        request 2: attempt 1 from 1 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn upper_ranks_are_rare_and_top_rank_leaves_no_parent_copy() {
    let (mut module, mut trace) = start(alone());
    let mut now = ms(1_000);
    // Twenty objects requested twice, 9 s apart; then one object requested ten times a second.
    let asked = (0..40).map(|n| (n % 20, 450)).chain((0..6).map(|_| (50, 100)));
    for (request_id, (object, gap)) in asked.enumerate() {
        now = now.after(ms(gap));
        let request_id = request_id as u32;
        ask(&mut module, now, request_id, 0, object, &mut trace);
        miss(&mut module, now, request_id, &mut trace);
        let filled = end(Outcome::Served, Remark::FilledFromCopy);
        module.attempt_ended(now.after(ms(20)), RequestId(request_id), 1, &filled, &mut trace);
    }
    let fills: Vec<_> = trace.0.lines().filter(|l| l.contains("from 3") || l.contains("from 4")).collect();
    let ranks = |rank: &str| fills.iter().filter(|l| l.contains(rank)).count();
    let (low, middle, top) = (ranks("rank 1"), ranks("rank 2"), ranks("rank 3"));
    let skips = ranks("no-parent-copy");
    expect![[r#"
        low 20, middle 2, top 3, skip the parent 3
    "#]]
    .assert_eq(&format!("low {low}, middle {middle}, top {top}, skip the parent {skips}\n"));
}

#[test]
fn client_retry_does_not_count_as_a_request() {
    // Guards against scans: retries of rejected requests caused objects requested only once to be kept, some at
    // upper ranks.
    let (mut module, mut trace) = start(alone());
    for (request_id, at, kind) in [(0, 1_000, 0), (1, 1_200, 10), (2, 9_000, 0)] {
        ask(&mut module, ms(at), request_id, kind, 9, &mut trace);
        miss(&mut module, ms(at), request_id, &mut trace);
    }
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 1 from 4 rank 0 join
        request 1: attempt 1 from 1 rank 0 join
        request 1: attempt 1 from 4 rank 0 join
        request 2: attempt 1 from 1 rank 1 join
        request 2: attempt 1 from 4 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn with_several_dispatchers_most_first_requests_are_kept() {
    // What is new to one of twenty dispatchers was mostly requested at the location before.
    let kept = [1, 2, 20].map(|zone_dispatchers| {
        let (mut module, mut trace) = start(Settings { zone_dispatchers, ..settings() });
        for request_id in 0..100 {
            let now = ms(1_000 + 1_000 * u64::from(request_id));
            ask(&mut module, now, request_id, 0, request_id, &mut trace);
            miss(&mut module, now, request_id, &mut trace);
            let filled = end(Outcome::Served, Remark::FilledFromCopy);
            module.attempt_ended(now.after(ms(20)), RequestId(request_id), 1, &filled, &mut trace);
        }
        trace.0.matches("rank 1").count()
    });
    expect![[r#"
        kept of 100, by 1, 2 and 20 dispatchers: [0, 55, 95]
    "#]]
    .assert_eq(&format!("kept of 100, by 1, 2 and 20 dispatchers: {kept:?}\n"));
}

/// A lookup of object 9 finds a fill in flight for another request; the lookup after the wait ends as given.
fn fill_in_flight(coalesces_fills: bool, again: Outcome, remark: Remark) -> String {
    let (mut module, mut trace) = start(Settings { coalesces_fills, ..alone() });
    // The timer of a second lookup has a token whose low half is all ones.
    let waits = |trace: &mut Trace| {
        let armed = trace.1.drain(..).rfind(|(_, token)| *token as u32 == u32::MAX);
        let _ = armed.map(|(wait, _)| writeln!(trace.0, "second lookup after {:.2} s", wait.secs()));
        armed.map(|armed| armed.1)
    };
    ask(&mut module, ms(1_000), 0, 0, 9, &mut trace);
    module.attempt_ended(ms(1_002), RequestId(0), 0, &end(Outcome::Missed, Remark::Joined), &mut trace);
    if let Some(token) = waits(&mut trace) {
        module.timer(ms(1_100), token, &mut trace);
        module.attempt_ended(ms(1_200), RequestId(0), 1, &end(again, remark), &mut trace);
        waits(&mut trace);
    }
    trace.0
}

#[test]
fn without_coalescing_a_fill_in_flight_is_waited_for() {
    expect![[r#"
        request 0: attempt 1 from 1 rank 0
        second lookup after 0.07 s
        request 0: attempt 1 from 1 rank 0
    "#]]
    .assert_eq(&fill_in_flight(false, Outcome::Served, Remark::Hit));
    // The fill is still in flight: one more wait, which leaves an attempt for a fill by this request.
    expect![[r#"
        request 0: attempt 1 from 1 rank 0
        second lookup after 0.07 s
        request 0: attempt 1 from 1 rank 0
        second lookup after 0.14 s
    "#]]
    .assert_eq(&fill_in_flight(false, Outcome::Missed, Remark::Joined));
    // With coalesced fills, the fill joins the one in flight.
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 1 from 4 rank 0 join
    "#]]
    .assert_eq(&fill_in_flight(true, Outcome::Served, Remark::FilledFromCopy));
}

/// With caches 6 and 7 of another location in the list: a lookup of object 9 misses, then the fill ends as given.
fn filled_elsewhere(sideways: bool, outcome: Outcome, remark: Remark) -> String {
    elsewhere(sideways, true, Nanos::ZERO, outcome, remark)
}

fn elsewhere(
    fill_from_other_locations: bool,
    is_limited: bool,
    started: Nanos,
    outcome: Outcome,
    remark: Remark,
) -> String {
    let (mut module, mut trace) = start(Settings { fill_from_other_locations, ..alone() });
    let other_location = |id| NodeEntry { zone: ZoneId(1), ..entry(id, 0, Readiness::Ready, started) };
    module.nodes_changed(ms(1), &[other_location(6), other_location(7)], &mut trace);
    // The origin has failed recently, so fetches from it are limited.
    for request_id in (10..20).filter(|_| is_limited) {
        ask(&mut module, ms(500), request_id, 0, request_id, &mut trace);
        miss(&mut module, ms(500), request_id, &mut trace);
        module.attempt_ended(
            ms(510),
            RequestId(request_id),
            1,
            &end(Outcome::Refused, Remark::OriginFailed),
            &mut trace,
        );
    }
    trace.0.clear();
    ask(&mut module, ms(1_000), 0, 0, 9, &mut trace);
    miss(&mut module, ms(1_001), 0, &mut trace);
    module.attempt_ended(ms(1_010), RequestId(0), 1, &end(outcome, remark), &mut trace);
    trace.0
}

#[test]
fn limited_fills_try_other_locations_first() {
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 1 from 6 rank 0 join held-only
    "#]]
    .assert_eq(&filled_elsewhere(true, Outcome::Served, Remark::FilledFromCopy));
    // If that cache has no copy, a parent fills, and the cache is not tried again.
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 1 from 6 rank 0 join held-only
        request 0: attempt 1 from 4 rank 0 held-only
    "#]]
    .assert_eq(&filled_elsewhere(true, Outcome::Missed, Remark::SourceHasNone));
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 1 from 4 rank 0 join held-only
    "#]]
    .assert_eq(&filled_elsewhere(false, Outcome::Served, Remark::FilledFromCopy));
    // Cold caches of other locations are not used (rule 4).
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 1 from 4 rank 0 join held-only
    "#]]
    .assert_eq(&elsewhere(true, true, ms(900), Outcome::Served, Remark::FilledFromCopy));
    // While fetches from the origin are not limited, a parent fills.
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 1 from 4 rank 0 join
    "#]]
    .assert_eq(&elsewhere(true, false, Nanos::ZERO, Outcome::Served, Remark::FilledFromCopy));
}
