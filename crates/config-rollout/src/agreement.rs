//! On which rules one dispatcher acts, so that no two act on rules that contradict each other.
//!
//! A version acts from a moment that lies so far ahead that whoever has not heard of it by then knows that it is out of
//! touch: its lease has run out. In touch, a dispatcher acts on the version in force and on all that it has heard and
//! that are still to come, in each field on the strictest: what is tightened acts at once, what is loosened at its
//! moment. Out of touch it acts on the floor of the version in force, which no later one may be stricter than.

use crate::faults::Fault;
use crate::lease::Lease;
use crate::rules::RuleSet;
use crate::version::{IssuedVersion, Refusal, ValidationContext, Version};
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;
use std::fmt;

/// Versions that wait for their moments; of more, the two that are next become one.
const MOST_PENDING: usize = 8;

/// Why a dispatcher is out of touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OutOfTouchReason {
    /// It has not been up to date since its start.
    NeverHeard,
    /// Its lease has run out.
    Lapsed,
    /// What it was told lacks a version.
    Gap,
    /// Its version is not the one that the next follows.
    Forked,
    /// Its clock is off.
    Clock,
}

impl fmt::Display for OutOfTouchReason {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            OutOfTouchReason::NeverHeard => "nothing heard since the start",
            OutOfTouchReason::Lapsed => "lease lapsed",
            OutOfTouchReason::Gap => "a version is missing",
            OutOfTouchReason::Forked => "another version was followed",
            OutOfTouchReason::Clock => "clock off",
        })
    }
}

/// A version that waits for its moment, and what is to be obeyed until then.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pending {
    version: Version,
    obeyed: RuleSet,
}

/// One dispatcher's view of what is agreed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Agreement {
    ground: ValidationContext,
    held: Version,
    pending: VecDeque<Pending>,
    lease: Lease,
    /// It has been in touch since its start.
    was_in_touch: bool,
    /// Versions may be missing, until this Unix millisecond; for ever if none has told.
    missing_until_ms: Option<u64>,
    forked: bool,
    clock_off: bool,
    /// What was last decided: out of touch or not, and on which rules it acts.
    out: Option<OutOfTouchReason>,
    acting: RuleSet,
    /// Something was heard since then.
    changed: bool,
}

impl Agreement {
    /// A dispatcher that has heard nothing, and acts on the floor.
    pub fn new(ground: ValidationContext, floor: &RuleSet) -> Self {
        let held =
            Version::platform_default(ground.platform_rules.clone(), ground.platform_rules.stricter(floor));
        Agreement {
            acting: held.floor.clone(),
            held,
            pending: VecDeque::new(),
            lease: Lease::new(ground.timing, ground.faults),
            ground,
            was_in_touch: false,
            missing_until_ms: None,
            forked: false,
            clock_off: false,
            out: Some(OutOfTouchReason::NeverHeard),
            changed: true,
        }
    }

    fn last(&self) -> &Version {
        self.pending.back().map_or(&self.held, |pending| &pending.version)
    }

    /// Reads and judges a version that was told, by the change log or a file, at a Unix millisecond of the own clock.
    pub fn version_received(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        issue: &IssuedVersion,
    ) -> Result<(), Refusal> {
        let last = self.last();
        let known = self.pending.iter().map(|pending| &pending.version).chain([&self.held]);
        let known =
            known.into_iter().find(|version| version.number == issue.version).map(|known| known.digest);
        let digest = issue.digest();
        match known {
            Some(holds) if holds == digest => return Err(Refusal::Duplicate),
            Some(holds) if !self.ground.faults.is(Fault::TakeSecond) => {
                return Err(Refusal::TwoContents { version: issue.version, holds, is: digest });
            }
            None if issue.version < last.number && !self.ground.faults.is(Fault::GoBack) => {
                return Err(Refusal::Older { is: issue.version, holds: last.number });
            }
            _ => {}
        }
        let version = Version::from_issued(issue, last, &self.ground)?;
        let back = version.number <= last.number;
        if let Err(why) = version.check_successor(issue, last, &self.ground)
            && !back
        {
            if matches!(why, Refusal::Forked { .. }) {
                (self.forked, self.changed) = (true, true);
            }
            return Err(why);
        }
        // What lies between was never heard here: what it says is known only once this one acts.
        if version.number > last.number + 1 {
            self.missing_until_ms = Some(version.from_ms);
        } else if self.missing_until_ms == Some(u64::MAX) {
            self.missing_until_ms = None;
        }
        self.event_time_received(now, unix_ms, issue.issued_ms);
        (self.forked, self.changed) = (false, true);
        if back || self.ground.faults.is(Fault::EarlyMoment) {
            self.pending.clear();
            self.held = version;
            return Ok(());
        }
        self.pending.push_back(Pending { obeyed: version.rules.clone(), version });
        if self.pending.len() > MOST_PENDING
            && let Some(first) = self.pending.pop_front()
            && let Some(second) = self.pending.front_mut()
        {
            second.obeyed = second.obeyed.stricter(&first.obeyed);
        }
        Ok(())
    }

    /// Something was told that happened at a Unix millisecond of another clock. In touch, it was told at once: then
    /// the clocks differ by no more than was stated, or one is off.
    pub fn event_time_received(&mut self, now: Nanos, unix_ms: u64, happened_ms: u64) {
        let error_ms = self.ground.timing.clock_error.0 / 1_000_000;
        let behind = happened_ms > unix_ms + error_ms;
        // What came late on its way looks as if the clock were ahead: lines that came in time bound that.
        let live = self.lease.is_live(now);
        let ahead = live && unix_ms > happened_ms + error_ms + self.lease.latest().0 / 1_000_000;
        if behind || ahead || live {
            self.changed |= self.clock_off != (behind || ahead);
            self.clock_off = behind || ahead;
        }
    }

    /// The list service is asked anew.
    pub fn request_sent(&mut self, now: Nanos) {
        self.lease.asked(now);
    }

    /// A whole line of the list service has come; `caught_up` if all that it knows of has been heard.
    pub fn heartbeat_received(&mut self, now: Nanos, caught_up: bool) {
        self.lease.line(now, caught_up);
    }

    /// The service could not tell all that lay between: it says which version was the last by then, or nothing of it.
    pub fn events_missed(&mut self, last: Option<u64>) {
        self.lease.end();
        if last != Some(self.last().number) {
            (self.missing_until_ms, self.changed) = (Some(u64::MAX), true);
        }
    }

    /// Brings it up to this time; tells whether it acts on other rules, or stands otherwise, than before. To be asked
    /// before each decision.
    pub fn update(&mut self, now: Nanos, unix_ms: u64) -> bool {
        while self.pending.front().is_some_and(|next| next.version.from_ms <= unix_ms) {
            if let Some(next) = self.pending.pop_front() {
                (self.held, self.changed) = (next.version, true);
            }
        }
        let in_touch = self.lease.left(now) > Nanos::ZERO;
        self.was_in_touch |= in_touch;
        if self.missing_until_ms.is_some_and(|until| until <= unix_ms) {
            self.missing_until_ms = None;
        }
        let out = match () {
            () if self.clock_off => Some(OutOfTouchReason::Clock),
            () if self.forked => Some(OutOfTouchReason::Forked),
            () if self.missing_until_ms.is_some() => Some(OutOfTouchReason::Gap),
            () if in_touch => None,
            () if self.was_in_touch => Some(OutOfTouchReason::Lapsed),
            () => Some(OutOfTouchReason::NeverHeard),
        };
        if out == self.out && !self.changed {
            return false;
        }
        (self.out, self.changed) = (out, false);
        let heard = self.pending.iter().fold(self.held.rules.clone(), |all, next| all.stricter(&next.obeyed));
        self.acting = match out {
            Some(_) if !self.ground.faults.is(Fault::IgnoreFloor) => heard.stricter(&self.held.floor),
            _ => heard,
        };
        true
    }

    /// The rules that it acts on, as last looked.
    pub fn effective_rules(&self) -> &RuleSet {
        &self.acting
    }

    /// Why it is out of touch, if it is.
    pub fn out_of_touch(&self) -> Option<OutOfTouchReason> {
        self.out
    }

    /// The version in force here.
    pub fn in_force(&self) -> &Version {
        &self.held
    }

    /// How many versions wait for their moments, and the number of the last that was heard.
    pub fn pending_versions(&self) -> (usize, u64) {
        (self.pending.len(), self.last().number)
    }

    /// What is left of its lease.
    pub fn lease_remaining(&self, now: Nanos) -> Nanos {
        self.lease.left(now)
    }
}
