//! Which of the source's heartbeats (its line a second) can be vouched for.
//!
//! A replica begins no heartbeat: it passes one on for each that it can vouch for. One that comes after a silence which
//! is too long for a line a second may have waited on its way for as long, and so may all that come right behind it:
//! these are not passed on, so that a follower's lease never begins later than it would at the change log itself.

use copperroute_routing::change_log::Heartbeats as Arrivals;
use copperroute_routing::interface::Nanos;

/// After so long without a heartbeat that can be vouched for, a replica is current no more.
pub const LAPSES_AFTER: Nanos = Nanos(2_000_000_000);

/// The heartbeats of one stream, and when one could last be vouched for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Heartbeats {
    propagation_bound: Nanos,
    arrivals: Arrivals,
    /// When the last came that was vouched for.
    vouched: Option<Nanos>,
}

impl Heartbeats {
    /// None yet; on its way from the source a line takes no longer than `propagation_bound`.
    pub fn new(propagation_bound: Nanos) -> Self {
        Heartbeats { propagation_bound, arrivals: Arrivals::default(), vouched: None }
    }

    /// The source is asked anew: what it answers is as it stands then or later.
    pub fn request_sent(&mut self, now: Nanos) {
        self.arrivals.request_sent(now);
    }

    /// One has come; tells whether it is sure to have left within the propagation bound.
    pub fn is_fresh(&mut self, now: Nanos) -> bool {
        self.arrivals.received(now, self.propagation_bound)
    }

    /// It told the number of the last event that was handed on: it is vouched for.
    pub fn confirm(&mut self, now: Nanos) {
        self.vouched = Some(now);
    }

    /// Nothing that came before counts any more.
    pub fn forget(&mut self) {
        self.vouched = None;
    }

    /// When what was vouched for lapses, if anything was.
    pub fn lapses(&self) -> Option<Nanos> {
        self.vouched.map(|at| at.after(LAPSES_AFTER))
    }

    /// Whether the last that was vouched for is still recent.
    pub fn is_current(&self, now: Nanos) -> bool {
        self.lapses().is_some_and(|at| now < at)
    }
}
