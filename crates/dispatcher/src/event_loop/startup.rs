//! What is opened before the loop runs.

use super::*;
use crate::external_time::ExternalTime;

/// Listens, also at once after another process did so, with room for a burst of new connections.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// The disk tier's place, and the disk there, or why there is none yet.
pub(super) type OpenedDisk = (Location, Result<Disk, String>);

/// Opens the disk tier, where the operators want one. A folder in use ends the start; after any other failure it is
/// tried again while the dispatcher serves. What was there is kept only if every purge that may not be marked on it is
/// going to be heard.
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
        Ok((disk, found)) => {
            judged(disk, found, Some(&config.known).filter(|_| tier.change_log == SequenceNumbers::Continued))
        }
    };
    Ok(Some((location, disk.map_err(|fault| fault.to_string()))))
}

/// A disk as it may be used: with what was found, or with nothing where that can't be judged.
fn judged(mut disk: Disk, found: Found, known: Option<&KnownEvents>) -> io::Result<Disk> {
    let trusted = known.is_some_and(|known| covers_purges_after(known, disk.seq()));
    if !trusted && found.copies > 0 {
        disk.clear()?;
    }
    log::info!("store: {} copies found, {} kept, {} bytes read", found.copies, disk.sizes().0, found.scanned);
    Ok(disk)
}

/// Finds the last good list, where the operators want one kept: it stands in for what the configuration knows if it is
/// newer. One that does not do is as if absent. A folder that can't be made ends the start.
pub(super) fn open_list(config: &mut Config, clock: &Clock) -> Result<Option<SnapshotWriter>, String> {
    let Some(told) = config.snapshot.clone() else { return Ok(None) };
    let most_age_ms = (told.most_age_s * 1e3) as u64;
    // What the configuration tells has passed: a clock before that is behind, and a list older than it seems.
    let mut outside = ExternalTime::new(clock.epoch());
    config.known.results.iter().for_each(|change| outside.observe_event(clock.now(), change));
    let unix_ms = outside.latest_ms(clock.now());
    match snapshot_writer::load(&told.folder, unix_ms, config.fingerprint(), most_age_ms, config.known.seq) {
        Ok(Some((known, age_ms))) => {
            log::info!("list: of event {}, {:.1} s old, taken", known.seq, age_ms as f64 / 1e3);
            config.known = known;
        }
        Ok(None) => log::info!("list: {}: none kept yet", told.folder.display()),
        Err(why) => log::warn!("list: {why}; as if absent"),
    }
    SnapshotWriter::start(told.folder.clone())
        .map(Some)
        .map_err(|fault| format!("list: {}: {fault}", told.folder.display()))
}

/// When a file was last changed, if it is there.
pub(super) fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|told| told.modified()).ok()
}
