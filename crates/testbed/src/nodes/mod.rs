//! Stand-ins of caches, parents and the origin, by the line protocol: copies, capacity, cold starts, a link for
//! fills, and what a fault makes of them.

mod answers;
mod connections;
mod wire;

use crate::scenario::{ContentType, What};
use crate::world::World;
use copperroute_routing::interface::stable_hash;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A cold node falls when it is sent this many times what it can do for so long.
pub(crate) const FALL_MULTIPLE: f64 = 2.5;
pub(crate) const FALL_FOR: Duration = Duration::from_secs(3);
/// Parents are warm after this many seconds, as the settings tell.
pub(crate) const PARENT_COLD_S: f64 = 20.0;
/// And fall when sent this many times what they can do.
pub(crate) const PARENT_FALL_MULTIPLE: f64 = 2.0;
/// Purged copies lie about for so long.
const PURGE_DONE: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct Copy {
    version: u64,
    made_ms: u64,
    rank: u8,
    used: u64,
}

#[derive(Debug)]
struct State {
    up: bool,
    silent: bool,
    slow: f64,
    refuses: f64,
    fallen: bool,
    started: Option<Instant>,
    copies: HashMap<(String, u64), Copy>,
    used: u64,
    /// Work that came lately, for the rule on cold nodes.
    came: VecDeque<(Instant, f64)>,
}

/// One node.
#[derive(Debug)]
pub(crate) struct Node {
    /// Its id.
    pub id: String,
    /// `caches`, `parents` or `origin`.
    pub group: &'static str,
    /// Its location, or `hub`.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections held, and opened in the last second.
    held: AtomicUsize,
    opened: Mutex<VecDeque<Instant>>,
    /// Transfers at full pace at once.
    pub weight: f64,
    /// The size that it is listed with.
    pub listed: f64,
    state: Mutex<State>,
    busy: AtomicUsize,
    /// Raised when all its connections end.
    life: watch::Sender<u64>,
}

/// All nodes.
pub(crate) struct Fleet {
    world: Arc<World>,
    /// The nodes.
    pub nodes: Vec<Arc<Node>>,
    fills: AtomicUsize,
}

/// Counts one in while it lives.
struct Busy<'a>(&'a AtomicUsize);

impl<'a> Busy<'a> {
    fn enter(count: &'a AtomicUsize) -> (Self, f64) {
        (Busy(count), (count.fetch_add(1, Ordering::Relaxed) + 1) as f64)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The name of a location.
pub(crate) fn zone_name(at: usize) -> String {
    if at == 0 { "east".into() } else { format!("z-{at}") }
}

/// The size of an object beside its type's mean: 0.5 to 2, 1 on average.
pub(crate) fn size(object: &str) -> f64 {
    let share = (stable_hash(object.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    0.5 + 1.5 * share * share
}

impl Node {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The part of its capacity that it has now.
    fn present(&self, world: &World) -> f64 {
        let fleet = &world.scenario.fleet;
        match self.state().started {
            Some(at) => {
                let (share, over) = match self.group {
                    "parents" => (fleet.parent_cold_share, PARENT_COLD_S),
                    _ => (fleet.cold_share, fleet.cold_s),
                };
                share + (1.0 - share) * (at.elapsed().as_secs_f64() / over).min(1.0)
            }
            None => 1.0,
        }
    }

    fn hang_up(&self) {
        self.life.send_modify(|life| *life += 1);
    }
}

impl Fleet {
    /// The nodes of a scenario, on addresses of 127.`net`.2.0/24.
    pub(crate) fn new(world: Arc<World>, net: u8) -> Arc<Fleet> {
        let fleet = &world.scenario.fleet;
        let node = |(at, (id, group)): (usize, (String, &'static str))| {
            let weight = match group {
                "caches" => fleet.cache_weight,
                "parents" => fleet.parent_weight,
                _ => fleet.origin_weight,
            };
            let state = State {
                up: true,
                silent: false,
                slow: 1.0,
                refuses: 0.0,
                fallen: false,
                started: None,
                copies: HashMap::new(),
                used: 0,
                came: VecDeque::new(),
            };
            let address = SocketAddr::from(([127, net, 2, at as u8 + 1], 6000));
            let (state, busy, life) = (Mutex::new(state), AtomicUsize::new(0), watch::channel(0).0);
            let zone = if group == "caches" { zone_name(at % fleet.zones) } else { "hub".to_string() };
            let (held, opened) = Default::default();
            let listed = if fleet.sizes_untold { 1.0 } else { weight };
            Arc::new(Node { id, group, zone, address, held, opened, weight, listed, state, busy, life })
        };
        let nodes = world.scenario.nodes().into_iter().enumerate().map(node).collect();
        Arc::new(Fleet { world, nodes, fills: AtomicUsize::new(0) })
    }

    /// Starts them all.
    pub(crate) fn listen(self: &Arc<Self>) {
        for node in &self.nodes {
            tokio::spawn(connections::live(self.clone(), node.clone()));
        }
    }

    /// The nodes that a fault names.
    pub(crate) fn named(&self, who: &str) -> Vec<Arc<Node>> {
        self.nodes.iter().filter(|node| node.id == who || node.group == who).cloned().collect()
    }

    /// A fault begins at a node.
    pub(crate) fn begin(&self, node: &Node, what: What, by: f64) {
        match what {
            What::Crash | What::Drain => {
                let mut state = node.state();
                (state.up, state.copies) = (false, HashMap::new());
                drop(state);
                node.hang_up();
            }
            What::Cut => {
                node.state().up = false;
                node.hang_up();
            }
            What::Silence => node.state().silent = true,
            What::Slow => node.state().slow = by.max(1.0),
            What::Refuse => node.state().refuses = by,
            _ => {}
        }
    }

    /// A fault ends at a node. One that crashed is back, cold.
    pub(crate) fn end(&self, node: &Node, what: What) {
        let mut state = node.state();
        match what {
            What::Crash => {
                state.up = true;
                let cold = match node.group {
                    "parents" => self.world.scenario.fleet.parent_cold_share > 0.0,
                    group => group == "caches",
                };
                state.started = cold.then(Instant::now);
                state.came.clear();
            }
            What::Cut => state.up = true,
            What::Silence => {
                state.silent = false;
                drop(state);
                node.hang_up();
            }
            What::Slow => state.slow = 1.0,
            What::Refuse => state.refuses = 0.0,
            _ => {}
        }
    }

    /// Copies of older versions are dropped once their time is over.
    pub(crate) fn purge(self: &Arc<Self>) {
        let fleet = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(PURGE_DONE).await;
            let version = fleet.world.version();
            for node in &fleet.nodes {
                node.state().copies.retain(|_, copy| copy.version >= version);
            }
        });
    }

    fn content_type(&self, lane: &str) -> Option<&ContentType> {
        self.world.scenario.types.iter().find(|content_type| content_type.name == lane)
    }
}
