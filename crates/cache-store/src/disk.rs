//! The disk tier: a log of records in segments, an index of the copies in memory, and recovery after a crash.
//!
//! If the process is killed, every record survives whose `put`, `purge_object` or `purge_group` had returned; a record
//! that was being written is lost and never served in part. If the machine stops, what was synced survives: records of
//! purges unless syncing is off, copies according to [`Sync`]. A copy that can't be read or fails its checksum is a
//! miss. If records of purges may have been lost, the store starts empty.

use crate::files::{FileHandle, remove_if_exists, replace};
use crate::index::{Index, RecordPosition};
use crate::purges::Purges;
use crate::record::{Facts, HEAD, Head, Key};
use crate::segment::{self, Segment};
use crate::snapshot::Snapshot;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

mod recovery;

pub use recovery::{Location, inspect};

/// Limit of remembered purged objects and groups. Above it the store is cleared, which costs less than remembering
/// them.
const MAX_REMEMBERED_PURGES: usize = 100_000;
/// Copies of this rank and above are written again when the segment that holds them is reclaimed.
const MIN_REWRITE_RANK: u8 = 2;

/// When records are synced to the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sync {
    /// Never; the operating system writes copies and purges back at its own time.
    Never,
    /// Copies when their segment is full, purges at once.
    Segments,
    /// Every record at once.
    Always,
}

/// Limits of a disk tier.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest size of all segments together, in bytes.
    pub most_bytes: u64,
    /// A new segment begins before one exceeds this size, in bytes.
    pub segment_bytes: u32,
    /// When records are synced.
    pub sync: Sync,
}

/// Report of what recovery found when the store was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Found {
    /// Number of copies that may be served.
    pub copies: usize,
    /// Bytes of the log that were read; a snapshot covers the rest.
    pub scanned: u64,
    /// Bytes of an incomplete record that were cut off the end of the log.
    pub truncated_bytes: u64,
    /// The log was damaged before its end, so the store was cleared.
    pub cleared: bool,
}

/// The disk tier.
#[derive(Debug)]
pub struct Disk {
    location: Location,
    segments: BTreeMap<u32, Segment>,
    index: Index,
    purges: Purges,
    /// Size of all segments, in bytes.
    bytes: u64,
    _lock: Box<dyn FileHandle>,
}

impl Disk {
    /// Opens a folder, creates it if needed, and recovers the valid records in it.
    pub fn open(folder: &Path, limits: Limits) -> io::Result<(Disk, Found)> {
        Location::new(folder, limits).open()
    }

    /// The folder and limits of this store.
    pub fn location(&self) -> Location {
        self.location.clone()
    }

    /// Applies a record of the log to the index and the purges.
    fn apply(&mut self, segment: u32, offset: u32, head: &Head) {
        match head {
            Head::Copy(key, _, body) => {
                let position = RecordPosition { segment, offset, length: body.length, rank: 1 };
                self.index.put(key.print(), position);
            }
            Head::Dropped(key) => {
                self.index.remove(key.print());
            }
            Head::PurgedObject { object, at_ms, seq } => self.purges.object(*object, *at_ms, *seq),
            Head::PurgedGroup { group, at_ms, seq } => self.purges.group(*group, *at_ms, *seq),
        }
    }

    /// Removes everything, and makes sure that a crash can't bring it back: old copies would be checked only against
    /// the purges recorded after this call, and purges between the two are recorded nowhere.
    pub fn clear(&mut self) -> io::Result<()> {
        // Resets the event number as well: without its purges the store must receive all events again.
        (self.index, self.purges, self.bytes) = (Index::default(), Purges::default(), 0);
        let next = self.segments.last_key_value().map_or(0, |(number, _)| number + 1);
        self.segments = BTreeMap::new();
        let Location { files, folder, .. } = self.location.clone();
        remove_if_exists(&*files, &folder.join("snapshot"))?;
        let numbers = Segment::list(&*files, &folder)?;
        for number in &numbers {
            files.remove(&segment::segment_path(&folder, *number))?;
        }
        self.create_segment(numbers.last().map_or(next, |last| next.max(last + 1)))
    }

    /// Creates the next segment. Its name and the removal of other segments are on the disk before anything is written
    /// to it, unless syncing is off.
    fn create_segment(&mut self, number: u32) -> io::Result<()> {
        let segment = Segment::create(&*self.location.files, &self.location.folder, number)?;
        self.location.sync_names()?;
        self.segments.insert(number, segment);
        Ok(())
    }

    fn append(&mut self, head: &Head, body: &[u8]) -> io::Result<RecordPosition> {
        let bytes = head.encode();
        let record_bytes = (HEAD + body.len()) as u32;
        let full = |segment: &Segment| {
            segment.length > 0 && segment.length + record_bytes > self.location.limits.segment_bytes
        };
        if self.segments.last_key_value().is_none_or(|(_, segment)| full(segment)) {
            self.rotate()?;
        }
        let mut last = self.segments.last_entry().ok_or(io::ErrorKind::NotFound)?;
        let offset = last.get_mut().append(&[&bytes, body])?;
        self.bytes += u64::from(record_bytes);
        Ok(RecordPosition { segment: *last.key(), offset, length: body.len() as u32, rank: 0 })
    }

    /// Syncs the last segment, begins the next one and writes a snapshot of everything before it.
    fn rotate(&mut self) -> io::Result<()> {
        let next = match self.segments.last_key_value() {
            Some((number, segment)) => {
                if self.location.sync_enabled() {
                    segment.sync()?;
                }
                number + 1
            }
            None => 0,
        };
        self.create_segment(next)?;
        self.snapshot()
    }

    /// Writes a snapshot and replaces the previous one atomically. The log that it covers is synced first: if the
    /// machine stopped between the two, neither this snapshot nor the previous one would be usable.
    pub fn snapshot(&mut self) -> io::Result<()> {
        if self.location.sync_enabled() {
            self.sync()?;
        }
        let Some((number, segment)) = self.segments.last_key_value() else { return Ok(()) };
        let bytes = Snapshot::encode(*number, segment.length, &self.index, &self.purges);
        let Location { files, folder, .. } = &self.location;
        replace(&**files, folder, ["snapshot", "snapshot.new"], &bytes, self.location.sync_enabled())
    }

    /// Removes the oldest segments until `needed` more bytes fit. Copies of higher rank in them are written again,
    /// unless they were purged.
    fn reclaim_space(&mut self, needed: u64) -> io::Result<()> {
        let mut rewritten_bytes = 0;
        while self.bytes + needed > self.location.limits.most_bytes && self.segments.len() > 1 {
            let Some((number, segment)) = self.segments.pop_first() else { return Ok(()) };
            self.bytes -= u64::from(segment.length);
            let in_segment: Vec<_> =
                self.index.iter().filter(|(_, position)| position.segment == number).collect();
            for (fingerprint, position) in in_segment {
                self.index.remove(fingerprint);
                // Limited to about half a segment, so that rewritten copies don't fill the space that was freed.
                let rewrites = position.rank >= MIN_REWRITE_RANK
                    && rewritten_bytes < u64::from(self.location.limits.segment_bytes) / 2;
                let Some((key, facts, body)) = Self::read_copy(&segment, &position).filter(|_| rewrites)
                else {
                    continue;
                };
                if !self.purges.forbid(&key.object, facts.group, facts.made_ms) {
                    rewritten_bytes += (HEAD + body.len()) as u64;
                    let rewritten = self.append(&Head::copy(key, facts, &body), &body)?;
                    self.index.put(fingerprint, RecordPosition { rank: position.rank - 1, ..rewritten });
                }
            }
            segment.remove(&*self.location.files)?;
        }
        Ok(())
    }

    /// Reads the copy at a position; `None` if it can't be read or is not valid.
    fn read_copy(segment: &Segment, position: &RecordPosition) -> Option<(Key, Facts, Vec<u8>)> {
        let mut bytes = segment.read(position.offset, HEAD + position.length as usize).ok()?;
        let Ok(Head::Copy(key, facts, body)) = Head::decode(&bytes) else { return None };
        let bytes = bytes.split_off(HEAD);
        body.matches(&bytes).then_some((key, facts, bytes))
    }

    /// Stores a copy. Returns false if it predates a purge and is not stored.
    pub fn put(&mut self, key: Key, facts: Facts, rank: u8, body: &[u8]) -> io::Result<bool> {
        if self.purges.forbid(&key.object, facts.group, facts.made_ms) {
            return Ok(false);
        }
        self.reclaim_space((HEAD + body.len()) as u64)?;
        let position = self.append(&Head::copy(key, facts, body), body)?;
        if self.location.limits.sync == Sync::Always {
            self.sync()?;
        }
        self.index.put(key.print(), RecordPosition { rank, ..position });
        Ok(true)
    }

    /// Reads the copy of a key, if it is valid and was not purged. Otherwise removes it from the index.
    pub fn get(&mut self, key: &Key) -> Option<(Facts, Vec<u8>)> {
        let fingerprint = key.print();
        let position = self.index.get(fingerprint)?;
        let segment = self.segments.get(&position.segment)?;
        let read = Self::read_copy(segment, &position).filter(|(found, facts, _)| {
            found == key && !self.purges.forbid(&key.object, facts.group, facts.made_ms)
        });
        if read.is_none() {
            self.index.remove(fingerprint);
        }
        read.map(|(_, facts, body)| (facts, body))
    }

    /// Removes a copy and records the removal in the log.
    pub fn drop_copy(&mut self, key: &Key) -> io::Result<()> {
        if self.index.remove(key.print()).is_some() {
            self.append(&Head::Dropped(*key), &[])?;
        }
        Ok(())
    }

    fn record_purge(&mut self, head: &Head) -> io::Result<()> {
        let position = self.append(head, &[])?;
        if self.location.sync_enabled() {
            self.sync()?;
        }
        self.apply(position.segment, position.offset, head);
        if self.purges.len() > MAX_REMEMBERED_PURGES {
            return self.clear();
        }
        Ok(())
    }

    /// Records the purge of an object. Once this returns, the record survives a kill of the process and, unless
    /// syncing is off, a stop of the machine. After an error nothing may be served from this store any more.
    pub fn purge_object(&mut self, object: [u8; 16], at_ms: u64, seq: u64) -> io::Result<()> {
        self.record_purge(&Head::PurgedObject { object, at_ms, seq })
    }

    /// Records the purge of a group; what [`Disk::purge_object`] promises holds as well.
    pub fn purge_group(&mut self, group: u8, at_ms: u64, seq: u64) -> io::Result<()> {
        self.record_purge(&Head::PurgedGroup { group, at_ms, seq })
    }

    /// Waits until the last segment is on the disk.
    pub fn sync(&self) -> io::Result<()> {
        self.segments.last_key_value().map_or(Ok(()), |(_, segment)| segment.sync())
    }

    /// Number of the last change log event that is recorded here.
    pub fn seq(&self) -> u64 {
        self.purges.seq()
    }

    /// Fingerprints of all copies.
    pub fn prints(&self) -> Vec<u64> {
        self.index.iter().map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Number of copies, bytes on disk, bytes of the index in memory.
    pub fn sizes(&self) -> (usize, u64, usize) {
        (self.index.len(), self.bytes, self.index.bytes())
    }
}
