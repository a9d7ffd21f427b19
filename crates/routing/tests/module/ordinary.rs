//! The ordinary path: MC3 decides what is kept, at which rank, and whether the parent keeps a copy.

use crate::common::*;
use copperroute_routing::interface::*;
use expect_test::expect;
use std::fmt::Write as _;

/// Settings of the only dispatcher of a location.
fn alone() -> Settings {
    Settings { zone_dispatchers: 1, ..settings() }
}

/// Asks for object 9 after each of `gaps`; a look misses and the fill is answered with `remark`.
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
fn a_first_request_passes_unkept_and_the_second_is_kept() {
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: pull 1 from 4 rank 0 join
        dl 1: pull 1 from 1 rank 1 join
        dl 1: pull 1 from 3 rank 1 join
    "#]]
    .assert_eq(&missed(&[0, 5_000], Remark::FilledFromCopy));
}

#[test]
fn the_closer_copy_makes_it_not_worth_keeping() {
    // 60 s apart: worth it two hops from a copy, not one hop from it.
    let near = missed(&[0, 60_000], Remark::FilledFromCopy);
    let far = missed(&[0, 60_000], Remark::FilledFromOrigin);
    let last = |trace: &str| trace.lines().last().unwrap_or_default().to_string();
    expect![[r#"
        near dl 1: pull 1 from 3 rank 0 join
        far  dl 1: pull 1 from 3 rank 0 join
    "#]]
    .assert_eq(&format!("near {}\nfar  {}\n", last(&near), last(&far)));
}

#[test]
fn a_hit_on_what_is_not_worth_keeping_gets_the_lowest_rank() {
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
        dl 0: pull 1 from 1 rank 0 join
        dl 1: pull 1 from 1 rank 1 join
        dl 2: pull 1 from 1 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn a_small_share_of_fills_gets_the_upper_ranks_and_the_top_skips_the_parent() {
    let (mut module, mut trace) = start(alone());
    let mut now = ms(1_000);
    // Twenty objects asked for twice, 9 s apart; then one asked for ten times a second.
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
fn a_clients_repeat_is_no_request_more() {
    // Found on scans: repeats of refused requests had one-off objects kept, at the upper ranks even.
    let (mut module, mut trace) = start(alone());
    for (request_id, at, kind) in [(0, 1_000, 0), (1, 1_200, 10), (2, 9_000, 0)] {
        ask(&mut module, ms(at), request_id, kind, 9, &mut trace);
        miss(&mut module, ms(at), request_id, &mut trace);
    }
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: pull 1 from 4 rank 0 join
        dl 1: pull 1 from 1 rank 0 join
        dl 1: pull 1 from 4 rank 0 join
        dl 2: pull 1 from 1 rank 1 join
        dl 2: pull 1 from 4 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn of_several_dispatchers_most_first_downloads_are_kept_as_the_locations_second() {
    // Found at full size: what one of twenty asks for first was mostly asked for at the location before.
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

/// A look at object 9 finds a fill of it under way for another request; then what the look after the wait finds.
fn fill_under_way(coalesces_fills: bool, again: Outcome, remark: Remark) -> String {
    let (mut module, mut trace) = start(Settings { coalesces_fills, ..alone() });
    // A look again is armed under a token whose low half is all ones.
    let waits = |trace: &mut Trace| {
        let armed = trace.1.drain(..).rfind(|(_, token)| *token as u32 == u32::MAX);
        let _ = armed.map(|(wait, _)| writeln!(trace.0, "looks again after {:.2} s", wait.secs()));
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
fn where_fills_are_not_shared_a_fill_under_way_is_waited_for_not_made_twice() {
    expect![[r#"
        dl 0: pull 1 from 1 rank 0
        looks again after 0.07 s
        dl 0: pull 1 from 1 rank 0
    "#]]
    .assert_eq(&fill_under_way(false, Outcome::Served, Remark::Hit));
    // It is under way still: once more, leaving room for a fill of its own.
    expect![[r#"
        dl 0: pull 1 from 1 rank 0
        looks again after 0.07 s
        dl 0: pull 1 from 1 rank 0
        looks again after 0.14 s
    "#]]
    .assert_eq(&fill_under_way(false, Outcome::Missed, Remark::Joined));
    // Where fills are shared, the fill rides on the one under way.
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: pull 1 from 4 rank 0 join
    "#]]
    .assert_eq(&fill_under_way(true, Outcome::Served, Remark::FilledFromCopy));
}

/// A dispatcher that also knows caches 6 and 7 of another location; a look at object 9 misses, then the fill ends so.
fn filled_elsewhere(sideways: bool, outcome: Outcome, remark: Remark) -> String {
    elsewhere(sideways, true, Nanos::ZERO, outcome, remark)
}

fn elsewhere(
    fill_from_other_locations: bool,
    spared: bool,
    started: Nanos,
    outcome: Outcome,
    remark: Remark,
) -> String {
    let (mut module, mut trace) = start(Settings { fill_from_other_locations, ..alone() });
    let away = |id| NodeEntry { zone: ZoneId(1), ..entry(id, 0, Readiness::Ready, started) };
    module.nodes_changed(ms(1), &[away(6), away(7)], &mut trace);
    // The origin has failed lately: it is spared.
    for request_id in (10..20).filter(|_| spared) {
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
fn where_caches_may_fill_from_other_locations_a_fill_asks_there_first() {
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: pull 1 from 6 rank 0 join held-only
    "#]]
    .assert_eq(&filled_elsewhere(true, Outcome::Served, Remark::FilledFromCopy));
    // What it lacks goes to the parents, and that cache is not asked again.
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: pull 1 from 6 rank 0 join held-only
        dl 0: pull 1 from 4 rank 0 held-only
    "#]]
    .assert_eq(&filled_elsewhere(true, Outcome::Missed, Remark::SourceHasNone));
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: pull 1 from 4 rank 0 join held-only
    "#]]
    .assert_eq(&filled_elsewhere(false, Outcome::Served, Remark::FilledFromCopy));
    // Caches there that have just started are not asked (rule 4).
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: pull 1 from 4 rank 0 join held-only
    "#]]
    .assert_eq(&elsewhere(true, true, ms(900), Outcome::Served, Remark::FilledFromCopy));
    // While the origin is not spared, parents fill as they would.
    expect![[r#"
        dl 0: pull 1 from 1 rank 0 join
        dl 0: pull 1 from 4 rank 0 join
    "#]]
    .assert_eq(&elsewhere(true, false, Nanos::ZERO, Outcome::Served, Remark::FilledFromCopy));
}
