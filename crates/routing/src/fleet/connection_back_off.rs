//! Connection back-off: whether one more connection to a node may be opened, and for how long none is after the node has
//! refused some. No I/O; time comes with each call, random numbers from a seed. See docs/cold-start.md.
//!
//! A host bears so many connections held and so many new ones a second, and tells nobody how many. Of hundreds of
//! dispatchers each sees only whether its own are taken: what is turned away counts for the host like what it takes, so
//! that trying again at once keeps it full for ever (measured, docs/cold-start.md). So each waits longer the more often
//! it was turned away in a row, by chance, until its own is taken; and while any node turns some away the dispatcher
//! holds one connection to each node, since the others need as much.

use crate::interface::{Nanos, mix};
use crate::structures::random::Random;

/// Connections to one node while none is turned away: what is on one ends with it.
const HELD: usize = 4;
/// A single one that ends with nothing heard may be a node that fell: from this many in a row on it turns away.
const ROW: u32 = 2;
/// The wait after that, doubling with each in a row, and the longest.
const WAIT: Nanos = Nanos(200_000_000);
const LONGEST: Nanos = Nanos(25_600_000_000);
/// After one was turned away connections are spared for so long.
const SPARED: Nanos = Nanos(60_000_000_000);

/// The back-off state of one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeBackOff {
    /// Consecutive refusals.
    refusals: u32,
    /// No connection is opened before this time.
    until: Nanos,
}

impl NodeBackOff {
    /// The node has answered on a connection: it was accepted.
    pub fn accepted(&mut self) {
        *self = NodeBackOff::default();
    }
}

/// The connection limits of one dispatcher over all nodes.
#[derive(Debug)]
pub struct ConnectionBackOff {
    random: Random,
    spared_until: Nanos,
}

impl ConnectionBackOff {
    /// No refusals yet.
    pub fn new(seed: u64) -> Self {
        ConnectionBackOff { random: Random::new(mix(seed)), spared_until: Nanos::ZERO }
    }

    /// Whether connections are spared: one for each node, for as long as it will do.
    pub fn limits_to_one(&self, now: Nanos) -> bool {
        now < self.spared_until
    }

    /// Whether one more may be opened to a node to which so many are held.
    pub fn may_open(&self, now: Nanos, of: &NodeBackOff, held: usize) -> bool {
        let most = if self.limits_to_one(now) { 1 } else { HELD };
        held < most && of.until <= now && (held == 0 || of.refusals == 0)
    }

    /// One has come up and ended with nothing heard. Returns until when none is opened, if the node turns away.
    pub fn refused(&mut self, now: Nanos, of: &mut NodeBackOff) -> Option<Nanos> {
        of.refusals = of.refusals.saturating_add(1);
        let doubled = of.refusals.checked_sub(ROW)?;
        let longest = LONGEST.0.min(WAIT.0 << doubled.min(16));
        of.until = now.after(Nanos((longest as f64 * (0.5 + 0.5 * self.random.next_f64())) as u64));
        self.spared_until = now.after(SPARED);
        Some(of.until)
    }
}
