//! Resource use of a process, read from `/proc`. Processor time comes from `schedstat` in nanoseconds, because the
//! control plane uses less than one clock tick per second.

use std::time::Duration;

/// Resource use of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Usage {
    /// Processor time of all its threads that still run.
    pub processor: Duration,
    /// Resident memory in MB (10^6 bytes).
    pub resident_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Peak resident memory of a process in MB (10^6 bytes); `None` if it has ended.
pub(super) fn peak_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: f64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024.0 / 1e6)
}

/// Resource use of a process; `None` if it has ended.
pub(super) fn process_usage(pid: u32) -> Option<Usage> {
    let mut nanos = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        // The first word is the time spent on a processor, in nanoseconds.
        let schedstat = std::fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        nanos += schedstat.split(' ').next().and_then(|word| word.parse::<u64>().ok()).unwrap_or_default();
    }
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = statm.split(' ').nth(1)?.parse().ok()?;
    // Assumes pages of 4 KiB.
    let resident_mb = pages * 4096.0 / 1e6;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
    Some(Usage { processor: Duration::from_nanos(nanos), resident_mb, descriptors })
}
