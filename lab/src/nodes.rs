//! Stand-ins of caches, parents and the origin, by the line protocol: copies, capacity, cold starts, a link for
//! fills, and what a fault makes of them.

use crate::scenario::{ContentType, What};
use crate::world::{World, unix_ms};
use copperroute::interface::stable_hash;
use copperroute_protocol::incoming::{Incoming, fields};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

/// A cold node falls when it is sent this many times what it can do for so long.
pub const FALL_MULTIPLE: f64 = 2.5;
pub const FALL_FOR: Duration = Duration::from_secs(3);
/// Parents are warm after this many seconds, as the settings tell.
pub const PARENT_COLD_S: f64 = 20.0;
/// And fall when sent this many times what they can do.
pub const PARENT_FALL_MULTIPLE: f64 = 2.0;
/// More at once than this many times its weight are refused.
const CROWD: f64 = 8.0;
/// Purged copies lie about for so long.
const PURGE_DONE: Duration = Duration::from_secs(3);
const MOST_LINE: usize = 4096;

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
pub struct Node {
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
pub struct Fleet {
    world: Arc<World>,
    /// The nodes.
    pub nodes: Vec<Arc<Node>>,
    fills: AtomicUsize,
}

/// A pull as it was read.
#[derive(Debug, Clone, Default)]
struct Fetch {
    id: String,
    lane: String,
    name: String,
    piece: u64,
    source: Option<String>,
    rank: u8,
    max_age_ms: Option<u64>,
    peek: bool,
    pass: bool,
}

/// An answer as it is written.
struct Reply {
    word: &'static str,
    why: &'static str,
    copy: Option<Copy>,
    waited: Duration,
    body: Vec<u8>,
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
pub fn zone_name(at: usize) -> String {
    if at == 0 { "east".into() } else { format!("z-{at}") }
}

/// The size of an object beside its type's mean: 0.5 to 2, 1 on average.
pub fn size(object: &str) -> f64 {
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
    pub fn new(world: Arc<World>, net: u8) -> Arc<Fleet> {
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
    pub fn listen(self: &Arc<Self>) {
        for node in &self.nodes {
            tokio::spawn(live(self.clone(), node.clone()));
        }
    }

    /// The nodes that a fault names.
    pub fn named(&self, who: &str) -> Vec<Arc<Node>> {
        self.nodes.iter().filter(|node| node.id == who || node.group == who).cloned().collect()
    }

    /// A fault begins at a node.
    pub fn begin(&self, node: &Node, what: What, by: f64) {
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
    pub fn end(&self, node: &Node, what: What) {
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
    pub fn purge(self: &Arc<Self>) {
        let fleet = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(PURGE_DONE).await;
            let version = fleet.world.version();
            for node in &fleet.nodes {
                node.state().copies.retain(|_, copy| copy.version >= version);
            }
        });
    }

    /// Whether a node takes one more connection.
    fn takes(&self, node: &Node) -> bool {
        let told = &self.world.scenario.fleet;
        let now = Instant::now();
        let mut opened = node.opened.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        while opened.front().is_some_and(|at| now.duration_since(*at) >= Duration::from_secs(1)) {
            opened.pop_front();
        }
        let held = node.held.load(Ordering::Relaxed);
        let full = told.most_connections > 0 && held >= told.most_connections;
        let taken = !full && (told.most_new == 0 || opened.len() < told.most_new);
        opened.push_back(now);
        self.world.count(|tally| {
            tally.opened += 1;
            tally.turned_away += u32::from(!taken);
            tally.held_most = tally.held_most.max(held as u32 + 1);
        });
        taken
    }

    fn content_type(&self, lane: &str) -> Option<&ContentType> {
        self.world.scenario.types.iter().find(|content_type| content_type.name == lane)
    }

    /// Counts what came to a cold node, which falls when that is too much.
    fn weigh(&self, node: &Node, work: f64) -> bool {
        let present = node.present(&self.world);
        let mut state = node.state();
        let now = Instant::now();
        while state.came.front().is_some_and(|(at, _)| now.duration_since(*at) > FALL_FOR) {
            state.came.pop_front();
        }
        state.came.push_back((now, work));
        let sum: f64 = state.came.iter().map(|(_, work)| work).sum();
        let multiple = if node.group == "parents" { PARENT_FALL_MULTIPLE } else { FALL_MULTIPLE };
        if present < 1.0 && sum > multiple * present * node.weight * FALL_FOR.as_secs_f64() {
            if !std::mem::replace(&mut state.fallen, true) {
                drop(state);
                self.world.breach(4, format!("{} fell: {sum:.1} s of work in 3 s at {present:.2}", node.id));
                node.hang_up();
            }
            return false;
        }
        !state.fallen
    }

    /// Sends so much work, beside all else that the node has in hand.
    async fn transfer(&self, node: &Node, work: f64, least: f64) {
        let (busy, crowd) = Busy::enter(&node.busy);
        let pace = (crowd / (node.weight * node.present(&self.world))).max(1.0);
        let slow = node.state().slow;
        tokio::time::sleep(Duration::from_secs_f64(work * pace.max(least) * slow)).await;
        drop(busy);
    }

    /// The copy that a node holds, if it will do.
    fn held(&self, node: &Node, fetch: &Fetch) -> Option<Copy> {
        let mut state = node.state();
        state.used += 1;
        let used = state.used;
        let copy = state.copies.get_mut(&(fetch.name.clone(), fetch.piece))?;
        copy.used = used;
        let young = fetch.max_age_ms.is_none_or(|most| unix_ms().saturating_sub(copy.made_ms) <= most);
        young.then_some(*copy)
    }

    /// Keeps a copy; with too many, that of lowest rank which was used longest ago goes.
    fn keep(&self, node: &Node, fetch: &Fetch, copy: Copy, rank: u8) {
        let most = self.world.scenario.fleet.keep;
        let mut state = node.state();
        if state.copies.len() >= most {
            let least = state.copies.iter().min_by_key(|(_, held)| (held.rank, held.used));
            if let Some(least) = least.filter(|(_, held)| held.rank <= rank).map(|(key, _)| key.clone()) {
                state.copies.remove(&least);
            } else {
                return;
            }
        }
        state.used += 1;
        let used = state.used;
        state.copies.insert((fetch.name.clone(), fetch.piece), Copy { rank, used, ..copy });
    }

    /// What a source gives: its copy, or one of the origin's.
    async fn source(&self, source: &Node, fetch: &Fetch) -> Result<(Copy, &'static str), &'static str> {
        let (up, silent) = {
            let state = source.state();
            (state.up && !state.fallen, state.silent)
        };
        if !up {
            return Err("cut_off");
        }
        if silent {
            std::future::pending::<()>().await;
        }
        let fleet = &self.world.scenario.fleet;
        if source.group == "origin" {
            self.begin_at_origin(source).await;
            return Ok((self.made(fetch), "pulled"));
        }
        let work = self.content_type(&fetch.lane).map_or(0.0, |of| of.work_ms / 1e3);
        if source.group == "parents" && !self.weigh(source, work * size(&fetch.name)) {
            return Err("turned_away");
        }
        tokio::time::sleep(Duration::from_secs_f64(fleet.parent_ms / 1e3)).await;
        if let Some(copy) = self.held(source, fetch) {
            return Ok((copy, "pulled"));
        }
        if fetch.peek {
            return Err("not_there");
        }
        let origin = self.nodes.last().filter(|origin| origin.state().up);
        let Some(origin) = origin else { return Err("far_fault") };
        self.begin_at_origin(origin).await;
        let copy = self.made(fetch);
        if !fetch.pass {
            self.keep(source, fetch, copy, 1);
        }
        Ok((copy, "pulled_far"))
    }

    /// Counts what a pull asks for.
    fn tally(&self, node: &Node, fetch: &Fetch) {
        let cold = node.present(&self.world) < 1.0;
        let from = fetch.source.as_deref().filter(|from| *from != node.id);
        self.world.count(|tally| {
            tally.pulls += 1;
            tally.cold_looks += u32::from(cold && from.is_none());
            tally.cold_pulls += u32::from(cold);
            tally.parent_fills += u32::from(from.is_some_and(|from| from.starts_with("p-")));
            tally.origin_fills += u32::from(from.is_some_and(|from| from.starts_with("o-")));
        });
    }

    async fn begin_at_origin(&self, origin: &Node) {
        if origin.state().silent {
            std::future::pending::<()>().await;
        }
        self.transfer(origin, self.world.scenario.fleet.origin_ms / 1e3, 1.0).await;
    }

    fn made(&self, fetch: &Fetch) -> Copy {
        let version = self.world.version();
        self.world.origin_gave(World::bytes(&fetch.name, fetch.piece, version).len());
        Copy { version, made_ms: unix_ms(), rank: 0, used: 0 }
    }

    async fn serve(&self, node: &Node, fetch: &Fetch) -> Option<Reply> {
        let plain =
            |word, why| Some(Reply { word, why, copy: None, waited: Duration::ZERO, body: Vec::new() });
        let content_type = self.content_type(&fetch.lane)?;
        let work = content_type.work_ms / 1e3;
        if !self.weigh(node, work) {
            return None;
        }
        let refuses = node.state().refuses;
        let crowded = node.busy.load(Ordering::Relaxed) as f64 > CROWD * node.weight;
        if crowded || (refuses > 0.0 && rand::random::<f64>() < refuses) {
            return plain("refused", "");
        }
        let own = work * size(&fetch.name);
        if content_type.objects == 0 {
            let origin = self.nodes.last()?;
            if node.group != "origin" && fetch.source.as_deref() != Some(&origin.id) {
                return plain("nothing", "");
            }
            if !origin.state().up {
                return plain("nothing", "cut_off");
            }
            if origin.state().silent {
                std::future::pending::<()>().await;
            }
            self.transfer(origin, own / 2.0, 1.0).await;
            self.world.ran(&fetch.name, &fetch.id);
            self.transfer(origin, own / 2.0, 1.0).await;
            let body = World::bytes(&fetch.name, fetch.piece, 0);
            return Some(Reply { word: "ok", why: "", copy: None, waited: Duration::ZERO, body });
        }
        let reply = |copy: Copy, why, waited| {
            let body = World::bytes(&fetch.name, fetch.piece, copy.version);
            Some(Reply { word: "ok", why, copy: Some(copy), waited, body })
        };
        if let Some(copy) = self.held(node, fetch) {
            self.transfer(node, own, 1.0).await;
            return reply(copy, "local", Duration::ZERO);
        }
        let Some(source) = &fetch.source else { return plain("nothing", "") };
        let source = self.nodes.iter().find(|known| known.id == *source)?;
        let begun = Instant::now();
        let copy = match self.source(source, fetch).await {
            Ok(got) => got,
            Err(why) => return plain("nothing", why),
        };
        let waited = begun.elapsed();
        let (fill, crowd) = Busy::enter(&self.fills);
        self.transfer(node, own, crowd / self.world.scenario.fleet.link).await;
        drop(fill);
        if fetch.rank > 0 && node.group == "caches" {
            self.keep(node, fetch, copy.0, fetch.rank);
        }
        reply(copy.0, copy.1, waited)
    }
}

fn read_fetch(id: &str, list: &str) -> Fetch {
    let mut fetch = Fetch { id: id.to_string(), ..Fetch::default() };
    for (name, value) in fields(list) {
        match name {
            "lane" => fetch.lane = value.to_string(),
            "name" => fetch.name = value.to_string(),
            "piece" => fetch.piece = value.parse().unwrap_or_default(),
            "src" => fetch.source = Some(value.to_string()),
            "keep" => fetch.rank = value.parse().unwrap_or_default(),
            "maxage" => fetch.max_age_ms = value.parse().ok(),
            "flags" => (fetch.peek, fetch.pass) = (value.contains("peek"), value.contains("pass")),
            _ => {}
        }
    }
    fetch
}

fn write_reply(id: &str, reply: &Reply) -> Vec<u8> {
    let mut list = match &reply.copy {
        Some(copy) => format!("etag={:016x},made={}", copy.version + 1, copy.made_ms),
        None => format!("etag={:016x},made={}", 1, unix_ms()),
    };
    if !reply.why.is_empty() {
        list += &format!(",why={},ttfb={:.3}", reply.why, reply.waited.as_secs_f64() * 1e3);
    }
    let mut bytes = format!("{id} {} {list} {}\r\n", reply.word, reply.body.len()).into_bytes();
    bytes.extend_from_slice(&reply.body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Listens while the node is up.
async fn live(fleet: Arc<Fleet>, node: Arc<Node>) {
    let mut life = node.life.subscribe();
    loop {
        let up = node.state().up;
        if !up {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        }
        let listen = || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(node.address)?;
            socket.listen(1024)
        };
        let Ok(listener) = listen() else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        life.mark_unchanged();
        loop {
            tokio::select! {
                _ = life.changed() => break,
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    if fleet.takes(&node) {
                        tokio::spawn(carry(fleet.clone(), node.clone(), stream));
                    } else {
                        let _ = stream.set_zero_linger();
                    }
                }
            }
        }
    }
}

/// One connection of a dispatcher.
async fn carry(fleet: Arc<Fleet>, node: Arc<Node>, stream: TcpStream) {
    let _held = Busy::enter(&node.held);
    let mut life = node.life.subscribe();
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    let (answers, mut waiting) = mpsc::unbounded_channel::<(String, Vec<u8>)>();
    let mut open: HashMap<String, AbortHandle> = HashMap::new();
    let (mut incoming, mut scratch) = (Incoming::default(), vec![0; 64 * 1024]);
    let mut head: Option<(String, usize)> = None;
    'alive: loop {
        tokio::select! {
            _ = life.changed() => break,
            answer = waiting.recv() => {
                let Some((id, bytes)) = answer else { break };
                open.remove(&id);
                if write.write_all(&bytes).await.is_err() {
                    break;
                }
            }
            got = read.read(&mut scratch) => {
                let Ok(count) = got else { break };
                if count == 0 {
                    break;
                }
                incoming.feed(&scratch[..count]);
                loop {
                    if let Some((line, length)) = head.take() {
                        match incoming.block(length) {
                            Ok(Some(_)) => {}
                            Ok(None) => {
                                head = Some((line, length));
                                break;
                            }
                            Err(_) => break 'alive,
                        }
                        let words: Vec<_> = line.split(' ').collect();
                        let fetch = read_fetch(words[1], words[2]);
                        fleet.world.pulled(&fetch.id, &node.id, fetch.source.as_deref());
                        fleet.tally(&node, &fetch);
                        if node.state().silent {
                            continue;
                        }
                        let (id, answers) = (fetch.id.clone(), answers.clone());
                        let (fleet, node) = (fleet.clone(), node.clone());
                        let task = tokio::spawn(async move {
                            if let Some(reply) = fleet.serve(&node, &fetch).await {
                                let _ = answers.send((fetch.id.clone(), write_reply(&fetch.id, &reply)));
                            }
                        });
                        open.insert(id, task.abort_handle());
                    }
                    let Ok(line) = incoming.line(MOST_LINE) else { break 'alive };
                    let Some(line) = line else { break };
                    let words: Vec<_> = line.split(' ').collect();
                    match words[..] {
                        ["fetch", _, _, length] => match length.parse() {
                            Ok(length) => head = Some((line.clone(), length)),
                            Err(_) => break 'alive,
                        },
                        ["abort", id] => {
                            if let Some(task) = open.remove(id) {
                                task.abort();
                            }
                        }
                        _ => {
                            fleet.world.breach(1, format!("{} was sent '{line}'", node.id));
                            break 'alive;
                        }
                    }
                }
            }
        }
    }
    open.values().for_each(AbortHandle::abort);
}
