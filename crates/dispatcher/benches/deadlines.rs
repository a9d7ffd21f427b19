//! The event loop's deadlines beside a timer source each: `cargo bench -p copperroute-dispatcher --bench deadlines`.
//!
//! So many requests a second with so many seconds of time-out stand when a bench begins; it times the next
//! [`REQUESTS`]. The cost of a request is to be the same in all lines of one group.

use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, RegistrationToken};
use copperroute_dispatcher::deadlines::Deadlines;
use copperroute_routing::interface::Nanos;
use divan::counter::ItemsCount;
use divan::{Bencher, black_box};
use std::time::{Duration, Instant};

const SECOND: u64 = 1_000_000_000;
/// Requests timed at once.
const REQUESTS: u64 = 10_000;
/// The same where each is searched for among all.
const SEARCHED: u64 = 100;
/// Requests that are open at a time where they end early.
const OPEN: u64 = 500;

/// Requests a second, and their time-out in seconds.
#[derive(Debug, Clone, Copy)]
struct Load(u64, u64);

impl std::fmt::Display for Load {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{} a second, {} s", self.0, self.1)
    }
}

impl Load {
    fn standing(self) -> u64 {
        self.0 * self.1
    }

    /// When a request comes.
    fn comes(self, request: u64) -> Nanos {
        Nanos(request * SECOND / self.0)
    }

    /// When its time is out.
    fn ends(self, request: u64) -> Nanos {
        self.comes(request).after(Nanos(self.1 * SECOND))
    }
}

const LOADS: [Load; 8] = [
    Load(1_000, 3),
    Load(1_000, 60),
    Load(5_000, 3),
    Load(5_000, 60),
    Load(20_000, 3),
    Load(20_000, 60),
    Load(50_000, 3),
    Load(50_000, 60),
];

fn main() {
    divan::main();
}

/// No request ends before its time: each deadline is armed, and taken when due.
#[divan::bench(args = LOADS, sample_count = 20)]
fn lapsing(bencher: Bencher, load: Load) {
    bencher
        .counter(ItemsCount::new(REQUESTS))
        .with_inputs(|| {
            let mut deadlines = Deadlines::default();
            (0..load.standing()).for_each(|request| deadlines.arm(load.ends(request), request));
            deadlines
        })
        .bench_local_values(|mut deadlines| {
            let mut due = Vec::new();
            for request in load.standing()..load.standing() + REQUESTS {
                deadlines.arm(load.ends(request), request);
                deadlines.take_due(load.comes(request), &mut due);
                black_box(&due);
                due.clear();
            }
            deadlines
        });
}

/// Requests end early, and what nobody waits for is forgotten.
#[divan::bench(args = LOADS, sample_count = 20)]
fn ending_early(bencher: Bencher, load: Load) {
    let arm = |deadlines: &mut Deadlines<u64>, request: u64| {
        deadlines.arm(load.ends(request), request);
        if deadlines.needs_pruning() {
            deadlines.prune(|other| other + OPEN > request);
        }
    };
    bencher
        .counter(ItemsCount::new(REQUESTS))
        .with_inputs(|| {
            let mut deadlines = Deadlines::default();
            (0..load.standing()).for_each(|request| arm(&mut deadlines, request));
            deadlines
        })
        .bench_local_values(|mut deadlines| {
            let mut due = Vec::new();
            for request in load.standing()..load.standing() + REQUESTS {
                arm(&mut deadlines, request);
                deadlines.take_due(load.comes(request), &mut due);
            }
            (deadlines, due)
        });
}

/// A timer source each, as it was: inserted, and dropped from among all the others.
#[divan::bench(args = &LOADS[..3], sample_count = 20)]
fn a_source_each(bencher: Bencher, load: Load) {
    bencher
        .counter(ItemsCount::new(SEARCHED))
        .with_inputs(|| {
            let event_loop: EventLoop<'static, ()> = EventLoop::try_new().expect("an event loop");
            let begun = Instant::now() + Duration::from_secs(3600);
            let handle = event_loop.handle();
            let tokens: Vec<RegistrationToken> = (0..load.standing())
                .map(|request| {
                    let timer = Timer::from_deadline(begun + Duration::from_nanos(load.ends(request).0));
                    handle.insert_source(timer, |_, _, ()| TimeoutAction::Drop).expect("a source")
                })
                .collect();
            (event_loop, begun, tokens)
        })
        .bench_local_values(|(event_loop, begun, tokens)| {
            let handle = event_loop.handle();
            for (request, token) in (load.standing()..load.standing() + SEARCHED).zip(tokens) {
                handle.remove(token);
                let timer = Timer::from_deadline(begun + Duration::from_nanos(load.ends(request).0));
                handle.insert_source(timer, |_, _, ()| TimeoutAction::Drop).expect("a source");
            }
            event_loop
        });
}
