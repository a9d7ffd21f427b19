//! A file system in memory with a page cache: any operation can fail or be torn, and a crash leaves what Linux may leave.

use copperroute_cache_store::files::{Files, Handle, Open};
use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An operation that can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    MakeFolder,
    Names,
    Open,
    Read,
    Write,
    Cut,
    Sync,
    SyncFolder,
    Rename,
    Remove,
}

/// How an operation goes wrong: so many bytes of a write are done, then this error.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fault {
    pub errno: i32,
    pub torn: usize,
}

/// What a stop of the machine leaves of what was never synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// Neither bytes nor names.
    All,
    /// All names, no bytes.
    Bytes,
    /// All names that were made; those removed are back; no bytes.
    Removals,
}

impl Loss {
    /// Each of them.
    pub(crate) const ALL: [Loss; 3] = [Loss::All, Loss::Bytes, Loss::Removals];
}

type Plan = Box<dyn FnMut(u64, Kind, usize) -> Option<Fault> + Send>;

#[derive(Debug, Clone, Default)]
struct Inode {
    cached: Vec<u8>,
    durable: Vec<u8>,
    /// What was written and waits for a sync. A failed sync forgets it.
    dirty: Vec<Range<usize>>,
    /// It was cut to this length since the last sync.
    cut: Option<usize>,
}

#[derive(Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    operations: u64,
    plan: Option<Plan>,
}

/// The file system; clones share it. It has one folder, whatever its name.
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
    /// Counts an operation; the plan's fault, if it has one for it.
    fn fault(&mut self, kind: Kind, length: usize) -> Option<Fault> {
        let number = self.operations;
        self.operations += 1;
        self.plan.as_mut().and_then(|plan| plan(number, kind, length))
    }

    fn count(&mut self, kind: Kind) -> io::Result<()> {
        self.fault(kind, 0).map_or(Ok(()), |fault| Err(io::Error::from_raw_os_error(fault.errno)))
    }
}

impl Memory {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Which operations fail from now on; none without a plan. They are counted from 0 again.
    pub(crate) fn plan(&self, plan: Option<Plan>) {
        let mut state = self.state();
        (state.plan, state.operations) = (plan, 0);
    }

    /// The same files apart from these, without a plan: what the next life finds after a kill.
    pub(crate) fn after_kill(&self) -> Memory {
        let state = self.state();
        let (names, durable_names) = (state.names.clone(), state.durable_names.clone());
        let inodes = state.inodes.clone();
        Memory(Arc::new(Mutex::new(State { inodes, names, durable_names, ..State::default() })))
    }

    /// What the next life finds after the machine has stopped.
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
        self.state().count(Kind::MakeFolder)
    }

    fn names(&self, _folder: &Path) -> io::Result<Vec<String>> {
        let mut state = self.state();
        state.count(Kind::Names)?;
        Ok(state.names.keys().cloned().collect())
    }

    fn open(&self, path: &Path, how: Open) -> io::Result<Box<dyn Handle>> {
        let mut state = self.state();
        state.count(Kind::Open)?;
        let found = state.names.get(&name(path)).copied();
        let inode = match (found, how) {
            (Some(_), Open::New) => return Err(io::ErrorKind::AlreadyExists.into()),
            (None, Open::Existing) => return Err(io::ErrorKind::NotFound.into()),
            (Some(found), _) => found,
            (None, _) => {
                state.inodes.push(Inode::default());
                let made = state.inodes.len() - 1;
                state.names.insert(name(path), made);
                made
            }
        };
        Ok(Box::new(OpenFile { files: self.clone(), inode }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.count(Kind::Rename)?;
        let moved = state.names.remove(&name(from)).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(name(to), moved);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.count(Kind::Remove)?;
        state.names.remove(&name(path)).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&self, _folder: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.count(Kind::SyncFolder)?;
        state.durable_names = state.names.clone();
        Ok(())
    }
}

#[derive(Debug)]
struct OpenFile {
    files: Memory,
    inode: usize,
}

fn put(bytes: &mut Vec<u8>, at: usize, what: &[u8]) {
    bytes.resize(bytes.len().max(at + what.len()), 0);
    bytes[at..at + what.len()].copy_from_slice(what);
}

impl Handle for OpenFile {
    fn length(&self) -> io::Result<u64> {
        Ok(self.files.state().inodes[self.inode].cached.len() as u64)
    }

    fn read(&self, buffer: &mut [u8], at: u64) -> io::Result<()> {
        let mut state = self.files.state();
        state.count(Kind::Read)?;
        let there = state.inodes[self.inode].cached.get(at as usize..at as usize + buffer.len());
        buffer.copy_from_slice(there.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn write(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        let mut state = self.files.state();
        let fault = state.fault(Kind::Write, bytes.len());
        let done = fault.map_or(bytes.len(), |fault| fault.torn.min(bytes.len()));
        let inode = &mut state.inodes[self.inode];
        put(&mut inode.cached, at as usize, &bytes[..done]);
        inode.dirty.push(at as usize..at as usize + done);
        fault.map_or(Ok(()), |fault| Err(io::Error::from_raw_os_error(fault.errno)))
    }

    fn cut(&self, length: u64) -> io::Result<()> {
        let mut state = self.files.state();
        state.count(Kind::Cut)?;
        let inode = &mut state.inodes[self.inode];
        inode.cached.resize(length as usize, 0);
        inode.dirty.iter_mut().for_each(|range| range.end = range.end.min(length as usize));
        inode.dirty.retain(|range| range.start < range.end);
        inode.cut = Some(inode.cut.map_or(length as usize, |cut| cut.min(length as usize)));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.files.state();
        let fault = state.fault(Kind::Sync, 0);
        let inode = &mut state.inodes[self.inode];
        let (dirty, cut) = (std::mem::take(&mut inode.dirty), inode.cut.take());
        if let Some(fault) = fault {
            return Err(io::Error::from_raw_os_error(fault.errno));
        }
        cut.into_iter().for_each(|cut| inode.durable.truncate(cut));
        for range in dirty {
            let what = inode.cached[range.clone()].to_vec();
            put(&mut inode.durable, range.start, &what);
        }
        Ok(())
    }

    fn lock(&self) -> io::Result<()> {
        Ok(())
    }
}
