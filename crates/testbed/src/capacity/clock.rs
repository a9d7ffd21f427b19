//! The one clock that all processes of a run share: the machine's Unix time.

use std::time::{SystemTime, UNIX_EPOCH};

/// The Unix time in microseconds.
pub(super) fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}
