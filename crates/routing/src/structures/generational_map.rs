//! A bounded map whose entries expire. It consists of two generations of entries, of which the older is dropped as a
//! whole.

use crate::interface::Nanos;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Uses a key as its own hash: keys are hashes already.
#[derive(Debug, Default, Clone)]
pub struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.0 = self.0.rotate_left(8) ^ u64::from(*byte));
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

type Generation<V> = HashMap<u64, V, BuildHasherDefault<IdentityHasher>>;

/// A map from 64-bit hashes to values. An entry is kept for at least `span` after it was last inserted and for at most
/// twice that. When there are more entries than fit, the older generation is dropped early, which
/// [`Self::has_lost_entries`] reports.
#[derive(Debug, Clone)]
pub struct GenerationalMap<V> {
    span: Nanos,
    max_entries: usize,
    young: Generation<V>,
    old: Generation<V>,
    /// When the generations were last rotated.
    rotated_at: Nanos,
    /// When entries were last dropped before they expired.
    dropped_early_at: Option<Nanos>,
}

impl<V> GenerationalMap<V> {
    /// An empty map that keeps entries for `span` and holds at most `max_entries` of them.
    pub fn new(span: Nanos, max_entries: usize) -> Self {
        let (young, old) = (Generation::default(), Generation::default());
        let max_entries = max_entries.max(2);
        GenerationalMap { span, max_entries, young, old, rotated_at: Nanos::ZERO, dropped_early_at: None }
    }

    /// Drops expired entries.
    pub fn rotate(&mut self, now: Nanos) {
        if now.since(self.rotated_at) >= self.span {
            // After a long idle time both generations have expired.
            if now.since(self.rotated_at) >= Nanos(self.span.0.saturating_mul(2)) {
                self.young = Generation::default();
            }
            self.old = std::mem::take(&mut self.young);
            self.rotated_at = now;
        }
    }

    /// The entry of a key.
    pub fn get(&self, key: u64) -> Option<&V> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// Removes the entry of a key and returns it.
    pub fn remove(&mut self, key: u64) -> Option<V> {
        self.young.remove(&key).or_else(|| self.old.remove(&key))
    }

    /// Inserts or replaces the entry of a key.
    pub fn insert(&mut self, now: Nanos, key: u64, entry: V) {
        self.rotate(now);
        if self.young.len() >= self.max_entries / 2 && !self.young.contains_key(&key) {
            if !self.old.is_empty() {
                self.dropped_early_at = Some(now);
            }
            self.old = std::mem::take(&mut self.young);
            self.rotated_at = now;
        }
        self.old.remove(&key);
        self.young.insert(key, entry);
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether an entry that had not expired may have been dropped for lack of room within the last `span`.
    pub fn has_lost_entries(&self, now: Nanos) -> bool {
        self.dropped_early_at.is_some_and(|at| now.since(at) < self.span)
    }
}
