//! The change log on its way: two replicas, two dispatchers that each follow both, and what goes wrong between them.
//!
//! Real: what a dispatcher makes of two streams ([`copperroute_routing::change_log::Merge`], with its digests, what it holds back
//! and its judgement of heartbeats), and a replica's judgement of heartbeats
//! ([`copperroute_change_log_replica::heartbeat::Heartbeats`]). Abstract: the log, links, the rest of a replica (a last number, whether
//! it is current, whom it serves), calls (they may come at any second, or not at all) and a dispatcher's lease (renewed by
//! each heartbeat that the merge calls caught up).
//!
//! A step of time is a second. What is sent on a link that is not held arrives in the same second, in every ordering with
//! what other links carry; a held link carries nothing, then all at once.

mod dispatcher;
mod model;
mod parts;
mod searches;
mod world;
