//! Connection back-off: when one more connection to a node may be opened.

use crate::common::ms;
use copperroute_routing::fleet::connection_back_off::{ConnectionBackOff, NodeBackOff};
use copperroute_routing::interface::Nanos;
use expect_test::expect;
use std::collections::VecDeque;
use std::fmt::Write as _;

#[test]
fn a_single_refusal_has_no_effect_and_consecutive_ones_wait_longer_each_time() {
    let (mut back_off, mut node) = (ConnectionBackOff::new(1), NodeBackOff::default());
    let (mut now, mut trace) = (ms(1_000), String::new());
    for _ in 0..10 {
        let until = back_off.refused(now, &mut node);
        let wait = until.map_or(0.0, |until| until.since(now).secs());
        let _ =
            writeln!(trace, "{:.2} s: waits {wait:.2}, limited {}", now.secs(), back_off.limits_to_one(now));
        now = until.unwrap_or(now).after(ms(1));
    }
    expect![[r#"
        1.00 s: waits 0.00, limited false
        1.00 s: waits 0.17, limited true
        1.18 s: waits 0.37, limited true
        1.55 s: waits 0.49, limited true
        2.05 s: waits 1.52, limited true
        3.56 s: waits 2.63, limited true
        6.20 s: waits 5.37, limited true
        11.57 s: waits 11.91, limited true
        23.47 s: waits 22.37, limited true
        45.84 s: waits 24.48, limited true
    "#]]
    .assert_eq(&trace);
}

#[test]
fn while_any_node_refuses_connections_each_node_gets_one_and_later_several_again() {
    let (mut back_off, mut full, other) =
        (ConnectionBackOff::new(1), NodeBackOff::default(), NodeBackOff::default());
    let limit = |back_off: &ConnectionBackOff, now| {
        (0..9).find(|open| !back_off.may_open(now, &other, *open)).unwrap_or(9)
    };
    assert_eq!(limit(&back_off, ms(0)), 4);
    back_off.refused(ms(0), &mut full);
    assert_eq!(limit(&back_off, ms(0)), 4);
    back_off.refused(ms(0), &mut full);
    assert_eq!(limit(&back_off, ms(1)), 1);
    assert!(!back_off.may_open(ms(1), &full, 0));
    full.accepted();
    assert!(back_off.may_open(ms(1), &full, 0));
    assert_eq!(limit(&back_off, ms(60_001)), 4);
}

/// `dispatchers` that each need one connection to a host that accepts `accepts_per_s` new connections per second,
/// counting those that it refuses: how many connections were opened in all, and in which second the last dispatcher was
/// accepted.
fn connect_all(dispatchers: usize, accepts_per_s: usize, backs_off: bool) -> (usize, Option<f64>) {
    let mut each: Vec<_> = (0..dispatchers)
        .map(|at| (ConnectionBackOff::new(at as u64), NodeBackOff::default(), false))
        .collect();
    let (mut opened, mut last_second) = (0, VecDeque::<Nanos>::new());
    for step in 0..3_000 {
        let now = ms(step * 20);
        for (back_off, node, is_accepted) in &mut each {
            if *is_accepted || (backs_off && !back_off.may_open(now, node, 0)) {
                continue;
            }
            while last_second.front().is_some_and(|at| now.since(*at) >= ms(1_000)) {
                last_second.pop_front();
            }
            *is_accepted = last_second.len() < accepts_per_s;
            last_second.push_back(now);
            opened += 1;
            if *is_accepted {
                node.accepted();
            } else {
                back_off.refused(now, node);
            }
        }
        if each.iter().all(|(_, _, is_accepted)| *is_accepted) {
            return (opened, Some(now.secs()));
        }
    }
    (opened, None)
}

#[test]
fn a_host_that_accepts_few_connections_is_not_kept_overloaded_by_refused_dispatchers() {
    let (opened, last_s) = connect_all(100, 12, true);
    assert!(last_s.is_some_and(|s| s < 60.0) && opened < 1_500, "{opened} {last_s:?}");
    // Immediate retries keep the host overloaded forever.
    assert_eq!(connect_all(100, 12, false).1, None);
}
