//! The connection to the change log.

use copperroute::interface::Nanos;
use copperroute_protocol::changes::Decoder;

/// A line comes each second; after this long without one the connection counts as dead.
pub const SILENT_AFTER: Nanos = Nanos(3_000_000_000);

/// The change log as this dispatcher follows it.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// The number of the last event that was applied.
    pub applied: u64,
    /// The number of the connection, raised each time it is made anew.
    pub connection: u32,
    /// Whether that connection is in use, made or being made.
    pub open: bool,
    /// The last word in the log was that it is lost.
    pub lost: bool,
    /// The number of an event that could not be used; if it comes so again, it is passed over.
    pub unusable: Option<u64>,
    /// When it last told anything.
    pub heard: Nanos,
    /// Decodes it.
    pub decoder: Decoder,
}
