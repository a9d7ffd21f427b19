//! Model of how the change log is delivered: two replicas, two dispatchers that each follow both, and failures between
//! them.
//!
//! Real code: how a dispatcher merges two streams ([`copperroute_routing::change_log::Merge`], with its digests, the
//! events that it buffers and how it evaluates heartbeats), and how a replica evaluates heartbeats
//! ([`copperroute_change_log_replica::heartbeat::Heartbeats`]). Abstract: the log, the links, the rest of a replica
//! (its last event number, whether it is current, which dispatchers it serves), reconnects (at any second, or never) and a
//! dispatcher's lease (renewed by each heartbeat that the merge reports as caught up).
//!
//! A time step is one second. A message on a link that is not held arrives in the second in which it was sent, in every
//! ordering with the messages of other links. A held link delivers nothing until it is released, then all its messages.

mod dispatcher;
mod model;
mod parts;
mod searches;
mod world;
