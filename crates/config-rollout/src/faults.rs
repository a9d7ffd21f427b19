//! Deliberate faults: switches that break the agreement, so that checkers can be shown to catch them. There are none
//! without the feature `faults`.

/// What is done wrongly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A lapsed lease is not looked at.
    SkipLease,
    /// An older version is taken.
    GoBack,
    /// A version acts from when it is heard.
    EarlyMoment,
    /// What comes out of a queue renews the lease.
    TrustQueue,
    /// Out of touch, the last version is acted on.
    IgnoreFloor,
    /// A moment that is too near is taken.
    SkipNotice,
    /// A version that loosens or tightens further than the one before allowed is taken.
    SkipBand,
    /// A second content under one version is taken.
    TakeSecond,
    /// A lease is renewed by lines that tell of events not yet heard.
    RenewBehind,
}

impl Fault {
    /// All of them, by name.
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

/// The fault that a core has, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
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
