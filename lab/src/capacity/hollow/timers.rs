//! All that a hollow dispatcher has armed, in one ordered structure: by time, and as armed where times are equal. An
//! entry is forgotten when it is due; who no longer wants it passes over it then, as in the real event loop.

use copperroute::interface::Nanos;
use copperroute_dispatcher::effects::Due;
use std::collections::BTreeMap;

/// What is armed.
#[derive(Debug, Default)]
pub struct Timers {
    armed: BTreeMap<(u64, u64), Due>,
    count: u64,
}

impl Timers {
    /// Arms one.
    pub fn arm(&mut self, at: Nanos, due: Due) {
        self.count += 1;
        self.armed.insert((at.0, self.count), due);
    }

    /// When the next is due.
    pub fn next(&self) -> Option<Nanos> {
        self.armed.first_key_value().map(|((at, _), _)| Nanos(*at))
    }

    /// Takes the next, if it is due by now.
    pub fn take_due(&mut self, now: Nanos) -> Option<Due> {
        let next = self.armed.first_entry().filter(|next| next.key().0 <= now.0)?;
        Some(next.remove())
    }
}
