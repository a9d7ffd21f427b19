//! Index of the disk tier: maps the fingerprint of a key to the position of its record in the log. An open-addressed
//! hash table of 24 bytes per entry. Keys can share a fingerprint, so readers compare the key in the record.

/// Position of a copy's record in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordPosition {
    /// Number of the segment.
    pub segment: u32,
    /// Offset of the record in the segment, in bytes.
    pub offset: u32,
    /// Length of the body, in bytes; less than 2^24.
    pub length: u32,
    /// The rank that admission gave the copy.
    pub rank: u8,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Zero for an empty slot.
    fingerprint: u64,
    segment: u32,
    offset: u32,
    /// Length of the body in the low 24 bits, rank in the high 8.
    length: u32,
    /// Number of slots between its home slot and this one.
    probe_distance: u32,
}

const EMPTY: Entry = Entry { fingerprint: 0, segment: 0, offset: 0, length: 0, probe_distance: 0 };
/// Smallest number of slots.
const MIN_SLOTS: usize = 16;

/// A hash table with Robin Hood probing, at most seven eighths full.
#[derive(Debug, Clone)]
pub struct Index {
    entries: Vec<Entry>,
    len: usize,
}

impl Default for Index {
    fn default() -> Self {
        Index { entries: vec![EMPTY; MIN_SLOTS], len: 0 }
    }
}

impl Index {
    /// An empty table with room for so many copies. Inserting entries in the slot order of another table clusters them
    /// in a table that grows meanwhile; this one does not grow.
    pub fn with_capacity(copies: usize) -> Self {
        let slots = (copies * 8 / 7 + 1).next_power_of_two().max(MIN_SLOTS);
        Index { entries: vec![EMPTY; slots], len: 0 }
    }

    /// Number of copies.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds no copies.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory that the table takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.entries.len() * size_of::<Entry>()
    }

    fn home_slot(&self, fingerprint: u64) -> usize {
        (fingerprint as usize) & (self.entries.len() - 1)
    }

    fn find_slot(&self, fingerprint: u64) -> Option<usize> {
        let fingerprint = fingerprint.max(1);
        let mut at = self.home_slot(fingerprint);
        for probe_distance in 0.. {
            let entry = &self.entries[at];
            if entry.fingerprint == fingerprint {
                return Some(at);
            }
            if entry.fingerprint == 0 || entry.probe_distance < probe_distance {
                return None;
            }
            at = (at + 1) & (self.entries.len() - 1);
        }
        None
    }

    /// The position stored for a fingerprint.
    pub fn get(&self, fingerprint: u64) -> Option<RecordPosition> {
        self.find_slot(fingerprint).map(|at| {
            let entry = &self.entries[at];
            let (length, rank) = (entry.length & 0x00ff_ffff, (entry.length >> 24) as u8);
            RecordPosition { segment: entry.segment, offset: entry.offset, length, rank }
        })
    }

    /// Stores a position for a fingerprint and returns the one that it replaces.
    pub fn put(&mut self, fingerprint: u64, position: RecordPosition) -> Option<RecordPosition> {
        let fingerprint = fingerprint.max(1);
        let old = self.get(fingerprint);
        let length = position.length & 0x00ff_ffff | u32::from(position.rank) << 24;
        let entry = Entry {
            fingerprint,
            segment: position.segment,
            offset: position.offset,
            length,
            probe_distance: 0,
        };
        if let Some(at) = self.find_slot(fingerprint) {
            self.entries[at] = Entry { probe_distance: self.entries[at].probe_distance, ..entry };
            return old;
        }
        if (self.len + 1) * 8 > self.entries.len() * 7 {
            let larger = vec![EMPTY; self.entries.len() * 2];
            let entries = std::mem::replace(&mut self.entries, larger);
            entries
                .into_iter()
                .filter(|entry| entry.fingerprint != 0)
                .for_each(|entry| self.insert_entry(entry));
        }
        self.insert_entry(entry);
        self.len += 1;
        None
    }

    fn insert_entry(&mut self, mut entry: Entry) {
        entry.probe_distance = 0;
        let mut at = self.home_slot(entry.fingerprint);
        loop {
            let occupant = &mut self.entries[at];
            if occupant.fingerprint == 0 {
                *occupant = entry;
                return;
            }
            if occupant.probe_distance < entry.probe_distance {
                std::mem::swap(occupant, &mut entry);
            }
            entry.probe_distance += 1;
            at = (at + 1) & (self.entries.len() - 1);
        }
    }

    /// Removes a fingerprint and returns its position.
    pub fn remove(&mut self, fingerprint: u64) -> Option<RecordPosition> {
        let old = self.get(fingerprint)?;
        let mut at = self.find_slot(fingerprint)?;
        // Entries after it move one slot back, up to one that is in its home slot.
        loop {
            let next = (at + 1) & (self.entries.len() - 1);
            let following = self.entries[next];
            if following.fingerprint == 0 || following.probe_distance == 0 {
                self.entries[at] = EMPTY;
                break;
            }
            self.entries[at] = Entry { probe_distance: following.probe_distance - 1, ..following };
            at = next;
        }
        self.len -= 1;
        Some(old)
    }

    /// All fingerprints with their positions, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, RecordPosition)> + '_ {
        self.entries.iter().filter(|entry| entry.fingerprint != 0).map(|entry| {
            let (length, rank) = (entry.length & 0x00ff_ffff, (entry.length >> 24) as u8);
            (entry.fingerprint, RecordPosition { segment: entry.segment, offset: entry.offset, length, rank })
        })
    }

    /// Keeps only the copies for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(u64, &RecordPosition) -> bool) {
        let removed: Vec<_> = self
            .iter()
            .filter(|(fingerprint, position)| !keep(*fingerprint, position))
            .map(|(fingerprint, _)| fingerprint)
            .collect();
        for fingerprint in removed {
            self.remove(fingerprint);
        }
    }
}
