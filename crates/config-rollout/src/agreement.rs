//! Decides which rules one dispatcher applies, so that no two dispatchers apply contradicting rules for longer than
//! [`TimingBounds::contradiction_bound`](crate::timing::TimingBounds::contradiction_bound).
//!
//! Inputs: versions, event times and heartbeats of the change log, each with the time at which it was received.
//! Outputs: the rules to apply ([`Agreement::effective_rules`]) and whether the dispatcher is out of touch. The caller
//! passes every input on when it arrives and calls [`Agreement::update`] before each decision.
//!
//! A version's activation time lies far enough ahead that the lease of a dispatcher which has not received the version
//! by then has expired, so the dispatcher knows that it is out of touch. In touch, a dispatcher applies, for each
//! field, the strictest value of the version in force and all pending versions: a tightened field takes effect at once,
//! a loosened one at its activation time. Out of touch, it also applies the floor of the version in force; no later
//! version may be stricter than that floor.

use crate::faults::Fault;
use crate::lease::Lease;
use crate::rules::RuleSet;
use crate::version::{IssuedVersion, Refusal, ValidationContext, Version};
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;
use std::fmt;

/// Versions kept while they wait for their activation times. Above this, the two that come next are merged into one, so
/// that a fast issuer can't make memory grow.
const MAX_PENDING_VERSIONS: usize = 8;

/// Why a dispatcher is out of touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OutOfTouchReason {
    /// The dispatcher has not been up to date since it started.
    NothingReceived,
    /// The lease has expired.
    LeaseExpired,
    /// At least one version was not received.
    VersionMissing,
    /// The next version names another predecessor than the version held here.
    Forked,
    /// The dispatcher's clock differs from others by more than the stated clock error.
    ClockOff,
}

impl fmt::Display for OutOfTouchReason {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            OutOfTouchReason::NothingReceived => "nothing received since the start",
            OutOfTouchReason::LeaseExpired => "lease lapsed",
            OutOfTouchReason::VersionMissing => "a version is missing",
            OutOfTouchReason::Forked => "version has another predecessor",
            OutOfTouchReason::ClockOff => "clock off",
        })
    }
}

/// A version that waits for its activation time, and the rules to apply besides those in force until then. The rules
/// include those of earlier versions that were merged into it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pending {
    version: Version,
    interim_rules: RuleSet,
}

/// One dispatcher's view of the versions of the rules.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Agreement {
    context: ValidationContext,
    in_force: Version,
    pending: VecDeque<Pending>,
    lease: Lease,
    /// Whether the dispatcher has been in touch since it started.
    was_in_touch: bool,
    /// Versions may be missing until this Unix millisecond; `u64::MAX` until the change log says otherwise.
    missing_until_ms: Option<u64>,
    forked: bool,
    clock_off: bool,
    /// The results of the last [`Agreement::update`].
    out_of_touch: Option<OutOfTouchReason>,
    effective_rules: RuleSet,
    /// Whether an input since the last update may change its results.
    changed: bool,
}

impl Agreement {
    /// A dispatcher that has received nothing yet and applies the floor.
    pub fn new(ground: ValidationContext, floor: &RuleSet) -> Self {
        let held =
            Version::platform_default(ground.platform_rules.clone(), ground.platform_rules.stricter(floor));
        Agreement {
            effective_rules: held.floor.clone(),
            in_force: held,
            pending: VecDeque::new(),
            lease: Lease::new(ground.timing, ground.faults),
            context: ground,
            was_in_touch: false,
            missing_until_ms: None,
            forked: false,
            clock_off: false,
            out_of_touch: Some(OutOfTouchReason::NothingReceived),
            changed: true,
        }
    }

    fn last(&self) -> &Version {
        self.pending.back().map_or(&self.in_force, |pending| &pending.version)
    }

    /// Validates a version that came from the change log or a file, and takes it over if it is valid. `unix_ms` is the
    /// time of receipt in Unix milliseconds on the local clock.
    pub fn version_received(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        issue: &IssuedVersion,
    ) -> Result<(), Refusal> {
        let last = self.last();
        let known = self.pending.iter().map(|pending| &pending.version).chain([&self.in_force]);
        let known =
            known.into_iter().find(|version| version.number == issue.version).map(|known| known.digest);
        let digest = issue.digest();
        match known {
            Some(held) if held == digest => return Err(Refusal::Duplicate),
            Some(held) if !self.context.faults.is(Fault::TakeSecond) => {
                return Err(Refusal::ConflictingContent { version: issue.version, held, received: digest });
            }
            None if issue.version < last.number && !self.context.faults.is(Fault::GoBack) => {
                return Err(Refusal::Older { is: issue.version, holds: last.number });
            }
            _ => {}
        }
        let version = Version::from_issued(issue, last, &self.context)?;
        let goes_back = version.number <= last.number;
        if let Err(why) = version.check_successor(issue, last, &self.context)
            && !goes_back
        {
            if matches!(why, Refusal::Forked { .. }) {
                (self.forked, self.changed) = (true, true);
            }
            return Err(why);
        }
        // The versions between were never received here: any of them may apply until this one becomes active.
        if version.number > last.number + 1 {
            self.missing_until_ms = Some(version.from_ms);
        } else if self.missing_until_ms == Some(u64::MAX) {
            self.missing_until_ms = None;
        }
        self.event_time_received(now, unix_ms, issue.issued_ms);
        (self.forked, self.changed) = (false, true);
        if goes_back || self.context.faults.is(Fault::EarlyMoment) {
            self.pending.clear();
            self.in_force = version;
            return Ok(());
        }
        self.pending.push_back(Pending { interim_rules: version.rules.clone(), version });
        if self.pending.len() > MAX_PENDING_VERSIONS
            && let Some(first) = self.pending.pop_front()
            && let Some(second) = self.pending.front_mut()
        {
            second.interim_rules = second.interim_rules.stricter(&first.interim_rules);
        }
        Ok(())
    }

    /// Compares the local clock with the time of an event, in Unix milliseconds on another machine's clock. While
    /// heartbeats arrive on time the event was delivered at once, so a larger difference than the stated clock error
    /// means that one of the clocks is off.
    pub fn event_time_received(&mut self, now: Nanos, unix_ms: u64, happened_ms: u64) {
        let error_ms = self.context.timing.clock_error.0 / 1_000_000;
        let behind = happened_ms > unix_ms + error_ms;
        // A delayed event looks as if the local clock were ahead; heartbeats that are on time bound that delay.
        let live = self.lease.is_live(now);
        let ahead = live && unix_ms > happened_ms + error_ms + self.lease.max_delay().0 / 1_000_000;
        if behind || ahead || live {
            self.changed |= self.clock_off != (behind || ahead);
            self.clock_off = behind || ahead;
        }
    }

    /// A request for events was sent to the change log.
    pub fn request_sent(&mut self, now: Nanos) {
        self.lease.request_sent(now);
    }

    /// A heartbeat of the change log was received; `caught_up` if all events up to its number were received too.
    pub fn heartbeat_received(&mut self, now: Nanos, caught_up: bool) {
        self.lease.heartbeat_received(now, caught_up);
    }

    /// The change log could not deliver all events since the last one received. `last` is the number of the last
    /// version of the rules by then, if the change log gave it.
    pub fn events_missed(&mut self, last: Option<u64>) {
        self.lease.revoke();
        if last != Some(self.last().number) {
            (self.missing_until_ms, self.changed) = (Some(u64::MAX), true);
        }
    }

    /// Brings the state up to `now`; returns whether the effective rules, the version in force or the out-of-touch
    /// state may have changed. Must be called before each decision.
    pub fn update(&mut self, now: Nanos, unix_ms: u64) -> bool {
        while self.pending.front().is_some_and(|next| next.version.from_ms <= unix_ms) {
            if let Some(next) = self.pending.pop_front() {
                (self.in_force, self.changed) = (next.version, true);
            }
        }
        let in_touch = self.lease.remaining(now) > Nanos::ZERO;
        self.was_in_touch |= in_touch;
        if self.missing_until_ms.is_some_and(|until| until <= unix_ms) {
            self.missing_until_ms = None;
        }
        let out = match () {
            () if self.clock_off => Some(OutOfTouchReason::ClockOff),
            () if self.forked => Some(OutOfTouchReason::Forked),
            () if self.missing_until_ms.is_some() => Some(OutOfTouchReason::VersionMissing),
            () if in_touch => None,
            () if self.was_in_touch => Some(OutOfTouchReason::LeaseExpired),
            () => Some(OutOfTouchReason::NothingReceived),
        };
        if out == self.out_of_touch && !self.changed {
            return false;
        }
        (self.out_of_touch, self.changed) = (out, false);
        let strictest = self
            .pending
            .iter()
            .fold(self.in_force.rules.clone(), |all, next| all.stricter(&next.interim_rules));
        self.effective_rules = match out {
            Some(_) if !self.context.faults.is(Fault::IgnoreFloor) => {
                strictest.stricter(&self.in_force.floor)
            }
            _ => strictest,
        };
        true
    }

    /// The rules to apply, as of the last update.
    pub fn effective_rules(&self) -> &RuleSet {
        &self.effective_rules
    }

    /// Why the dispatcher is out of touch, as of the last update; `None` if it is in touch.
    pub fn out_of_touch(&self) -> Option<OutOfTouchReason> {
        self.out_of_touch
    }

    /// The version in force, as of the last update.
    pub fn in_force(&self) -> &Version {
        &self.in_force
    }

    /// How many versions wait for their activation times, and the number of the last version received.
    pub fn pending_versions(&self) -> (usize, u64) {
        (self.pending.len(), self.last().number)
    }

    /// The time until the lease expires; zero if it has.
    pub fn lease_remaining(&self, now: Nanos) -> Nanos {
        self.lease.remaining(now)
    }
}
