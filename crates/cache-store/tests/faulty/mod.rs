//! An in-memory file system with a page cache for tests: any operation can fail, any write can stop after some bytes,
//! and a crash leaves what Linux may leave.

use copperroute_cache_store::files::{FileHandle, Files, OpenMode};
use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An operation that can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    MakeFolder,
    FileNames,
    Open,
    Read,
    Write,
    Truncate,
    Sync,
    SyncFolder,
    Rename,
    Remove,
}

/// How an operation fails: a write stores `torn` bytes, then the operation returns the error `errno`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fault {
    pub errno: i32,
    pub torn: usize,
}

/// What a stop of the machine loses of the changes that were not synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// All bytes and all changes of names.
    All,
    /// All bytes; changes of names are kept.
    Bytes,
    /// All bytes and all removals of names; created names are kept.
    Removals,
}

impl Loss {
    /// All variants.
    pub(crate) const ALL: [Loss; 3] = [Loss::All, Loss::Bytes, Loss::Removals];
}

/// Decides by the number, kind and length in bytes of an operation whether it fails.
type Plan = Box<dyn FnMut(u64, Kind, usize) -> Option<Fault> + Send>;

#[derive(Debug, Clone, Default)]
struct Inode {
    cached: Vec<u8>,
    durable: Vec<u8>,
    /// Ranges that were written since the last sync. A failed sync discards them, as Linux does.
    dirty: Vec<Range<usize>>,
    /// The shortest length that it was truncated to since the last sync.
    truncated_to: Option<usize>,
}

#[derive(Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    operations: u64,
    plan: Option<Plan>,
}

/// The file system; clones share its state. All paths lie in one folder.
#[derive(Clone, Default)]
pub(crate) struct Memory(Arc<Mutex<State>>);

impl std::fmt::Debug for Memory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Memory")
    }
}

fn name(path: &Path) -> String {
    path.file_name().expect("a name").to_string_lossy().into_owned()
}

impl State {
    /// Counts an operation and returns the plan's fault for it, if any.
    fn next_fault(&mut self, operation: Kind, length: usize) -> Option<Fault> {
        let number = self.operations;
        self.operations += 1;
        self.plan.as_mut().and_then(|plan| plan(number, operation, length))
    }

    /// Counts an operation that does everything or nothing, and fails if the plan says so.
    fn check(&mut self, operation: Kind) -> io::Result<()> {
        self.next_fault(operation, 0).map_or(Ok(()), |fault| Err(io::Error::from_raw_os_error(fault.errno)))
    }
}

impl Memory {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets which operations fail from now on; none without a plan. Operations are counted from 0 again.
    pub(crate) fn plan(&self, plan: Option<Plan>) {
        let mut state = self.state();
        (state.plan, state.operations) = (plan, 0);
    }

    /// A separate copy of the files as the next process finds them after a kill, without a plan.
    pub(crate) fn after_kill(&self) -> Memory {
        let state = self.state();
        let (names, durable_names) = (state.names.clone(), state.durable_names.clone());
        let inodes = state.inodes.clone();
        Memory(Arc::new(Mutex::new(State { inodes, names, durable_names, ..State::default() })))
    }

    /// A separate copy of the files as the next process finds them after the machine has stopped.
    pub(crate) fn after_stop(&self, loss: Loss) -> Memory {
        let after = self.after_kill();
        let mut state = after.state();
        state.names = match loss {
            Loss::All => state.durable_names.clone(),
            Loss::Bytes => state.names.clone(),
            Loss::Removals => {
                state.durable_names.iter().chain(&state.names).map(|(name, at)| (name.clone(), *at)).collect()
            }
        };
        state.durable_names = state.names.clone();
        for inode in &mut state.inodes {
            *inode =
                Inode { cached: inode.durable.clone(), durable: inode.durable.clone(), ..Inode::default() };
        }
        drop(state);
        after
    }
}

impl Files for Memory {
    fn make_folder(&self, _folder: &Path) -> io::Result<()> {
        self.state().check(Kind::MakeFolder)
    }

    fn file_names(&self, _folder: &Path) -> io::Result<Vec<String>> {
        let mut state = self.state();
        state.check(Kind::FileNames)?;
        Ok(state.names.keys().cloned().collect())
    }

    fn open(&self, path: &Path, mode: OpenMode) -> io::Result<Box<dyn FileHandle>> {
        let mut state = self.state();
        state.check(Kind::Open)?;
        let found = state.names.get(&name(path)).copied();
        let inode = match (found, mode) {
            (Some(_), OpenMode::CreateNew) => return Err(io::ErrorKind::AlreadyExists.into()),
            (None, OpenMode::Existing) => return Err(io::ErrorKind::NotFound.into()),
            (Some(found), _) => found,
            (None, _) => {
                state.inodes.push(Inode::default());
                let created = state.inodes.len() - 1;
                state.names.insert(name(path), created);
                created
            }
        };
        Ok(Box::new(OpenFile { files: self.clone(), inode }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.check(Kind::Rename)?;
        let moved = state.names.remove(&name(from)).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(name(to), moved);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.check(Kind::Remove)?;
        state.names.remove(&name(path)).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&self, _folder: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.check(Kind::SyncFolder)?;
        state.durable_names = state.names.clone();
        Ok(())
    }
}

#[derive(Debug)]
struct OpenFile {
    files: Memory,
    inode: usize,
}

/// Writes bytes at an offset and fills a gap before it with zeros.
fn write_at(bytes: &mut Vec<u8>, at: usize, what: &[u8]) {
    bytes.resize(bytes.len().max(at + what.len()), 0);
    bytes[at..at + what.len()].copy_from_slice(what);
}

impl FileHandle for OpenFile {
    fn length(&self) -> io::Result<u64> {
        Ok(self.files.state().inodes[self.inode].cached.len() as u64)
    }

    fn read(&self, buffer: &mut [u8], at: u64) -> io::Result<()> {
        let mut state = self.files.state();
        state.check(Kind::Read)?;
        let stored = state.inodes[self.inode].cached.get(at as usize..at as usize + buffer.len());
        buffer.copy_from_slice(stored.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn write(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        let mut state = self.files.state();
        let fault = state.next_fault(Kind::Write, bytes.len());
        let written = fault.map_or(bytes.len(), |fault| fault.torn.min(bytes.len()));
        let inode = &mut state.inodes[self.inode];
        write_at(&mut inode.cached, at as usize, &bytes[..written]);
        inode.dirty.push(at as usize..at as usize + written);
        fault.map_or(Ok(()), |fault| Err(io::Error::from_raw_os_error(fault.errno)))
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        let mut state = self.files.state();
        state.check(Kind::Truncate)?;
        let inode = &mut state.inodes[self.inode];
        inode.cached.resize(length as usize, 0);
        inode.dirty.iter_mut().for_each(|range| range.end = range.end.min(length as usize));
        inode.dirty.retain(|range| range.start < range.end);
        let shortest = inode.truncated_to.map_or(length as usize, |before| before.min(length as usize));
        inode.truncated_to = Some(shortest);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.files.state();
        let fault = state.next_fault(Kind::Sync, 0);
        let inode = &mut state.inodes[self.inode];
        let (dirty, truncated_to) = (std::mem::take(&mut inode.dirty), inode.truncated_to.take());
        if let Some(fault) = fault {
            return Err(io::Error::from_raw_os_error(fault.errno));
        }
        truncated_to.into_iter().for_each(|length| inode.durable.truncate(length));
        for range in dirty {
            let what = inode.cached[range.clone()].to_vec();
            write_at(&mut inode.durable, range.start, &what);
        }
        Ok(())
    }

    fn lock(&self) -> io::Result<()> {
        Ok(())
    }
}
