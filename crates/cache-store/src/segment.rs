//! The log's files: numbered segments that are appended to in order, read at any offset and removed whole.

use crate::files::{FileHandle, Files, OpenMode};
use std::io;
use std::path::{Path, PathBuf};

/// One open segment.
#[derive(Debug)]
pub struct Segment {
    file: Box<dyn FileHandle>,
    path: PathBuf,
    /// Bytes in use; the next append begins at this offset.
    pub length: u32,
}

/// Path of a segment's file.
pub fn segment_path(folder: &Path, number: u32) -> PathBuf {
    folder.join(format!("{number:08x}.log"))
}

fn over_4_gib(path: &Path) -> io::Error {
    io::Error::other(format!("{}: the segment would exceed 4 GiB", path.display()))
}

impl Segment {
    /// Creates a segment.
    pub fn create(files: &dyn Files, folder: &Path, number: u32) -> io::Result<Segment> {
        let path = segment_path(folder, number);
        Ok(Segment { file: files.open(&path, OpenMode::CreateNew)?, path, length: 0 })
    }

    /// Opens an existing segment.
    pub fn open(files: &dyn Files, folder: &Path, number: u32) -> io::Result<Segment> {
        let path = segment_path(folder, number);
        let file = files.open(&path, OpenMode::Existing)?;
        let length = u32::try_from(file.length()?).map_err(|_| over_4_gib(&path))?;
        Ok(Segment { file, path, length })
    }

    /// The numbers of all segments in a folder, in ascending order.
    pub fn list(files: &dyn Files, folder: &Path) -> io::Result<Vec<u32>> {
        let number = |name: &String| {
            let digits = name.strip_suffix(".log").filter(|digits| digits.len() == 8)?;
            u32::from_str_radix(digits, 16).ok()
        };
        let mut numbers: Vec<_> = files.file_names(folder)?.iter().filter_map(number).collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Appends the parts and returns the offset of the first. After an error the next append overwrites what was
    /// written.
    pub fn append(&mut self, parts: &[&[u8]]) -> io::Result<u32> {
        let start = self.length;
        let mut at = u64::from(start);
        for part in parts {
            self.file.write(part, at)?;
            at += part.len() as u64;
        }
        self.length = u32::try_from(at).map_err(|_| over_4_gib(&self.path))?;
        Ok(start)
    }

    /// Reads `length` bytes at an offset; `UnexpectedEof` if the segment ends before.
    pub fn read(&self, offset: u32, length: usize) -> io::Result<Vec<u8>> {
        // Checked first: a corrupt length must not allocate memory.
        if u64::from(offset) + length as u64 > u64::from(self.length) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut bytes = vec![0; length];
        self.file.read(&mut bytes, u64::from(offset))?;
        Ok(bytes)
    }

    /// Shortens the segment to a length, in bytes.
    pub fn truncate(&mut self, length: u32) -> io::Result<()> {
        self.file.truncate(u64::from(length))?;
        self.length = length;
        Ok(())
    }

    /// Waits until the whole segment is on the disk. After an error any of its bytes may be lost.
    pub fn sync(&self) -> io::Result<()> {
        self.file.sync()
    }

    /// Deletes the file.
    pub fn remove(self, files: &dyn Files) -> io::Result<()> {
        files.remove(&self.path)
    }
}
