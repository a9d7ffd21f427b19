//! Whether the heartbeats of one stream come in time: one that waited on its way vouches for a time gone by.

use crate::interface::Nanos;

/// A heartbeat comes each second.
const PERIOD: Nanos = Nanos(1_000_000_000);

/// The heartbeats of one stream: of a dispatcher's to a replica, of a replica's to its source, of those by which a lease
/// is renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Heartbeats {
    /// When the last one came, or the stream was asked for.
    came: Nanos,
    /// What comes before this may have waited on its way.
    queued_until: Nanos,
    /// None has come since the stream was asked for.
    awaits_first: bool,
}

impl Heartbeats {
    /// The stream is asked for: nothing of it has waited yet.
    pub fn request_sent(&mut self, now: Nanos) {
        (self.came, self.queued_until, self.awaits_first) = (now, Nanos::ZERO, true);
    }

    /// A heartbeat comes; tells whether it is sure to have left within `slack`. After a silence that is too long for one
    /// a second, what follows within `slack` may have waited for as long. The first after a call left at any time since: it
    /// is sure only if it comes as soon as an answer does.
    pub fn received(&mut self, now: Nanos, slack: Nanos) -> bool {
        let is_first = std::mem::take(&mut self.awaits_first);
        let longest = if is_first { slack } else { Self::max_interval(slack) };
        if now.since(self.came) > longest {
            self.queued_until = now.after(slack);
        }
        self.came = now;
        !self.may_have_been_delayed(now)
    }

    /// Whether the last one came no longer ago than one a second allows.
    pub fn are_on_time(&self, now: Nanos, slack: Nanos) -> bool {
        now.since(self.came) <= Self::max_interval(slack)
    }

    /// Whether what comes now may have waited on its way for as long as the silence before.
    pub fn may_have_been_delayed(&self, now: Nanos) -> bool {
        now < self.queued_until
    }

    /// The longest silence between two heartbeats that both came in time.
    pub fn max_interval(slack: Nanos) -> Nanos {
        PERIOD.after(slack)
    }
}
