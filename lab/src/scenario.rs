//! Scenarios: JSON with a schema. What is played, what goes wrong when, and what is expected of it.

use crate::groups;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::Path;

/// What was held by a dispatcher that is killed is no longer owed, for so long before and after, in seconds.
const LOST_S: [f64; 2] = [0.5, 3.0];

/// A scenario as it stands in its file.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
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

/// Versions of rules that are issued while a scenario is played: how many pulls a download may take.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Versions {
    /// One each so many seconds.
    pub each_s: f64,
    /// It acts so long after it was issued.
    pub ahead_s: f64,
    /// What the versions say in turn.
    pub max_pulls: Vec<u32>,
    /// After such a part of them another follows that is not good: a second content, an older number, a near moment.
    #[serde(default)]
    pub spoilt: f64,
}

/// Faults that are drawn.
#[derive(Debug, Clone, Copy, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Drawn {
    /// From when, and until when.
    pub from_s: f64,
    pub until_s: f64,
    /// One begins each so many seconds.
    pub each_s: f64,
    /// Each lasts as long as two draws between these say.
    pub for_s: [f64; 2],
}

/// The dispatchers that are started.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Dispatchers {
    /// How many.
    #[schemars(range(min = 1, max = 400))]
    pub count: usize,
    /// They are started over so many seconds; 0: all at once.
    #[serde(default)]
    pub start_s: f64,
    /// What they know of the change log when they first start.
    #[serde(default)]
    pub know: Know,
    /// Each logs this much; absent: what it does by itself.
    #[serde(default)]
    pub log: Option<String>,
    /// Their memory limit, as they are told.
    #[serde(default = "memory")]
    pub memory_mb: u64,
    /// Their descriptor limit, as they are told.
    #[serde(default = "sockets")]
    pub sockets: u64,
    /// The operator's file, as it stands; absent for none.
    pub operator: Option<serde_json::Value>,
    /// Some dispatchers that are told otherwise, as a program does that knows less.
    #[serde(default)]
    pub odd: Option<Odd>,
    /// The deliberate fault of their agreement, in a build that has such.
    #[serde(default)]
    pub fault: Option<String>,
}

/// Dispatchers that are told otherwise.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Odd {
    /// Which, as faults name them.
    pub who: String,
    /// Their operator's file.
    pub operator: serde_json::Value,
}

/// What a dispatcher's configuration holds of the change log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Know {
    /// All events up to its start, at each start.
    #[default]
    All,
    /// Nothing, ever.
    Nothing,
    /// All events up to the play's beginning, at each start.
    First,
}

/// What the list service bears.
#[derive(Debug, Clone, Copy, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Calls a second; 0 for any number.
    pub calls_per_s: f64,
    /// It falls over this multiple of that in a second, and resets all.
    pub falls_at: f64,
    /// It stays down until calls in a second are under this multiple.
    pub rises_at: f64,
    /// Whole lists that it tells at the same time.
    pub at_once: usize,
    /// Bytes a second of each.
    pub bytes_per_s: f64,
    /// Events that it can still tell one by one; who asks from before gets the whole list. 0 for all.
    pub retention: usize,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            calls_per_s: 0.0,
            falls_at: 2.0,
            rises_at: 0.95,
            at_once: 16,
            bytes_per_s: 1e6,
            retention: 0,
        }
    }
}

/// The stand-ins of nodes.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Locations, which nodes and dispatchers are dealt out to in turn.
    #[serde(default = "zones")]
    #[schemars(range(min = 1, max = 40))]
    pub zones: usize,
    /// Connections that a cache or parent holds at most; more are reset. 0 for any number.
    #[serde(default)]
    pub most_connections: usize,
    /// New connections a second that it takes; more are reset. 0 for any number.
    #[serde(default)]
    pub most_new: usize,
    /// Parents start cold too, with this part of their capacity; 0 for not.
    #[serde(default)]
    pub parent_cold_share: f64,
    /// Caches, of all locations.
    #[schemars(range(min = 1, max = 200))]
    pub caches: usize,
    /// Transfers at full pace that a cache carries at once.
    pub cache_weight: f64,
    /// The list gives each node the same size, and no link's size is told.
    #[serde(default)]
    pub sizes_untold: bool,
    /// Copies that a cache keeps.
    pub keep: usize,
    /// Parents.
    pub parents: usize,
    /// Transfers that a parent carries at once.
    pub parent_weight: f64,
    /// Transfers that the origin carries at once.
    pub origin_weight: f64,
    /// What the origin takes to begin.
    pub origin_ms: f64,
    /// What a parent takes to begin.
    pub parent_ms: f64,
    /// Transfers that the location's link for fills carries at once.
    pub link: f64,
    /// How long the list takes to tell of a change.
    #[serde(default = "notice")]
    pub notice_s: f64,
    /// The part of its capacity with which a cache starts.
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    /// How long until it is warm.
    #[serde(default = "cold_s")]
    pub cold_s: f64,
}

/// What is asked for.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ContentType {
    /// Its name.
    pub name: String,
    /// Its part of the downloads, in relation to the others.
    pub share: f64,
    /// What an answer takes to send at full pace, on average.
    pub work_ms: f64,
    /// Its target time without the sending time.
    pub target_ms: f64,
    /// Added to the target time, as a multiple of the sending time.
    #[serde(default)]
    pub stretch: f64,
    /// When a try expires.
    pub expiry_ms: u64,
    /// What an answer in time is worth.
    pub benefit: f64,
    /// How many objects there are; 0 for a new one each time, which runs at the origin and must not run twice.
    pub objects: u64,
}

/// Who asks.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// How many there are, each with an address of its own.
    #[schemars(range(min = 1, max = 20000))]
    pub count: usize,
    /// First tries a second, of all together, while none waits.
    pub rate: f64,
    /// How long a client goes on trying for one download.
    pub patience_s: f64,
    /// The part of them that heed advice.
    pub heed: f64,
    /// Those that don't, or are told nothing, wait so long.
    pub wait_ms: [u64; 2],
    /// Each try comes on a new connection.
    #[serde(default)]
    pub new_connections: bool,
    /// So many ask again at once, without a wait, whatever they are told.
    #[serde(default)]
    pub hammer: usize,
    /// Clients of posts repeat them though they may have run.
    #[serde(default)]
    pub repeat_posts: bool,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// From when.
    pub at_s: f64,
    /// For how long.
    #[serde(default)]
    pub for_s: f64,
    /// What.
    pub what: What,
    /// To whom: `caches`, `parents`, `origin`, or the id of a node; dispatchers as `dispatchers`, `dispatchers 0-99`,
    /// `a third of dispatchers`, `zone 2`; their links as `lists of`, `nodes of` or `clients of` such a group.
    #[serde(default)]
    pub who: String,
    /// How slow, or what part is refused.
    #[serde(default)]
    pub by: f64,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Connections are reset, nothing listens; comes back cold and empty.
    Crash,
    /// Nobody gets there: connections end and can't be made; comes back as it was, and the list says nothing.
    Cut,
    /// Nothing is answered; comes back as it was.
    Silence,
    /// Everything takes so many times as long.
    Slow,
    /// So large a part is refused.
    Refuse,
    /// Listed as draining, then gone; never comes back.
    Drain,
    /// All objects of all types are purged.
    Purge,
    /// All connections of clients end at one moment.
    Reconnect,
    /// Dispatchers are killed, and started again when the fault ends, over `by` seconds.
    Restart,
    /// Dispatchers are killed and started again each `by` seconds, until the fault ends.
    Loop,
    /// Dispatchers are stopped, and continued when the fault ends.
    Stop,
    /// The list service is away: nobody gets through.
    Away,
    /// It accepts, and resets.
    Resets,
    /// It accepts, and says nothing.
    Mute,
    /// It leaves out the event that follows.
    Gap,
    /// It tells the whole list each time.
    Whole,
    /// It forgets its past, and begins its numbers at 1 with the list as it stands.
    Anew,
    /// It ends each answer after half; on links the next answer.
    Half,
    /// Links carry nothing from dispatchers on; what was held is reset when the fault ends.
    CutTo,
    /// Links carry nothing to dispatchers; likewise.
    CutFrom,
    /// Links hold all that comes, and let it go at once when the fault ends.
    Hold,
    /// Connections on links are reset, once.
    Reset,
}

/// What a fault happens to.
#[derive(Debug, Clone, PartialEq)]
pub enum Whom {
    /// All clients, or everybody.
    All,
    /// The list service.
    Service,
    /// Nodes by id or group.
    Nodes(String),
    /// Dispatchers, by number.
    Dispatchers(Vec<usize>),
    /// Links of dispatchers, to the list service, to nodes, or from clients.
    Links(Side, Vec<usize>),
}

/// The far side of a dispatcher's links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Side {
    /// The list service.
    Lists,
    /// Nodes.
    Nodes,
    /// Clients.
    Clients,
}

/// What must hold besides the rules.
#[derive(Debug, Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// After the last fault ends benefit is back at 95% of its level before the first within so many seconds.
    pub back_within_s: Option<f64>,
    /// So large a part of the downloads is served in the end.
    pub served_share: Option<f64>,
    /// In no second, wherever it begins, more calls at the list service than this.
    pub calls_peak: Option<u32>,
    /// It falls so often at most.
    pub falls: Option<u32>,
    /// After the last fault ends, or the start, all dispatchers have heard all within so many seconds.
    pub current_within_s: Option<f64>,
    /// No dispatcher writes more lines to its log.
    pub log_lines: Option<usize>,
    /// No more tries a download.
    pub tries_each: Option<f64>,
    /// No pull comes so many seconds after it was last allowed by a version in force.
    pub contradiction_s: Option<f64>,
    /// Nodes turn no more connections away.
    pub turned_away: Option<u32>,
    /// Benefit in the thirty seconds after the last fault, beside the level before the first.
    pub after: Option<f64>,
    /// The logs hold this text.
    pub logs: Option<String>,
    /// The logs do not hold this text.
    pub logs_lack: Option<String>,
}

fn zones() -> usize {
    1
}
fn one() -> u64 {
    1
}
fn memory() -> u64 {
    192
}
fn sockets() -> u64 {
    4096
}
fn notice() -> f64 {
    1.0
}
fn cold_share() -> f64 {
    0.3
}
fn cold_s() -> f64 {
    12.0
}

impl Drawn {
    /// The faults that a seed draws.
    fn faults(&self, seed: u64) -> Vec<Fault> {
        use What::*;
        let mut chance = StdRng::seed_from_u64(seed.rotate_left(24));
        let lists = [Cut, CutTo, CutFrom, Hold, Reset, Slow, Half];
        let groups = ["a third of dispatchers", "a quarter of dispatchers", "a fifth of dispatchers"];
        let mut faults = Vec::new();
        let mut at_s = self.from_s;
        while at_s < self.until_s {
            let kind = chance.random_range(0..10);
            let group = groups[chance.random_range(0..groups.len())];
            let links = format!("lists of {group}");
            let (what, who) = match kind {
                0..4 => (lists[chance.random_range(0..lists.len())], links),
                4..6 => (Stop, group.to_string()),
                6..8 => (Restart, "a tenth of dispatchers".to_string()),
                _ => ([Away, Resets, Mute, Gap, Whole, Half][chance.random_range(0..6)], String::new()),
            };
            let for_s = if what == Reset { 0.0 } else { chance.random_range(self.for_s[0]..=self.for_s[1]) };
            let by = if what == Slow { 0.3 } else { 0.0 };
            faults.push(Fault { at_s, for_s: for_s.min(self.until_s - at_s), what, who, by });
            at_s += self.each_s * chance.random_range(0.5..1.5);
        }
        faults
    }
}

impl Scenario {
    /// Reads a scenario; an error is one line with the file, the field, what was found and what was expected.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        Scenario::parse(&text).map_err(named)
    }

    /// The same from the text of a file.
    pub fn parse(text: &str) -> Result<Scenario, String> {
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
    pub fn check(&self) -> Result<(), String> {
        let within = |path: &str, value: f64, least: f64, most: f64| match value >= least && value <= most {
            true => Ok(()),
            false => Err(format!("{path}: {value}; expected {least} to {most}")),
        };
        within("length_s", self.length_s, 1.0, 600.0)?;
        within("dispatchers.count", self.dispatchers.count as f64, 1.0, 400.0)?;
        within("dispatchers.start_s", self.dispatchers.start_s, 0.0, 60.0)?;
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

    /// What the fault with this number happens to; nothing if it can't.
    pub fn whom(&self, at: usize) -> Option<Whom> {
        let fault = self.faults.get(at)?;
        let (who, seed) = (fault.who.as_str(), self.seed.wrapping_mul(31).wrapping_add(at as u64));
        let group = |name: &str| groups::named(name, self.dispatchers.count, self.fleet.zones, seed);
        let sides = [("lists of ", Side::Lists), ("nodes of ", Side::Nodes), ("clients of ", Side::Clients)];
        let links = sides
            .iter()
            .find_map(|(prefix, side)| Some(Whom::Links(*side, group(who.strip_prefix(prefix)?)?)));
        use What::*;
        match fault.what {
            Purge | Reconnect => who.is_empty().then_some(Whom::All),
            Away | Resets | Mute | Gap | Whole | Anew => who.is_empty().then_some(Whom::Service),
            Restart | Loop | Stop => {
                let by_number = who.parse::<usize>().ok().map(|at| format!("dispatchers {at}"));
                group(by_number.as_deref().unwrap_or(who)).map(Whom::Dispatchers)
            }
            Half if who.is_empty() => Some(Whom::Service),
            Half | CutTo | CutFrom | Hold | Reset => links,
            Cut | Slow if links.is_some() => links,
            Crash | Cut | Silence | Slow | Refuse | Drain => {
                let known = self.nodes().iter().any(|node| node.0 == who || node.1 == who);
                known.then(|| Whom::Nodes(who.to_string()))
            }
        }
    }

    /// Whether a dispatcher may lose what it holds at this time: it is killed, or its link to clients fails.
    pub fn may_lose(&self, dispatcher: usize, at_s: f64) -> bool {
        let touches = |at: usize| match self.whom(at) {
            Some(Whom::Links(Side::Clients, who) | Whom::Dispatchers(who)) => who.contains(&dispatcher),
            _ => false,
        };
        let during = |fault: &Fault| {
            (fault.at_s - LOST_S[0]..fault.at_s + fault.for_s + fault.by + LOST_S[1]).contains(&at_s)
        };
        self.faults.iter().enumerate().any(|(at, fault)| during(fault) && touches(at))
    }

    /// When the last fault ends; a purge is none.
    pub fn last_fault_ends(&self) -> Option<f64> {
        let bad = self.faults.iter().filter(|fault| fault.what != What::Purge);
        bad.map(|fault| fault.at_s + fault.for_s).reduce(f64::max)
    }

    /// The faults that keep dispatchers from hearing the list service, as spans in seconds.
    pub fn unheard(&self) -> Vec<[f64; 2]> {
        let deaf = |at: usize| {
            matches!(self.whom(at), Some(Whom::Service | Whom::Links(Side::Lists, _) | Whom::Dispatchers(_)))
        };
        let faults = self.faults.iter().enumerate().filter(|(at, _)| deaf(*at));
        faults.map(|(_, fault)| [fault.at_s, fault.at_s + fault.for_s]).collect()
    }

    /// The ids of all nodes, with the names of their groups.
    pub fn nodes(&self) -> Vec<(String, &'static str)> {
        let caches = (0..self.fleet.caches).map(|at| (format!("s-{at}"), "caches"));
        let parents = (0..self.fleet.parents).map(|at| (format!("p-{at}"), "parents"));
        caches.chain(parents).chain([("o-0".to_string(), "origin")]).collect()
    }

    /// The schema of scenarios.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Scenario).to_value()
    }
}
