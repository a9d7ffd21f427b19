//! The order in which small indices were last touched: a linked list laid over their slots.

const NONE: u32 = u32::MAX;

/// Keeps indices from the most to the least recently touched.
#[derive(Debug, Clone)]
pub struct Recent {
    links: Vec<(u32, u32)>,
    listed: Vec<bool>,
    head: u32,
    tail: u32,
    len: usize,
}

impl Default for Recent {
    fn default() -> Self {
        Recent { links: Vec::new(), listed: Vec::new(), head: NONE, tail: NONE, len: 0 }
    }
}

impl Recent {
    /// How many indices are listed.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether `index` is listed.
    pub fn holds(&self, index: u32) -> bool {
        self.listed.get(index as usize).copied().unwrap_or(false)
    }

    /// Lists `index` as the most recent.
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

    /// Takes the least recent index off the list.
    pub fn drop_oldest(&mut self) -> Option<u32> {
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
