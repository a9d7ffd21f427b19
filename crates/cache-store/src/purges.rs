//! The last purge of each object and each group, kept for as long as copies made before it may exist. Tells whether a
//! copy predates a purge. State only, no input or output.

use std::collections::HashMap;

/// Purged objects or groups, each with the time of its last purge in Unix milliseconds.
pub type Timestamped<T> = Vec<(T, u64)>;

/// When objects and groups were last purged, by the origin's clock, and the position reached in the change log.
#[derive(Debug, Clone, Default)]
pub struct Purges {
    objects: HashMap<[u8; 16], u64>,
    groups: HashMap<u8, u64>,
    /// Number of the last change log event that has been applied.
    seq: u64,
}

impl Purges {
    /// Records the purge of an object by a change log event.
    pub fn object(&mut self, object: [u8; 16], at_ms: u64, seq: u64) {
        let last = self.objects.entry(object).or_default();
        *last = (*last).max(at_ms);
        self.seq = self.seq.max(seq);
    }

    /// Records the purge of a group by a change log event.
    pub fn group(&mut self, group: u8, at_ms: u64, seq: u64) {
        let last = self.groups.entry(group).or_default();
        *last = (*last).max(at_ms);
        self.seq = self.seq.max(seq);
    }

    /// Whether a copy may predate the last purge of its object or group. A copy made in the same millisecond as the
    /// purge counts as older; a copy whose group is not known counts as a member of every group.
    pub fn forbid(&self, object: &[u8; 16], group: Option<u8>, made_ms: u64) -> bool {
        let of_group = match group {
            Some(group) => self.groups.get(&group),
            None => self.groups.values().max(),
        };
        let last = [self.objects.get(object), of_group];
        last.into_iter().flatten().any(|at| made_ms <= *at)
    }

    /// Number of the last change log event that has been applied.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Marks all events up to this one as applied, whatever their kind.
    pub fn advance_to(&mut self, seq: u64) {
        self.seq = self.seq.max(seq);
    }

    /// Forgets purges before `oldest_made_ms`: every remaining copy was made at that time or later.
    pub fn forget_before(&mut self, oldest_made_ms: u64) {
        self.objects.retain(|_, at| *at >= oldest_made_ms);
        self.groups.retain(|_, at| *at >= oldest_made_ms);
    }

    /// Number of purged objects and groups that are remembered.
    pub fn len(&self) -> usize {
        self.objects.len() + self.groups.len()
    }

    /// Whether no purge is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All remembered purges, sorted by object and by group.
    pub fn sorted(&self) -> (Timestamped<[u8; 16]>, Timestamped<u8>) {
        let mut objects: Vec<_> = self.objects.iter().map(|(object, at)| (*object, *at)).collect();
        let mut groups: Vec<_> = self.groups.iter().map(|(group, at)| (*group, *at)).collect();
        objects.sort_unstable();
        groups.sort_unstable();
        (objects, groups)
    }
}
