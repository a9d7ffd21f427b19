//! One clock for all stand-ins: spans since a play began, and the Unix milliseconds that go with them.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// When a play began, on both clocks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlayClock {
    began: Instant,
    unix_ms: u64,
}

impl PlayClock {
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        PlayClock { began: Instant::now(), unix_ms: unix.as_millis() as u64 }
    }

    /// The time since the play began.
    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// A time of the play as a Unix millisecond, which does not step while it lasts.
    pub(crate) fn unix_ms(&self, at: Duration) -> u64 {
        self.unix_ms + at.as_millis() as u64
    }

    /// Waits until a time of the play.
    pub(crate) fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }
}
