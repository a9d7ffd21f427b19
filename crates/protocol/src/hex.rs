//! Sixteen hex digits: the form of request ids, object ids, and the tags of copies.

use std::fmt;

/// Sixteen hex digits, passed on unchanged in upper or lower case.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hex([u8; 16]);

impl Hex {
    /// Parses a text; `None` if it is not sixteen hex digits.
    pub fn parse(text: &str) -> Option<Hex> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Hex(digits))
    }

    /// The digits as ASCII bytes.
    pub fn bytes(&self) -> [u8; 16] {
        self.0
    }

    /// The digits as text.
    pub fn as_str(&self) -> &str {
        // Always valid: `parse` accepts only ASCII digits.
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
