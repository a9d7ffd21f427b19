//! The operator's file: optional features of a dispatcher, as JSON with a schema. A feature that the file does not name
//! is off. The dispatcher reads the file at its start and on a reload; an error is one line with the field, the value
//! found and what was expected.

use crate::ReadResult;
use copperroute_config_rollout::timing::TimingBounds;
use copperroute_config_rollout::version::IssuedVersion;
use copperroute_routing::change_log;
use copperroute_routing::interface::{Nanos, OverloadSettings};
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

mod local_cache;

pub use local_cache::{DiskTier, LocalCache, SequenceNumbers, SyncPolicy};

/// The content of the operator's file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename = "Operator", expecting = "struct Operator", deny_unknown_fields)]
pub struct OperatorFile {
    /// Detects retry storms and limits admission while they last. Absent: off.
    pub storms: Option<OverloadControl>,
    /// The local cache of the dispatcher. Absent: none.
    pub copies: Option<LocalCache>,
    /// Capacity and replicas of the change log. Absent: a dispatcher reconnects at once, and less often the longer the
    /// change log is unavailable.
    pub lists: Option<ChangeLogAccess>,
    /// Dispatchers agree on rule versions. Absent: rules change with a restart or a reload of the files.
    pub agreement: Option<Agreement>,
}

/// Agreement on rule versions. All dispatchers must have the same values.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// The lease in seconds: after a heartbeat that reports no missing events, a dispatcher counts as up to date for
    /// this long.
    #[serde(default = "lease_s")]
    #[schemars(range(min = 1, max = 3600))]
    pub lease_s: f64,
    /// Bound on the clock difference between any two issuers or dispatchers, in seconds.
    #[serde(default = "clock_error_s")]
    #[schemars(range(min = 0.001, max = 3600))]
    pub clock_error_s: f64,
    /// Propagation bound in seconds: the longest time that a version takes from its issuer to the change log, and that
    /// a version or heartbeat takes from there to a dispatcher.
    #[serde(default = "slack_s")]
    #[schemars(range(min = 0.01, max = 3600))]
    pub slack_s: f64,
    /// The strictest value that a version may set, by rule. No version can tighten a rule that is not named here.
    #[serde(default)]
    pub floor: serde_json::Map<String, serde_json::Value>,
    /// Versions that this file issues; others come with the change log.
    #[serde(default)]
    pub issued: Vec<serde_json::Value>,
}

fn lease_s() -> f64 {
    3.0
}
fn clock_error_s() -> f64 {
    0.25
}
fn slack_s() -> f64 {
    0.5
}

/// The change log: its capacity, how it is followed, and the snapshot of the node list.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(rename = "Lists", deny_unknown_fields)]
pub struct ChangeLogAccess {
    /// Capacity of the change log in new connections a second from all dispatchers together. With replicas: of each
    /// replica.
    #[schemars(range(min = 0.1, max = 1_000_000))]
    pub calls_per_s: f64,
    /// The number of dispatchers that connect to it. Absent: the number in the platform's settings.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub dispatchers: Option<u32>,
    /// The delivery deadline in seconds: an event counts as delivered after this long, whether it was received or not.
    #[serde(default = "told_after_s")]
    #[schemars(range(min = 1, max = 3600))]
    pub told_after_s: f64,
    /// Keeps a snapshot of the node list over a restart. Absent: none.
    pub keep: Option<SnapshotSettings>,
    /// Replicas of the change log, of which each dispatcher follows two. Absent: the address in the platform's
    /// configuration is followed. All dispatchers must have the same list.
    pub replicas: Option<Vec<Replica>>,
}

/// A replica of the change log.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The address on which it listens: IP:PORT.
    pub address: String,
    /// The region of the replica.
    pub region: String,
    /// The zone within the region: replicas in one zone may fail together.
    pub zone: String,
}

/// Limits on the number of replicas: a dispatcher follows two of them, and larger deployments are not supported.
const REPLICA_COUNT: std::ops::RangeInclusive<usize> = 2..=64;

fn told_after_s() -> f64 {
    7.0
}

/// The snapshot of the node list on disk.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(rename = "LastList", expecting = "struct LastList", deny_unknown_fields)]
pub struct SnapshotSettings {
    /// The folder of the snapshot; no other process may use it.
    pub folder: PathBuf,
    /// A snapshot that is older than this many seconds is not used.
    #[serde(default = "most_age_s")]
    #[schemars(range(min = 1, max = 31_536_000))]
    pub most_age_s: f64,
}

fn most_age_s() -> f64 {
    3600.0
}

/// Overload control: how retry storms are detected and limited.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(rename = "Storms", deny_unknown_fields, default)]
pub struct OverloadControl {
    /// How long a failed request is remembered, in seconds: as long as clients may retry it.
    #[schemars(range(min = 1, max = 3600))]
    pub remember_s: f64,
    /// Limit on remembered requests, of each kind.
    #[schemars(range(min = 100, max = 10_000_000))]
    pub most_remembered: u64,
    /// The number of reservation slots into which the longest retry-after is divided.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub slots: u64,
    /// The share of the admission rate for requests without a reservation.
    #[schemars(range(min = 0, max = 0.9))]
    pub newcomers: f64,
    /// Clients mark their retries. If false, a retry is recognised by the remembered requests of its client.
    pub clients_mark: bool,
    /// What happens to a marked retry that must not run twice and whose first request is not known here.
    pub unknown_repeats: UnknownRetries,
}

/// What happens to a retry whose first request is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename = "UnknownRepeats", rename_all = "lowercase")]
pub enum UnknownRetries {
    /// It is attempted, except during the first `remember_s` seconds after a start.
    Pull,
    /// It is failed, as the first request may have run at another dispatcher.
    Abandon,
}

impl Default for OverloadControl {
    fn default() -> Self {
        OverloadControl {
            remember_s: 60.0,
            most_remembered: 20_000,
            slots: 50,
            newcomers: 0.2,
            clients_mark: true,
            unknown_repeats: UnknownRetries::Pull,
        }
    }
}

/// Returns the value if it is within its bounds, else an error with the value found and the bounds.
fn check_range<T: PartialOrd + std::fmt::Display>(
    path: &str,
    value: T,
    what: &str,
    least: T,
    most: T,
) -> ReadResult<T> {
    match value >= least && value <= most {
        true => Ok(value),
        false => Err(format!("{path}: {value} is not a valid {what}; expected {least} to {most}")),
    }
}

impl Replica {
    /// Checks and converts the entry; `path` is its path in the file.
    fn read(&self, path: &str) -> ReadResult<change_log::Replica> {
        let address: Option<SocketAddr> = self.address.parse().ok();
        let usable = |address: &SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
        let address = address.filter(usable).ok_or_else(|| {
            format!("{path}.address: '{}' is not an address to connect to; expected IP:PORT", self.address)
        })?;
        for (field, name) in [("region", &self.region), ("zone", &self.zone)] {
            if name.is_empty() {
                return Err(format!("{path}.{field}: is empty; expected at least one character"));
            }
        }
        Ok(change_log::Replica { address, region: self.region.clone(), zone: self.zone.clone() })
    }
}

impl OperatorFile {
    /// Reads and checks the file; an error is one line with the file, the field, what was found and what was expected.
    pub fn read(path: &Path) -> ReadResult<OperatorFile> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        OperatorFile::parse(&text).map_err(named)
    }

    /// The same from the text of the file.
    pub fn parse(text: &str) -> ReadResult<OperatorFile> {
        let mut read = serde_json::Deserializer::from_str(text);
        let file: OperatorFile =
            serde_path_to_error::deserialize(&mut read).map_err(|fault| fault.to_string())?;
        read.end().map_err(|fault| fault.to_string())?;
        file.overload_settings(1)?;
        file.copy_memory_bytes()?;
        file.disk_tier()?;
        // The number of dispatchers is not known here unless the file names it, so the check assumes one.
        let one = ReconnectSettings {
            dispatchers: 1,
            calls_per_s: None,
            delivered_after: Nanos::ZERO,
            window_range: [0.0, 1.0],
        };
        file.reconnect_settings(one)?;
        file.replicas()?;
        file.snapshot_settings()?;
        file.timing_bounds()?;
        file.issued_versions()?;
        Ok(file)
    }

    /// The settings of overload control; a request and its retries may take `max_attempts` attempts.
    pub fn overload_settings(&self, max_attempts: u32) -> ReadResult<Option<OverloadSettings>> {
        let Some(section) = &self.storms else { return Ok(None) };
        let remember =
            check_range("storms.remember_s", section.remember_s, "number of seconds", 1.0, 3600.0)?;
        let most = check_range(
            "storms.most_remembered",
            section.most_remembered,
            "number of tries",
            100,
            10_000_000,
        )?;
        let slots = check_range("storms.slots", section.slots, "number of slots", 1, 1_000_000)?;
        Ok(Some(OverloadSettings {
            remember_for: Nanos::from_secs(remember),
            max_remembered: most as usize,
            slots: slots as usize,
            unreserved_share: check_range(
                "storms.newcomers",
                section.newcomers,
                "part of the pace",
                0.0,
                0.9,
            )?,
            clients_mark_retries: section.clients_mark,
            unknown_retry_may_have_run: section.unknown_repeats == UnknownRetries::Abandon,
            max_attempts,
        }))
    }

    /// The memory limit of the local cache in bytes; zero for no cache.
    pub fn copy_memory_bytes(&self) -> ReadResult<usize> {
        let Some(section) = &self.copies else { return Ok(0) };
        let mb = check_range("copies.memory_mb", section.memory_mb, "number of megabytes", 1, 1_000_000)?;
        Ok(mb as usize * 1_000_000)
    }

    /// The disk tier of the local cache, checked.
    pub fn disk_tier(&self) -> ReadResult<Option<DiskTier>> {
        let Some(section) = self.copies.as_ref().and_then(|copies| copies.disk.as_ref()) else {
            return Ok(None);
        };
        let most = check_range("copies.disk.most_mb", section.most_mb, "number of megabytes", 2, 1_000_000)?;
        check_range(
            "copies.disk.segment_mb",
            section.segment_mb,
            "number of megabytes",
            1,
            1024.min(most / 2),
        )?;
        Ok(Some(section.clone()))
    }

    /// When to reconnect to the change log. `known` holds the platform's settings, used where the file says nothing.
    pub fn reconnect_settings(&self, known: ReconnectSettings) -> ReadResult<ReconnectSettings> {
        let Some(section) = &self.lists else { return Ok(known) };
        let calls_per_s =
            check_range("lists.calls_per_s", section.calls_per_s, "number of calls a second", 0.1, 1e6)?;
        let deadline_s =
            check_range("lists.told_after_s", section.told_after_s, "number of seconds", 1.0, 3600.0)?;
        let dispatchers = section.dispatchers.unwrap_or(known.dispatchers);
        check_range("lists.dispatchers", dispatchers, "number of dispatchers", 1, 1_000_000)?;
        let replicas = self.replicas()?;
        let (callers, who) = match replicas.is_empty() {
            true => (dispatchers, format!("{dispatchers} dispatchers")),
            false => {
                let most = change_log::expected_max_followers(&replicas, dispatchers);
                (most, format!("{most} of {dispatchers} dispatchers at one replica"))
            }
        };
        let calls = ReconnectSettings {
            dispatchers: callers,
            calls_per_s: Some(calls_per_s),
            delivered_after: Nanos::from_secs(deadline_s),
            window_range: known.window_range,
        };
        calls.max_wait().map(|_| calls).map_err(|least| {
            format!(
                "lists.calls_per_s: with {calls_per_s} calls a second {who} can't all connect within \
                 {deadline_s} s; expected at least {least:.1}"
            )
        })
    }

    /// The replicas of the change log, checked; empty if none are configured.
    pub fn replicas(&self) -> ReadResult<Vec<change_log::Replica>> {
        let Some(entries) = self.lists.as_ref().and_then(|lists| lists.replicas.as_ref()) else {
            return Ok(Vec::new());
        };
        if !REPLICA_COUNT.contains(&entries.len()) {
            let (least, most) = (REPLICA_COUNT.start(), REPLICA_COUNT.end());
            return Err(format!("lists.replicas: {} replicas; expected {least} to {most}", entries.len()));
        }
        let mut replicas: Vec<change_log::Replica> = Vec::new();
        for (at, entry) in entries.iter().enumerate() {
            let replica = entry.read(&format!("lists.replicas.{at}"))?;
            if let Some(same) = replicas.iter().position(|other| other.address == replica.address) {
                let address = &entry.address;
                return Err(format!(
                    "lists.replicas.{at}.address: '{address}' is also the address of lists.replicas.{same}; expected \
                     different addresses"
                ));
            }
            replicas.push(replica);
        }
        Ok(replicas)
    }

    /// The settings of the snapshot of the node list, checked.
    pub fn snapshot_settings(&self) -> ReadResult<Option<SnapshotSettings>> {
        let Some(section) = self.lists.as_ref().and_then(|lists| lists.keep.as_ref()) else {
            return Ok(None);
        };
        check_range("lists.keep.most_age_s", section.most_age_s, "number of seconds", 1.0, 31_536_000.0)?;
        Ok(Some(section.clone()))
    }

    /// The timing bounds of the agreement, checked.
    pub fn timing_bounds(&self) -> ReadResult<Option<TimingBounds>> {
        let Some(section) = &self.agreement else { return Ok(None) };
        let terms = TimingBounds {
            lease: Nanos::from_secs(section.lease_s),
            clock_error: Nanos::from_secs(section.clock_error_s),
            propagation_bound: Nanos::from_secs(section.slack_s),
        };
        terms.validate().map(|()| Some(terms)).map_err(|fault| format!("agreement.{fault}"))
    }

    /// The rule versions that the file issues.
    pub fn issued_versions(&self) -> ReadResult<Vec<IssuedVersion>> {
        let section = self.agreement.iter().flat_map(|section| &section.issued).enumerate();
        let read = |(at, section)| {
            IssuedVersion::from_value(section).map_err(|fault| format!("agreement.issued.{at}.{fault}"))
        };
        section.map(read).collect()
    }

    /// The JSON schema of the file.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(OperatorFile).to_value()
    }
}

#[cfg(test)]
#[path = "tests/operator.rs"]
mod tests;
