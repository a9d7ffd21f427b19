//! Data structures used by decisions. They do no I/O and read no clock, and except [`ids`] and [`recency_window`] their
//! size is bounded on construction.

pub mod generational_map;
pub mod ids;
pub mod random;
pub mod recency_window;
pub mod ring_buffer;
pub mod timer_wheel;
