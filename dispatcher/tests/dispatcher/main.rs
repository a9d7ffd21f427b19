//! The reducer by hand, and the program on loopback sockets.

mod agreed;
mod clients;
mod common;
mod copies;
mod crossings;
mod crossings_full;
mod deadlines;
mod driver;
#[path = "../../../store/tests/faulty/mod.rs"]
mod faulty;
mod fleet;
mod folders;
mod folders_place;
mod folders_process;
mod gone;
mod gone_sockets;
mod growth;
mod last_list;
mod life;
mod loopback;
mod pulls;
mod relay_process;
mod request_cost;
mod rig;
mod rules_text;
mod run_line;
mod storm;
mod system_calls;
mod two_streams;
mod two_streams_process;
mod two_streams_sum;
mod unsent;
