//! The memory of the program on loopback sockets stays below its limit, whatever its peers do. A program of its own: what
//! other tests do beside it would disturb the measurement.

// Not all that the tests of `dispatcher` share is used here.
#[allow(dead_code)]
#[path = "../dispatcher/common.rs"]
mod common;
mod input;
mod memory_watch;
mod output;
#[allow(dead_code)]
#[path = "../dispatcher/rig.rs"]
mod rig;
