//! Nodes and time within which duplicates of a deduped request are recognised.

use crate::common::*;
use copperroute_routing::interface::*;

#[test]
fn unknown_zone_or_cell_is_shared_with_no_node() {
    let node = |id, zone, cell| NodeEntry {
        zone: ZoneId(zone),
        cell,
        ..entry(id, 0, Readiness::Ready, Nanos::ZERO)
    };
    let (a, b) = (node(1, 2, 3), node(2, 2, 3));
    let (c, d) = (node(3, UNKNOWN_ID, UNKNOWN_ID), node(4, UNKNOWN_ID, UNKNOWN_ID));
    for scope in [DedupScope::Zone, DedupScope::Cell] {
        assert!(scope.covers(&a, &b) && scope.covers(&c, &c));
        assert!(!scope.covers(&c, &d) && !scope.covers(&a, &c));
    }
    assert!(DedupScope::All.covers(&c, &d));
}

#[test]
fn retry_must_be_sent_before_the_window_ends() {
    let deduped = RetrySafety::Deduped { scope: DedupScope::All, window: ms(400) };
    assert_eq!(deduped.send_by(ms(1_000)), Some(ms(1_375)));
    // A window shorter than the margin allows no retry.
    let short = RetrySafety::Deduped { scope: DedupScope::All, window: ms(10) };
    assert_eq!(short.send_by(ms(1_000)), Some(ms(1_000)));
    assert_eq!(
        (RetrySafety::Retriable.send_by(ms(1)), RetrySafety::NonRetriable.send_by(ms(1))),
        (None, None)
    );
}
