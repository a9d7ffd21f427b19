//! The decisions, as traces that people read.

// Not yet: the day of `largest` is still one function.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)]

mod change_log;
mod changed;
mod cold;
mod cold_fleet;
mod cold_sum;
mod common;
mod connection_back_off;
mod duplicate_filter;
mod failures;
mod largest;
mod listed;
mod ordinary;
mod overload_control;
mod overload_scenario;
mod purges;
mod reconnect_schedule;
mod repeats;
mod rules;
mod sizes;
mod spared;
mod structures;
mod unheard;
