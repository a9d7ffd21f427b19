//! Timers that are due fire in a bounded time, whatever is unread, on a simulated clock.

use copperroute_dispatcher::due_timers::{DueTimers, MAX_FIRING_TIME};
use copperroute_dispatcher::effects::TimerKind;
use copperroute_dispatcher::freshness::MAX_POSTPONEMENT;
use copperroute_routing::interface::Nanos;
use proptest::prelude::*;

fn ms(n: u64) -> Nanos {
    Nanos(n * 1_000_000)
}

/// Fires what may fire in a turn, with a cost for each timer; returns the timers and the time after them.
fn fire(timers: &mut DueTimers<u64>, began: Nanos, unread: bool, cost: Nanos) -> (Vec<u64>, Nanos) {
    let mut now = began;
    timers.begin_firing(began, now, unread, |_| true);
    let mut fired = Vec::new();
    while let Some(timer) = timers.next(now) {
        fired.push(timer);
        now = now.after(cost);
    }
    (fired, now)
}

proptest! {
    /// Guards against timers that wait for as long as input arrives, and against those left over from a turn waiting
    /// anew: each fires no later than the postponement and two turns after it was due.
    #[test]
    fn each_timer_fires_in_time_though_input_arrives_without_end(
        due_per_turn in prop::collection::vec(0..5_usize, 1..120),
        turn_ms in 1..45_u64,
    ) {
        let mut timers = DueTimers::default();
        let (mut now, mut latest) = (ms(1_000), Nanos::ZERO);
        for count in due_per_turn.iter().copied().chain([0; 400]) {
            timers.newly_due().extend(vec![now.0; count]);
            let (fired, after) = fire(&mut timers, now, true, ms(1));
            latest = fired.iter().map(|due| now.since(Nanos(*due))).max().unwrap_or_default().max(latest);
            now = after.after(ms(turn_ms));
        }
        prop_assert!(timers.is_empty());
        let turn = MAX_FIRING_TIME.after(ms(turn_ms));
        prop_assert!(latest <= MAX_POSTPONEMENT.after(Nanos(2 * turn.0)), "{latest:?}");
    }
}

/// Many timers at once take several turns, in order; those left over do not wait for input again.
#[test]
fn timers_left_over_from_a_turn_fire_in_the_next() {
    let mut timers = DueTimers::default();
    timers.newly_due().extend(0..120);
    let (first, after) = fire(&mut timers, ms(1_000), false, ms(1));
    assert_eq!(first, (0..50).collect::<Vec<_>>());
    let (second, after) = fire(&mut timers, after, true, ms(1));
    assert_eq!(second, (50..100).collect::<Vec<_>>());
    let (third, _) = fire(&mut timers, after, true, ms(1));
    assert_eq!(third, (100..120).collect::<Vec<_>>());
    assert!(timers.is_empty());
}

/// The timers of the shutdown keep to the time after which the process may be killed; others wait for unread input.
#[test]
fn timers_of_the_shutdown_do_not_wait_for_input() {
    let mut timers = DueTimers::default();
    timers.newly_due().extend([TimerKind::Sweep, TimerKind::DrainDeadline, TimerKind::Routing(1)]);
    timers.begin_firing(ms(1_000), ms(1_000), true, TimerKind::waits_for_input);
    assert_eq!(timers.next(ms(1_000)), Some(TimerKind::DrainDeadline));
    assert_eq!(timers.next(ms(1_000)), None);
    timers.begin_firing(ms(1_010), ms(1_010), false, TimerKind::waits_for_input);
    assert_eq!(timers.next(ms(1_010)), Some(TimerKind::Sweep));
    assert_eq!(timers.next(ms(1_010)), Some(TimerKind::Routing(1)));
}
