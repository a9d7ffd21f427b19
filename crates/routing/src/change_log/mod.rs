//! How one dispatcher follows the change log, through one or two replicas of it: which two ([`selection`]), how their
//! events become one sequence ([`merge`]), how late a stream is ([`lateness`]), and which events may have been written
//! but not received ([`knowledge`]). No I/O; time comes with each call. See docs/change-log.md.

mod digests;
mod heartbeat;
mod held_back;
pub mod knowledge;
pub mod lateness;
pub mod merge;
pub mod selection;

pub use heartbeat::Heartbeats;
pub use knowledge::Knowledge;
pub use lateness::Lateness;
pub use merge::{Arrival, Content, Heartbeat, Merge, Reason, Step};
pub use selection::{Replica, expected_max_followers, select_replicas};
