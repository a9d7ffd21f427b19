//! The order of looks at sockets and of writes, on a clock that is stepped by hand.

use copperroute_dispatcher::freshness::{
    Freshness, MAX_CONSECUTIVE_POLLS, MAX_POSTPONED_TURNS, MAX_POSTPONEMENT, STALE_AFTER, TimerPostponement,
};
use copperroute_routing::interface::Nanos;
use std::time::Duration;

/// So many milliseconds after the loop's start.
fn at(millis: u64) -> Nanos {
    Nanos(1_000_000_000 + millis * 1_000_000)
}

/// A loop that has looked at its sockets at once, from one time to another.
fn looked(began: u64, found: u64) -> Freshness {
    let mut freshness = Freshness::new(at(0));
    freshness.polled(at(began), Some(Duration::ZERO), at(found));
    freshness
}

/// A stop anywhere between the beginning of a look and a write asks for another look, so that who left meanwhile is heard.
#[test]
fn a_stop_between_look_and_write_asks_for_another_look() {
    let stale = STALE_AFTER.0 / 1_000_000;
    assert!(!looked(10, 10).needs_poll(at(10 + stale)));
    assert!(looked(10, 10).needs_poll(at(11 + stale)));
    // The program was stopped as the look returned: what was found is old.
    assert!(looked(10, 310).needs_poll(at(311)));
    let mut freshness = looked(10, 10);
    freshness.turn_ended(true);
    freshness.polled(at(311), Some(Duration::ZERO), at(311));
    assert!(!freshness.needs_poll(at(312)));
}

/// Looks that last too long themselves silence nobody for ever.
#[test]
fn looks_that_all_take_long_end() {
    let mut freshness = looked(0, 0);
    let mut looks = 0;
    while freshness.needs_poll(at(looks * 100 + 90)) {
        freshness.turn_ended(true);
        looks += 1;
        freshness.polled(at(looks * 100), Some(Duration::ZERO), at(looks * 100));
    }
    assert_eq!(looks, u64::from(MAX_CONSECUTIVE_POLLS));
    freshness.turn_ended(false);
    assert!(freshness.needs_poll(at(looks * 100 + 90)));
}

/// What came while the loop was busy, or stopped, has waited since then at worst; what ended a wait has not.
#[test]
fn what_came_while_the_loop_was_busy_has_lain_unread() {
    let unread = |freshness: &Freshness, now| freshness.input_delay(at(now)).0 / 1_000_000;
    let mut freshness = looked(10, 10);
    assert_eq!(unread(&freshness, 15), 0);
    // The turn itself took long.
    assert_eq!(unread(&freshness, 110), 100);
    freshness.polled(at(310), Some(Duration::ZERO), at(311));
    assert_eq!(unread(&freshness, 315), 305);
    // A wait that bytes ended.
    freshness.polled(at(315), Some(Duration::from_millis(250)), at(500));
    assert_eq!(unread(&freshness, 501), 0);
    // One that ended far behind its time.
    freshness.polled(at(505), Some(Duration::from_millis(250)), at(1_505));
    assert_eq!(unread(&freshness, 1_506), 1_001);
    freshness.polled(at(1_510), None, at(9_000));
    assert_eq!(unread(&freshness, 9_001), 0);
}

/// What was encoded long ago is encoded anew as it leaves.
#[test]
fn what_was_encoded_long_ago_is_stale() {
    assert!(!Freshness::is_stale(at(10), Nanos(at(10).0 + STALE_AFTER.0)));
    assert!(Freshness::is_stale(at(10), Nanos(at(10).0 + STALE_AFTER.0 + 1)));
}

/// What is due waits while bytes come, but neither for many turns nor for long: it was put off over 16 turns however long each
/// was, which is longer than an answer may come late by.
#[test]
fn what_is_due_is_put_off_for_a_bounded_time() {
    for turn_ms in [0, 10, 60, 400] {
        let mut put_off = TimerPostponement::default();
        let (mut turns, mut now) = (0, 0);
        while put_off.postpone(at(now), true) {
            assert!(put_off.is_active());
            turns += 1;
            now += turn_ms;
        }
        assert!(turns <= u64::from(MAX_POSTPONED_TURNS) && !put_off.is_active());
        assert!(now <= MAX_POSTPONEMENT.0 / 1_000_000 + turn_ms, "{turns} turns of {turn_ms} ms");
        assert!(put_off.postpone(at(now), true), "anew");
        assert!(!put_off.postpone(at(now), false));
    }
}
