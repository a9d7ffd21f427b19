//! Parsing and decisions of fault plans, and the preloaded library in a real process.

mod plan;
mod process;
