//! The wire's start-up settings in the words of the interface.

use copperroute::interface::{ColdStart, ContentType, DedupScope, Nanos, Repeat, Settings, ZoneId};
use std::collections::HashMap;
use std::str::FromStr;

/// The `path=value` pairs of a `begin` line.
pub struct Options<'a>(HashMap<&'a str, &'a str>);

type Read<T> = Result<T, String>;

impl<'a> Options<'a> {
    pub fn new(fields: &[&'a str]) -> Read<Self> {
        let mut pairs = HashMap::new();
        for field in fields {
            let (path, value) =
                field.split_once('=').ok_or_else(|| format!("options: '{field}' is not path=value"))?;
            pairs.insert(path, value);
        }
        Ok(Options(pairs))
    }

    fn text(&self, path: &str) -> Read<&'a str> {
        self.0.get(path).copied().ok_or_else(|| format!("options: {path} is missing"))
    }

    fn number<T: FromStr>(&self, path: &str) -> Read<T> {
        let text = self.text(path)?;
        text.parse().map_err(|_| format!("options: {path}: expected a number, found '{text}'"))
    }

    fn number_or<T: FromStr>(&self, path: &str, absent: T) -> Read<T> {
        if self.0.contains_key(path) { self.number(path) } else { Ok(absent) }
    }

    fn span(&self, path: &str) -> Read<Nanos> {
        Ok(Nanos::from_secs(self.number(path)?))
    }

    fn span_or_zero(&self, path: &str) -> Read<Nanos> {
        Ok(Nanos::from_secs(self.number_or(path, 0.0)?))
    }

    fn flag(&self, path: &str) -> Read<bool> {
        match self.0.get(path).copied() {
            None | Some("false" | "0") => Ok(false),
            Some("true" | "1") => Ok(true),
            Some(other) => Err(format!("options: {path}: expected true or false, found '{other}'")),
        }
    }

    /// Place `at` of a list of plain values; nothing if the list is absent or shorter.
    fn listed(&self, path: &str, at: usize) -> Option<&'a str> {
        self.0.get(path)?.split(',').nth(at)
    }

    fn listed_number<T: FromStr>(&self, path: &str, at: usize, absent: T) -> Read<T> {
        match self.listed(path, at) {
            None | Some("") => Ok(absent),
            Some(text) => {
                text.parse().map_err(|_| format!("options: {path}: expected numbers, found '{text}'"))
            }
        }
    }

    fn kind(&self, path: &str) -> Read<Option<u32>> {
        Ok(u32::try_from(self.number_or(path, -1_i64)?).ok())
    }

    fn content_type(&self, at: usize) -> Read<ContentType> {
        let path = |name: &str| format!("services.{at}.{name}");
        let scope = match self.0.get(path("dedup_scope").as_str()).copied() {
            Some("cell") => DedupScope::Cell,
            Some("zone") => DedupScope::Zone,
            _ => DedupScope::All,
        };
        let repeat = match self.text(&path("effect"))? {
            "safe" => Repeat::Retriable,
            "keyed" => Repeat::Deduped { scope, window: self.span(&path("window_s"))? },
            "unsafe" => Repeat::NonRetriable,
            other => return Err(format!("options: {}: unknown effect '{other}'", path("effect"))),
        };
        let fresh: f64 = self.listed_number("family_info.fresh_for_s", at, 0.0)?;
        Ok(ContentType {
            target_time: self.span(&path("aim_s"))?,
            target_stretch: self.number_or(&path("aim_stretch"), 0.0)?,
            repeat,
            fresh_for: (fresh > 0.0).then(|| Nanos::from_secs(fresh)),
            uncacheable: matches!(self.listed("family_info.pass_on", at), Some("true" | "1")),
        })
    }

    /// The settings that the module reads; keys that it does not read are passed over.
    pub fn settings(&self, seed: u64) -> Read<Settings> {
        let zone: u32 = self.number("zone")?;
        let dispatchers: u32 = self.number_or("balancers", 1)?;
        let types: usize = self.number("services.count")?;
        Ok(Settings {
            seed,
            zone: ZoneId(zone),
            dispatchers,
            zone_dispatchers: self.listed_number("family_info.crew_by_zone", zone as usize, dispatchers)?,
            content_types: (0..types).map(|at| self.content_type(at)).collect::<Read<_>>()?,
            parent_kind: self.kind("family_info.second_tier_kind")?,
            origin_kind: self.kind("family_info.root_kind")?,
            direct: self.flag("family_info.pass_through_ok")?,
            joins: self.flag("family_info.shares_fills")?,
            fills_told: self.0.get("family_info.detail").copied() == Some("all"),
            client_kb_per_s: self.number_or("family_info.client_kb_per_s", 0.0)?,
            link_kb_per_s: self.listed_number("family_info.pipe_kb_per_s", zone as usize, 0.0)?,
            purge_done: self.span_or_zero("family_info.purge_done_s")?,
            purge_notice: self.span_or_zero("family_info.notice_time_s")?,
            cache_cold: ColdStart {
                share: self.number("rules.cold_share")?,
                warm_after: self.span("rules.cold_s")?,
                fall_multiple: self.number("rules.fall_multiple")?,
            },
            parent_cold: ColdStart {
                share: self.number_or("family_info.parent_cold_from", 1.0)?,
                warm_after: self.span_or_zero("family_info.parent_cold_s")?,
                fall_multiple: self.number_or("family_info.parent_breaks_at", 1.0)?,
            },
            fall_for: self.span("rules.overload_for_s")?,
            origin_stop_multiple: self.number_or("family_info.origin_stops_at", 0.0)?,
            list_is_asked: self.0.get("discovery").copied() == Some("subscribe"),
            cancel: self.flag("limits.cancel")?,
            come_back: self.flag("limits.retry_after")?,
            max_come_back: self.span_or_zero("limits.max_retry_after_s")?,
            max_pulls: self.number("limits.max_attempts")?,
        })
    }
}
