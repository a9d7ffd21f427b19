//! Tests of the simulated fleet: it repeats, breaks nothing without a fault, and sees a fault that is built in.

use super::assumptions::SECOND;
use super::*;

const MINUTE: Nanos = Nanos(60 * SECOND.0);

fn plan(kind: Kind, arrangement: Arrangement) -> Plan {
    Plan { dispatchers: 102, arrangement, kind, cut: MINUTE, sweep: SWEEP }
}

#[test]
fn the_same_seed_brings_the_same_figures() {
    for arrangement in [Arrangement::TODAY, Arrangement::TWO_STREAMS] {
        let plan = plan(Kind::LogRestart, arrangement);
        assert_eq!(plan.play(7), plan.play(7));
        assert_ne!(plan.play(7), plan.play(8));
    }
}

#[test]
fn without_a_fault_no_bound_is_broken() {
    for arrangement in Arrangement::ALL {
        let quiet = plan(Kind::None, arrangement).play(1);
        let said = format!("{}, seed 1: {quiet:?}", arrangement.name);
        assert_eq!(quiet.affected, 0.0, "{said}");
        assert_eq!(quiet.configuration.way_s, 0.0, "{said}");
        assert_eq!(quiet.bytes_over_s, 0.0, "{said}");
        assert_eq!(quiet.out_of_touch_s, 0.0, "{said}");
        assert_eq!(quiet.falls, 0, "{said}");
        assert!(quiet.purge_s[2] < 1.0 && quiet.purge_s[0] > 0.0, "{said}");
        assert!(quiet.version_s[2] < 5.0 && quiet.version_s[0] >= 3.75, "{said}");
    }
}

#[test]
fn an_hour_without_a_fault_breaks_nothing() {
    let hour = Plan { dispatchers: 34, cut: CUT, ..plan(Kind::None, Arrangement::TWO_STREAMS) };
    let hour = hour.play(6);
    assert_eq!((hour.affected, hour.bytes_over_s, hour.out_of_touch_s), (0.0, 0.0, 0.0), "seed 6: {hour:?}");
    assert!(hour.purge_s[2] < 2.1 && hour.version_s[2] < 9.0, "seed 6: {hour:?}");
}

#[test]
fn a_stream_that_is_lost_alone_waits_up_to_a_round_and_not_where_another_stands() {
    for kind in [Kind::StreamReset, Kind::StreamSilent] {
        let one = plan(kind, Arrangement::TODAY).play(2);
        let two = plan(kind, Arrangement::TWO_STREAMS).play(2);
        assert!(one.purges.way_s > 0.5 && one.longest_s < 10.0, "{kind:?}, seed 2: {one:?}");
        assert_eq!(two.purges.way_s, 0.0, "{kind:?}, seed 2: {two:?}");
    }
}

#[test]
fn silence_that_is_looked_for_too_seldom_is_seen() {
    let as_is = plan(Kind::StreamSilent, Arrangement::TODAY);
    let seldom = Plan { sweep: Nanos(20 * SECOND.0), ..as_is };
    let (as_is, seldom) = (as_is.play(3), seldom.play(3));
    assert!(as_is.longest_s < 10.0, "seed 3: {as_is:?}");
    assert!(seldom.longest_s > 15.0, "seed 3: {seldom:?}");
    assert!(seldom.purges.way_s > 2.0 * as_is.purges.way_s, "seed 3: {as_is:?}, {seldom:?}");
}

#[test]
fn who_is_cut_off_knows_it_when_its_lease_runs_out_and_catches_up_after() {
    let cut = plan(Kind::RegionCut, Arrangement::TODAY).play(4);
    let (first, last) = cut.knew_s.unwrap_or_default();
    assert!((1.5..=4.0).contains(&first) && last < 5.0, "seed 4: {cut:?}");
    assert!(cut.purges.unreachable_s > 50.0 * cut.affected, "seed 4: {cut:?}");
    assert!(cut.longest_s < 75.0, "seed 4: {cut:?}");
}

#[test]
fn a_cut_one_way_is_to_a_stream_what_a_cut_both_ways_is() {
    let [both, one] = [Kind::RegionCut, Kind::RegionCutOneWay].map(|kind| plan(kind, Arrangement::TODAY));
    assert_eq!(both.play(9), one.play(9));
}

#[test]
fn what_the_log_itself_loses_is_told_apart_from_what_the_way_loses() {
    let away = plan(Kind::LogRestart, Arrangement::TODAY).play(5);
    assert!(away.purges.log_away_s > 0.0 && away.purges.way_s > 0.0, "seed 5: {away:?}");
    let replica = plan(Kind::ReplicaMachine, Arrangement::TWO_STREAMS).play(5);
    assert_eq!(replica.purges, super::measures::Over::default(), "seed 5: {replica:?}");
}
