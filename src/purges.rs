//! Purges heard of lately, by object and by group.

use crate::interface::Nanos;

/// What was purged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purged {
    /// An object, by its hash.
    Object(u64),
    /// A group of objects.
    Group(u64),
    /// It may have been anything: what was told of it is lost.
    Anything,
}

/// The purges of the recent past.
#[derive(Debug, Clone, Default)]
pub struct Purges(Vec<(Purged, Nanos)>);

impl Purges {
    /// Notes that something was purged at a time.
    pub fn add(&mut self, what: Purged, at: Nanos) {
        self.0.push((what, at));
    }

    /// Forgets the purges that are older than `span`.
    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        self.0.retain(|purge| now.since(purge.1) <= span);
    }

    /// When this object, or its group, was last purged.
    pub fn last(&self, object: u64, group: Option<u64>) -> Option<Nanos> {
        let meant = |purge: &&(Purged, Nanos)| match purge.0 {
            Purged::Object(hash) => object == hash,
            Purged::Group(of) => group == Some(of),
            Purged::Anything => true,
        };
        self.0.iter().filter(meant).map(|purge| purge.1).max()
    }
}
