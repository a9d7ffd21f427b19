//! Connections to nodes: when one more may be opened.

use crate::common::ms;
use copperroute_routing::fleet::connection_back_off::{ConnectionBackOff, NodeBackOff};
use copperroute_routing::interface::Nanos;
use expect_test::expect;
use std::collections::VecDeque;
use std::fmt::Write as _;

#[test]
fn a_single_one_that_ends_says_nothing_and_a_row_of_them_waits_longer_each_time() {
    let (mut all, mut node) = (ConnectionBackOff::new(1), NodeBackOff::default());
    let (mut now, mut trace) = (ms(1_000), String::new());
    for _ in 0..10 {
        let until = all.refused(now, &mut node);
        let wait = until.map_or(0.0, |until| until.since(now).secs());
        let _ = writeln!(trace, "{:.2} s: waits {wait:.2}, spared {}", now.secs(), all.limits_to_one(now));
        now = until.unwrap_or(now).after(ms(1));
    }
    expect![[r#"
        1.00 s: waits 0.00, spared false
        1.00 s: waits 0.17, spared true
        1.18 s: waits 0.37, spared true
        1.55 s: waits 0.49, spared true
        2.05 s: waits 1.52, spared true
        3.56 s: waits 2.63, spared true
        6.20 s: waits 5.37, spared true
        11.57 s: waits 11.91, spared true
        23.47 s: waits 22.37, spared true
        45.84 s: waits 24.48, spared true
    "#]]
    .assert_eq(&trace);
}

#[test]
fn while_any_node_turns_away_each_gets_one_and_then_a_few_again() {
    let (mut all, mut full, other) =
        (ConnectionBackOff::new(1), NodeBackOff::default(), NodeBackOff::default());
    let held =
        |all: &ConnectionBackOff, now| (0..9).find(|held| !all.may_open(now, &other, *held)).unwrap_or(9);
    assert_eq!(held(&all, ms(0)), 4);
    all.refused(ms(0), &mut full);
    assert_eq!(held(&all, ms(0)), 4);
    all.refused(ms(0), &mut full);
    assert_eq!(held(&all, ms(1)), 1);
    assert!(!all.may_open(ms(1), &full, 0));
    full.accepted();
    assert!(all.may_open(ms(1), &full, 0));
    assert_eq!(held(&all, ms(60_001)), 4);
}

/// A host that takes so many new ones a second, counting those that it turns away, and many who want one each: how
/// many were opened in all, and when the last had its own.
fn crowd(many: usize, takes: usize, patient: bool) -> (usize, Option<f64>) {
    let mut each: Vec<_> =
        (0..many).map(|at| (ConnectionBackOff::new(at as u64), NodeBackOff::default(), false)).collect();
    let (mut opened, mut last_second) = (0, VecDeque::<Nanos>::new());
    for step in 0..3_000 {
        let now = ms(step * 20);
        for (all, node, has) in &mut each {
            if *has || (patient && !all.may_open(now, node, 0)) {
                continue;
            }
            while last_second.front().is_some_and(|at| now.since(*at) >= ms(1_000)) {
                last_second.pop_front();
            }
            *has = last_second.len() < takes;
            last_second.push_back(now);
            opened += 1;
            if *has {
                node.accepted();
            } else {
                all.refused(now, node);
            }
        }
        if each.iter().all(|one| one.2) {
            return (opened, Some(now.secs()));
        }
    }
    (opened, None)
}

#[test]
fn a_host_that_bears_few_new_ones_is_not_kept_full_by_those_that_it_turned_away() {
    let (opened, last_s) = crowd(100, 12, true);
    assert!(last_s.is_some_and(|s| s < 60.0) && opened < 1_500, "{opened} {last_s:?}");
    // Who tries again at once keeps it full for ever.
    assert_eq!(crowd(100, 12, false).1, None);
}
