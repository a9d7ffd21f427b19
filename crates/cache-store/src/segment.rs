//! The files of the log: numbered segments, written in order, read anywhere, removed whole.

use crate::files::{Files, Handle, Open};
use std::io;
use std::path::{Path, PathBuf};

/// One file of the log.
#[derive(Debug)]
pub struct Segment {
    file: Box<dyn Handle>,
    path: PathBuf,
    /// Bytes that are in it.
    pub length: u32,
}

/// The file of a segment.
pub fn path(folder: &Path, number: u32) -> PathBuf {
    folder.join(format!("{number:08x}.log"))
}

impl Segment {
    /// A new segment.
    pub fn create(files: &dyn Files, folder: &Path, number: u32) -> io::Result<Segment> {
        let path = path(folder, number);
        Ok(Segment { file: files.open(&path, Open::New)?, path, length: 0 })
    }

    /// One that is there.
    pub fn open(files: &dyn Files, folder: &Path, number: u32) -> io::Result<Segment> {
        let path = path(folder, number);
        let file = files.open(&path, Open::Existing)?;
        let length =
            u32::try_from(file.length()?).map_err(|_| io::Error::other("a segment of over 4 GiB"))?;
        Ok(Segment { file, path, length })
    }

    /// The numbers of all segments in a folder, in order.
    pub fn all(files: &dyn Files, folder: &Path) -> io::Result<Vec<u32>> {
        let number = |name: &String| {
            let digits = name.strip_suffix(".log").filter(|digits| digits.len() == 8)?;
            u32::from_str_radix(digits, 16).ok()
        };
        let mut numbers: Vec<_> = files.names(folder)?.iter().filter_map(number).collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Writes behind what is there; tells where that begins. What was written in part is written over next time.
    pub fn append(&mut self, parts: &[&[u8]]) -> io::Result<u32> {
        let begins = self.length;
        let mut at = u64::from(begins);
        for part in parts {
            self.file.write(part, at)?;
            at += part.len() as u64;
        }
        self.length = u32::try_from(at).map_err(|_| io::Error::other("a segment of over 4 GiB"))?;
        Ok(begins)
    }

    /// Reads so many bytes; fewer are an error.
    pub fn read(&self, offset: u32, length: usize) -> io::Result<Vec<u8>> {
        // What is not there is not set aside for.
        if u64::from(offset) + length as u64 > u64::from(self.length) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut bytes = vec![0; length];
        self.file.read(&mut bytes, u64::from(offset))?;
        Ok(bytes)
    }

    /// Cuts off what lies behind a place.
    pub fn cut(&mut self, length: u32) -> io::Result<()> {
        self.file.cut(u64::from(length))?;
        self.length = length;
        Ok(())
    }

    /// Waits until all of it is on the disk. After an error its bytes are not to be trusted any more.
    pub fn sync(&self) -> io::Result<()> {
        self.file.sync()
    }

    /// Removes it.
    pub fn remove(self, files: &dyn Files) -> io::Result<()> {
        files.remove(&self.path)
    }
}
