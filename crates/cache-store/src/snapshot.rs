//! A snapshot of index and purges, so that a start reads less than the whole log. Bytes to values and back.
//!
//! Layout, little-endian: magic 4, version 4, position (segment 4, offset 4), number of the last event 8, counts of
//! entries, objects and groups 4 each; entries (fingerprint 8, segment 4, offset 4, length and rank 4); objects (16, time
//! 8); groups (1, time 8); CRC-32C of all before 4.

use crate::index::{Index, Place};
use crate::purges::Purges;

const MAGIC: u32 = 0x5243_5331;
const VERSION: u32 = 1;
const FIXED: usize = 4 + 4 + 8 + 8 + 12;
const ENTRY: usize = 20;
const OBJECT: usize = 24;
const GROUP: usize = 9;

/// What a snapshot holds.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// All before this place of the log is in it.
    pub segment: u32,
    /// The offset there.
    pub offset: u32,
    /// Where copies lie.
    pub index: Index,
    /// What was purged.
    pub purges: Purges,
}

/// Takes values off the front of bytes.
struct Taker<'a>(&'a [u8]);

impl<'a> Taker<'a> {
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
    /// The bytes of a snapshot.
    pub fn encode(segment: u32, offset: u32, index: &Index, purges: &Purges) -> Vec<u8> {
        let (objects, groups) = purges.all();
        let mut bytes = Vec::with_capacity(
            FIXED + index.len() * ENTRY + objects.len() * OBJECT + groups.len() * GROUP + 4,
        );
        for value in [MAGIC, VERSION, segment, offset] {
            bytes.extend_from_slice(&value.to_le_bytes());
        }
        bytes.extend_from_slice(&purges.seq().to_le_bytes());
        for count in [index.len(), objects.len(), groups.len()] {
            bytes.extend_from_slice(&(count as u32).to_le_bytes());
        }
        for (print, place) in index.iter() {
            bytes.extend_from_slice(&print.to_le_bytes());
            for value in [place.segment, place.offset, place.length | u32::from(place.rank) << 24] {
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
        let sum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// The snapshot that these bytes are; nothing if they are damaged. Counts are held against the length before
    /// anything is set aside for them.
    pub fn decode(bytes: &[u8]) -> Option<Snapshot> {
        let (body, sum) = bytes.split_at_checked(bytes.len().checked_sub(4)?)?;
        if sum.try_into().ok().map(u32::from_le_bytes)? != crc32c::crc32c(body) {
            return None;
        }
        let mut taker = Taker(body);
        if (taker.u32()?, taker.u32()?) != (MAGIC, VERSION) {
            return None;
        }
        let mut snapshot = Snapshot { segment: taker.u32()?, offset: taker.u32()?, ..Snapshot::default() };
        let seq = taker.u64()?;
        let counts = [taker.u32()? as usize, taker.u32()? as usize, taker.u32()? as usize];
        if counts[0] * ENTRY + counts[1] * OBJECT + counts[2] * GROUP != taker.0.len() {
            return None;
        }
        // The length has been held against the counts: no more room than the bytes stand for.
        snapshot.index = Index::with_room(counts[0]);
        for _ in 0..counts[0] {
            let print = taker.u64()?;
            let (segment, offset, length) = (taker.u32()?, taker.u32()?, taker.u32()?);
            let place = Place { segment, offset, length: length & 0x00ff_ffff, rank: (length >> 24) as u8 };
            snapshot.index.put(print, place);
        }
        for _ in 0..counts[1] {
            let object = taker.take(16)?.try_into().ok()?;
            snapshot.purges.object(object, taker.u64()?, 0);
        }
        for _ in 0..counts[2] {
            let group = *taker.take(1)?.first()?;
            snapshot.purges.group(group, taker.u64()?, 0);
        }
        snapshot.purges.reach(seq);
        Some(snapshot)
    }
}
