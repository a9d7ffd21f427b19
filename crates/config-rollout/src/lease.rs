//! How long a dispatcher may believe to be up to date: on its own monotonic clock, asked at each decision. A process
//! that was stopped finds its lease lapsed before it reads what has come meanwhile.

use crate::faults::{Fault, Faults};
use crate::timing::TimingBounds;
use copperroute_routing::change_log::Heartbeats;
use copperroute_routing::interface::Nanos;

/// A lease on being up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease {
    length: Nanos,
    slack: Nanos,
    faults: Faults,
    /// The service's lines: those out of a queue tell what may be as old as the silence before them.
    heartbeats: Heartbeats,
    /// Until when it holds; zero for never.
    until: Nanos,
}

impl Lease {
    /// None yet.
    pub fn new(terms: TimingBounds, faults: Faults) -> Self {
        let (heartbeats, until) = Default::default();
        Lease { length: terms.lease, slack: terms.propagation_bound, faults, heartbeats, until }
    }

    /// The service is asked anew: what it answers is as it stands then or later.
    pub fn asked(&mut self, now: Nanos) {
        self.heartbeats.request_sent(now);
    }

    /// A whole line has come; `caught_up` tells that all that it knows of has been heard. After a silence that is too
    /// long for a line a second, what follows at once may have waited on its way for as long.
    pub fn line(&mut self, now: Nanos, caught_up: bool) {
        if self.faults.is(Fault::TrustQueue) {
            self.heartbeats.request_sent(now);
        }
        let in_time = self.heartbeats.received(now, self.slack);
        if (caught_up || self.faults.is(Fault::RenewBehind)) && in_time {
            self.until = now.after(self.length);
        }
    }

    /// Whether lines come as they should: nothing that comes now has waited on its way for longer than `latest`.
    pub fn is_live(&self, now: Nanos) -> bool {
        self.until > now
            && !self.heartbeats.may_have_been_delayed(now)
            && self.heartbeats.are_on_time(now, self.slack)
    }

    /// The longest that something may have waited on its way while lines come as they should.
    pub fn latest(&self) -> Nanos {
        Heartbeats::max_interval(self.slack).after(self.slack)
    }

    /// What was lost may have held anything: it holds no more.
    pub fn end(&mut self) {
        self.until = Nanos::ZERO;
    }

    /// What is left of it.
    pub fn left(&self, now: Nanos) -> Nanos {
        match self.faults.is(Fault::SkipLease) && self.until > Nanos::ZERO {
            true => self.length,
            false => self.until.since(now),
        }
    }
}
