//! The desk: requests in hand, between the clients that wait for them and the nodes that serve them. The
//! module sends through it, and every call becomes effects for the event loop or ends of attempts for the
//! module; nothing here decides where a request goes.

use crate::clients::Clients;
use crate::config::Limits;
use crate::copies::{self, Offered};
use crate::effects::{Effect, TimerKind};
use crate::nodes::{AttemptId, NextMessage, NodePool, NodeStart, Nodes, ProbeCounts};
use copperroute_cache_store::record::Facts;
use copperroute_protocol::clients::{Answer, Request};
use copperroute_protocol::hex::Hex;
use copperroute_protocol::nodes::{self, Fetch};
use copperroute_routing::interface::{
    Actions, Attempt, AttemptEnd, LoadReport, Nanos, NodeId, ObjectId, Outcome, Readiness, Remark, RequestId,
    RoutingRequest,
};
use copperroute_routing::state::Slots;
use copperroute_routing::structures::ids::Ids;
use copperroute_settings::ConnectionLimits;

mod actions;
mod attempts;
mod list;

use std::collections::{HashSet, VecDeque};

/// Of the memory, what may wait for clients. With more than half of that, those that are held back for reading
/// slowly get no further bytes, and are refused what they ask for; with more than all of it, nodes are not read from until half of it has left.
const UNSENT_PART: u64 = 4;
/// Of the descriptors, what connections to nodes may take before they are shared.
const NODES_PART: usize = 4;
/// An attempt of which less time is left is not begun: nodes are told whole milliseconds, and none is told as 0.
const LEAST_LEFT: Nanos = Nanos(1_000_000);
/// Where a request's life is told, line by line, when `RUST_LOG` asks for it.
const TRACE: &str = "copperroute::trace";

/// An attempt of a request in hand.
#[derive(Debug)]
struct InFlightAttempt {
    attempt: Attempt,
    /// The id of the source, where one is named.
    source: Option<String>,
    at: Nanos,
    out: bool,
    /// The connection that carries it.
    connection: u32,
}

impl InFlightAttempt {
    /// Until when its answer is of use.
    fn until(&self, pending: &PendingRequest) -> Nanos {
        self.attempt.time_limit.map_or(pending.expires, |span| self.at.after(span).min(pending.expires))
    }
}

/// A request in hand.
#[derive(Debug)]
struct PendingRequest {
    generation: u64,
    client: u32,
    tag: u64,
    request: Request,
    expires: Nanos,
    /// As the module was told of it; nothing until then.
    told: Option<RoutingRequest>,
    /// It is answered with a copy, which has a tag.
    of_copies: bool,
    /// It may not simply run again.
    once: bool,
    /// Its answer is still owed.
    owed: bool,
    attempts: Vec<InFlightAttempt>,
}

impl PendingRequest {
    /// The copy that an answer brings, for those who keep them.
    fn offer(&self, answer: &nodes::Answer) -> Option<(RoutingRequest, Offered)> {
        let (routing_request, (etag, made_ms)) = (self.told?, answer.copy.filter(|_| !answer.not_modified)?);
        let key = copies::key(routing_request.content_type.0, self.request.object, self.request.part)?;
        let group = self.request.group.and_then(|group| u8::try_from(group).ok());
        let facts = Facts { etag: etag.bytes(), made_ms, group };
        Some((routing_request, Offered { key, facts, body: answer.body.as_slice().into() }))
    }
}

/// Everything that the module sends through.
pub struct RequestTable {
    /// The time of the event at hand.
    pub now: Nanos,
    /// For how long what clients have sent may have lain unread.
    pub unread: Nanos,
    /// Client connections.
    pub clients: Clients,
    nodes: Nodes,
    request_ids: Ids<u64>,
    pending: Slots<PendingRequest>,
    generation: u64,
    owed: usize,
    objects: Ids<(Hex, u64)>,
    /// The ids of the requests in hand.
    asked: HashSet<Hex>,
    most_unsent: u64,
    /// Copies that came are offered to be kept.
    pub keeps_copies: bool,
    /// Those that came since they were last taken, with the requests that they came for.
    pub offered: Vec<(RoutingRequest, Offered)>,
    /// The latest Unix millisecond at which a copy was made that answers told of since it was last taken.
    pub latest_made_ms: Option<u64>,
    /// Ends of attempts that the module is to hear of.
    pub ended: VecDeque<(AttemptId, AttemptEnd)>,
    /// Probes that were answered: by which node, when it was asked, and whether it takes work.
    pub alive: Vec<(NodeId, Nanos, bool)>,
    /// What the event loop is asked for.
    pub effects: Vec<Effect>,
}

impl RequestTable {
    /// An empty request table.
    pub fn new(connections: ConnectionLimits, limits: Limits, seed: u64) -> Self {
        let mut clients = Clients::default();
        clients.lingering.set_descriptor_limit(limits.sockets as usize);
        RequestTable {
            now: Nanos::ZERO,
            unread: Nanos::ZERO,
            clients,
            nodes: Nodes::new(connections, limits.sockets as usize / NODES_PART, seed),
            request_ids: Ids::default(),
            pending: Slots::default(),
            generation: 0,
            owed: 0,
            objects: Ids::default(),
            asked: HashSet::new(),
            most_unsent: limits.memory_mb * 1024 * 1024 / UNSENT_PART,
            keeps_copies: false,
            offered: Vec::new(),
            latest_made_ms: None,
            ended: VecDeque::new(),
            alive: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Takes new limits.
    pub fn limit(&mut self, connections: ConnectionLimits, limits: Limits) {
        self.most_unsent = limits.memory_mb * 1024 * 1024 / UNSENT_PART;
        self.clients.lingering.set_descriptor_limit(limits.sockets as usize);
        self.nodes.set_limits(connections, limits.sockets as usize / NODES_PART);
    }

    /// Nodes that have turned connections away since this was asked, and until when none is opened there.
    pub fn turned_away(&mut self) -> Vec<(NodeId, Nanos)> {
        self.nodes.take_refusing_nodes()
    }

    /// Looks after connections; to be called now and then.
    pub fn sweep(&mut self) {
        self.nodes.stalled(self.now).into_iter().for_each(|connection| self.node_closed(connection));
        self.nodes.close_idle(self.now, &mut self.effects);
    }

    // Requests.

    /// Takes a request and arms its expiry.
    pub fn open(
        &mut self,
        client: u32,
        tag: u64,
        request: Request,
        of_copies: bool,
        once: bool,
    ) -> (RequestId, ObjectId, Nanos) {
        self.generation += 1;
        let request_id = RequestId(self.request_ids.get_or_assign(self.generation));
        let object = ObjectId(self.objects.get_or_assign((request.object, request.part)));
        // Its client waits since it asked.
        let waits = Nanos(request.timeout_ms.saturating_mul(1_000_000)).since(self.unread);
        let expires = self.now.after(waits);
        self.effects.push(Effect::Arm(expires, TimerKind::Expiry(request_id, self.generation)));
        self.asked.insert(request.id);
        let (id, of, part) = (request.id, &request.content_type, request.part);
        let (named, ms) = (request.object, request.timeout_ms);
        log::debug!(target: TRACE, "{id} taken from client {client}: {of} {named} part {part} in {ms} ms");
        if let Some(client) = self.clients.get_mut(client) {
            client.open.insert(tag, request_id);
        }
        let (generation, owed, attempts) = (self.generation, true, Vec::new());
        self.pending.put(
            request_id.0,
            PendingRequest {
                generation,
                client,
                tag,
                request,
                expires,
                told: None,
                of_copies,
                once,
                owed,
                attempts,
            },
        );
        self.owed += 1;
        (request_id, object, expires)
    }

    /// The serial of a request in hand.
    pub fn generation_of(&self, request_id: RequestId) -> u64 {
        self.pending.get(request_id.0).map_or(0, |pending| pending.generation)
    }

    /// Object, part and the client's own copy that a request in hand names.
    pub fn asked_for(&self, request_id: RequestId) -> Option<(Hex, u64, Option<Hex>)> {
        self.pending
            .get(request_id.0)
            .map(|pending| (pending.request.object, pending.request.part, pending.request.cached_tag))
    }

    /// The module is told of a request in these words.
    pub fn tell(&mut self, routing_request: &RoutingRequest) {
        if let Some(pending) = self.pending.get_mut(routing_request.request_id.0) {
            pending.told = Some(*routing_request);
        }
    }

    /// Whether a request with this id is in hand.
    pub fn has(&self, id: Hex) -> bool {
        self.asked.contains(&id)
    }

    /// Writes to a client, if it is still there.
    pub fn write(&mut self, client: u32, tag: u64, answer: Answer<'_>) {
        self.clients.write(client, tag, answer, self.now, &mut self.effects);
        self.balance();
    }

    /// Bytes for a client have left.
    pub fn client_written(&mut self, client: u32, total: u64) {
        self.clients.written(client, total, self.now);
        self.balance();
    }

    /// A client's connection ends at once; returns what was open on it.
    pub fn remove_client(&mut self, client: u32) -> Vec<RequestId> {
        let open = self.clients.remove(client, &mut self.effects);
        self.balance();
        open
    }

    /// A client's connection ends by a lingering close; returns what was open on it.
    pub fn shut_client(&mut self, client: u32) -> Vec<RequestId> {
        let open = self.clients.shut(client, self.now, &mut self.effects);
        self.balance();
        open
    }

    /// A client has broken the protocol: what it asked before is answered, then its connection ends.
    pub fn close_when_answered(&mut self, client: u32) {
        if let Some(client) = self.clients.get_mut(client) {
            client.close_when_answered();
        }
        self.shut_if_answered(client);
    }

    /// The same where nothing that it sends can be read on.
    pub fn cannot_be_read(&mut self, client: u32) {
        if let Some(client) = self.clients.get_mut(client) {
            client.cannot_be_read();
        }
        self.shut_if_answered(client);
    }

    /// Ends a connection that asks for nothing new, once nothing is open on it.
    pub fn shut_if_answered(&mut self, client: u32) {
        if self.clients.get_mut(client).is_some_and(|client| client.is_spent()) {
            self.shut_client(client);
        }
    }

    /// Memory is short: clients that read slowly go without.
    pub fn is_short_for(&self, client: u32) -> bool {
        self.clients.unsent() > self.most_unsent / 2 && self.clients.is_slow(client)
    }

    /// Memory has run out, and a client that reads slowly asks for more.
    pub fn has_run_out_for(&self, client: u32) -> bool {
        self.clients.unsent() > self.most_unsent && self.clients.is_slow(client)
    }

    /// While clients take too little, nodes are not read from: what they hold back costs no memory here.
    fn balance(&mut self) {
        let most = self.most_unsent / if self.nodes.reads_paused() { 2 } else { 1 };
        self.nodes.pause_reads(self.clients.unsent() > most, &mut self.effects);
    }

    /// Notes that the answer of a request is owed no more; tells who asked for it, if it was owed.
    fn settle(&mut self, request_id: RequestId) -> Option<(u32, u64)> {
        let pending = self.pending.get_mut(request_id.0).filter(|pending| pending.owed)?;
        pending.owed = false;
        self.owed -= 1;
        if let Some(client) = self.clients.get_mut(pending.client) {
            client.open.remove(&pending.tag);
        }
        Some((pending.client, pending.tag))
    }

    /// The final answer of a request, once.
    pub fn answer(&mut self, request_id: RequestId, answer: Answer<'_>) {
        if let Some(pending) = self.pending.get(request_id.0).filter(|pending| pending.owed) {
            log::debug!(target: TRACE, "{} answered {}", pending.request.id, answer.word());
        }
        if let Some((client, tag)) = self.settle(request_id) {
            self.write(client, tag, answer);
            self.shut_if_answered(client);
        }
    }

    /// Nobody waits for this request any more; tells whether anybody did.
    pub fn forsake(&mut self, request_id: RequestId) -> bool {
        self.settle(request_id).is_some()
    }

    /// Whether this still is the request with that serial, and its answer is owed.
    pub fn is_owed(&self, request_id: RequestId, generation: u64) -> bool {
        self.pending.get(request_id.0).is_some_and(|pending| pending.owed && pending.generation == generation)
    }

    /// Requests whose answer is owed.
    pub fn all_owed(&self) -> Vec<(RequestId, u64)> {
        let owed = self.pending.iter().filter(|pending| pending.owed);
        owed.filter_map(|pending| {
            self.request_ids.get(&pending.generation).map(|slot| (RequestId(slot), pending.generation))
        })
        .collect()
    }

    /// Attempts and fills that are out at a node.
    pub fn out_at(&self, node: NodeId) -> u32 {
        let out = self.pending.iter().flat_map(|pending| &pending.attempts).filter(|attempt| attempt.out);
        out.filter(|out| out.attempt.node == node || out.attempt.source == node).count() as u32
    }

    /// Whether no answer is owed, and all that were given have left.
    pub fn is_clear(&self) -> bool {
        self.owed == 0 && self.clients.unsent() == 0
    }

    /// The time of a request is over: what is out for it ends unanswered.
    pub fn expire(&mut self, request_id: RequestId) {
        let attempts = self.pending.get(request_id.0).map_or(0, |pending| pending.attempts.len());
        for number in 0..attempts as u32 {
            self.give_up(AttemptId { request_id, number }, Outcome::TimedOut);
        }
    }

    /// What was not sent for a request that nobody waits for never will be, also where attempts are not called off.
    pub fn drop_unsent(&mut self, request_id: RequestId) {
        self.take_back_of(|attempt, _, _| attempt.request_id == request_id);
    }

    /// Whether an attempt of the request with that serial is still out.
    pub fn is_out(&self, attempt: AttemptId, generation: u64) -> bool {
        self.out(attempt, generation).is_some()
    }

    /// An attempt that is still out, of the request with that serial.
    fn out(&self, attempt: AttemptId, generation: u64) -> Option<&InFlightAttempt> {
        let pending =
            self.pending.get(attempt.request_id.0).filter(|pending| pending.generation == generation)?;
        pending.attempts.get(attempt.number as usize).filter(|out| out.out)
    }

    /// An attempt that may be sent until now only is taken back, if it has not left whole.
    pub fn too_late(&mut self, attempt: AttemptId, generation: u64) {
        let Some(connection) = self.out(attempt, generation).map(|out| out.connection) else { return };
        self.take_back_of(|other, _, _| *other == attempt);
        // A part of it has left: the node must not get the rest.
        if self.nodes.is_partly_written(connection, attempt) {
            self.node_closed(connection);
        }
    }
}
