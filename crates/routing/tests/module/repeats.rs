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
    let (c, d) = (node(3, UNTOLD, UNTOLD), node(4, UNTOLD, UNTOLD));
    for scope in [DedupScope::Zone, DedupScope::Cell] {
        assert!(scope.holds_both(&a, &b) && scope.holds_both(&c, &c));
        assert!(!scope.holds_both(&c, &d) && !scope.holds_both(&a, &c));
    }
    assert!(DedupScope::All.holds_both(&c, &d));
}

#[test]
fn a_repeat_is_written_a_little_before_its_time_ends() {
    let deduped = Repeat::Deduped { scope: DedupScope::All, window: ms(400) };
    assert_eq!(deduped.send_by(ms(1_000)), Some(ms(1_375)));
    // A window shorter than that leaves no time at all.
    let short = Repeat::Deduped { scope: DedupScope::All, window: ms(10) };
    assert_eq!(short.send_by(ms(1_000)), Some(ms(1_000)));
    assert_eq!((Repeat::Retriable.send_by(ms(1)), Repeat::NonRetriable.send_by(ms(1))), (None, None));
}
