//! The actions of one simulated dispatcher as lines of the simulator's protocol.
//!
//! [`StdioTransport`] maps the protocol's ids to the small indices that the routing policy uses, and back. The policy
//! calls it through [`Actions`]; each action appends a line to [`StdioTransport::lines`], which `wire` sends.

use copperroute_routing::interface::{Actions, Attempt, Nanos, NodeId, ObjectId, RequestId};
use copperroute_routing::structures::ids::Ids;
use std::fmt::Write as _;

/// The ids and unsent lines of one simulated dispatcher.
pub(crate) struct StdioTransport {
    dispatcher: u32,
    request_ids: Ids<u64>,
    objects: Ids<(String, u64)>,
    nodes: Ids<String>,
    /// Lines not yet written.
    pub lines: String,
}

impl StdioTransport {
    pub(crate) fn new(dispatcher: u32) -> Self {
        let (request_ids, objects, nodes) = (Ids::default(), Ids::default(), Ids::default());
        StdioTransport { dispatcher, request_ids, objects, nodes, lines: String::new() }
    }

    /// Assigns an index to a new request.
    pub(crate) fn assign_request(&mut self, id: u64) -> RequestId {
        RequestId(self.request_ids.get_or_assign(id))
    }

    /// The index of a request that has not been released.
    pub(crate) fn find_request(&self, id: u64) -> Option<RequestId> {
        self.request_ids.get(&id).map(RequestId)
    }

    /// The index of a part of an object, assigned on first use.
    pub(crate) fn assign_object(&mut self, name: &str, part: u64) -> ObjectId {
        ObjectId(self.objects.get_or_assign((name.to_string(), part)))
    }

    /// The index of a node that has been in a node list.
    pub(crate) fn find_node(&self, address: &str) -> Option<NodeId> {
        self.nodes.get(&address.to_string()).map(NodeId)
    }

    /// The index of a listed node, assigned when it is first listed.
    pub(crate) fn assign_node(&mut self, address: &str) -> NodeId {
        NodeId(self.nodes.get_or_assign(address.to_string()))
    }
}

/// Formats a time span in seconds with six decimals; `-` stands for none.
struct OptionalSecs(Option<Nanos>);

impl std::fmt::Display for OptionalSecs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            None => f.write_str("-"),
            // At least a microsecond: the simulator reads 0 as none.
            Some(span) => write!(f, "{:.6}", span.secs().max(1e-6)),
        }
    }
}

/// Appends a line to the reply; writing to a string cannot fail.
macro_rules! push_line {
    ($transport:ident, $($parts:tt)*) => {{ let _ = writeln!($transport.lines, $($parts)*); }};
}

impl Actions for StdioTransport {
    fn attempt(&mut self, request_id: RequestId, attempt: &Attempt) {
        let flags = u32::from(attempt.join)
            + 2 * u32::from(attempt.held_only)
            + 4 * u32::from(attempt.no_parent_copy)
            + 8 * u32::from(attempt.renew);
        push_line!(
            self,
            "pull_via\t{}\t{}\t{}\t{flags}\t{}\t{}\t{}\t{}",
            self.dispatcher,
            self.request_ids.key(request_id.0),
            OptionalSecs(attempt.time_limit),
            self.nodes.key(attempt.source.0),
            self.nodes.key(attempt.node.0),
            attempt.rank,
            OptionalSecs(attempt.max_age),
        );
    }

    fn cancel(&mut self, request_id: RequestId, number: u32) {
        push_line!(self, "revoke\t{}\t{}\t{number}", self.dispatcher, self.request_ids.key(request_id.0));
    }

    fn reject(&mut self, request_id: RequestId, retry_after: Option<Nanos>) {
        push_line!(
            self,
            "not_now\t{}\t{}\t{}",
            self.dispatcher,
            self.request_ids.key(request_id.0),
            OptionalSecs(retry_after)
        );
    }

    fn fail(&mut self, request_id: RequestId) {
        push_line!(self, "abort\t{}\t{}", self.dispatcher, self.request_ids.key(request_id.0));
    }

    fn arm_timer(&mut self, span: Nanos, token: u64) {
        push_line!(self, "arm\t{}\t{}\t{token}", self.dispatcher, OptionalSecs(Some(span)));
    }

    fn probe_load(&mut self, node: NodeId) {
        push_line!(self, "poll\t{}\t{}", self.dispatcher, self.nodes.key(node.0));
    }

    fn subscribe_to_list(&mut self) {
        push_line!(self, "follow\t{}\t1", self.dispatcher);
    }

    fn log_line(&mut self, line: &str) {
        push_line!(self, "note_down\t{}\t{line}", self.dispatcher);
    }

    fn release(&mut self, request_id: RequestId) {
        self.request_ids.release(request_id.0);
    }

    fn release_object(&mut self, object: ObjectId) {
        self.objects.release(object.0);
    }
}
