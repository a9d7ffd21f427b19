//! Bytes that have come and are not decoded yet.

use std::fmt;

/// Room that a connection keeps though nothing waits.
const SPARE: usize = 1024;

/// Why a connection's bytes can't be read on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A connection's bytes, taken from the front.
#[derive(Debug, Default)]
pub struct ReceiveBuffer {
    bytes: Vec<u8>,
    taken: usize,
    /// Up to here there is no line feed.
    searched: usize,
}

impl ReceiveBuffer {
    /// Adds bytes at the end.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.taken > 0 {
            self.bytes.drain(..self.taken);
            self.searched = self.searched.saturating_sub(self.taken);
            self.taken = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes a line of at most `most` bytes, without its ending.
    pub fn take_line(&mut self, most: usize) -> Result<Option<String>, DecodeError> {
        let from = self.searched.max(self.taken);
        let Some(found) = self.bytes[from..].iter().position(|byte| *byte == b'\n') else {
            self.searched = self.bytes.len();
            return match self.bytes.len() - self.taken > most {
                true => Err(DecodeError(format!("a line of more than {most} bytes"))),
                false => Ok(None),
            };
        };
        let line = &self.bytes[self.taken..from + found];
        if line.len() > most + 1 {
            return Err(DecodeError(format!("a line of more than {most} bytes")));
        }
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let line = std::str::from_utf8(line).map_err(|_| DecodeError("a line that is no UTF-8".into()));
        let line = line.map(str::to_string);
        self.taken = from + found + 1;
        line.map(Some)
    }

    /// Lets go of what was taken, and of room that was needed for a moment only.
    pub fn release_spare_memory(&mut self) {
        self.bytes.drain(..self.taken);
        self.searched = self.searched.saturating_sub(self.taken);
        self.taken = 0;
        if self.bytes.capacity() > 2 * self.bytes.len() + SPARE {
            self.bytes.shrink_to(self.bytes.len());
        }
    }

    /// Takes `length` bytes and the line end behind them, once all are there.
    pub fn take_block(&mut self, length: usize) -> Result<Option<Vec<u8>>, DecodeError> {
        let end = self.taken + length;
        if self.bytes.len() < end + 2 {
            return Ok(None);
        }
        if &self.bytes[end..end + 2] != b"\r\n" {
            return Err(DecodeError(format!("no line end after {length} bytes")));
        }
        let block = self.bytes[self.taken..end].to_vec();
        self.taken = end + 2;
        Ok(Some(block))
    }

    /// How many bytes wait.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.taken
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A number in plain decimal digits, of at most this.
pub fn parse_decimal(text: &str, most: u64) -> Option<u64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit()) && (text == "0" || !text.starts_with('0'));
    text.parse().ok().filter(|number| plain && *number <= most)
}

/// The fields of a `name=value,name=value` list.
pub fn parse_fields(list: &str) -> impl Iterator<Item = (&str, &str)> {
    list.split(',').filter_map(|pair| pair.split_once('='))
}
