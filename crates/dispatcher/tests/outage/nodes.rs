//! Simulated caches, parents and an origin: they store copies, remove purged ones after a delay, refuse fetches while
//! they drain, and record the fetches that they receive.

use crate::clock::ScenarioClock;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// The time that a node takes to answer a fetch.
const ANSWERS_AFTER: Duration = Duration::from_millis(2);
/// The additional time of a fill.
const FILL_TAKES: Duration = Duration::from_millis(10);

/// The role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Cache,
    Parent,
    Origin,
}

/// A fetch, as a node recorded it.
#[derive(Debug, Clone)]
pub(crate) struct Fetch {
    pub at: Duration,
    pub node: String,
    pub source: Option<String>,
    /// Whether it was answered with an object.
    pub served: bool,
}

/// The cached objects, each with the Unix time in milliseconds at which the origin sent it.
type Copies = HashMap<String, u64>;

/// A fault of a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum NodeFault {
    /// It reads requests and answers none.
    Hangs,
    /// It answers this much later.
    Slow(Duration),
    /// It resets the connection on each fetch.
    Resets,
}

#[derive(Debug, Default)]
struct NodeState {
    drains: bool,
    fault: Option<NodeFault>,
    copies: Copies,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub id: String,
    pub role: Role,
    pub address: SocketAddr,
    state: Mutex<NodeState>,
}

impl Node {
    fn state(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or ends the drain of the node.
    pub(crate) fn set_draining(&self, drains: bool) {
        self.state().drains = drains;
    }

    /// Starts a fault, or ends the present one.
    pub(crate) fn fault(&self, fault: Option<NodeFault>) {
        self.state().fault = fault;
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Nodes {
    clock: ScenarioClock,
    all: Arc<Vec<Node>>,
    fetches: Arc<Mutex<Vec<Fetch>>>,
    probes: Arc<Mutex<u64>>,
}

impl Nodes {
    /// Starts the caches, two parents and the origin, each at its own address in 127.0.0.0/8.
    pub(crate) fn start(clock: ScenarioClock, network: [u8; 2], caches: usize) -> Self {
        let node = |number: usize, id: String, role| {
            let address = SocketAddr::from(([127, network[0], network[1], 10 + number as u8], 6000));
            Node { id, role, address, state: Mutex::default() }
        };
        let mut all: Vec<_> = (0..caches).map(|at| node(at, format!("s-{at}"), Role::Cache)).collect();
        all.extend((0..2).map(|at| node(caches + at, format!("p-{at}"), Role::Parent)));
        all.push(node(caches + 2, "o-0".into(), Role::Origin));
        let nodes = Nodes { clock, all: Arc::new(all), fetches: Arc::default(), probes: Arc::default() };
        for at in 0..nodes.all.len() {
            let listener = TcpListener::bind(nodes.all[at].address).expect("a free address");
            let nodes = nodes.clone();
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let nodes = nodes.clone();
                    thread::spawn(move || drop(nodes.serve_connection(at, stream)));
                }
            });
        }
        nodes
    }

    pub(crate) fn all(&self) -> &[Node] {
        &self.all
    }

    pub(crate) fn node(&self, id: &str) -> &Node {
        self.all.iter().find(|node| node.id == id).expect("a node")
    }

    /// All fetches so far.
    pub(crate) fn fetches(&self) -> Vec<Fetch> {
        self.fetches.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The number of probes received.
    pub(crate) fn probes(&self) -> u64 {
        *self.probes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the old copies of a group from the nodes, one node after another within a time.
    pub(crate) fn purge(&self, group: u64, before_ms: u64, within: Duration) {
        let nodes = self.clone();
        thread::spawn(move || {
            let each = within / nodes.all.len() as u32;
            for node in nodes.all.iter() {
                thread::sleep(each);
                let is_old = |object: &String, made: u64| group_of(object) == group && made < before_ms;
                node.state().copies.retain(|object, made| !is_old(object, *made));
            }
        });
    }

    /// Serves one connection of a dispatcher.
    fn serve_connection(&self, at: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut write = stream.try_clone()?;
        let mut lines = BufReader::new(stream).lines();
        while let Some(Ok(line)) = lines.next() {
            let words: Vec<_> = line.split(' ').collect();
            let fault = self.all[at].state().fault;
            match fault {
                Some(NodeFault::Slow(span)) => thread::sleep(span),
                Some(NodeFault::Resets) if words[0] == "fetch" => {
                    self.fetch(at, words[1], words[2]);
                    socket2::SockRef::from(&write).set_linger(Some(Duration::ZERO))?;
                    return write.shutdown(std::net::Shutdown::Both);
                }
                _ => {}
            }
            let answer = match words[..] {
                ["fetch", id, fields, _] => {
                    // The body, which is empty.
                    lines.next();
                    self.fetch(at, id, fields)
                }
                ["alive", tag] => {
                    *self.probes.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                    let word = if self.all[at].state().drains { "no" } else { "yes" };
                    Some(format!("{tag} {word} - 0\r\n\r\n"))
                }
                _ => None,
            };
            let hangs = self.all[at].state().fault == Some(NodeFault::Hangs);
            if let Some(answer) = answer.filter(|_| !hangs) {
                write.write_all(answer.as_bytes())?;
            }
        }
        Ok(())
    }

    fn fetch(&self, at: usize, id: &str, list: &str) -> Option<String> {
        let node = &self.all[at];
        let fields: HashMap<_, _> = list.split(',').filter_map(|pair| pair.split_once('=')).collect();
        let source = fields.get("src").filter(|source| **source != node.id).map(|source| source.to_string());
        let record =
            Fetch { at: self.clock.now(), node: node.id.clone(), source: source.clone(), served: false };
        let number = {
            let mut fetches = self.fetches.lock().unwrap_or_else(PoisonError::into_inner);
            fetches.push(record);
            fetches.len() - 1
        };
        if node.state().fault == Some(NodeFault::Hangs) {
            return None;
        }
        thread::sleep(ANSWERS_AFTER);
        if node.state().drains {
            return Some(format!("{id} refused - 0\r\n\r\n"));
        }
        let object = fields.get("name")?.to_string();
        let max_age_ms = fields.get("maxage").and_then(|max_age| max_age.parse().ok());
        let (made, why) = match self.find_copy(node, &object, max_age_ms) {
            Some(made) => (made, "local"),
            None if node.role == Role::Origin => (self.clock.unix_ms(self.clock.now()), "local"),
            None => match source.map(|source| self.fill(&source, &object, max_age_ms)) {
                None => return Some(format!("{id} nothing - 0\r\n\r\n")),
                Some(Err(why)) => return Some(format!("{id} refused why={why} 0\r\n\r\n")),
                Some(Ok(filled)) => filled,
            },
        };
        if fields.get("keep").is_some_and(|rank| *rank != "0") {
            node.state().copies.insert(object, made);
        }
        let body = format!("{made}");
        self.fetches.lock().unwrap_or_else(PoisonError::into_inner)[number].served = true;
        Some(format!("{id} ok etag={made:016x},made={made},why={why} {}\r\n{body}\r\n", body.len()))
    }

    /// The time of a node's copy of an object, if the copy is young enough.
    fn find_copy(&self, node: &Node, object: &str, max_age_ms: Option<u64>) -> Option<u64> {
        let now_ms = self.clock.unix_ms(self.clock.now());
        let made = *node.state().copies.get(object)?;
        max_age_ms.is_none_or(|max_age| now_ms.saturating_sub(made) <= max_age).then_some(made)
    }

    /// Fetches an object from a source: the time of the copy and the `why` of the answer, or the `why` of the refusal.
    fn fill(
        &self,
        source: &str,
        object: &str,
        max_age_ms: Option<u64>,
    ) -> Result<(u64, &'static str), &'static str> {
        let source = self.node(source);
        thread::sleep(FILL_TAKES);
        if source.state().drains {
            return Err("turned_away");
        }
        if source.role == Role::Origin {
            return Ok((self.clock.unix_ms(self.clock.now()), "pulled"));
        }
        if let Some(made) = self.find_copy(source, object, max_age_ms) {
            return Ok((made, "pulled"));
        }
        thread::sleep(FILL_TAKES);
        let made = self.clock.unix_ms(self.clock.now());
        source.state().copies.insert(object.to_string(), made);
        Ok((made, "pulled_far"))
    }
}

/// The number of groups.
pub(crate) const GROUPS: u64 = 8;

/// The group of an object, by its name.
pub(crate) fn group_of(object: &str) -> u64 {
    u64::from_str_radix(object, 16).unwrap_or_default() % GROUPS
}
