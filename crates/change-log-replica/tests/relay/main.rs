//! The replica: its parts alone, traces of its core, several of them and a change log on one clock under random faults,
//! and the program's loop on loopback sockets.

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
