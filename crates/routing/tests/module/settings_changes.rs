//! Settings that change while requests are in flight.

use crate::common::*;
use copperroute_routing::interface::*;
use expect_test::expect;

/// The most attempts, over some seeds, of a request that all nodes refuse, if settings change from `before` to
/// `after` while its first attempt is in flight.
fn attempts(before: &Settings, after: &Settings) -> usize {
    let one = |seed: u64| {
        let (mut module, mut trace) = start(Settings { seed, ..before.clone() });
        ask(&mut module, ms(1_000), 0, 0, 1, &mut trace);
        module.settings_changed(after);
        for number in 0..8 {
            let refused = end(Outcome::Refused, Remark::None);
            module.attempt_ended(ms(1_010), RequestId(0), number, &refused, &mut trace);
        }
        trace.0.matches("attempt").count()
    };
    (1..40).map(one).max().unwrap_or(0)
}

#[test]
fn retries_obey_pinned_and_current_rules() {
    let (loose, mut tight) = (settings(), settings());
    tight.max_attempts = 2;
    assert!(attempts(&loose, &loose) > 2);
    assert_eq!(attempts(&loose, &tight), 2);
    assert_eq!(attempts(&tight, &loose), 2);
}

#[test]
fn non_retriable_type_is_neither_retried_nor_rejected() {
    let (loose, mut tight) = (settings(), settings());
    tight.content_types[0].retry_safety = RetrySafety::NonRetriable;
    let mut traces = String::new();
    for (name, before, after) in [("tightened", &loose, &tight), ("loosened", &tight, &loose)] {
        let (mut module, mut trace) = start(before.clone());
        ask(&mut module, ms(1_000), 0, 0, 1, &mut trace);
        module.settings_changed(after);
        module.attempt_ended(ms(1_100), RequestId(0), 0, &end(Outcome::Broken, Remark::None), &mut trace);
        ask(&mut module, ms(1_200), 1, 0, 1, &mut trace);
        module.attempt_ended(ms(1_300), RequestId(1), 0, &end(Outcome::Broken, Remark::None), &mut trace);
        traces += &format!("{name}\n{}", trace.0);
    }
    expect![[r#"
        tightened
        request 0: attempt 1 from 1 rank 0 join
        request 0: failed
        request 1: attempt 1 from 1 rank 1 join
        log: node 1 ejected
        request 1: failed
        loosened
        request 0: attempt 1 from 1 rank 0 join
        request 0: failed
        request 1: attempt 1 from 1 rank 1 join
        log: node 1 ejected
        request 1: attempt 0 from 0 rank 1 join
    "#]]
    .assert_eq(&traces);
}

#[test]
fn statistics_survive_settings_changes() {
    let (mut module, mut trace) = start(settings());
    for at in 0..4 {
        ask(&mut module, ms(1_000 + 500 * at), 0, 0, 1, &mut trace);
        module.attempt_ended(
            ms(1_100 + 500 * at),
            RequestId(0),
            0,
            &end(Outcome::Served, Remark::Hit),
            &mut trace,
        );
    }
    let d = RoutingRequest {
        request_id: RequestId(9),
        content_type: TypeId(0),
        object: ObjectId(1),
        copy_hash: stable_hash(b"object-1"),
        object_hash: stable_hash(b"object-1"),
        group: None,
        deadline: ms(9_000),
        is_retry: false,
        size_kb: None,
        client: 0,
        body_hash: 0,
    };
    let demand = module.copy_demand(&d);
    let mut tight = settings();
    (tight.max_attempts, tight.cache_cold.share) = (2, 0.1);
    module.settings_changed(&tight);
    assert!(demand.is_some_and(|demand| demand.0.is_some()));
    assert_eq!(module.copy_demand(&d), demand);
    ask(&mut module, ms(4_000), 1, 0, 1, &mut trace);
    assert!(trace.0.contains("request 1: attempt"), "{}", trace.0);
}
