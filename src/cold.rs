//! Decisions on what a cold node is sent: each dispatcher's part of what the node can do, so that all together keep to
//! rule 4 with no agreement. No input or output; time comes with each call, chance as a draw of the caller's.
//! See docs/cold-start.md.
//!
//! A part grows with time and is spent by pulls. Of hundreds of dispatchers one's part of a second is far less than a
//! pull: then a pull is sent with the chance that the part has grown to, and that is spent, sent or not. What is not
//! asked for is saved up to one pull, so that all together send what the node can do however thin the traffic of each
//! is; a part that is forgotten after some seconds leaves half of the node unused (measured, docs/cold-start.md).

use crate::interface::Nanos;

/// One pull that is more than this part of what the node can do in the rule's time is not for a cold node.
const MOST: f64 = 0.25;
/// A node that has just started has so much of a second saved: what was saved before is worth nothing to it, and
/// nobody shall have more than a fraction of the rule's time at once.
const BEGINS_WITH_S: f64 = 1.0;

/// No wait is told that is longer.
const LONGEST_S: f64 = 60.0;

/// One dispatcher's part of one cold node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Part {
    /// Work saved, in seconds of sending.
    saved_s: f64,
    /// When that was; zero for never.
    at: Nanos,
}

impl Part {
    /// The chance with which a pull of so much work is sent now, which is spent, sent or not; the node can do `bearable`
    /// seconds of sending a second for so many dispatchers, and the rule sums over `window`.
    pub fn spend(&mut self, now: Nanos, bearable: f64, sharers: u32, window: Nanos, work_s: f64) -> f64 {
        if work_s > MOST * bearable * window.secs() {
            return 0.0;
        }
        let share = bearable / f64::from(sharers.max(1));
        let grown = match self.at {
            Nanos::ZERO => share * BEGINS_WITH_S,
            at => self.saved_s + share * now.since(at).secs(),
        };
        self.at = now;
        self.saved_s = grown.min(work_s.max(share * window.secs()));
        let chance = (self.saved_s / work_s.max(1e-6)).clamp(0.0, 1.0);
        self.saved_s -= chance * work_s;
        chance
    }

    /// How long it takes until a pull of so much work has grown again, at what the dispatcher may send a second.
    pub fn until(&self, bearable: f64, sharers: u32, work_s: f64) -> Nanos {
        let share = bearable / f64::from(sharers.max(1));
        Nanos::from_secs(((work_s - self.saved_s) / share.max(1e-6)).clamp(0.0, LONGEST_S))
    }
}

/// Of caches in a copy's order only the first cold one stays. Were each cold one asked in turn, who is let in would be
/// sent to any of them: a copy would be looked for where it is not, and filled where nobody else looks.
pub fn one_place<T>(caches: &mut Vec<T>, is_cold: impl Fn(&T) -> bool) {
    let mut one = false;
    caches.retain(|cache| !is_cold(cache) || !std::mem::replace(&mut one, true));
}
