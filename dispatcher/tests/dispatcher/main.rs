//! The reducer by hand, and the program on loopback sockets.

mod agreed;
mod common;
mod copies;
mod growth;
mod last_list;
mod loopback;
mod reducer;
mod rules_text;
mod run_line;
mod storm;
