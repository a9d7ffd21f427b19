//! The reducer by hand, and the program on loopback sockets.

mod agreed;
mod clients;
mod common;
mod copies;
mod growth;
mod last_list;
mod life;
mod loopback;
mod pulls;
mod rules_text;
mod run_line;
mod storm;
