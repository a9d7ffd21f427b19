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
pub mod external_time;
pub mod freshness;
pub mod lingering;
pub mod logs;
pub mod node_list_snapshot;
pub mod nodes;
pub mod phases;
pub mod purge_coverage;
pub mod reducer;
pub mod request_table;
pub mod rules_text;
pub mod snapshot_writer;
