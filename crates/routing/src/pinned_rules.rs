//! Pinned rules: the rules in force when a request was accepted. Each retry obeys them as well as the rules in force
//! now, so that nothing runs twice because a rule changed while an attempt was in flight.

use crate::interface::{Nanos, RetrySafety, Settings, TypeId};

/// The stricter of two rules on retries. Of two deduplication windows it is the shorter, with the first scope.
pub fn stricter(a: RetrySafety, b: RetrySafety) -> RetrySafety {
    use RetrySafety::*;
    match (a, b) {
        (NonRetriable, _) | (_, NonRetriable) => NonRetriable,
        (Retriable, other) | (other, Retriable) => other,
        (Deduped { scope, window: a }, Deduped { window: b, .. }) => {
            Deduped { scope, window: Nanos(a.0.min(b.0)) }
        }
    }
}

/// The rules that a request is pinned to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PinnedRules {
    repeat: RetrySafety,
    max_attempts: u32,
}

impl PinnedRules {
    /// The rules of a content type in these settings.
    pub fn new(settings: &Settings, content_type: TypeId) -> PinnedRules {
        PinnedRules {
            repeat: settings.content_types[content_type.0 as usize].retry_safety,
            max_attempts: settings.max_attempts,
        }
    }

    /// The stricter of these rules and of those in `settings`.
    pub fn combined_with(self, settings: &Settings, content_type: TypeId) -> PinnedRules {
        let other = PinnedRules::new(settings, content_type);
        PinnedRules {
            repeat: stricter(self.repeat, other.repeat),
            max_attempts: self.max_attempts.min(other.max_attempts),
        }
    }

    /// Whether it may run again.
    pub fn retry_safety(&self) -> RetrySafety {
        self.repeat
    }

    /// The most attempts that may be made for it.
    pub fn max_attempts(&self) -> usize {
        self.max_attempts as usize
    }
}
