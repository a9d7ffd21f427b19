//! Lateness of a stream, estimated from the arrival times of its lines.

use crate::common::ms;
use copperroute_routing::change_log::Lateness;
use copperroute_routing::interface::Nanos;

/// The lateness in milliseconds after each heartbeat, for a stream that is requested at 0 and whose heartbeats arrive
/// at these times.
fn late_ms(first_ms: u64, heartbeats_ms: &[u64]) -> Vec<u64> {
    let mut lateness = Lateness::default();
    lateness.request_sent(ms(0));
    lateness.line_received(ms(first_ms));
    let late_by_ms = |lateness: &Lateness| lateness.late_by().expect("a line was received").0 / 1_000_000;
    let late = |at: &u64| {
        lateness.line_received(ms(*at));
        lateness.heartbeat_received(ms(*at));
        late_by_ms(&lateness)
    };
    heartbeats_ms.iter().map(late).collect()
}

#[test]
fn a_stream_in_time_is_not_late() {
    assert_eq!(late_ms(1, &[1, 1_001, 2_001, 3_001]), [0, 0, 0, 0]);
    assert_eq!(late_ms(1_000, &[1_000, 2_000, 3_000]), [0, 0, 0]);
}

#[test]
fn lateness_is_unknown_before_the_first_line() {
    let mut lateness = Lateness::default();
    assert_eq!(lateness.late_by(), None);
    lateness.request_sent(ms(0));
    assert_eq!(lateness.late_by(), None);
}

#[test]
fn a_first_line_that_takes_longer_than_the_heartbeat_period_is_late_by_the_difference() {
    assert_eq!(late_ms(4_000, &[4_000, 5_000]), [3_000, 3_000]);
}

#[test]
fn a_delay_that_begins_later_is_detected_and_remains() {
    let late = late_ms(1, &[1, 1_001, 6_001, 7_001, 8_001]);
    assert_eq!(late[..2], [0, 0]);
    assert!(late[2..].iter().all(|late| (3_900..=4_000).contains(late)), "{late:?}");
}

#[test]
fn delayed_heartbeats_that_arrive_together_are_in_time_again_with_the_last() {
    let late = late_ms(1, &[1, 4_500, 4_500, 4_500, 4_500, 5_001]);
    assert_eq!((late[1], *late.last().expect("a heartbeat")), (3_499, 0), "{late:?}");
}

#[test]
fn a_writer_whose_period_is_slightly_longer_does_not_become_late() {
    let mut lateness = Lateness::default();
    lateness.request_sent(ms(0));
    for count in 0..3_600_u64 {
        let at = Nanos(count * 1_010_000_000);
        lateness.line_received(at);
        lateness.heartbeat_received(at);
        assert!(lateness.late_by().is_some_and(|late| late <= ms(20)), "{count}: {lateness:?}");
    }
}
