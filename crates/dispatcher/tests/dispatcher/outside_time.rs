//! What time it is outside, by witnesses: drawn clocks, ways and times.

use copperroute_dispatcher::clock::Epoch;
use copperroute_dispatcher::external_time::{
    ExternalTime, MAX_CLOCK_LEAD, OBSERVATION_WINDOW, SETTLING_TIME,
};
use copperroute_routing::interface::Nanos;
use proptest::prelude::*;

/// The Unix millisecond that it is outside as a play begins, and what the monotonic clock then shows.
const START_MS: u64 = 1_764_576_000_000;
const BEGAN: Nanos = Nanos(86_400_000_000_000);
const AGREES_MS: u64 = MAX_CLOCK_LEAD.0 / 1_000_000;
/// Answers come with copies that were made no longer ago.
const LATEST_COPY_MS: u64 = 900;

fn at(passed_ms: u64) -> Nanos {
    BEGAN.after(Nanos(passed_ms * 1_000_000))
}

fn off_by(off_ms: i64) -> ExternalTime {
    ExternalTime::new(Epoch::at(START_MS.saturating_add_signed(off_ms) * 1_000_000))
}

/// Wall clocks that are right, off by seconds, by an hour, by half a life.
fn off_ms() -> impl Strategy<Value = i64> {
    prop_oneof![
        Just(0),
        -10_000_i64..10_000,
        -3_600_000_i64..3_600_000,
        -1_000_000_000_000_i64..1_000_000_000_000
    ]
}

proptest! {
    #[test]
    fn it_is_never_later_than_the_truth_by_more_than_witnesses_may_differ(
        off_ms in off_ms(),
        told in proptest::collection::vec((any::<bool>(), 0_u64..60_000, 0_u64..4_000_000), 1..20),
        happened_ms in 0_u64..4_000_000,
    ) {
        let mut outside = off_by(off_ms);
        let mut passed_ms = 0;
        for (by_log, pause_ms, ago_ms) in told {
            passed_ms += pause_ms;
            let (now, truth_ms) = (at(passed_ms), START_MS + passed_ms);
            match by_log {
                true => outside.observe_time(now, truth_ms - ago_ms),
                false => outside.observe_copy(now, truth_ms - ago_ms),
            }
            prop_assert!(outside.earliest_ms(now) <= truth_ms + AGREES_MS);
            let age_ms = outside.min_age(now, truth_ms - happened_ms).0 / 1_000_000;
            prop_assert!(age_ms <= happened_ms + AGREES_MS, "{age_ms} ms instead of {happened_ms}");
        }
    }

    #[test]
    fn with_answers_it_is_known_to_a_second_or_two_on_any_clock(off_ms in off_ms(), copies in proptest::collection::vec(0..LATEST_COPY_MS, 12..40)) {
        let mut outside = off_by(off_ms);
        for (second, ago_ms) in copies.iter().enumerate() {
            let now = at(second as u64 * 1_000);
            let truth_ms = START_MS + second as u64 * 1_000;
            outside.observe_copy(now, truth_ms - ago_ms);
            outside.observe_time(now, truth_ms - ago_ms);
            prop_assert!(outside.earliest_ms(now).abs_diff(truth_ms) <= AGREES_MS);
            if second as u64 * 1_000_000_000 >= SETTLING_TIME.0 {
                prop_assert!(outside.latest_ms(now).abs_diff(truth_ms) <= AGREES_MS);
            }
        }
    }

    #[test]
    fn a_right_clock_is_read_as_it_is_where_witnesses_agree(ago_ms in 0..AGREES_MS, passed_ms in 0_u64..1_000_000, happened_ms in 0_u64..4_000_000) {
        let mut outside = off_by(0);
        outside.observe_copy(at(passed_ms), START_MS + passed_ms - ago_ms);
        let truth_ms = START_MS + passed_ms;
        prop_assert_eq!([outside.earliest_ms(at(passed_ms)), outside.latest_ms(at(passed_ms))], [truth_ms; 2]);
        prop_assert_eq!(outside.min_age(at(passed_ms), truth_ms - happened_ms).0, happened_ms * 1_000_000);
    }
}

#[test]
fn one_node_with_a_clock_that_is_ahead_makes_nothing_older() {
    let mut outside = off_by(0);
    outside.observe_time(at(0), START_MS - 100);
    outside.observe_copy(at(0), START_MS + 3_600_000);
    assert_eq!(outside.earliest_ms(at(0)), START_MS);
    assert_eq!(outside.min_age(at(0), START_MS - 500), Nanos(500_000_000));
}

#[test]
fn a_false_time_is_forgotten() {
    let mut outside = off_by(0);
    outside.observe_time(at(0), START_MS + 3_600_000);
    assert_eq!(outside.earliest_ms(at(1_000)), START_MS + 3_601_000);
    let kept_ms = OBSERVATION_WINDOW.0 / 1_000_000;
    for passed_ms in [kept_ms + 1, 2 * kept_ms + 2] {
        outside.observe_time(at(passed_ms), START_MS + passed_ms);
    }
    assert_eq!(outside.earliest_ms(at(2 * kept_ms + 2)), START_MS + 2 * kept_ms + 2);
}

#[test]
fn what_is_no_time_tells_nothing() {
    let mut outside = off_by(0);
    for unix_ms in [0, u64::MAX] {
        outside.observe_time(at(0), unix_ms);
        outside.observe_copy(at(0), unix_ms);
    }
    assert_eq!([outside.earliest_ms(at(0)), outside.latest_ms(at(0))], [START_MS; 2]);
    assert!(!outside.has_copy_time());
}
