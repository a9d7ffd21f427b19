//! What a scenario describes: dispatchers, the list service, nodes, content types, clients and versions of rules.

use crate::wall_clock::WallStep;
use schemars::JsonSchema;
use serde::Deserialize;

/// Versions of rules that are issued while a scenario is played: how many attempts a request may take.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Versions {
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

/// The dispatchers that are started.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Dispatchers {
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
    /// How their wall clocks are off, in the order of the steps; absent: they are right.
    #[serde(default)]
    pub wall_clock: Vec<WallStep>,
}

/// Dispatchers that are told otherwise.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Odd {
    /// Which, as faults name them.
    pub who: String,
    /// Their operator's file.
    pub operator: serde_json::Value,
}

/// What a dispatcher's configuration holds of the change log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Know {
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
pub(crate) struct Service {
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
pub(crate) struct Fleet {
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
pub(crate) struct ContentType {
    /// Its name.
    pub name: String,
    /// Its part of the requests, in relation to the others.
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
pub(crate) struct Clients {
    /// How many there are, each with an address of its own.
    #[schemars(range(min = 1, max = 20000))]
    pub count: usize,
    /// First tries a second, of all together, while none waits.
    pub rate: f64,
    /// How long a client goes on trying for one request.
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

fn zones() -> usize {
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
