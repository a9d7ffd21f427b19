//! A replica of the change log. It follows the change log, or another replica, in the protocol as it is, and serves what
//! it was told to dispatchers and to other replicas: event numbers and lines unchanged, so that any replica can carry on
//! where another left off.
//!
//! [`core::Core`] decides without input or output: events in, effects out, the time with each event.
//! [`event_loop`] carries them to and from sockets.

pub mod config;
pub mod core;
pub mod event_loop;
pub mod faults;
pub mod followers;
pub mod heartbeat;
pub mod lines;
pub mod log_rate_limiter;
pub mod retention;
pub mod snapshot;
pub mod socket_errors;
pub mod sources;
