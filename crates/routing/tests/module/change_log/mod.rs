//! Following the change log: selection of replicas, merging of two streams, lateness, and staleness of the knowledge.

mod knowledge;
mod lateness;
mod merge;
mod merge_heartbeats;
mod merge_play;
mod random;
mod selection;
