//! A frequency sketch: how often keys were seen lately, in a fixed number of small counters. A baseline of admission.

use copperroute_routing::interface::mix;

/// Rows of counters; an estimate is the least of them.
const ROWS: usize = 4;

/// Counters of four bits, halved when as many have been counted as there are counters.
#[derive(Debug, Clone)]
pub struct Sketch {
    counters: Vec<u8>,
    mask: usize,
    counted: usize,
}

impl Sketch {
    /// For about so many keys.
    pub fn new(keys: usize) -> Self {
        let width = keys.max(16).next_power_of_two();
        Sketch { counters: vec![0; width * ROWS / 2], mask: width - 1, counted: 0 }
    }

    fn place(&self, row: usize, print: u64) -> (usize, u8) {
        let at = (mix(print ^ (row as u64) << 61) as usize & self.mask) + row * (self.mask + 1);
        (at / 2, (at % 2 * 4) as u8)
    }

    /// How often a key was seen, or a little more; 15 at most.
    pub fn seen(&self, print: u64) -> u8 {
        let of = |row| {
            let (at, shift) = self.place(row, print);
            self.counters[at] >> shift & 15
        };
        (0..ROWS).map(of).min().unwrap_or(0)
    }

    /// A key is seen.
    pub fn count(&mut self, print: u64) {
        for row in 0..ROWS {
            let (at, shift) = self.place(row, print);
            if self.counters[at] >> shift & 15 < 15 {
                self.counters[at] += 1 << shift;
            }
        }
        self.counted += 1;
        if self.counted > 8 * (self.mask + 1) {
            // Both halves of a byte at once.
            self.counters.iter_mut().for_each(|pair| *pair = *pair >> 1 & 0x77);
            self.counted /= 2;
        }
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.counters.len()
    }
}
