//! Node connections: a few for each node, shared by its pulls.

use copperroute::interface::{DlId, Nanos, NodeId, Readiness};
use copperroute_protocol::nodes::Decoder;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

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
pub struct Written {
    /// Whose it is; nobody's once it was given up.
    pub pull: Option<PullRef>,
    /// When it was written.
    pub at: Nanos,
    /// The place in the connection's bytes behind its last.
    pub end: u64,
    /// When its download expires: after that its id does not come again.
    pub expires: Nanos,
}

/// One connection to a node.
#[derive(Debug)]
pub struct Connection {
    /// The node.
    pub node: NodeId,
    /// The connection has come up.
    pub up: bool,
    /// It takes no further pulls.
    pub retired: bool,
    /// Decodes what the node answers.
    pub decoder: Decoder,
    /// Pulls not yet written.
    pub waiting: VecDeque<PullRef>,
    /// Pulls written and not yet answered.
    pub out: HashMap<String, Written>,
    /// How many of those still are somebody's.
    pub live: usize,
    /// Bytes given to the connection, and those that have left.
    pub queued: u64,
    pub written: u64,
    /// When the node last finished an answer on it; before that, when it came up. Half an answer and then
    /// silence would hold up all that is asked for behind it.
    pub answered: Nanos,
    /// When it last carried anything.
    pub used: Nanos,
}

impl Connection {
    /// A connection that is being made.
    pub fn new(node: NodeId, now: Nanos) -> Self {
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
            used: now,
        }
    }

    /// The pulls that it carries or will carry.
    pub fn load(&self) -> usize {
        self.waiting.len() + self.live
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
}
