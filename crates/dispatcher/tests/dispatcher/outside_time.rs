//! External time (the Unix time of other machines) estimated from received times: random clock errors, sources and
//! delays.

use copperroute_dispatcher::clock::Epoch;
use copperroute_dispatcher::external_time::{
    ExternalTime, MAX_CLOCK_LEAD, OBSERVATION_WINDOW, SETTLING_TIME,
};
use copperroute_routing::interface::Nanos;
use proptest::prelude::*;

/// The true Unix time at the start of a test, in milliseconds, and the monotonic clock at that time.
const START_MS: u64 = 1_764_576_000_000;
const START: Nanos = Nanos(86_400_000_000_000);
const MAX_CLOCK_LEAD_MS: u64 = MAX_CLOCK_LEAD.0 / 1_000_000;
/// The oldest copy in an answer, in milliseconds.
const MAX_COPY_AGE_MS: u64 = 900;

fn at(passed_ms: u64) -> Nanos {
    START.after(Nanos(passed_ms * 1_000_000))
}

fn off_by(off_ms: i64) -> ExternalTime {
    ExternalTime::new(Epoch::at(START_MS.saturating_add_signed(off_ms) * 1_000_000))
}

/// Wall clock errors in milliseconds: none, up to 10 s, up to an hour, up to about 32 years.
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
    fn earliest_time_leads_the_true_time_by_at_most_the_allowed_clock_lead(
        off_ms in off_ms(),
        observations in proptest::collection::vec((any::<bool>(), 0_u64..60_000, 0_u64..4_000_000), 1..20),
        happened_ms in 0_u64..4_000_000,
    ) {
        let mut external = off_by(off_ms);
        let mut passed_ms = 0;
        for (by_log, pause_ms, ago_ms) in observations {
            passed_ms += pause_ms;
            let (now, truth_ms) = (at(passed_ms), START_MS + passed_ms);
            match by_log {
                true => external.observe_time(now, truth_ms - ago_ms),
                false => external.observe_copy(now, truth_ms - ago_ms),
            }
            prop_assert!(external.earliest_ms(now) <= truth_ms + MAX_CLOCK_LEAD_MS);
            let age_ms = external.min_age(now, truth_ms - happened_ms).0 / 1_000_000;
            prop_assert!(age_ms <= happened_ms + MAX_CLOCK_LEAD_MS, "{age_ms} ms instead of {happened_ms}");
        }
    }

    #[test]
    fn answers_bound_external_time_whatever_the_wall_clock(off_ms in off_ms(), copies in proptest::collection::vec(0..MAX_COPY_AGE_MS, 12..40)) {
        let mut external = off_by(off_ms);
        for (second, ago_ms) in copies.iter().enumerate() {
            let now = at(second as u64 * 1_000);
            let truth_ms = START_MS + second as u64 * 1_000;
            external.observe_copy(now, truth_ms - ago_ms);
            external.observe_time(now, truth_ms - ago_ms);
            prop_assert!(external.earliest_ms(now).abs_diff(truth_ms) <= MAX_CLOCK_LEAD_MS);
            if second as u64 * 1_000_000_000 >= SETTLING_TIME.0 {
                prop_assert!(external.latest_ms(now).abs_diff(truth_ms) <= MAX_CLOCK_LEAD_MS);
            }
        }
    }

    #[test]
    fn a_correct_wall_clock_is_used_unchanged_when_observations_agree(ago_ms in 0..MAX_CLOCK_LEAD_MS, passed_ms in 0_u64..1_000_000, happened_ms in 0_u64..4_000_000) {
        let mut external = off_by(0);
        external.observe_copy(at(passed_ms), START_MS + passed_ms - ago_ms);
        let truth_ms = START_MS + passed_ms;
        prop_assert_eq!([external.earliest_ms(at(passed_ms)), external.latest_ms(at(passed_ms))], [truth_ms; 2]);
        prop_assert_eq!(external.min_age(at(passed_ms), truth_ms - happened_ms).0, happened_ms * 1_000_000);
    }
}

#[test]
fn one_node_with_a_fast_clock_increases_no_age() {
    let mut external = off_by(0);
    external.observe_time(at(0), START_MS - 100);
    external.observe_copy(at(0), START_MS + 3_600_000);
    assert_eq!(external.earliest_ms(at(0)), START_MS);
    assert_eq!(external.min_age(at(0), START_MS - 500), Nanos(500_000_000));
}

#[test]
fn a_wrong_time_leaves_the_observation_window() {
    let mut external = off_by(0);
    external.observe_time(at(0), START_MS + 3_600_000);
    assert_eq!(external.earliest_ms(at(1_000)), START_MS + 3_601_000);
    let kept_ms = OBSERVATION_WINDOW.0 / 1_000_000;
    for passed_ms in [kept_ms + 1, 2 * kept_ms + 2] {
        external.observe_time(at(passed_ms), START_MS + passed_ms);
    }
    assert_eq!(external.earliest_ms(at(2 * kept_ms + 2)), START_MS + 2 * kept_ms + 2);
}

#[test]
fn an_invalid_time_is_ignored() {
    let mut external = off_by(0);
    for unix_ms in [0, u64::MAX] {
        external.observe_time(at(0), unix_ms);
        external.observe_copy(at(0), unix_ms);
    }
    assert_eq!([external.earliest_ms(at(0)), external.latest_ms(at(0))], [START_MS; 2]);
    assert!(!external.has_copy_time());
}
