//! Reads the configuration of one dispatcher from the platform's file and the operator's file, and checks it. The
//! output is a [`Config`]; an error is one line that names the file, the field and what was expected.

use copperroute_config_rollout::faults::Faults;
use copperroute_config_rollout::rules::RuleSet;
use copperroute_config_rollout::version::{IssuedVersion, ValidationContext};
use copperroute_protocol::changes::KnownEvents;
use copperroute_routing::change_log::{Replica, select_replicas};
use copperroute_routing::interface::{Settings, stable_hash};
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use copperroute_settings::operator::{DiskTier, OperatorFile, SnapshotSettings};
use copperroute_settings::{ConnectionLimits, Names, Options, RequestLimits};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The platform's configuration file.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    changelog: SocketAddr,
    #[serde(default)]
    known: KnownEvents,
    settings: serde_json::Value,
    /// Capacity of the dispatcher's link in bytes a second: for one answer, and for all together (`link_bytes_per_s`).
    #[serde(default)]
    flow_bytes_per_s: f64,
    #[serde(default)]
    link_bytes_per_s: f64,
}

/// The resources that the dispatcher may use.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory in MB (10^6 bytes).
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

/// What a dispatcher is started with.
#[derive(Debug)]
pub struct Config {
    /// The dispatcher's name.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The resources that the dispatcher may use.
    pub limits: Limits,
    /// The address of the change log.
    pub changelog: SocketAddr,
    /// The events of the change log that are known at the start.
    pub known: KnownEvents,
    /// The settings of the routing decisions.
    pub settings: Settings,
    /// Limits of connections to nodes.
    pub connection_limits: ConnectionLimits,
    /// The names that the protocol uses.
    pub names: Names,
    /// Limits of requests, by content type.
    pub request_limits: Vec<RequestLimits>,
    /// Capacity of the dispatcher's link in bytes a second: for one answer, and for all; zero if not configured.
    pub link_bytes_per_s: [f64; 2],
    /// Memory of the local cache in bytes; zero for no cache.
    pub copy_memory_bytes: usize,
    /// The disk tier of the local cache.
    pub disk_tier: Option<DiskTier>,
    /// The replicas of the change log; empty if `changelog` is followed.
    pub replicas: Vec<Replica>,
    /// When to reconnect to the change log.
    pub reconnect: ReconnectSettings,
    /// Where the snapshot of the node list is kept; `None` if it does not survive a restart.
    pub snapshot: Option<SnapshotSettings>,
    /// The agreement on rule versions; `None` if dispatchers do not agree on any.
    pub agreement: Option<AgreementConfig>,
}

/// The settings of the agreement on rule versions.
#[derive(Debug, Clone, PartialEq)]
pub struct AgreementConfig {
    /// What versions are validated against.
    pub context: ValidationContext,
    /// The strictest value that any version may set, for each rule.
    pub floor: RuleSet,
    /// The versions in the operator's file.
    pub issued_versions: Vec<IssuedVersion>,
}

/// The files that a configuration is read from.
#[derive(Debug, Clone)]
pub struct ConfigFiles {
    /// The platform's file.
    pub config: PathBuf,
    /// The operator's file, if there is one.
    pub operator: Option<PathBuf>,
}

impl ConfigFiles {
    /// Reads and checks all files; an error is one line.
    pub fn read(&self) -> Result<Config, String> {
        let mut config = Config::read(&self.config)?;
        if let Some(path) = &self.operator {
            let operator = OperatorFile::read(path)?;
            config.settings.overload_control = operator.overload_settings(config.settings.max_attempts)?;
            config.copy_memory_bytes = operator.copy_memory_bytes()?;
            let max_mb = config.limits.memory_mb / 2;
            if config.copy_memory_bytes as u64 > max_mb * 1_000_000 {
                let memory_mb = config.copy_memory_bytes / 1_000_000;
                let path = path.display();
                return Err(format!(
                    "{path}: copies.memory_mb: {memory_mb}; expected at most {max_mb}, half of limits.memory_mb"
                ));
            }
            config.disk_tier = operator.disk_tier()?;
            config.reconnect = operator
                .reconnect_settings(config.reconnect)
                .map_err(|fault| format!("{}: {fault}", path.display()))?;
            config.replicas = operator.replicas()?;
            config.snapshot = operator.snapshot_settings()?;
            config.agreement =
                config.agreeing(&operator).map_err(|fault| format!("{}: {fault}", path.display()))?;
        }
        Ok(config)
    }
}

impl Config {
    /// Identifies this dispatcher in this deployment: snapshots with another fingerprint are not used.
    pub fn fingerprint(&self) -> u64 {
        let Names { zones, kinds, .. } = &self.names;
        stable_hash(format!("{} {zones:?} {kinds:?}", self.name).as_bytes())
    }

    /// The addresses at which the change log is followed: two replicas if any are configured, else `changelog`.
    pub fn change_log_addresses(&self) -> Vec<SocketAddr> {
        let two = select_replicas(&self.replicas, &self.name);
        two.map_or(vec![self.changelog], |two| two.map(|replica| replica.address).to_vec())
    }

    /// The settings of the agreement, from the operator's file.
    pub fn agreeing(&self, operator: &OperatorFile) -> Result<Option<AgreementConfig>, String> {
        let (Some(timing), Some(section)) = (operator.timing_bounds()?, &operator.agreement) else {
            return Ok(None);
        };
        let expiries: Vec<_> = self.request_limits.iter().map(|limits| limits.max_timeout).collect();
        let (platform_rules, content_types) =
            (RuleSet::from_settings(&self.settings, &expiries), self.names.content_types.clone());
        let floor = RuleSet::parse(&platform_rules, &content_types, "agreement.floor", &section.floor)?;
        if let Some(field) = floor.first_looser_field(&platform_rules) {
            let path = field.path(&content_types);
            return Err(format!("agreement.floor.{path}: looser than the platform's settings"));
        }
        let context = ValidationContext { platform_rules, content_types, timing, faults: faults() };
        Ok(Some(AgreementConfig { context, floor, issued_versions: operator.issued_versions()? }))
    }

    /// Reads the platform's file; an error is one line with the file, the field and what was expected.
    pub fn read(path: &Path) -> Result<Config, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        Config::parse(&text).map_err(named)
    }

    /// The same from the text of the file.
    pub fn parse(text: &str) -> Result<Config, String> {
        let read = &mut serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(read).map_err(|fault| fault.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: expected hex digits, found '{}'", file.seed))?;
        let options = Options::from_json(&file.settings);
        Ok(Config {
            name: file.name,
            listen: file.listen,
            limits: file.limits,
            changelog: file.changelog,
            known: file.known,
            settings: options.settings(seed)?,
            connection_limits: options.connection_limits()?,
            names: options.protocol_names()?,
            request_limits: options.request_limits()?,
            link_bytes_per_s: [file.flow_bytes_per_s, file.link_bytes_per_s],
            copy_memory_bytes: 0,
            disk_tier: None,
            replicas: Vec::new(),
            reconnect: options.reconnect_settings()?,
            snapshot: None,
            agreement: None,
        })
    }
}

/// The deliberate faults: none, except in a build with the feature `faults`, which tests of the checks use.
#[cfg(not(feature = "faults"))]
fn faults() -> Faults {
    Faults::default()
}

#[cfg(feature = "faults")]
fn faults() -> Faults {
    use copperroute_config_rollout::faults::Fault;
    let named = std::env::var("COPPERROUTE_FAULT").ok().and_then(|name| Fault::from_name(&name));
    named.map_or(Faults::default(), Faults::of)
}
