//! The rules that a download was taken under. Each further pull obeys them and those in force: nothing runs twice
//! because a rule changed while it was out.

use crate::interface::{Nanos, Repeat, Settings, TypeId};

/// Of two rules on repeats the one that allows fewer.
pub fn stricter(a: Repeat, b: Repeat) -> Repeat {
    use Repeat::*;
    match (a, b) {
        (NonRetriable, _) | (_, NonRetriable) => NonRetriable,
        (Retriable, other) | (other, Retriable) => other,
        (Deduped { scope, window: a }, Deduped { window: b, .. }) => {
            Deduped { scope, window: Nanos(a.0.min(b.0)) }
        }
    }
}

/// What a download was taken under.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Under {
    repeat: Repeat,
    max_pulls: u32,
}

impl Under {
    /// What these settings say of a content type.
    pub fn new(s: &Settings, content_type: TypeId) -> Under {
        Under { repeat: s.content_types[content_type.0 as usize].repeat, max_pulls: s.max_pulls }
    }

    /// Both these and what is in force.
    pub fn and(self, s: &Settings, content_type: TypeId) -> Under {
        let other = Under::new(s, content_type);
        Under { repeat: stricter(self.repeat, other.repeat), max_pulls: self.max_pulls.min(other.max_pulls) }
    }

    /// Whether it may run again.
    pub fn repeat(&self) -> Repeat {
        self.repeat
    }

    /// How many pulls it may take.
    pub fn max_pulls(&self) -> usize {
        self.max_pulls as usize
    }
}
