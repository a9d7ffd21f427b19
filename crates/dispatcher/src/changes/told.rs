//! What the change log is started with, what it tells, and an event in the form that the merge takes.

use copperroute_protocol::changes::Change;
use copperroute_routing::change_log::{Arrival, Content};
use copperroute_routing::interface::{Nanos, stable_hash};
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use std::net::SocketAddr;

/// What it tells, in order.
#[derive(Debug)]
pub enum ChangeLogUpdate {
    /// An event. Where `after_gap`, what lies between it and the one before was not told; what it brings stands for
    /// that.
    Change {
        /// What it says.
        change: Box<Change>,
        /// Events before it were not told.
        after_gap: bool,
    },
    /// The part of another content of an event before that is stricter than what was told.
    Restriction {
        /// What it says.
        change: Box<Change>,
    },
    /// A second's line; `caught_up` if all that it knows of has been handed on, and it knows of all that was.
    Heartbeat {
        /// All that was told has been handed on.
        caught_up: bool,
    },
}

/// What a dispatcher is started with.
#[derive(Debug, Clone)]
pub struct ChangeLogSettings {
    /// Where it is followed: at one address, or at two replicas.
    pub addresses: Vec<SocketAddr>,
    /// The number of the last event that is known.
    pub applied: u64,
    /// What is known of those who are called.
    pub calls: ReconnectSettings,
    /// What settles when they are called.
    pub seed: u64,
    /// The Unix time, in nanoseconds, at which the dispatcher's clock shows zero.
    pub unix_zero: u64,
    /// How long a line may take on its way.
    pub slack: Nanos,
    /// Whether it is looked for that a single log begins anew, with lower numbers; with two replicas it always is.
    pub detects_log_restart: bool,
}

/// An event as the merge takes it. What it says is told from other contents where there are streams to compare.
pub(super) fn arrival(change: Box<Change>, compared: bool) -> Arrival<Box<Change>> {
    let number = change.seq;
    let snapshot = change.fleet.as_ref().is_some_and(|fleet| fleet.full);
    let says_nothing = change.fleet.is_none() && change.invalidate.is_none() && change.rules.is_none();
    let text = if compared { serde_json::to_vec(&change).unwrap_or_default() } else { Vec::new() };
    let digest = (compared && !snapshot && !says_nothing).then(|| stable_hash(&text));
    let content = if snapshot { Content::Snapshot(change) } else { Content::Delta(change) };
    Arrival { number, bytes: text.len(), digest, content }
}
