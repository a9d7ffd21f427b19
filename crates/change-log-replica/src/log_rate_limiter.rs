//! Lines that others cause at will: some are written, the rest is counted.

use copperroute_routing::interface::Nanos;

/// Lines within `PERIOD`, so that who causes them can't fill the log.
const LINES: u32 = 10;
const PERIOD: Nanos = Nanos(10_000_000_000);

/// How many such lines were written lately.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    since: Nanos,
    said: u32,
    left_out: u32,
}

impl LogRateLimiter {
    /// Writes a line, if there were not many lately.
    pub fn warn(&mut self, now: Nanos, line: std::fmt::Arguments<'_>) {
        if self.allows(now) {
            log::warn!("{line}");
        }
    }

    /// Whether a line may be written now; if not, it is counted.
    pub fn allows(&mut self, now: Nanos) -> bool {
        if now.since(self.since) > PERIOD {
            if self.left_out > 0 {
                log::warn!("{} lines like those before left out", self.left_out);
            }
            *self = LogRateLimiter { since: now, said: 0, left_out: 0 };
        }
        let may = self.said < LINES;
        match may {
            true => self.said += 1,
            false => self.left_out = self.left_out.saturating_add(1),
        }
        may
    }
}
