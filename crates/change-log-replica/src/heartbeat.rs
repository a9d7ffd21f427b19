//! Decides which of the source's heartbeats (one line a second with the last event number) are fresh enough to pass on.
//!
//! A replica sends no heartbeat of its own: it passes on each confirmed heartbeat of its source. A heartbeat after a
//! silence that is too long for one line a second may have been delayed by as much, and so may all that follow it at
//! once. Those are not passed on, so that a follower's lease never begins later than it would at the change log itself.

use copperroute_routing::change_log::Heartbeats as Arrivals;
use copperroute_routing::interface::Nanos;

/// A replica without a confirmed heartbeat for this long is no longer current.
pub const HEARTBEAT_TIMEOUT: Nanos = Nanos(2_000_000_000);

/// The heartbeats of a replica's source, and when the last one was confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Heartbeats {
    propagation_bound: Nanos,
    arrivals: Arrivals,
    /// When the last confirmed heartbeat was received.
    confirmed_at: Option<Nanos>,
}

impl Heartbeats {
    /// No heartbeat yet; a line from the source takes no longer than `propagation_bound`.
    pub fn new(propagation_bound: Nanos) -> Self {
        Heartbeats { propagation_bound, arrivals: Arrivals::default(), confirmed_at: None }
    }

    /// A request was sent to the source: its answer is no older than the request.
    pub fn request_sent(&mut self, now: Nanos) {
        self.arrivals.request_sent(now);
    }

    /// A heartbeat was received; returns whether it surely left the source within the propagation bound.
    pub fn is_fresh(&mut self, now: Nanos) -> bool {
        self.arrivals.received(now, self.propagation_bound)
    }

    /// The heartbeat was fresh and its number was that of the last event held: it counts as confirmed.
    pub fn confirm(&mut self, now: Nanos) {
        self.confirmed_at = Some(now);
    }

    /// No heartbeat received before counts any more.
    pub fn reset(&mut self) {
        self.confirmed_at = None;
    }

    /// When the last confirmed heartbeat expires; `None` without one.
    pub fn expires_at(&self) -> Option<Nanos> {
        self.confirmed_at.map(|at| at.after(HEARTBEAT_TIMEOUT))
    }

    /// Whether the last confirmed heartbeat has not expired.
    pub fn is_current(&self, now: Nanos) -> bool {
        self.expires_at().is_some_and(|at| now < at)
    }
}
