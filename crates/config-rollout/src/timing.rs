//! The bounds on clocks and delays that operators state, and the notice and the contradiction bound that follow from
//! them. All are durations in nanoseconds ([`Nanos`]); settings give them in seconds.

use copperroute_routing::interface::Nanos;

/// The change log sends a heartbeat each second.
const HEARTBEAT_INTERVAL: Nanos = Nanos(1_000_000_000);
/// The longest duration that may be stated: one hour.
const MAX_DURATION: Nanos = Nanos(3_600_000_000_000);

/// The bounds that operators state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimingBounds {
    /// How long a dispatcher counts as up to date after a heartbeat that announced no event it lacked.
    pub lease: Nanos,
    /// The clocks of issuers and dispatchers differ from the true time by no more than half of this.
    pub clock_error: Nanos,
    /// The longest time from a version's `issued_ms` until the change log sends it, and the longest time from the
    /// change log sending a line until it is read. The setting is `slack_s`.
    pub propagation_bound: Nanos,
}

impl TimingBounds {
    /// The shortest time from issue to activation of a version. A dispatcher that has not received the version by its
    /// activation time knows by then that it is out of touch.
    pub fn min_notice(&self) -> Nanos {
        self.lease.after(self.clock_error).after(self.propagation_bound)
    }

    /// The longest time for which two dispatchers may apply contradicting rules.
    pub fn contradiction_bound(&self) -> Nanos {
        self.min_notice()
    }

    /// Checks that the bounds can be met together. An error is one line that names the field, its value and what was
    /// expected.
    pub fn validate(&self) -> Result<(), String> {
        let least = HEARTBEAT_INTERVAL.after(self.propagation_bound).after(self.propagation_bound);
        let found =
            |name: &str, is: Nanos, least: Nanos, most: Nanos, why: &str| match is >= least && is <= most {
                true => Ok(()),
                false => Err(format!(
                    "{name}: {} is no number of seconds that can hold; expected {} to {}{why}",
                    is.secs(),
                    least.secs(),
                    most.secs()
                )),
            };
        found("slack_s", self.propagation_bound, Nanos(10_000_000), MAX_DURATION, "")?;
        found("clock_error_s", self.clock_error, Nanos(1_000_000), MAX_DURATION, "")?;
        let why = ": a line comes each second, and may take slack_s longer than the one before";
        found("lease_s", self.lease, least, MAX_DURATION, why)
    }
}
