//! Tests of the rules, of the checks on versions, of which rules a dispatcher applies, and a model checker's run
//! through every ordering of a small system.

mod common;
mod core;
mod every_ordering;
mod ordering_model;
mod rules;
