//! Preloaded into a process of a test, takes libc's place for some system calls and makes them fail as the plan in
//! `COPPERROUTE_FAULTS` says. Without a plan every call goes through.
//!
//! # Unsafe code
//! The one crate of the workspace that may hold it: what takes the place of C functions is called by C's rules, has to
//! find the real functions by `dlsym`, and is handed raw pointers. No program that serves depends on it; each block says
//! why it holds. Only linked as the library that tests preload.

// What takes the place of functions of libc is reached by its symbol.
#![allow(unreachable_pub)]

mod descriptor;
mod files;
mod real;
mod session;
mod sockets;
mod transfers;
mod wall_clock;
