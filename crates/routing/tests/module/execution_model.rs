//! Random requests, retries and outcomes of few fingerprints, beside the simplest model of what must not run twice: a
//! marked retry is sent on only if no earlier request of its fingerprint is in flight or may have run.

use crate::common::*;
use crate::overload_scenario::overload_settings;
use copperroute_routing::interface::*;
use copperroute_routing::policy::Dispatcher;
use proptest::prelude::*;
use std::collections::HashMap;

/// The content type that must not run twice.
const NON_RETRIABLE: TypeId = TypeId(2);
const FINGERPRINTS: u32 = 3;
/// Objects of the requests that bring about a storm.
const STORM_OBJECTS: std::ops::Range<u32> = 100..140;
/// Time between two steps.
const STEP: Nanos = Nanos(37_000_000);
const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Refused,
    Outcome::Unreachable,
    Outcome::NotSent,
    Outcome::Missed,
    Outcome::Broken,
    Outcome::TimedOut,
    Outcome::Failed,
];

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request of a fingerprint arrives, marked as a retry or not.
    Request { object: u32, is_retry: bool },
    /// An attempt in flight ends: which one, and how.
    AttemptEnds { choice: usize, outcome: usize },
    /// The client of a request in flight disconnects.
    ClientGone { choice: usize },
    /// Time passes.
    Wait { steps: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..FINGERPRINTS).prop_map(|object| Step::Request { object, is_retry: false }),
        6 => (0..FINGERPRINTS).prop_map(|object| Step::Request { object, is_retry: true }),
        5 => (any::<usize>(), 0..OUTCOMES.len())
            .prop_map(|(choice, outcome)| Step::AttemptEnds { choice, outcome }),
        1 => any::<usize>().prop_map(|choice| Step::ClientGone { choice }),
        1 => (1..40_u64).prop_map(|steps| Step::Wait { steps }),
    ]
}

/// What the dispatcher did during one call.
#[derive(Default)]
struct Recorder {
    attempts: Vec<RequestId>,
    cancelled: Vec<(RequestId, u32)>,
    released: Vec<RequestId>,
    storms: u32,
}

impl Actions for Recorder {
    fn attempt(&mut self, request_id: RequestId, _attempt: &Attempt) {
        self.attempts.push(request_id);
    }
    fn cancel(&mut self, request_id: RequestId, number: u32) {
        self.cancelled.push((request_id, number));
    }
    fn reject(&mut self, _request_id: RequestId, _retry_after: Option<Nanos>) {}
    fn fail(&mut self, _request_id: RequestId) {}
    fn arm_timer(&mut self, _span: Nanos, _token: u64) {}
    fn probe_load(&mut self, _node: NodeId) {}
    fn subscribe_to_list(&mut self) {}
    fn log_line(&mut self, line: &str) {
        self.storms += u32::from(line.contains("Storm after"));
    }
    fn release(&mut self, request_id: RequestId) {
        self.released.push(request_id);
    }
    fn release_object(&mut self, _object: ObjectId) {}
}

/// A request that the dispatcher has not released.
struct OpenRequest {
    object: u32,
    attempts: u32,
    /// Its last attempt has not ended.
    in_flight: bool,
}

/// A dispatcher beside the model.
struct Play {
    dispatcher: Dispatcher,
    now: Nanos,
    remember_for: Nanos,
    next: u32,
    open: HashMap<RequestId, OpenRequest>,
    /// When a request of an object was last known to have run, or may have.
    ran_at: HashMap<u32, Nanos>,
    storms: u32,
}

impl Play {
    fn new(settings: Settings) -> Play {
        let remember_for = settings.overload_control.map_or(Nanos::ZERO, |overload| overload.remember_for);
        let (dispatcher, _) = start(settings);
        let (open, ran_at) = Default::default();
        Play { dispatcher, now: ms(1_000_000), remember_for, next: 0, open, ran_at, storms: 0 }
    }

    fn request(&mut self, object: u32, is_retry: bool) {
        let must_not_run = is_retry && self.may_have_run(object);
        self.next += 1;
        let request_id = RequestId(self.next);
        self.open.insert(request_id, OpenRequest { object, attempts: 0, in_flight: false });
        let request = RoutingRequest {
            content_type: NON_RETRIABLE,
            is_retry,
            ..sized(self.now, request_id.0, object, 200.0)
        };
        let mut recorder = Recorder::default();
        self.dispatcher.request_arrived(self.now, &request, &mut recorder);
        assert!(
            !must_not_run || recorder.attempts.is_empty(),
            "{request_id:?}: a retry of object {object} was sent on"
        );
        self.carry_out(recorder);
    }

    /// Whether a request of an object is in flight, or has run so recently that it must be remembered.
    fn may_have_run(&self, object: u32) -> bool {
        let ran = self.ran_at.get(&object).is_some_and(|at| self.now.since(*at) < self.remember_for);
        ran || self.open.values().any(|request| request.object == object && request.in_flight)
    }

    fn attempt_ends(&mut self, request_id: RequestId, number: u32, outcome: Outcome) {
        let Some(request) = self.open.get_mut(&request_id) else { return };
        if !request.in_flight || request.attempts != number + 1 {
            return;
        }
        request.in_flight = false;
        use Outcome::{Missed, NotSent, Refused, Unreachable};
        if !matches!(outcome, Missed | NotSent | Refused | Unreachable) {
            self.ran_at.insert(request.object, self.now);
        }
        let mut recorder = Recorder::default();
        let ended = end(outcome, Remark::None);
        self.dispatcher.attempt_ended(self.now, request_id, number, &ended, &mut recorder);
        self.carry_out(recorder);
    }

    fn client_gone(&mut self, request_id: RequestId) {
        let mut recorder = Recorder::default();
        self.dispatcher.client_gone(self.now, request_id, &mut recorder);
        self.carry_out(recorder);
    }

    fn carry_out(&mut self, recorder: Recorder) {
        self.storms += recorder.storms;
        for request_id in recorder.attempts {
            if let Some(request) = self.open.get_mut(&request_id) {
                (request.attempts, request.in_flight) = (request.attempts + 1, true);
            }
        }
        for request_id in recorder.released {
            self.open.remove(&request_id);
        }
        for (request_id, number) in recorder.cancelled {
            self.attempt_ends(request_id, number, Outcome::Cancelled);
        }
    }

    /// The open request with an attempt in flight that `choice` selects.
    fn in_flight(&self, choice: usize) -> Option<(RequestId, u32)> {
        let in_flight = self.open.iter().filter(|(_, request)| request.in_flight);
        let mut in_flight: Vec<_> = in_flight.map(|(id, request)| (*id, request.attempts - 1)).collect();
        in_flight.sort_by_key(|(id, _)| id.0);
        in_flight.get(choice % in_flight.len().max(1)).copied()
    }

    /// Requests of other objects are refused and retried until overload control limits what it admits.
    fn begin_storm(&mut self) {
        for round in 0..4 {
            for object in STORM_OBJECTS {
                self.request(object, round > 0);
                while let Some((request_id, number)) = self.in_flight(0) {
                    self.attempt_ends(request_id, number, Outcome::Refused);
                }
                self.now = self.now.after(ms(15));
            }
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Request { object, is_retry } => self.request(object, is_retry),
            Step::AttemptEnds { choice, outcome } => {
                if let Some((request_id, number)) = self.in_flight(choice) {
                    self.attempt_ends(request_id, number, OUTCOMES[outcome]);
                }
            }
            Step::ClientGone { choice } => {
                if let Some((request_id, _)) = self.in_flight(choice) {
                    self.client_gone(request_id);
                }
            }
            Step::Wait { steps } => self.now = self.now.after(Nanos(STEP.0 * steps)),
        }
        self.now = self.now.after(STEP);
    }
}

fn play_settings(remember_ms: u64, max_remembered: usize, cancel: bool) -> Settings {
    let remembered =
        OverloadSettings { remember_for: ms(remember_ms), max_remembered, ..overload_settings() };
    Settings { overload_control: Some(remembered), cancel, ..settings() }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against any request's end, admitted or not, making another that may have run count as not run.
    #[test]
    fn a_retry_is_sent_on_only_if_nothing_of_its_fingerprint_may_have_run(
        remember_ms in prop_oneof![Just(600), Just(60_000)],
        max_remembered in prop_oneof![Just(4), Just(20_000)],
        cancel in any::<bool>(),
        storm in any::<bool>(),
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut play = Play::new(play_settings(remember_ms, max_remembered, cancel));
        if storm {
            play.begin_storm();
        }
        steps.into_iter().for_each(|step| play.run(step));
    }
}

#[test]
fn the_model_reaches_a_storm() {
    let mut play = Play::new(play_settings(60_000, 20_000, true));
    play.begin_storm();
    assert!(play.storms > 0);
}
