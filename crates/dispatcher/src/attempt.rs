//! The name of one attempt: which request it belongs to, and its number. It stands below effects and node connections, which
//! both speak of attempts.

use copperroute_routing::interface::RequestId;

/// One attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request_id: RequestId,
    /// The number of the attempt, counted from 0 for each request.
    pub number: u32,
}
