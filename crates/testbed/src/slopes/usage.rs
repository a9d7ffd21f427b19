//! What a process has used, as the kernel counts it: in nanoseconds, as control takes less than a tick a second.

use std::time::Duration;

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Usage {
    /// Processor time of all its threads.
    pub processor: Duration,
    /// Resident memory in MB (10^6 bytes).
    pub resident_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// The most memory that a process has had resident, in MB; nothing if it has ended.
pub(super) fn peak_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: f64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024.0 / 1e6)
}

/// What a process has used; nothing if it has ended.
pub(super) fn usage(pid: u32) -> Option<Usage> {
    let mut nanos = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        // The first word is the time spent on a processor.
        let schedstat = std::fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        nanos += schedstat.split(' ').next().and_then(|word| word.parse::<u64>().ok()).unwrap_or_default();
    }
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = statm.split(' ').nth(1)?.parse().ok()?;
    // Pages are of 4 KiB.
    let resident_mb = pages * 4096.0 / 1e6;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
    Some(Usage { processor: Duration::from_nanos(nanos), resident_mb, descriptors })
}
