//! The configuration file of a replica: JSON with a schema; unknown fields are refused. [`Config::read`] reads and
//! checks it.

use crate::followers::{CATCH_UP_CHUNK_BYTES, FollowerSettings};
use crate::retention::RetentionSettings;
use copperroute_routing::interface::{Nanos, stable_hash};
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The configuration file of a replica.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct File {
    /// The replica's name in its log.
    name: String,
    /// Where followers connect, as address and port.
    #[schemars(with = "String")]
    listen: SocketAddr,
    /// The change log and replicas to follow, one at a time: when one is lost, the next is tried.
    #[schemars(length(min = 1))]
    sources: Vec<Source>,
    /// The order in which sources are tried.
    #[serde(default)]
    order: Order,
    /// How long and how many events are held.
    #[serde(default)]
    retention: Retention,
    /// The limits on followers.
    #[serde(default)]
    followers: Followers,
    /// The most seconds that a line takes from any source to this replica.
    #[serde(default = "propagation_bound_s")]
    #[schemars(range(min = 0.01, max = 0.9))]
    propagation_bound_s: f64,
}

fn propagation_bound_s() -> f64 {
    0.5
}

/// A source that a replica may follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// The address and port on which it listens.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Whether it is the change log or a replica.
    pub kind: SourceKind,
}

/// The kind of a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum SourceKind {
    /// The change log itself, which follows no source.
    ChangeLog,
    /// A replica, which may itself follow this one.
    Replica,
}

/// The order in which sources are tried.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The order of the list.
    #[default]
    Listed,
    /// By rendezvous hashing of name and address, so that replicas with the same list spread over it.
    Rendezvous,
}

/// The bounds on the events held; what is older or exceeds the bytes is dropped, oldest first.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Retention {
    /// Seconds after its receipt for which an event is held.
    #[schemars(range(min = 1, max = 86_400))]
    seconds: f64,
    /// Bytes of all events together, with 64 for each event besides its line.
    #[schemars(range(min = 65_536, max = 1_000_000_000))]
    bytes: usize,
}

impl Default for Retention {
    fn default() -> Self {
        // An hour of 6 purges a second takes about 3 MB.
        Retention { seconds: 3600.0, bytes: 8_000_000 }
    }
}

/// The limits on followers; dispatchers and replicas count alike.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct Followers {
    /// The most followers at a time.
    #[schemars(range(min = 1, max = 100_000))]
    most: usize,
    /// New connections a second; as many may arrive at once.
    #[schemars(range(min = 1, max = 100_000))]
    calls_per_s: f64,
    /// Bytes a second for all followers that are catching up together; live events are not counted.
    #[schemars(range(min = 2_048, max = 1_000_000_000))]
    catch_up_bytes_per_s: f64,
    /// Bytes that may wait to be sent to one follower, besides one line.
    #[schemars(range(min = 4_096, max = 16_777_216))]
    queue_bytes: usize,
}

impl Default for Followers {
    fn default() -> Self {
        Followers { most: 400, calls_per_s: 100.0, catch_up_bytes_per_s: 2_000_000.0, queue_bytes: 65_536 }
    }
}

/// The checked configuration of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The replica's name in its log.
    pub name: String,
    /// The address on which followers connect.
    pub listen: SocketAddr,
    /// The sources in the order in which they are tried; at least one.
    pub sources: Vec<Source>,
    /// The bounds on the events held.
    pub retention: RetentionSettings,
    /// The limits on followers.
    pub followers: FollowerSettings,
    /// The longest time that a line takes from a source to this replica.
    pub propagation_bound: Nanos,
}

/// The value if it is within its bounds; else an error of one line with the value and what was expected.
fn within<T: PartialOrd + std::fmt::Display>(
    path: &str,
    value: T,
    what: &str,
    least: T,
    most: T,
) -> Result<T, String> {
    match value >= least && value <= most {
        true => Ok(value),
        false => Err(format!("{path}: {value} is not a valid {what}; expected {least} to {most}")),
    }
}

impl Config {
    /// Reads a file; an error is one line with the file, the field, what was found and what was expected.
    pub fn read(path: &Path) -> Result<Config, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        Config::parse(&text).map_err(named)
    }

    /// Reads the text of a file; errors are as with [`Config::read`], without the file.
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

    /// The JSON schema of the file.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(File).to_value()
    }
}

impl File {
    fn sources(&self) -> Result<Vec<Source>, String> {
        let mut sources = self.sources.clone();
        if sources.is_empty() {
            return Err("sources: empty; expected at least one".into());
        }
        for (at, source) in sources.iter().enumerate() {
            let path = format!("sources.{at}.address: {}", source.address);
            if source.address == self.listen {
                return Err(format!("{path} is the replica's own; expected another"));
            }
            if sources[..at].iter().any(|other| other.address == source.address) {
                return Err(format!("{path} is listed twice; expected each once"));
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
        Ok(RetentionSettings { max_age: Nanos::from_secs(seconds), bytes })
    }
}

impl Followers {
    fn settings(self) -> Result<FollowerSettings, String> {
        let most = within("followers.most", self.most, "number of followers", 1, 100_000)?;
        let connections =
            within("followers.calls_per_s", self.calls_per_s, "number of connections", 1.0, 100_000.0)?;
        let path = "followers.catch_up_bytes_per_s";
        let rate = within(path, self.catch_up_bytes_per_s, "number of bytes", 2_048.0, 1e9)?;
        let queue = within("followers.queue_bytes", self.queue_bytes, "number of bytes", 4_096, 16_777_216)?;
        // A follower that receives no line for two seconds reconnects, and would begin to catch up again.
        let least = (most * CATCH_UP_CHUNK_BYTES) as f64;
        if rate < least {
            return Err(format!(
                "{path}: {rate}; {most} followers that are catching up would not each receive a line a second; \
                 expected at least {least}"
            ));
        }
        Ok(FollowerSettings {
            most,
            calls_per_s: connections,
            catch_up_bytes_per_s: rate,
            queue_bytes: queue,
        })
    }
}
