//! Connections to nodes: which nodes are listed, a few connections for each of them, and the attempts and probes on
//! those connections. Inputs are the node list, ordered attempts, and what the event loop reports of connections;
//! outputs are effects for the event loop and decoded messages. `request_table` calls this module. No I/O; each call is
//! given the time.

pub use crate::attempt::AttemptId;
use crate::effects::{Effect, Peer, TimerKind};
use crate::logs::LogRateLimiter;
use copperroute_protocol::hex::Hex;
use copperroute_protocol::nodes::{Decoder, Fetch, Message, encode_abort, encode_fetch, encode_probe};
use copperroute_routing::fleet::connection_back_off::{ConnectionBackOff, NodeBackOff};
use copperroute_routing::interface::{Nanos, NodeId, Outcome, Readiness};
use copperroute_routing::state::Slots;
use copperroute_routing::structures::ids::Ids;
use copperroute_settings::ConnectionLimits;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// Bytes of attempts that are written to a connection at once. Attempts beyond that wait here, where they can still be
/// dropped unsent.
const MAX_BATCH_BYTES: usize = 16 * 1024;
/// A connection on which an answer has begun and nothing arrives for this long is closed: it would delay every attempt
/// behind that answer.
const STALL_TIMEOUT: Nanos = Nanos(400_000_000);

/// A connection that carried nothing for this long counts as idle. Its node may close it just as the next attempt is
/// written, and then it is unknown whether the attempt has run.
const IDLE_AFTER: Nanos = Nanos(20_000_000);
/// Limit on attempts of one request on one connection; the second is written only after the first was answered.
const MAX_ATTEMPTS_PER_ID: u8 = 2;
/// A node whose address now belongs to another node is excluded for this long. By then the change log has reported that
/// it has gone.
const REPLACED_NODE_EXCLUSION: Nanos = Nanos(10_000_000_000);
/// After an idle connection was closed under an attempt, idle connections are not reused for this long.
const IDLE_REUSE_PAUSE: Nanos = Nanos(10_000_000_000);

mod attempts;
mod connection;
mod connections;
mod list;
mod probes;

use connection::{Connection, WrittenAttempt};
pub use probes::ProbeCounts;
use probes::Probes;

/// The start of a node, as the change log reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeStart {
    /// The Unix time of the start, in milliseconds.
    pub unix_ms: u64,
    /// The latest possible time of the start on the dispatcher's clock. It moves back as more is known of the external
    /// time.
    pub at: Nanos,
    /// `unix_ms` can't be right. The start was reported live, so `at` is the time at which the report arrived.
    pub is_doubted: bool,
}

/// A node's entry in the node list, and its connections.
#[derive(Debug)]
pub struct NodePool {
    /// The address on which the node listens.
    pub address: Option<SocketAddr>,
    /// The node's start, which distinguishes a later start under the same id; `None` if it was long ago.
    pub start: Option<NodeStart>,
    /// Whether the node takes work.
    pub readiness: Readiness,
    /// The numbers of its connections.
    pub connections: Vec<u32>,
    /// When the node was last listed; once it is gone, when it left the list.
    pub listed_at: Nanos,
    /// The backoff for new connections to the node.
    pub back_off: NodeBackOff,
}

/// The listed nodes, those that left the list recently, and the connections to them.
#[derive(Debug)]
pub struct Nodes {
    limits: ConnectionLimits,
    /// With more connections than this in total, no node gets a second one.
    max_connections: usize,
    ids: Ids<String>,
    pools: Slots<NodePool>,
    /// The nodes by address, so that an entry of the list need not be compared with all others.
    addresses: BTreeSet<(SocketAddr, u32)>,
    connections: HashMap<u32, Connection>,
    last_number: u32,
    /// The memory that incomplete answers of all connections take, in bytes.
    input_bytes: u64,
    /// Reading from nodes is paused.
    reads_paused: bool,
    /// Idle connections are not reused until then.
    avoid_idle_until: Nanos,
    log_limiter: LogRateLimiter,
    back_off: ConnectionBackOff,
    /// Nodes that refused connections, and until when none is opened to them; not yet reported.
    refusing: Vec<(NodeId, Nanos)>,
    probes: Probes,
}

impl Nodes {
    /// No nodes yet.
    pub fn new(limits: ConnectionLimits, max_connections: usize, seed: u64) -> Self {
        Nodes {
            limits,
            max_connections,
            ids: Ids::default(),
            pools: Slots::default(),
            addresses: BTreeSet::new(),
            connections: HashMap::new(),
            last_number: 0,
            input_bytes: 0,
            reads_paused: false,
            avoid_idle_until: Nanos::ZERO,
            log_limiter: LogRateLimiter::default(),
            back_off: ConnectionBackOff::new(seed),
            refusing: Vec::new(),
            probes: Probes::default(),
        }
    }

    /// Returns the nodes that have refused connections since the last call, and until when none is opened to them.
    pub fn take_refusing_nodes(&mut self) -> Vec<(NodeId, Nanos)> {
        std::mem::take(&mut self.refusing)
    }

    /// Sets new limits.
    pub fn set_limits(&mut self, limits: ConnectionLimits, max_connections: usize) {
        (self.limits, self.max_connections) = (limits, max_connections);
    }
}

/// The next message of a node.
#[derive(Debug)]
pub enum NextMessage {
    /// No whole message has arrived yet.
    Incomplete,
    /// An answer, and the attempt that it ends.
    Answer(AttemptId, copperroute_protocol::nodes::Answer),
    /// A message for no open attempt or probe.
    Unmatched,
    /// Whether the node takes work, and when the probe that it answers was sent.
    ProbeAnswer(NodeId, Nanos, bool),
    /// The bytes can't be decoded; the connection must be closed.
    Unreadable,
}
