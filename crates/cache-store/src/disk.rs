//! The disk tier: a log of records in segments, an index in memory, and recovery from any end.
//!
//! After the process is killed all that `put` and `purge` returned for is there; what was being written is not, and
//! nothing of it is served. After the machine has stopped, what was synced is there: marks of purges always, copies
//! as [`Sync`] says. What can't be read, or does not fit its checksum, is a miss. Where marks may have been lost, the
//! store begins empty.

use crate::files::{Handle, remove_if_there, replace};
use crate::index::{Index, Place};
use crate::purges::Purges;
use crate::record::{Facts, HEAD, Head, Key};
use crate::segment::{self, Segment};
use crate::snapshot::Snapshot;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

mod recovery;

pub use recovery::{Location, inspect};

/// Marks that are remembered; with more the store begins anew, which is cheaper than to remember them.
const MOST_MARKS: usize = 100_000;
/// Copies of this rank and above are kept on when their segment's space is taken back.
const KEPT_ON: u8 = 2;

/// When copies are on the disk for certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sync {
    /// When the machine gets to it; marks of purges too.
    Never,
    /// When a segment is full; marks of purges at once.
    Segments,
    /// At once.
    Always,
}

/// What a disk tier may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes on disk.
    pub most_bytes: u64,
    /// Bytes of one segment.
    pub segment_bytes: u32,
    /// When copies are on the disk for certain.
    pub sync: Sync,
}

/// What a start found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Found {
    /// Copies that may be served.
    pub copies: usize,
    /// Bytes of the log that were read for it.
    pub scanned: u64,
    /// Bytes that were cut off at the end.
    pub torn: u64,
    /// A part of the log before its end was damaged: everything was dropped.
    pub began_anew: bool,
}

/// The disk tier.
#[derive(Debug)]
pub struct Disk {
    location: Location,
    segments: BTreeMap<u32, Segment>,
    index: Index,
    purges: Purges,
    /// Bytes of all segments.
    bytes: u64,
    _lock: Box<dyn Handle>,
}

impl Disk {
    /// Opens a folder, made if need be, and recovers what is sound in it.
    pub fn open(folder: &Path, limits: Limits) -> io::Result<(Disk, Found)> {
        Location::new(folder, limits).open()
    }

    /// Where it lies.
    pub fn location(&self) -> Location {
        self.location.clone()
    }

    /// Takes a record into index and marks.
    fn heed(&mut self, segment: u32, offset: u32, head: &Head) {
        match head {
            Head::Copy(key, _, body) => {
                let place = Place { segment, offset, length: body.length, rank: 1 };
                self.index.put(key.print(), place);
            }
            Head::Dropped(key) => {
                self.index.remove(key.print());
            }
            Head::PurgedObject { object, at_ms, seq } => self.purges.object(*object, *at_ms, *seq),
            Head::PurgedGroup { group, at_ms, seq } => self.purges.group(*group, *at_ms, *seq),
        }
    }

    /// Drops everything, for certain: what a crash could bring back would be held against the marks of what comes after
    /// it, and purges between the two are marked nowhere.
    pub fn clear(&mut self) -> io::Result<()> {
        // No event counts as marked any more: that there are none may only be trusted with all of them told anew.
        (self.index, self.purges, self.bytes) = (Index::default(), Purges::default(), 0);
        let next = self.segments.last_key_value().map_or(0, |(number, _)| number + 1);
        self.segments = BTreeMap::new();
        let Location { files, folder, .. } = self.location.clone();
        remove_if_there(&*files, &folder.join("snapshot"))?;
        let numbers = Segment::all(&*files, &folder)?;
        for number in &numbers {
            files.remove(&segment::path(&folder, *number))?;
        }
        self.begin_segment(numbers.last().map_or(next, |last| next.max(last + 1)))
    }

    /// Nothing is written to a new segment before its name, and that others have gone, is on the disk.
    fn begin_segment(&mut self, number: u32) -> io::Result<()> {
        let segment = Segment::create(&*self.location.files, &self.location.folder, number)?;
        self.location.sync_names()?;
        self.segments.insert(number, segment);
        Ok(())
    }

    fn append(&mut self, head: &Head, body: &[u8]) -> io::Result<Place> {
        let bytes = head.encode();
        let long = (HEAD + body.len()) as u32;
        let full = |segment: &Segment| {
            segment.length > 0 && segment.length + long > self.location.limits.segment_bytes
        };
        if self.segments.last_key_value().is_none_or(|(_, segment)| full(segment)) {
            self.rotate()?;
        }
        let mut last = self.segments.last_entry().ok_or(io::ErrorKind::NotFound)?;
        let offset = last.get_mut().append(&[&bytes, body])?;
        self.bytes += u64::from(long);
        Ok(Place { segment: *last.key(), offset, length: body.len() as u32, rank: 0 })
    }

    /// Begins the next segment, and writes a snapshot of all before it.
    fn rotate(&mut self) -> io::Result<()> {
        let next = match self.segments.last_key_value() {
            Some((number, segment)) => {
                if self.location.syncs() {
                    segment.sync()?;
                }
                number + 1
            }
            None => 0,
        };
        self.begin_segment(next)?;
        self.snapshot()
    }

    /// Writes a snapshot: whole under another name first, so that none is there in part. The log that it speaks of is
    /// synced before: if the machine stopped between the two, neither this snapshot nor the one before would be there.
    pub fn snapshot(&mut self) -> io::Result<()> {
        if self.location.syncs() {
            self.sync()?;
        }
        let Some((number, segment)) = self.segments.last_key_value() else { return Ok(()) };
        let bytes = Snapshot::encode(*number, segment.length, &self.index, &self.purges);
        let Location { files, folder, .. } = &self.location;
        replace(&**files, folder, ["snapshot", "snapshot.new"], &bytes, self.location.syncs())
    }

    /// Takes back the oldest segments until there is room for so many bytes more. Of their copies those of higher
    /// rank are written again, if no purge forbids them.
    fn make_room(&mut self, more: u64) -> io::Result<()> {
        let mut moved = 0;
        while self.bytes + more > self.location.limits.most_bytes && self.segments.len() > 1 {
            let Some((number, segment)) = self.segments.pop_first() else { return Ok(()) };
            self.bytes -= u64::from(segment.length);
            let there: Vec<_> = self.index.iter().filter(|(_, place)| place.segment == number).collect();
            for (print, place) in there {
                self.index.remove(print);
                // Bounded: what is moved may not fill the room that was made.
                let moves =
                    place.rank >= KEPT_ON && moved < u64::from(self.location.limits.segment_bytes) / 2;
                let Some((key, facts, body)) = Self::read_at(&segment, &place).filter(|_| moves) else {
                    continue;
                };
                if !self.purges.forbid(&key.object, facts.group, facts.made_ms) {
                    moved += (HEAD + body.len()) as u64;
                    let at = self.append(&Head::copy(key, facts, &body), &body)?;
                    self.index.put(print, Place { rank: place.rank - 1, ..at });
                }
            }
            segment.remove(&*self.location.files)?;
        }
        Ok(())
    }

    fn read_at(segment: &Segment, place: &Place) -> Option<(Key, Facts, Vec<u8>)> {
        let mut bytes = segment.read(place.offset, HEAD + place.length as usize).ok()?;
        let Ok(Head::Copy(key, facts, body)) = Head::decode(&bytes) else { return None };
        let bytes = bytes.split_off(HEAD);
        body.is(&bytes).then_some((key, facts, bytes))
    }

    /// Keeps a copy. One that a purge forbids is not kept, which is told.
    pub fn put(&mut self, key: Key, facts: Facts, rank: u8, body: &[u8]) -> io::Result<bool> {
        if self.purges.forbid(&key.object, facts.group, facts.made_ms) {
            return Ok(false);
        }
        self.make_room((HEAD + body.len()) as u64)?;
        let place = self.append(&Head::copy(key, facts, body), body)?;
        if self.location.limits.sync == Sync::Always {
            self.sync()?;
        }
        self.index.put(key.print(), Place { rank, ..place });
        Ok(true)
    }

    /// The copy under a key, if it is sound and no purge forbids it. What is not is let go.
    pub fn get(&mut self, key: &Key) -> Option<(Facts, Vec<u8>)> {
        let print = key.print();
        let place = self.index.get(print)?;
        let segment = self.segments.get(&place.segment)?;
        let read = Self::read_at(segment, &place).filter(|(found, facts, _)| {
            found == key && !self.purges.forbid(&key.object, facts.group, facts.made_ms)
        });
        if read.is_none() {
            self.index.remove(print);
        }
        read.map(|(_, facts, body)| (facts, body))
    }

    /// Lets a copy go.
    pub fn drop_copy(&mut self, key: &Key) -> io::Result<()> {
        if self.index.remove(key.print()).is_some() {
            self.append(&Head::Dropped(*key), &[])?;
        }
        Ok(())
    }

    fn mark(&mut self, head: &Head) -> io::Result<()> {
        let place = self.append(head, &[])?;
        if self.location.syncs() {
            self.sync()?;
        }
        self.heed(place.segment, place.offset, head);
        if self.purges.len() > MOST_MARKS {
            return self.clear();
        }
        Ok(())
    }

    /// An object was purged. Once this returns the mark is there after any end that its sync covers; if it fails,
    /// nothing may be served from here any more.
    pub fn purge_object(&mut self, object: [u8; 16], at_ms: u64, seq: u64) -> io::Result<()> {
        self.mark(&Head::PurgedObject { object, at_ms, seq })
    }

    /// A group was purged; the same holds.
    pub fn purge_group(&mut self, group: u8, at_ms: u64, seq: u64) -> io::Result<()> {
        self.mark(&Head::PurgedGroup { group, at_ms, seq })
    }

    /// Waits until the last segment is on the disk.
    pub fn sync(&self) -> io::Result<()> {
        self.segments.last_key_value().map_or(Ok(()), |(_, segment)| segment.sync())
    }

    /// The number of the last event of the change log that is marked here.
    pub fn seq(&self) -> u64 {
        self.purges.seq()
    }

    /// The fingerprints of all copies.
    pub fn prints(&self) -> Vec<u64> {
        self.index.iter().map(|(print, _)| print).collect()
    }

    /// Copies, bytes on disk, bytes of the index in memory.
    pub fn sizes(&self) -> (usize, u64, usize) {
        (self.index.len(), self.bytes, self.index.bytes())
    }
}
