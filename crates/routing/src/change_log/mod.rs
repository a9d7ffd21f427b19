//! How one dispatcher follows the change log, or two replicas of it: which two ([`selection`]), what counts of that which both
//! tell ([`merge`]), how late a stream is ([`lateness`]), and what may have been written that was not heard ([`knowledge`]).
//! No input or output; time comes with each call. See docs/change-log.md.

mod digests;
mod heartbeat;
mod held;
pub mod knowledge;
pub mod lateness;
pub mod merge;
pub mod selection;

pub use heartbeat::Heartbeats;
pub use knowledge::Knowledge;
pub use lateness::Lateness;
pub use merge::{Arrival, Content, Heartbeat, Merge, Reason, Step};
pub use selection::{Replica, expected_max_followers, select_replicas};
