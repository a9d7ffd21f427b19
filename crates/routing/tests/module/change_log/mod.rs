//! Which replicas of the change log are followed, and what counts of that which two of them tell.

mod knowledge;
mod lateness;
mod merge;
mod merge_heartbeats;
mod merge_play;
mod random;
mod selection;
