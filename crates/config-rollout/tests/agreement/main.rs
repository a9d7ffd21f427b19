//! The agreement: what a rule is, what a version may say, on which rules a dispatcher acts, and every ordering in the
//! small.

mod common;
mod core;
mod every_ordering;
mod ordering_model;
mod rules;
