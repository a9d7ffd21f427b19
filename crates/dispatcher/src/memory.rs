//! Shares the memory limit of the process among what it holds for its peers: output that clients have not taken, input
//! and open requests of clients, and incomplete answers of nodes. The rest is left to the process's own tables.
//!
//! When memory gets short, new work gives way, never what was taken: first requests of clients that hold much, then all
//! requests that would not fit, each with the answer that it has not run. A body that does not fit is dropped as it
//! arrives. Nodes are not read while clients take too little. While their incomplete answers take too much, the
//! connection whose answer began first is closed, and its requests get another attempt or fail.
//!
//! Among clients, each may hold as much more as is free altogether (dynamic thresholds for shared buffers, Choudhury and
//! Hahne, 1998): many that hold much leave a part free, which one that holds little can use.
//!
//! No I/O. *Owner*: the request table, which reports what is held.

/// Bytes of a MB. The shares leave more than the difference to 10^6 bytes.
const MB: u64 = 1024 * 1024;
/// One part in this many of the memory is for output that waits for clients.
const OUTPUT_DIVISOR: u64 = 4;
/// The same for input of clients and open requests.
const REQUEST_DIVISOR: u64 = 4;
/// The same for incomplete answers of nodes.
const NODE_INPUT_DIVISOR: u64 = 6;
/// What an open request takes besides its body: its entries in the tables, its attempts and timers.
pub const OPEN_REQUEST_BYTES: u64 = 768;

/// The shares of the memory limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    /// For output that waits for clients.
    pub output: u64,
    /// For input of clients and open requests.
    pub requests: u64,
    /// For incomplete answers of nodes.
    pub node_input: u64,
}

impl MemoryBudget {
    /// The shares of a limit of this many MB.
    pub fn new(memory_mb: u64) -> Self {
        let limit = memory_mb * MB;
        MemoryBudget {
            output: limit / OUTPUT_DIVISOR,
            requests: limit / REQUEST_DIVISOR,
            node_input: limit / NODE_INPUT_DIVISOR,
        }
    }

    /// Whether a client that holds `held_by_client` of the `held` bytes for requests may hold `needed` more.
    pub fn admits_request(&self, held: u64, held_by_client: u64, needed: u64) -> bool {
        held_by_client.saturating_add(needed) <= self.requests.saturating_sub(held)
    }

    /// Whether a client with `unsent` of the `all_unsent` bytes that wait for clients is to cause no more of them.
    pub fn is_output_short(&self, all_unsent: u64, unsent: u64) -> bool {
        all_unsent > self.output / 2 && unsent > self.output.saturating_sub(all_unsent)
    }
}
