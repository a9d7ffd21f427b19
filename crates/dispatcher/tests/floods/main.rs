//! The program on loopback sockets among clients that send at full speed. A program of its own: the floods would slow
//! the other tests.

// Not all that the tests of `dispatcher` share is used here.
#[allow(dead_code)]
#[path = "../dispatcher/common.rs"]
mod common;
mod floods;
#[allow(dead_code)]
#[path = "../dispatcher/rig.rs"]
mod rig;
