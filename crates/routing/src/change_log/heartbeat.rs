//! Decides whether the heartbeats of one stream arrive in time. A heartbeat that was delayed on its way confirms only
//! the state at the time when it was sent.

use crate::interface::Nanos;

/// Heartbeats are sent at this interval.
const PERIOD: Nanos = Nanos(1_000_000_000);

/// The heartbeats of one stream: from a replica to a dispatcher, from its source to a replica, or those that renew a
/// lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Heartbeats {
    /// When the last heartbeat arrived, or the stream was requested.
    last_at: Nanos,
    /// What arrives before this time may have been delayed.
    delayed_until: Nanos,
    /// None has arrived since the stream was requested.
    awaits_first: bool,
}

impl Heartbeats {
    /// The stream is requested: nothing of it has been delayed yet.
    pub fn request_sent(&mut self, now: Nanos) {
        (self.last_at, self.delayed_until, self.awaits_first) = (now, Nanos::ZERO, true);
    }

    /// A heartbeat arrives; returns whether it was certainly sent within the last `slack`. After a silence longer than
    /// [`Self::max_interval`], whatever arrives within `slack` may have been delayed as long. The first heartbeat may
    /// have been sent at any time since the request, so it counts only if it arrives within `slack` of that.
    pub fn received(&mut self, now: Nanos, slack: Nanos) -> bool {
        let is_first = std::mem::take(&mut self.awaits_first);
        let max_silence = if is_first { slack } else { Self::max_interval(slack) };
        if now.since(self.last_at) > max_silence {
            self.delayed_until = now.after(slack);
        }
        self.last_at = now;
        !self.may_have_been_delayed(now)
    }

    /// Whether the last heartbeat is recent enough, given the interval and `slack`.
    pub fn are_on_time(&self, now: Nanos, slack: Nanos) -> bool {
        now.since(self.last_at) <= Self::max_interval(slack)
    }

    /// Whether what arrives now may have been delayed for as long as the preceding silence.
    pub fn may_have_been_delayed(&self, now: Nanos) -> bool {
        now < self.delayed_until
    }

    /// The longest interval between two heartbeats that both arrive in time.
    pub fn max_interval(slack: Nanos) -> Nanos {
        PERIOD.after(slack)
    }
}
