//! The one clock: it only goes forward, and Unix times are turned into it here alone.

use copperroute_routing::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the clock shows at the start, so that there is room for times before it.
const EPOCH: Nanos = Nanos(86_400_000_000_000);

/// The module's clock, tied to Unix time at the start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_start: u64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: Instant::now(), unix_start: unix.as_nanos() as u64 }
    }

    /// The present time.
    pub fn now(&self) -> Nanos {
        EPOCH.after(Nanos(self.started.elapsed().as_nanos() as u64))
    }

    /// What the clock showed at a Unix time when it started; for the reducer, which has no clock.
    pub fn epoch(&self) -> Epoch {
        Epoch { unix_start: self.unix_start }
    }
}

/// How Unix times and the module's clock lie to each other.
#[derive(Debug, Clone, Copy)]
pub struct Epoch {
    unix_start: u64,
}

impl Epoch {
    /// For a clock that started at this Unix time, in nanoseconds.
    pub fn at(unix_start: u64) -> Self {
        Epoch { unix_start }
    }

    /// The Unix time, in nanoseconds, at which the module's clock shows zero; wraps.
    pub fn unix_zero(&self) -> u64 {
        self.unix_start.wrapping_sub(EPOCH.0)
    }

    /// The Unix millisecond of a time on the module's clock.
    pub fn unix_ms(&self, at: Nanos) -> u64 {
        (self.unix_start + at.since(EPOCH).0) / 1_000_000
    }

    /// A Unix millisecond on the module's clock; long ago is the clock's first moment.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Nanos {
        let unix = unix_ms.saturating_mul(1_000_000);
        Nanos(EPOCH.0.saturating_add(unix).saturating_sub(self.unix_start).max(1))
    }
}
