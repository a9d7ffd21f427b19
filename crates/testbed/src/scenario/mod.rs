//! Scenarios: JSON with a schema. What is played, what goes wrong when, and what is expected of it.

mod expect;
mod faults;
mod fleet;
mod targets;

pub(crate) use expect::{Expect, RECOVERED_OVER_S, RECOVERED_SHARE};
pub(crate) use faults::{Drawn, Fault, What};
pub(crate) use fleet::{Clients, ContentType, Dispatchers, Fleet, Know, Service, Versions};
pub(crate) use targets::{Side, Whom};

use schemars::JsonSchema;
use serde::Deserialize;
use std::path::Path;

/// A scenario as it stands in its file.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    /// One line on what it shows.
    pub about: String,
    /// Where chance starts from.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long it lasts, in seconds.
    #[schemars(range(min = 1, max = 600))]
    pub length_s: f64,
    /// The dispatchers that are started.
    pub dispatchers: Dispatchers,
    /// What the list service bears; absent: everything.
    #[serde(default)]
    pub service: Service,
    /// The stand-ins of nodes.
    pub fleet: Fleet,
    /// What is asked for.
    pub types: Vec<ContentType>,
    /// Who asks.
    pub clients: Clients,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Versions of rules that are issued while it is played.
    #[serde(default)]
    pub versions: Option<Versions>,
    /// Faults of the list service, its links and the dispatchers that are drawn from the seed, besides those above.
    #[serde(default)]
    pub drawn: Option<Drawn>,
    /// What must hold besides the rules.
    #[serde(default)]
    pub expect: Expect,
}

fn one() -> u64 {
    1
}

impl Scenario {
    /// Reads a scenario; an error is one line with the file, the field, what was found and what was expected.
    pub(crate) fn read(path: &Path) -> Result<Scenario, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        Scenario::parse(&text).map_err(named)
    }

    /// The same from the text of a file.
    pub(crate) fn parse(text: &str) -> Result<Scenario, String> {
        let mut read = serde_json::Deserializer::from_str(text);
        let mut read: Scenario =
            serde_path_to_error::deserialize(&mut read).map_err(|fault| fault.to_string())?;
        if let Some(drawn) = read.drawn {
            read.faults.extend(drawn.faults(read.seed));
        }
        read.check()?;
        Ok(read)
    }

    /// Whether it can be played.
    pub(crate) fn check(&self) -> Result<(), String> {
        let within = |path: &str, value: f64, least: f64, most: f64| match value >= least && value <= most {
            true => Ok(()),
            false => Err(format!("{path}: {value}; expected {least} to {most}")),
        };
        within("length_s", self.length_s, 1.0, 600.0)?;
        within("dispatchers.count", self.dispatchers.count as f64, 1.0, 400.0)?;
        within("dispatchers.start_s", self.dispatchers.start_s, 0.0, 60.0)?;
        for (at, step) in self.dispatchers.wall_clock.iter().enumerate() {
            within(&format!("dispatchers.wall_clock.{at}.from_s"), step.from_s, 0.0, self.length_s)?;
            within(&format!("dispatchers.wall_clock.{at}.off_ms"), step.off_ms as f64, -1e10, 1e10)?;
        }
        within("service.calls_per_s", self.service.calls_per_s, 0.0, 1e6)?;
        within("service.falls_at", self.service.falls_at, 1.0, 100.0)?;
        within("service.rises_at", self.service.rises_at, 0.0, self.service.falls_at)?;
        within("fleet.zones", self.fleet.zones as f64, 1.0, 40.0)?;
        within("fleet.caches", self.fleet.caches as f64, 1.0, 200.0)?;
        within("fleet.parents", self.fleet.parents as f64, 1.0, 8.0)?;
        within("clients.count", self.clients.count as f64, 1.0, 20_000.0)?;
        within("clients.rate", self.clients.rate, 0.1, 20_000.0)?;
        within("clients.heed", self.clients.heed, 0.0, 1.0)?;
        within("clients.wait_ms", self.clients.wait_ms[1] as f64, self.clients.wait_ms[0] as f64, 60_000.0)?;
        if self.types.is_empty() {
            return Err("types: none; expected one or more".into());
        }
        for (at, fault) in self.faults.iter().enumerate() {
            within(&format!("faults.{at}.at_s"), fault.at_s, 0.0, self.length_s)?;
            within(&format!("faults.{at}.for_s"), fault.for_s, 0.0, self.length_s - fault.at_s)?;
            if self.whom(at).is_none() {
                return Err(format!("faults.{at}.who: '{}' is nobody that this can happen to", fault.who));
            }
        }
        Ok(())
    }

    /// The ids of all nodes, with the names of their groups.
    pub(crate) fn nodes(&self) -> Vec<(String, &'static str)> {
        let caches = (0..self.fleet.caches).map(|at| (format!("s-{at}"), "caches"));
        let parents = (0..self.fleet.parents).map(|at| (format!("p-{at}"), "parents"));
        caches.chain(parents).chain([("o-0".to_string(), "origin")]).collect()
    }

    /// The schema of scenarios.
    pub(crate) fn schema() -> serde_json::Value {
        schemars::schema_for!(Scenario).to_value()
    }
}
