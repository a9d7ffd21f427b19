//! The most recently used of a set of small indices: an LRU list, doubly linked through an array of slots.

const NONE: u32 = u32::MAX;

/// Indices in the order of their last use, most recent first.
#[derive(Debug, Clone)]
pub struct RecencyWindow {
    /// The neighbours of each index: the more recent one, the less recent one.
    links: Vec<(u32, u32)>,
    listed: Vec<bool>,
    head: u32,
    tail: u32,
    len: usize,
}

impl Default for RecencyWindow {
    fn default() -> Self {
        RecencyWindow { links: Vec::new(), listed: Vec::new(), head: NONE, tail: NONE, len: 0 }
    }
}

impl RecencyWindow {
    /// The number of indices in the window.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the window is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether `index` is in the window.
    pub fn contains(&self, index: u32) -> bool {
        self.listed.get(index as usize).copied().unwrap_or(false)
    }

    /// Makes `index` the most recent, adding it if it is not in the window.
    pub fn touch(&mut self, index: u32) {
        let at = index as usize;
        if at >= self.links.len() {
            self.links.resize(at + 1, (NONE, NONE));
            self.listed.resize(at + 1, false);
        }
        if self.listed[at] {
            self.unlink(index);
        }
        self.links[at] = (NONE, self.head);
        if self.head == NONE {
            self.tail = index;
        } else {
            self.links[self.head as usize].0 = index;
        }
        self.head = index;
        self.listed[at] = true;
        self.len += 1;
    }

    /// Removes the least recent index and returns it.
    pub fn pop_oldest(&mut self) -> Option<u32> {
        if self.tail == NONE {
            return None;
        }
        let index = self.tail;
        self.unlink(index);
        Some(index)
    }

    fn unlink(&mut self, index: u32) {
        let (before, after) = self.links[index as usize];
        if before == NONE {
            self.head = after;
        } else {
            self.links[before as usize].1 = after;
        }
        if after == NONE {
            self.tail = before;
        } else {
            self.links[after as usize].0 = before;
        }
        self.listed[index as usize] = false;
        self.len -= 1;
    }
}
