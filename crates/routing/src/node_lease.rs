//! Leases on nodes while knowledge of the change log is stale: a node is sent new work only while there is evidence
//! that it is not draining. While the change log is current, the node list is that evidence; after that, only the
//! node's own answers. A node that accepted work, or answered a probe that it does, was not draining when that was
//! sent. One that refused may be full or draining, and is excluded until it has accepted something that was sent
//! later.
//!
//! The rate of probes by all dispatchers together is bounded. If that allows too few to renew leases in time, leases
//! are not strict: a node without evidence stays in use, and only refusals count.

use crate::interface::Nanos;

/// Most probes a second that one node gets from all dispatchers that send to it.
const MAX_PROBES_PER_NODE_PER_S: f64 = 30.0;
/// Most probes a second that one dispatcher sends.
const MAX_PROBES_PER_DISPATCHER_PER_S: f64 = 100.0;
/// Number of times that a lease is renewed within its span, if the bounds on probes allow it.
const RENEWALS_PER_LEASE: u64 = 3;

/// Evidence of whether a node accepts work. Times are those at which the attempt or probe was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NodeLease {
    accepted: Option<Nanos>,
    refused: Option<Nanos>,
}

impl NodeLease {
    /// Records that the node accepted work, or answered a probe that it does.
    pub fn record_accepted(&mut self, sent: Nanos) {
        self.accepted = self.accepted.max(Some(sent));
    }

    /// Records that the node refused work, or answered a probe that it does.
    pub fn record_refused(&mut self, sent: Nanos) {
        self.refused = self.refused.max(Some(sent));
    }

    /// Whether there is any evidence.
    pub fn has_evidence(&self) -> bool {
        self.accepted.is_some() || self.refused.is_some()
    }

    /// Whether the node has refused since the node list was last current, and accepted nothing that was sent later.
    pub fn is_refused(&self, list_known_until: Nanos) -> bool {
        self.refused >= self.accepted && self.refused.is_some_and(|at| at >= list_known_until)
    }

    /// Until when the node may be sent work, by this evidence and by the node list, which is valid until
    /// `list_holds_until`.
    pub fn expires_at(&self, list_holds_until: Nanos, span: Nanos) -> Nanos {
        self.accepted.map_or(list_holds_until, |took| list_holds_until.max(took.after(span)))
    }
}

/// Duration of leases, and how often they are renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// A node may be sent work for this long after what it last accepted was sent.
    pub span: Nanos,
    /// Interval between probes of a node.
    pub probe_every: Nanos,
    /// Whether a node whose lease has expired is excluded. Only if probes are frequent enough to renew the leases of
    /// nodes that answer.
    pub is_strict: bool,
}

impl LeaseTerms {
    /// Terms for nodes that must get nothing later than `span` after they begin to drain. `sharers` is the number of
    /// dispatchers that probe each node, `nodes` the number of nodes that this dispatcher probes.
    pub fn new(span: Nanos, may_probe: bool, sharers: u32, nodes: usize) -> Self {
        let borne = f64::from(sharers) / MAX_PROBES_PER_NODE_PER_S;
        let made = nodes as f64 / MAX_PROBES_PER_DISPATCHER_PER_S;
        let wanted = Nanos(span.0 / RENEWALS_PER_LEASE);
        let probe_every = wanted.max(Nanos::from_secs(borne.max(made)));
        LeaseTerms { span, probe_every, is_strict: may_probe && Nanos(2 * probe_every.0) <= span }
    }
}
