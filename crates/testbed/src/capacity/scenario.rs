//! A capacity scenario as it stands in its file: the fleet's size, what the change log tells, what fails, and the bounds.

use super::groups::Group;
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::Path;

/// Processes that may run at once, this one among them.
const MOST_PROCESSES: usize = 300;
/// Dispatchers that addresses are laid out for.
const MOST_DISPATCHERS: usize = 2_000;
/// Replicas of the change log.
const MOST_REPLICAS: usize = 6;
/// A run ends after this long at the most.
const LONGEST_S: f64 = 600.0;

/// A capacity scenario.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    /// One line on what it shows.
    pub about: String,
    /// Where chance starts from.
    pub seed: u64,
    /// How long events are issued, in seconds; what was issued last then has `settle_s` to come.
    pub length_s: f64,
    /// How long the last events have, in seconds.
    #[serde(default = "settle_s")]
    pub settle_s: f64,
    /// The dispatchers.
    pub fleet: Fleet,
    /// What the change log tells.
    pub changes: Changes,
    /// The operator's file that every dispatcher gets.
    #[serde(default)]
    pub operator: serde_json::Map<String, serde_json::Value>,
    /// Replicas of the change log, each a process in a zone of its own, of which each dispatcher follows two; 0: all
    /// follow the log itself.
    #[serde(default)]
    pub replicas: usize,
    /// What a replica's file says besides its name and place.
    #[serde(default)]
    pub relay: serde_json::Map<String, serde_json::Value>,
    /// Restarts and failures of dispatchers that are drawn from the seed.
    #[serde(default)]
    pub drawn: Drawn,
    /// What fails at told times.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The bounds that decide the exit code.
    #[serde(default)]
    pub expect: Expect,
}

fn settle_s() -> f64 {
    12.0
}

/// The dispatchers, and what they stand before.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    /// Hollow dispatchers: control without clients and bodies.
    pub hollow: usize,
    /// Hollow dispatchers in one process.
    pub hollow_each: usize,
    /// Real dispatchers, each a process.
    pub real: usize,
    /// Real dispatchers among them that no client asks.
    #[serde(default)]
    pub real_idle: usize,
    /// Zones that dispatchers and caches are dealt out to in turn.
    pub zones: usize,
    /// Regions that zones are dealt out to in turn.
    pub regions: usize,
    /// Dispatchers in a rack.
    pub rack: usize,
    /// Cache hosts.
    pub caches: usize,
    /// Requests a second at each real dispatcher that is not idle.
    pub requests_per_s: f64,
    /// Clocks of dispatchers are off by up to so many milliseconds either way.
    #[serde(default)]
    pub clock_error_ms: u64,
    /// All are started within so many seconds.
    pub start_s: f64,
}

/// What the change log tells.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Changes {
    /// Purges a second.
    pub purges_per_s: f64,
    /// One purge each so many seconds is looked for at real dispatchers by clients.
    pub probe_each_s: f64,
    /// Changes of the list of nodes over the whole run.
    #[serde(default)]
    pub lists: usize,
    /// A version of the rules each so many seconds; 0 for none. The operator's file must switch the agreement on.
    #[serde(default)]
    pub version_each_s: f64,
    /// A version acts so long after it was issued.
    #[serde(default = "ahead_s")]
    pub ahead_s: f64,
    /// Purges that the log holds at the start, which only those under a `backlog` fault have not heard.
    #[serde(default)]
    pub backlog: usize,
}

fn ahead_s() -> f64 {
    4.0
}

/// Restarts and failures that are drawn, of one dispatcher each.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Drawn {
    /// Restarts over the whole run, and how long a dispatcher is away.
    pub restarts: usize,
    pub restart_s: f64,
    /// Failures over the whole run, and how long until the dispatcher is back.
    pub failures: usize,
    pub failure_s: f64,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize, JsonSchema, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum What {
    /// Dispatchers are killed, and start anew.
    Kill,
    /// Dispatchers are stopped, and go on.
    Stop,
    /// Nothing passes between dispatchers and what they follow; nothing tells them.
    Cut,
    /// The same from the start on, and the log's backlog was told while they were cut: an hour, compressed.
    Backlog,
    /// The change log is away: nothing is issued, all its streams are reset, and so are new ones.
    LogAway,
    /// All streams of the change log are reset at one moment.
    LogReset,
    /// All streams of dispatchers are reset at one moment, whatever they follow.
    StreamsReset,
    /// One replica after the other, `each_s` apart, is killed, and starts anew after `for_s`.
    Replica,
}

/// One fault.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fault {
    /// When, in seconds from the start.
    pub at_s: f64,
    /// For how long.
    #[serde(default)]
    pub for_s: f64,
    /// How far apart replicas are killed, from `at_s` on.
    #[serde(default)]
    pub each_s: f64,
    /// What.
    pub what: What,
    /// Whom: `zone:N`, `region:N`, `rack:N` (of zone N), `one:N`, `all`; absent for the log and its replicas.
    #[serde(default)]
    pub who: String,
}

/// The bounds; absent ones are not looked at.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Expect {
    /// From a purge's issue until the last reachable dispatcher has acted on it, in seconds.
    pub purge_p50_s: Option<f64>,
    pub purge_p99_s: Option<f64>,
    pub purge_p999_s: Option<f64>,
    pub purge_worst_s: Option<f64>,
    /// The same for changes of the list, and for versions of the rules, at worst.
    pub list_worst_s: Option<f64>,
    pub version_worst_s: Option<f64>,
    /// From the end of a fault until those it hit have acted on all that was issued by then, at worst.
    pub current_worst_s: Option<f64>,
    /// Bytes a second from the change log to one dispatcher, in the mean of the run.
    pub bytes_per_s: Option<f64>,
    /// The same in any second, while it catches up too.
    pub bytes_most_per_s: Option<f64>,
    /// Cores that one dispatcher's control takes.
    pub cores: Option<f64>,
    /// Resident memory of one dispatcher, in MB.
    pub memory_mb: Option<f64>,
    /// New connections in any second.
    pub calls_per_s: Option<f64>,
    /// Dispatchers that follow one replica, at most, as a part of all.
    pub replica_followers: Option<f64>,
    /// New connections to one replica in any second.
    pub replica_calls_per_s: Option<f64>,
    /// Hollow and real dispatchers differ by no more than this part in messages and bytes.
    pub hollow_differs: Option<f64>,
    /// They differ by no more than so many seconds in the median time that a purge takes: what observers can't resolve.
    pub hollow_differs_s: Option<f64>,
    /// Memory of all processes together, in GB.
    pub all_memory_gb: Option<f64>,
}

impl Scenario {
    /// Reads a scenario; an error is one line with the file, the field and what was expected.
    pub(crate) fn read(path: &Path) -> Result<Scenario, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        Scenario::parse(&text).map_err(named)
    }

    /// The same from the text of a file.
    pub(crate) fn parse(text: &str) -> Result<Scenario, String> {
        let read = &mut serde_json::Deserializer::from_str(text);
        let read: Scenario = serde_path_to_error::deserialize(read).map_err(|fault| fault.to_string())?;
        read.check()?;
        Ok(read)
    }

    /// The schema of such files.
    pub(crate) fn schema() -> serde_json::Value {
        schemars::schema_for!(Scenario).to_value()
    }

    /// Dispatchers in all; the first `fleet.real` of them are real.
    pub(crate) fn dispatchers(&self) -> usize {
        self.fleet.hollow + self.fleet.real
    }

    /// Processes that host hollow dispatchers.
    pub(crate) fn hosts(&self) -> usize {
        self.fleet.hollow.div_ceil(self.fleet.hollow_each.max(1))
    }

    fn check(&self) -> Result<(), String> {
        let within = |path: &str, value: f64, least: f64, most: f64| match value >= least && value <= most {
            true => Ok(()),
            false => Err(format!("{path}: {value}; expected {least} to {most}")),
        };
        within("length_s", self.length_s, 1.0, LONGEST_S)?;
        within("settle_s", self.settle_s, 1.0, 60.0)?;
        within("fleet.hollow", self.fleet.hollow as f64, 1.0, MOST_DISPATCHERS as f64)?;
        within("fleet.hollow_each", self.fleet.hollow_each as f64, 1.0, 100.0)?;
        within("fleet.real", self.fleet.real as f64, 0.0, 200.0)?;
        within("fleet.real_idle", self.fleet.real_idle as f64, 0.0, self.fleet.real as f64)?;
        within("fleet.zones", self.fleet.zones as f64, 1.0, 100.0)?;
        within("fleet.regions", self.fleet.regions as f64, 1.0, self.fleet.zones as f64)?;
        within("fleet.rack", self.fleet.rack as f64, 1.0, 100.0)?;
        within("fleet.caches", self.fleet.caches as f64, 1.0, 240.0)?;
        within("fleet.requests_per_s", self.fleet.requests_per_s, 0.0, 1_000.0)?;
        within("fleet.clock_error_ms", self.fleet.clock_error_ms as f64, 0.0, 1_000.0)?;
        within("fleet.start_s", self.fleet.start_s, 0.0, 60.0)?;
        within("changes.purges_per_s", self.changes.purges_per_s, 0.1, 1_000.0)?;
        within("changes.probe_each_s", self.changes.probe_each_s, 0.2, 60.0)?;
        within("changes.lists", self.changes.lists as f64, 0.0, 100_000.0)?;
        within("changes.version_each_s", self.changes.version_each_s, 0.0, LONGEST_S)?;
        within("changes.ahead_s", self.changes.ahead_s, 0.0, 60.0)?;
        within("changes.backlog", self.changes.backlog as f64, 0.0, 200_000.0)?;
        if self.changes.version_each_s > 0.0 && !self.operator.contains_key("agreement") {
            return Err("changes.version_each_s: expected 0, as operator.agreement is absent".into());
        }
        self.check_replicas()?;
        let processes = self.fleet.real + self.hosts() + self.replicas + 1;
        within("fleet: processes in all", processes as f64, 1.0, MOST_PROCESSES as f64)?;
        self.faults.iter().enumerate().try_for_each(|(at, fault)| self.check_fault(at, fault))
    }

    fn check_replicas(&self) -> Result<(), String> {
        let replicas = self.replicas;
        if replicas == 0 {
            return Ok(());
        }
        let most = MOST_REPLICAS.min(self.fleet.zones);
        if !(2..=most).contains(&replicas) {
            return Err(format!("replicas: {replicas}; expected 0, or 2 to {most}, each in another zone"));
        }
        match self.operator.get("lists").is_some_and(serde_json::Value::is_object) {
            true => Ok(()),
            false => Err(format!("replicas: {replicas}; expected 0, as operator.lists is absent")),
        }
    }

    fn check_fault(&self, at: usize, fault: &Fault) -> Result<(), String> {
        let ends_s = fault.at_s + fault.for_s;
        if !(fault.at_s >= 0.0 && fault.for_s >= 0.0 && ends_s <= self.length_s) {
            let length_s = self.length_s;
            return Err(format!("faults.{at}: ends after {ends_s} s; expected within length_s, {length_s}"));
        }
        if fault.what == What::Backlog && fault.at_s > 0.0 {
            return Err(format!(
                "faults.{at}.at_s: {}; expected 0, as a backlog is there at the start",
                fault.at_s
            ));
        }
        match fault.what {
            What::LogAway | What::LogReset | What::StreamsReset => Ok(()),
            What::Replica if self.replicas == 0 => Err(format!("faults.{at}.what: replica; there is none")),
            What::Replica if fault.for_s < fault.each_s => Ok(()),
            What::Replica => Err(format!(
                "faults.{at}.each_s: {}; expected more than for_s, {}, as one is away at a time",
                fault.each_s, fault.for_s
            )),
            _ => match Group::read(&fault.who).map(|group| group.members(&self.fleet)) {
                Some(members) if !members.is_empty() => Ok(()),
                _ => Err(format!("faults.{at}.who: '{}' is nobody that this can happen to", fault.who)),
            },
        }
    }
}

#[cfg(test)]
#[path = "../tests/capacity_scenario.rs"]
mod tests;
