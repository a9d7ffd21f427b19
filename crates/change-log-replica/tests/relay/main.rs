//! Tests of the replica: its parts, traces of its core, several replicas and a change log on one simulated clock under
//! random faults, and the event loop on loopback sockets.

mod common;
mod config;
mod core;
mod cycles;
mod followers;
mod heartbeat;
mod lines;
mod network;
mod random;
mod retention;
mod snapshot;
mod socket_errors;
mod sockets;
