//! A library that tests preload into a process. It replaces libc's functions for some system calls and makes them fail
//! according to the plan in `COPPERROUTE_FAULTS`. Without a plan every call is passed on.
//!
//! # Unsafe code
//! This is the only crate of the workspace that may contain unsafe code: a replacement for a C function is called by
//! C's conventions, receives raw pointers and must find the real function with `dlsym`. No program that serves depends
//! on this crate; only tests load it. Each unsafe block states why it is sound.

// The replacements of libc's functions are reached by their symbols.
#![allow(unreachable_pub)]

mod descriptor;
mod files;
mod real;
mod session;
mod sockets;
mod transfers;
mod wall_clock;
