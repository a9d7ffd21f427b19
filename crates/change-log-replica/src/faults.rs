//! Deliberate faults that break a replica, so that tests can show that the checks catch them. Without the feature
//! `faults` none can be switched on.

/// A deliberate fault: the rule that is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Followers are kept while the replica connects to another replica.
    KeepFollowers,
    /// Heartbeats that may have been delayed are passed on.
    TrustDelayedHeartbeats,
    /// Followers' streams do not end when heartbeats stop.
    IgnoreHeartbeatTimeout,
    /// A follower that sends a request gets a heartbeat at once, though the source sent none.
    UnsolicitedHeartbeat,
    /// The last event is not requested again to check that a new source has the same history.
    SkipOverlap,
    /// Followers are served before the replica is current.
    ServeEarly,
}

/// The fault that is switched on, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    #[cfg(feature = "faults")]
    one: Option<Fault>,
}

impl Faults {
    /// Switches one fault on.
    #[cfg(feature = "faults")]
    pub fn of(one: Fault) -> Faults {
        Faults { one: Some(one) }
    }

    /// Whether this fault is switched on.
    pub(crate) fn is(self, fault: Fault) -> bool {
        #[cfg(feature = "faults")]
        return self.one == Some(fault);
        #[cfg(not(feature = "faults"))]
        {
            let _ = fault;
            false
        }
    }
}
