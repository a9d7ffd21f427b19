//! The file of the last good list: read at the start, written aside and renamed by a thread of its own, so that a slow
//! disk holds up nothing. A list that could not be written is tried again, unless a newer one comes first.

use crate::node_list_snapshot::{self, MAX_FILE_BYTES};
use copperroute_cache_store::files::{FileSystem, Files, read_whole, replace};
use copperroute_cache_store::reopening::Reopening;
use copperroute_protocol::changes::KnownEvents;
use copperroute_routing::interface::Nanos;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const NAME: &str = "list";
const ASIDE: &str = "list.new";
/// At the end the disk has so long for what waits; one that hangs must not hold up the end of the program.
const ENDS_WITHIN: Duration = Duration::from_secs(2);
/// How often it is looked whether the thread has ended.
const ENDED_YET: Duration = Duration::from_millis(2);

/// The list that stands in a folder, and its age in milliseconds; nothing if there is none, and why one does not do.
pub fn load(
    folder: &Path,
    unix_ms: u64,
    of: u64,
    most_age_ms: u64,
    known: u64,
) -> Result<Option<(KnownEvents, u64)>, String> {
    load_with(&FileSystem, folder, unix_ms, of, most_age_ms, known)
}

/// The same, reached by these operations.
pub fn load_with(
    files: &dyn Files,
    folder: &Path,
    unix_ms: u64,
    of: u64,
    most_age_ms: u64,
    known: u64,
) -> Result<Option<(KnownEvents, u64)>, String> {
    let path = folder.join(NAME);
    let named = |why: String| format!("{}: {why}", path.display());
    let Some(bytes) = read_whole(files, &path, MAX_FILE_BYTES).map_err(|fault| named(fault.to_string()))?
    else {
        return Ok(None);
    };
    node_list_snapshot::decode(&bytes, unix_ms, of, most_age_ms, known).map(Some).map_err(named)
}

/// The thread that writes. Of lists that come faster than the disk takes them one waits; the next is tried anew.
pub struct SnapshotWriter {
    out: Option<SyncSender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
}

/// The thread's own state.
struct Writer<F> {
    files: F,
    folder: PathBuf,
    /// The list that is not written yet.
    waits: Option<Vec<u8>>,
    retries: Reopening,
    started: Instant,
}

impl<F: Files> Writer<F> {
    fn now(&self) -> Nanos {
        Nanos(self.started.elapsed().as_nanos() as u64)
    }

    fn run(mut self, lists: &Receiver<Vec<u8>>) {
        loop {
            let received = match self.retries.due() {
                None => lists.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(due) => lists.recv_timeout(Duration::from_nanos(due.since(self.now()).0)),
            };
            match received {
                Ok(bytes) => self.waits = Some(bytes),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.write(),
            }
            if self.retries.due().is_none_or(|due| self.now() >= due) {
                self.write();
            }
        }
    }

    fn write(&mut self) {
        let Some(bytes) = &self.waits else { return };
        match replace(&self.files, &self.folder, [NAME, ASIDE], bytes, true) {
            Ok(()) => {
                self.waits = None;
                if self.retries.succeeded(self.now()).is_some() {
                    log::info!("list: {}: kept again", self.folder.display());
                }
            }
            Err(fault) => {
                if self.retries.failed(self.now()) {
                    log::warn!("list: {}: not kept: {fault}", self.folder.display());
                }
            }
        }
    }
}

impl SnapshotWriter {
    /// Starts it for a folder, which is made if it is not there.
    pub fn start(folder: PathBuf) -> io::Result<SnapshotWriter> {
        SnapshotWriter::start_with(FileSystem, folder)
    }

    /// The same for one reached by these operations.
    pub fn start_with(files: impl Files + 'static, folder: PathBuf) -> io::Result<SnapshotWriter> {
        files.make_folder(&folder)?;
        let (out, lists) = sync_channel(1);
        let (retries, started) = (Reopening::default(), Instant::now());
        let writer = Writer { files, folder, waits: None, retries, started };
        let thread = std::thread::Builder::new().name("list".into()).spawn(move || writer.run(&lists))?;
        Ok(SnapshotWriter { out: Some(out), thread: Some(thread) })
    }

    /// Keeps a list, unless the disk is busy with two before it.
    pub fn save(&self, bytes: Vec<u8>) {
        if let Some(Err(TrySendError::Full(_))) = self.out.as_ref().map(|out| out.try_send(bytes)) {
            log::debug!("list: the disk is slow, one left out");
        }
    }

    /// Ends it once what waits is written, or the disk has had its time for that.
    pub fn stop(mut self) {
        self.out = None;
        let begun = Instant::now();
        while self.thread.as_ref().is_some_and(|thread| !thread.is_finished()) {
            if begun.elapsed() > ENDS_WITHIN {
                return;
            }
            std::thread::sleep(ENDED_YET);
        }
    }
}
