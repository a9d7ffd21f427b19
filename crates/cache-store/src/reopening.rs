//! When a disk that failed is tried again. A decision only: the caller has the clock and the disk.

use copperroute_routing::interface::Nanos;

/// The first wait. Most trouble is a disk that was full or slow for a moment; a try empties the store, so sooner would
/// spare little.
pub const FIRST_WAIT: Nanos = Nanos(1_000_000_000);
/// Waits double up to this: a disk that is away for hours costs a try a minute, and one that is mended is used within one.
pub const LONGEST_WAIT: Nanos = Nanos(60_000_000_000);
/// A disk that was well for so long begins with the first wait again. One that fails sooner after its return would
/// otherwise be emptied every second, with two lines in the log each time.
pub const WELL_AFTER: Nanos = Nanos(60_000_000_000);

/// Trouble with a disk, and when it is tried again.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reopening {
    /// When the trouble began that is not over.
    began: Option<Nanos>,
    /// When it is tried again.
    due: Nanos,
    /// The wait of the last failure; none before the first.
    wait: Nanos,
    /// When the last trouble was over.
    over: Nanos,
}

impl Reopening {
    /// The disk has failed, at work or at a try. Tells whether trouble begins with that.
    pub fn failed(&mut self, now: Nanos) -> bool {
        let begins = self.began.is_none();
        if begins && now.since(self.over) >= WELL_AFTER {
            self.wait = Nanos::ZERO;
        }
        self.wait = Nanos((self.wait.0 * 2).clamp(FIRST_WAIT.0, LONGEST_WAIT.0));
        self.due = now.after(self.wait);
        self.began.get_or_insert(now);
        begins
    }

    /// When the disk is to be tried, while there is trouble.
    pub fn due(&self) -> Option<Nanos> {
        self.began.map(|_| self.due)
    }

    /// A try has succeeded. Tells how long the trouble lasted, if there was any.
    pub fn succeeded(&mut self, now: Nanos) -> Option<Nanos> {
        let began = self.began.take()?;
        self.over = now;
        Some(now.since(began))
    }
}
