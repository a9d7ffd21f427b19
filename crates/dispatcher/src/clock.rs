//! The monotonic clock of the dispatcher, and the only conversion between it and Unix times. The event loop reads the
//! clock and passes the time to the reducer with each event.

use copperroute_routing::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock's reading when the program starts: one day, so that times before the start can be expressed.
const START_READING: Nanos = Nanos(86_400_000_000_000);

/// A monotonic clock that is related to Unix time once, at the start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// The Unix time at the start, in nanoseconds.
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
        START_READING.after(Nanos(self.started.elapsed().as_nanos() as u64))
    }

    /// The relation to Unix time, for the reducer, which has no clock.
    pub fn epoch(&self) -> Epoch {
        Epoch { unix_start: self.unix_start }
    }
}

/// The relation between Unix time and the dispatcher's clock.
#[derive(Debug, Clone, Copy)]
pub struct Epoch {
    unix_start: u64,
}

impl Epoch {
    /// For a clock that started at this Unix time, in nanoseconds.
    pub fn at(unix_start: u64) -> Self {
        Epoch { unix_start }
    }

    /// The Unix time in nanoseconds at which the dispatcher's clock reads zero; wraps.
    pub fn unix_zero(&self) -> u64 {
        self.unix_start.wrapping_sub(START_READING.0)
    }

    /// Converts a reading of the dispatcher's clock to Unix milliseconds.
    pub fn unix_ms(&self, at: Nanos) -> u64 {
        (self.unix_start + at.since(START_READING).0) / 1_000_000
    }

    /// Converts Unix milliseconds to a reading of the dispatcher's clock, which is at least 1 ns.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Nanos {
        let unix = unix_ms.saturating_mul(1_000_000);
        Nanos(START_READING.0.saturating_add(unix).saturating_sub(self.unix_start).max(1))
    }
}
