//! The duplicate filter: repeated ids, how long ids are kept, and the bound on their number.

use copperroute_routing::fleet::duplicate_filter::{DuplicateFilter, Verdict};
use copperroute_routing::interface::Nanos;
use expect_test::expect;

const SECOND: u64 = 1_000_000_000;

#[test]
fn an_id_is_a_duplicate_while_it_is_kept() {
    let mut filter = DuplicateFilter::new(Nanos(5 * SECOND), 100);
    let at = |s: u64| Nanos(100 * SECOND + s * SECOND);
    let verdicts = [
        filter.check(at(0), 1),
        filter.check(at(1), 1),
        filter.check(at(1), 2),
        filter.check(at(4), 1),
        filter.check(at(6), 1),
    ];
    expect!["[New, Duplicate, New, Duplicate, New]"].assert_eq(&format!("{verdicts:?}"));
}

#[test]
fn a_flood_of_new_ids_keeps_at_most_the_bound_and_drops_the_oldest() {
    let mut filter = DuplicateFilter::new(Nanos(5 * SECOND), 1_000);
    for id in 0..10_000 {
        assert_eq!(filter.check(Nanos(SECOND + id), id), Verdict::New);
    }
    let (kept, oldest, newest) =
        (filter.len(), filter.check(Nanos(2 * SECOND), 0), filter.check(Nanos(2 * SECOND), 9_999));
    expect!["(1000, New, Duplicate)"].assert_eq(&format!("{:?}", (kept, oldest, newest)));
    filter.check(Nanos(20 * SECOND), 1);
    expect!["1"].assert_eq(&filter.len().to_string());
}
