//! The settings that a dispatcher is started with, in the words of the interface: read from `path=value`
//! pairs, or from nested JSON that is flattened to the same paths.

pub mod operator;

use copperroute_routing::interface::{
    ColdStart, ContentType, DedupScope, Nanos, RetrySafety, Settings, ZoneId,
};
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use serde_json::Value;
use std::collections::HashMap;
use std::str::FromStr;

/// Values by their paths.
#[derive(Debug, Clone, Default)]
pub struct Options(HashMap<String, String>);

/// What the change log has to tell counts as told after this long, whether it arrived or not; the platform's page on
/// Sends to a node that drains must end within this, in seconds, where the settings do not say.
const USUAL_DRAIN_GRACE_S: f64 = 1.0;
/// its protocol says so, and the operators of another may say otherwise.
const TOLD_AFTER: Nanos = Nanos(7_000_000_000);

/// A value, or one line on what was expected.
pub type ReadResult<T> = Result<T, String>;

/// What connections to nodes are held to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConnectionLimits {
    /// A connection not made by then never comes.
    pub connect_timeout: Nanos,
    /// Attempts that one connection carries at once.
    pub max_in_flight: usize,
    /// The other side closes a connection that carried nothing for so long; zero if not told.
    pub peer_idle_timeout: Nanos,
}

/// Names that the protocol uses where the module has indices.
#[derive(Debug, Clone, PartialEq)]
pub struct Names {
    /// Content types.
    pub content_types: Vec<String>,
    /// Locations and hubs.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

/// What may be asked for of a content type.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestLimits {
    /// The longest that a client waits for it.
    pub max_timeout: Nanos,
    /// A request may bring bytes.
    pub allows_body: bool,
}

/// The place of a name among those of the settings.
pub fn name_index(names: &[String], name: &str) -> Option<u32> {
    let name = as_listed(name);
    names.iter().position(|known| *known == name).map(|at| at as u32)
}

/// A name as the wire writes it, where lists are set apart by commas.
fn as_listed(name: &str) -> String {
    name.replace([' ', ','], "_")
}

/// A plain value as the wire writes it.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => as_listed(text),
        other => other.to_string(),
    }
}

impl Options {
    /// From `path=value` pairs.
    pub fn from_pairs(fields: &[&str]) -> ReadResult<Self> {
        let mut pairs = HashMap::new();
        for field in fields {
            let (path, value) =
                field.split_once('=').ok_or_else(|| format!("options: '{field}' is not path=value"))?;
            pairs.insert(path.to_string(), value.to_string());
        }
        Ok(Options(pairs))
    }

    /// From nested JSON.
    pub fn from_json(value: &Value) -> Self {
        let mut options = Options::default();
        options.flatten("", value);
        options
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Object(fields) => {
                fields.iter().for_each(|(name, value)| self.flatten(&below(name), value))
            }
            Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
                self.0.insert(below("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(at, item)| self.flatten(&below(&at.to_string()), item));
            }
            Value::Array(items) => {
                self.0.insert(path.to_string(), items.iter().map(plain).collect::<Vec<_>>().join(","));
            }
            Value::Null => {}
            value => {
                self.0.insert(path.to_string(), plain(value));
            }
        }
    }

    fn raw(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str)
    }

    fn text(&self, path: &str) -> ReadResult<&str> {
        self.raw(path).ok_or_else(|| format!("options: {path} is missing"))
    }

    fn names(&self, path: &str) -> Vec<String> {
        self.raw(path).unwrap_or_default().split(',').map(str::to_string).collect()
    }

    fn number<T: FromStr>(&self, path: &str) -> ReadResult<T> {
        let text = self.text(path)?;
        text.parse().map_err(|_| format!("options: {path}: expected a number, found '{text}'"))
    }

    fn number_or<T: FromStr>(&self, path: &str, absent: T) -> ReadResult<T> {
        if self.raw(path).is_some() { self.number(path) } else { Ok(absent) }
    }

    fn span(&self, path: &str) -> ReadResult<Nanos> {
        Ok(Nanos::from_secs(self.number(path)?))
    }

    fn span_or_zero(&self, path: &str) -> ReadResult<Nanos> {
        Ok(Nanos::from_secs(self.number_or(path, 0.0)?))
    }

    fn flag(&self, path: &str) -> ReadResult<bool> {
        match self.raw(path) {
            None | Some("false" | "0") => Ok(false),
            Some("true" | "1") => Ok(true),
            Some(other) => Err(format!("options: {path}: expected true or false, found '{other}'")),
        }
    }

    /// Place `at` of a list of plain values; nothing if the list is absent or shorter.
    fn listed(&self, path: &str, at: usize) -> Option<&str> {
        self.raw(path)?.split(',').nth(at)
    }

    fn listed_number<T: FromStr>(&self, path: &str, at: usize, absent: T) -> ReadResult<T> {
        match self.listed(path, at) {
            None | Some("") => Ok(absent),
            Some(text) => {
                text.parse().map_err(|_| format!("options: {path}: expected numbers, found '{text}'"))
            }
        }
    }

    fn kind(&self, path: &str) -> ReadResult<Option<u32>> {
        Ok(u32::try_from(self.number_or(path, -1_i64)?).ok())
    }

    fn content_type(&self, at: usize) -> ReadResult<ContentType> {
        let path = |name: &str| format!("services.{at}.{name}");
        let scope = match self.raw(&path("dedup_scope")) {
            Some("cell") => DedupScope::Cell,
            Some("zone") => DedupScope::Zone,
            _ => DedupScope::All,
        };
        let retry_safety = match self.text(&path("effect"))? {
            "safe" => RetrySafety::Retriable,
            "keyed" => RetrySafety::Deduped { scope, window: self.span(&path("window_s"))? },
            "unsafe" => RetrySafety::NonRetriable,
            other => return Err(format!("options: {}: unknown effect '{other}'", path("effect"))),
        };
        let fresh: f64 = self.listed_number("family_info.fresh_for_s", at, 0.0)?;
        Ok(ContentType {
            latency_target: self.span(&path("aim_s"))?,
            latency_target_stretch: self.number_or(&path("aim_stretch"), 0.0)?,
            retry_safety,
            fresh_for: (fresh > 0.0).then(|| Nanos::from_secs(fresh)),
            uncacheable: matches!(self.listed("family_info.pass_on", at), Some("true" | "1")),
            benefit: self.number_or(&path("value"), 1.0)?,
        })
    }

    /// The settings that the module reads; keys that it does not read are passed over.
    pub fn settings(&self, seed: u64) -> ReadResult<Settings> {
        let zone: u32 = self.number("zone")?;
        let dispatchers: u32 = self.number_or("balancers", 1)?;
        let types: usize = self.number("services.count")?;
        Ok(Settings {
            seed,
            zone: ZoneId(zone),
            dispatchers,
            zone_dispatchers: self.listed_number("family_info.crew_by_zone", zone as usize, dispatchers)?,
            content_types: (0..types).map(|at| self.content_type(at)).collect::<ReadResult<_>>()?,
            parent_kind: self.kind("family_info.second_tier_kind")?,
            origin_kind: self.kind("family_info.root_kind")?,
            direct_to_parents: self.flag("family_info.pass_through_ok")?,
            coalesces_fills: self.flag("family_info.shares_fills")?,
            fill_source_reported: self.raw("family_info.detail") == Some("all"),
            fill_from_other_locations: self.raw("family_info.sideways") == Some("any"),
            client_kb_per_s: self.number_or("family_info.client_kb_per_s", 0.0)?,
            link_kb_per_s: self.listed_number("family_info.pipe_kb_per_s", zone as usize, 0.0)?,
            purge_done: self.span_or_zero("family_info.purge_done_s")?,
            purge_notice: self.span_or_zero("family_info.notice_time_s")?,
            drain_grace: Nanos::from_secs(self.number_or("rules.drain_grace_s", USUAL_DRAIN_GRACE_S)?),
            cache_cold: ColdStart {
                share: self.number("rules.cold_share")?,
                warm_after: self.span("rules.cold_s")?,
                overload_multiple: self.number("rules.fall_multiple")?,
            },
            parent_cold: ColdStart {
                share: self.number_or("family_info.parent_cold_from", 1.0)?,
                warm_after: self.span_or_zero("family_info.parent_cold_s")?,
                overload_multiple: self.number_or("family_info.parent_breaks_at", 1.0)?,
            },
            overload_window: self.span("rules.overload_for_s")?,
            origin_stop_multiple: self.number_or("family_info.origin_stops_at", 0.0)?,
            list_needs_subscription: self.raw("discovery") == Some("subscribe"),
            cancel: self.flag("limits.cancel")?,
            retry_after: self.flag("limits.retry_after")?,
            max_retry_after: self.span_or_zero("limits.max_retry_after_s")?,
            max_attempts: self.number("limits.max_attempts")?,
            capacities_listed: self.raw("weights") != Some("none"),
            load_probes: self.flag("limits.probing")?
                && (0..4).any(|at| self.listed("report.fields", at) == Some("cpu_share")),
            readiness_probes: self.flag("limits.probing")?,
            overload_control: None,
        })
    }

    /// What is known of the list service without the operators: each location has its part of a round, as large as
    /// its part of the dispatchers.
    pub fn reconnect_settings(&self) -> ReadResult<ReconnectSettings> {
        let zone: usize = self.number("zone")?;
        let dispatchers: u32 = self.number_or("balancers", 1)?;
        let crews = self.names("family_info.crew_by_zone").len();
        let crew = |at: usize| self.listed_number("family_info.crew_by_zone", at, 0.0_f64);
        let crews = (0..crews).map(crew).collect::<ReadResult<Vec<_>>>()?;
        let sum = |crews: &[f64]| crews.iter().sum::<f64>();
        let window_range = match crews.get(zone) {
            Some(own) if *own > 0.0 => [sum(&crews[..zone]), sum(&crews[..=zone])].map(|at| at / sum(&crews)),
            _ => [0.0, 1.0],
        };
        Ok(ReconnectSettings { dispatchers, calls_per_s: None, delivered_after: TOLD_AFTER, window_range })
    }

    /// What connections to nodes are held to.
    pub fn connection_limits(&self) -> ReadResult<ConnectionLimits> {
        Ok(ConnectionLimits {
            connect_timeout: self.span("limits.connect_timeout_s")?,
            max_in_flight: self.number("limits.streams_per_conn")?,
            peer_idle_timeout: self.span_or_zero("limits.conn_idle_s")?,
        })
    }

    /// What may be asked for, by content type.
    pub fn request_limits(&self) -> ReadResult<Vec<RequestLimits>> {
        let types: usize = self.number("services.count")?;
        let offer = |at: usize| {
            Ok(RequestLimits {
                max_timeout: self.span(&format!("services.{at}.deadline_s"))?,
                allows_body: matches!(self.listed("family_info.pass_on", at), Some("true" | "1")),
            })
        };
        (0..types).map(offer).collect()
    }

    /// The names that the protocol uses.
    pub fn protocol_names(&self) -> ReadResult<Names> {
        let types: usize = self.number("services.count")?;
        let name = |at: usize| self.text(&format!("services.{at}.name")).map(str::to_string);
        Ok(Names {
            content_types: (0..types).map(name).collect::<ReadResult<_>>()?,
            zones: self.names("localities"),
            kinds: self.names("flavors"),
        })
    }
}

#[cfg(test)]
#[path = "tests/lib.rs"]
mod tests;
