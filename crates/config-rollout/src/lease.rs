//! The lease: how long a dispatcher may assume that it has received all events of the change log.
//!
//! Inputs: heartbeats and requests with the time on the dispatcher's monotonic clock. Output: the remaining time, which
//! is checked at each decision, so that a process that was stopped finds its lease expired before it reads what arrived
//! in the meantime.

use crate::faults::{Fault, Faults};
use crate::timing::TimingBounds;
use copperroute_routing::change_log::Heartbeats;
use copperroute_routing::interface::Nanos;

/// A lease that each heartbeat renews if it was on time and all events up to it were received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease {
    duration: Nanos,
    propagation_bound: Nanos,
    faults: Faults,
    /// Tells heartbeats that are on time from those that may have waited in a queue, whose content may be as old as the
    /// silence before them.
    heartbeats: Heartbeats,
    /// When the lease expires; zero if there is none.
    expires_at: Nanos,
}

impl Lease {
    /// No lease yet.
    pub fn new(timing: TimingBounds, faults: Faults) -> Self {
        let (heartbeats, expires_at) = Default::default();
        let TimingBounds { lease: duration, propagation_bound, .. } = timing;
        Lease { duration, propagation_bound, faults, heartbeats, expires_at }
    }

    /// A request was sent to the change log: the answer is no older than the request.
    pub fn request_sent(&mut self, now: Nanos) {
        self.heartbeats.request_sent(now);
    }

    /// A heartbeat was received; `caught_up` if all events up to its number were received too. After a silence that is
    /// too long for one heartbeat a second, the lines that follow at once may have been delayed by as much and renew
    /// nothing.
    pub fn heartbeat_received(&mut self, now: Nanos, caught_up: bool) {
        if self.faults.is(Fault::TrustQueue) {
            self.heartbeats.request_sent(now);
        }
        let is_on_time = self.heartbeats.received(now, self.propagation_bound);
        if (caught_up || self.faults.is(Fault::RenewBehind)) && is_on_time {
            self.expires_at = now.after(self.duration);
        }
    }

    /// Whether heartbeats are on time, so that nothing received now was delayed by more than [`Lease::max_delay`].
    pub fn is_live(&self, now: Nanos) -> bool {
        self.expires_at > now
            && !self.heartbeats.may_have_been_delayed(now)
            && self.heartbeats.are_on_time(now, self.propagation_bound)
    }

    /// The longest delay of an event while heartbeats are on time.
    pub fn max_delay(&self) -> Nanos {
        Heartbeats::max_interval(self.propagation_bound).after(self.propagation_bound)
    }

    /// Ends the lease at once, because events were missed that may hold new versions.
    pub fn revoke(&mut self) {
        self.expires_at = Nanos::ZERO;
    }

    /// The time until the lease expires; zero if it has.
    pub fn remaining(&self, now: Nanos) -> Nanos {
        match self.faults.is(Fault::SkipLease) && self.expires_at > Nanos::ZERO {
            true => self.duration,
            false => self.expires_at.since(now),
        }
    }
}
