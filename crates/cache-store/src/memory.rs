//! The memory tier: copies whose bytes are shared by all who are sent them, bounded with all overhead. Of too many,
//! the lowest rank goes first, and of that what was used longest ago.

use crate::record::{Facts, Key};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// What a copy takes besides its bytes: key, facts, entries in two maps and the allocations' own.
const OVERHEAD: usize = 320;

#[derive(Debug)]
struct Held {
    facts: Facts,
    body: Arc<[u8]>,
    rank: u8,
    used: u64,
}

/// Copies in memory.
#[derive(Debug)]
pub struct Memory {
    most_bytes: usize,
    bytes: usize,
    held: HashMap<Key, Held>,
    /// In the order in which they go.
    order: BTreeSet<(u8, u64, Key)>,
    used: u64,
}

impl Memory {
    /// Room for so many bytes, overhead counted.
    pub fn new(most_bytes: usize) -> Self {
        Memory { most_bytes, bytes: 0, held: HashMap::new(), order: BTreeSet::new(), used: 0 }
    }

    /// Bytes in use, overhead counted.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many copies there are.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The copy under a key, which counts as used and gets this rank.
    pub fn get(&mut self, key: &Key, rank: u8) -> Option<(Facts, Arc<[u8]>)> {
        let held = self.held.get_mut(key)?;
        self.order.remove(&(held.rank, held.used, *key));
        self.used += 1;
        (held.rank, held.used) = (rank, self.used);
        self.order.insert((held.rank, held.used, *key));
        Some((held.facts, held.body.clone()))
    }

    /// Keeps a copy; those of lower rank, or as low and used longer ago, make room for it. Tells whether it is kept.
    pub fn put(&mut self, key: Key, facts: Facts, rank: u8, body: Arc<[u8]>) -> bool {
        self.remove(&key);
        let bytes = body.len() + OVERHEAD;
        if bytes > self.most_bytes {
            return false;
        }
        while self.bytes + bytes > self.most_bytes {
            let _ = match self.order.first().copied() {
                Some((least, _, first)) if least <= rank => self.remove(&first),
                _ => return false,
            };
        }
        self.used += 1;
        self.order.insert((rank, self.used, key));
        self.held.insert(key, Held { facts, body, rank, used: self.used });
        self.bytes += bytes;
        true
    }

    /// Lets a copy go.
    pub fn remove(&mut self, key: &Key) -> bool {
        let Some(held) = self.held.remove(key) else { return false };
        self.order.remove(&(held.rank, held.used, *key));
        self.bytes -= held.body.len() + OVERHEAD;
        true
    }

    /// Lets all copies go that are meant: those of a purge.
    pub fn remove_all(&mut self, meant: impl Fn(&Key, &Facts) -> bool) -> usize {
        let gone: Vec<_> =
            self.held.iter().filter(|(key, held)| meant(key, &held.facts)).map(|(key, _)| *key).collect();
        for key in &gone {
            self.remove(key);
        }
        gone.len()
    }

    /// Takes a smaller or larger bound.
    pub fn limit(&mut self, most_bytes: usize) {
        self.most_bytes = most_bytes;
        while self.bytes > most_bytes {
            let Some((_, _, first)) = self.order.first().copied() else { return };
            self.remove(&first);
        }
    }
}
