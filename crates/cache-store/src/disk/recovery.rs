//! The location of a disk tier, and recovery: opens a folder, reads the snapshot and the log after it, and cuts off an
//! incomplete last record.

use super::{Disk, Found, Limits, Sync};
use crate::files::{FileHandle, FileSystem, Files, OpenMode, read_whole};
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

/// Largest snapshot that is read, in bytes: enough for forty million copies.
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;

/// Folder, limits and file operations of a disk tier.
#[derive(Debug, Clone)]
pub struct Location {
    pub(super) files: Arc<dyn Files>,
    pub(super) folder: PathBuf,
    pub(super) limits: Limits,
}

fn lock(files: &dyn Files, folder: &Path) -> io::Result<Box<dyn FileHandle>> {
    let file = files.open(&folder.join("lock"), OpenMode::CreateIfMissing)?;
    file.lock()?;
    Ok(file)
}

fn damaged_log() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "the log is damaged before its end")
}

/// Whether a valid head begins anywhere after the first byte.
fn contains_record(bytes: &[u8]) -> bool {
    (1..bytes.len().saturating_sub(HEAD - 1)).any(|at| Head::decode(&bytes[at..]).is_ok())
}

/// Reads bytes of a segment; `None` if the segment ends before them. Other read errors are returned: they don't tell
/// whether the bytes are valid.
fn read_if_present(segment: &Segment, at: u32, length: usize) -> io::Result<Option<Vec<u8>>> {
    match segment.read(at, length) {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
        read => read.map(Some),
    }
}

/// Reads the head of the record at an offset; `None` if its head or body is not valid.
fn read_valid_head(segment: &Segment, at: u32) -> io::Result<Option<Head>> {
    let Some(bytes) = read_if_present(segment, at, HEAD)? else { return Ok(None) };
    let Ok(head) = Head::decode(&bytes) else { return Ok(None) };
    let valid = match &head {
        Head::Copy(_, _, digest) => {
            let body = read_if_present(segment, at + HEAD as u32, head.body())?;
            body.is_some_and(|body| digest.matches(&body))
        }
        _ => true,
    };
    Ok(valid.then_some(head))
}

/// Reads a folder's log without changing it and calls `visit` with the segment, offset and head of each valid record.
/// Returns segment and offset of the first record that is not valid, if any. Fails with `WouldBlock` if a process uses
/// the folder.
pub fn inspect(folder: &Path, mut visit: impl FnMut(u32, u32, &Head)) -> io::Result<Option<(u32, u32)>> {
    if !folder.join("lock").exists() {
        return Err(io::Error::new(io::ErrorKind::NotFound, "not a cache store: it has no lock file"));
    }
    let _lock = lock(&FileSystem, folder)?;
    for number in Segment::list(&FileSystem, folder)? {
        let segment = Segment::open(&FileSystem, folder, number)?;
        let mut at = 0;
        while at < segment.length {
            let Some(head) = read_valid_head(&segment, at)? else { return Ok(Some((number, at))) };
            visit(number, at, &head);
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
    /// A folder of the operating system's file system.
    pub fn new(folder: &Path, limits: Limits) -> Location {
        Location::with_files(Arc::new(FileSystem), folder, limits)
    }

    /// A folder accessed through these file operations.
    pub fn with_files(files: Arc<dyn Files>, folder: &Path, limits: Limits) -> Location {
        Location { files, folder: folder.to_path_buf(), limits }
    }

    /// Opens the folder, creates it if needed, and recovers the valid records in it.
    pub fn open(&self) -> io::Result<(Disk, Found)> {
        let mut disk = self.lock_folder()?;
        let mut found = Found::default();
        if let Err(error) = disk.recover(&mut found) {
            if error.kind() != io::ErrorKind::InvalidData {
                return Err(error);
            }
            found = Found { cleared: true, ..found };
            disk.clear()?;
        }
        found.copies = disk.index.len();
        Ok((disk, found))
    }

    /// Opens the folder and clears the store without reading it.
    pub fn open_empty(&self) -> io::Result<Disk> {
        let mut disk = self.lock_folder()?;
        disk.clear()?;
        Ok(disk)
    }

    /// Locks the folder and returns a store that has read nothing from it yet.
    fn lock_folder(&self) -> io::Result<Disk> {
        self.files.make_folder(&self.folder)?;
        let lock = lock(&*self.files, &self.folder)?;
        let (location, segments, index, purges) =
            (self.clone(), BTreeMap::new(), Index::default(), Purges::default());
        Ok(Disk { location, segments, index, purges, bytes: 0, _lock: lock })
    }

    /// Whether anything is synced to the disk.
    pub(super) fn sync_enabled(&self) -> bool {
        self.limits.sync != Sync::Never
    }

    pub(super) fn sync_names(&self) -> io::Result<()> {
        if self.sync_enabled() { self.files.sync_folder(&self.folder) } else { Ok(()) }
    }
}

impl Disk {
    fn recover(&mut self, found: &mut Found) -> io::Result<()> {
        let Location { files, folder, .. } = self.location.clone();
        for number in Segment::list(&*files, &folder)? {
            self.segments.insert(number, Segment::open(&*files, &folder, number)?);
        }
        self.read_log(found)?;
        self.bytes = self.segments.values().map(|segment| u64::from(segment.length)).sum();
        if self.segments.is_empty() {
            self.create_segment(0)?;
        }
        self.reclaim_space(0)
    }

    fn read_log(&mut self, found: &mut Found) -> io::Result<()> {
        let path = self.location.folder.join("snapshot");
        let bytes = read_whole(&*self.location.files, &path, MAX_SNAPSHOT_BYTES)?;
        let snapshot = bytes.and_then(|bytes| Snapshot::decode(&bytes));
        // A snapshot that covers more than the log has belongs to another log.
        let fits = |snapshot: &Snapshot| {
            let segment = self.segments.get(&snapshot.segment);
            segment.is_some_and(|segment| segment.length >= snapshot.offset)
        };
        let snapshot = snapshot.filter(fits).unwrap_or_default();
        let (first, offset) = (snapshot.segment, snapshot.offset);
        (self.index, self.purges) = (snapshot.index, snapshot.purges);
        let segments = &self.segments;
        self.index.retain(|_, position| segments.contains_key(&position.segment));
        let numbers: Vec<_> = self.segments.range(first..).map(|(number, _)| *number).collect();
        for number in &numbers {
            let start = if *number == first { offset } else { 0 };
            let end = self.scan(*number, start)?;
            let segment = self.segments.get_mut(number).ok_or(io::ErrorKind::NotFound)?;
            found.scanned += u64::from(end - start);
            let rest = segment.length - end;
            if rest == 0 {
                continue;
            }
            // Valid records after the damage show that this is not an incomplete last record: the bytes that can't be
            // read may hold purges.
            if Some(number) != numbers.last() || contains_record(&segment.read(end, rest as usize)?) {
                return Err(damaged_log());
            }
            found.truncated_bytes += u64::from(rest);
            segment.truncate(end)?;
        }
        Ok(())
    }

    /// Applies the records of a segment from an offset on; returns the end of the last valid one.
    fn scan(&mut self, number: u32, from: u32) -> io::Result<u32> {
        let mut at = from;
        loop {
            let Some(segment) = self.segments.get(&number) else { return Ok(at) };
            if at == segment.length {
                return Ok(at);
            }
            let Some(head) = read_valid_head(segment, at)? else { return Ok(at) };
            self.apply(number, at, &head);
            at += (HEAD + head.body()) as u32;
        }
    }
}
