//! Deliberate faults: switches that break a replica, so that checkers can be shown to catch them. There are none without
//! the feature `faults`.

/// What is done wrongly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Followers are kept while another replica is called.
    KeepFollowers,
    /// Heartbeats that may have waited on their way are passed on.
    TrustQueue,
    /// Streams do not end when heartbeats do.
    SkipLapse,
    /// Who asks is told the last number at once.
    BeginHeartbeat,
    /// It is not looked at whether a source has the same past.
    SkipOverlap,
    /// Who calls is served before the replica is current.
    ServeEarly,
}

/// The fault that a core has, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    #[cfg(feature = "faults")]
    one: Option<Fault>,
}

impl Faults {
    /// This one.
    #[cfg(feature = "faults")]
    pub fn of(one: Fault) -> Faults {
        Faults { one: Some(one) }
    }

    /// Whether it is this one.
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
