//! The receive buffer of the decoders: takes received bytes and returns lines and blocks of bytes from its front. Also
//! parses decimal numbers and lists of fields.

use std::fmt;

/// Capacity in bytes that an empty buffer keeps.
const SPARE_CAPACITY_BYTES: usize = 1024;

/// A buffer that grows has one part in this many of its length spare.
const GROWTH_DIVISOR: usize = 8;

/// Why the bytes of a connection can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The received bytes of a connection that are not decoded yet.
#[derive(Debug, Default)]
pub struct ReceiveBuffer {
    bytes: Vec<u8>,
    consumed: usize,
    /// There is no line feed before this index.
    searched: usize,
}

impl ReceiveBuffer {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.searched = self.searched.saturating_sub(self.consumed);
            self.consumed = 0;
        }
        self.reserve(bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Makes room for more bytes, and for as much again as one part in [`GROWTH_DIVISOR`] of what is there: a vector by
    /// itself would take up to twice of what it holds.
    fn reserve(&mut self, count: usize) {
        if self.bytes.capacity() - self.bytes.len() < count {
            self.bytes.reserve_exact(count.max(self.bytes.len() / GROWTH_DIVISOR));
        }
    }

    /// Drops up to `count` bytes from the front; returns how many.
    pub fn skip(&mut self, count: usize) -> usize {
        let skipped = count.min(self.len());
        self.consumed += skipped;
        self.searched = self.searched.max(self.consumed);
        skipped
    }

    /// The memory that the buffer takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Takes a line of at most `limit` bytes, without its line end; `None` if it is not complete.
    pub fn take_line(&mut self, limit: usize) -> Result<Option<String>, DecodeError> {
        let from = self.searched.max(self.consumed);
        let Some(found) = self.bytes[from..].iter().position(|byte| *byte == b'\n') else {
            self.searched = self.bytes.len();
            return match self.bytes.len() - self.consumed > limit {
                true => Err(DecodeError(format!("a line of more than {limit} bytes"))),
                false => Ok(None),
            };
        };
        let line = &self.bytes[self.consumed..from + found];
        if line.len() > limit + 1 {
            return Err(DecodeError(format!("a line of more than {limit} bytes")));
        }
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let line = std::str::from_utf8(line).map_err(|_| DecodeError("a line that is not UTF-8".into()));
        let line = line.map(str::to_string);
        self.consumed = from + found + 1;
        line.map(Some)
    }

    /// Releases the memory of consumed bytes, and capacity that is no longer needed.
    pub fn release_spare_memory(&mut self) {
        self.bytes.drain(..self.consumed);
        self.searched = self.searched.saturating_sub(self.consumed);
        self.consumed = 0;
        if self.bytes.capacity() > self.bytes.len() + self.bytes.len() / GROWTH_DIVISOR + SPARE_CAPACITY_BYTES
        {
            self.bytes.shrink_to(self.bytes.len());
        }
    }

    /// Takes `length` bytes and the line end after them; `None` if they are not complete.
    pub fn take_block(&mut self, length: usize) -> Result<Option<Vec<u8>>, DecodeError> {
        let end = self.consumed + length;
        if self.bytes.len() < end + 2 {
            return Ok(None);
        }
        if &self.bytes[end..end + 2] != b"\r\n" {
            return Err(DecodeError(format!("no line end after {length} bytes")));
        }
        let block = self.bytes[self.consumed..end].to_vec();
        self.consumed = end + 2;
        Ok(Some(block))
    }

    /// The number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Parses a number of plain decimal digits, without sign or leading zeros, up to `limit`.
pub fn parse_decimal(text: &str, limit: u64) -> Option<u64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit()) && (text == "0" || !text.starts_with('0'));
    text.parse().ok().filter(|number| plain && *number <= limit)
}

/// The fields of a `name=value,name=value` list; items without `=` are ignored.
pub fn parse_fields(list: &str) -> impl Iterator<Item = (&str, &str)> {
    list.split(',').filter_map(|pair| pair.split_once('='))
}
