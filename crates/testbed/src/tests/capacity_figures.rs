use super::super::ledger::Disturbance;
use super::*;

const SECOND: u64 = 1_000_000;

fn purge(seq: u64, at_us: u64) -> Issued {
    Issued { seq, at_us, kind: Kind::Purge { object: String::new() } }
}

fn track(applied: &[(u64, u64)], disturbances: &[(Cause, u64, u64)]) -> Track {
    let disturbances =
        disturbances.iter().map(|&(cause, from_us, to_us)| Disturbance { cause, from_us, to_us }).collect();
    Track { applied: applied.to_vec(), disturbances, ..Track::default() }
}

#[test]
fn the_last_reachable_dispatcher_counts() {
    let issued = [purge(1, SECOND), purge(2, 3 * SECOND)];
    let quick = track(&[(SECOND + 10, 1), (3 * SECOND + 10, 2)], &[]);
    let slow = track(&[(2 * SECOND, 1), (3 * SECOND + 20, 2)], &[(Cause::Cut, 5 * SECOND, 6 * SECOND)]);
    let cut = track(&[(9 * SECOND, 2)], &[(Cause::Cut, 0, 4 * SECOND)]);
    let (class, lasts) = class(issued.iter(), &[&quick, &slow, &cut]);
    assert_eq!(lasts, [(SECOND, 1.0), (3 * SECOND, 0.000_02)]);
    assert_eq!(
        (class.last.worst_s, class.last.never, class.each.count, class.undisturbed.count),
        (1.0, 0, 4, 2)
    );
}

#[test]
fn what_is_never_acted_on_is_counted_apart() {
    let (class, lasts) = class([purge(1, SECOND)].iter(), &[&track(&[], &[])]);
    assert_eq!((class.last.count, class.last.never, class.each.never, lasts.len()), (0, 1, 1, 0));
}

#[test]
fn seconds_over_the_bound_go_to_what_happened_before_and_count_once() {
    let issued = [purge(1, SECOND), purge(2, 2 * SECOND), purge(3, 3 * SECOND)];
    let late = track(&[(10 * SECOND, 3)], &[(Cause::Restart, 0, SECOND / 2)]);
    let harm = harm(&issued, &[&late], 20 * SECOND);
    let restart = harm[&Cause::Restart];
    assert_eq!((restart.times, restart.late_s), (1, 10.0 - 1.0 - PURGE_BOUND_S));
    assert_eq!(restart.current.worst_s, 9.5);
}

#[test]
fn spreads_are_by_rank() {
    let spread = Spread::of((1..=1000).rev().map(f64::from).collect(), 2);
    assert_eq!([spread.p50_s, spread.p99_s, spread.p999_s, spread.worst_s], [500.0, 990.0, 999.0, 1000.0]);
    assert_eq!(Spread::of(Vec::new(), 0), Spread::default());
}
