//! Maps external ids to small indices (slots), which are reused once released.

use std::collections::HashMap;
use std::hash::Hash;

/// A map from external ids of one kind to slots.
#[derive(Debug, Clone)]
pub struct Ids<K> {
    slot_by_key: HashMap<K, u32>,
    keys: Vec<K>,
    free: Vec<u32>,
}

impl<K> Default for Ids<K> {
    fn default() -> Self {
        Ids { slot_by_key: HashMap::new(), keys: Vec::new(), free: Vec::new() }
    }
}

impl<K: Clone + Eq + Hash> Ids<K> {
    /// The slot of a key; a new key is assigned a free slot.
    pub fn get_or_assign(&mut self, key: K) -> u32 {
        if let Some(slot) = self.slot_by_key.get(&key) {
            return *slot;
        }
        let slot = self.free.pop().unwrap_or(self.keys.len() as u32);
        match self.keys.get_mut(slot as usize) {
            Some(old) => *old = key.clone(),
            None => self.keys.push(key.clone()),
        }
        self.slot_by_key.insert(key, slot);
        slot
    }

    /// The slot of a key, if it has one.
    pub fn get(&self, key: &K) -> Option<u32> {
        self.slot_by_key.get(key).copied()
    }

    /// The key that a slot was last assigned to.
    pub fn key(&self, slot: u32) -> &K {
        &self.keys[slot as usize]
    }

    /// The number of slots, free ones included.
    pub fn slot_count(&self) -> u32 {
        self.keys.len() as u32
    }

    /// Releases a slot, which may be assigned to another key.
    pub fn release(&mut self, slot: u32) {
        if self.slot_by_key.remove(&self.keys[slot as usize]).is_some() {
            self.free.push(slot);
        }
    }
}
