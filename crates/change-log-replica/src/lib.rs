//! A replica of the change log. It follows the change log or another replica in the change log's own protocol, and
//! sends what it receives to dispatchers and to other replicas. Event numbers and lines are unchanged, so that a
//! follower can continue at any other replica.
//!
//! [`core::Core`] makes the decisions without input or output: it takes events with the time of each, and returns
//! effects. [`event_loop`] connects it to sockets; [`event_loop::serve`] runs a replica from a [`config::Config`].
//! [`socket_errors`] and [`log_rate_limiter`] are also used by the dispatcher.

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
