//! Tests of the simulated fleet: runs are reproducible, no bound is exceeded without a fault, and injected faults show
//! in the measures.

use super::assumptions::SECOND;
use super::*;

const MINUTE: Nanos = Nanos(60 * SECOND.0);

fn trial(kind: FaultKind, arrangement: Arrangement) -> Trial {
    Trial { dispatchers: 102, arrangement, kind, cut: MINUTE, sweep: SWEEP_INTERVAL }
}

#[test]
fn same_seed_gives_same_outcome() {
    for arrangement in [Arrangement::SINGLE_LOG, Arrangement::TWO_STREAMS] {
        let trial = trial(FaultKind::LogRestart, arrangement);
        assert_eq!(trial.run(7), trial.run(7));
        assert_ne!(trial.run(7), trial.run(8));
    }
}

#[test]
fn no_bound_is_exceeded_without_a_fault() {
    for arrangement in Arrangement::ALL {
        let quiet = trial(FaultKind::None, arrangement).run(1);
        let context = format!("{}, seed 1: {quiet:?}", arrangement.name);
        assert_eq!(quiet.affected, 0.0, "{context}");
        assert_eq!(quiet.configuration.distribution_s, 0.0, "{context}");
        assert_eq!(quiet.bytes_over_s, 0.0, "{context}");
        assert_eq!(quiet.out_of_touch_s, 0.0, "{context}");
        assert_eq!(quiet.overloads, 0, "{context}");
        assert!(quiet.purge_s[2] < 1.0 && quiet.purge_s[0] > 0.0, "{context}");
        assert!(quiet.version_s[2] < 5.0 && quiet.version_s[0] >= 3.75, "{context}");
    }
}

#[test]
fn no_bound_is_exceeded_in_an_hour_without_a_fault() {
    let hour =
        Trial { dispatchers: 34, cut: CUT_DURATION, ..trial(FaultKind::None, Arrangement::TWO_STREAMS) };
    let hour = hour.run(6);
    assert_eq!((hour.affected, hour.bytes_over_s, hour.out_of_touch_s), (0.0, 0.0, 0.0), "seed 6: {hour:?}");
    assert!(hour.purge_s[2] < 2.1 && hour.version_s[2] < 9.0, "seed 6: {hour:?}");
}

#[test]
fn a_lost_stream_delays_purges_up_to_a_reconnect_window_unless_there_is_a_second_stream() {
    for kind in [FaultKind::StreamReset, FaultKind::StreamSilent] {
        let single = trial(kind, Arrangement::SINGLE_LOG).run(2);
        let double = trial(kind, Arrangement::TWO_STREAMS).run(2);
        assert!(
            single.purges.distribution_s > 0.5 && single.longest_s < 10.0,
            "{kind:?}, seed 2: {single:?}"
        );
        assert_eq!(double.purges.distribution_s, 0.0, "{kind:?}, seed 2: {double:?}");
    }
}

#[test]
fn a_too_long_sweep_interval_lengthens_the_time_over_the_bound() {
    let default_sweep = trial(FaultKind::StreamSilent, Arrangement::SINGLE_LOG);
    let infrequent = Trial { sweep: Nanos(20 * SECOND.0), ..default_sweep };
    let (default_sweep, infrequent) = (default_sweep.run(3), infrequent.run(3));
    assert!(default_sweep.longest_s < 10.0, "seed 3: {default_sweep:?}");
    assert!(infrequent.longest_s > 15.0, "seed 3: {infrequent:?}");
    assert!(
        infrequent.purges.distribution_s > 2.0 * default_sweep.purges.distribution_s,
        "seed 3: {default_sweep:?}, {infrequent:?}"
    );
}

#[test]
fn a_dispatcher_that_is_cut_off_is_out_of_touch_when_its_lease_ends_and_catches_up_later() {
    let cut = trial(FaultKind::RegionCut, Arrangement::SINGLE_LOG).run(4);
    let (first, last) = cut.out_of_touch_at_s.unwrap_or_default();
    assert!((1.5..=4.0).contains(&first) && last < 5.0, "seed 4: {cut:?}");
    assert!(cut.purges.unreachable_s > 50.0 * cut.affected, "seed 4: {cut:?}");
    assert!(cut.longest_s < 75.0, "seed 4: {cut:?}");
}

#[test]
fn a_one_way_cut_has_the_same_outcome_as_a_two_way_cut() {
    let [both, one] =
        [FaultKind::RegionCut, FaultKind::RegionCutOneWay].map(|kind| trial(kind, Arrangement::SINGLE_LOG));
    assert_eq!(both.run(9), one.run(9));
}

#[test]
fn time_over_the_bound_is_attributed_to_the_log_or_to_the_distribution() {
    let log_restart = trial(FaultKind::LogRestart, Arrangement::SINGLE_LOG).run(5);
    assert!(
        log_restart.purges.log_down_s > 0.0 && log_restart.purges.distribution_s > 0.0,
        "seed 5: {log_restart:?}"
    );
    let replica = trial(FaultKind::ReplicaMachine, Arrangement::TWO_STREAMS).run(5);
    assert_eq!(replica.purges, super::measures::TimeOverBound::default(), "seed 5: {replica:?}");
}
