//! The output of a connection that its socket has not taken yet. What the socket has taken is freed at once, also while
//! more output is added: a connection that always has something left to write keeps no more than that.
//!
//! No I/O; the event loops of dispatchers and replicas call it.
//!
//! *Owner*: each connection of an event loop has one queue. *Bound*: the bytes that were queued and not taken, which the
//! reducer counts, and one chunk.

use std::collections::VecDeque;

/// Output is appended to the last chunk up to this size, so that many short messages take one write.
const MAX_MERGED_BYTES: usize = 16 * 1024;

/// Bytes that wait to be written, in the chunks in which they were queued.
#[derive(Debug, Default)]
pub struct OutputQueue {
    chunks: VecDeque<Vec<u8>>,
    /// The bytes of the first chunk that are written.
    first_written: usize,
    /// The bytes of all chunks that are not written.
    unwritten: usize,
}

impl OutputQueue {
    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.unwritten == 0
    }

    /// The number of bytes that wait to be written.
    pub fn len(&self) -> usize {
        self.unwritten
    }

    /// The bytes that the chunks occupy, written or not.
    pub fn held_bytes(&self) -> usize {
        self.chunks.iter().map(Vec::capacity).sum()
    }

    /// Adds output behind what waits.
    pub fn push(&mut self, bytes: Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        self.unwritten += bytes.len();
        match self.chunks.back_mut() {
            Some(last) if last.len() + bytes.len() <= MAX_MERGED_BYTES => last.extend_from_slice(&bytes),
            _ => self.chunks.push_back(bytes),
        }
    }

    /// The next bytes to write; empty if nothing waits.
    pub fn next_bytes(&self) -> &[u8] {
        self.chunks.front().map_or(&[], |chunk| &chunk[self.first_written..])
    }

    /// The first `count` of the next bytes were written.
    pub fn written(&mut self, count: usize) {
        self.first_written += count;
        self.unwritten -= count;
        if self.chunks.front().is_some_and(|chunk| self.first_written >= chunk.len()) {
            self.chunks.pop_front();
            self.first_written = 0;
        }
        if self.chunks.is_empty() {
            self.chunks = VecDeque::new();
        }
    }

    /// Drops all that waits but the first `kept` bytes.
    pub fn truncate(&mut self, kept: usize) {
        while self.unwritten > kept {
            let surplus = self.unwritten - kept;
            let written = if self.chunks.len() == 1 { self.first_written } else { 0 };
            let Some(last) = self.chunks.back_mut() else { return };
            let dropped = surplus.min(last.len() - written);
            last.truncate(last.len() - dropped);
            self.unwritten -= dropped;
            if last.len() == written {
                self.chunks.pop_back();
                if self.chunks.is_empty() {
                    self.first_written = 0;
                }
            }
        }
    }
}
