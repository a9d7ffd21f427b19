//! The identity of one attempt: its request and its number. A module of its own because both effects and node
//! connections use it.

use copperroute_routing::interface::RequestId;

/// One attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request_id: RequestId,
    /// The number of the attempt, counted from 0 for each request.
    pub number: u32,
}
