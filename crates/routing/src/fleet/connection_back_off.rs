//! Connection back-off: decides whether one more connection to a node may be opened, and how long to wait after the
//! node has refused connections. No I/O; time comes with each call, random numbers from a seed. See docs/cold-start.md.
//!
//! A host accepts a limited number of connections, and of new connections per second, and announces neither limit. Each
//! of hundreds of dispatchers sees only whether its own connections are accepted. A refused connection costs the host
//! as much as an accepted one, so immediate retries keep it overloaded forever (docs/cold-start.md). Each dispatcher
//! therefore waits longer with each consecutive refusal, with jitter, until a connection is accepted; and while any
//! node refuses connections it holds at most one connection to each node, since the other dispatchers need as many.

use crate::interface::{Nanos, mix};
use crate::structures::random::Random;

/// The most connections to one node while none is refused. There are several since the requests on a connection fail
/// with it.
const MAX_CONNECTIONS: usize = 4;
/// Consecutive refusals from which on back-off begins: a single connection that ends without an answer may be a node
/// that crashed.
const MIN_REFUSALS: u32 = 2;
/// The first wait, before jitter; it doubles with each further refusal, up to the longest.
const INITIAL_WAIT: Nanos = Nanos(200_000_000);
const MAX_WAIT: Nanos = Nanos(25_600_000_000);
/// How long after a refusal each node is limited to one connection.
const LIMITED_FOR: Nanos = Nanos(60_000_000_000);

/// The back-off state of one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeBackOff {
    /// Consecutive refusals.
    refusals: u32,
    /// No connection is opened before this time.
    until: Nanos,
}

impl NodeBackOff {
    /// The node has answered on a connection, so it was accepted.
    pub fn accepted(&mut self) {
        *self = NodeBackOff::default();
    }
}

/// The connection limits of one dispatcher over all nodes.
#[derive(Debug)]
pub struct ConnectionBackOff {
    random: Random,
    limited_until: Nanos,
}

impl ConnectionBackOff {
    /// No refusals yet.
    pub fn new(seed: u64) -> Self {
        ConnectionBackOff { random: Random::new(mix(seed)), limited_until: Nanos::ZERO }
    }

    /// Whether each node is limited to one connection, after a refusal by any node.
    pub fn limits_to_one(&self, now: Nanos) -> bool {
        now < self.limited_until
    }

    /// Whether one more connection may be opened to a node to which `open` connections are open.
    pub fn may_open(&self, now: Nanos, node: &NodeBackOff, open: usize) -> bool {
        let max = if self.limits_to_one(now) { 1 } else { MAX_CONNECTIONS };
        open < max && node.until <= now && (open == 0 || node.refusals == 0)
    }

    /// A connection was established and ended without an answer. Returns until when none is opened, if back-off has
    /// begun.
    pub fn refused(&mut self, now: Nanos, node: &mut NodeBackOff) -> Option<Nanos> {
        node.refusals = node.refusals.saturating_add(1);
        let doublings = node.refusals.checked_sub(MIN_REFUSALS)?;
        let wait = MAX_WAIT.0.min(INITIAL_WAIT.0 << doublings.min(16));
        node.until = now.after(Nanos((wait as f64 * (0.5 + 0.5 * self.random.next_f64())) as u64));
        self.limited_until = now.after(LIMITED_FOR);
        Some(node.until)
    }
}
