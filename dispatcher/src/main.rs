//! `copperroute`: the dispatcher on sockets.

use clap::{Parser, Subcommand};
use copperroute_dispatcher::{config, event_loop};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Traffic router of a two-tier cache")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves clients until SIGTERM; reads its configuration again at SIGHUP.
    Serve {
        /// The configuration file.
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
    },
    /// Reads a configuration, says what is wrong with it, and ends.
    Check {
        /// The configuration file.
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
    },
    /// Prints the version.
    Version,
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Version => println!("copperroute {}", env!("CARGO_PKG_VERSION")),
        Command::Check { config } => {
            let read = config::Config::read(&config)?;
            println!(
                "{}: {} on {}, {} events known",
                config.display(),
                read.name,
                read.listen,
                read.known.results.len()
            );
        }
        Command::Serve { config } => event_loop::serve(&config)?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("copperroute: {fault}");
            ExitCode::FAILURE
        }
    }
}
