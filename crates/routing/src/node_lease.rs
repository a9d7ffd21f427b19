//! Leases on nodes while the change log is not heard: a node is sent new work only for as long as something vouches that it
//! does not drain. While the change log is heard that is the list; after that only the node's own answers. A node that
//! took work, or said when probed that it takes some, was not draining as it was asked; one that refused may be full, or may
//! drain, and is left out until it has taken something that was sent later.
//!
//! Probes are bounded for all dispatchers together. Where that leaves too few to keep leases alive, a node that has shown
//! nothing stays in use, and only what it refuses counts.

use crate::interface::Nanos;

/// Probes a second that one node gets from all dispatchers that ask it.
const PROBES_BORNE_PER_S: f64 = 30.0;
/// Probes a second that one dispatcher makes.
const PROBES_MADE_PER_S: f64 = 100.0;
/// A lease is renewed so many times within its span.
const RENEWALS: u64 = 3;

/// What a node has shown of whether it takes work. Times are those at which it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NodeLease {
    took: Option<Nanos>,
    refused: Option<Nanos>,
}

impl NodeLease {
    /// It has taken what was sent to it then, or said that it would.
    pub fn took(&mut self, sent: Nanos) {
        self.took = self.took.max(Some(sent));
    }

    /// It has refused what was sent to it then, or said that it would.
    pub fn refused(&mut self, sent: Nanos) {
        self.refused = self.refused.max(Some(sent));
    }

    /// Whether it has shown anything.
    pub fn has_shown(&self) -> bool {
        self.took.is_some() || self.refused.is_some()
    }

    /// Whether it has refused since the list was known, and taken nothing that was sent later.
    pub fn is_refused(&self, list_known_until: Nanos) -> bool {
        self.refused >= self.took && self.refused.is_some_and(|at| at >= list_known_until)
    }

    /// Until when it may be sent work, by what it has shown and by the list, which holds until `list_holds_until`.
    pub fn ends(&self, list_holds_until: Nanos, span: Nanos) -> Nanos {
        self.took.map_or(list_holds_until, |took| list_holds_until.max(took.after(span)))
    }
}

/// For how long leases are given, and how often they are renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// After it took work a node is sent more for so long.
    pub span: Nanos,
    /// Nodes are probed so often.
    pub probe_every: Nanos,
    /// A node whose lease has ended is left out: probes are frequent enough to keep those of nodes that answer.
    pub is_strict: bool,
}

impl LeaseTerms {
    /// For nodes that must get nothing later than `span` after they drain, each of which so many dispatchers ask, and so
    /// many of which this one asks.
    pub fn new(span: Nanos, may_probe: bool, sharers: u32, nodes: usize) -> Self {
        let borne = f64::from(sharers) / PROBES_BORNE_PER_S;
        let made = nodes as f64 / PROBES_MADE_PER_S;
        let wanted = Nanos(span.0 / RENEWALS);
        let probe_every = wanted.max(Nanos::from_secs(borne.max(made)));
        LeaseTerms { span, probe_every, is_strict: may_probe && Nanos(2 * probe_every.0) <= span }
    }
}
