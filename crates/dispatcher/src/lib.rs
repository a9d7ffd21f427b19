//! The dispatcher process. The event loop ([`event_loop`]) turns sockets, timers and signals into events, the
//! reducer ([`reducer`]) makes every state change and calls the routing policy, and the event loop carries
//! out the effects that the reducer returns.

pub mod accept_backlog;
pub mod agreed;
pub mod attempt;
pub mod changes;
pub mod clients;
pub mod clock;
pub mod config;
pub mod deadlines;
pub mod due_timers;
pub mod effects;
pub mod event_loop;
pub mod external_time;
pub mod freshness;
pub mod input_queue;
pub mod lingering;
pub mod local_cache;
pub mod logs;
pub mod memory;
pub mod node_list_snapshot;
pub mod nodes;
pub mod phases;
pub mod purge_coverage;
pub mod reducer;
pub mod request_table;
pub mod rules_text;
pub mod snapshot_writer;
