//! Client connections: what is open on each, and what has not left yet.

use copperroute::interface::DlId;
use copperroute_protocol::clients::Decoder;
use std::collections::HashMap;

/// One connection of a client.
#[derive(Debug, Default)]
pub struct Client {
    /// Decodes what it sends.
    pub decoder: Decoder,
    /// Open downloads by tag.
    pub open: HashMap<u64, DlId>,
    /// Bytes given to the connection, and those that have left.
    pub queued: u64,
    pub written: u64,
    /// It reads so slowly that it is not read from either.
    pub held_back: bool,
}

impl Client {
    /// Bytes that have not left.
    pub fn unsent(&self) -> u64 {
        self.queued.saturating_sub(self.written)
    }

    /// Whether nothing is owed on it.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.unsent() == 0
    }
}
