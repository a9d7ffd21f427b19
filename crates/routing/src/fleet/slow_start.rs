//! Slow start of cold nodes: each dispatcher limits what it sends a cold node to its share of the warm-up ramp, so that the
//! fleet keeps to rule 4 without coordination. No I/O; time comes with each call, random draws from the caller.
//! See docs/cold-start.md.
//!
//! Each dispatcher has a token bucket for each cold node: seconds of sending grow in it and are spent by attempts. Of hundreds
//! of dispatchers one's tokens of a second are far less than a pull: then an attempt is sent with the chance that they come
//! to, and they are spent, sent or not.
//!
//! The sum, stated: in any window of the rule's length all together may send what grows in it and what was saved before
//! it ([`Rate::max_in_window_s`]). What is saved is bounded so that this is `WORST` of the N calls that the rule bears
//! in that window, were every dispatcher to come at once with all that it may have saved; chance puts roots of N around
//! that, and the bound that is kept is N + 2 roots of N + 2 for every N (`tests/module/cold_sum.rs`: 1 to 900
//! dispatchers, N from 2, uneven traffic, silence and then all at once, restarts). Before, one whole attempt was saved
//! by each: of 300 far more than N.
//!
//! The share of one is that of as many dispatchers as the settings name, and nothing that one sees tells how many there
//! are. `WORST` leaves room for half as many again; twice as many keep the bound while they ask steadily, and not where all
//! come at once after a silence: to hold that too, nothing could be saved where the rule bears twice what is sent.

use crate::interface::Nanos;

/// An attempt that takes more than this share of the node's capacity over the rule's window is not sent to a cold node.
const MOST: f64 = 0.25;
/// The bucket of a node that has just started holds this many seconds' growth, if it may hold as much.
const INITIAL_S: f64 = 1.0;
/// The worst-case sum of all dispatchers over the rule's window, as a share of what the rule allows.
const WORST: f64 = 0.75;

/// The longest wait that is reported.
const LONGEST_S: f64 = 60.0;

/// One dispatcher's token bucket for one cold node.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    /// What is in it, in seconds of sending.
    tokens_s: f64,
    /// When that was; zero for never.
    at: Nanos,
}

/// What all dispatchers together may send a cold node.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    /// Seconds of sending a second that they send it.
    bearable: f64,
    /// How many times as much the rule bears.
    rule: f64,
    /// The rule sums over this.
    window: Nanos,
    /// The number of dispatchers that share it.
    sharers: u32,
}

impl Rate {
    /// So many seconds of sending a second, of which the rule bears so many times as much over `window`, for so many.
    pub fn new(bearable: f64, rule: f64, window: Nanos, sharers: u32) -> Rate {
        Rate { bearable, rule, window, sharers }
    }

    /// What grows for one dispatcher in a second.
    fn share(&self) -> f64 {
        self.bearable / f64::from(self.sharers.max(1))
    }

    /// What all together may send in any window of the rule's length, in seconds of sending: what grows in it, and what
    /// they may have saved before it. Chance moves what is sent around it, as each attempt is drawn.
    pub fn max_in_window_s(&self) -> f64 {
        self.bearable * (self.window.secs() + self.burst_s())
    }

    /// For how long it may be saved, in seconds.
    fn burst_s(&self) -> f64 {
        self.window.secs() * (WORST * self.rule - 1.0).max(0.0)
    }
}

impl TokenBucket {
    /// The empty bucket for a node that had started before this dispatcher did, at this time: whoever was in its place before may
    /// just have spent all that it had.
    pub fn empty(at: Nanos) -> TokenBucket {
        TokenBucket { tokens_s: 0.0, at }
    }

    /// The chance with which an attempt of so much work is sent now, which is spent, sent or not.
    pub fn spend(&mut self, now: Nanos, rate: &Rate, work_s: f64) -> f64 {
        if work_s > MOST * rate.bearable * rate.window.secs() {
            return 0.0;
        }
        let grown_s = match self.at {
            Nanos::ZERO => INITIAL_S,
            at => now.since(at).secs(),
        };
        self.at = now;
        self.tokens_s = (self.tokens_s + rate.share() * grown_s).min(rate.share() * rate.burst_s());
        let chance = (self.tokens_s / work_s.max(1e-6)).clamp(0.0, 1.0);
        self.tokens_s -= chance * work_s;
        chance
    }

    /// How long it takes until an attempt of so much work has grown again, at what the dispatcher may send a second.
    pub fn wait_for(&self, rate: &Rate, work_s: f64) -> Nanos {
        Nanos::from_secs(((work_s - self.tokens_s) / rate.share().max(1e-6)).clamp(0.0, LONGEST_S))
    }
}

/// Keeps only the first cold cache in a copy's order. If each cold one were asked in turn, admitted requests would go to any of
/// them: a copy would be looked up where it is not, and filled where no other dispatcher looks.
pub fn keep_one_cold<T>(caches: &mut Vec<T>, is_cold: impl Fn(&T) -> bool) {
    let mut one = false;
    caches.retain(|cache| !is_cold(cache) || !std::mem::replace(&mut one, true));
}
