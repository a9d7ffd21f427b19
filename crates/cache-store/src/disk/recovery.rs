//! Where a disk tier lies, and what a start makes of what it finds there.

use super::{Disk, Found, Limits, Sync};
use crate::files::{FileSystem, Files, Handle, Open, read_whole};
use crate::index::Index;
use crate::purges::Purges;
use crate::record::{HEAD, Head};
use crate::segment::Segment;
use crate::snapshot::Snapshot;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A snapshot is not larger: forty million copies.
const MOST_SNAPSHOT: usize = 1 << 30;

/// Where a disk tier lies, and what it may take.
#[derive(Debug, Clone)]
pub struct Location {
    pub(super) files: Arc<dyn Files>,
    pub(super) folder: PathBuf,
    pub(super) limits: Limits,
}

fn lock(files: &dyn Files, folder: &Path) -> io::Result<Box<dyn Handle>> {
    let file = files.open(&folder.join("lock"), Open::Any)?;
    file.lock()?;
    Ok(file)
}

fn damaged() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "damaged before its end")
}

fn holds_a_record(bytes: &[u8]) -> bool {
    (1..bytes.len().saturating_sub(HEAD - 1)).any(|at| Head::decode(&bytes[at..]).is_ok())
}

/// Bytes of a segment; nothing where it ends before them. That they can't be read now says nothing of what they are.
fn bytes_at(segment: &Segment, at: u32, length: usize) -> io::Result<Option<Vec<u8>>> {
    match segment.read(at, length) {
        Err(fault) if fault.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
        read => read.map(Some),
    }
}

/// The record at an offset, if head and body are sound.
fn sound_at(segment: &Segment, at: u32) -> io::Result<Option<Head>> {
    let Some(bytes) = bytes_at(segment, at, HEAD)? else { return Ok(None) };
    let Ok(head) = Head::decode(&bytes) else { return Ok(None) };
    let sound = match &head {
        Head::Copy(_, _, told) => {
            let body = bytes_at(segment, at + HEAD as u32, head.body())?;
            body.is_some_and(|body| told.is(&body))
        }
        _ => true,
    };
    Ok(sound.then_some(head))
}

/// Reads a folder's log without changing it, and tells each sound record with its segment and offset. Returns
/// where, if anywhere, the first stands that is not sound. A folder in use is refused.
pub fn inspect(folder: &Path, mut tell: impl FnMut(u32, u32, &Head)) -> io::Result<Option<(u32, u32)>> {
    if !folder.join("lock").exists() {
        return Err(io::Error::new(io::ErrorKind::NotFound, "no store is there"));
    }
    let _lock = lock(&FileSystem, folder)?;
    for number in Segment::all(&FileSystem, folder)? {
        let segment = Segment::open(&FileSystem, folder, number)?;
        let mut at = 0;
        while at < segment.length {
            let Some(head) = sound_at(&segment, at)? else { return Ok(Some((number, at))) };
            tell(number, at, &head);
            at += (HEAD + head.body()) as u32;
        }
    }
    Ok(None)
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.folder.display().fmt(f)
    }
}

impl Location {
    /// A folder of the file system.
    pub fn new(folder: &Path, limits: Limits) -> Location {
        Location::among(Arc::new(FileSystem), folder, limits)
    }

    /// A folder reached by these operations.
    pub fn among(files: Arc<dyn Files>, folder: &Path, limits: Limits) -> Location {
        Location { files, folder: folder.to_path_buf(), limits }
    }

    /// Opens the folder, made if need be, and recovers what is sound in it.
    pub fn open(&self) -> io::Result<(Disk, Found)> {
        let mut disk = self.locked()?;
        let mut found = Found::default();
        if let Err(fault) = disk.recover(&mut found) {
            if fault.kind() != io::ErrorKind::InvalidData {
                return Err(fault);
            }
            found = Found { began_anew: true, ..found };
            disk.clear()?;
        }
        found.copies = disk.index.len();
        Ok((disk, found))
    }

    /// Begins with nothing, whatever is there.
    pub fn begin_anew(&self) -> io::Result<Disk> {
        let mut disk = self.locked()?;
        disk.clear()?;
        Ok(disk)
    }

    /// A disk that has looked at nothing yet.
    fn locked(&self) -> io::Result<Disk> {
        self.files.make_folder(&self.folder)?;
        let lock = lock(&*self.files, &self.folder)?;
        let (location, segments, index, purges) =
            (self.clone(), BTreeMap::new(), Index::default(), Purges::default());
        Ok(Disk { location, segments, index, purges, bytes: 0, _lock: lock })
    }

    /// Whether anything has to be on the disk for certain.
    pub(super) fn syncs(&self) -> bool {
        self.limits.sync != Sync::Never
    }

    pub(super) fn sync_names(&self) -> io::Result<()> {
        if self.syncs() { self.files.sync_folder(&self.folder) } else { Ok(()) }
    }
}

impl Disk {
    fn recover(&mut self, found: &mut Found) -> io::Result<()> {
        let Location { files, folder, .. } = self.location.clone();
        for number in Segment::all(&*files, &folder)? {
            self.segments.insert(number, Segment::open(&*files, &folder, number)?);
        }
        self.read_log(found)?;
        self.bytes = self.segments.values().map(|segment| u64::from(segment.length)).sum();
        if self.segments.is_empty() {
            self.begin_segment(0)?;
        }
        self.make_room(0)
    }

    fn read_log(&mut self, found: &mut Found) -> io::Result<()> {
        let place = self.location.folder.join("snapshot");
        let bytes = read_whole(&*self.location.files, &place, MOST_SNAPSHOT)?;
        let snapshot = bytes.and_then(|bytes| Snapshot::decode(&bytes));
        // One that speaks of more than is there is of another log.
        let fits =
            |s: &Snapshot| self.segments.get(&s.segment).is_some_and(|segment| segment.length >= s.offset);
        let snapshot = snapshot.filter(fits).unwrap_or_default();
        let (first, offset) = (snapshot.segment, snapshot.offset);
        (self.index, self.purges) = (snapshot.index, snapshot.purges);
        let segments = &self.segments;
        self.index.retain(|_, place| segments.contains_key(&place.segment));
        let numbers: Vec<_> = self.segments.range(first..).map(|(number, _)| *number).collect();
        for number in &numbers {
            let begins = if *number == first { offset } else { 0 };
            let ends = self.scan(*number, begins)?;
            let segment = self.segments.get_mut(number).ok_or(io::ErrorKind::NotFound)?;
            found.scanned += u64::from(ends - begins);
            let torn = segment.length - ends;
            if torn == 0 {
                continue;
            }
            // With sound records behind it, it is no torn end: marks of purges may be among what can't be read.
            if Some(number) != numbers.last() || holds_a_record(&segment.read(ends, torn as usize)?) {
                return Err(damaged());
            }
            found.torn += u64::from(torn);
            segment.cut(ends)?;
        }
        Ok(())
    }

    /// Reads the records of a segment from an offset; tells where the last sound one ends.
    fn scan(&mut self, number: u32, from: u32) -> io::Result<u32> {
        let mut at = from;
        loop {
            let Some(segment) = self.segments.get(&number) else { return Ok(at) };
            if at == segment.length {
                return Ok(at);
            }
            let Some(head) = sound_at(segment, at)? else { return Ok(at) };
            self.heed(number, at, &head);
            at += (HEAD + head.body()) as u32;
        }
    }
}
