//! Node connections: a few for each node, shared by its attempts.

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

/// Bytes of attempts handed to a connection at once; what waits longer can still be dropped unsent.
const GATHERED: usize = 16 * 1024;
/// An answer of which nothing more comes for so long holds up all that is out behind it.
const STUCK: Nanos = Nanos(400_000_000);

/// A connection that carried nothing for so long may be closed by its node just as the next attempt is written,
/// which may then have run.
const RESTED: Nanos = Nanos(20_000_000);
/// Attempts of one request on one connection, the second after the first was answered.
const MOST_USES: u8 = 2;
/// That a node has gone is told so long after another is at its address, at the latest; until then it is left out.
const TOLD_AFTER: Nanos = Nanos(10_000_000_000);
/// After that has happened, connections that rested are not used for so long.
const DOUBT: Nanos = Nanos(10_000_000_000);

mod attempts;
mod connection;
mod connections;
mod list;
mod probes;

use connection::{Connection, Written};
pub use probes::ProbeCounts;
use probes::Probes;

/// A node's start, as the change log told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeStart {
    /// Its Unix millisecond.
    pub unix_ms: u64,
    /// When it was on the dispatcher's clock, as far as is known: no earlier than that for sure.
    pub at: Nanos,
    /// Its number can't be right: the start was heard of live, so `at` is when that was.
    pub is_doubted: bool,
}

/// A node's place in the list, and its connections.
#[derive(Debug)]
pub struct NodePool {
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its start, by which a later one under its id is told apart; none for long ago.
    pub start: Option<NodeStart>,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Its connections.
    pub connections: Vec<u32>,
    /// When it was last listed; once it has gone, since when.
    pub listed_at: Nanos,
    /// Whether it takes connections.
    pub back_off: NodeBackOff,
}

/// The nodes listed, those that left not long ago, and the connections to them.
#[derive(Debug)]
pub struct Nodes {
    limits: ConnectionLimits,
    /// With more connections than this in all, nodes get no second one.
    most: usize,
    ids: Ids<String>,
    pools: Slots<NodePool>,
    /// The nodes at each address, so that a line of the list is not compared with those of all others.
    addresses: BTreeSet<(SocketAddr, u32)>,
    connections: HashMap<u32, Connection>,
    last: u32,
    /// Nothing is read from them for now.
    held_back: bool,
    /// Connections that rested are not to be trusted until then.
    doubt: Nanos,
    complaints: LogRateLimiter,
    openings: ConnectionBackOff,
    /// Nodes that turned connections away, and until when none is opened there; not handed on yet.
    full: Vec<(NodeId, Nanos)>,
    probes: Probes,
}

impl Nodes {
    /// No nodes yet.
    pub fn new(limits: ConnectionLimits, most: usize, seed: u64) -> Self {
        Nodes {
            limits,
            most,
            ids: Ids::default(),
            pools: Slots::default(),
            addresses: BTreeSet::new(),
            connections: HashMap::new(),
            last: 0,
            held_back: false,
            doubt: Nanos::ZERO,
            complaints: LogRateLimiter::default(),
            openings: ConnectionBackOff::new(seed),
            full: Vec::new(),
            probes: Probes::default(),
        }
    }

    /// Nodes that have turned connections away since this was asked, and until when none is opened there.
    pub fn take_refusing_nodes(&mut self) -> Vec<(NodeId, Nanos)> {
        std::mem::take(&mut self.full)
    }

    /// Takes new limits.
    pub fn set_limits(&mut self, limits: ConnectionLimits, most: usize) {
        (self.limits, self.most) = (limits, most);
    }
}

/// What a node's bytes come to next.
#[derive(Debug)]
pub enum NextMessage {
    /// No whole answer yet.
    Incomplete,
    /// An answer, and the attempt that it ends.
    Answer(AttemptId, copperroute_protocol::nodes::Answer),
    /// A message that nobody waits for.
    Unmatched,
    /// A node says whether it takes work, as it was asked at this time.
    ProbeAnswer(NodeId, Nanos, bool),
    /// What can't be read.
    Unreadable,
}
