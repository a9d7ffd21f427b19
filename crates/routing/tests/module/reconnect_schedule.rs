//! When the list service is called: by one dispatcher, as traces, and by many, as sums.

use crate::common::ms;
use copperroute_routing::interface::Nanos;
use copperroute_routing::reconnect_schedule::{ConnectionState, ReconnectSchedule, ReconnectSettings};
use expect_test::expect;
use proptest::prelude::*;
use std::fmt::Write as _;

/// A dispatcher's clock shows zero at this Unix time.
const UNIX: u64 = 1_764_576_000_000_000_000;

fn told(dispatchers: u32, calls_per_s: Option<f64>) -> ReconnectSettings {
    ReconnectSettings { dispatchers, calls_per_s, delivered_after: ms(7_000), window_range: [0.0, 1.0] }
}

/// Calls that end at once, and when they are made.
fn in_vain(calls: &mut ReconnectSchedule, mut at: Nanos, count: usize) -> String {
    let mut trace = String::new();
    for _ in 0..count {
        calls.connect_started(at);
        let (next, news) = calls.ended(at);
        let _ = writeln!(
            trace,
            "{:.2} s: next after {:.2}{}",
            at.secs(),
            next.since(at).secs(),
            if news { ", lost" } else { "" }
        );
        at = next;
    }
    trace
}

#[test]
fn where_nothing_is_told_of_the_service_waits_double_to_a_bound() {
    let mut calls = ReconnectSchedule::new(told(300, None), 1, UNIX);
    let at = calls.started(ms(0), true);
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
    .assert_eq(&in_vain(&mut calls, at, 9));
}

#[test]
fn where_it_is_told_each_calls_once_a_round_whatever_happens() {
    let mut calls = ReconnectSchedule::new(told(300, Some(60.0)), 1, UNIX);
    let at = calls.started(ms(0), true);
    expect![[r#"
        4.67 s: next after 6.25
        10.92 s: next after 6.25, lost
        17.17 s: next after 6.25
        23.42 s: next after 6.25
        29.67 s: next after 6.25
    "#]]
    .assert_eq(&in_vain(&mut calls, at, 5));
}

#[test]
fn who_has_no_list_calls_before_those_that_have_one() {
    let first = |has_list| {
        let starts = (0..500)
            .map(|seed| ReconnectSchedule::new(told(100, Some(60.0)), seed, UNIX).started(ms(0), has_list));
        let starts: Vec<_> = starts.collect();
        (starts.iter().min().copied().unwrap_or_default(), starts.iter().max().copied().unwrap_or_default())
    };
    let (without, with) = (first(false), first(true));
    assert!(without.1 < with.0, "{without:?} {with:?}");
    assert!(with.1 <= ms(6_500), "{with:?}");
}

#[test]
fn a_line_heard_is_success_only_once_the_stream_is_steady() {
    let mut calls = ReconnectSchedule::new(told(300, None), 1, UNIX);
    let mut at = calls.started(ms(0), true);
    let mut lines = 0;
    // Each connection comes up, tells a line and ends: two lines at most for all of it.
    for _ in 0..20 {
        calls.connect_started(at);
        assert_eq!(calls.line_received(at.after(ms(1))), None);
        let (next, news) = calls.ended(at.after(ms(2)));
        lines += u32::from(news);
        at = next;
    }
    assert_eq!(lines, 1);
    assert!(at > ms(20_000), "waits grew: {at:?}");
    calls.connect_started(at);
    assert_eq!(calls.line_received(at.after(ms(500))), None);
    let back = calls.line_received(at.after(ms(2_500)));
    assert!(back.is_some_and(|away| away > ms(20_000)), "{back:?}");
    assert_eq!(calls.line_received(at.after(ms(3_500))), None, "told once");
}

#[test]
fn what_says_nothing_is_given_up() {
    let mut calls = ReconnectSchedule::new(told(300, Some(60.0)), 1, UNIX);
    let at = calls.started(ms(0), false);
    assert!(!calls.is_silent(at) && calls.is_due(at) && !calls.is_due(ms(0)));
    calls.connect_started(at);
    assert!(!calls.is_silent(at.after(ms(2_000))) && calls.is_silent(at.after(ms(2_001))));
    calls.line_received(at.after(ms(2_000)));
    assert!(!calls.is_silent(at.after(ms(4_000))) && calls.is_silent(at.after(ms(4_001))));
    assert_eq!(calls.state(), ConnectionState::Following(at));
}

#[test]
fn who_makes_one_call_at_a_time_waits_for_each_twice_as_long_as_for_the_one_before() {
    let mut calls = ReconnectSchedule::new(told(1, None), 1, UNIX);
    let mut at = calls.started(ms(0), true);
    for waits_s in [2, 4, 8, 16, 16] {
        calls.connect_started(at);
        let until = at.after(ms(waits_s * 1_000));
        assert!(!calls.has_timed_out(until, 1) && calls.has_timed_out(until.after(ms(1)), 1), "{waits_s} s");
        at = calls.ended(until).0;
    }
    // Once it is heard, silence is as short as ever.
    calls.connect_started(at);
    calls.line_received(at);
    assert!(!calls.has_timed_out(at.after(ms(2_000)), 1) && calls.has_timed_out(at.after(ms(2_001)), 1));
}

#[test]
fn a_service_elsewhere_is_called_at_a_drawn_moment() {
    let moved = |seed| {
        let mut calls = ReconnectSchedule::new(told(300, Some(60.0)), seed, UNIX);
        let at = calls.started(ms(0), true);
        calls.connect_started(at);
        calls.line_received(at);
        calls.address_changed(ms(20_000)).since(ms(20_000))
    };
    let waits: Vec<_> = (0..300).map(moved).collect();
    let early = waits.iter().filter(|wait| **wait < ms(1_000)).count();
    assert!((20..90).contains(&early), "{early} of 300 in the first second");
    assert!(waits.iter().all(|wait| *wait <= ms(6_250)));
}

#[test]
fn what_cannot_be_heard_in_time_is_said_with_the_figure_that_could() {
    assert_eq!(told(300, Some(60.0)).max_wait(), Ok(ms(6_500)));
    let least = told(900, Some(60.0)).max_wait().expect_err("too few calls");
    assert!((least - 173.1).abs() < 0.1, "{least}");
    assert!(told(900, Some(least + 0.1)).max_wait().is_ok());
}

/// All calls of so many dispatchers to a service that is away from one time to another and takes each call at once
/// otherwise, with the time until which it ran.
fn calls_of(
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
        let mut calls = ReconnectSchedule::new(
            ReconnectSettings { window_range, ..known },
            seed * 7_919 + at as u64,
            UNIX,
        );
        let mut next = calls.started(ms(0), true);
        while next <= until {
            all.push(next);
            calls.connect_started(next);
            let in_vain = next >= away[0] && next < away[1];
            if !in_vain {
                calls.line_received(next);
                // The stream ends when the service goes away, if it comes to that.
                if next >= away[1] || away[0] > until {
                    break;
                }
                let steady = away[0].max(next.after(ms(1)));
                calls.line_received(Nanos(steady.0 - 1));
                next = calls.ended(steady).0;
            } else {
                next = calls.ended(next).0;
            }
        }
    }
    all.sort();
    all
}

/// The most of these in any second, wherever it begins.
fn peak(calls: &[Nanos]) -> usize {
    (0..calls.len())
        .map(|at| calls.partition_point(|call| *call < calls[at].after(ms(1_000))) - at)
        .max()
        .unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever the outage, no second has more calls than a half over what the service bears, or chance, and all have called
    /// within the time that is told once it is back.
    #[test]
    fn the_sum_stays_within_what_the_service_bears(
        seed in 0_u64..1_000, count in 100_usize..600, zones in 1_usize..12, begins in 8_000_u64..20_000, lasts in 1_000_u64..60_000,
    ) {
        let bears = count as f64 / 5.0;
        let away = [ms(begins), ms(begins + lasts)];
        let until = away[1].after(ms(8_000));
        let calls = calls_of(count, told(count as u32, Some(bears)), zones, away, until, seed);
        // Places are drawn: of few dispatchers the worst second, wherever it begins, lies six deviations over the mean.
        let most = (1.5 * bears).max(0.8 * bears + 6.0 * (0.8 * bears).sqrt());
        prop_assert!(peak(&calls) as f64 <= most, "{} a second of {bears}, seed {seed}", peak(&calls));
        let after = calls.iter().filter(|at| **at >= away[1]).count();
        prop_assert_eq!(after, count);
        prop_assert!(calls.last().is_some_and(|last| last.since(away[1]) <= ms(6_500)));
    }
}

#[test]
fn who_overslept_takes_the_next_place_and_does_not_call_with_all_who_were_stopped_alike() {
    let mut seconds = [0_u32; 8];
    for seed in 0..300 {
        let mut calls = ReconnectSchedule::new(told(300, Some(60.0)), seed, UNIX);
        let at = calls.started(ms(0), true);
        // Stopped from the start on, for nine seconds; all go on at one moment.
        let now = ms(9_000);
        let next = calls.skip_missed_turn(now).expect("its moment went by");
        assert!(next > now && at < now && !calls.is_due(now) && calls.is_due(next));
        seconds[next.since(now).secs() as usize] += 1;
    }
    assert!(seconds.iter().all(|calls| *calls <= 66), "{seconds:?}");
    // A little late, as timers are, is no matter; and nobody waits for a round where there are none.
    let mut calls = ReconnectSchedule::new(told(300, Some(60.0)), 1, UNIX);
    let at = calls.started(ms(0), true);
    assert_eq!(calls.skip_missed_turn(at.after(ms(200))), None);
    assert_eq!(ReconnectSchedule::new(told(300, None), 1, UNIX).skip_missed_turn(ms(9_000)), None);
}

#[test]
fn calls_that_could_not_be_made_are_none_in_vain() {
    for (settings, most) in [(told(300, None), ms(1_000)), (told(300, Some(60.0)), ms(1_000 + 6_250))] {
        let mut calls = ReconnectSchedule::new(settings, 1, UNIX);
        let mut at = calls.started(ms(0), true);
        for _ in 0..30 {
            calls.connect_started(at);
            let next = calls.local_failure(at);
            assert!(next.since(at) >= ms(500) && next.since(at) <= most, "{:?} after {at:?}", next.since(at));
            at = next;
        }
        // The first in vain is the first: its wait is the shortest, and no line is due yet.
        calls.connect_started(at);
        let (next, news) = calls.ended(at);
        let first = if settings.calls_per_s.is_some() { ms(6_251) } else { ms(200) };
        assert!(next.since(at) <= first && !news, "{:?}", next.since(at));
    }
}

/// Want ends for all at one moment: no second has more calls than rounds are laid out for.
#[test]
fn calls_after_a_want_of_all_stay_within_what_the_service_bears() {
    let free = ms(30_000);
    let mut made: Vec<Nanos> = (0..300)
        .map(|seed| {
            let mut calls = ReconnectSchedule::new(told(300, Some(60.0)), seed, UNIX);
            let mut at = calls.started(ms(0), true);
            while at < free {
                calls.connect_started(at);
                at = calls.local_failure(at);
            }
            at
        })
        .collect();
    made.sort();
    let within = |from: Nanos| made.iter().filter(|at| **at >= from && at.since(from) < ms(1_000)).count();
    let peak = made.iter().map(|from| within(*from)).max().unwrap_or_default();
    assert!(peak <= 72, "{peak} calls in a second; 48 are laid out for, unevenly");
    assert!(made.iter().all(|at| at.since(free) <= ms(7_250)), "{:?}", made.last());
}
