//! Failures of nodes, links and sources, and how the dispatcher reacts to them.

use crate::common::*;
use copperroute_routing::interface::*;
use expect_test::expect;

/// For each of `names`, the number of lines that contain it.
fn counts(trace: &Trace, names: &[&str]) -> String {
    let count = |name: &&str| {
        format!("{}: {}\n", name.trim(), trace.0.lines().filter(|line| line.contains(*name)).count())
    };
    names.iter().map(count).collect()
}

#[test]
fn fills_beyond_link_capacity_are_rejected_at_once() {
    let (mut module, mut trace) = start(settings());
    for object in 0..30 {
        ask(&mut module, ms(1_000), object, 0, object, &mut trace);
        miss(&mut module, ms(1_001), object, &mut trace);
    }
    expect![[r#"
        from 3: 6
        from 4: 10
        rejected: 14
    "#]]
    .assert_eq(&counts(&trace, &["from 3", "from 4", "rejected"]));
}

#[test]
fn silent_cache_is_ejected_and_its_attempts_are_retried_elsewhere() {
    let (mut module, mut trace) = start(settings());
    (0..2).for_each(|request_id| ask(&mut module, ms(1_000), request_id, 0, 9, &mut trace));
    module.timer(ms(1_600), 1, &mut trace);
    let cancelled = end(Outcome::Cancelled, Remark::None);
    (0..2).for_each(|request_id| {
        module.attempt_ended(ms(1_600), RequestId(request_id), 0, &cancelled, &mut trace)
    });
    ask(&mut module, ms(1_700), 7, 0, 9, &mut trace);
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 1: attempt 1 from 1 rank 1 join
        log: node 1 ejected
        request 0: cancel 0
        request 1: cancel 0
        request 0: attempt 2 from 2 rank 0 join
        request 1: attempt 2 from 2 rank 1 join
        request 7: attempt 2 from 2 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn failing_cache_is_ejected_then_half_open() {
    let (mut module, mut trace) = start(settings());
    for request_id in 0..2 {
        ask(&mut module, ms(1_000), request_id, 0, 9, &mut trace);
        module.attempt_ended(
            ms(1_010),
            RequestId(request_id),
            0,
            &end(Outcome::Failed, Remark::None),
            &mut trace,
        );
        module.attempt_ended(
            ms(1_020),
            RequestId(request_id),
            1,
            &end(Outcome::Served, Remark::Hit),
            &mut trace,
        );
    }
    for (request_id, at) in [(10, 7_000), (11, 7_001)] {
        ask(&mut module, ms(at), request_id, 0, 9, &mut trace);
    }
    module.attempt_ended(ms(7_100), RequestId(10), 0, &end(Outcome::Served, Remark::Hit), &mut trace);
    ask(&mut module, ms(7_200), 12, 0, 9, &mut trace);
    expect![[r#"
        request 0: attempt 1 from 1 rank 0 join
        request 0: attempt 2 from 2 rank 0 join
        request 1: attempt 1 from 1 rank 1 join
        request 1: attempt 2 from 2 rank 1 join
        log: node 1 ejected
        request 10: attempt 1 from 1 rank 1 join
        request 11: attempt 2 from 2 rank 1 join
        request 12: attempt 1 from 1 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn request_that_fails_everywhere_ejects_no_cache() {
    let (mut module, mut trace) = start(settings());
    for request_id in 0..3 {
        ask(&mut module, ms(1_000), request_id, 0, 9, &mut trace);
        for number in 0..3 {
            let error = end(Outcome::Failed, Remark::None);
            module.attempt_ended(ms(1_010), RequestId(request_id), number, &error, &mut trace);
        }
    }
    assert!(!trace.0.contains(" ejected"), "{}", trace.0);
}

#[test]
fn broken_connection_counts_as_one_failure() {
    let (mut module, mut trace) = start(settings());
    (0..4).for_each(|request_id| ask(&mut module, ms(1_000), request_id, 0, 9, &mut trace));
    trace.0.clear();
    for (request_id, outcome) in [(0, Outcome::Broken), (1, Outcome::Broken), (2, Outcome::NotSent)] {
        module.attempt_ended(ms(1_010), RequestId(request_id), 0, &end(outcome, Remark::None), &mut trace);
    }
    module.attempt_ended(ms(1_020), RequestId(3), 0, &end(Outcome::Broken, Remark::None), &mut trace);
    expect![[r#"
        request 0: attempt 2 from 2 rank 0 join
        request 1: attempt 2 from 2 rank 1 join
        request 2: attempt 1 from 1 rank 1 join
        log: node 1 ejected
        request 3: attempt 2 from 2 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn busy_cache_survives_two_resets_but_not_two_failed_connects() {
    for (outcome, ejected) in [(Outcome::Broken, false), (Outcome::Unreachable, true)] {
        let (mut module, mut trace) = start(settings());
        for request_id in 0..40 {
            let at = ms(1_000 + 20 * u64::from(request_id));
            ask(&mut module, at, request_id, 0, 9, &mut trace);
            module.attempt_ended(
                at.after(ms(10)),
                RequestId(request_id),
                0,
                &end(Outcome::Served, Remark::Hit),
                &mut trace,
            );
        }
        for request_id in 40..42 {
            let at = ms(1_000 + 20 * u64::from(request_id));
            ask(&mut module, at, request_id, 0, 9, &mut trace);
            module.attempt_ended(
                at.after(ms(1)),
                RequestId(request_id),
                0,
                &end(outcome, Remark::None),
                &mut trace,
            );
        }
        assert_eq!(trace.0.contains(" ejected"), ejected, "{outcome:?}");
    }
}

#[test]
fn silent_origin_leaves_parent_copies_in_use() {
    // Nine fills get no answer, while the caches answer and both parents serve cached copies.
    let (mut module, mut trace) = start(settings());
    for request_id in 0..15 {
        let at = ms(if request_id < 9 { 1_000 } else { 1_400 });
        ask(&mut module, at, request_id, 0, request_id, &mut trace);
        miss(&mut module, at, request_id, &mut trace);
        if request_id >= 9 {
            let held = end(Outcome::Served, Remark::FilledFromCopy);
            module.attempt_ended(ms(1_450), RequestId(request_id), 1, &held, &mut trace);
        }
    }
    trace.0.clear();
    (0..9)
        .for_each(|request_id| module.timer(ms(1_600), request_id << 32 | (2 * request_id + 2), &mut trace));
    ask(&mut module, ms(1_700), 20, 0, 30, &mut trace);
    miss(&mut module, ms(1_701), 20, &mut trace);
    expect![[r#"
        log: node 5 ejected
        request 20: attempt 1 from 1 rank 0 join
        request 20: attempt 1 from 3 rank 0 join held-only
    "#]]
    .assert_eq(&trace.0);
}

/// Sources of 12 fills when parent 3 has a short time to first byte and sends slowly; `other` is the readiness of
/// parent 4.
fn with_a_slow_parent(other: Readiness) -> String {
    let (mut module, mut trace) = start(settings());
    module.nodes_changed(ms(900), &[entry(4, 1, other, Nanos::ZERO)], &mut trace);
    for request_id in 0..12 {
        let now = ms(1_000 + 100 * u64::from(request_id));
        ask(&mut module, now, request_id, 0, 9, &mut trace);
        miss(&mut module, now, request_id, &mut trace);
        let is_slow = trace.0.lines().last().is_some_and(|line| line.contains("from 3"));
        let (duration, first_byte_wait) =
            if is_slow { (ms(900), Some(ms(10))) } else { (ms(130), Some(ms(30))) };
        let ended = AttemptEnd { duration, first_byte_wait, ..end(Outcome::Served, Remark::FilledFromCopy) };
        module.attempt_ended(now.after(ms(90)), RequestId(request_id), 1, &ended, &mut trace);
    }
    counts(&trace, &["from 3", "from 4", "from 5"])
}

#[test]
fn slow_parent_is_replaced_by_other_parent_or_origin() {
    expect![[r#"
        from 3: 1
        from 4: 11
        from 5: 0
        from 3: 1
        from 4: 0
        from 5: 11
    "#]]
    .assert_eq(&[Readiness::Ready, Readiness::Gone].map(with_a_slow_parent).concat());
}

#[test]
fn without_available_caches_a_parent_gets_direct_attempts() {
    let (mut module, mut trace) = start(settings());
    let gone = [0, 1, 2].map(|id| entry(id, 0, Readiness::Gone, Nanos::ZERO));
    module.nodes_changed(ms(900), &gone, &mut trace);
    ask(&mut module, ms(1_000), 0, 0, 9, &mut trace);
    let mut s = settings();
    s.direct_to_parents = false;
    let (mut module, _) = start(s);
    module.nodes_changed(ms(900), &gone, &mut trace);
    ask(&mut module, ms(1_000), 1, 0, 9, &mut trace);
    expect![[r#"
        request 0: attempt 4 from 5 rank 0 join
        request 1: rejected, retry-after
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn caches_that_answer_stay_in_use_when_all_fail_at_times() {
    let (mut module, mut trace) = start(settings());
    for request_id in 0..60 {
        let now = ms(1_000 + 20 * u64::from(request_id));
        ask(&mut module, now, request_id, 0, request_id, &mut trace);
        let ok = request_id % 5 < 2;
        let (outcome, remark) =
            if ok { (Outcome::Served, Remark::Hit) } else { (Outcome::Broken, Remark::None) };
        module.attempt_ended(now, RequestId(request_id), 0, &end(outcome, remark), &mut trace);
    }
    expect![[r#"
        ejected: 3
        rejected: 0
    "#]]
    .assert_eq(&counts(&trace, &[" ejected", "rejected"]));
}

#[test]
fn load_follows_slow_hits_not_own_attempts_in_flight() {
    // Own attempts in flight, multiplied by twenty dispatchers, sent nearly every request to another cache than the
    // first in hash order; without any such estimate an overloaded cache was not noticed.
    let (mut module, mut trace) = start(Settings { zone_dispatchers: 20, ..settings() });
    (0..4).for_each(|request_id| ask(&mut module, ms(1_000), request_id, 0, 9, &mut trace));
    let slow = AttemptEnd { duration: ms(1_500), ..end(Outcome::Served, Remark::Hit) };
    (0..4)
        .for_each(|request_id| module.attempt_ended(ms(2_500), RequestId(request_id), 0, &slow, &mut trace));
    for request_id in 10..16 {
        ask(&mut module, ms(2_500), request_id, 0, 2, &mut trace);
        module.attempt_ended(
            ms(2_600),
            RequestId(request_id),
            0,
            &end(Outcome::Served, Remark::Hit),
            &mut trace,
        );
    }
    trace.0.clear();
    (0..2).for_each(|request_id| ask(&mut module, ms(2_600), request_id, 0, 9, &mut trace));
    expect![[r#"
        request 0: attempt 1 from 1 rank 1 join
        request 1: attempt 2 from 2 rank 1 join
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn busy_cache_limits_fills_before_hits() {
    // Under overload, fills cost a full cache as much as hits do, and load the link and the parents as well.
    let served = [1, 2].map(|load| {
        let mut s = Settings { zone_dispatchers: 20, ..settings() };
        s.content_types[0].latency_target_stretch = 1.0;
        s.client_kb_per_s = 2_000.0;
        let (mut module, mut trace) = start(s);
        let busy = AttemptEnd {
            report: LoadReport { in_flight: Some(12.0 * f64::from(load)), busy: None },
            ..end(Outcome::Served, Remark::Hit)
        };
        for request_id in 0..60 {
            ask(&mut module, ms(1_000), request_id, 0, request_id, &mut trace);
            module.attempt_ended(ms(1_500), RequestId(request_id), 0, &busy, &mut trace);
        }
        trace.0.clear();
        ask(&mut module, ms(1_600), 70, 0, 70, &mut trace);
        miss(&mut module, ms(1_601), 70, &mut trace);
        format!("load {load}\n{}", trace.0)
    });
    expect![[r#"
        load 1
        request 70: attempt 2 from 2 rank 0 join
        request 70: attempt 2 from 4 rank 1 join
        load 2
        request 70: attempt 2 from 2 rank 0 join
        request 70: attempt 2 from 4 rank 1 join
    "#]]
    .assert_eq(&served.concat());
}

#[test]
fn fills_leave_a_silent_parent_after_two_failures() {
    // One of hundreds of dispatchers uses a parent every few seconds, so it never sees three failures within 2 s. Each
    // of its fills then waited until the deadline.
    let (mut module, mut trace) = start(settings());
    module.nodes_changed(ms(900), &[entry(5, 2, Readiness::Gone, Nanos::ZERO)], &mut trace);
    for (request_id, at) in [(0, 1_000), (1, 4_000)] {
        ask(&mut module, ms(at), request_id, 0, 21, &mut trace);
        miss(&mut module, ms(at + 1), request_id, &mut trace);
    }
    module.timer(ms(1_600), 2, &mut trace);
    module.timer(ms(4_600), 1 << 32 | 4, &mut trace);
    expect![[r#"
        request 0: attempt 0 from 0 rank 0 join
        request 0: attempt 0 from 4 rank 1 join
        request 1: attempt 0 from 0 rank 1 join
        request 1: attempt 0 from 4 rank 1 join
        log: node 4 ejected
        request 0: cancel 1
        request 1: cancel 1
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn retries_become_rare_when_sources_refuse_fills() {
    // Second fills were not counted as retries, so each request made all six attempts.
    let (mut module, mut trace) = start(settings());
    let attempts = (0..6).map(|request_id| {
        trace.0.clear();
        ask(&mut module, ms(1_000), request_id, 0, 10 * request_id, &mut trace);
        for number in 0..6 {
            let refused = end(Outcome::Refused, Remark::SourceRefused);
            let ended = if number % 2 == 0 { end(Outcome::Missed, Remark::None) } else { refused };
            module.attempt_ended(ms(1_010), RequestId(request_id), number, &ended, &mut trace);
        }
        trace.0.matches("attempt").count()
    });
    expect![[r#"
        attempts for each of six: [4, 2, 4, 1, 1, 3]
    "#]]
    .assert_eq(&format!("attempts for each of six: {:?}\n", attempts.collect::<Vec<_>>()));
}

#[test]
fn ejection_jitter_spreads_first_attempts_after_ejection() {
    // Hundreds of dispatchers that find a cache dead at the same time must not all try it again at the same time.
    let first_attempt_ms = |seed| {
        let (mut module, mut trace) = start(Settings { seed, ..settings() });
        ask(&mut module, ms(1_000), 0, 0, 9, &mut trace);
        module.timer(ms(1_600), 1, &mut trace);
        module.attempt_ended(ms(1_600), RequestId(0), 0, &end(Outcome::Cancelled, Remark::None), &mut trace);
        trace.0.clear();
        let tries = (0..100_u32).map(|step| (step, ms(3_000 + 50 * u64::from(step))));
        let mut asked = tries.map(|(step, now)| {
            ask(&mut module, now, 10 + step, 0, 9, &mut trace);
            (now.0 / 1_000_000, trace.0.contains("attempt 1 "))
        });
        asked.find(|(_, attempted)| *attempted).map_or(0, |(now, _)| now)
    };
    let mut seconds = [0; 8];
    (0..200).for_each(|seed| seconds[(first_attempt_ms(seed) / 1_000) as usize] += 1);
    expect![[r#"
        first attempts in second 0, 1, ...: [0, 0, 0, 0, 35, 100, 65, 0]
    "#]]
    .assert_eq(&format!("first attempts in second 0, 1, ...: {seconds:?}\n"));
}
