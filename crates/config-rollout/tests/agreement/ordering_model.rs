//! The model of every ordering in the small: the state of three dispatchers and a log, the steps, and the judge.

use crate::common::{dispatcher, issue, ms};
use copperroute_config_rollout::agreement::Agreement;
use copperroute_config_rollout::faults::{Fault, Faults};
use copperroute_config_rollout::rules::Field;
use copperroute_config_rollout::timing::TimingBounds;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use serde_json::json;
use stateright::{Model, Property};
use std::sync::Arc;

const TERMS: TimingBounds =
    TimingBounds { lease: ms_of(2), clock_error: ms_of(1), propagation_bound: ms_of(1) };
const NOTICE: u64 = 4;
const PULLS: Field = Field::Fleet(0);
const BASE: u64 = 6;
const FLOOR: u64 = 2;

const fn ms_of(s: u64) -> copperroute_routing::interface::Nanos {
    copperroute_routing::interface::Nanos(s * 1_000_000_000)
}

/// What an issuer writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// The next version, good.
    Good(u64),
    /// The next, with a moment that is too near.
    Near,
    /// The next, stricter than the floor.
    Under,
    /// By the other issuer, who has not seen the last: the last one's number again.
    Again,
    /// By the other issuer, who has not seen the last two: an older number.
    Back,
}

/// What happens to a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Trouble {
    /// Its link ends, and can't be made.
    Cut,
    /// Its link carries nothing, then all at once.
    Hold,
    /// It is stopped, then goes on with all that came meanwhile.
    Stop,
    /// It is killed, and started again with what it kept.
    Kill,
    /// Each line takes a second.
    Slow,
    /// The event that comes next is lost on its way, each time that it is told.
    Lose,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Said {
    Event(usize),
    Last(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct One {
    core: Agreement,
    /// Its clock is so many seconds ahead.
    ahead: u64,
    /// Events that it has heard, and that were sent to it.
    heard: usize,
    sent: usize,
    queue: Vec<Said>,
    trouble: Option<Trouble>,
}

/// The state of all.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    at: u64,
    log: Vec<Arc<Written>>,
    all: Vec<One>,
    troubles: usize,
    /// What a dispatcher did that the judge forbids.
    pub broken: Option<&'static str>,
    /// All three acted on the third version, in touch.
    agreed: bool,
}

/// An event of the log, and what the judge says of it.
#[derive(Debug, PartialEq, Eq, Hash)]
struct Written {
    number: u64,
    digest: u64,
    from: u64,
    attempts: u64,
    good: bool,
    issued: u64,
    after: String,
}

impl Written {
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

/// What is looked at: a deliberate fault or none, and how much may happen.
pub(crate) struct Small {
    pub fault: Option<Fault>,
    pub issues: usize,
    pub troubles: usize,
    pub until: u64,
    pub kinds: Vec<Kind>,
}

/// A step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Act {
    Second,
    Write(Kind),
    Begin(usize, Trouble),
    End(usize),
}

impl World {
    /// The version in force on a clock, and what it allows.
    fn in_force(&self, at: u64) -> (u64, u64) {
        let good = self.log.iter().filter(|written| written.good && written.from <= at);
        good.max_by_key(|written| written.number)
            .map_or((0, BASE), |written| (written.number, written.attempts))
    }

    fn last_good(&self) -> Option<&Arc<Written>> {
        self.log.iter().filter(|written| written.good).max_by_key(|written| written.number)
    }

    /// One decides something: what does the judge say?
    fn decide(&mut self, who: usize) {
        let (at, one) = (self.at, &mut self.all[who]);
        if matches!(one.trouble, Some(Trouble::Stop | Trouble::Kill)) {
            return;
        }
        one.core.update(ms(at * 1_000), (at + one.ahead) * 1_000);
        let acts = one.core.effective_rules().get(PULLS) as u64;
        let (in_touch, number) = (one.core.out_of_touch().is_none(), one.core.in_force().number);
        let clocks = [at.saturating_sub(1), at, at + 1].map(|at| self.in_force(at));
        if acts > clocks.map(|clock| clock.1).into_iter().max().unwrap_or(BASE) {
            self.broken = Some("acts on what the version in force forbids");
        }
        let settled = clocks.iter().all(|clock| *clock == clocks[1]);
        if in_touch && settled && number != clocks[1].0 {
            self.broken = Some("in touch, and holds another version than the one in force");
        }
        if acts < FLOOR {
            self.broken = Some("acts stricter than the floor");
        }
    }

    fn hears(&mut self, who: usize, said: Said) {
        let at = self.at;
        let one = &mut self.all[who];
        let (now, unix) = (ms(at * 1_000), (at + one.ahead) * 1_000);
        match said {
            Said::Event(event) if event == one.heard => {
                let _ = one.core.version_received(now, unix, &self.log[event].issue());
                one.heard += 1;
            }
            // The one before it was lost: all is asked for again with the next line.
            Said::Event(_) => one.sent = one.heard,
            Said::Last(last) => {
                one.core.heartbeat_received(now, one.heard == last);
                one.sent = one.sent.min(one.heard);
            }
        }
        self.decide(who);
    }

    /// The service tells what is new, and a line.
    fn told(&mut self, who: usize) {
        let last = self.log.len();
        let one = &mut self.all[who];
        let mut said: Vec<_> = (one.sent..last).map(Said::Event).collect();
        one.sent = last;
        if one.trouble == Some(Trouble::Lose) && !said.is_empty() {
            said.remove(0);
        }
        said.push(Said::Last(last));
        match one.trouble {
            None | Some(Trouble::Lose) => said.into_iter().for_each(|said| self.hears(who, said)),
            Some(Trouble::Hold | Trouble::Stop) => one.queue.extend(said),
            Some(Trouble::Slow) => {
                let before = std::mem::replace(&mut one.queue, said);
                before.into_iter().for_each(|said| self.hears(who, said));
            }
            Some(Trouble::Cut | Trouble::Kill) => {}
        }
    }

    fn begin(&mut self, who: usize, trouble: Trouble) {
        self.troubles += 1;
        self.all[who].trouble = Some(trouble);
    }

    fn end(&mut self, who: usize, faults: Faults) {
        let now = ms(self.at * 1_000);
        let one = &mut self.all[who];
        let trouble = one.trouble.take();
        match trouble {
            Some(Trouble::Kill) => {
                let kept: Vec<_> = (0..one.heard).collect();
                (one.core, one.sent) = (dispatcher(TERMS, faults), one.heard);
                one.queue.clear();
                for event in kept {
                    let unix = (self.at + one.ahead) * 1_000;
                    let _ = one.core.version_received(now, unix, &self.log[event].issue());
                }
                one.core.request_sent(now);
            }
            Some(Trouble::Cut) => {
                one.sent = one.heard;
                one.core.request_sent(now);
            }
            _ => {}
        }
        self.decide(who);
        let queue = std::mem::take(&mut self.all[who].queue);
        queue.into_iter().for_each(|said| self.hears(who, said));
    }

    fn write(&mut self, kind: Kind) {
        let last = self.last_good().cloned();
        let (number, digest) = last.as_ref().map_or((0, 0), |last| (last.number, last.digest));
        let last_from = last.as_ref().map_or(0, |last| last.from);
        let from = if kind == Kind::Near { self.at + 1 } else { self.at + NOTICE }.max(last_from + 1);
        let (number, attempts, good) = match kind {
            Kind::Good(attempts) => (number + 1, attempts, true),
            // As the moment lies behind the one before it, it may be far enough.
            Kind::Near => (number + 1, FLOOR, from >= self.at + NOTICE),
            Kind::Under => (number + 1, FLOOR - 1, false),
            Kind::Again => (number, FLOOR + 1, false),
            Kind::Back => (number - 1, BASE, false),
        };
        let late = matches!(kind, Kind::Again | Kind::Back);
        let after = format_digest(number - 1, if late { 0 } else { digest });
        let mut written = Written { number, digest: 0, from, attempts, good, issued: self.at, after };
        written.digest = written.issue().digest();
        self.log.push(Arc::new(written));
    }
}

impl Small {
    /// Whether three versions are to be agreed on.
    pub(crate) fn agree(&self) -> bool {
        self.issues >= 3 && self.fault.is_none()
    }

    fn faults(&self) -> Faults {
        self.fault.map_or(Faults::default(), Faults::of)
    }
}

impl Model for Small {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let world = |ahead: [u64; 3]| {
            let one = |ahead| One {
                core: dispatcher(TERMS, self.faults()),
                ahead,
                heard: 0,
                sent: 0,
                queue: Vec::new(),
                trouble: None,
            };
            let (log, all) = (Vec::new(), ahead.map(one).to_vec());
            let mut world = World { at: 100, log, all, troubles: 0, broken: None, agreed: false };
            (0..3).for_each(|who| {
                world.all[who].core.request_sent(ms(100_000));
                world.told(who);
            });
            world
        };
        vec![world([0, 0, 0]), world([1, 0, 1])]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.at >= 100 + self.until || world.broken.is_some() {
            return;
        }
        acts.push(Act::Second);
        if world.log.len() < self.issues {
            let last = world.last_good().map_or(0, |last| last.number);
            let can = |kind: &&Kind| match kind {
                Kind::Again => last > 0,
                Kind::Back => last > 1,
                _ => true,
            };
            acts.extend(self.kinds.iter().filter(can).map(|kind| Act::Write(*kind)));
        }
        use Trouble::*;
        // One is always well, so that there is somebody to contradict; the other two are not told apart at the start.
        for who in 1..3 {
            match world.all[who].trouble {
                Some(_) => acts.push(Act::End(who)),
                None if world.troubles < self.troubles => {
                    acts.extend([Cut, Hold, Stop, Kill, Slow, Lose].map(|trouble| Act::Begin(who, trouble)));
                }
                None => {}
            }
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        match act {
            Act::Second => {
                next.at += 1;
                for who in 0..3 {
                    next.decide(who);
                    next.told(who);
                }
            }
            Act::Write(kind) => next.write(kind),
            Act::Begin(who, trouble) => next.begin(who, trouble),
            Act::End(who) => next.end(who, self.faults()),
        }
        let third = |one: &One| one.core.in_force().number == 3 && one.core.out_of_touch().is_none();
        next.agreed |= next.all.iter().all(third);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all = vec![Property::<Self>::always("nothing that the judge forbids", |_, world| {
            world.broken.is_none()
        })];
        if self.agree() {
            all.push(Property::<Self>::sometimes("all three act on the third version", |_, world| {
                world.agreed
            }));
        }
        all
    }
}
