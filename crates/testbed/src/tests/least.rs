//! Tests of what `least.rs` keeps to itself.

use super::*;

fn played(change: impl FnOnce(&mut Scenario)) -> Option<Least> {
    let mut scenario = Scenario::parse(include_str!("../../scenarios/cold-start.json")).expect("a scenario");
    change(&mut scenario);
    least(&scenario)
}

#[test]
fn it_follows_the_narrowest_way_and_is_none_where_nothing_is_lost() {
    let as_is = played(|_| {}).expect("caches crash");
    assert!(as_is.back_s < 1.0 && as_is.after > 0.95 && as_is.after < 1.0, "{as_is:?}");
    let narrow = played(|scenario| scenario.fleet.link /= 8.0).expect("caches crash");
    assert!(narrow.back_s > as_is.back_s + 1.0 && narrow.after < as_is.after, "{narrow:?}");
    let more = played(|scenario| scenario.fleet.link *= 4.0).expect("caches crash");
    assert_eq!(more.back_s.max(as_is.back_s), as_is.back_s, "the origin is narrower");
    assert_eq!(
        played(|scenario| scenario.dispatchers.count = 4).map(|least| least.back_s),
        Some(as_is.back_s)
    );
    assert_eq!(played(|scenario| scenario.faults.clear()), None);
}
