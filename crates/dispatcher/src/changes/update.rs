//! The settings and updates of the change log client, and the conversion of events to the form that the merge
//! takes.

use copperroute_protocol::changes::Change;
use copperroute_routing::change_log::{Arrival, Content};
use copperroute_routing::interface::{Nanos, stable_hash};
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use std::net::SocketAddr;

/// An update, in the order in which updates are to be applied.
#[derive(Debug)]
pub enum ChangeLogUpdate {
    /// An event. With `after_gap`, events before it were not delivered, and its content replaces them.
    Change {
        /// The content of the event.
        change: Box<Change>,
        /// Events before it were not delivered.
        after_gap: bool,
    },
    /// The stricter part of a second content of an event that was already delivered.
    Restriction {
        /// The restrictive content.
        change: Box<Change>,
    },
    /// A heartbeat, sent every second.
    Heartbeat {
        /// Everything that the change log has was delivered.
        caught_up: bool,
    },
}

/// Settings of the change log client.
#[derive(Debug, Clone)]
pub struct ChangeLogSettings {
    /// The address at which the log is followed, or those of two replicas.
    pub addresses: Vec<SocketAddr>,
    /// The number of the last event that is known at the start.
    pub applied: u64,
    /// Settings of reconnecting.
    pub calls: ReconnectSettings,
    /// Seed for the times at which connections are opened.
    pub seed: u64,
    /// The Unix time, in nanoseconds, at which the dispatcher's clock shows zero.
    pub unix_zero: u64,
    /// How long a line may take to arrive.
    pub slack: Nanos,
    /// Whether a restart of a single log, with lower numbers, is to be detected; with two replicas it always
    /// is.
    pub detects_log_restart: bool,
}

/// An event as the merge takes it. Its digest, by which contents under one number are compared, is needed
/// only if there are several streams (`compared`).
pub(super) fn arrival(change: Box<Change>, compared: bool) -> Arrival<Box<Change>> {
    let number = change.seq;
    let snapshot = change.fleet.as_ref().is_some_and(|fleet| fleet.full);
    let says_nothing = change.fleet.is_none() && change.invalidate.is_none() && change.rules.is_none();
    let text = if compared { serde_json::to_vec(&change).unwrap_or_default() } else { Vec::new() };
    let digest = (compared && !snapshot && !says_nothing).then(|| stable_hash(&text));
    let content = if snapshot { Content::Snapshot(change) } else { Content::Delta(change) };
    Arrival { number, bytes: text.len(), digest, content }
}
