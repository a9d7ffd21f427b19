//! Whether the heartbeats of one stream come in time: one that waited on its way vouches for a time gone by.

use crate::interface::Nanos;

/// A heartbeat comes each second.
const PERIOD: Nanos = Nanos(1_000_000_000);

/// The heartbeats of one stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Heartbeats {
    /// When the last one came, or the stream was asked for.
    came: Nanos,
    /// What comes before this may have waited on its way.
    queued_until: Nanos,
}

impl Heartbeats {
    /// The stream is asked for: nothing of it has waited yet.
    pub(super) fn asked(&mut self, now: Nanos) {
        (self.came, self.queued_until) = (now, Nanos::ZERO);
    }

    /// A heartbeat comes; tells whether it has come in time. After a silence that is too long for one a second, what
    /// follows within `slack` may have waited for as long.
    pub(super) fn comes(&mut self, now: Nanos, slack: Nanos) -> bool {
        if now.since(self.came) > PERIOD.after(slack) {
            self.queued_until = now.after(slack);
        }
        self.came = now;
        now >= self.queued_until
    }
}
