//! Limits log lines that peers can cause at will: some are written, the others are counted.

use copperroute_routing::interface::Nanos;

/// The most lines within `PERIOD`, so that a peer can't fill the log.
const MAX_LINES: u32 = 10;
const PERIOD: Nanos = Nanos(10_000_000_000);

/// The lines written and suppressed within the present period.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    period_start: Nanos,
    written: u32,
    suppressed: u32,
}

impl LogRateLimiter {
    /// Writes a line unless the limit of the period is reached.
    pub fn warn(&mut self, now: Nanos, line: std::fmt::Arguments<'_>) {
        if self.allows(now) {
            log::warn!("{line}");
        }
    }

    /// Whether a line may be written now; if not, it is counted as suppressed.
    pub fn allows(&mut self, now: Nanos) -> bool {
        if now.since(self.period_start) > PERIOD {
            if self.suppressed > 0 {
                log::warn!("{} similar lines suppressed", self.suppressed);
            }
            *self = LogRateLimiter { period_start: now, written: 0, suppressed: 0 };
        }
        let may = self.written < MAX_LINES;
        match may {
            true => self.written += 1,
            false => self.suppressed = self.suppressed.saturating_add(1),
        }
        may
    }
}
