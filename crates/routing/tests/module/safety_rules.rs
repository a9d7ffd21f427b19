//! The five rules that every decision obeys.

use crate::common::*;
use copperroute_routing::interface::*;
use expect_test::expect;

#[test]
fn each_request_gets_one_final_answer() {
    let (mut module, mut trace) = start(settings());
    ask(&mut module, ms(1_000), 0, 0, 1, &mut trace);
    module.client_gone(ms(1_100), RequestId(0), &mut trace);
    module.client_gone(ms(1_100), RequestId(0), &mut trace);
    module.attempt_ended(ms(1_200), RequestId(0), 0, &end(Outcome::Cancelled, Remark::None), &mut trace);
    module.attempt_ended(ms(1_300), RequestId(0), 0, &end(Outcome::Failed, Remark::None), &mut trace);
    // After a timeout, the final answer is sent with the outcome, and nothing follows.
    ask(&mut module, ms(2_000), 1, 0, 1, &mut trace);
    module.attempt_ended(ms(5_000), RequestId(1), 0, &end(Outcome::TimedOut, Remark::None), &mut trace);
    module.client_gone(ms(5_000), RequestId(1), &mut trace);
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: cancel 0
        request 1: attempt 1 from 1 rank 1 join
        request 1: failed
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn non_retriable_request_is_retried_only_if_it_never_ran() {
    let (mut module, mut trace) = start(settings());
    ask(&mut module, ms(1_000), 0, 2, 1, &mut trace);
    module.attempt_ended(ms(1_100), RequestId(0), 0, &end(Outcome::Unreachable, Remark::None), &mut trace);
    module.attempt_ended(ms(1_200), RequestId(0), 1, &end(Outcome::Broken, Remark::None), &mut trace);
    ask(&mut module, ms(1_300), 1, 2, 1, &mut trace);
    module.attempt_ended(ms(1_400), RequestId(1), 0, &end(Outcome::TimedOut, Remark::None), &mut trace);
    expect![[r#"
        request 0: attempt 5 from 5 rank 0 join
        request 0: attempt 3 from 5 rank 0 join
        request 0: failed
        request 1: attempt 5 from 5 rank 0 join
        request 1: failed
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn deduped_requests_are_retried_within_scope_and_window() {
    let mut s = settings();
    let window = ms(500);
    s.content_types[0].retry_safety = RetrySafety::Deduped { scope: DedupScope::Cell, window };
    s.content_types[1].retry_safety = RetrySafety::Deduped { scope: DedupScope::All, window };
    let (mut module, mut trace) = start(s);
    let mut other = entry(0, 0, Readiness::Ready, Nanos::ZERO);
    other.cell = 9;
    module.nodes_changed(ms(2), &[other], &mut trace);
    for (request_id, kind, wait) in [(0, 0, 100), (1, 1, 100), (2, 1, 600)] {
        ask(&mut module, ms(1_000), request_id, kind, 1, &mut trace);
        let now = ms(1_000 + wait);
        module.attempt_ended(now, RequestId(request_id), 0, &end(Outcome::Broken, Remark::None), &mut trace);
    }
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 2 from 2 rank 0 join
        request 1: attempt 1 from 1 rank 1 join
        request 1: attempt 0 from 0 rank 1 join
        request 2: attempt 1 from 1 rank 1 join
        log: node 1 ejected
        request 2: rejected, retry-after
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn draining_and_gone_nodes_get_no_attempts() {
    let (mut module, mut trace) = start(settings());
    let drained = [1, 3].map(|id| entry(id, u32::from(id == 3), Readiness::Draining, Nanos::ZERO));
    module.nodes_changed(ms(900), &drained, &mut trace);
    for object in 0..2 {
        let now = ms(1_000 + u64::from(object));
        ask(&mut module, now, object, 0, object, &mut trace);
        miss(&mut module, now, object, &mut trace);
    }
    // A snapshot of the list: nodes that are not in it are gone.
    let kinds = [(2, 0), (4, 1), (5, 2)];
    let list = kinds.map(|(id, kind)| entry(id, kind, Readiness::Ready, Nanos::ZERO));
    module.node_list_replaced(ms(1_100), &list, &mut trace);
    ask(&mut module, ms(1_200), 9, 0, 0, &mut trace);
    miss(&mut module, ms(1_201), 9, &mut trace);
    expect![[r#"
        request 0: attempt 0 from 0 rank 0 join
        request 0: attempt 0 from 4 rank 1 join
        request 1: attempt 0 from 0 rank 0 join
        request 1: attempt 0 from 4 rank 0 join
        request 9: attempt 2 from 2 rank 1 join
        request 9: attempt 2 from 4 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

/// How many of 40 simultaneous requests go to a cache or parent that started `age` ms ago.
fn sent_to_cold(kind: u32, age: u64) -> usize {
    let (mut module, mut trace) = start(settings());
    let (now, node) = (ms(60_000), if kind == 0 { 1 } else { 4 });
    module.nodes_changed(now, &[entry(node, kind, Readiness::Ready, ms(60_000 - age))], &mut trace);
    for object in 0..40 {
        ask(&mut module, now, object, 0, object, &mut trace);
        miss(&mut module, now, object, &mut trace);
    }
    let name = if kind == 0 { format!("attempt {node} ") } else { format!("from {node} ") };
    trace.0.matches(&name).count()
}

#[test]
fn cold_nodes_get_only_this_dispatchers_share() {
    let caches = [0, 5_000, 10_000, 15_000].map(|age| sent_to_cold(0, age));
    let parents = [0, 7_000, 14_000, 21_000].map(|age| sent_to_cold(1, age));
    expect![[r#"
        caches [11, 14, 14, 21]
        parents [1, 7, 9, 10]
    "#]]
    .assert_eq(&format!("caches {caches:?}\nparents {parents:?}\n"));
}

#[test]
fn many_dispatchers_share_a_cold_parent_by_probability() {
    // The share of one dispatcher is less than one request. A hard limit would send nothing for the whole warm-up, a
    // minimum of one request for each dispatcher would overload the node. Counts the requests that all send at once.
    let sent = [0, 7_000, 14_000].map(|age| {
        let one = |seed| {
            let (mut module, mut trace) = start(Settings { seed, dispatchers: 300, ..settings() });
            let cold = entry(4, 1, Readiness::Ready, ms(60_000 - age));
            module.nodes_changed(ms(60_000), &[cold], &mut trace);
            for object in 0..4 {
                ask(&mut module, ms(60_000), object, 0, object, &mut trace);
                miss(&mut module, ms(60_000), object, &mut trace);
            }
            trace.0.matches("from 4 ").count()
        };
        (0..300).map(one).sum::<usize>()
    });
    expect![[r#"
        at 0, 7 and 14 s: [7, 28, 53]
    "#]]
    .assert_eq(&format!("at 0, 7 and 14 s: {sent:?}\n"));
}

#[test]
fn purges_limit_copy_age_until_old_copies_are_gone() {
    let (mut module, mut trace) = start(settings());
    let object = stable_hash(b"object-1");
    module.object_purged(ms(1_000), object, ms(200), &mut trace);
    for (request_id, at, kind) in [(0, 1_000, 0), (1, 2_000, 0), (2, 3_000, 1), (3, 7_500, 0), (4, 9_000, 1)]
    {
        if at == 2_000 {
            module.group_purged(ms(at), 1, Nanos::ZERO, &mut trace);
        }
        ask(&mut module, ms(at), request_id, kind, 1, &mut trace);
        miss(&mut module, ms(at), request_id, &mut trace);
    }
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 age<=0.200 join
        request 0: attempt 1 from 3 rank 1 age<=0.200 join
        request 1: attempt 1 from 1 rank 1 age<=0.000 join
        request 1: attempt 1 from 3 rank 1 age<=0.000 join
        request 2: attempt 1 from 1 rank 1 age<=1.000 join
        request 2: attempt 1 from 3 rank 1 age<=1.000 join
        request 3: attempt 1 from 1 rank 1 age<=5.500 join
        request 3: attempt 1 from 3 rank 1 age<=5.500 join
        request 4: attempt 1 from 1 rank 1 join
        request 4: attempt 1 from 3 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn cache_that_drains_during_a_lookup_is_not_filled() {
    let (mut module, mut trace) = start(settings());
    ask(&mut module, ms(1_000), 0, 0, 1, &mut trace);
    module.nodes_changed(ms(1_100), &[entry(1, 0, Readiness::Draining, Nanos::ZERO)], &mut trace);
    // A busy cache answers the lookup only after the grace period of the drain.
    miss(&mut module, ms(2_300), 0, &mut trace);
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 0 from 0 rank 0 join
    "#]]
    .assert_eq(&trace.0);
}
