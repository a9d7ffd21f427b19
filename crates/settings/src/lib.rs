//! The settings with which a dispatcher is started. Input is a list of `path=value` pairs, or nested JSON that is
//! flattened to the same paths; outputs are the typed settings of the routing decisions, of connections and of
//! requests. The dispatcher and the simulator adapter call [`Options`]; an error is one line on what was expected.

pub mod operator;

use copperroute_routing::interface::{
    ColdStart, ContentType, DedupScope, Nanos, RetrySafety, Settings, ZoneId,
};
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use serde_json::Value;
use std::collections::HashMap;
use std::str::FromStr;

/// Values by path.
#[derive(Debug, Clone, Default)]
pub struct Options(HashMap<String, String>);

/// Default of `rules.drain_grace_s`: attempts at a draining node must end within this many seconds.
const DEFAULT_DRAIN_GRACE_S: f64 = 1.0;
/// Default of the delivery deadline: an event of the change log counts as delivered after this long, whether it
/// arrived or not. The platform's protocol states this value; the operator's file may set another for other platforms.
const DEFAULT_DELIVERY_DEADLINE: Nanos = Nanos(7_000_000_000);

/// A value, or an error of one line on what was expected.
pub type ReadResult<T> = Result<T, String>;

/// Limits of connections to nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConnectionLimits {
    /// A connection that is not established within this time is given up.
    pub connect_timeout: Nanos,
    /// Limit on attempts in flight on one connection.
    pub max_in_flight: usize,
    /// The node closes a connection that carried nothing for this long; zero if not configured.
    pub peer_idle_timeout: Nanos,
}

/// The names that the protocol uses; routing uses their indices.
#[derive(Debug, Clone, PartialEq)]
pub struct Names {
    /// Content types.
    pub content_types: Vec<String>,
    /// Locations and hubs (`localities`).
    pub zones: Vec<String>,
    /// Machine kinds (`flavors`).
    pub kinds: Vec<String>,
}

/// Limits of requests for a content type.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestLimits {
    /// The longest timeout of a request.
    pub max_timeout: Nanos,
    /// A request may have a body.
    pub allows_body: bool,
}

/// The index of a name in a list of the settings.
pub fn name_index(names: &[String], name: &str) -> Option<u32> {
    let name = escape_separators(name);
    names.iter().position(|known| *known == name).map(|at| at as u32)
}

/// Replaces spaces and commas in a name, as lists are separated by commas.
fn escape_separators(name: &str) -> String {
    name.replace([' ', ','], "_")
}

/// The text of a scalar JSON value.
fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => escape_separators(text),
        other => other.to_string(),
    }
}

impl Options {
    /// Reads `path=value` pairs.
    pub fn from_pairs(fields: &[&str]) -> ReadResult<Self> {
        let mut pairs = HashMap::new();
        for field in fields {
            let (path, value) =
                field.split_once('=').ok_or_else(|| format!("options: '{field}' is not path=value"))?;
            pairs.insert(path.to_string(), value.to_string());
        }
        Ok(Options(pairs))
    }

    /// Flattens nested JSON.
    pub fn from_json(value: &Value) -> Self {
        let mut options = Options::default();
        options.flatten("", value);
        options
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let child_path =
            |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Object(fields) => {
                fields.iter().for_each(|(name, value)| self.flatten(&child_path(name), value))
            }
            Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
                self.0.insert(child_path("count"), items.len().to_string());
                items
                    .iter()
                    .enumerate()
                    .for_each(|(at, item)| self.flatten(&child_path(&at.to_string()), item));
            }
            Value::Array(items) => {
                self.0.insert(path.to_string(), items.iter().map(value_text).collect::<Vec<_>>().join(","));
            }
            Value::Null => {}
            value => {
                self.0.insert(path.to_string(), value_text(value));
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

    fn duration(&self, path: &str) -> ReadResult<Nanos> {
        Ok(Nanos::from_secs(self.number(path)?))
    }

    fn duration_or_zero(&self, path: &str) -> ReadResult<Nanos> {
        Ok(Nanos::from_secs(self.number_or(path, 0.0)?))
    }

    fn flag(&self, path: &str) -> ReadResult<bool> {
        match self.raw(path) {
            None | Some("false" | "0") => Ok(false),
            Some("true" | "1") => Ok(true),
            Some(other) => Err(format!("options: {path}: expected true or false, found '{other}'")),
        }
    }

    /// Item `at` of a list of scalars; `None` if the list is missing or shorter.
    fn list_item(&self, path: &str, at: usize) -> Option<&str> {
        self.raw(path)?.split(',').nth(at)
    }

    fn list_number<T: FromStr>(&self, path: &str, at: usize, absent: T) -> ReadResult<T> {
        match self.list_item(path, at) {
            None | Some("") => Ok(absent),
            Some(text) => {
                text.parse().map_err(|_| format!("options: {path}: expected numbers, found '{text}'"))
            }
        }
    }

    fn optional_index(&self, path: &str) -> ReadResult<Option<u32>> {
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
            "keyed" => RetrySafety::Deduped { scope, window: self.duration(&path("window_s"))? },
            "unsafe" => RetrySafety::NonRetriable,
            other => return Err(format!("options: {}: unknown effect '{other}'", path("effect"))),
        };
        let fresh_for_s: f64 = self.list_number("family_info.fresh_for_s", at, 0.0)?;
        Ok(ContentType {
            latency_target: self.duration(&path("aim_s"))?,
            latency_target_stretch: self.number_or(&path("aim_stretch"), 0.0)?,
            retry_safety,
            fresh_for: (fresh_for_s > 0.0).then(|| Nanos::from_secs(fresh_for_s)),
            uncacheable: matches!(self.list_item("family_info.pass_on", at), Some("true" | "1")),
            benefit: self.number_or(&path("value"), 1.0)?,
        })
    }

    /// The settings of the routing decisions; unknown keys are ignored.
    pub fn settings(&self, seed: u64) -> ReadResult<Settings> {
        let zone: u32 = self.number("zone")?;
        let dispatchers: u32 = self.number_or("balancers", 1)?;
        let types: usize = self.number("services.count")?;
        Ok(Settings {
            seed,
            zone: ZoneId(zone),
            dispatchers,
            zone_dispatchers: self.list_number("family_info.crew_by_zone", zone as usize, dispatchers)?,
            content_types: (0..types).map(|at| self.content_type(at)).collect::<ReadResult<_>>()?,
            parent_kind: self.optional_index("family_info.second_tier_kind")?,
            origin_kind: self.optional_index("family_info.root_kind")?,
            direct_to_parents: self.flag("family_info.pass_through_ok")?,
            coalesces_fills: self.flag("family_info.shares_fills")?,
            fill_source_reported: self.raw("family_info.detail") == Some("all"),
            fill_from_other_locations: self.raw("family_info.sideways") == Some("any"),
            client_kb_per_s: self.number_or("family_info.client_kb_per_s", 0.0)?,
            link_kb_per_s: self.list_number("family_info.pipe_kb_per_s", zone as usize, 0.0)?,
            purge_done: self.duration_or_zero("family_info.purge_done_s")?,
            purge_notice: self.duration_or_zero("family_info.notice_time_s")?,
            drain_grace: Nanos::from_secs(self.number_or("rules.drain_grace_s", DEFAULT_DRAIN_GRACE_S)?),
            cache_cold: ColdStart {
                share: self.number("rules.cold_share")?,
                warm_after: self.duration("rules.cold_s")?,
                overload_multiple: self.number("rules.fall_multiple")?,
            },
            parent_cold: ColdStart {
                share: self.number_or("family_info.parent_cold_from", 1.0)?,
                warm_after: self.duration_or_zero("family_info.parent_cold_s")?,
                overload_multiple: self.number_or("family_info.parent_breaks_at", 1.0)?,
            },
            overload_window: self.duration("rules.overload_for_s")?,
            origin_stop_multiple: self.number_or("family_info.origin_stops_at", 0.0)?,
            list_needs_subscription: self.raw("discovery") == Some("subscribe"),
            cancel: self.flag("limits.cancel")?,
            retry_after: self.flag("limits.retry_after")?,
            max_retry_after: self.duration_or_zero("limits.max_retry_after_s")?,
            max_attempts: self.number("limits.max_attempts")?,
            capacities_listed: self.raw("weights") != Some("none"),
            load_probes: self.flag("limits.probing")?
                && (0..4).any(|at| self.list_item("report.fields", at) == Some("cpu_share")),
            readiness_probes: self.flag("limits.probing")?,
            overload_control: None,
        })
    }

    /// When to reconnect to the change log, as far as the platform's settings say. Each location gets a part of the
    /// reconnect window in proportion to its dispatchers.
    pub fn reconnect_settings(&self) -> ReadResult<ReconnectSettings> {
        let zone: usize = self.number("zone")?;
        let dispatchers: u32 = self.number_or("balancers", 1)?;
        let crews = self.names("family_info.crew_by_zone").len();
        let crew = |at: usize| self.list_number("family_info.crew_by_zone", at, 0.0_f64);
        let crews = (0..crews).map(crew).collect::<ReadResult<Vec<_>>>()?;
        let sum = |crews: &[f64]| crews.iter().sum::<f64>();
        let window_range = match crews.get(zone) {
            Some(own) if *own > 0.0 => [sum(&crews[..zone]), sum(&crews[..=zone])].map(|at| at / sum(&crews)),
            _ => [0.0, 1.0],
        };
        Ok(ReconnectSettings {
            dispatchers,
            calls_per_s: None,
            delivered_after: DEFAULT_DELIVERY_DEADLINE,
            window_range,
        })
    }

    /// Limits of connections to nodes.
    pub fn connection_limits(&self) -> ReadResult<ConnectionLimits> {
        Ok(ConnectionLimits {
            connect_timeout: self.duration("limits.connect_timeout_s")?,
            max_in_flight: self.number("limits.streams_per_conn")?,
            peer_idle_timeout: self.duration_or_zero("limits.conn_idle_s")?,
        })
    }

    /// Limits of requests, by content type.
    pub fn request_limits(&self) -> ReadResult<Vec<RequestLimits>> {
        let types: usize = self.number("services.count")?;
        let offer = |at: usize| {
            Ok(RequestLimits {
                max_timeout: self.duration(&format!("services.{at}.deadline_s"))?,
                allows_body: matches!(self.list_item("family_info.pass_on", at), Some("true" | "1")),
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
