//! A frequency sketch (count-min): estimates how often each key was requested recently, in a fixed number of 4-bit
//! counters. Serves benchmarks as a baseline for admission.

use copperroute_routing::interface::mix;

/// Rows of counters. The estimate for a key is the smallest of its counters, one in each row.
const ROWS: usize = 4;

/// Counters of four bits. All are halved after eight requests per counter of a row.
#[derive(Debug, Clone)]
pub struct Sketch {
    counters: Vec<u8>,
    mask: usize,
    counted: usize,
}

impl Sketch {
    /// Makes a sketch for about so many distinct keys.
    pub fn new(keys: usize) -> Self {
        let width = keys.max(16).next_power_of_two();
        Sketch { counters: vec![0; width * ROWS / 2], mask: width - 1, counted: 0 }
    }

    /// Byte and bit offset of a key's counter in a row.
    fn counter(&self, row: usize, fingerprint: u64) -> (usize, u8) {
        let at = (mix(fingerprint ^ (row as u64) << 61) as usize & self.mask) + row * (self.mask + 1);
        (at / 2, (at % 2 * 4) as u8)
    }

    /// The number of requests counted for a key, or slightly more; at most 15.
    pub fn estimate(&self, fingerprint: u64) -> u8 {
        let count_in = |row| {
            let (at, shift) = self.counter(row, fingerprint);
            self.counters[at] >> shift & 15
        };
        (0..ROWS).map(count_in).min().unwrap_or(0)
    }

    /// Counts a request for a key.
    pub fn record(&mut self, fingerprint: u64) {
        for row in 0..ROWS {
            let (at, shift) = self.counter(row, fingerprint);
            if self.counters[at] >> shift & 15 < 15 {
                self.counters[at] += 1 << shift;
            }
        }
        self.counted += 1;
        if self.counted > 8 * (self.mask + 1) {
            // Halves both counters of a byte at once.
            self.counters.iter_mut().for_each(|pair| *pair = *pair >> 1 & 0x77);
            self.counted /= 2;
        }
    }

    /// Memory that the counters take, in bytes.
    pub fn bytes(&self) -> usize {
        self.counters.len()
    }
}
