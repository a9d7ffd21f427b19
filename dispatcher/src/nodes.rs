//! Node connections: a few for each node, shared by its pulls.

use crate::effects::{Due, Effect, Peer};
use crate::logs::Sparse;
use copperroute::ids::Ids;
use copperroute::interface::{DlId, Nanos, NodeId, Outcome, Readiness};
use copperroute::opening::{Opening, Openings};
use copperroute::state::Slots;
use copperroute_protocol::hex::Hex;
use copperroute_protocol::nodes::{Decoder, Fetch, encode_abort, encode_fetch};
use copperroute_settings::Connections;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Bytes of pulls handed to a connection at once; what waits longer can still be dropped unsent.
const GATHERED: usize = 16 * 1024;
/// An answer of which nothing more comes for so long holds up all that is out behind it.
const STUCK: Nanos = Nanos(400_000_000);

/// A connection that carried nothing for so long may be closed by its node just as the next pull is written,
/// which may then have run.
const RESTED: Nanos = Nanos(20_000_000);
/// After that has happened, connections that rested are not used for so long.
const DOUBT: Nanos = Nanos(10_000_000_000);

/// One pull of a download.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PullRef {
    /// The download.
    pub dl: DlId,
    /// The number of the pull.
    pub number: u32,
}

/// A pull that was written, by the download's id.
#[derive(Debug, Clone, Copy)]
struct Written {
    /// Whose it is; nobody's once it was given up.
    pull: Option<PullRef>,
    /// When it was written.
    at: Nanos,
    /// The place in the connection's bytes behind its last.
    end: u64,
    /// When its download expires: after that its id does not come again.
    expires: Nanos,
}

/// One connection to a node.
#[derive(Debug)]
struct Connection {
    node: NodeId,
    /// The connection has come up.
    up: bool,
    /// It takes no further pulls.
    retired: bool,
    decoder: Decoder,
    /// Pulls not yet written.
    waiting: VecDeque<PullRef>,
    /// Pulls written and not yet answered, by the downloads' ids.
    out: HashMap<Hex, Written>,
    /// How many of those still are somebody's.
    live: usize,
    /// Bytes given to the connection, and those that have left.
    queued: u64,
    written: u64,
    /// When the node last finished an answer on it; before that, when it came up. Half an answer and then
    /// silence would hold up all that is asked for behind it.
    answered: Nanos,
    /// It had rested when it was last written to, and nothing has come since.
    after_rest: bool,
    /// Nothing has come on it yet.
    unheard: bool,
    /// When it last carried anything, and when bytes last came.
    used: Nanos,
    heard: Nanos,
}

impl Connection {
    fn new(node: NodeId, now: Nanos) -> Self {
        Connection {
            node,
            up: false,
            retired: false,
            decoder: Decoder::default(),
            waiting: VecDeque::new(),
            out: HashMap::new(),
            live: 0,
            queued: 0,
            written: 0,
            answered: Nanos::ZERO,
            after_rest: false,
            unheard: true,
            used: now,
            heard: now,
        }
    }

    /// The pulls that it carries or will carry.
    fn load(&self) -> usize {
        self.waiting.len() + self.live
    }

    /// It carries nothing, and has not for a while.
    fn has_rested(&self, now: Nanos) -> bool {
        self.up && self.load() == 0 && now.since(self.used) > RESTED
    }
}

/// A node's place in the list, and its connections.
#[derive(Debug)]
pub struct Pool {
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its start, by which a later one under its id is told apart.
    pub started: Nanos,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Its connections.
    pub connections: Vec<u32>,
    /// When it was last listed; once it has gone, since when.
    pub listed: Nanos,
    /// Whether it takes connections.
    pub opening: Opening,
}

/// The nodes listed, those that left not long ago, and the connections to them.
#[derive(Debug)]
pub struct Nodes {
    limits: Connections,
    /// With more connections than this in all, nodes get no second one.
    most: usize,
    ids: Ids<String>,
    pools: Slots<Pool>,
    connections: HashMap<u32, Connection>,
    last: u32,
    /// Nothing is read from them for now.
    held_back: bool,
    /// Connections that rested are not to be trusted until then.
    doubt: Nanos,
    complaints: Sparse,
    openings: Openings,
    /// Nodes that turned connections away, and until when none is opened there; not handed on yet.
    full: Vec<(NodeId, Nanos)>,
}

impl Nodes {
    /// No nodes yet.
    pub fn new(limits: Connections, most: usize, seed: u64) -> Self {
        Nodes {
            limits,
            most,
            ids: Ids::default(),
            pools: Slots::default(),
            connections: HashMap::new(),
            last: 0,
            held_back: false,
            doubt: Nanos::ZERO,
            complaints: Sparse::default(),
            openings: Openings::new(seed),
            full: Vec::new(),
        }
    }

    /// Nodes that have turned connections away since this was asked, and until when none is opened there.
    pub fn turned_away(&mut self) -> Vec<(NodeId, Nanos)> {
        std::mem::take(&mut self.full)
    }

    /// Takes new limits.
    pub fn limit(&mut self, limits: Connections, most: usize) {
        (self.limits, self.most) = (limits, most);
    }

    // The list.

    /// A node's id.
    pub fn id(&self, node: NodeId) -> &str {
        self.ids.key(node.0)
    }

    /// The index of a listed node, new or known.
    pub fn list(&mut self, id: &str, pool: Pool, now: Nanos, effects: &mut Vec<Effect>) -> NodeId {
        let node = NodeId(self.ids.open(id.to_string()));
        let address = pool.address.map_or("no address".to_string(), |address| address.to_string());
        log::info!("node {}: {id} at {address}, {:?}", node.0, pool.readiness);
        let Some(known) = self.pools.get_mut(node.0) else {
            self.pools.put(node.0, pool);
            return node;
        };
        let anew = pool.started > known.started || (pool.address.is_some() && pool.address != known.address);
        let (connections, opening) = (std::mem::take(&mut known.connections), known.opening);
        *known = Pool { address: pool.address.or(known.address), connections, opening, ..pool };
        if anew {
            self.retire(node, now, effects);
        }
        node
    }

    /// The nodes that a whole list does not name.
    pub fn unlisted(&self, named: &[NodeId]) -> Vec<NodeId> {
        let listed = |node: &NodeId| self.pools.get(node.0).is_some_and(|p| p.readiness != Readiness::Gone);
        let all = (0..self.ids.count()).map(NodeId);
        all.filter(|node| listed(node) && !named.contains(node)).collect()
    }

    /// How many nodes there is a place for.
    pub fn kept(&self) -> u32 {
        self.ids.count()
    }

    /// Lets go of the nodes that left the list before `span`, and tells which: all that met them has ended.
    pub fn forget(&mut self, now: Nanos, span: Nanos) -> Vec<NodeId> {
        let old = |p: &Pool| {
            p.readiness == Readiness::Gone && p.connections.is_empty() && now.since(p.listed) > span
        };
        let forgotten: Vec<_> =
            (0..self.ids.count()).filter(|at| self.pools.get(*at).is_some_and(old)).collect();
        for at in &forgotten {
            self.pools.clear(*at);
            self.ids.release(*at);
        }
        forgotten.into_iter().map(NodeId).collect()
    }

    /// A node takes no new work: its connections take no further pulls.
    pub fn withdraw(&mut self, node: NodeId, readiness: Readiness, now: Nanos, effects: &mut Vec<Effect>) {
        if let Some(pool) = self.pools.get_mut(node.0) {
            (pool.readiness, pool.listed) = (readiness, now);
        }
        self.retire(node, now, effects);
    }

    // Pulls.

    /// Takes back the pulls, to any node, that are meant and not yet written.
    pub fn take_back(&mut self, meant: impl Fn(&PullRef) -> bool) -> Vec<PullRef> {
        let mut back: Vec<PullRef> = Vec::new();
        for connection in self.connections.values_mut() {
            back.extend(connection.waiting.iter().filter(|pull| meant(pull)));
            connection.waiting.retain(|pull| !meant(pull));
        }
        back.sort_by_key(|pull| (pull.dl.0, pull.number));
        back
    }

    /// Puts a pull of a download on a connection to a node, made if need be; nothing if there is none to be
    /// had. Where it may run `once` only, none that rested is used; nor are those while nodes close them under
    /// the next pull. Costs a connect.
    pub fn take(
        &mut self,
        node: NodeId,
        pull: PullRef,
        id: Hex,
        once: bool,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Option<u32> {
        let spared = self.openings.are_spared(now);
        if once || (now < self.doubt && !spared) {
            let rested = |number: &u32| self.connections.get(number).is_some_and(|c| c.has_rested(now));
            let pool = self.pools.get(node.0)?;
            let mut rested: Vec<_> = pool.connections.iter().copied().filter(rested).collect();
            // Where none may be opened in its place, one that rested is better than none.
            if !self.openings.may_open(now, &pool.opening, pool.connections.len() - rested.len()) {
                rested.clear();
            }
            for number in rested {
                self.close(number, effects);
            }
        }
        let pool = self.pools.get_mut(node.0)?;
        let address = pool.address?;
        let usable = |number: &&u32| self.connections.get(number).is_some_and(|c| !c.retired);
        let fits = |number: &&u32| {
            let connection = self.connections.get(number);
            connection.is_some_and(|c| c.load() < self.limits.streams && !c.out.contains_key(&id))
        };
        let load = |number: &&u32| self.connections.get(number).map_or(0, Connection::load);
        let best = pool.connections.iter().filter(usable).filter(fits).min_by_key(load).copied();
        // What is on one connection ends with it: so one that carries nothing, else a further one.
        let used = pool.connections.iter().filter(usable).count();
        let room = (used == 0 || self.connections.len() < self.most)
            && self.openings.may_open(now, &pool.opening, used);
        let number = match best.filter(|number| !room || load(&number) == 0) {
            Some(number) => number,
            None if !room => return None,
            None => {
                self.last += 1;
                pool.connections.push(self.last);
                self.connections.insert(self.last, Connection::new(node, now));
                let overdue = now.after(self.limits.connect_timeout);
                effects.push(Effect::Connect(Peer::Node(self.last), address));
                effects.push(Effect::Arm(overdue, Due::Connect(self.last)));
                self.last
            }
        };
        self.connections.get_mut(&number)?.waiting.push_back(pull);
        Some(number)
    }

    /// Hands waiting pulls to a connection that has nothing unsent, as many as go at once. What a pull says
    /// is asked for only then; one that is nobody's any more has nothing to say.
    pub fn hand_over<'a>(
        &mut self,
        number: u32,
        now: Nanos,
        fetch: impl Fn(PullRef) -> Option<(Fetch<'a>, Nanos)>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if !connection.up || connection.queued > connection.written {
            return;
        }
        let rested = connection.live == 0 && now.since(connection.used) > RESTED;
        let mut bytes = Vec::new();
        while bytes.len() < GATHERED {
            let Some(pull) = connection.waiting.pop_front() else { break };
            let Some((fetch, expires)) = fetch(pull) else { continue };
            encode_fetch(&fetch, &mut bytes);
            let end = connection.queued + bytes.len() as u64;
            let written = Written { pull: Some(pull), at: now, end, expires };
            connection.out.insert(fetch.id, written);
            connection.live += 1;
        }
        if !bytes.is_empty() {
            connection.queued += bytes.len() as u64;
            (connection.used, connection.after_rest) = (now, rested);
            effects.push(Effect::Write(Peer::Node(number), bytes));
        }
    }

    /// Gives up a pull: unsent it is dropped, which is told, else the node hears of it. If it was `waited_for`
    /// and the node has finished no answer since it was sent, what else goes there might wait as long.
    pub fn give_up(
        &mut self,
        number: u32,
        pull: PullRef,
        id: Hex,
        waited_for: bool,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        if let Some(at) = connection.waiting.iter().position(|waiting| *waiting == pull) {
            connection.waiting.remove(at);
            self.close_if_spent(number, effects);
            return true;
        }
        let Some(written) = connection.out.get_mut(&id) else { return false };
        written.pull = None;
        connection.live -= 1;
        let (node, since) = (connection.node, written.at);
        let mut bytes = Vec::new();
        encode_abort(id, &mut bytes);
        connection.queued += bytes.len() as u64;
        effects.push(Effect::Write(Peer::Node(number), bytes));
        if waited_for && connection.answered <= since {
            self.retire(node, since, effects);
        }
        self.close_if_spent(number, effects);
        false
    }

    // Connections.

    /// A connection has come up.
    pub fn connected(&mut self, number: u32, now: Nanos, effects: &mut Vec<Effect>) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.up = true;
        connection.answered = now;
        if self.held_back {
            effects.push(Effect::Read(Peer::Node(number), false));
        }
    }

    /// The node that a connection goes to.
    pub fn node_of(&self, number: u32) -> Option<NodeId> {
        self.connections.get(&number).map(|connection| connection.node)
    }

    /// Whether a connection is still being made.
    pub fn is_connecting(&self, number: u32) -> bool {
        self.connections.get(&number).is_some_and(|connection| !connection.up)
    }

    /// Bytes for a node have left, so many in all.
    pub fn written(&mut self, number: u32, total: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.written = total;
        }
    }

    /// A node has sent bytes.
    pub fn received(&mut self, number: u32, bytes: &[u8], now: Nanos) {
        if let Some(connection) = self.connections.get_mut(&number) {
            (connection.used, connection.heard, connection.after_rest) = (now, now, false);
            connection.decoder.feed(bytes);
            if std::mem::take(&mut connection.unheard) {
                let pool = self.pools.get_mut(connection.node.0);
                pool.into_iter().for_each(|pool| pool.opening.taken());
            }
        }
    }

    /// The next whole answer of a node, and whose pull it ends, if it still is somebody's. Where no more can
    /// be read, the connection is to be closed.
    pub fn answer(&mut self, number: u32, now: Nanos) -> Next {
        let Some(connection) = self.connections.get_mut(&number) else { return Next::Nothing };
        match connection.decoder.next_answer() {
            Ok(None) => {
                connection.decoder.settle();
                Next::Nothing
            }
            Ok(Some(answer)) => {
                connection.answered = now;
                let written = answer.id.and_then(|id| connection.out.remove(&id));
                let pull = written.and_then(|written| written.pull);
                connection.live -= usize::from(pull.is_some());
                Next::Answer(pull, answer)
            }
            Err(fault) => {
                self.complaints.warn(now, format_args!("node {}: {fault}", self.ids.key(connection.node.0)));
                Next::Unreadable
            }
        }
    }

    /// A connection is over, or never came up; one that came up and brought nothing was turned away. Returns as
    /// `close`.
    pub fn ended(&mut self, number: u32, now: Nanos, effects: &mut Vec<Effect>) -> Vec<(PullRef, Outcome)> {
        let turned_away = |c: &&Connection| c.up && c.unheard && c.load() > 0;
        let node = self.connections.get(&number).filter(turned_away).map(|connection| connection.node);
        let pulls = self.close(number, effects);
        if let Some(node) = node
            && let Some(pool) = self.pools.get_mut(node.0)
        {
            let until = self.openings.turned_away(now, &mut pool.opening);
            self.full.extend(until.filter(|_| pool.connections.is_empty()).map(|until| (node, until)));
        }
        pulls
    }

    /// Lets go of a connection. Returns the pulls on it in their order, and how each ended: one
    /// whose last byte had not left never ran, and a connection that had come up says nothing of the node.
    fn close(&mut self, number: u32, effects: &mut Vec<Effect>) -> Vec<(PullRef, Outcome)> {
        let Some(connection) = self.connections.remove(&number) else { return Vec::new() };
        if connection.after_rest && connection.live > 0 {
            self.doubt = connection.used.after(DOUBT);
        }
        effects.push(Effect::Close(Peer::Node(number)));
        if let Some(pool) = self.pools.get_mut(connection.node.0) {
            pool.connections.retain(|other| *other != number);
        }
        let mut out: Vec<_> = connection.out.values().collect();
        out.sort_by_key(|written| written.end);
        let unsent = if connection.up { Outcome::NotSent } else { Outcome::Unreachable };
        let end = |w: &Written| if w.end <= connection.written { Outcome::Broken } else { unsent };
        let out = out.into_iter().filter_map(|w| w.pull.map(|pull| (pull, end(w))));
        out.chain(connection.waiting.iter().map(|pull| (*pull, unsent))).collect()
    }

    /// Closes a connection that takes no further pulls once it carries none.
    pub fn close_if_spent(&mut self, number: u32, effects: &mut Vec<Effect>) {
        if self.connections.get(&number).is_some_and(|c| c.retired && c.load() == 0) {
            self.close(number, effects);
        }
    }

    /// The connections to a node that have finished no answer since then take no further pulls.
    fn retire(&mut self, node: NodeId, since: Nanos, effects: &mut Vec<Effect>) {
        let numbers = self.pools.get(node.0).map(|pool| pool.connections.clone()).unwrap_or_default();
        for number in numbers {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.retired |= connection.answered <= since;
            }
            self.close_if_spent(number, effects);
        }
    }

    /// The connections on which an answer has begun and does not go on: they are of no further use.
    pub fn stuck(&mut self, now: Nanos) -> Vec<u32> {
        let stuck = |c: &Connection| !self.held_back && c.decoder.is_midway() && now.since(c.heard) > STUCK;
        let mut stuck: Vec<_> = self.connections.iter().filter(|(_, c)| stuck(c)).map(|(n, _)| *n).collect();
        stuck.sort();
        for connection in stuck.iter().filter_map(|number| self.connections.get(number)) {
            let id = self.ids.key(connection.node.0);
            self.complaints.warn(now, format_args!("node {id}: an answer does not go on"));
        }
        stuck
    }

    /// Closes connections that carry nothing before the node does, so that no pull crosses its close, and
    /// forgets the ids of pulls that were given up once they can't come again.
    pub fn sweep(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let idle = Nanos(self.limits.idle.0 / 4 * 3);
        for connection in self.connections.values_mut() {
            connection.out.retain(|_, written| written.pull.is_some() || written.expires > now);
        }
        let old = |c: &Connection| c.load() == 0 && idle > Nanos::ZERO && now.since(c.used) > idle;
        // While connections are spared, others need those that carry nothing beside another.
        let spared = self.openings.are_spared(now);
        let first = |c: &Connection| self.pools.get(c.node.0).and_then(|pool| pool.connections.first());
        let beside = |number: &u32, c: &Connection| spared && c.load() == 0 && first(c) != Some(number);
        let spent = self.connections.iter().filter(|(number, c)| old(c) || beside(number, c));
        let mut spent: Vec<_> = spent.map(|(number, _)| *number).collect();
        spent.sort();
        for number in spent {
            self.close(number, effects);
        }
    }

    /// Nodes are read from, or left alone for now.
    pub fn hold_back(&mut self, held_back: bool, effects: &mut Vec<Effect>) {
        if self.held_back == held_back {
            return;
        }
        self.held_back = held_back;
        log::warn!("clients take too little: nodes are {}read from", if held_back { "not " } else { "" });
        let mut numbers: Vec<_> = self.connections.keys().copied().collect();
        numbers.sort();
        effects.extend(numbers.into_iter().map(|number| Effect::Read(Peer::Node(number), !held_back)));
    }

    /// Whether nodes are left alone for now.
    pub fn are_held_back(&self) -> bool {
        self.held_back
    }
}

/// What a node's bytes come to next.
#[derive(Debug)]
pub enum Next {
    /// No whole answer yet.
    Nothing,
    /// An answer, and the pull that it ends.
    Answer(Option<PullRef>, copperroute_protocol::nodes::Answer),
    /// What can't be read.
    Unreadable,
}
