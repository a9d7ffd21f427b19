//! The model of a small system for `every_ordering.rs`: the state of three dispatchers and a change log, the steps, and
//! the judge.

use crate::common::{dispatcher, issue, ms};
use copperroute_config_rollout::agreement::Agreement;
use copperroute_config_rollout::faults::{Fault, Faults};
use copperroute_config_rollout::rules::Field;
use copperroute_config_rollout::timing::TimingBounds;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use serde_json::json;
use stateright::{Model, Property};
use std::sync::Arc;

/// The name of the property that the judge finds no violation.
pub(crate) const NO_VIOLATION: &str = "no violation";
/// The name of the property that all three dispatchers come to have the third version in force.
pub(crate) const THIRD_IN_FORCE: &str = "the third version is in force everywhere";

const BOUNDS: TimingBounds =
    TimingBounds { lease: seconds(2), clock_error: seconds(1), propagation_bound: seconds(1) };
/// The seconds from issue to activation of a valid version: the least that the bounds allow.
const NOTICE: u64 = 4;
const MAX_PULLS: Field = Field::Fleet(0);
/// Attempts that the platform's settings allow.
const PLATFORM: u64 = 6;
/// Attempts that the floor allows.
const FLOOR: u64 = 2;

const fn seconds(s: u64) -> copperroute_routing::interface::Nanos {
    copperroute_routing::interface::Nanos(s * 1_000_000_000)
}

/// The versions that issuers write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum VersionKind {
    /// A valid next version that allows this many attempts.
    Valid(u64),
    /// The next version, with too short a notice.
    ShortNotice,
    /// The next version, stricter than the floor.
    BelowFloor,
    /// The number of the last version again, by the other issuer, which has not seen that version.
    RepeatedNumber,
    /// An older number, by the other issuer, which has not seen the last two versions.
    OlderNumber,
}

/// Disturbances of one dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Disturbance {
    /// Its connection ends and can't be made again.
    Cut,
    /// Its connection delivers nothing, then everything at once.
    Hold,
    /// Its process is stopped, then goes on with all that arrived in the meantime.
    Stop,
    /// Its process is killed and started again with the events it had stored.
    Kill,
    /// Each line takes one second.
    Slow,
    /// The next event is lost on its way each time that it is sent.
    Lose,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Message {
    Event(usize),
    Last(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DispatcherState {
    core: Agreement,
    /// How many seconds its clock is ahead.
    ahead: u64,
    /// How many events it has received, and how many were sent to it.
    received: usize,
    sent: usize,
    queue: Vec<Message>,
    disturbance: Option<Disturbance>,
}

/// The state of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    at: u64,
    log: Vec<Arc<LogEvent>>,
    dispatchers: Vec<DispatcherState>,
    disturbances: usize,
    /// The violation that the judge found, if any.
    pub violation: Option<&'static str>,
    /// Whether all three dispatchers had the third version in force at once, in touch.
    third_in_force: bool,
}

/// An event of the change log; `valid` is the judge's verdict on whether it is valid.
#[derive(Debug, PartialEq, Eq, Hash)]
struct LogEvent {
    number: u64,
    digest: u64,
    from: u64,
    attempts: u64,
    valid: bool,
    issued: u64,
    after: String,
}

impl LogEvent {
    fn issue(&self) -> IssuedVersion {
        issue(
            self.number,
            &self.after,
            self.issued * 1_000,
            self.from * 1_000,
            json!({"max_pulls": self.attempts}),
        )
    }
}

/// The limits of a run: the deliberate fault, how many versions are issued, how many disturbances happen, and the
/// seconds.
pub(crate) struct OrderingModel {
    pub fault: Option<Fault>,
    pub issues: usize,
    pub disturbances: usize,
    pub until: u64,
    pub kinds: Vec<VersionKind>,
}

/// A step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Second,
    Write(VersionKind),
    Begin(usize, Disturbance),
    End(usize),
}

impl World {
    /// The number of the version in force at a time, and the attempts it allows.
    fn in_force(&self, at: u64) -> (u64, u64) {
        let valid = self.log.iter().filter(|written| written.valid && written.from <= at);
        valid
            .max_by_key(|written| written.number)
            .map_or((0, PLATFORM), |written| (written.number, written.attempts))
    }

    fn last_valid(&self) -> Option<&Arc<LogEvent>> {
        self.log.iter().filter(|written| written.valid).max_by_key(|written| written.number)
    }

    /// One dispatcher makes a decision, and the judge checks it.
    fn decide(&mut self, index: usize) {
        let (at, dispatcher) = (self.at, &mut self.dispatchers[index]);
        if matches!(dispatcher.disturbance, Some(Disturbance::Stop | Disturbance::Kill)) {
            return;
        }
        dispatcher.core.update(ms(at * 1_000), (at + dispatcher.ahead) * 1_000);
        let attempts = dispatcher.core.effective_rules().get(MAX_PULLS) as u64;
        let (in_touch, number) =
            (dispatcher.core.out_of_touch().is_none(), dispatcher.core.in_force().number);
        let clocks = [at.saturating_sub(1), at, at + 1].map(|at| self.in_force(at));
        if attempts > clocks.map(|clock| clock.1).into_iter().max().unwrap_or(PLATFORM) {
            self.violation = Some("allows what the version in force forbids");
        }
        let settled = clocks.iter().all(|clock| *clock == clocks[1]);
        if in_touch && settled && number != clocks[1].0 {
            self.violation = Some("in touch with another version than the one in force");
        }
        if attempts < FLOOR {
            self.violation = Some("stricter than the floor");
        }
    }

    fn receives(&mut self, index: usize, message: Message) {
        let at = self.at;
        let dispatcher = &mut self.dispatchers[index];
        let (now, unix) = (ms(at * 1_000), (at + dispatcher.ahead) * 1_000);
        match message {
            Message::Event(event) if event == dispatcher.received => {
                let _ = dispatcher.core.version_received(now, unix, &self.log[event].issue());
                dispatcher.received += 1;
            }
            // The event before it was lost: all events after the last one received are sent again.
            Message::Event(_) => dispatcher.sent = dispatcher.received,
            Message::Last(last) => {
                dispatcher.core.heartbeat_received(now, dispatcher.received == last);
                dispatcher.sent = dispatcher.sent.min(dispatcher.received);
            }
        }
        self.decide(index);
    }

    /// The change log sends the new events and a heartbeat.
    fn send_new(&mut self, index: usize) {
        let last = self.log.len();
        let dispatcher = &mut self.dispatchers[index];
        let mut messages: Vec<_> = (dispatcher.sent..last).map(Message::Event).collect();
        dispatcher.sent = last;
        if dispatcher.disturbance == Some(Disturbance::Lose) && !messages.is_empty() {
            messages.remove(0);
        }
        messages.push(Message::Last(last));
        match dispatcher.disturbance {
            None | Some(Disturbance::Lose) => {
                messages.into_iter().for_each(|message| self.receives(index, message))
            }
            Some(Disturbance::Hold | Disturbance::Stop) => dispatcher.queue.extend(messages),
            Some(Disturbance::Slow) => {
                let before = std::mem::replace(&mut dispatcher.queue, messages);
                before.into_iter().for_each(|message| self.receives(index, message));
            }
            Some(Disturbance::Cut | Disturbance::Kill) => {}
        }
    }

    fn begin(&mut self, index: usize, disturbance: Disturbance) {
        self.disturbances += 1;
        self.dispatchers[index].disturbance = Some(disturbance);
    }

    fn end(&mut self, index: usize, faults: Faults) {
        let now = ms(self.at * 1_000);
        let dispatcher = &mut self.dispatchers[index];
        let disturbance = dispatcher.disturbance.take();
        match disturbance {
            Some(Disturbance::Kill) => {
                let stored: Vec<_> = (0..dispatcher.received).collect();
                (dispatcher.core, dispatcher.sent) =
                    (crate::common::dispatcher(BOUNDS, faults), dispatcher.received);
                dispatcher.queue.clear();
                for event in stored {
                    let unix = (self.at + dispatcher.ahead) * 1_000;
                    let _ = dispatcher.core.version_received(now, unix, &self.log[event].issue());
                }
                dispatcher.core.request_sent(now);
            }
            Some(Disturbance::Cut) => {
                dispatcher.sent = dispatcher.received;
                dispatcher.core.request_sent(now);
            }
            _ => {}
        }
        self.decide(index);
        let queue = std::mem::take(&mut self.dispatchers[index].queue);
        queue.into_iter().for_each(|message| self.receives(index, message));
    }

    fn write(&mut self, kind: VersionKind) {
        let last = self.last_valid().cloned();
        let (number, digest) = last.as_ref().map_or((0, 0), |last| (last.number, last.digest));
        let last_from = last.as_ref().map_or(0, |last| last.from);
        let from =
            if kind == VersionKind::ShortNotice { self.at + 1 } else { self.at + NOTICE }.max(last_from + 1);
        let (number, attempts, valid) = match kind {
            VersionKind::Valid(attempts) => (number + 1, attempts, true),
            // Its activation time must lie after the previous one, so the notice may be long enough.
            VersionKind::ShortNotice => (number + 1, FLOOR, from >= self.at + NOTICE),
            VersionKind::BelowFloor => (number + 1, FLOOR - 1, false),
            VersionKind::RepeatedNumber => (number, FLOOR + 1, false),
            VersionKind::OlderNumber => (number - 1, PLATFORM, false),
        };
        let is_outdated = matches!(kind, VersionKind::RepeatedNumber | VersionKind::OlderNumber);
        let after = format_digest(number - 1, if is_outdated { 0 } else { digest });
        let mut written = LogEvent { number, digest: 0, from, attempts, valid, issued: self.at, after };
        written.digest = written.issue().digest();
        self.log.push(Arc::new(written));
    }
}

impl OrderingModel {
    /// Whether the run must reach a state in which all three dispatchers have the third version.
    pub(crate) fn must_agree(&self) -> bool {
        self.issues >= 3 && self.fault.is_none()
    }

    fn faults(&self) -> Faults {
        self.fault.map_or(Faults::default(), Faults::of)
    }
}

impl Model for OrderingModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let world = |ahead: [u64; 3]| {
            let dispatcher = |ahead| DispatcherState {
                core: dispatcher(BOUNDS, self.faults()),
                ahead,
                received: 0,
                sent: 0,
                queue: Vec::new(),
                disturbance: None,
            };
            let (log, dispatchers) = (Vec::new(), ahead.map(dispatcher).to_vec());
            let mut world =
                World { at: 100, log, dispatchers, disturbances: 0, violation: None, third_in_force: false };
            (0..3).for_each(|index| {
                world.dispatchers[index].core.request_sent(ms(100_000));
                world.send_new(index);
            });
            world
        };
        vec![world([0, 0, 0]), world([1, 0, 1])]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.at >= 100 + self.until || world.violation.is_some() {
            return;
        }
        steps.push(Step::Second);
        if world.log.len() < self.issues {
            let last = world.last_valid().map_or(0, |last| last.number);
            let can = |kind: &&VersionKind| match kind {
                VersionKind::RepeatedNumber => last > 0,
                VersionKind::OlderNumber => last > 1,
                _ => true,
            };
            steps.extend(self.kinds.iter().filter(can).map(|kind| Step::Write(*kind)));
        }
        use Disturbance::*;
        // Dispatcher 0 is never disturbed, so that there is always one to contradict. The other two start alike.
        for index in 1..3 {
            match world.dispatchers[index].disturbance {
                Some(_) => steps.push(Step::End(index)),
                None if world.disturbances < self.disturbances => {
                    steps.extend(
                        [Cut, Hold, Stop, Kill, Slow, Lose]
                            .map(|disturbance| Step::Begin(index, disturbance)),
                    );
                }
                None => {}
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Second => {
                next.at += 1;
                for index in 0..3 {
                    next.decide(index);
                    next.send_new(index);
                }
            }
            Step::Write(kind) => next.write(kind),
            Step::Begin(index, disturbance) => next.begin(index, disturbance),
            Step::End(index) => next.end(index, self.faults()),
        }
        let third = |dispatcher: &DispatcherState| {
            dispatcher.core.in_force().number == 3 && dispatcher.core.out_of_touch().is_none()
        };
        next.third_in_force |= next.dispatchers.iter().all(third);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties =
            vec![Property::<Self>::always(NO_VIOLATION, |_, world| world.violation.is_none())];
        if self.must_agree() {
            properties.push(Property::<Self>::sometimes(THIRD_IN_FORCE, |_, world| world.third_in_force));
        }
        properties
    }
}
