//! `copperroute-simulator-adapter` lets a simulator run dispatchers' routing decisions.
//!
//! Input: the simulator's messages on standard input. Output: one reply to each batch on standard output. The program
//! ends with status 0 when the input ends between two batches, and with status 2 and an error line on standard error
//! when a line is malformed or a pipe fails.

// `wire::handle_event` is one long function with a match arm for each message.
#![allow(clippy::too_many_lines)]

mod stdio_transport;
mod wire;

use std::io::{self, BufWriter};

fn main() {
    let input = io::stdin().lock();
    let output = BufWriter::new(io::stdout().lock());
    if let Err(error) = wire::serve(input, output) {
        eprintln!("copperroute-simulator-adapter: {error}");
        std::process::exit(2);
    }
}
