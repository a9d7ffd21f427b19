//! The memory tier: copies in memory, bounded in bytes including overhead. A copy's bytes are shared with the responses
//! that send them. When space runs out, copies of the lowest rank are evicted first, least recently used first.

use crate::record::{Facts, Key};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Bytes that a copy takes besides its body: key, metadata, entries in two maps and overhead of the allocator.
const ENTRY_OVERHEAD_BYTES: usize = 320;

#[derive(Debug)]
struct Entry {
    facts: Facts,
    body: Arc<[u8]>,
    rank: u8,
    /// Value of the use counter when it was last used.
    last_used: u64,
}

/// The memory tier.
#[derive(Debug)]
pub struct Memory {
    max_bytes: usize,
    bytes: usize,
    entries: HashMap<Key, Entry>,
    /// Rank, last use and key of each copy, in order of eviction.
    eviction_order: BTreeSet<(u8, u64, Key)>,
    /// Incremented at each use.
    use_counter: u64,
}

impl Memory {
    /// An empty tier of at most `max_bytes`, overhead included.
    pub fn new(max_bytes: usize) -> Self {
        Memory {
            max_bytes,
            bytes: 0,
            entries: HashMap::new(),
            eviction_order: BTreeSet::new(),
            use_counter: 0,
        }
    }

    /// Bytes in use, overhead included.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of copies.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it holds no copies.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the copy of a key, counts it as used and gives it this rank.
    pub fn get(&mut self, key: &Key, rank: u8) -> Option<(Facts, Arc<[u8]>)> {
        let entry = self.entries.get_mut(key)?;
        self.eviction_order.remove(&(entry.rank, entry.last_used, *key));
        self.use_counter += 1;
        (entry.rank, entry.last_used) = (rank, self.use_counter);
        self.eviction_order.insert((entry.rank, entry.last_used, *key));
        Some((entry.facts, entry.body.clone()))
    }

    /// Stores a copy and evicts others of the same or a lower rank if space is needed. Returns whether the copy is
    /// stored.
    pub fn put(&mut self, key: Key, facts: Facts, rank: u8, body: Arc<[u8]>) -> bool {
        self.remove(&key);
        let bytes = body.len() + ENTRY_OVERHEAD_BYTES;
        if bytes > self.max_bytes {
            return false;
        }
        while self.bytes + bytes > self.max_bytes {
            let _ = match self.eviction_order.first().copied() {
                Some((lowest, _, first)) if lowest <= rank => self.remove(&first),
                _ => return false,
            };
        }
        self.use_counter += 1;
        self.eviction_order.insert((rank, self.use_counter, key));
        self.entries.insert(key, Entry { facts, body, rank, last_used: self.use_counter });
        self.bytes += bytes;
        true
    }

    /// Removes a copy and returns whether there was one.
    pub fn remove(&mut self, key: &Key) -> bool {
        let Some(entry) = self.entries.remove(key) else { return false };
        self.eviction_order.remove(&(entry.rank, entry.last_used, *key));
        self.bytes -= entry.body.len() + ENTRY_OVERHEAD_BYTES;
        true
    }

    /// Removes all copies for which `matches` returns true, such as those of a purge, and returns their number.
    pub fn remove_all(&mut self, matches: impl Fn(&Key, &Facts) -> bool) -> usize {
        let matching = self.entries.iter().filter(|(key, entry)| matches(key, &entry.facts));
        let removed: Vec<_> = matching.map(|(key, _)| *key).collect();
        for key in &removed {
            self.remove(key);
        }
        removed.len()
    }

    /// Sets the bound and evicts copies until it is kept.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
        while self.bytes > max_bytes {
            let Some((_, _, first)) = self.eviction_order.first().copied() else { return };
            self.remove(&first);
        }
    }
}
