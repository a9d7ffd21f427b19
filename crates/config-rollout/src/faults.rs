//! Deliberate faults that break the agreement, so that tests can show that the checks catch them. Without the feature
//! `faults` none can be switched on.

/// A deliberate fault: the rule that is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The expiry of the lease is ignored.
    SkipLease,
    /// An older version is accepted.
    GoBack,
    /// A version is active as soon as it is received.
    EarlyMoment,
    /// Heartbeats that may have waited in a queue renew the lease.
    TrustQueue,
    /// Out of touch, the last version applies instead of the floor.
    IgnoreFloor,
    /// A version with too short a notice is accepted.
    SkipNotice,
    /// A version that is looser than the platform's settings or stricter than the floor is accepted.
    SkipBand,
    /// A second content under the same version number is accepted.
    TakeSecond,
    /// Heartbeats that announce events not yet received renew the lease.
    RenewBehind,
}

impl Fault {
    /// All faults with the names that the environment variable `COPPERROUTE_FAULT` takes.
    pub const NAMED: [(&'static str, Fault); 9] = [
        ("skip-lease", Fault::SkipLease),
        ("go-back", Fault::GoBack),
        ("early-moment", Fault::EarlyMoment),
        ("trust-queue", Fault::TrustQueue),
        ("ignore-floor", Fault::IgnoreFloor),
        ("skip-notice", Fault::SkipNotice),
        ("skip-band", Fault::SkipBand),
        ("take-second", Fault::TakeSecond),
        ("renew-behind", Fault::RenewBehind),
    ];

    /// The fault with this name.
    pub fn from_name(name: &str) -> Option<Fault> {
        Self::NAMED.iter().find(|known| known.0 == name).map(|known| known.1)
    }
}

/// The fault that is switched on, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
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
