//! The request table: open requests and their attempts, between the clients that wait for answers and the
//! nodes that serve them. The routing policy acts through it (the `Actions` trait); its calls become effects
//! for the event loop, or outcomes of attempts that the reducer passes back to the policy. It does not decide
//! where a request goes.

use crate::clients::Clients;
use crate::config::Limits;
use crate::effects::{Effect, TimerKind};
use crate::external_time::CopyTime;
use crate::local_cache::{self, OfferedCopy};
use crate::memory::{MemoryBudget, OPEN_REQUEST_BYTES};
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
mod clients;
mod node_list;

use std::collections::{HashSet, VecDeque};

/// Connections to nodes may take one part in this many of the descriptors before attempts must share them.
const NODE_DESCRIPTOR_DIVISOR: usize = 4;
/// An attempt with less time left than this is not sent: the protocol carries whole milliseconds, and no node
/// is to be sent 0.
const MIN_TIME_LEFT: Nanos = Nanos(1_000_000);
/// Log target for the life of each request, line by line; enabled by `RUST_LOG`.
const TRACE: &str = "copperroute::trace";

/// An attempt of an open request. It stays in the table after its end, with `in_flight` false.
#[derive(Debug)]
struct AttemptEntry {
    attempt: Attempt,
    /// The id of the source node, if the attempt names one.
    source: Option<String>,
    started_at: Nanos,
    in_flight: bool,
    /// The number of the connection that carries it.
    connection: u32,
}

impl AttemptEntry {
    /// After this time the answer is of no use.
    fn deadline(&self, pending: &PendingRequest) -> Nanos {
        self.attempt
            .time_limit
            .map_or(pending.deadline, |span| self.started_at.after(span).min(pending.deadline))
    }
}

/// An open request.
#[derive(Debug)]
struct PendingRequest {
    generation: u64,
    client: u32,
    tag: u64,
    request: Request,
    /// The memory that it takes while it is open.
    memory_bytes: u64,
    deadline: Nanos,
    /// The request as it was passed to the routing policy; `None` until then.
    routing_request: Option<RoutingRequest>,
    /// The answer is a copy and must carry a tag.
    expects_copy: bool,
    /// The request may not safely run twice.
    at_most_once: bool,
    /// The client has not received the final answer yet.
    awaiting_answer: bool,
    attempts: Vec<AttemptEntry>,
}

impl PendingRequest {
    /// The copy in an answer, for the local cache.
    fn offer(&self, answer: &nodes::Answer) -> Option<(RoutingRequest, OfferedCopy)> {
        let (routing_request, (etag, made_ms)) =
            (self.routing_request?, answer.copy.filter(|_| !answer.not_modified)?);
        let key = local_cache::key(routing_request.content_type.0, self.request.object, self.request.part)?;
        let group = self.request.group.and_then(|group| u8::try_from(group).ok());
        let facts = Facts { etag: etag.bytes(), made_ms, group };
        Some((routing_request, OfferedCopy { key, facts, body: answer.body.as_slice().into() }))
    }
}

/// Open requests, client connections, nodes, and the effects that are due.
pub struct RequestTable {
    /// The time of the current event.
    pub now: Nanos,
    /// How long received client input may have lain unread.
    pub input_delay: Nanos,
    /// Client connections.
    pub clients: Clients,
    nodes: Nodes,
    request_ids: Ids<u64>,
    pending: Slots<PendingRequest>,
    generation: u64,
    owed_answers: usize,
    objects: Ids<(Hex, u64)>,
    /// The ids of the open requests.
    open_ids: HashSet<Hex>,
    memory: MemoryBudget,
    /// The memory that open requests take.
    request_bytes: u64,
    /// Received copies are collected in `offered` for the local cache.
    pub collects_copies: bool,
    /// Copies received since this was last emptied, with the requests for which they came.
    pub offered: Vec<(RoutingRequest, OfferedCopy)>,
    /// When the copies in answers were made, since this was last taken.
    pub copy_times: Vec<CopyTime>,
    /// Ended attempts of which the routing policy has not been told yet.
    pub ended_attempts: VecDeque<(AttemptId, AttemptEnd)>,
    /// Answers to readiness probes: the node, when the probe was sent, and whether the node accepts work.
    pub probe_answers: Vec<(NodeId, Nanos, bool)>,
    /// What the event loop is to do.
    pub effects: Vec<Effect>,
}

impl RequestTable {
    /// An empty request table.
    pub fn new(connections: ConnectionLimits, limits: Limits, seed: u64) -> Self {
        let mut clients = Clients::default();
        clients.lingering.set_descriptor_limit(limits.sockets as usize);
        RequestTable {
            now: Nanos::ZERO,
            input_delay: Nanos::ZERO,
            clients,
            nodes: Nodes::new(connections, limits.sockets as usize / NODE_DESCRIPTOR_DIVISOR, seed),
            request_ids: Ids::default(),
            pending: Slots::default(),
            generation: 0,
            owed_answers: 0,
            objects: Ids::default(),
            open_ids: HashSet::new(),
            memory: MemoryBudget::new(limits.memory_mb),
            request_bytes: 0,
            collects_copies: false,
            offered: Vec::new(),
            copy_times: Vec::new(),
            ended_attempts: VecDeque::new(),
            probe_answers: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Applies new limits.
    pub fn set_limits(&mut self, connections: ConnectionLimits, limits: Limits) {
        self.memory = MemoryBudget::new(limits.memory_mb);
        self.clients.lingering.set_descriptor_limit(limits.sockets as usize);
        self.nodes.set_limits(connections, limits.sockets as usize / NODE_DESCRIPTOR_DIVISOR);
    }

    /// Nodes that have refused connections since the last call, and until when no connection to them is
    /// opened.
    pub fn take_refusing_nodes(&mut self) -> Vec<(NodeId, Nanos)> {
        self.nodes.take_refusing_nodes()
    }

    /// Closes stalled and idle node connections; to be called periodically.
    pub fn sweep(&mut self) {
        self.nodes.stalled(self.now).into_iter().for_each(|connection| self.node_closed(connection));
        self.nodes.close_idle(self.now, &mut self.effects);
    }

    // Requests.

    /// Adds a request and arms its timeout.
    pub fn open(
        &mut self,
        client: u32,
        tag: u64,
        request: Request,
        expects_copy: bool,
        at_most_once: bool,
    ) -> (RequestId, ObjectId, Nanos) {
        self.generation += 1;
        let request_id = RequestId(self.request_ids.get_or_assign(self.generation));
        let object = ObjectId(self.objects.get_or_assign((request.object, request.part)));
        // The client has been waiting since it sent the request, which may have lain unread.
        let waits = Nanos(request.timeout_ms.saturating_mul(1_000_000)).since(self.input_delay);
        let deadline = self.now.after(waits);
        self.effects.push(Effect::Arm(deadline, TimerKind::Expiry(request_id, self.generation)));
        self.open_ids.insert(request.id);
        let (id, content_type, part) = (request.id, &request.content_type, request.part);
        let (object_id, ms) = (request.object, request.timeout_ms);
        log::debug!(target: TRACE, "{id} accepted from client {client}: {content_type} {object_id} part {part} in {ms} ms");
        let memory_bytes = Self::memory_of(&request);
        self.request_bytes += memory_bytes;
        self.clients.request_opened(client, tag, request_id, memory_bytes);
        let (generation, attempts) = (self.generation, Vec::new());
        self.pending.put(
            request_id.0,
            PendingRequest {
                generation,
                client,
                tag,
                request,
                memory_bytes,
                deadline,
                routing_request: None,
                expects_copy,
                at_most_once,
                awaiting_answer: true,
                attempts,
            },
        );
        self.owed_answers += 1;
        (request_id, object, deadline)
    }

    /// The generation of an open request; 0 if there is none in this slot.
    pub fn generation_of(&self, request_id: RequestId) -> u64 {
        self.pending.get(request_id.0).map_or(0, |pending| pending.generation)
    }

    /// When the client of an open request stops waiting for its answer.
    pub fn deadline_of(&self, request_id: RequestId) -> Option<Nanos> {
        self.pending.get(request_id.0).map(|pending| pending.deadline)
    }

    /// The object, the part and the tag of the client's cached copy that an open request names.
    pub fn requested_copy(&self, request_id: RequestId) -> Option<(Hex, u64, Option<Hex>)> {
        self.pending
            .get(request_id.0)
            .map(|pending| (pending.request.object, pending.request.part, pending.request.cached_tag))
    }

    /// Stores the form in which the request is passed to the routing policy.
    pub fn set_routing_request(&mut self, routing_request: &RoutingRequest) {
        if let Some(pending) = self.pending.get_mut(routing_request.request_id.0) {
            pending.routing_request = Some(*routing_request);
        }
    }

    /// Whether a request with this id is open.
    pub fn is_open(&self, id: Hex) -> bool {
        self.open_ids.contains(&id)
    }

    /// Records that a request needs no answer any more; returns the client's connection and tag if it still
    /// did.
    fn mark_answered(&mut self, request_id: RequestId) -> Option<(u32, u64)> {
        let pending = self.pending.get_mut(request_id.0).filter(|pending| pending.awaiting_answer)?;
        pending.awaiting_answer = false;
        self.owed_answers -= 1;
        if let Some(client) = self.clients.get_mut(pending.client) {
            client.open.remove(&pending.tag);
        }
        Some((pending.client, pending.tag))
    }

    /// Sends the final answer of a request; later calls do nothing.
    pub fn answer(&mut self, request_id: RequestId, answer: Answer<'_>) {
        if let Some(pending) = self.pending.get(request_id.0).filter(|pending| pending.awaiting_answer) {
            log::debug!(target: TRACE, "{} answered {}", pending.request.id, answer.word());
        }
        if let Some((client, tag)) = self.mark_answered(request_id) {
            let deadline = self.pending.get(request_id.0).map_or(self.now, |pending| pending.deadline);
            self.write_awaited(client, tag, answer, deadline);
            self.close_if_answered(client);
        }
    }

    /// Records that nobody waits for a request any more; returns whether somebody did.
    pub fn abandon(&mut self, request_id: RequestId) -> bool {
        self.mark_answered(request_id).is_some()
    }

    /// Whether the request in this slot still has this generation and awaits its answer.
    pub fn awaits_answer(&self, request_id: RequestId, generation: u64) -> bool {
        self.pending
            .get(request_id.0)
            .is_some_and(|pending| pending.awaiting_answer && pending.generation == generation)
    }

    /// The requests that await their answer, with their generations.
    pub fn requests_awaiting_answer(&self) -> Vec<(RequestId, u64)> {
        let awaiting = self.pending.iter().filter(|pending| pending.awaiting_answer);
        awaiting
            .filter_map(|pending| {
                self.request_ids.get(&pending.generation).map(|slot| (RequestId(slot), pending.generation))
            })
            .collect()
    }

    /// The number of attempts in flight at a node, including those that it fills as their source.
    pub fn in_flight_at(&self, node: NodeId) -> u32 {
        let entry =
            self.pending.iter().flat_map(|pending| &pending.attempts).filter(|attempt| attempt.in_flight);
        entry.filter(|entry| entry.attempt.node == node || entry.attempt.source == node).count() as u32
    }

    /// Whether no request awaits an answer and all answers have left.
    pub fn is_drained(&self) -> bool {
        self.owed_answers == 0 && self.clients.unsent() == 0
    }

    /// A request has timed out: its attempts in flight end unanswered.
    pub fn expire(&mut self, request_id: RequestId) {
        let attempts = self.pending.get(request_id.0).map_or(0, |pending| pending.attempts.len());
        for number in 0..attempts as u32 {
            self.abort_attempt(AttemptId { request_id, number }, Outcome::TimedOut);
        }
    }

    /// Retracts the unsent attempts of a request for which nobody waits, also where attempts in flight are
    /// not cancelled.
    pub fn drop_unsent(&mut self, request_id: RequestId) {
        self.retract_unsent_where(|attempt, _, _| attempt.request_id == request_id);
    }

    /// Whether an attempt is still in flight and its request has this generation.
    pub fn is_in_flight(&self, attempt: AttemptId, generation: u64) -> bool {
        self.in_flight_attempt(attempt, generation).is_some()
    }

    /// The attempt, if it is still in flight and its request has this generation.
    fn in_flight_attempt(&self, attempt: AttemptId, generation: u64) -> Option<&AttemptEntry> {
        let pending =
            self.pending.get(attempt.request_id.0).filter(|pending| pending.generation == generation)?;
        pending.attempts.get(attempt.number as usize).filter(|entry| entry.in_flight)
    }

    /// The time until which an attempt may be sent has passed: it is retracted unless it has left completely.
    pub fn send_deadline_passed(&mut self, attempt: AttemptId, generation: u64) {
        let Some(connection) = self.in_flight_attempt(attempt, generation).map(|entry| entry.connection)
        else {
            return;
        };
        self.retract_unsent_where(|other, _, _| *other == attempt);
        // Part of it has left, and the node must not receive the rest.
        if self.nodes.is_partly_written(connection, attempt) {
            self.node_closed(connection);
        }
    }
}
