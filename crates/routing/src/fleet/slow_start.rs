//! Slow start: each dispatcher limits what it sends a cold node to its share of what the node can take while it warms
//! up, so that the fleet keeps to rule 4 without coordination. No I/O; time comes with each call, random draws from the
//! caller. See docs/cold-start.md.
//!
//! Each dispatcher has a token bucket for each cold node: it fills with seconds of sending, and attempts spend them.
//! For one of hundreds of dispatchers the tokens of a second are far fewer than an attempt needs. An attempt is
//! therefore sent with the probability tokens / work, and the tokens are spent whether it is sent or not.
//!
//! The bound on the sum: in any window of the rule's length all dispatchers together may send what their buckets gain
//! in it plus what they had saved ([`Rate::max_in_window_s`]). Savings are limited so that this is at most
//! `MAX_SHARE_OF_RULE` of the N attempts that the rule allows in the window, even if all dispatchers spend all their
//! savings at once. Random draws add a deviation of the order of sqrt(N); the tested bound is N + 2 sqrt(N) + 2 for
//! every N (`tests/module/slow_start_bound.rs`: 1 to 900 dispatchers, N from 2, uneven traffic, bursts after silence,
//! restarts). Saving one whole attempt per dispatcher would exceed N by far with 300 dispatchers.
//!
//! A dispatcher's share assumes the configured number of dispatchers; it can't observe the actual number.
//! `MAX_SHARE_OF_RULE` leaves room for half as many more. Twice as many keep the bound with steady traffic, but not if
//! all send at once after a silence; to keep it then, nothing could be saved where the rule allows twice the rate that
//! is sent.

use crate::interface::Nanos;

/// An attempt that takes more than this share of the node's capacity over the rule's window is not sent to a cold node.
const MAX_ATTEMPT_SHARE: f64 = 0.25;
/// The bucket of a node that has just started holds the gain of this many seconds, if its limit allows.
const INITIAL_S: f64 = 1.0;
/// The worst-case sum of all dispatchers over the rule's window, as a share of what the rule allows.
const MAX_SHARE_OF_RULE: f64 = 0.75;
/// The longest wait that is reported, in seconds.
const MAX_WAIT_S: f64 = 60.0;

/// One dispatcher's token bucket for one cold node.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    /// Tokens, in seconds of sending.
    tokens_s: f64,
    /// When the tokens were last updated; zero for never.
    updated_at: Nanos,
}

/// The rate at which all dispatchers together may send to a cold node.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    /// Seconds of sending per second.
    work_per_s: f64,
    /// The rule allows this multiple of the rate.
    rule_multiple: f64,
    /// The window over which the rule sums.
    window: Nanos,
    /// The number of dispatchers that share it.
    sharers: u32,
}

impl Rate {
    /// A rate in seconds of sending per second, shared by `sharers` dispatchers; the rule allows `rule_multiple` times
    /// as much over `window`.
    pub fn new(work_per_s: f64, rule_multiple: f64, window: Nanos, sharers: u32) -> Rate {
        Rate { work_per_s, rule_multiple, window, sharers }
    }

    /// The share of one dispatcher.
    fn share(&self) -> f64 {
        self.work_per_s / f64::from(self.sharers.max(1))
    }

    /// The most that all dispatchers together may send in any window of the rule's length, in seconds of sending: the
    /// tokens gained in it and those saved before. The actual sum deviates randomly, as each attempt is drawn.
    pub fn max_in_window_s(&self) -> f64 {
        self.work_per_s * (self.window.secs() + self.burst_s())
    }

    /// The gain of this many seconds may be saved.
    fn burst_s(&self) -> f64 {
        self.window.secs() * (MAX_SHARE_OF_RULE * self.rule_multiple - 1.0).max(0.0)
    }
}

impl TokenBucket {
    /// An empty bucket at this time, for a node that was started before this dispatcher: the dispatcher's previous
    /// process may just have spent all its tokens.
    pub fn empty(at: Nanos) -> TokenBucket {
        TokenBucket { tokens_s: 0.0, updated_at: at }
    }

    /// The probability with which an attempt of `work_s` is sent now. Its tokens are spent, whether it is sent or not.
    pub fn spend(&mut self, now: Nanos, rate: &Rate, work_s: f64) -> f64 {
        if work_s > MAX_ATTEMPT_SHARE * rate.work_per_s * rate.window.secs() {
            return 0.0;
        }
        let gain_s = match self.updated_at {
            Nanos::ZERO => INITIAL_S,
            at => now.since(at).secs(),
        };
        self.updated_at = now;
        self.tokens_s = (self.tokens_s + rate.share() * gain_s).min(rate.share() * rate.burst_s());
        let chance = (self.tokens_s / work_s.max(1e-6)).clamp(0.0, 1.0);
        self.tokens_s -= chance * work_s;
        chance
    }

    /// The time until the bucket holds enough for an attempt of `work_s`, at this dispatcher's share of the rate.
    pub fn wait_for(&self, rate: &Rate, work_s: f64) -> Nanos {
        Nanos::from_secs(((work_s - self.tokens_s) / rate.share().max(1e-6)).clamp(0.0, MAX_WAIT_S))
    }
}

/// Keeps only the first cold cache in a copy's order. If cold caches were tried in turn, admitted requests would reach
/// any of them: a copy would be looked up where it is not, and filled where no other dispatcher looks it up.
pub fn keep_one_cold<T>(caches: &mut Vec<T>, is_cold: impl Fn(&T) -> bool) {
    let mut has_cold = false;
    caches.retain(|cache| !is_cold(cache) || !std::mem::replace(&mut has_cold, true));
}
