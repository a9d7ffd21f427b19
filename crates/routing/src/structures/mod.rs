//! Data structures that decisions stand on: no I/O, no clock, bounded by what they are made with.

pub mod generational_map;
pub mod ids;
pub mod random;
pub mod recency_window;
pub mod ring_buffer;
pub mod timer_wheel;
