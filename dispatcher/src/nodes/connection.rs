//! One connection to a node, and what is on it.

use super::*;

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
pub(super) struct Written {
    /// Whose it is; nobody's once it was given up.
    pub(super) pull: Option<PullRef>,
    /// When it was written.
    pub(super) at: Nanos,
    /// The place in the connection's bytes behind its last.
    pub(super) end: u64,
    /// When its download expires: after that its id does not come again.
    pub(super) expires: Nanos,
}

/// One connection to a node.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) node: NodeId,
    /// The connection has come up.
    pub(super) up: bool,
    /// It takes no further pulls.
    pub(super) retired: bool,
    pub(super) decoder: Decoder,
    /// Pulls not yet written.
    pub(super) waiting: VecDeque<PullRef>,
    /// Pulls written and not yet answered, by the downloads' ids.
    pub(super) out: HashMap<Hex, Written>,
    /// How many of those still are somebody's.
    pub(super) live: usize,
    /// Bytes given to the connection, and those that have left.
    pub(super) queued: u64,
    pub(super) written: u64,
    /// When the node last finished an answer on it; before that, when it came up. Half an answer and then
    /// silence would hold up all that is asked for behind it.
    pub(super) answered: Nanos,
    /// It had rested when it was last written to, and nothing has come since.
    pub(super) after_rest: bool,
    /// Nothing has come on it yet.
    pub(super) unheard: bool,
    /// When it last carried anything, and when bytes last came.
    pub(super) used: Nanos,
    pub(super) heard: Nanos,
}

impl Connection {
    pub(super) fn new(node: NodeId, now: Nanos) -> Self {
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
    pub(super) fn load(&self) -> usize {
        self.waiting.len() + self.live
    }

    /// It carries nothing, and has not for a while.
    pub(super) fn has_rested(&self, now: Nanos) -> bool {
        self.up && self.load() == 0 && now.since(self.used) > RESTED
    }
}
