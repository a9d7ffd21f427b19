//! `copperroute-simulator-adapter`: the bench's wire on standard input and output, the decisions behind it.

// Not yet: `wire::event` is still one function.
#![allow(clippy::too_many_lines)]

mod stdio_transport;
mod wire;

use std::io::{self, BufWriter};

fn main() {
    let input = io::stdin().lock();
    let output = BufWriter::new(io::stdout().lock());
    if let Err(fault) = wire::serve(input, output) {
        eprintln!("copperroute-simulator-adapter: {fault}");
        std::process::exit(2);
    }
}
