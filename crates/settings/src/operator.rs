//! The operator's own file: JSON with a schema. What stands in it is off unless it is given.

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

/// The file as it stands.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename = "Operator", expecting = "struct Operator", deny_unknown_fields)]
pub struct OperatorFile {
    /// Retry storms are recognised and damped; absent: they are not.
    pub storms: Option<Storms>,
    /// Copies of the dispatcher's own are kept and served; absent: none are.
    pub copies: Option<Copies>,
    /// What the list service (the change log) bears; absent: it is called soon, and more rarely the longer it is away.
    pub lists: Option<Lists>,
    /// Dispatchers agree on versions of their rules; absent: rules change with a restart, or as the files are read again.
    pub agreement: Option<Agreement>,
}

/// Versions of rules on which dispatchers agree. All of them must be told the same.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// For so many seconds after a line of the list service that told nothing new a dispatcher is up to date.
    #[serde(default = "lease_s")]
    #[schemars(range(min = 1, max = 3600))]
    pub lease_s: f64,
    /// The clocks of any two of issuers and dispatchers differ by no more than so many seconds.
    #[serde(default = "clock_error_s")]
    #[schemars(range(min = 0.001, max = 3600))]
    pub clock_error_s: f64,
    /// From issue to service, and from service to dispatcher, a version or a line takes no more than so many seconds.
    #[serde(default = "slack_s")]
    #[schemars(range(min = 0.01, max = 3600))]
    pub slack_s: f64,
    /// The strictest that any version may say; what it does not name no version can tighten.
    #[serde(default)]
    pub floor: serde_json::Map<String, serde_json::Value>,
    /// Versions that come with this file; others come with the change log.
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

/// The list service, how it is followed, and what is kept of it.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// Calls (new connections) a second that it bears from all dispatchers together; with replicas, that each bears.
    #[schemars(range(min = 0.1, max = 1_000_000))]
    pub calls_per_s: f64,
    /// How many dispatchers there are to call it; absent: as many as the platform's settings tell.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub dispatchers: Option<u32>,
    /// What it has to tell counts as told after so many seconds, whether it was heard or not.
    #[serde(default = "told_after_s")]
    #[schemars(range(min = 1, max = 3600))]
    pub told_after_s: f64,
    /// The last good list outlives a restart; absent: it does not.
    pub keep: Option<SnapshotSettings>,
    /// Replicas of the change log, of which each dispatcher follows two; absent: the one address of the platform's
    /// configuration is followed. All dispatchers must be told the same.
    pub replicas: Option<Vec<Replica>>,
}

/// A replica of the change log.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Where it listens: IP:PORT.
    pub address: String,
    /// Its region.
    pub region: String,
    /// Its zone, within the region: replicas of one zone fail together.
    pub zone: String,
}

/// Fewer replicas than this can't be followed by two streams; more are not meant to be.
const REPLICAS: std::ops::RangeInclusive<usize> = 2..=64;

fn told_after_s() -> f64 {
    7.0
}

/// The last good list on disk.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(rename = "LastList", expecting = "struct LastList", deny_unknown_fields)]
pub struct SnapshotSettings {
    /// The folder that it is kept in; no other process may use it.
    pub folder: PathBuf,
    /// One that is older than so many seconds does not do.
    #[serde(default = "most_age_s")]
    #[schemars(range(min = 1, max = 31_536_000))]
    pub most_age_s: f64,
}

fn most_age_s() -> f64 {
    3600.0
}

/// Copies of the dispatcher's own.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Copies {
    /// Megabytes of memory that they may take, with all overhead.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub memory_mb: u64,
    /// A second tier on disk; absent: none.
    pub disk: Option<DiskTier>,
}

/// Own copies on disk.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DiskTier {
    /// The folder that they are kept in; no other process may use it.
    pub folder: PathBuf,
    /// Megabytes that they may take.
    #[schemars(range(min = 2, max = 1_000_000))]
    pub most_mb: u64,
    /// Megabytes of one file of the log; at most half of all.
    #[serde(default = "segment_mb")]
    #[schemars(range(min = 1, max = 1024))]
    pub segment_mb: u64,
    /// When copies are on the disk for certain.
    #[serde(default)]
    pub sync: SyncPolicy,
    /// Whether the change log's numbers outlast a restart.
    #[serde(default)]
    pub change_log: SequenceNumbers,
}

fn segment_mb() -> u64 {
    16
}

/// When what was written is on the disk for certain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename = "SyncWhen", rename_all = "lowercase")]
pub enum SyncPolicy {
    /// When the machine gets to it; marks of purges too.
    Never,
    /// Copies when a file is full, marks of purges at once.
    #[default]
    Segments,
    /// At once.
    Always,
}

/// The numbers of the change log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename = "Numbers", rename_all = "lowercase")]
pub enum SequenceNumbers {
    /// They begin at 1 with each start: nothing on disk can be trusted after one, and the tier begins empty.
    #[default]
    #[serde(rename = "anew")]
    Restarted,
    /// They go on: what was purged meanwhile is told again.
    #[serde(rename = "lasting")]
    Continued,
}

/// What retry storms are met with.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Storms {
    /// For how many seconds a try that failed is remembered: as long as clients may retry.
    #[schemars(range(min = 1, max = 3600))]
    pub remember_s: f64,
    /// How many tries are remembered at most, of each kind.
    #[schemars(range(min = 100, max = 10_000_000))]
    pub most_remembered: u64,
    /// Slots that the longest advice is divided into.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub slots: u64,
    /// The part of the pace that is kept for those who come without a reservation.
    #[schemars(range(min = 0, max = 0.9))]
    pub newcomers: f64,
    /// Clients mark their repeats. If false, a repeat is told by what is remembered of its client.
    pub clients_mark: bool,
    /// What is done with a marked repeat that must not run twice and whose first try is not known here.
    pub unknown_repeats: UnknownRepeats,
}

/// What is done with the unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum UnknownRepeats {
    /// Pulled, except for as long as tries are remembered after a start.
    Pull,
    /// Abandoned: its first try may have run at another dispatcher.
    Abandon,
}

impl Default for Storms {
    fn default() -> Self {
        Storms {
            remember_s: 60.0,
            most_remembered: 20_000,
            slots: 50,
            newcomers: 0.2,
            clients_mark: true,
            unknown_repeats: UnknownRepeats::Pull,
        }
    }
}

/// A value within its bounds, or one line on what was found and expected.
fn within<T: PartialOrd + std::fmt::Display>(
    path: &str,
    value: T,
    what: &str,
    least: T,
    most: T,
) -> ReadResult<T> {
    match value >= least && value <= most {
        true => Ok(value),
        false => Err(format!("{path}: {value} is no {what}; expected {least} to {most}")),
    }
}

impl Replica {
    /// What the decisions are told of it; `path` is its place in the file.
    fn read(&self, path: &str) -> ReadResult<change_log::Replica> {
        let address: Option<SocketAddr> = self.address.parse().ok();
        let usable = |address: &SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
        let address = address.filter(usable).ok_or_else(|| {
            format!("{path}.address: '{}' can't be connected to; expected IP:PORT", self.address)
        })?;
        for (field, name) in [("region", &self.region), ("zone", &self.zone)] {
            if name.is_empty() {
                return Err(format!("{path}.{field}: '' is no name; expected one character at least"));
            }
        }
        Ok(change_log::Replica { address, region: self.region.clone(), zone: self.zone.clone() })
    }
}

impl OperatorFile {
    /// Reads the file; an error is one line with the file, the field, what was found and what was expected.
    pub fn read(path: &Path) -> ReadResult<OperatorFile> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        OperatorFile::parse(&text).map_err(named)
    }

    /// The same from the text of a file.
    pub fn parse(text: &str) -> ReadResult<OperatorFile> {
        let mut read = serde_json::Deserializer::from_str(text);
        let file: OperatorFile =
            serde_path_to_error::deserialize(&mut read).map_err(|fault| fault.to_string())?;
        read.end().map_err(|fault| fault.to_string())?;
        file.overload_settings(1)?;
        file.copy_memory_bytes()?;
        file.disk_tier()?;
        // How many call is told elsewhere, unless it stands here.
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

    /// What the decisions are told of storms, where a request and its repeats may take so many attempts.
    pub fn overload_settings(&self, max_attempts: u32) -> ReadResult<Option<OverloadSettings>> {
        let Some(told) = &self.storms else { return Ok(None) };
        let remember = within("storms.remember_s", told.remember_s, "number of seconds", 1.0, 3600.0)?;
        let most =
            within("storms.most_remembered", told.most_remembered, "number of tries", 100, 10_000_000)?;
        let slots = within("storms.slots", told.slots, "number of slots", 1, 1_000_000)?;
        Ok(Some(OverloadSettings {
            remember_for: Nanos::from_secs(remember),
            max_remembered: most as usize,
            slots: slots as usize,
            unreserved_share: within("storms.newcomers", told.newcomers, "part of the pace", 0.0, 0.9)?,
            clients_mark_retries: told.clients_mark,
            unknown_retry_may_have_run: told.unknown_repeats == UnknownRepeats::Abandon,
            max_attempts,
        }))
    }

    /// Bytes of memory that own copies may take; zero for none.
    pub fn copy_memory_bytes(&self) -> ReadResult<usize> {
        let Some(told) = &self.copies else { return Ok(0) };
        let mb = within("copies.memory_mb", told.memory_mb, "number of megabytes", 1, 1_000_000)?;
        Ok(mb as usize * 1_000_000)
    }

    /// The disk tier of own copies, checked.
    pub fn disk_tier(&self) -> ReadResult<Option<DiskTier>> {
        let Some(told) = self.copies.as_ref().and_then(|copies| copies.disk.as_ref()) else {
            return Ok(None);
        };
        let most = within("copies.disk.most_mb", told.most_mb, "number of megabytes", 2, 1_000_000)?;
        within("copies.disk.segment_mb", told.segment_mb, "number of megabytes", 1, 1024.min(most / 2))?;
        Ok(Some(told.clone()))
    }

    /// What is known of the list service, where so much is known without the operators.
    pub fn reconnect_settings(&self, known: ReconnectSettings) -> ReadResult<ReconnectSettings> {
        let Some(told) = &self.lists else { return Ok(known) };
        let bears = within("lists.calls_per_s", told.calls_per_s, "number of calls a second", 0.1, 1e6)?;
        let after = within("lists.told_after_s", told.told_after_s, "number of seconds", 1.0, 3600.0)?;
        let dispatchers = told.dispatchers.unwrap_or(known.dispatchers);
        within("lists.dispatchers", dispatchers, "number of dispatchers", 1, 1_000_000)?;
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
            calls_per_s: Some(bears),
            delivered_after: Nanos::from_secs(after),
            window_range: known.window_range,
        };
        calls.max_wait().map(|_| calls).map_err(|least| {
            format!(
                "lists.calls_per_s: with {bears} calls a second {who} are not all heard within {after} s; expected \
                 {least:.1} at least"
            )
        })
    }

    /// The replicas of the change log, checked; none where its own address is followed.
    pub fn replicas(&self) -> ReadResult<Vec<change_log::Replica>> {
        let Some(told) = self.lists.as_ref().and_then(|lists| lists.replicas.as_ref()) else {
            return Ok(Vec::new());
        };
        if !REPLICAS.contains(&told.len()) {
            let (least, most) = (REPLICAS.start(), REPLICAS.end());
            return Err(format!("lists.replicas: {} in number; expected {least} to {most}", told.len()));
        }
        let mut replicas: Vec<change_log::Replica> = Vec::new();
        for (at, told) in told.iter().enumerate() {
            let replica = told.read(&format!("lists.replicas.{at}"))?;
            if let Some(same) = replicas.iter().position(|other| other.address == replica.address) {
                let address = &told.address;
                return Err(format!(
                    "lists.replicas.{at}.address: '{address}' is that of lists.replicas.{same}; expected each once"
                ));
            }
            replicas.push(replica);
        }
        Ok(replicas)
    }

    /// Where the last good list is kept, checked.
    pub fn snapshot_settings(&self) -> ReadResult<Option<SnapshotSettings>> {
        let Some(told) = self.lists.as_ref().and_then(|lists| lists.keep.as_ref()) else { return Ok(None) };
        within("lists.keep.most_age_s", told.most_age_s, "number of seconds", 1.0, 31_536_000.0)?;
        Ok(Some(told.clone()))
    }

    /// What is stated of clocks and ways for the agreement, checked.
    pub fn timing_bounds(&self) -> ReadResult<Option<TimingBounds>> {
        let Some(told) = &self.agreement else { return Ok(None) };
        let terms = TimingBounds {
            lease: Nanos::from_secs(told.lease_s),
            clock_error: Nanos::from_secs(told.clock_error_s),
            propagation_bound: Nanos::from_secs(told.slack_s),
        };
        terms.validate().map(|()| Some(terms)).map_err(|fault| format!("agreement.{fault}"))
    }

    /// The versions of rules that come with the file.
    pub fn issued_versions(&self) -> ReadResult<Vec<IssuedVersion>> {
        let told = self.agreement.iter().flat_map(|told| &told.issued).enumerate();
        let read = |(at, told)| {
            IssuedVersion::from_value(told).map_err(|fault| format!("agreement.issued.{at}.{fault}"))
        };
        told.map(read).collect()
    }

    /// The schema of the file.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(OperatorFile).to_value()
    }
}

#[cfg(test)]
#[path = "tests/operator.rs"]
mod tests;
