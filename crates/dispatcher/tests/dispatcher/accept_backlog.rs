//! Since when accepted clients may have waited, beside a queue of clients whose times are known.

use copperroute_dispatcher::accept_backlog::AcceptBacklog;
use copperroute_routing::interface::Nanos;
use proptest::prelude::*;
use std::collections::VecDeque;

const CAPACITY: usize = 20;

const MAX_ACCEPTS_PER_TURN: usize = 8;

proptest! {
    /// Guards against a first request whose time counts from when its client was accepted, and against one whose time
    /// counts from long before its client came because others always wait.
    #[test]
    fn a_client_came_at_the_returned_time_or_later_and_not_much_later(
        // Of each turn: the time since the last one, the clients that come, and how many are accepted.
        turns in prop::collection::vec((1..50_u64, 0..30_usize, 0..=MAX_ACCEPTS_PER_TURN), 1..200_usize),
    ) {
        let mut backlog = AcceptBacklog::new(CAPACITY as u64);
        let mut waiting: VecDeque<Nanos> = VecDeque::new();
        let (mut now, mut last_turn) = (Nanos(1_000), Nanos(1_000));
        let mut accepted_at: Vec<Nanos> = Vec::new();
        for (span, come, limit) in turns {
            now = now.after(Nanos(span));
            // They come between the last turn and this one.
            let room = CAPACITY - waiting.len();
            waiting.extend(vec![last_turn.after(Nanos(span / 2)); come.min(room)]);
            if waiting.is_empty() {
                backlog.drained();
            } else {
                backlog.turn_began(now, last_turn);
                for _ in 0..limit {
                    let Some(came_at) = waiting.pop_front() else {
                        backlog.drained();
                        break;
                    };
                    let bound = backlog.accepted(now);
                    prop_assert!(bound <= came_at, "{bound:?} for one that came at {came_at:?}");
                    // Who was accepted a whole backlog and a turn before was there before the bound.
                    let earlier = accepted_at.len().checked_sub(CAPACITY + MAX_ACCEPTS_PER_TURN + 1);
                    prop_assert!(earlier.is_none_or(|at| accepted_at[at] <= bound));
                    accepted_at.push(now);
                }
            }
            last_turn = now;
        }
    }
}

/// A client that comes when nobody waits is not held to have waited.
#[test]
fn after_nobody_waited_the_time_starts_anew() {
    let mut backlog = AcceptBacklog::new(4);
    backlog.turn_began(Nanos(100), Nanos(90));
    assert_eq!(backlog.accepted(Nanos(101)), Nanos(90));
    backlog.turn_began(Nanos(200), Nanos(190));
    assert_eq!(backlog.accepted(Nanos(201)), Nanos(90));
    backlog.drained();
    backlog.turn_began(Nanos(300), Nanos(290));
    assert_eq!(backlog.accepted(Nanos(301)), Nanos(290));
}
