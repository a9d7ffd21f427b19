//! When dispatchers connect to the change log: one dispatcher, as traces, and many, as sums.

use crate::common::ms;
use copperroute_routing::interface::Nanos;
use copperroute_routing::reconnect_schedule::{ConnectionState, ReconnectSchedule, ReconnectSettings};
use expect_test::expect;
use proptest::prelude::*;
use std::fmt::Write as _;

/// A dispatcher's clock shows zero at this Unix time.
const UNIX: u64 = 1_764_576_000_000_000_000;

fn configured(dispatchers: u32, calls_per_s: Option<f64>) -> ReconnectSettings {
    ReconnectSettings { dispatchers, calls_per_s, delivered_after: ms(7_000), window_range: [0.0, 1.0] }
}

/// Attempts that fail at once, and when they are made.
fn failed_attempts(schedule: &mut ReconnectSchedule, mut at: Nanos, count: usize) -> String {
    let mut trace = String::new();
    for _ in 0..count {
        schedule.connect_started(at);
        let (next, should_log) = schedule.ended(at);
        let _ = writeln!(
            trace,
            "{:.2} s: next after {:.2}{}",
            at.secs(),
            next.since(at).secs(),
            if should_log { ", lost" } else { "" }
        );
        at = next;
    }
    trace
}

#[test]
fn without_a_configured_rate_waits_double_up_to_a_bound() {
    let mut schedule = ReconnectSchedule::new(configured(300, None), 1, UNIX);
    let at = schedule.started(ms(0), true);
    assert_eq!(at, ms(0));
    expect![[r#"
        0.00 s: next after 0.12
        0.12 s: next after 0.33, lost
        0.45 s: next after 0.74
        1.20 s: next after 1.53
        2.73 s: next after 2.96
        5.69 s: next after 2.51
        8.19 s: next after 2.18
        10.37 s: next after 2.15
        12.52 s: next after 1.82
    "#]]
    .assert_eq(&failed_attempts(&mut schedule, at, 9));
}

#[test]
fn with_a_configured_rate_each_connects_once_a_window_whatever_happens() {
    let mut schedule = ReconnectSchedule::new(configured(300, Some(60.0)), 1, UNIX);
    let at = schedule.started(ms(0), true);
    expect![[r#"
        4.67 s: next after 6.25
        10.92 s: next after 6.25, lost
        17.17 s: next after 6.25
        23.42 s: next after 6.25
        29.67 s: next after 6.25
    "#]]
    .assert_eq(&failed_attempts(&mut schedule, at, 5));
}

#[test]
fn dispatchers_without_a_list_connect_before_those_with_one() {
    let first = |has_list| {
        let starts = (0..500).map(|seed| {
            ReconnectSchedule::new(configured(100, Some(60.0)), seed, UNIX).started(ms(0), has_list)
        });
        let starts: Vec<_> = starts.collect();
        (starts.iter().min().copied().unwrap_or_default(), starts.iter().max().copied().unwrap_or_default())
    };
    let (without, with) = (first(false), first(true));
    assert!(without.1 < with.0, "{without:?} {with:?}");
    assert!(with.1 <= ms(6_500), "{with:?}");
}

#[test]
fn a_received_line_is_success_only_once_the_stream_is_steady() {
    let mut schedule = ReconnectSchedule::new(configured(300, None), 1, UNIX);
    let mut at = schedule.started(ms(0), true);
    let mut logged = 0;
    // Each connection comes up, delivers a line and ends. The loss and the recovery are logged once each.
    for _ in 0..20 {
        schedule.connect_started(at);
        assert_eq!(schedule.line_received(at.after(ms(1))), None);
        let (next, should_log) = schedule.ended(at.after(ms(2)));
        logged += u32::from(should_log);
        at = next;
    }
    assert_eq!(logged, 1);
    assert!(at > ms(20_000), "waits grew: {at:?}");
    schedule.connect_started(at);
    assert_eq!(schedule.line_received(at.after(ms(500))), None);
    let back = schedule.line_received(at.after(ms(2_500)));
    assert!(back.is_some_and(|lost_for| lost_for > ms(20_000)), "{back:?}");
    assert_eq!(schedule.line_received(at.after(ms(3_500))), None, "reported once");
}

#[test]
fn a_silent_connection_is_given_up() {
    let mut schedule = ReconnectSchedule::new(configured(300, Some(60.0)), 1, UNIX);
    let at = schedule.started(ms(0), false);
    assert!(!schedule.is_silent(at) && schedule.is_due(at) && !schedule.is_due(ms(0)));
    schedule.connect_started(at);
    assert!(!schedule.is_silent(at.after(ms(2_000))) && schedule.is_silent(at.after(ms(2_001))));
    schedule.line_received(at.after(ms(2_000)));
    assert!(!schedule.is_silent(at.after(ms(4_000))) && schedule.is_silent(at.after(ms(4_001))));
    assert_eq!(schedule.state(), ConnectionState::Following(at));
}

#[test]
fn with_one_connection_at_a_time_the_timeout_doubles_with_each_attempt() {
    let mut schedule = ReconnectSchedule::new(configured(1, None), 1, UNIX);
    let mut at = schedule.started(ms(0), true);
    for waits_s in [2, 4, 8, 16, 16] {
        schedule.connect_started(at);
        let until = at.after(ms(waits_s * 1_000));
        assert!(
            !schedule.has_timed_out(until, 1) && schedule.has_timed_out(until.after(ms(1)), 1),
            "{waits_s} s"
        );
        at = schedule.ended(until).0;
    }
    // Once a line was received, the silence timeout is the short one again.
    schedule.connect_started(at);
    schedule.line_received(at);
    assert!(
        !schedule.has_timed_out(at.after(ms(2_000)), 1) && schedule.has_timed_out(at.after(ms(2_001)), 1)
    );
}

#[test]
fn a_changed_address_is_connected_to_at_a_random_time() {
    let moved = |seed| {
        let mut schedule = ReconnectSchedule::new(configured(300, Some(60.0)), seed, UNIX);
        let at = schedule.started(ms(0), true);
        schedule.connect_started(at);
        schedule.line_received(at);
        schedule.address_changed(ms(20_000)).since(ms(20_000))
    };
    let waits: Vec<_> = (0..300).map(moved).collect();
    let early = waits.iter().filter(|wait| **wait < ms(1_000)).count();
    assert!((20..90).contains(&early), "{early} of 300 in the first second");
    assert!(waits.iter().all(|wait| *wait <= ms(6_250)));
}

#[test]
fn a_rate_too_low_for_delivery_in_time_is_an_error_that_names_the_lowest_rate() {
    assert_eq!(configured(300, Some(60.0)).max_wait(), Ok(ms(6_500)));
    let least = configured(900, Some(60.0)).max_wait().expect_err("rate too low");
    assert!((least - 173.1).abs() < 0.1, "{least}");
    assert!(configured(900, Some(least + 0.1)).max_wait().is_ok());
}

/// All connections, up to `until`, of `count` dispatchers to a change log that is away between two times and otherwise
/// accepts each connection at once.
fn connections_of(
    count: usize,
    known: ReconnectSettings,
    zones: usize,
    away: [Nanos; 2],
    until: Nanos,
    seed: u64,
) -> Vec<Nanos> {
    let mut all = Vec::new();
    for at in 0..count {
        let zone = at % zones;
        let window_range = [zone, zone + 1].map(|edge| edge as f64 / zones as f64);
        let mut schedule = ReconnectSchedule::new(
            ReconnectSettings { window_range, ..known },
            seed * 7_919 + at as u64,
            UNIX,
        );
        let mut next = schedule.started(ms(0), true);
        while next <= until {
            all.push(next);
            schedule.connect_started(next);
            let fails = next >= away[0] && next < away[1];
            if !fails {
                schedule.line_received(next);
                // The stream ends when the change log goes away, if it does before the end.
                if next >= away[1] || away[0] > until {
                    break;
                }
                let steady = away[0].max(next.after(ms(1)));
                schedule.line_received(Nanos(steady.0 - 1));
                next = schedule.ended(steady).0;
            } else {
                next = schedule.ended(next).0;
            }
        }
    }
    all.sort();
    all
}

/// The most connections in any second, wherever it begins.
fn peak(connections: &[Nanos]) -> usize {
    (0..connections.len())
        .map(|at| connections.partition_point(|time| *time < connections[at].after(ms(1_000))) - at)
        .max()
        .unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever the outage, no second has more than one and a half times the configured rate, or than random slots
    /// explain; and all dispatchers connect within the longest wait once the change log is back.
    #[test]
    fn the_sum_of_connections_stays_within_the_configured_rate(
        seed in 0_u64..1_000, count in 100_usize..600, zones in 1_usize..12, begins in 8_000_u64..20_000, lasts in 1_000_u64..60_000,
    ) {
        let bears = count as f64 / 5.0;
        let away = [ms(begins), ms(begins + lasts)];
        let until = away[1].after(ms(8_000));
        let connections = connections_of(count, configured(count as u32, Some(bears)), zones, away, until, seed);
        // Slots are random: with few dispatchers the worst second, wherever it begins, lies six deviations over the
        // mean.
        let most = (1.5 * bears).max(0.8 * bears + 6.0 * (0.8 * bears).sqrt());
        prop_assert!(peak(&connections) as f64 <= most, "{} a second of {bears}, seed {seed}", peak(&connections));
        let after = connections.iter().filter(|at| **at >= away[1]).count();
        prop_assert_eq!(after, count);
        prop_assert!(connections.last().is_some_and(|last| last.since(away[1]) <= ms(6_500)));
    }
}

#[test]
fn a_dispatcher_suspended_past_its_slot_takes_the_next_slot_and_does_not_connect_with_all_others() {
    let mut seconds = [0_u32; 8];
    for seed in 0..300 {
        let mut schedule = ReconnectSchedule::new(configured(300, Some(60.0)), seed, UNIX);
        let at = schedule.started(ms(0), true);
        // Suspended from the start on, for nine seconds; all resume at the same time.
        let now = ms(9_000);
        let next = schedule.skip_missed_turn(now).expect("its slot has passed");
        assert!(next > now && at < now && !schedule.is_due(now) && schedule.is_due(next));
        seconds[next.since(now).secs() as usize] += 1;
    }
    assert!(seconds.iter().all(|count| *count <= 66), "{seconds:?}");
    // A timer that is slightly late has no effect; without a configured rate there is no window to wait for.
    let mut schedule = ReconnectSchedule::new(configured(300, Some(60.0)), 1, UNIX);
    let at = schedule.started(ms(0), true);
    assert_eq!(schedule.skip_missed_turn(at.after(ms(200))), None);
    assert_eq!(ReconnectSchedule::new(configured(300, None), 1, UNIX).skip_missed_turn(ms(9_000)), None);
}

#[test]
fn local_failures_do_not_count_as_failed_attempts() {
    for (settings, longest) in
        [(configured(300, None), ms(1_000)), (configured(300, Some(60.0)), ms(1_000 + 6_250))]
    {
        let mut schedule = ReconnectSchedule::new(settings, 1, UNIX);
        let mut at = schedule.started(ms(0), true);
        for _ in 0..30 {
            schedule.connect_started(at);
            let next = schedule.local_failure(at);
            assert!(
                next.since(at) >= ms(500) && next.since(at) <= longest,
                "{:?} after {at:?}",
                next.since(at)
            );
            at = next;
        }
        // The first real failure counts as the first: its wait is the shortest, and nothing is logged yet.
        schedule.connect_started(at);
        let (next, should_log) = schedule.ended(at);
        let first = if settings.calls_per_s.is_some() { ms(6_251) } else { ms(200) };
        assert!(next.since(at) <= first && !should_log, "{:?}", next.since(at));
    }
}

/// Local resources are back for all dispatchers at the same time: no second has more connections than windows are laid
/// out for.
#[test]
fn connections_after_local_failures_of_all_stay_within_the_configured_rate() {
    let free = ms(30_000);
    let mut connections: Vec<Nanos> = (0..300)
        .map(|seed| {
            let mut schedule = ReconnectSchedule::new(configured(300, Some(60.0)), seed, UNIX);
            let mut at = schedule.started(ms(0), true);
            while at < free {
                schedule.connect_started(at);
                at = schedule.local_failure(at);
            }
            at
        })
        .collect();
    connections.sort();
    let within =
        |from: Nanos| connections.iter().filter(|at| **at >= from && at.since(from) < ms(1_000)).count();
    let peak = connections.iter().map(|from| within(*from)).max().unwrap_or_default();
    assert!(peak <= 72, "{peak} connections in a second; windows are laid out for 48 on average");
    assert!(connections.iter().all(|at| at.since(free) <= ms(7_250)), "{:?}", connections.last());
}
