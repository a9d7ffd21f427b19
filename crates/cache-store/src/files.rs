//! The file operations of store and last good list, behind a trait: a test can make any of them fail, or stop at any
//! byte, and tell what a crash leaves.

use std::fmt::Debug;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// How a file is opened. All are opened for reading and writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Open {
    /// It has to be there.
    Existing,
    /// It must not be there.
    New,
    /// It is made if it is not there.
    Any,
}

/// Folders and names.
pub trait Files: Debug + Send + Sync {
    /// Makes a folder, and those above it, if it is not there.
    fn make_folder(&self, folder: &Path) -> io::Result<()>;
    /// The names in a folder.
    fn names(&self, folder: &Path) -> io::Result<Vec<String>>;
    /// Opens a file.
    fn open(&self, path: &Path, how: Open) -> io::Result<Box<dyn Handle>>;
    /// Gives a file another name, over one that is there.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Waits until the names in a folder are on the disk.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// An open file.
pub trait Handle: Debug + Send {
    /// Its length.
    fn length(&self) -> io::Result<u64>;
    /// Fills the buffer from a place; fewer bytes there are an error.
    fn read(&self, buffer: &mut [u8], at: u64) -> io::Result<()>;
    /// Writes all bytes at a place. After an error any part of them may be there.
    fn write(&self, bytes: &[u8], at: u64) -> io::Result<()>;
    /// Cuts it to a length.
    fn cut(&self, length: u64) -> io::Result<()>;
    /// Waits until its bytes are on the disk. After an error what was written since the last success may be lost, even
    /// if a later call succeeds: the system forgets that pages which it could not write were ever changed.
    fn sync(&self) -> io::Result<()>;
    /// Takes the lock that one process can hold; `WouldBlock` if another holds it.
    fn lock(&self) -> io::Result<()>;
}

/// The file system.
#[derive(Debug, Clone, Copy, Default)]
pub struct FileSystem;

impl Files for FileSystem {
    fn make_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    fn names(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn open(&self, path: &Path, how: Open) -> io::Result<Box<dyn Handle>> {
        let mut options = File::options();
        options.read(true).write(true);
        match how {
            Open::Existing => {}
            Open::New => drop(options.create_new(true)),
            Open::Any => drop(options.create(true).truncate(false)),
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

impl Handle for File {
    fn length(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read(&self, buffer: &mut [u8], at: u64) -> io::Result<()> {
        self.read_exact_at(buffer, at)
    }

    fn write(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        self.write_all_at(bytes, at)
    }

    fn cut(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }

    fn lock(&self) -> io::Result<()> {
        self.try_lock().map_err(|fault| match fault {
            fs::TryLockError::WouldBlock => {
                io::Error::new(io::ErrorKind::WouldBlock, "in use by another process")
            }
            fs::TryLockError::Error(fault) => fault,
        })
    }
}

/// Removes a file that may not be there.
pub fn remove_if_there(files: &dyn Files, path: &Path) -> io::Result<()> {
    match files.remove(path) {
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => Ok(()),
        removed => removed,
    }
}

/// Reads a whole file; nothing if it is not there, an error if it is longer than it may be.
pub fn read_whole(files: &dyn Files, path: &Path, most: usize) -> io::Result<Option<Vec<u8>>> {
    let file = match files.open(path, Open::Existing) {
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => return Ok(None),
        opened => opened?,
    };
    let length = usize::try_from(file.length()?).ok().filter(|length| *length <= most);
    let mut bytes = vec![0; length.ok_or_else(|| io::Error::other(format!("over {most} bytes")))?];
    file.read(&mut bytes, 0)?;
    Ok(Some(bytes))
}

/// Writes a file so that under its name there is always a whole one, the old or the new: aside into a file of its own,
/// which a failed try leaves for no later one, then renamed. After an error either may be there.
pub fn replace(
    files: &dyn Files,
    folder: &Path,
    [name, aside]: [&str; 2],
    bytes: &[u8],
    syncs: bool,
) -> io::Result<()> {
    let aside = folder.join(aside);
    // What a failed sync has left in the same file may never reach the disk: each try has a new one.
    remove_if_there(files, &aside)?;
    let file = files.open(&aside, Open::New)?;
    file.write(bytes, 0)?;
    if syncs {
        file.sync()?;
    }
    files.rename(&aside, &folder.join(name))?;
    if syncs { files.sync_folder(folder) } else { Ok(()) }
}
