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

    /// Guards against copies served too old because the time at which a copy was made was taken for the present: of
    /// whatever age copies are, and however far off the wall clock is.
    #[test]
    fn latest_time_is_never_before_the_true_time(
        off_ms in off_ms(),
        observations in proptest::collection::vec(observation(), 1..40),
    ) {
        let mut external = off_by(off_ms);
        let mut passed_ms = 0;
        for (pause_ms, observation) in observations {
            passed_ms += pause_ms;
            observe(&mut external, &mut passed_ms, observation);
            for later_ms in [0, 700, 90_000] {
                let latest_ms = external.latest_ms(at(passed_ms + later_ms));
                let truth_ms = START_MS + passed_ms + later_ms;
                prop_assert!(latest_ms.is_none_or(|latest_ms| latest_ms >= truth_ms), "{latest_ms:?}, {truth_ms}");
            }
        }
    }

    #[test]
    fn answers_bound_external_time_whatever_the_wall_clock(
        off_ms in off_ms(),
        answers in proptest::collection::vec((0..MAX_COPY_AGE_MS, 0..MAX_COPY_AGE_MS, 0.0..=1.0), 12..40),
    ) {
        let mut external = off_by(off_ms);
        for (second, (ago_ms, fill_ms, given_out)) in answers.iter().enumerate() {
            let (now, truth_ms) = (at(second as u64 * 1_000), START_MS + second as u64 * 1_000);
            external.observe_copy(now, truth_ms - ago_ms);
            external.observe_time(now, truth_ms - ago_ms);
            prop_assert!(external.earliest_ms(now).abs_diff(truth_ms) <= MAX_CLOCK_LEAD_MS);
            let ordered_at = Nanos(now.0 - fill_ms * 1_000_000);
            external.observe_origin_copy(now, ordered_at, truth_ms - (*fill_ms as f64 * given_out) as u64);
            let latest_ms = external.latest_ms(now).expect("the origin has given out a copy");
            prop_assert!((truth_ms..=truth_ms + MAX_CLOCK_LEAD_MS).contains(&latest_ms), "{latest_ms}, {truth_ms}");
            if second as u64 * 1_000_000_000 >= SETTLING_TIME.0 {
                prop_assert!(external.saving_date_ms(now).abs_diff(truth_ms) <= MAX_CLOCK_LEAD_MS);
            }
        }
    }

    #[test]
    fn a_correct_wall_clock_is_used_unchanged_when_observations_agree(
        ago_ms in 0..MAX_CLOCK_LEAD_MS,
        fill_ms in 0..MAX_CLOCK_LEAD_MS,
        passed_ms in 0_u64..1_000_000,
        happened_ms in 0_u64..4_000_000,
    ) {
        let mut external = off_by(0);
        let (now, truth_ms) = (at(passed_ms), START_MS + passed_ms);
        external.observe_copy(now, truth_ms - ago_ms);
        prop_assert_eq!([external.earliest_ms(now), external.saving_date_ms(now)], [truth_ms; 2]);
        prop_assert_eq!(external.min_age(now, truth_ms - happened_ms).0, happened_ms * 1_000_000);
        // A copy that the origin gave out as it was asked: the bound is as tight as a millisecond.
        external.observe_origin_copy(now, Nanos(now.0 - fill_ms * 1_000_000), truth_ms - fill_ms);
        prop_assert_eq!([external.earliest_ms(now), external.saving_date_ms(now)], [truth_ms; 2]);
        prop_assert_eq!(external.latest_ms(now), Some(truth_ms + 1));
    }
}

/// What is observed.
#[derive(Debug, Clone, Copy)]
enum Observation {
    /// An answer with a copy of this age.
    Copy { age_ms: u64 },
    /// A copy of this age from a disk.
    RestoredCopy { age_ms: u64 },
    /// An event of the change log of this age.
    Event { age_ms: u64 },
    /// The origin is asked and answers after this long; it gave out the copy within that time.
    OriginCopy { fill_ms: u64, given_out: f64 },
    /// A node with a clock ahead of the others answers.
    FalseTime { ahead_ms: u64 },
}

/// A pause in milliseconds, and what is observed after it.
fn observation() -> impl Strategy<Value = (u64, Observation)> {
    let age_ms = || prop_oneof![0..2_000_u64, 0..60_000_u64, 0..7_200_000_u64];
    let observed = prop_oneof![
        4 => age_ms().prop_map(|age_ms| Observation::Copy { age_ms }),
        1 => age_ms().prop_map(|age_ms| Observation::RestoredCopy { age_ms }),
        1 => age_ms().prop_map(|age_ms| Observation::Event { age_ms }),
        3 => (0..6_000_u64, 0.0..=1.0)
            .prop_map(|(fill_ms, given_out)| Observation::OriginCopy { fill_ms, given_out }),
        1 => (1..10_000_000_u64).prop_map(|ahead_ms| Observation::FalseTime { ahead_ms }),
    ];
    (prop_oneof![0..3_000_u64, 0..1_500_000_u64], observed)
}

fn observe(external: &mut ExternalTime, passed_ms: &mut u64, observation: Observation) {
    let ordered_at = at(*passed_ms);
    if let Observation::OriginCopy { fill_ms, .. } = observation {
        *passed_ms += fill_ms;
    }
    let (now, truth_ms) = (at(*passed_ms), START_MS + *passed_ms);
    match observation {
        Observation::Copy { age_ms } => external.observe_copy(now, truth_ms - age_ms),
        Observation::RestoredCopy { age_ms } => external.observe_restored_copy(now, truth_ms - age_ms),
        Observation::Event { age_ms } => external.observe_time(now, truth_ms - age_ms),
        Observation::OriginCopy { fill_ms, given_out } => {
            let ago_ms = (fill_ms as f64 * given_out) as u64;
            external.observe_origin_copy(now, ordered_at, truth_ms - ago_ms);
        }
        Observation::FalseTime { ahead_ms } => external.observe_copy(now, truth_ms + ahead_ms),
    }
}

/// A copy that says to be from the origin and is older than its request, as a spoilt answer may: the next one that is
/// true puts it right.
#[test]
fn a_false_time_of_an_origin_copy_is_put_right_by_the_next() {
    for false_by_ms in [10, 5_000, 3_600_000, START_MS - 1_764] {
        let mut external = off_by(0);
        external.observe_origin_copy(at(100), at(50), START_MS + 60);
        external.observe_origin_copy(at(1_000), at(950), START_MS + 960 - false_by_ms);
        external.observe_origin_copy(at(2_000), at(1_950), START_MS + 2_000);
        let latest_ms = external.latest_ms(at(3_000)).expect("a bound");
        assert!((START_MS + 3_000..=START_MS + 3_051).contains(&latest_ms), "{false_by_ms}: {latest_ms}");
    }
}

/// While the machine sleeps the monotonic clock stands still: what is received afterwards contradicts the bound, which is
/// unknown until the origin gives out another copy.
#[test]
fn a_bound_that_received_times_contradict_is_none() {
    let mut external = off_by(0);
    external.observe_origin_copy(at(100), at(50), START_MS + 60);
    assert!(external.latest_ms(at(200)).is_some());
    let slept_ms = 3_600_000;
    external.observe_copy(at(300), START_MS + 300 + slept_ms - 4_000);
    assert_eq!(external.latest_ms(at(301)), None);
    external.observe_origin_copy(at(400), at(350), START_MS + 360 + slept_ms);
    assert_eq!(external.latest_ms(at(400)), Some(START_MS + 411 + slept_ms));
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
    assert_eq!([external.earliest_ms(at(0)), external.saving_date_ms(at(0))], [START_MS; 2]);
    for made_ms in [0, u64::MAX] {
        external.observe_origin_copy(at(0), at(0), made_ms);
    }
    assert_eq!(external.latest_ms(at(0)), None);
    assert!(!external.has_copy_time());
}
