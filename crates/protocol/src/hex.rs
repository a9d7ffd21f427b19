//! Sixteen hex digits: the form of ids of requests, of objects, and of the tags of copies.

use std::fmt;

/// Sixteen hex digits, passed on as they came.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hex([u8; 16]);

impl Hex {
    /// From a text of that form.
    pub fn parse(text: &str) -> Option<Hex> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Hex(digits))
    }

    /// The digits as bytes.
    pub fn bytes(&self) -> [u8; 16] {
        self.0
    }

    /// The digits.
    pub fn as_str(&self) -> &str {
        // Only digits get in.
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for Hex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Debug for Hex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
