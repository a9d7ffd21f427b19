//! Staleness: from when on events that were not received may count as delivered.

use crate::common::ms;
use copperroute_routing::change_log::Knowledge;
use copperroute_routing::interface::Nanos;
use proptest::prelude::*;

/// The time allowed for acting on a purge, and for sending the last work to a draining node.
const GRACE: Nanos = Nanos(1_000_000_000);
/// A dispatcher's clock does not begin at zero.
const START_MS: u64 = 100_000;

/// A stream that was in time up to `LAST_MS`.
fn followed() -> Knowledge {
    let mut knowledge = Knowledge::started(ms(START_MS));
    knowledge.request_sent(ms(START_MS));
    (0..5).for_each(|second| knowledge.heartbeat_confirmed(ms(START_MS + second * 1_000), Nanos::ZERO));
    knowledge
}

/// When the last heartbeat of [`followed`] came.
const LAST_MS: u64 = START_MS + 4_000;

/// When the knowledge becomes stale, in milliseconds after `LAST_MS`, if nothing more is received.
fn stale_after_ms(knowledge: &Knowledge) -> u64 {
    (LAST_MS..LAST_MS + 20_000).find(|at| knowledge.may_be_stale(ms(*at), GRACE)).expect("stale at some time")
        - LAST_MS
}

#[test]
fn events_of_a_stream_that_stops_count_as_delivered_after_four_seconds() {
    assert_eq!(stale_after_ms(&followed()), 4_900);
}

#[test]
fn events_of_a_stream_that_is_closed_count_as_delivered_after_two_seconds() {
    let mut knowledge = followed();
    knowledge.stream_lost(ms(LAST_MS + 300));
    assert_eq!(stale_after_ms(&knowledge), 300 + 2_900);
    // A second end does not postpone that.
    knowledge.stream_lost(ms(LAST_MS + 900));
    assert_eq!(stale_after_ms(&knowledge), 300 + 2_900);
}

#[test]
fn requested_events_count_as_delivered_at_once() {
    let mut knowledge = followed();
    knowledge.stream_lost(ms(LAST_MS + 300));
    knowledge.request_sent(ms(LAST_MS + 400));
    assert_eq!(stale_after_ms(&knowledge), 400 + 900);
    knowledge.heartbeat_confirmed(ms(LAST_MS + 1_000), Nanos::ZERO);
    assert_eq!(stale_after_ms(&knowledge), 1_000 + 4_900);
}

#[test]
fn a_second_stream_that_is_requested_beside_one_in_time_changes_nothing() {
    let mut knowledge = followed();
    knowledge.request_sent(ms(LAST_MS + 1_200));
    assert_eq!(stale_after_ms(&knowledge), 4_900);
}

#[test]
fn events_of_a_change_log_with_a_new_address_count_no_later_than_after_a_stop_or_the_request() {
    let mut knowledge = followed();
    knowledge.address_changed(ms(LAST_MS + 100));
    assert_eq!(stale_after_ms(&knowledge), 4_900);
    knowledge.request_sent(ms(LAST_MS + 200));
    assert_eq!(stale_after_ms(&knowledge), 200 + 900);
}

#[test]
fn a_stream_that_is_as_late_as_the_grace_is_stale() {
    let mut knowledge = followed();
    knowledge.heartbeat_confirmed(ms(LAST_MS), ms(800));
    assert!(!knowledge.may_be_stale(ms(LAST_MS), GRACE));
    knowledge.heartbeat_confirmed(ms(LAST_MS), ms(950));
    assert!(knowledge.may_be_stale(ms(LAST_MS), GRACE));
}

#[test]
fn an_event_whose_line_arrives_slowly_counts_as_delivered_when_the_line_began() {
    let mut knowledge = followed();
    knowledge.bytes_read(ms(LAST_MS + 200), true);
    knowledge.bytes_read(ms(LAST_MS + 210), false);
    assert_eq!(stale_after_ms(&knowledge), 4_900, "split into two packets");
    knowledge.bytes_read(ms(LAST_MS + 300), true);
    assert_eq!(stale_after_ms(&knowledge), 300 + 900);
    // Another event may be queued behind it.
    knowledge.bytes_read(ms(LAST_MS + 2_000), false);
    assert_eq!(stale_after_ms(&knowledge), 300 + 900);
    knowledge.heartbeat_confirmed(ms(LAST_MS + 2_100), Nanos::ZERO);
    assert_eq!(stale_after_ms(&knowledge), 2_100 + 4_900);
}

#[test]
fn missing_events_were_written_since_the_last_heartbeat() {
    let mut knowledge = followed();
    knowledge.events_missing();
    assert_eq!(stale_after_ms(&knowledge), 900);
}

#[test]
fn the_age_of_the_knowledge_includes_the_lateness_of_the_stream() {
    let mut knowledge = followed();
    assert_eq!(knowledge.age(ms(LAST_MS + 500)), Nanos::ZERO);
    assert_eq!(knowledge.age(ms(LAST_MS + 5_000)), ms(5_000));
    knowledge.heartbeat_confirmed(ms(LAST_MS + 6_000), ms(3_000));
    assert_eq!(knowledge.age(ms(LAST_MS + 6_500)), ms(3_000));
}

proptest! {
    /// Whatever happens, the knowledge is stale by the time at which an event written at any time since the last
    /// heartbeat must be acted on, by the strictest reading of the protocol; and only a heartbeat ends the staleness.
    #[test]
    fn staleness_begins_in_time_and_only_heartbeats_end_it(
        events in prop::collection::vec((0_u64..5, 0_u64..3_000), 1..40), grace_ms in 250_u64..2_000,
    ) {
        let grace = ms(grace_ms);
        let mut knowledge = followed();
        let mut now = ms(LAST_MS);
        let mut last = now;
        let mut delivered_from = last.after(ms(4_000));
        // A stream that has delivered something is open.
        let mut is_open = true;
        for (event, passes) in events {
            let next = now.after(ms(passes));
            let was_stale = knowledge.may_be_stale(next, grace);
            now = next;
            match event {
                0 => {
                    knowledge.heartbeat_confirmed(now, Nanos::ZERO);
                    (last, delivered_from, is_open) = (now, now.after(ms(4_000)), true);
                }
                1 => {
                    knowledge.stream_lost(now);
                    if std::mem::take(&mut is_open) {
                        delivered_from = delivered_from.min(now.after(ms(2_000)));
                    }
                }
                2 => {
                    knowledge.address_changed(now);
                    is_open = false;
                    delivered_from = delivered_from.min(now.after(ms(4_000)));
                }
                3 => {
                    // Late by more than any grace here.
                    knowledge.heartbeat_confirmed(now, ms(2_500));
                    (last, delivered_from, is_open) = (now, Nanos::ZERO, true);
                }
                _ if knowledge.is_followed(now) => knowledge.request_sent(now),
                _ => {
                    knowledge.request_sent(now);
                    delivered_from = delivered_from.min(now);
                }
            }
            prop_assert!(event == 0 || !was_stale || knowledge.may_be_stale(now, grace), "ended at {now:?} by {event}");
            if now >= delivered_from.after(grace) {
                let is_stale = knowledge.may_be_stale(now, grace);
                prop_assert!(is_stale, "{now:?}, last {last:?}, delivered from {delivered_from:?}");
            }
        }
    }
}
