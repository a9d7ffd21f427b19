//! Snapshots of the index and the purges: a start reads the snapshot and only the log after it. Encodes and decodes
//! them.
//!
//! Layout, little-endian, in bytes: magic 4, version 4, log position (segment 4, offset 4), number of the last change
//! log event 8, counts of index entries, purged objects and purged groups 4 each; index entries (fingerprint 8,
//! segment 4, offset 4, length and rank 4); purged objects (object 16, time 8); purged groups (group 1, time 8);
//! CRC-32C of all bytes before 4.

use crate::index::{Index, RecordPosition};
use crate::purges::Purges;

const MAGIC: u32 = 0x5243_5331;
const VERSION: u32 = 1;
/// Bytes before the first entry.
const HEADER_BYTES: usize = 4 + 4 + 8 + 8 + 12;
/// Bytes of an index entry.
const ENTRY_BYTES: usize = 20;
/// Bytes of a purged object.
const OBJECT_PURGE_BYTES: usize = 24;
/// Bytes of a purged group.
const GROUP_PURGE_BYTES: usize = 9;

/// A decoded snapshot.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The snapshot covers the log up to this segment and `offset`.
    pub segment: u32,
    /// Offset in that segment, in bytes.
    pub offset: u32,
    /// Positions of the copies.
    pub index: Index,
    /// The last purge of each object and group.
    pub purges: Purges,
}

/// Reads values from the front of a byte slice.
struct ByteReader<'a>(&'a [u8]);

impl<'a> ByteReader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn u32(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.take(8)?.try_into().ok().map(u64::from_le_bytes)
    }
}

impl Snapshot {
    /// Encodes a snapshot that covers the log up to a segment and offset.
    pub fn encode(segment: u32, offset: u32, index: &Index, purges: &Purges) -> Vec<u8> {
        let (objects, groups) = purges.sorted();
        let mut bytes = Vec::with_capacity(
            HEADER_BYTES
                + index.len() * ENTRY_BYTES
                + objects.len() * OBJECT_PURGE_BYTES
                + groups.len() * GROUP_PURGE_BYTES
                + 4,
        );
        for value in [MAGIC, VERSION, segment, offset] {
            bytes.extend_from_slice(&value.to_le_bytes());
        }
        bytes.extend_from_slice(&purges.seq().to_le_bytes());
        for count in [index.len(), objects.len(), groups.len()] {
            bytes.extend_from_slice(&(count as u32).to_le_bytes());
        }
        for (fingerprint, position) in index.iter() {
            bytes.extend_from_slice(&fingerprint.to_le_bytes());
            for value in [position.segment, position.offset, position.length | u32::from(position.rank) << 24]
            {
                bytes.extend_from_slice(&value.to_le_bytes());
            }
        }
        for (object, at_ms) in objects {
            bytes.extend_from_slice(&object);
            bytes.extend_from_slice(&at_ms.to_le_bytes());
        }
        for (group, at_ms) in groups {
            bytes.push(group);
            bytes.extend_from_slice(&at_ms.to_le_bytes());
        }
        let checksum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a snapshot; `None` if the bytes are damaged. Counts are checked against the length before memory is
    /// allocated for them.
    pub fn decode(bytes: &[u8]) -> Option<Snapshot> {
        let (body, checksum) = bytes.split_at_checked(bytes.len().checked_sub(4)?)?;
        if checksum.try_into().ok().map(u32::from_le_bytes)? != crc32c::crc32c(body) {
            return None;
        }
        let mut reader = ByteReader(body);
        if (reader.u32()?, reader.u32()?) != (MAGIC, VERSION) {
            return None;
        }
        let mut snapshot = Snapshot { segment: reader.u32()?, offset: reader.u32()?, ..Snapshot::default() };
        let seq = reader.u64()?;
        let counts = [reader.u32()? as usize, reader.u32()? as usize, reader.u32()? as usize];
        if counts[0] * ENTRY_BYTES + counts[1] * OBJECT_PURGE_BYTES + counts[2] * GROUP_PURGE_BYTES
            != reader.0.len()
        {
            return None;
        }
        // The counts fit the length, so this allocates no more than the bytes account for.
        snapshot.index = Index::with_capacity(counts[0]);
        for _ in 0..counts[0] {
            let fingerprint = reader.u64()?;
            let (segment, offset, length) = (reader.u32()?, reader.u32()?, reader.u32()?);
            let (length, rank) = (length & 0x00ff_ffff, (length >> 24) as u8);
            let position = RecordPosition { segment, offset, length, rank };
            snapshot.index.put(fingerprint, position);
        }
        for _ in 0..counts[1] {
            let object = reader.take(16)?.try_into().ok()?;
            snapshot.purges.object(object, reader.u64()?, 0);
        }
        for _ in 0..counts[2] {
            let group = *reader.take(1)?.first()?;
            snapshot.purges.group(group, reader.u64()?, 0);
        }
        snapshot.purges.advance_to(seq);
        Some(snapshot)
    }
}
