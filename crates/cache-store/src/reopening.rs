//! Backoff for a failed disk: when to try it again. A decision only; the caller provides the time and does the attempt.

use copperroute_routing::interface::Nanos;

/// Wait after the first failure. Most failures are a disk that is full or slow for a moment. An attempt empties the
/// store, so a shorter wait would gain little.
pub const INITIAL_BACKOFF: Nanos = Nanos(1_000_000_000);
/// Waits double up to this bound: a disk that fails for hours costs one attempt a minute, and a repaired disk is used
/// within a minute.
pub const MAX_BACKOFF: Nanos = Nanos(60_000_000_000);
/// The backoff returns to its initial value after this time without a failure. If it did so at once, a disk that fails
/// soon after each recovery would be emptied every second and write two log lines each time.
pub const BACKOFF_RESET_AFTER: Nanos = Nanos(60_000_000_000);

/// Backoff state of one disk.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reopening {
    /// When the current failure began; `None` while the disk works.
    failing_since: Option<Nanos>,
    /// When the next attempt is due.
    next_attempt: Nanos,
    /// Wait after the last failure; zero before the first.
    backoff: Nanos,
    /// When the disk last recovered.
    recovered_at: Nanos,
}

impl Reopening {
    /// Records a failure in use or of an attempt. Returns whether the disk worked before it.
    pub fn failed(&mut self, now: Nanos) -> bool {
        let begins = self.failing_since.is_none();
        if begins && now.since(self.recovered_at) >= BACKOFF_RESET_AFTER {
            self.backoff = Nanos::ZERO;
        }
        self.backoff = Nanos((self.backoff.0 * 2).clamp(INITIAL_BACKOFF.0, MAX_BACKOFF.0));
        self.next_attempt = now.after(self.backoff);
        self.failing_since.get_or_insert(now);
        begins
    }

    /// When the next attempt is due; `None` while the disk works.
    pub fn due(&self) -> Option<Nanos> {
        self.failing_since.map(|_| self.next_attempt)
    }

    /// Records a success. Returns how long the failure lasted, if there was one.
    pub fn succeeded(&mut self, now: Nanos) -> Option<Nanos> {
        let failing_since = self.failing_since.take()?;
        self.recovered_at = now;
        Some(now.since(failing_since))
    }
}
