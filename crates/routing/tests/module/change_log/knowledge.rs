//! From when on events that were not heard may count as told.

use crate::common::ms;
use copperroute_routing::change_log::Knowledge;
use copperroute_routing::interface::Nanos;
use proptest::prelude::*;

/// The time to heed a purge, and for the last work to leave for a node that drains.
const GRACE: Nanos = Nanos(1_000_000_000);
/// A dispatcher's clock does not begin at zero.
const START_MS: u64 = 100_000;

/// A stream that was in time up to a moment.
fn followed() -> Knowledge {
    let mut knowledge = Knowledge::started(ms(START_MS));
    knowledge.request_sent(ms(START_MS));
    (0..5).for_each(|second| knowledge.heartbeat_confirmed(ms(START_MS + second * 1_000), Nanos::ZERO));
    knowledge
}

/// When the last heartbeat of [`followed`] came.
const LAST_MS: u64 = START_MS + 4_000;

/// The first millisecond of doubt, unless more is heard.
fn doubted_from(knowledge: &Knowledge) -> u64 {
    (LAST_MS..LAST_MS + 20_000)
        .find(|at| knowledge.may_be_stale(ms(*at), GRACE))
        .expect("some time nothing is sure any more")
        - LAST_MS
}

#[test]
fn what_a_stream_that_stops_would_have_told_counts_after_four_seconds() {
    assert_eq!(doubted_from(&followed()), 4_900);
}

#[test]
fn what_a_stream_that_breaks_would_have_told_counts_after_two_seconds() {
    let mut knowledge = followed();
    knowledge.stream_lost(ms(LAST_MS + 300));
    assert_eq!(doubted_from(&knowledge), 300 + 2_900);
    // A second end does not put that off.
    knowledge.stream_lost(ms(LAST_MS + 900));
    assert_eq!(doubted_from(&knowledge), 300 + 2_900);
}

#[test]
fn what_is_asked_for_counts_at_once() {
    let mut knowledge = followed();
    knowledge.stream_lost(ms(LAST_MS + 300));
    knowledge.request_sent(ms(LAST_MS + 400));
    assert_eq!(doubted_from(&knowledge), 400 + 900);
    knowledge.heartbeat_confirmed(ms(LAST_MS + 1_000), Nanos::ZERO);
    assert_eq!(doubted_from(&knowledge), 1_000 + 4_900);
}

#[test]
fn a_second_stream_that_is_asked_beside_one_in_time_changes_nothing() {
    let mut knowledge = followed();
    knowledge.request_sent(ms(LAST_MS + 1_200));
    assert_eq!(doubted_from(&knowledge), 4_900);
}

#[test]
fn a_change_log_that_moves_has_no_longer_than_one_that_stops_and_counts_once_it_is_asked() {
    let mut knowledge = followed();
    knowledge.address_changed(ms(LAST_MS + 100));
    assert_eq!(doubted_from(&knowledge), 4_900);
    knowledge.request_sent(ms(LAST_MS + 200));
    assert_eq!(doubted_from(&knowledge), 200 + 900);
}

#[test]
fn a_stream_that_is_late_by_the_grace_is_no_use_for_it() {
    let mut knowledge = followed();
    knowledge.heartbeat_confirmed(ms(LAST_MS), ms(800));
    assert!(!knowledge.may_be_stale(ms(LAST_MS), GRACE));
    knowledge.heartbeat_confirmed(ms(LAST_MS), ms(950));
    assert!(knowledge.may_be_stale(ms(LAST_MS), GRACE));
}

#[test]
fn an_event_that_takes_long_to_come_counts_as_told_when_it_began() {
    let mut knowledge = followed();
    knowledge.bytes_read(ms(LAST_MS + 200), true);
    knowledge.bytes_read(ms(LAST_MS + 210), false);
    assert_eq!(doubted_from(&knowledge), 4_900, "cut in two on its way");
    knowledge.bytes_read(ms(LAST_MS + 300), true);
    assert_eq!(doubted_from(&knowledge), 300 + 900);
    // Another may wait behind it.
    knowledge.bytes_read(ms(LAST_MS + 2_000), false);
    assert_eq!(doubted_from(&knowledge), 300 + 900);
    knowledge.heartbeat_confirmed(ms(LAST_MS + 2_100), Nanos::ZERO);
    assert_eq!(doubted_from(&knowledge), 2_100 + 4_900);
}

#[test]
fn events_that_are_seen_to_be_missing_were_written_since_the_last_heartbeat() {
    let mut knowledge = followed();
    knowledge.events_missing();
    assert_eq!(doubted_from(&knowledge), 900);
}

#[test]
fn what_is_known_ends_before_what_a_late_stream_has_not_told() {
    let mut knowledge = followed();
    assert_eq!(knowledge.age(ms(LAST_MS + 500)), Nanos::ZERO);
    assert_eq!(knowledge.age(ms(LAST_MS + 5_000)), ms(5_000));
    knowledge.heartbeat_confirmed(ms(LAST_MS + 6_000), ms(3_000));
    assert_eq!(knowledge.age(ms(LAST_MS + 6_500)), ms(3_000));
}

proptest! {
    /// Whatever happens, doubt has begun by the time at which an event written in any moment since the last heartbeat must be
    /// heeded, by the strictest reading; and nothing but a heartbeat ends it.
    #[test]
    fn doubt_begins_in_time_and_ends_by_heartbeats_alone(
        events in prop::collection::vec((0_u64..5, 0_u64..3_000), 1..40), grace_ms in 250_u64..2_000,
    ) {
        let grace = ms(grace_ms);
        let mut knowledge = followed();
        let mut now = ms(LAST_MS);
        let mut last = now;
        let mut counts = last.after(ms(4_000));
        // A stream that told something stands.
        let mut stands = true;
        for (event, passes) in events {
            let next = now.after(ms(passes));
            let was = knowledge.may_be_stale(next, grace);
            now = next;
            match event {
                0 => {
                    knowledge.heartbeat_confirmed(now, Nanos::ZERO);
                    (last, counts, stands) = (now, now.after(ms(4_000)), true);
                }
                1 => {
                    knowledge.stream_lost(now);
                    if std::mem::take(&mut stands) {
                        counts = counts.min(now.after(ms(2_000)));
                    }
                }
                2 => {
                    knowledge.address_changed(now);
                    stands = false;
                    counts = counts.min(now.after(ms(4_000)));
                }
                3 => {
                    // Late by more than any grace here.
                    knowledge.heartbeat_confirmed(now, ms(2_500));
                    (last, counts, stands) = (now, Nanos::ZERO, true);
                }
                _ if knowledge.is_followed(now) => knowledge.request_sent(now),
                _ => {
                    knowledge.request_sent(now);
                    counts = counts.min(now);
                }
            }
            prop_assert!(event == 0 || !was || knowledge.may_be_stale(now, grace), "ended at {now:?} by {event}");
            if now >= counts.after(grace) {
                prop_assert!(knowledge.may_be_stale(now, grace), "{now:?}, last {last:?}, counts {counts:?}");
            }
        }
    }
}
