//! The reducer by hand, and the program on loopback sockets.

mod common;
mod loopback;
mod reducer;
mod storm;
