//! Reads and writes the snapshot file of the node list. The event loop loads it at the start and then hands new content
//! to a thread, which writes a temporary file and renames it, so that a slow disk does not delay the event loop. A
//! failed write is retried unless newer content arrives first.

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
const TEMPORARY_NAME: &str = "list.new";
/// Time limit for the last write when the program ends, so that a disk that hangs does not delay the end.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which `stop` checks whether the thread has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Reads the snapshot in a folder: its events and its age in milliseconds, `None` if there is no file, or an error that
/// says why it can't be used. The parameters are those of [`node_list_snapshot::decode`].
pub fn load(
    folder: &Path,
    unix_ms: u64,
    fingerprint: u64,
    max_age_ms: u64,
    known: u64,
) -> Result<Option<(KnownEvents, u64)>, String> {
    load_with(&FileSystem, folder, unix_ms, fingerprint, max_age_ms, known)
}

/// The same with the given file operations.
pub fn load_with(
    files: &dyn Files,
    folder: &Path,
    unix_ms: u64,
    fingerprint: u64,
    max_age_ms: u64,
    known: u64,
) -> Result<Option<(KnownEvents, u64)>, String> {
    let path = folder.join(NAME);
    let named = |why: String| format!("{}: {why}", path.display());
    let Some(bytes) = read_whole(files, &path, MAX_FILE_BYTES).map_err(|fault| named(fault.to_string()))?
    else {
        return Ok(None);
    };
    node_list_snapshot::decode(&bytes, unix_ms, fingerprint, max_age_ms, known).map(Some).map_err(named)
}

/// Handle of the writing thread. If snapshots come faster than the disk takes them, one is queued and further ones are
/// dropped.
pub struct SnapshotWriter {
    out: Option<SyncSender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
}

/// The thread's own state.
struct Writer<F> {
    files: F,
    folder: PathBuf,
    /// The content that is not written yet.
    pending: Option<Vec<u8>>,
    retries: Reopening,
    started: Instant,
}

impl<F: Files> Writer<F> {
    fn now(&self) -> Nanos {
        Nanos(self.started.elapsed().as_nanos() as u64)
    }

    fn run(mut self, snapshots: &Receiver<Vec<u8>>) {
        loop {
            let received = match self.retries.due() {
                None => snapshots.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(due) => snapshots.recv_timeout(Duration::from_nanos(due.since(self.now()).0)),
            };
            match received {
                Ok(bytes) => self.pending = Some(bytes),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.write(),
            }
            if self.retries.due().is_none_or(|due| self.now() >= due) {
                self.write();
            }
        }
    }

    fn write(&mut self) {
        let Some(bytes) = &self.pending else { return };
        match replace(&self.files, &self.folder, [NAME, TEMPORARY_NAME], bytes, true) {
            Ok(()) => {
                self.pending = None;
                if self.retries.succeeded(self.now()).is_some() {
                    log::info!("list: {}: snapshot saved again", self.folder.display());
                }
            }
            Err(fault) => {
                if self.retries.failed(self.now()) {
                    log::warn!("list: {}: snapshot not saved: {fault}", self.folder.display());
                }
            }
        }
    }
}

impl SnapshotWriter {
    /// Starts the thread for a folder, which is created if it is missing.
    pub fn start(folder: PathBuf) -> io::Result<SnapshotWriter> {
        SnapshotWriter::start_with(FileSystem, folder)
    }

    /// The same with the given file operations.
    pub fn start_with(files: impl Files + 'static, folder: PathBuf) -> io::Result<SnapshotWriter> {
        files.make_folder(&folder)?;
        let (out, snapshots) = sync_channel(1);
        let (retries, started) = (Reopening::default(), Instant::now());
        let writer = Writer { files, folder, pending: None, retries, started };
        let thread = std::thread::Builder::new().name("list".into()).spawn(move || writer.run(&snapshots))?;
        Ok(SnapshotWriter { out: Some(out), thread: Some(thread) })
    }

    /// Queues content to be written; drops it if the disk is still busy with two earlier ones.
    pub fn save(&self, bytes: Vec<u8>) {
        if let Some(Err(TrySendError::Full(_))) = self.out.as_ref().map(|out| out.try_send(bytes)) {
            log::debug!("list: the disk is slow, one snapshot dropped");
        }
    }

    /// Ends the thread once the queued content is written, or after a time limit.
    pub fn stop(mut self) {
        self.out = None;
        let stop_started = Instant::now();
        while self.thread.as_ref().is_some_and(|thread| !thread.is_finished()) {
            if stop_started.elapsed() > STOP_TIMEOUT {
                return;
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }
}
