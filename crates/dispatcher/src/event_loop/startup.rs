//! What is opened before the event loop runs: the listener, the disk tier and the snapshot of the node list.

use super::*;
use crate::external_time::ExternalTime;
use std::path::PathBuf;

/// Interval at which the operator's file is checked for changes, if it may bring rule versions.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Opens the listener. The address can be reused at once after another process, and the backlog takes a burst of new
/// connections.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// The location of the disk tier, and the opened disk or the reason why it could not be opened.
pub(super) type OpenedDisk = (Location, Result<Disk, String>);

/// Opens the disk tier, if one is configured. A folder in use by another process is an error; after any other failure
/// opening is retried while the dispatcher serves. The copies on disk are kept only if every purge that may not be
/// recorded on the disk is going to be delivered by the change log.
pub(super) fn open_disk(config: &Config) -> Result<Option<OpenedDisk>, String> {
    let Some(tier) = &config.disk_tier else { return Ok(None) };
    let limits = Limits {
        most_bytes: tier.most_mb * 1_000_000,
        segment_bytes: (tier.segment_mb * 1_000_000).min(u64::from(u32::MAX)) as u32,
        sync: match tier.sync {
            SyncPolicy::Never => Sync::Never,
            SyncPolicy::Segments => Sync::Segments,
            SyncPolicy::Always => Sync::Always,
        },
    };
    let location = Location::new(&tier.folder, limits);
    let disk = match location.open() {
        Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
            return Err(format!("store: {location}: {fault}"));
        }
        Err(fault) => Err(fault),
        Ok((disk, found)) => keep_or_clear(
            disk,
            found,
            Some(&config.known).filter(|_| tier.change_log == SequenceNumbers::Continued),
        ),
    };
    Ok(Some((location, disk.map_err(|fault| fault.to_string()))))
}

/// Keeps the copies found on the disk if the known events cover all purges since; else clears the disk.
fn keep_or_clear(mut disk: Disk, found: Found, known: Option<&KnownEvents>) -> io::Result<Disk> {
    let is_covered = known.is_some_and(|known| covers_purges_after(known, disk.seq()));
    if !is_covered && found.copies > 0 {
        disk.clear()?;
    }
    log::info!("store: {} copies found, {} kept, {} bytes read", found.copies, disk.sizes().0, found.scanned);
    Ok(disk)
}

/// Loads the snapshot of the node list, if snapshots are configured, and starts the thread that writes it. A snapshot
/// that is newer than the events in the configuration replaces them; one that can't be used is ignored. A folder that
/// can't be created is an error.
pub(super) fn load_snapshot(config: &mut Config, clock: &Clock) -> Result<Option<SnapshotWriter>, String> {
    let Some(settings) = config.snapshot.clone() else { return Ok(None) };
    let max_age_ms = (settings.most_age_s * 1e3) as u64;
    // The times in the configuration have passed. If the clock is behind them, the snapshot is older than the clock
    // says.
    let mut external_time = ExternalTime::new(clock.epoch());
    config.known.results.iter().for_each(|change| external_time.observe_event(clock.now(), change));
    let unix_ms = external_time.latest_by_local_clock_ms(clock.now());
    match snapshot_writer::load(&settings.folder, unix_ms, config.fingerprint(), max_age_ms, config.known.seq)
    {
        Ok(Some((known, age_ms))) => {
            log::info!("list: snapshot of event {}, {:.1} s old, taken", known.seq, age_ms as f64 / 1e3);
            config.known = known;
        }
        Ok(None) => log::info!("list: {}: no snapshot yet", settings.folder.display()),
        Err(why) => log::warn!("list: {why}; snapshot ignored"),
    }
    SnapshotWriter::start(settings.folder.clone())
        .map(Some)
        .map_err(|fault| format!("list: {}: {fault}", settings.folder.display()))
}

/// When a file was last modified; `None` if it is missing.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

impl Driver {
    /// Starts the thread of the disk tier.
    pub(super) fn start_disk(&mut self, (location, disk): OpenedDisk) -> calloop::Result<()> {
        let (sender, messages) = channel();
        self.handle.insert_source(messages, |event, _, inbox| {
            if let calloop::channel::Event::Msg(message) = event {
                inbox.disk.push(message);
            }
        })?;
        let opened = disk.as_ref().ok().map(|disk| (disk.prints(), disk.seq()));
        self.disk = Some(Worker::start_at(location, disk, DiskSender(sender)));
        if let Some((fingerprints, marked_seq)) = opened {
            self.reduce(Event::DiskReady(&fingerprints, marked_seq));
        }
        Ok(())
    }

    /// Has the configuration read again whenever the operator's file changes.
    pub(super) fn watch_operator_file(&mut self, path: PathBuf) -> calloop::Result<()> {
        let mut last_modified = modified_at(&path);
        let watch = Timer::from_duration(FILE_CHECK_INTERVAL);
        self.handle.insert_source(watch, move |_, _, inbox| {
            let modified = modified_at(&path);
            inbox.reload |= std::mem::replace(&mut last_modified, modified) != modified;
            TimeoutAction::ToDuration(FILE_CHECK_INTERVAL)
        })?;
        Ok(())
    }
}
