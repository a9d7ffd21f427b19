//! The configuration file of a replica: JSON with a schema, unknown fields refused.

use crate::followers::{FollowerSettings, TURN};
use crate::retention::RetentionSettings;
use copperroute_routing::interface::{Nanos, stable_hash};
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The file as it stands.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct File {
    /// The replica's name in its log.
    name: String,
    /// Where followers connect, as address and port.
    #[schemars(with = "String")]
    listen: SocketAddr,
    /// What is followed, one at a time: the next is taken when one is lost.
    #[schemars(length(min = 1))]
    sources: Vec<Source>,
    /// In which order sources are taken.
    #[serde(default)]
    order: Order,
    /// How long events are held.
    #[serde(default)]
    retention: Retention,
    /// What is borne of followers.
    #[serde(default)]
    followers: Followers,
    /// From any source to this replica a line takes no more than so many seconds.
    #[serde(default = "propagation_bound_s")]
    #[schemars(range(min = 0.01, max = 0.9))]
    propagation_bound_s: f64,
}

fn propagation_bound_s() -> f64 {
    0.5
}

/// A source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Where it listens, as address and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// What it is.
    pub kind: SourceKind,
}

/// What a source is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum SourceKind {
    /// The change log itself, which follows nobody.
    ChangeLog,
    /// A replica, which may in its turn follow this one.
    Replica,
}

/// In which order sources are taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// As they are listed.
    #[default]
    Listed,
    /// By rendezvous hashing of name and address, so that replicas with the same list spread over it.
    Rendezvous,
}

/// How long events are held; what is older, or over the bytes, is forgotten, oldest first.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Retention {
    /// Seconds since an event came.
    #[schemars(range(min = 1, max = 86_400))]
    seconds: f64,
    /// Bytes, with 64 an event beside its line.
    #[schemars(range(min = 65_536, max = 1_000_000_000))]
    bytes: usize,
}

impl Default for Retention {
    fn default() -> Self {
        // An hour of 6 purges a second takes some 3 MB.
        Retention { seconds: 3600.0, bytes: 8_000_000 }
    }
}

/// What is borne of followers, dispatchers and replicas alike.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Followers {
    /// Streams at once.
    #[schemars(range(min = 1, max = 100_000))]
    most: usize,
    /// New calls a second; as many may come at one moment.
    #[schemars(range(min = 1, max = 100_000))]
    calls_per_s: f64,
    /// Bytes a second that all that are behind are sent together; live events come beside them.
    #[schemars(range(min = 2_048, max = 1_000_000_000))]
    catch_up_bytes_per_s: f64,
    /// Bytes that may wait for one follower, beside one line.
    #[schemars(range(min = 4_096, max = 16_777_216))]
    queue_bytes: usize,
}

impl Default for Followers {
    fn default() -> Self {
        Followers { most: 400, calls_per_s: 100.0, catch_up_bytes_per_s: 2_000_000.0, queue_bytes: 65_536 }
    }
}

/// What a replica is started with.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its name in its log.
    pub name: String,
    /// Where followers connect.
    pub listen: SocketAddr,
    /// What is followed, in the order in which it is taken; one at least.
    pub sources: Vec<Source>,
    /// How much is held.
    pub retention: RetentionSettings,
    /// What is borne of followers.
    pub followers: FollowerSettings,
    /// From a source to here a line takes no longer.
    pub propagation_bound: Nanos,
}

/// A value within its bounds, or one line on what was found and expected.
fn within<T: PartialOrd + std::fmt::Display>(
    path: &str,
    value: T,
    what: &str,
    least: T,
    most: T,
) -> Result<T, String> {
    match value >= least && value <= most {
        true => Ok(value),
        false => Err(format!("{path}: {value} is no {what}; expected {least} to {most}")),
    }
}

impl Config {
    /// Reads a file; an error is one line with the file, the field, what was found and what was expected.
    pub fn read(path: &Path) -> Result<Config, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        Config::parse(&text).map_err(named)
    }

    /// The same from the text of a file.
    pub fn parse(text: &str) -> Result<Config, String> {
        let mut read = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut read).map_err(|fault| fault.to_string())?;
        read.end().map_err(|fault| fault.to_string())?;
        let sources = file.sources()?;
        let bound = file.propagation_bound_s;
        let bound = within("propagation_bound_s", bound, "number of seconds", 0.01, 0.9)?;
        Ok(Config {
            retention: file.retention.settings()?,
            followers: file.followers.settings()?,
            sources,
            name: file.name,
            listen: file.listen,
            propagation_bound: Nanos::from_secs(bound),
        })
    }

    /// The schema of the file.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(File).to_value()
    }
}

impl File {
    fn sources(&self) -> Result<Vec<Source>, String> {
        let mut sources = self.sources.clone();
        if sources.is_empty() {
            return Err("sources: none; expected one at least".into());
        }
        for (at, source) in sources.iter().enumerate() {
            let path = format!("sources.{at}.address: {}", source.address);
            if source.address == self.listen {
                return Err(format!("{path} is the replica's own; expected another"));
            }
            if sources[..at].iter().any(|other| other.address == source.address) {
                return Err(format!("{path} stands twice; expected each once"));
            }
        }
        if self.order == Order::Rendezvous {
            let weight =
                |source: &Source| stable_hash(format!("{} {}", self.name, source.address).as_bytes());
            sources.sort_by_key(weight);
        }
        Ok(sources)
    }
}

impl Retention {
    fn settings(self) -> Result<RetentionSettings, String> {
        let seconds = within("retention.seconds", self.seconds, "number of seconds", 1.0, 86_400.0)?;
        let bytes = within("retention.bytes", self.bytes, "number of bytes", 65_536, 1_000_000_000)?;
        Ok(RetentionSettings { span: Nanos::from_secs(seconds), bytes })
    }
}

impl Followers {
    fn settings(self) -> Result<FollowerSettings, String> {
        let most = within("followers.most", self.most, "number of followers", 1, 100_000)?;
        let calls = within("followers.calls_per_s", self.calls_per_s, "number of calls", 1.0, 100_000.0)?;
        let path = "followers.catch_up_bytes_per_s";
        let rate = within(path, self.catch_up_bytes_per_s, "number of bytes", 2_048.0, 1e9)?;
        let queue = within("followers.queue_bytes", self.queue_bytes, "number of bytes", 4_096, 16_777_216)?;
        // A follower that hears no line for two seconds calls again, and would begin to catch up anew.
        let least = (most * TURN) as f64;
        if rate < least {
            return Err(format!(
                "{path}: {rate}; {most} followers that are behind would not each hear a line a second; \
                 expected {least} at least"
            ));
        }
        Ok(FollowerSettings { most, calls_per_s: calls, catch_up_bytes_per_s: rate, queue_bytes: queue })
    }
}
