//! Chance: a multiply-with-carry generator, so that a seed alone settles every draw.

/// Multiply-with-carry generator with 32-bit digits.
#[derive(Debug, Clone)]
pub struct Chance(u64);

impl Chance {
    /// Starts from a seed; the two digits are kept off the generator's fixed points.
    pub fn new(seed: u64) -> Self {
        let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        Chance((mixed % 0xFFFF_FFFE_0000_0000).max(1))
    }

    /// The next 32-bit digit.
    pub fn digit(&mut self) -> u32 {
        self.0 = 4_294_957_665 * (self.0 & 0xFFFF_FFFF) + (self.0 >> 32);
        self.0 as u32
    }

    /// A share in [0, 1).
    pub fn share(&mut self) -> f64 {
        f64::from(self.digit()) / 4_294_967_296.0
    }
}
