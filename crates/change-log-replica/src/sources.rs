//! Which source is called next.

use crate::config::{Source, SourceKind};

/// The sources in the order in which they are taken, and the one that is followed or called.
#[derive(Debug)]
pub struct Sources {
    all: Vec<Source>,
    at: usize,
}

impl Sources {
    /// Begins with the first; there is one at least.
    pub fn new(all: Vec<Source>) -> Self {
        Sources { all, at: 0 }
    }

    /// How many there are.
    pub fn count(&self) -> u32 {
        self.all.len() as u32
    }

    /// The one that is followed or called.
    pub fn present(&self) -> Source {
        self.all[self.at]
    }

    /// The stream ended, or the call brought nothing: the next to call. The change log is tried once more when a stream
    /// that was current ends, as it may only have been restarted; else a lost source's place is taken by the first other
    /// one, and after a call in vain each is tried in turn.
    pub fn lost(&mut self, was_current: bool) -> Source {
        let of_change_log = self.present().kind == SourceKind::ChangeLog;
        self.at = match was_current {
            true if of_change_log || self.all.len() == 1 => self.at,
            true => usize::from(self.at == 0),
            false => (self.at + 1) % self.all.len(),
        };
        self.present()
    }
}
