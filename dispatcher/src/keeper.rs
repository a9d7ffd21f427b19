//! The file of the last good list: read at the start, written aside and renamed by a thread of its own, so that a slow
//! disk holds up nothing.

use crate::last_list::{self, LARGEST};
use copperroute_protocol::changes::Known;
use std::fs::{self, File};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

const NAME: &str = "list";
const ASIDE: &str = "list.new";

/// The list that stands in a folder, and its age in milliseconds; nothing if there is none, and why one does not do.
pub fn find(
    folder: &Path,
    unix_ms: u64,
    of: u64,
    most_age_ms: u64,
    known: u64,
) -> Result<Option<(Known, u64)>, String> {
    let path = folder.join(NAME);
    let named = |why: String| format!("{}: {why}", path.display());
    let file = match File::open(&path) {
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => return Ok(None),
        opened => opened.map_err(|fault| named(fault.to_string()))?,
    };
    let mut bytes = Vec::new();
    file.take(LARGEST as u64 + 1).read_to_end(&mut bytes).map_err(|fault| named(fault.to_string()))?;
    if bytes.len() > LARGEST {
        return Err(named(format!("no list: over {LARGEST} bytes")));
    }
    last_list::decode(&bytes, unix_ms, of, most_age_ms, known).map(Some).map_err(named)
}

fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let aside = folder.join(ASIDE);
    let mut file = File::create(&aside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(aside, folder.join(NAME))?;
    File::open(folder)?.sync_all()
}

/// The thread that writes. Of lists that come faster than the disk takes them one waits; the next is tried anew.
pub struct Keeper {
    out: Option<SyncSender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
}

fn run(folder: &Path, lists: Receiver<Vec<u8>>) {
    let mut failed = false;
    for bytes in lists {
        let fault = write(folder, &bytes).err();
        if let Some(fault) = fault.as_ref().filter(|_| !failed) {
            log::warn!("list: {}: not kept: {fault}", folder.display());
        } else if failed && fault.is_none() {
            log::info!("list: {}: kept again", folder.display());
        }
        failed = fault.is_some();
    }
}

impl Keeper {
    /// Starts it for a folder, which is made if it is not there.
    pub fn start(folder: PathBuf) -> io::Result<Keeper> {
        fs::create_dir_all(&folder)?;
        let (out, lists) = sync_channel(1);
        let thread = std::thread::Builder::new().name("list".into()).spawn(move || run(&folder, lists))?;
        Ok(Keeper { out: Some(out), thread: Some(thread) })
    }

    /// Keeps a list, unless the disk is busy with two before it.
    pub fn keep(&self, bytes: Vec<u8>) {
        if let Some(Err(TrySendError::Full(_))) = self.out.as_ref().map(|out| out.try_send(bytes)) {
            log::debug!("list: the disk is slow, one left out");
        }
    }

    /// Ends it once what waits is written.
    pub fn stop(mut self) {
        self.out = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
