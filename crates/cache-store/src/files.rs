//! File operations of the disk tier and of the dispatcher's saved node list, behind traits. Tests implement them to
//! make any operation fail or stop after any byte, and to model what a crash leaves on the disk.

use std::fmt::Debug;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// How a file is opened. All are opened for reading and writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenMode {
    /// The file must exist.
    Existing,
    /// The file must not exist; it is created.
    CreateNew,
    /// The file is created if it does not exist.
    CreateIfMissing,
}

/// Operations on folders and file names.
pub trait Files: Debug + Send + Sync {
    /// Creates a folder and its parents if they do not exist.
    fn make_folder(&self, folder: &Path) -> io::Result<()>;
    /// The names of all files in a folder.
    fn file_names(&self, folder: &Path) -> io::Result<Vec<String>>;
    /// Opens a file.
    fn open(&self, path: &Path, mode: OpenMode) -> io::Result<Box<dyn FileHandle>>;
    /// Renames a file and replaces any file of the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Waits until created, renamed and removed names of a folder are on the disk.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// An open file.
pub trait FileHandle: Debug + Send {
    /// Length in bytes.
    fn length(&self) -> io::Result<u64>;
    /// Fills the buffer from an offset; `UnexpectedEof` if the file ends before.
    fn read(&self, buffer: &mut [u8], at: u64) -> io::Result<()>;
    /// Writes all bytes at an offset. After an error any number of them may have been written.
    fn write(&self, bytes: &[u8], at: u64) -> io::Result<()>;
    /// Sets the file's length, in bytes.
    fn truncate(&self, length: u64) -> io::Result<()>;
    /// Waits until its bytes are on the disk. After an error all bytes written since the last success may be lost,
    /// even if a later call succeeds: the kernel marks pages as clean that it failed to write.
    fn sync(&self) -> io::Result<()>;
    /// Takes the file's exclusive lock; `WouldBlock` if another process holds it.
    fn lock(&self) -> io::Result<()>;
}

/// The operating system's file system.
#[derive(Debug, Clone, Copy, Default)]
pub struct FileSystem;

impl Files for FileSystem {
    fn make_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    fn file_names(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn open(&self, path: &Path, mode: OpenMode) -> io::Result<Box<dyn FileHandle>> {
        let mut options = File::options();
        options.read(true).write(true);
        match mode {
            OpenMode::Existing => {}
            OpenMode::CreateNew => drop(options.create_new(true)),
            OpenMode::CreateIfMissing => drop(options.create(true).truncate(false)),
        }
        Ok(Box::new(options.open(path)?))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

impl FileHandle for File {
    fn length(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read(&self, buffer: &mut [u8], at: u64) -> io::Result<()> {
        self.read_exact_at(buffer, at)
    }

    fn write(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        self.write_all_at(bytes, at)
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }

    fn lock(&self) -> io::Result<()> {
        self.try_lock().map_err(|error| match error {
            fs::TryLockError::WouldBlock => {
                io::Error::new(io::ErrorKind::WouldBlock, "in use by another process")
            }
            fs::TryLockError::Error(error) => error,
        })
    }
}

/// Removes a file if it exists.
pub fn remove_if_exists(files: &dyn Files, path: &Path) -> io::Result<()> {
    match files.remove(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        removed => removed,
    }
}

/// Reads a whole file of at most `max_bytes`; `None` if it does not exist.
pub fn read_whole(files: &dyn Files, path: &Path, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
    let file = match files.open(path, OpenMode::Existing) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        opened => opened?,
    };
    let length = usize::try_from(file.length()?).ok().filter(|length| *length <= max_bytes);
    let too_long = || io::Error::other(format!("file exceeds {max_bytes} bytes"));
    let mut bytes = vec![0; length.ok_or_else(too_long)?];
    file.read(&mut bytes, 0)?;
    Ok(Some(bytes))
}

/// Replaces a file atomically: writes a temporary file and renames it, so that the name always stands for a whole file,
/// the old one or the new. After an error either may be there. With `syncs`, file and folder are synced.
pub fn replace(
    files: &dyn Files,
    folder: &Path,
    [name, temporary]: [&str; 2],
    bytes: &[u8],
    syncs: bool,
) -> io::Result<()> {
    let temporary = folder.join(temporary);
    // Each attempt uses a new file: bytes of a file whose sync failed may never reach the disk.
    remove_if_exists(files, &temporary)?;
    let file = files.open(&temporary, OpenMode::CreateNew)?;
    file.write(bytes, 0)?;
    if syncs {
        file.sync()?;
    }
    files.rename(&temporary, &folder.join(name))?;
    if syncs { files.sync_folder(folder) } else { Ok(()) }
}
