//! What the operators state of clocks and ways, and the time that follows from it.

use copperroute_routing::interface::Nanos;

/// The list service tells a line each second.
const LINE: Nanos = Nanos(1_000_000_000);
/// No more is stated.
const LONGEST: Nanos = Nanos(3_600_000_000_000);

/// What is stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimingBounds {
    /// For so long after a line of the list service that told nothing new a dispatcher is up to date.
    pub lease: Nanos,
    /// The clocks of issuers and dispatchers differ from the true time by no more than half of this.
    pub clock_error: Nanos,
    /// From the moment that an issuer writes into a version until the service tells it, and until a line that the
    /// service tells is read, no more than this goes by.
    pub propagation_bound: Nanos,
}

impl TimingBounds {
    /// The shortest notice at which a version can be issued: who has not heard of it when it begins to act knows by
    /// then that it is out of touch.
    pub fn min_notice(&self) -> Nanos {
        self.lease.after(self.clock_error).after(self.propagation_bound)
    }

    /// The longest for which two dispatchers may act on rules that contradict each other.
    pub fn contradiction_bound(&self) -> Nanos {
        self.min_notice()
    }

    /// Whether they can hold, or one line on what can't and what was expected.
    pub fn validate(&self) -> Result<(), String> {
        let least = LINE.after(self.propagation_bound).after(self.propagation_bound);
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
        found("slack_s", self.propagation_bound, Nanos(10_000_000), LONGEST, "")?;
        found("clock_error_s", self.clock_error, Nanos(1_000_000), LONGEST, "")?;
        let why = ": a line comes each second, and may take slack_s longer than the one before";
        found("lease_s", self.lease, least, LONGEST, why)
    }
}
