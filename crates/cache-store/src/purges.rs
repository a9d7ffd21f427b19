//! Purges that copies on disk must be held against, for as long as such copies may lie about: the last of each object
//! and group. State only, no input or output.

use std::collections::HashMap;

/// What was purged, each with the last Unix millisecond at which it was.
pub type Dated<T> = Vec<(T, u64)>;

/// When objects and groups were last purged, by the origin's clock.
#[derive(Debug, Clone, Default)]
pub struct Purges {
    objects: HashMap<[u8; 16], u64>,
    groups: HashMap<u8, u64>,
    /// The number of the last event of the change log that has been heeded.
    seq: u64,
}

impl Purges {
    /// An object was purged.
    pub fn object(&mut self, object: [u8; 16], at_ms: u64, seq: u64) {
        let last = self.objects.entry(object).or_default();
        *last = (*last).max(at_ms);
        self.seq = self.seq.max(seq);
    }

    /// A group was.
    pub fn group(&mut self, group: u8, at_ms: u64, seq: u64) {
        let last = self.groups.entry(group).or_default();
        *last = (*last).max(at_ms);
        self.seq = self.seq.max(seq);
    }

    /// Whether a copy was made before its object, or its group, was last purged. One made in the same millisecond
    /// may be either: it counts as before. One whose group is not known may be in any.
    pub fn forbid(&self, object: &[u8; 16], group: Option<u8>, made_ms: u64) -> bool {
        let of_group = match group {
            Some(group) => self.groups.get(&group),
            None => self.groups.values().max(),
        };
        let last = [self.objects.get(object), of_group];
        last.into_iter().flatten().any(|at| made_ms <= *at)
    }

    /// The number of the last event that has been heeded.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Events up to this one have been heeded, whatever they were.
    pub fn reach(&mut self, seq: u64) {
        self.seq = self.seq.max(seq);
    }

    /// Forgets purges of objects of which no copy made before them is left.
    pub fn forget_before(&mut self, oldest_made_ms: u64) {
        self.objects.retain(|_, at| *at >= oldest_made_ms);
        self.groups.retain(|_, at| *at >= oldest_made_ms);
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.objects.len() + self.groups.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All that are remembered, in an order of their own.
    pub fn all(&self) -> (Dated<[u8; 16]>, Dated<u8>) {
        let mut objects: Vec<_> = self.objects.iter().map(|(object, at)| (*object, *at)).collect();
        let mut groups: Vec<_> = self.groups.iter().map(|(group, at)| (*group, *at)).collect();
        objects.sort_unstable();
        groups.sort_unstable();
        (objects, groups)
    }
}
