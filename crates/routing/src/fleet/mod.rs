//! Decisions that keep the whole fleet stable while each dispatcher sees only its own traffic: which requests are
//! admitted, how much cold nodes, the origin and the link are sent, and which connections are opened. The policy
//! (`src/policy/`) and the dispatcher call them. No I/O; time comes with each call.

pub mod admission_control;
pub mod bandwidth_share;
pub mod connection_back_off;
pub mod duplicate_filter;
pub mod origin_limiter;
pub mod overload_control;
pub mod slow_start;
