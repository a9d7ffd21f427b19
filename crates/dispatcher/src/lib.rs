//! The dispatcher on sockets: one reducer makes every state change and calls the decisions; the event loop
//! carries sockets, timers and signals to it and carries out the effects that it asks for.

// Not yet: `event_loop::serve` is still one function.
#![allow(clippy::too_many_lines)]

pub mod agreed;
pub mod attempt;
pub mod changes;
pub mod clients;
pub mod clock;
pub mod config;
pub mod copies;
pub mod deadlines;
pub mod effects;
pub mod event_loop;
pub mod freshness;
pub mod last_list;
pub mod lingering;
pub mod logs;
pub mod nodes;
pub mod outside_time;
pub mod phases;
pub mod purge_cover;
pub mod reducer;
pub mod request_table;
pub mod rules_text;
pub mod snapshot_writer;
