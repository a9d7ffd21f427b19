//! The desk: downloads in hand, and the connections that serve them. The module sends through it, and
//! every call becomes effects for the event loop or ends of pulls for the module; nothing here decides
//! where a download goes.

use crate::clients::Client;
use crate::nodes::{Connection, Pool, PullRef, Written};
use crate::reducer::{Due, Effect, Peer};
use copperroute::ids::Ids;
use copperroute::interface::{
    DlId, Nanos, NodeId, ObjectId, Outbox, Outcome, Pull, PullEnd, Readiness, Remark, Report,
};
use copperroute::state::Slots;
use copperroute_protocol::clients::{self, Answer, Request};
use copperroute_protocol::nodes::{self, Fetch};
use copperroute_settings::{Connections, Names};
use std::collections::{HashMap, VecDeque};

/// Connections to one node at most.
const CONNECTIONS: usize = 4;
/// Bytes of pulls handed to a connection at once; what waits longer can still be dropped unsent.
const GATHERED: usize = 16 * 1024;

/// A client with more unsent than this is not read from until half of it has left.
const UNSENT: u64 = 512 * 1024;
/// Of the memory, what may wait for clients; with more, nodes are not read from until half of it has left.
const UNSENT_PART: u64 = 4;

/// A pull of a download in hand.
#[derive(Debug, Clone, Copy)]
struct HeldPull {
    pull: Pull,
    at: Nanos,
    /// The connection that carries it; nothing once it has ended.
    connection: Option<u32>,
}

/// A download in hand.
#[derive(Debug)]
struct Held {
    serial: u64,
    client: u32,
    tag: u64,
    request: Request,
    expires: Nanos,
    /// Its answer is still owed.
    owed: bool,
    pulls: Vec<HeldPull>,
}

/// Everything that the module sends through.
pub struct Desk {
    pub now: Nanos,
    pub names: Names,
    limits: Connections,
    pub clients: HashMap<u32, Client>,
    /// Downloads whose answer is owed.
    pub owed: usize,
    /// Bytes for clients that have not left, how many there may be, and whether nodes wait for that.
    pub unsent: u64,
    most_unsent: u64,
    held_back: bool,
    dls: Ids<u64>,
    held: Slots<Held>,
    serial: u64,
    objects: Ids<(String, u64)>,
    nodes: Ids<String>,
    pools: Slots<Pool>,
    connections: HashMap<u32, Connection>,
    last_connection: u32,
    /// Ends of pulls that the module is to hear of.
    pub ended: VecDeque<(PullRef, PullEnd)>,
    pub effects: Vec<Effect>,
}

impl Desk {
    /// An empty desk.
    pub fn new(names: Names, limits: Connections, memory_mb: u64) -> Self {
        Desk {
            now: Nanos::ZERO,
            names,
            limits,
            clients: HashMap::new(),
            owed: 0,
            unsent: 0,
            most_unsent: memory_mb * 1024 * 1024 / UNSENT_PART,
            held_back: false,
            dls: Ids::default(),
            held: Slots::default(),
            serial: 0,
            objects: Ids::default(),
            nodes: Ids::default(),
            pools: Slots::default(),
            connections: HashMap::new(),
            last_connection: 0,
            ended: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    // Downloads.

    /// Takes a download and arms its expiry.
    pub fn open(&mut self, client: u32, tag: u64, request: Request) -> (DlId, ObjectId, Nanos) {
        self.serial += 1;
        let dl = DlId(self.dls.open(self.serial));
        let object = ObjectId(self.objects.open((request.object.clone(), request.part)));
        let expires = self.now.after(Nanos(request.timeout_ms.saturating_mul(1_000_000)));
        self.effects.push(Effect::Arm(expires, Due::Expiry(dl, self.serial)));
        if let Some(client) = self.clients.get_mut(&client) {
            client.open.insert(tag, dl);
        }
        let (serial, owed, pulls) = (self.serial, true, Vec::new());
        self.held.put(dl.0, Held { serial, client, tag, request, expires, owed, pulls });
        self.owed += 1;
        (dl, object, expires)
    }

    /// Writes to a client, if it is still there.
    pub fn write_client(&mut self, client: u32, tag: u64, answer: Answer<'_>) {
        if let Some(open) = self.clients.get_mut(&client) {
            let bytes = clients::encode(tag, answer);
            open.queued += bytes.len() as u64;
            self.unsent += bytes.len() as u64;
            self.effects.push(Effect::Write(Peer::Client(client), bytes));
            if open.unsent() > UNSENT && !open.held_back {
                open.held_back = true;
                self.effects.push(Effect::Read(Peer::Client(client), false));
            }
        }
        self.hold_nodes_back();
    }

    /// Bytes for a client have left.
    pub fn client_written(&mut self, number: u32, total: u64) {
        if let Some(client) = self.clients.get_mut(&number) {
            self.unsent -= total.saturating_sub(client.written);
            client.written = total;
            if client.held_back && client.unsent() <= UNSENT / 2 {
                client.held_back = false;
                self.effects.push(Effect::Read(Peer::Client(number), true));
            }
        }
        self.hold_nodes_back();
    }

    /// A client's connection ends, with what was unsent and open on it.
    pub fn remove_client(&mut self, number: u32) -> Vec<DlId> {
        let Some(client) = self.clients.remove(&number) else { return Vec::new() };
        self.unsent -= client.unsent();
        self.effects.push(Effect::Close(Peer::Client(number)));
        self.hold_nodes_back();
        let mut open: Vec<_> = client.open.into_values().collect();
        open.sort_by_key(|dl| dl.0);
        open
    }

    /// While clients take too little, nodes are not read from: what they hold back costs no memory here.
    fn hold_nodes_back(&mut self) {
        let most = if self.held_back { self.most_unsent / 2 } else { self.most_unsent };
        if self.held_back == (self.unsent > most) {
            return;
        }
        self.held_back = !self.held_back;
        log::warn!(
            "clients take too little: nodes are {}read from",
            if self.held_back { "not " } else { "" }
        );
        let mut numbers: Vec<_> = self.connections.keys().copied().collect();
        numbers.sort();
        let read = |number| Effect::Read(Peer::Node(number), !self.held_back);
        self.effects.extend(numbers.into_iter().map(read));
    }

    /// The final answer of a download, once.
    fn answer(&mut self, dl: DlId, answer: Answer<'_>) {
        let Some(held) = self.held.get_mut(dl.0).filter(|held| held.owed) else { return };
        held.owed = false;
        self.owed -= 1;
        let (client, tag) = (held.client, held.tag);
        if let Some(open) = self.clients.get_mut(&client) {
            open.open.remove(&tag);
        }
        self.write_client(client, tag, answer);
    }

    /// Nobody waits for this download any more; tells whether anybody did.
    pub fn forsake(&mut self, dl: DlId) -> bool {
        let Some(held) = self.held.get_mut(dl.0).filter(|held| held.owed) else { return false };
        held.owed = false;
        self.owed -= 1;
        if let Some(client) = self.clients.get_mut(&held.client) {
            client.open.remove(&held.tag);
        }
        true
    }

    /// Whether this still is the download with that serial, and its answer is owed.
    pub fn is_owed(&self, dl: DlId, serial: u64) -> bool {
        self.held.get(dl.0).is_some_and(|held| held.owed && held.serial == serial)
    }

    /// Downloads whose answer is owed.
    pub fn all_owed(&self) -> Vec<(DlId, u64)> {
        let owed = self.held.iter().filter(|held| held.owed);
        owed.filter_map(|held| self.dls.held(&held.serial).map(|slot| (DlId(slot), held.serial))).collect()
    }

    /// The time of a download is over: what is out for it ends unanswered.
    pub fn expire(&mut self, dl: DlId) {
        let pulls = self.held.get(dl.0).map_or(0, |held| held.pulls.len());
        for number in 0..pulls as u32 {
            self.give_up(PullRef { dl, number }, Outcome::TimedOut);
        }
    }

    /// The last word where the module has none left.
    pub fn abandon_unheard(&mut self, dl: DlId) {
        self.answer(dl, Answer::Abandoned);
    }

    // Pulls.

    /// Ends a pull that is out, for the module to hear.
    fn end(&mut self, pull: PullRef, outcome: Outcome, told: Option<&nodes::Answer>) {
        let Some(held) = self.held.get_mut(pull.dl.0) else { return };
        let Some(out) = held.pulls.get_mut(pull.number as usize) else { return };
        if out.connection.take().is_none() {
            return;
        }
        let took = self.now.since(out.at);
        let closed = outcome == Outcome::Fulfilled;
        if let Some(told) = told.filter(|_| closed) {
            let answer = if told.current { Answer::Current } else { Answer::Fulfilled(&told.body) };
            self.answer(pull.dl, answer);
        }
        let end = PullEnd {
            outcome,
            took,
            closed,
            waited: told.and_then(|told| told.waited),
            remark: told.map_or(Remark::None, |told| told.remark),
            report: told.map_or(Report::default(), |told| told.report),
        };
        self.ended.push_back((pull, end));
    }

    /// Gives up a pull: unsent it is dropped, else the node is told.
    fn give_up(&mut self, pull: PullRef, mut outcome: Outcome) {
        let Some(held) = self.held.get(pull.dl.0) else { return };
        let Some(number) = held.pulls.get(pull.number as usize).and_then(|p| p.connection) else { return };
        if let Some(connection) = self.connections.get_mut(&number) {
            if let Some(at) = connection.waiting.iter().position(|waiting| *waiting == pull) {
                connection.waiting.remove(at);
                if outcome == Outcome::TimedOut {
                    outcome = Outcome::NotSent;
                }
            } else if let Some(written) = connection.out.get_mut(&held.request.id) {
                written.pull = None;
                connection.live -= 1;
                let (node, since) = (connection.node, written.at);
                let mut bytes = Vec::new();
                nodes::encode_abort(&held.request.id, &mut bytes);
                connection.queued += bytes.len() as u64;
                self.effects.push(Effect::Write(Peer::Node(number), bytes));
                if held.owed && connection.answered <= since {
                    // Silent though somebody waits: what else goes there might wait as long.
                    self.retire(node, since);
                }
            }
        }
        self.end(pull, outcome, None);
        self.close_if_spent(number);
    }

    /// Hands pulls to a connection, as many as go at once.
    fn pump(&mut self, number: u32) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if !connection.up || connection.queued > connection.written {
            return;
        }
        let mut bytes = Vec::new();
        while bytes.len() < GATHERED {
            let Some(pull) = connection.waiting.pop_front() else { break };
            let Some(held) = self.held.get(pull.dl.0) else { continue };
            let Some(out) = held.pulls.get(pull.number as usize) else { continue };
            let request = &held.request;
            let (now, order) = (self.now, &out.pull);
            let fills = (order.source != order.node).then(|| self.nodes.key(order.source.0).as_str());
            let wait = held.expires.min(order.try_for.map_or(held.expires, |span| out.at.after(span)));
            let fetch = Fetch {
                id: &request.id,
                content_type: &request.content_type,
                object: &request.object,
                part: request.part,
                wait: wait.since(now),
                source: fills,
                rank: order.rank,
                max_age: order.max_age.map(|age| age.after(now.since(out.at))),
                join: order.join,
                held_only: order.held_only,
                no_parent_copy: order.no_parent_copy,
                renew: order.renew,
                held: request.held.as_deref(),
                body: &request.body,
            };
            nodes::encode_fetch(&fetch, &mut bytes);
            let end = connection.queued + bytes.len() as u64;
            connection.out.insert(
                request.id.clone(),
                Written { pull: Some(pull), at: now, end, expires: held.expires },
            );
            connection.live += 1;
        }
        if !bytes.is_empty() {
            connection.queued += bytes.len() as u64;
            connection.used = self.now;
            self.effects.push(Effect::Write(Peer::Node(number), bytes));
        }
    }

    /// The connection for a further pull of a download to a node, made if need be.
    fn connection(&mut self, node: NodeId, id: &str) -> Option<u32> {
        let pool = self.pools.get_mut(node.0)?;
        let address = pool.address?;
        let fits = |number: &&u32| {
            let connection = self.connections.get(number);
            let streams = self.limits.streams;
            connection.is_some_and(|c| !c.retired && c.load() < streams && !c.out.contains_key(id))
        };
        let load = |number: &&u32| self.connections.get(number).map_or(0, Connection::load);
        if let Some(number) = pool.connections.iter().filter(fits).min_by_key(load) {
            return Some(*number);
        }
        let usable = pool.connections.iter().filter(|n| self.connections.get(n).is_some_and(|c| !c.retired));
        if usable.count() >= CONNECTIONS {
            return None;
        }
        self.last_connection += 1;
        let (number, peer) = (self.last_connection, Peer::Node(self.last_connection));
        pool.connections.push(number);
        self.connections.insert(number, Connection::new(node, self.now));
        self.effects.push(Effect::Connect(peer, address));
        self.effects.push(Effect::Arm(self.now.after(self.limits.connect_timeout), Due::Connect(number)));
        Some(number)
    }

    // Node connections.

    /// A connection to a node has come up.
    pub fn node_connected(&mut self, number: u32) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.up = true;
            connection.answered = self.now;
            if self.held_back {
                self.effects.push(Effect::Read(Peer::Node(number), false));
            }
        }
        self.pump(number);
    }

    /// Whether a connection is still being made.
    pub fn is_connecting(&self, number: u32) -> bool {
        self.connections.get(&number).is_some_and(|connection| !connection.up)
    }

    /// Bytes for a node have left.
    pub fn node_written(&mut self, number: u32, total: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.written = total;
        }
        self.pump(number);
    }

    /// A node has sent bytes.
    pub fn node_received(&mut self, number: u32, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.used = self.now;
        connection.decoder.feed(bytes);
        loop {
            let Some(connection) = self.connections.get_mut(&number) else { return };
            match connection.decoder.next_answer() {
                Ok(None) => break,
                Ok(Some(answer)) => {
                    connection.answered = self.now;
                    let pull = connection.out.remove(&answer.id).and_then(|written| written.pull);
                    if let Some(pull) = pull {
                        connection.live -= 1;
                        self.end(pull, answer.outcome, Some(&answer));
                    }
                }
                Err(fault) => {
                    log::warn!("node {}: {fault}", self.nodes.key(connection.node.0));
                    return self.node_closed(number);
                }
            }
        }
        self.close_if_spent(number);
    }

    /// A connection to a node is over, or never came up: what was not written whole never ran.
    pub fn node_closed(&mut self, number: u32) {
        let Some(connection) = self.connections.remove(&number) else { return };
        self.effects.push(Effect::Close(Peer::Node(number)));
        if let Some(pool) = self.pools.get_mut(connection.node.0) {
            pool.connections.retain(|other| *other != number);
        }
        let mut written: Vec<_> = connection.out.values().filter(|written| written.pull.is_some()).collect();
        written.sort_by_key(|written| written.end);
        for written in written {
            let whole = written.end <= connection.written;
            let outcome = if whole { Outcome::Broken } else { Outcome::Unreachable };
            written.pull.into_iter().for_each(|pull| self.end(pull, outcome, None));
        }
        connection.waiting.iter().for_each(|pull| self.end(*pull, Outcome::Unreachable, None));
    }

    /// Closes a connection that takes no further pulls once it carries none.
    fn close_if_spent(&mut self, number: u32) {
        if self
            .connections
            .get(&number)
            .is_some_and(|connection| connection.retired && connection.load() == 0)
        {
            self.node_closed(number);
        }
    }

    /// Closes connections that carry nothing before the node does, so that no pull crosses its close, and
    /// forgets the ids of pulls that were given up once they can't come again.
    pub fn sweep(&mut self) {
        let idle = Nanos(self.limits.idle.0 / 4 * 3);
        let now = self.now;
        for connection in self.connections.values_mut() {
            connection.out.retain(|_, written| written.pull.is_some() || written.expires > now);
        }
        let old = |c: &Connection| c.load() == 0 && idle > Nanos::ZERO && now.since(c.used) > idle;
        let spent = self.connections.iter().filter(|(_, connection)| old(connection));
        let mut spent: Vec<_> = spent.map(|(number, _)| *number).collect();
        spent.sort();
        spent.into_iter().for_each(|number| self.node_closed(number));
    }

    // The list of nodes.

    /// The index of a listed node, and whether what is known of it changed.
    pub fn list(&mut self, id: &str, pool: Pool) -> NodeId {
        let node = NodeId(self.nodes.open(id.to_string()));
        let address = pool.address.map_or("no address".to_string(), |address| address.to_string());
        log::info!("node {}: {id} at {address}, {:?}", node.0, pool.readiness);
        let Some(known) = self.pools.get_mut(node.0) else {
            self.pools.put(node.0, pool);
            return node;
        };
        let anew = pool.started > known.started || (pool.address.is_some() && pool.address != known.address);
        let connections = std::mem::take(&mut known.connections);
        *known = Pool { address: pool.address.or(known.address), connections, ..pool };
        if anew {
            self.retire(node, self.now);
        }
        node
    }

    /// The nodes that a whole list does not name.
    pub fn unlisted(&self, named: &[NodeId]) -> Vec<NodeId> {
        let listed = |node: &NodeId| self.pools.get(node.0).is_some_and(|p| p.readiness != Readiness::Gone);
        let all = (0..self.nodes.count()).map(NodeId);
        all.filter(|node| listed(node) && !named.contains(node)).collect()
    }

    /// A node takes no new work: what was not sent to it, or names it as source, is dropped.
    pub fn withdraw(&mut self, node: NodeId, readiness: Readiness) {
        if let Some(pool) = self.pools.get_mut(node.0) {
            pool.readiness = readiness;
        }
        let mut dropped = Vec::new();
        for connection in self.connections.values_mut() {
            connection.waiting.retain(|pull| {
                let order = self.held.get(pull.dl.0).and_then(|held| held.pulls.get(pull.number as usize));
                let meant = order.is_some_and(|out| out.pull.node == node || out.pull.source == node);
                dropped.extend(meant.then_some(*pull));
                !meant
            });
        }
        dropped.sort_by_key(|pull| (pull.dl.0, pull.number));
        dropped.into_iter().for_each(|pull| self.end(pull, Outcome::NotSent, None));
        self.retire(node, self.now);
    }

    /// The connections to a node that have finished no answer since then take no further pulls.
    fn retire(&mut self, node: NodeId, since: Nanos) {
        let numbers = self.pools.get(node.0).map(|pool| pool.connections.clone()).unwrap_or_default();
        for number in numbers {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.retired |= connection.answered <= since;
            }
            self.close_if_spent(number);
        }
    }
}

impl Outbox for Desk {
    fn pull(&mut self, dl: DlId, pull: &Pull) {
        let Some(held) = self.held.get_mut(dl.0) else { return };
        let number = held.pulls.len() as u32;
        held.pulls.push(HeldPull { pull: *pull, at: self.now, connection: Some(0) });
        let id = held.request.id.clone();
        let place = PullRef { dl, number };
        let Some(connection) = self.connection(pull.node, &id) else {
            return self.end(place, Outcome::Unreachable, None);
        };
        if let Some(out) = self.held.get_mut(dl.0).and_then(|held| held.pulls.get_mut(number as usize)) {
            out.connection = Some(connection);
        }
        if let Some(open) = self.connections.get_mut(&connection) {
            open.waiting.push_back(place);
        }
        self.pump(connection);
    }

    fn call_off(&mut self, dl: DlId, number: u32) {
        self.give_up(PullRef { dl, number }, Outcome::CalledOff);
    }

    fn throttle(&mut self, dl: DlId, come_back: Option<Nanos>) {
        self.answer(dl, Answer::Throttled(come_back.map(|span| span.0.div_ceil(1_000_000))));
    }

    fn abandon(&mut self, dl: DlId) {
        self.answer(dl, Answer::Abandoned);
    }

    fn arm(&mut self, span: Nanos, token: u64) {
        self.effects.push(Effect::Arm(self.now.after(span), Due::Module(token)));
    }

    fn follow(&mut self) {
        // The change log is followed from the start.
    }

    fn note(&mut self, line: &str) {
        log::info!("{line}");
    }

    fn release(&mut self, dl: DlId) {
        self.held.clear(dl.0);
        self.dls.release(dl.0);
    }

    fn release_object(&mut self, object: ObjectId) {
        self.objects.release(object.0);
    }
}
