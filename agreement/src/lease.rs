//! How long a dispatcher may believe to be up to date: on its own monotonic clock, asked at each decision. A process
//! that was stopped finds its lease lapsed before it reads what has come meanwhile.

use crate::faults::{Fault, Faults};
use crate::terms::Terms;
use copperroute::interface::Nanos;

/// Lines come a second apart.
const LINE: Nanos = Nanos(1_000_000_000);

/// A lease on being up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease {
    length: Nanos,
    slack: Nanos,
    faults: Faults,
    /// When a line last came, or was asked for.
    came: Nanos,
    /// Lines until then may come out of a queue: what they tell may be as old as the silence before them.
    queued_until: Nanos,
    /// Until when it holds; zero for never.
    until: Nanos,
}

impl Lease {
    /// None yet.
    pub fn new(terms: Terms, faults: Faults) -> Self {
        let (came, queued_until, until) = Default::default();
        Lease { length: terms.lease, slack: terms.slack, faults, came, queued_until, until }
    }

    /// The service is asked anew: what it answers is as it stands then or later.
    pub fn asked(&mut self, now: Nanos) {
        (self.came, self.queued_until) = (now, Nanos::ZERO);
    }

    /// A whole line has come; `caught_up` tells that all that it knows of has been heard. After a silence that is too
    /// long for a line a second, what follows at once may have waited on its way for as long.
    pub fn line(&mut self, now: Nanos, caught_up: bool) {
        if now.since(self.came) > LINE.after(self.slack) && !self.faults.is(Fault::TrustQueue) {
            self.queued_until = now.after(self.slack);
        }
        self.came = now;
        if (caught_up || self.faults.is(Fault::RenewBehind)) && now >= self.queued_until {
            self.until = now.after(self.length);
        }
    }

    /// Whether lines come as they should: nothing that comes now has waited on its way for longer than `latest`.
    pub fn is_live(&self, now: Nanos) -> bool {
        self.until > now && now >= self.queued_until && now.since(self.came) <= LINE.after(self.slack)
    }

    /// The longest that something may have waited on its way while lines come as they should.
    pub fn latest(&self) -> Nanos {
        LINE.after(self.slack).after(self.slack)
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
