//! What is opened before the loop runs.

use super::*;
use crate::outside_time::OutsideTime;

/// Listens, also at once after another process did so, with room for a burst of new connections.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Opens the disk tier, where the operators want one. A folder in use ends the start; any other failure leaves the
/// tier off. Where the change log's numbers, or its events up to the start, do not reach back to what is marked on
/// disk, a purge may have been missed: nothing is kept of what was there.
pub(super) fn open_disk(config: &Config) -> Result<Option<Disk>, String> {
    let Some(tier) = &config.disk_tier else { return Ok(None) };
    let limits = Limits {
        most_bytes: tier.most_mb * 1_000_000,
        segment_bytes: (tier.segment_mb * 1_000_000).min(u64::from(u32::MAX)) as u32,
        sync: match tier.sync {
            SyncWhen::Never => Sync::Never,
            SyncWhen::Segments => Sync::Segments,
            SyncWhen::Always => Sync::Always,
        },
    };
    let named = |fault: io::Error| format!("store: {}: {fault}", tier.folder.display());
    let (mut disk, found) = match Disk::open(&tier.folder, limits) {
        Ok(opened) => opened,
        Err(fault) if fault.kind() == ErrorKind::WouldBlock => return Err(named(fault)),
        Err(fault) => {
            log::warn!("{}: off until a restart", named(fault));
            return Ok(None);
        }
    };
    let reaches = config.known.results.first().is_none_or(|first| first.seq <= disk.seq() + 1);
    let trusted = tier.change_log == Numbers::Lasting && reaches && disk.seq() <= config.known.seq;
    if !trusted && found.copies > 0 {
        disk.clear().map_err(named)?;
    }
    log::info!("store: {} copies found, {} kept, {} bytes read", found.copies, disk.sizes().0, found.scanned);
    Ok(Some(disk))
}

/// Finds the last good list, where the operators want one kept: it stands in for what the configuration knows if it is
/// newer. One that does not do is as if absent. A folder that can't be made ends the start.
pub(super) fn open_list(config: &mut Config, clock: &Clock) -> Result<Option<Keeper>, String> {
    let Some(told) = config.last_list.clone() else { return Ok(None) };
    let most_age_ms = (told.most_age_s * 1e3) as u64;
    // What the configuration tells has passed: a clock before that is behind, and a list older than it seems.
    let mut outside = OutsideTime::new(clock.epoch());
    config.known.results.iter().for_each(|change| outside.event_heard(clock.now(), change));
    let unix_ms = outside.latest_ms(clock.now());
    match keeper::find(&told.folder, unix_ms, config.print(), most_age_ms, config.known.seq) {
        Ok(Some((known, age_ms))) => {
            log::info!("list: of event {}, {:.1} s old, taken", known.seq, age_ms as f64 / 1e3);
            config.known = known;
        }
        Ok(None) => log::info!("list: {}: none kept yet", told.folder.display()),
        Err(why) => log::warn!("list: {why}; as if absent"),
    }
    Keeper::start(told.folder.clone())
        .map(Some)
        .map_err(|fault| format!("list: {}: {fault}", told.folder.display()))
}

/// When a file was last changed, if it is there.
pub(super) fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|told| told.modified()).ok()
}
