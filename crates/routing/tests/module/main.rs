//! Tests of the routing decisions. Most print them as traces and compare these with expected ones.

// The simulation in `large_objects` is still one long function.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)]

mod change_log;
mod common;
mod connection_back_off;
mod duplicate_filter;
mod execution_model;
mod execution_tracking;
mod failures;
mod large_objects;
mod listed_nodes;
mod node_capacity;
mod origin_limits;
mod overload_control;
mod overload_scenario;
mod purges;
mod reconnect_schedule;
mod request_path;
mod retry_safety;
mod safety_rules;
mod settings_changes;
mod slow_start;
mod slow_start_bound;
mod slow_start_fleet;
mod staleness;
mod structures;
