//! The door of one instance: wire ids to small indices and back, and the lines that it sends.

use copperroute_routing::interface::{Actions, Attempt, Nanos, NodeId, ObjectId, RequestId};
use copperroute_routing::structures::ids::Ids;
use std::fmt::Write as _;

/// What one instance knows of the wire's ids.
pub(crate) struct StdioTransport {
    instance: u32,
    request_ids: Ids<u64>,
    objects: Ids<(String, u64)>,
    nodes: Ids<String>,
    /// Lines not yet written.
    pub lines: String,
}

impl StdioTransport {
    pub(crate) fn new(instance: u32) -> Self {
        let (request_ids, objects, nodes) = (Ids::default(), Ids::default(), Ids::default());
        StdioTransport { instance, request_ids, objects, nodes, lines: String::new() }
    }

    /// A slot for a request that has just come.
    pub(crate) fn open(&mut self, id: u64) -> RequestId {
        RequestId(self.request_ids.get_or_assign(id))
    }

    /// The slot of a request, if it is still held.
    pub(crate) fn held(&self, id: u64) -> Option<RequestId> {
        self.request_ids.get(&id).map(RequestId)
    }

    pub(crate) fn object(&mut self, name: &str, part: u64) -> ObjectId {
        ObjectId(self.objects.get_or_assign((name.to_string(), part)))
    }

    /// The index of a node that was listed.
    pub(crate) fn held_node(&self, address: &str) -> Option<NodeId> {
        self.nodes.get(&address.to_string()).map(NodeId)
    }

    /// The index of a listed node, new or known.
    pub(crate) fn list_node(&mut self, address: &str) -> NodeId {
        NodeId(self.nodes.get_or_assign(address.to_string()))
    }
}

/// A span in seconds, or `-` for none.
struct Secs(Option<Nanos>);

impl std::fmt::Display for Secs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            None => f.write_str("-"),
            // A span never rounds down to 0, which the wire reads as none.
            Some(span) => write!(f, "{:.6}", span.secs().max(1e-6)),
        }
    }
}

/// Adds a line to the reply; writing to a string cannot fail.
macro_rules! say {
    ($transport:ident, $($parts:tt)*) => {{ let _ = writeln!($transport.lines, $($parts)*); }};
}

impl Actions for StdioTransport {
    fn attempt(&mut self, request_id: RequestId, attempt: &Attempt) {
        let manner = u32::from(attempt.join)
            + 2 * u32::from(attempt.held_only)
            + 4 * u32::from(attempt.no_parent_copy)
            + 8 * u32::from(attempt.renew);
        say!(
            self,
            "pull_via\t{}\t{}\t{}\t{manner}\t{}\t{}\t{}\t{}",
            self.instance,
            self.request_ids.key(request_id.0),
            Secs(attempt.time_limit),
            self.nodes.key(attempt.source.0),
            self.nodes.key(attempt.node.0),
            attempt.rank,
            Secs(attempt.max_age),
        );
    }

    fn cancel(&mut self, request_id: RequestId, number: u32) {
        say!(self, "revoke\t{}\t{}\t{number}", self.instance, self.request_ids.key(request_id.0));
    }

    fn reject(&mut self, request_id: RequestId, retry_after: Option<Nanos>) {
        say!(
            self,
            "not_now\t{}\t{}\t{}",
            self.instance,
            self.request_ids.key(request_id.0),
            Secs(retry_after)
        );
    }

    fn fail(&mut self, request_id: RequestId) {
        say!(self, "abort\t{}\t{}", self.instance, self.request_ids.key(request_id.0));
    }

    fn arm_timer(&mut self, span: Nanos, token: u64) {
        say!(self, "arm\t{}\t{}\t{token}", self.instance, Secs(Some(span)));
    }

    fn probe_load(&mut self, node: NodeId) {
        say!(self, "poll\t{}\t{}", self.instance, self.nodes.key(node.0));
    }

    fn subscribe_to_list(&mut self) {
        say!(self, "follow\t{}\t1", self.instance);
    }

    fn log_line(&mut self, line: &str) {
        say!(self, "note_down\t{}\t{line}", self.instance);
    }

    fn release(&mut self, request_id: RequestId) {
        self.request_ids.release(request_id.0);
    }

    fn release_object(&mut self, object: ObjectId) {
        self.objects.release(object.0);
    }
}
