//! Within which nodes, and until when, a repeat of a deduped request is known.

use crate::common::*;
use copperroute_routing::interface::*;

#[test]
fn nodes_whose_zone_or_cell_is_not_told_share_it_with_nobody() {
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
fn a_repeat_is_written_a_little_before_its_time_ends() {
    let deduped = RetrySafety::Deduped { scope: DedupScope::All, window: ms(400) };
    assert_eq!(deduped.send_by(ms(1_000)), Some(ms(1_375)));
    // A window shorter than that leaves no time at all.
    let short = RetrySafety::Deduped { scope: DedupScope::All, window: ms(10) };
    assert_eq!(short.send_by(ms(1_000)), Some(ms(1_000)));
    assert_eq!(
        (RetrySafety::Retriable.send_by(ms(1)), RetrySafety::NonRetriable.send_by(ms(1))),
        (None, None)
    );
}
