//! The retention, also compared with a simple model: all events ever pushed, and which of them the bounds leave.

use crate::common::{at, delta, event, list, purge, secs};
use copperroute_change_log_replica::retention::{Retention, RetentionSettings, Start};
use proptest::prelude::*;
use serde_json::Value;

fn retention(bytes: usize) -> Retention {
    Retention::new(RetentionSettings { max_age: secs(10.0), bytes })
}

fn held(retention: &Retention) -> Vec<u64> {
    retention.after(0).map(|(seq, _)| seq).collect()
}

fn parsed(start: Start) -> Option<(u64, Value)> {
    match start {
        Start::Snapshot(seq, line) => Some((seq, serde_json::from_slice(&line).expect("JSON"))),
        _ => None,
    }
}

#[test]
fn events_over_a_bound_are_evicted_oldest_first_but_never_the_newest() {
    let mut retention_by_age = retention(1_000_000);
    for seq in 1..=5 {
        retention_by_age.push(at(seq as f64), event(&if seq == 1 { list(1) } else { purge(seq) }), false);
    }
    retention_by_age.evict(at(13.5));
    assert_eq!(held(&retention_by_age), [4, 5]);
    retention_by_age.evict(at(1000.0));
    assert_eq!(held(&retention_by_age), [5]);
    let mut small = retention(300);
    for seq in 1..=5 {
        small.push(at(0.0), event(&if seq == 1 { list(1) } else { purge(seq) }), false);
        assert!(small.held().1 <= 300 || small.held().0 == 1);
    }
    assert_eq!(small.last(), 5);
}

#[test]
fn a_snapshot_stands_for_evicted_events_and_shows_the_gap() {
    let mut retention = retention(1_000_000);
    for seq in 1..=6 {
        retention.push(at(seq as f64), event(&if seq == 1 { list(1) } else { purge(seq) }), false);
    }
    retention.evict(at(13.5));
    assert_eq!(held(&retention), [4, 5, 6]);
    let (seq, list) = parsed(retention.start(1)).expect("a list");
    assert_eq!((seq, &list["seq"]), (3, &Value::from(3)));
    assert_eq!(parsed(retention.start(0)).expect("a list").0, 3);
    // A snapshot under the number that the follower expects next would not show that purge 3 was lost.
    assert_eq!(parsed(retention.start(2)).expect("a list").0, 4);
    assert_eq!(retention.start(3), Start::After(3));
    assert_eq!(retention.start(9), Start::After(9));
}

#[test]
fn a_snapshot_that_hides_the_next_event_is_not_sent_as_that_event() {
    let mut retention = retention(1_000_000);
    retention.push(at(0.0), event(&list(1)), false);
    retention.push(at(0.0), event(&list(7)), true);
    assert!(!retention.continues_after(6));
    assert_eq!(retention.start(6), Start::Unavailable, "there is no later number yet");
    retention.push(at(0.0), event(&purge(8)), false);
    assert_eq!(parsed(retention.start(6)).expect("a list").0, 8);
    assert_eq!(retention.start(5), Start::After(5));
    assert_eq!(retention.start(1), Start::After(1));
}

#[derive(Debug, Clone)]
enum Step {
    Purge,
    NodeChange(u8),
    NodeList,
    /// The source skips this many events and sends a whole node list.
    Skip(u64),
    Wait(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Purge),
        3 => (0u8..4).prop_map(Step::NodeChange),
        1 => Just(Step::NodeList),
        1 => (1u64..5).prop_map(Step::Skip),
        2 => (0u32..6000).prop_map(Step::Wait),
    ]
}

proptest! {
    #[test]
    fn it_holds_what_the_model_holds(
        steps in proptest::collection::vec(step(), 1..60),
        bytes in 200usize..3_000,
    ) {
        let mut retention = retention(bytes);
        // All events pushed: number, line, time in seconds, and whether events before it were skipped.
        let mut all: Vec<(u64, String, f64, bool)> = vec![(1, list(1), 0.0, false)];
        retention.push(at(0.0), event(&list(1)), false);
        let mut now = 0.0;
        for step in steps {
            let seq = all.last().expect("one").0 + 1;
            let (seq, line, gap) = match step {
                Step::Wait(ms) => {
                    now += f64::from(ms) / 1e3;
                    retention.evict(at(now));
                    (0, String::new(), false)
                }
                Step::Purge => (seq, purge(seq), false),
                Step::NodeChange(of) => (seq, delta(seq, &format!("s-{of}"), "active"), false),
                Step::NodeList => (seq, list(seq), false),
                Step::Skip(by) => (seq + by, list(seq + by), true),
            };
            if seq > 0 {
                retention.push(at(now), event(&line), gap);
                all.push((seq, line, now, gap));
            }
            retention.check_invariants().expect("the invariants hold");
            let fits = |from: usize| {
                let rest = &all[from..];
                rest.iter().map(|(_, line, _, _)| line.len() + 64).sum::<usize>() <= bytes
                    && now - rest[0].2 <= 10.0
            };
            let first = (0..all.len()).find(|from| fits(*from)).unwrap_or(all.len() - 1);
            let model: Vec<_> = all[first..].iter().map(|of| (of.0, of.1.as_str())).collect();
            prop_assert_eq!(retention.after(0).collect::<Vec<_>>(), model);
            for since in 0..=all.last().expect("one").0 + 1 {
                check_start(&retention, &all, first, since)?;
            }
        }
    }
}

/// Checks that a follower which begins at `since` gets each event after it, or a correct snapshot that shows the loss.
fn check_start(
    retention: &Retention,
    all: &[(u64, String, f64, bool)],
    first: usize,
    since: u64,
) -> Result<(), TestCaseError> {
    match retention.start(since) {
        Start::After(from) => {
            prop_assert_eq!(from, since);
            let lacks = all[..first].iter().any(|of| of.0 > since);
            prop_assert!(!lacks, "since {}: something behind it is forgotten", since);
            let hidden = all.iter().any(|of| of.0 == since + 1 && of.3) && since > 0;
            prop_assert!(!hidden, "since {}: a list hides the next event", since);
        }
        Start::Snapshot(seq, line) => {
            prop_assert!(seq > since + 1 || since == 0, "since {}: list {} shows no loss", since, seq);
            let snapshot: Value = serde_json::from_slice(&line).expect("JSON");
            let mut ids = Vec::new();
            for of in all.iter().filter(|of| of.0 <= seq) {
                let event: Value = serde_json::from_str(&of.1).expect("JSON");
                if event["fleet"]["full"] == true {
                    ids.clear();
                }
                for server in event["fleet"]["servers"].as_array().into_iter().flatten() {
                    ids.retain(|known| *known != server["id"]);
                    ids.push(server["id"].clone());
                }
            }
            let listed = snapshot["fleet"]["servers"].as_array().into_iter().flatten();
            let listed: Vec<_> = listed.map(|server| server["id"].clone()).collect();
            prop_assert_eq!(listed, ids);
        }
        // Allowed only if no event has a number that would show the loss.
        Start::Unavailable => prop_assert!(all.last().expect("one").0 < since + 2),
    }
    Ok(())
}
