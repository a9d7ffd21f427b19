//! How one dispatcher follows two replicas of the change log: which two ([`selection`]), and what counts of that which
//! both tell ([`merge`]). No input or output; time comes with each call. See docs/change-log.md.

mod digests;
mod heartbeat;
mod held;
pub mod merge;
pub mod selection;

pub use heartbeat::Heartbeats;
pub use merge::{Arrival, Content, Heartbeat, Merge, Reason, Step};
pub use selection::{Replica, followed, most_followers};
