//! The section `copies` of the operator's file: the local cache of the dispatcher, in memory and on disk.

use schemars::JsonSchema;
use serde::Deserialize;
use std::path::PathBuf;

/// The local cache of the dispatcher.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(rename = "Copies", deny_unknown_fields)]
pub struct LocalCache {
    /// Memory limit in megabytes, with all overhead.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub memory_mb: u64,
    /// A second tier on disk. Absent: none.
    pub disk: Option<DiskTier>,
}

/// The disk tier of the local cache.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DiskTier {
    /// The folder of the copies; no other process may use it.
    pub folder: PathBuf,
    /// Disk space limit in megabytes.
    #[schemars(range(min = 2, max = 1_000_000))]
    pub most_mb: u64,
    /// Size of one segment file in megabytes; at most half of `most_mb`.
    #[serde(default = "segment_mb")]
    #[schemars(range(min = 1, max = 1024))]
    pub segment_mb: u64,
    /// When writes are synced to the disk.
    #[serde(default)]
    pub sync: SyncPolicy,
    /// Whether the event numbers of the change log continue after its restart.
    #[serde(default)]
    pub change_log: SequenceNumbers,
}

fn segment_mb() -> u64 {
    16
}

/// When writes are synced to the disk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename = "SyncWhen", rename_all = "lowercase")]
pub enum SyncPolicy {
    /// Never explicitly; the operating system writes copies and purge records at some time.
    Never,
    /// Copies when their segment is full, purge records at once.
    #[default]
    Segments,
    /// Copies and purge records at once.
    Always,
}

/// The event numbers of the change log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename = "Numbers", rename_all = "lowercase")]
pub enum SequenceNumbers {
    /// They begin at 1 with each start. Purges may then be missed, so the disk tier starts empty.
    #[default]
    #[serde(rename = "anew")]
    Restarted,
    /// They continue: purges since the last start are delivered again, and the copies on disk are kept.
    #[serde(rename = "lasting")]
    Continued,
}
