//! Purges heard of lately, by object and by group.

use crate::interface::Nanos;

#[derive(Debug, Clone, Copy)]
struct Purge {
    hash: u64,
    group: bool,
    at: Nanos,
}

/// The purges of the recent past.
#[derive(Debug, Clone, Default)]
pub struct Purges(Vec<Purge>);

impl Purges {
    /// Notes that an object (by its hash) or a group was purged at a time.
    pub fn add(&mut self, hash: u64, group: bool, at: Nanos) {
        self.0.push(Purge { hash, group, at });
    }

    /// Forgets the purges that are older than `span`.
    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        self.0.retain(|p| now.since(p.at) <= span);
    }

    /// When this object, or its group, was last purged.
    pub fn last(&self, object: u64, group: Option<u64>) -> Option<Nanos> {
        let meant = |p: &&Purge| if p.group { group == Some(p.hash) } else { object == p.hash };
        self.0.iter().filter(meant).map(|p| p.at).max()
    }
}
