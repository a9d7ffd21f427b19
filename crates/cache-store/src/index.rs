//! Where copies lie: an open-addressed table of 24 bytes an entry. Fingerprints stand for keys; the record itself
//! tells whether it is of the key that was meant.

/// Where a copy lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The segment.
    pub segment: u32,
    /// Where its record begins there.
    pub offset: u32,
    /// The length of its body.
    pub length: u32,
    /// The rank that it was kept at.
    pub rank: u8,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Zero for an empty place.
    print: u64,
    segment: u32,
    offset: u32,
    /// Length in the low 24 bits, rank above.
    length: u32,
    /// How far from its own place it stands.
    away: u32,
}

const EMPTY: Entry = Entry { print: 0, segment: 0, offset: 0, length: 0, away: 0 };
const LEAST: usize = 16;

/// A robin-hood table of fingerprints, at most seven eighths full.
#[derive(Debug, Clone)]
pub struct Index {
    entries: Vec<Entry>,
    len: usize,
}

impl Default for Index {
    fn default() -> Self {
        Index { entries: vec![EMPTY; LEAST], len: 0 }
    }
}

impl Index {
    /// An empty table with room for so many. What comes in the order of another table would crowd in one that grows.
    pub fn with_room(copies: usize) -> Self {
        let places = (copies * 8 / 7 + 1).next_power_of_two().max(LEAST);
        Index { entries: vec![EMPTY; places], len: 0 }
    }

    /// How many copies there are.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes that the table takes.
    pub fn bytes(&self) -> usize {
        self.entries.len() * size_of::<Entry>()
    }

    fn home(&self, print: u64) -> usize {
        (print as usize) & (self.entries.len() - 1)
    }

    fn find(&self, print: u64) -> Option<usize> {
        let print = print.max(1);
        let mut at = self.home(print);
        for away in 0.. {
            let entry = &self.entries[at];
            if entry.print == print {
                return Some(at);
            }
            if entry.print == 0 || entry.away < away {
                return None;
            }
            at = (at + 1) & (self.entries.len() - 1);
        }
        None
    }

    /// The copy under a fingerprint.
    pub fn get(&self, print: u64) -> Option<Place> {
        self.find(print).map(|at| {
            let entry = &self.entries[at];
            let (length, rank) = (entry.length & 0x00ff_ffff, (entry.length >> 24) as u8);
            Place { segment: entry.segment, offset: entry.offset, length, rank }
        })
    }

    /// Puts a copy under a fingerprint; returns the one that was there.
    pub fn put(&mut self, print: u64, place: Place) -> Option<Place> {
        let print = print.max(1);
        let old = self.get(print);
        let length = place.length & 0x00ff_ffff | u32::from(place.rank) << 24;
        let entry = Entry { print, segment: place.segment, offset: place.offset, length, away: 0 };
        if let Some(at) = self.find(print) {
            self.entries[at] = Entry { away: self.entries[at].away, ..entry };
            return old;
        }
        if (self.len + 1) * 8 > self.entries.len() * 7 {
            let bigger = vec![EMPTY; self.entries.len() * 2];
            let entries = std::mem::replace(&mut self.entries, bigger);
            entries.into_iter().filter(|entry| entry.print != 0).for_each(|entry| self.insert(entry));
        }
        self.insert(entry);
        self.len += 1;
        None
    }

    fn insert(&mut self, mut entry: Entry) {
        entry.away = 0;
        let mut at = self.home(entry.print);
        loop {
            let there = &mut self.entries[at];
            if there.print == 0 {
                *there = entry;
                return;
            }
            if there.away < entry.away {
                std::mem::swap(there, &mut entry);
            }
            entry.away += 1;
            at = (at + 1) & (self.entries.len() - 1);
        }
    }

    /// Takes a copy out.
    pub fn remove(&mut self, print: u64) -> Option<Place> {
        let old = self.get(print)?;
        let mut at = self.find(print)?;
        // Those behind it move one place back, up to one that stands at its own.
        loop {
            let next = (at + 1) & (self.entries.len() - 1);
            let behind = self.entries[next];
            if behind.print == 0 || behind.away == 0 {
                self.entries[at] = EMPTY;
                break;
            }
            self.entries[at] = Entry { away: behind.away - 1, ..behind };
            at = next;
        }
        self.len -= 1;
        Some(old)
    }

    /// All copies, by fingerprint, in the table's order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, Place)> + '_ {
        self.entries.iter().filter(|entry| entry.print != 0).map(|entry| {
            let (length, rank) = (entry.length & 0x00ff_ffff, (entry.length >> 24) as u8);
            (entry.print, Place { segment: entry.segment, offset: entry.offset, length, rank })
        })
    }

    /// Keeps the copies that are meant.
    pub fn retain(&mut self, mut meant: impl FnMut(u64, &Place) -> bool) {
        let gone: Vec<_> =
            self.iter().filter(|(print, place)| !meant(*print, place)).map(|(print, _)| print).collect();
        for print in gone {
            self.remove(print);
        }
    }
}
