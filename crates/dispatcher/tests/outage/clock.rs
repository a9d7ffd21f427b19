//! One clock for a whole scenario: the time since its start, and the Unix time in milliseconds that belongs to it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The start of a scenario on the monotonic clock and on the wall clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScenarioClock {
    started: Instant,
    unix_ms: u64,
}

impl ScenarioClock {
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        ScenarioClock { started: Instant::now(), unix_ms: unix.as_millis() as u64 }
    }

    /// The time since the scenario started.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts a time of the scenario to Unix milliseconds. Steps of the wall clock during the scenario have no
    /// effect.
    pub(crate) fn unix_ms(&self, at: Duration) -> u64 {
        self.unix_ms + at.as_millis() as u64
    }

    /// Sleeps until a time of the scenario.
    pub(crate) fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }
}
