//! Decides which source a replica connects to next.

use crate::config::{Source, SourceKind};

/// The sources in the order in which they are tried, and the one that is followed or connected to.
#[derive(Debug)]
pub struct Sources {
    all: Vec<Source>,
    index: usize,
}

impl Sources {
    /// Begins with the first source. `all` must not be empty.
    pub fn new(all: Vec<Source>) -> Self {
        Sources { all, index: 0 }
    }

    /// The number of sources.
    pub fn count(&self) -> u32 {
        self.all.len() as u32
    }

    /// The source that is followed or connected to.
    pub fn current(&self) -> Source {
        self.all[self.index]
    }

    /// The stream ended or the connection failed: selects the next source. If the stream was current, the change log is
    /// tried once more, because it may only have been restarted, and a replica is replaced by the first other source.
    /// After a failed attempt the sources are tried in turn.
    pub fn next_after_loss(&mut self, was_current: bool) -> Source {
        let of_change_log = self.current().kind == SourceKind::ChangeLog;
        self.index = match was_current {
            true if of_change_log || self.all.len() == 1 => self.index,
            true => usize::from(self.index == 0),
            false => (self.index + 1) % self.all.len(),
        };
        self.current()
    }
}
