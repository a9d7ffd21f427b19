//! The order of polls and writes of the event loop, and the postponement of timers, on a simulated clock.

use copperroute_dispatcher::freshness::{
    Freshness, MAX_CONSECUTIVE_POLLS, MAX_POSTPONED_TURNS, MAX_POSTPONEMENT, STALE_AFTER, TimerPostponement,
};
use copperroute_routing::interface::Nanos;
use std::time::Duration;

/// The time `millis` milliseconds after the loop's start.
fn at(millis: u64) -> Nanos {
    Nanos(1_000_000_000 + millis * 1_000_000)
}

/// A loop with one poll without a wait, from `began` to `found`.
fn polled_once(began: u64, found: u64) -> Freshness {
    let mut freshness = Freshness::new(at(0));
    freshness.polled(at(began), Some(Duration::ZERO), at(found));
    freshness
}

/// If the program was stopped between the beginning of a poll and a write, it must poll again, so that clients that
/// left meanwhile are noticed.
#[test]
fn a_stop_between_poll_and_write_needs_another_poll() {
    let stale = STALE_AFTER.0 / 1_000_000;
    assert!(!polled_once(10, 10).needs_poll(at(10 + stale)));
    assert!(polled_once(10, 10).needs_poll(at(11 + stale)));
    // The program was stopped as the poll returned, so its result is stale.
    assert!(polled_once(10, 310).needs_poll(at(311)));
    let mut freshness = polled_once(10, 10);
    freshness.turn_ended(true);
    freshness.polled(at(311), Some(Duration::ZERO), at(311));
    assert!(!freshness.needs_poll(at(312)));
}

/// Polls that are all slow are limited in number, so that writes are not held back for ever.
#[test]
fn consecutive_slow_polls_are_limited() {
    let mut freshness = polled_once(0, 0);
    let mut polls = 0;
    while freshness.needs_poll(at(polls * 100 + 90)) {
        freshness.turn_ended(true);
        polls += 1;
        freshness.polled(at(polls * 100), Some(Duration::ZERO), at(polls * 100));
    }
    assert_eq!(polls, u64::from(MAX_CONSECUTIVE_POLLS));
    freshness.turn_ended(false);
    assert!(freshness.needs_poll(at(polls * 100 + 90)));
}

/// Input that arrives while the loop is busy or stopped may have waited since then; input that ended a wait has not.
#[test]
fn input_that_arrives_while_the_loop_is_busy_counts_as_delayed() {
    let delay_ms = |freshness: &Freshness, now| freshness.input_delay(at(now)).0 / 1_000_000;
    let mut freshness = polled_once(10, 10);
    assert_eq!(delay_ms(&freshness, 15), 0);
    // The turn was slow.
    assert_eq!(delay_ms(&freshness, 110), 100);
    freshness.polled(at(310), Some(Duration::ZERO), at(311));
    assert_eq!(delay_ms(&freshness, 315), 305);
    // A wait that input ended.
    freshness.polled(at(315), Some(Duration::from_millis(250)), at(500));
    assert_eq!(delay_ms(&freshness, 501), 0);
    // A wait that ended far too late.
    freshness.polled(at(505), Some(Duration::from_millis(250)), at(1_505));
    assert_eq!(delay_ms(&freshness, 1_506), 1_001);
    freshness.polled(at(1_510), None, at(9_000));
    assert_eq!(delay_ms(&freshness, 9_001), 0);
}

/// Output that was encoded more than `STALE_AFTER` ago is encoded again before it is written.
#[test]
fn output_encoded_long_ago_is_stale() {
    assert!(!Freshness::is_stale(at(10), Nanos(at(10).0 + STALE_AFTER.0)));
    assert!(Freshness::is_stale(at(10), Nanos(at(10).0 + STALE_AFTER.0 + 1)));
}

/// Due timers are postponed while input arrives, but only for a limited number of turns and a limited time. A limit of
/// 16 turns alone, however long each was, delayed answers for longer than they may be late.
#[test]
fn due_timers_are_postponed_for_a_bounded_time() {
    for turn_ms in [0, 10, 60, 400] {
        let mut postponement = TimerPostponement::default();
        let (mut turns, mut now) = (0, 0);
        while postponement.postpone(at(now), true) {
            assert!(postponement.is_active());
            turns += 1;
            now += turn_ms;
        }
        assert!(turns <= u64::from(MAX_POSTPONED_TURNS) && !postponement.is_active());
        assert!(now <= MAX_POSTPONEMENT.0 / 1_000_000 + turn_ms, "{turns} turns of {turn_ms} ms");
        assert!(postponement.postpone(at(now), true), "postponement starts again");
        assert!(!postponement.postpone(at(now), false));
    }
}
