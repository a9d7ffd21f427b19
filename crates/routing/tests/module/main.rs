//! The decisions, as traces that people read.

// Not yet: the day of `largest` is still one function.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)]

mod calls;
mod change_log;
mod changed;
mod cold;
mod cold_fleet;
mod cold_sum;
mod common;
mod conduct;
mod failures;
mod largest;
mod listed;
mod opening;
mod ordinary;
mod purges;
mod repeats;
mod rules;
mod sizes;
mod spared;
mod storm_day;
mod storms;
mod structures;
mod unheard;
