//! Pseudo-random numbers: a multiply-with-carry generator, so that every draw follows from the seed alone.

/// A multiply-with-carry generator of 32-bit numbers.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// Seeds the generator, avoiding the states in which it would not change.
    pub fn new(seed: u64) -> Self {
        let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        Random((mixed % 0xFFFF_FFFE_0000_0000).max(1))
    }

    /// The next 32-bit number, uniformly distributed.
    pub fn next_u32(&mut self) -> u32 {
        self.0 = 4_294_957_665 * (self.0 & 0xFFFF_FFFF) + (self.0 >> 32);
        self.0 as u32
    }

    /// A number in [0, 1), uniformly distributed.
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }
}
