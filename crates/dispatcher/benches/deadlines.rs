//! Compares the cost of [`Deadlines`] with one timer source for each request: `cargo bench -p copperroute-dispatcher
//! --bench deadlines`.
//!
//! Each [`Load`] gives the requests a second and their timeout. A bench starts with as many armed deadlines as that
//! load keeps, and times the next [`REQUESTS`] requests. Within a group, the cost of a request should not depend on the
//! load.

use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, RegistrationToken};
use copperroute_dispatcher::deadlines::Deadlines;
use copperroute_routing::interface::Nanos;
use divan::counter::ItemsCount;
use divan::{Bencher, black_box};
use std::time::{Duration, Instant};

const SECOND_NS: u64 = 1_000_000_000;
/// The number of requests that one sample of a bench of [`Deadlines`] times.
const REQUESTS: u64 = 10_000;
/// The same for timer sources, where removing each one searches all the others.
const TIMER_SOURCE_REQUESTS: u64 = 100;
/// The number of unanswered requests at a time in the bench where requests end before their deadline.
const OPEN_REQUESTS: u64 = 500;

/// The number of requests a second, and their timeout in seconds.
#[derive(Debug, Clone, Copy)]
struct Load(u64, u64);

impl std::fmt::Display for Load {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{} a second, {} s", self.0, self.1)
    }
}

impl Load {
    /// The number of requests whose deadline has not passed.
    fn armed(self) -> u64 {
        self.0 * self.1
    }

    /// When a request arrives.
    fn arrival(self, request: u64) -> Nanos {
        Nanos(request * SECOND_NS / self.0)
    }

    /// The deadline of a request.
    fn deadline(self, request: u64) -> Nanos {
        self.arrival(request).after(Nanos(self.1 * SECOND_NS))
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

/// No request ends before its deadline: each deadline is armed, and taken when due.
#[divan::bench(args = LOADS, sample_count = 20)]
fn expiring(bencher: Bencher, load: Load) {
    bencher
        .counter(ItemsCount::new(REQUESTS))
        .with_inputs(|| {
            let mut deadlines = Deadlines::default();
            (0..load.armed()).for_each(|request| deadlines.arm(load.deadline(request), request));
            deadlines
        })
        .bench_local_values(|mut deadlines| {
            let mut due = Vec::new();
            for request in load.armed()..load.armed() + REQUESTS {
                deadlines.arm(load.deadline(request), request);
                deadlines.take_due(load.arrival(request), &mut due);
                black_box(&due);
                due.clear();
            }
            deadlines
        });
}

/// Requests end before their deadline, and pruning removes deadlines that no request needs.
#[divan::bench(args = LOADS, sample_count = 20)]
fn ending_early(bencher: Bencher, load: Load) {
    let arm = |deadlines: &mut Deadlines<u64>, request: u64| {
        deadlines.arm(load.deadline(request), request);
        if deadlines.needs_pruning() {
            deadlines.prune(|other| other + OPEN_REQUESTS > request);
        }
    };
    bencher
        .counter(ItemsCount::new(REQUESTS))
        .with_inputs(|| {
            let mut deadlines = Deadlines::default();
            (0..load.armed()).for_each(|request| arm(&mut deadlines, request));
            deadlines
        })
        .bench_local_values(|mut deadlines| {
            let mut due = Vec::new();
            for request in load.armed()..load.armed() + REQUESTS {
                arm(&mut deadlines, request);
                deadlines.take_due(load.arrival(request), &mut due);
            }
            (deadlines, due)
        });
}

/// One timer source for each request: inserted, and removed from among all the others.
#[divan::bench(args = &LOADS[..3], sample_count = 20)]
fn one_timer_source_each(bencher: Bencher, load: Load) {
    bencher
        .counter(ItemsCount::new(TIMER_SOURCE_REQUESTS))
        .with_inputs(|| {
            let event_loop: EventLoop<'static, ()> =
                EventLoop::try_new().expect("an event loop can be created");
            let start = Instant::now() + Duration::from_secs(3600);
            let handle = event_loop.handle();
            let tokens: Vec<RegistrationToken> = (0..load.armed())
                .map(|request| {
                    let timer = Timer::from_deadline(start + Duration::from_nanos(load.deadline(request).0));
                    handle
                        .insert_source(timer, |_, _, ()| TimeoutAction::Drop)
                        .expect("a timer source can be inserted")
                })
                .collect();
            (event_loop, start, tokens)
        })
        .bench_local_values(|(event_loop, start, tokens)| {
            let handle = event_loop.handle();
            for (request, token) in (load.armed()..load.armed() + TIMER_SOURCE_REQUESTS).zip(tokens) {
                handle.remove(token);
                let timer = Timer::from_deadline(start + Duration::from_nanos(load.deadline(request).0));
                handle
                    .insert_source(timer, |_, _, ()| TimeoutAction::Drop)
                    .expect("a timer source can be inserted");
            }
            event_loop
        });
}
