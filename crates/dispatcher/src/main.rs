//! The program `copperroute`: parses the command line and runs one command. `serve` runs a dispatcher and `relay` a
//! replica of the change log; the other commands check files or print what they contain.

use clap::{Args, Parser, Subcommand};
use copperroute_cache_store::disk::inspect;
use copperroute_cache_store::record::Head;
use copperroute_change_log_replica::config::Config as RelayConfig;
use copperroute_dispatcher::config::{AgreementConfig, Config, ConfigFiles};
use copperroute_dispatcher::{event_loop, logs, rules_text};
use copperroute_routing::change_log;
use copperroute_settings::operator::OperatorFile;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Traffic router of a two-tier cache")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct Files {
    /// The platform's configuration file.
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
    /// The operator's file (`copperroute schema` prints its schema); features that it does not name are off.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves clients until SIGTERM; reloads its files on SIGHUP.
    Serve(Files),
    /// Checks the files and prints a summary or the first error; exits with 0 if they are valid, else with 2.
    Check(Files),
    /// Inspects the disk tier of the local cache of a dispatcher that is not running.
    Store {
        #[command(subcommand)]
        what: StoreCommand,
    },
    /// Inspects rule versions on which dispatchers agree.
    Rules {
        #[command(subcommand)]
        what: RulesCommand,
    },
    /// Follows the change log, or another replica, and serves it to dispatchers and replicas until SIGTERM.
    Relay {
        /// The replica's configuration file (`copperroute schema --relay` prints its schema).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Prints the schema of the operator's file.
    Schema {
        /// Prints the schema of a replica's configuration file instead.
        #[arg(long)]
        relay: bool,
    },
    /// Prints the version.
    Version,
}

#[derive(Subcommand)]
enum StoreCommand {
    /// Reads all records; exits with 1 if one is corrupt.
    Check { folder: PathBuf },
    /// Prints the number of records by kind, and the bytes of copies.
    Stat { folder: PathBuf },
    /// Prints a line for each record.
    Dump { folder: PathBuf },
}

#[derive(Subcommand)]
enum RulesCommand {
    /// Prints every field of a version.
    Show {
        #[command(flatten)]
        files: Files,
        version: PathBuf,
    },
    /// Prints which rules change from one version to another, whether they become stricter or looser, and from when.
    Diff {
        #[command(flatten)]
        files: Files,
        /// The file of the earlier version. Default: the platform's settings.
        #[arg(long)]
        from: Option<PathBuf>,
        to: PathBuf,
    },
    /// Prints the contradiction bound, and whether each version would be accepted after those before it; exits with 1
    /// if one would not.
    Check {
        #[command(flatten)]
        files: Files,
        versions: Vec<PathBuf>,
    },
}

/// Runs a `rules` command.
fn rules(what: RulesCommand) -> Result<(), (u8, String)> {
    let bad = |fault: String| (INVALID_INPUT, fault);
    let agreement = |files: Files| -> Result<AgreementConfig, (u8, String)> {
        let config = ConfigFiles { config: files.config, operator: files.operator }.read().map_err(bad)?;
        config.agreement.ok_or_else(|| bad("the operator's file has no 'agreement'".into()))
    };
    let text = match what {
        RulesCommand::Show { files, version } => {
            rules_text::show(&agreement(files)?, &rules_text::read(&version).map_err(bad)?).map_err(bad)?
        }
        RulesCommand::Diff { files, from, to } => {
            let from = from.map(|path| rules_text::read(&path)).transpose().map_err(bad)?;
            rules_text::diff(&agreement(files)?, from.as_ref(), &rules_text::read(&to).map_err(bad)?)
                .map_err(bad)?
        }
        RulesCommand::Check { files, versions } => {
            let issues: Result<Vec<_>, _> = versions.iter().map(|path| rules_text::read(path)).collect();
            rules_text::check(&agreement(files)?, &issues.map_err(bad)?).map_err(|why| (FAILED, why))?
        }
    };
    let _ = write!(std::io::stdout(), "{text}");
    Ok(())
}

/// Runs a `store` command: reads the disk tier without changing it.
fn inspect_store(what: StoreCommand) -> Result<(), (u8, String)> {
    let (folder, dump) = match &what {
        StoreCommand::Check { folder } | StoreCommand::Stat { folder } => (folder, false),
        StoreCommand::Dump { folder } => (folder, true),
    };
    let (mut copies, mut bytes, mut purges, mut dropped) = (0, 0, 0, 0);
    let mut out = std::io::stdout().lock();
    let text = |digits: &[u8; 16]| String::from_utf8_lossy(digits).escape_debug().to_string();
    let corrupt = inspect(folder, |segment, offset, head| {
        let line = match head {
            Head::Copy(key, facts, body) => {
                (copies, bytes) = (copies + 1, bytes + body.length as usize);
                let (object, part, made) = (text(&key.object), key.part, facts.made_ms);
                format!(
                    "copy {object} part {part} type {} made {made} bytes {}",
                    key.content_type, body.length
                )
            }
            Head::PurgedObject { object, at_ms, seq } => {
                purges += 1;
                format!("purged {} at {at_ms} event {seq}", text(object))
            }
            Head::PurgedGroup { group, at_ms, seq } => {
                purges += 1;
                format!("purged group {group} at {at_ms} event {seq}")
            }
            Head::Dropped(key) => {
                dropped += 1;
                format!("dropped {} part {}", text(&key.object), key.part)
            }
        };
        if dump {
            let _ = writeln!(out, "{segment:08x}:{offset} {line}");
        }
    });
    let named = |what: String| format!("{}: {what}", folder.display());
    let corrupt = corrupt.map_err(|fault| (INVALID_INPUT, named(fault.to_string())))?;
    if !dump {
        let _ = writeln!(out, "{copies} copies of {bytes} bytes, {purges} purge records, {dropped} dropped");
    }
    match (corrupt, &what) {
        (Some((segment, offset)), StoreCommand::Check { .. }) => {
            Err((FAILED, named(format!("{segment:08x}.log: corrupt record at {offset}"))))
        }
        _ => Ok(()),
    }
}

/// A line on reconnects to the change log, and on the replicas that this dispatcher follows.
fn change_log_summary(config: &Config) -> Option<String> {
    let (calls_per_s, max_wait_s) = (config.reconnect.calls_per_s?, config.reconnect.max_wait().ok()?.secs());
    let dispatchers = config.reconnect.dispatchers;
    let waits = format!("{calls_per_s} connections a second, longest wait {max_wait_s:.1} s");
    let Some(two) = change_log::select_replicas(&config.replicas, &config.name) else {
        return Some(format!("{dispatchers} dispatchers, {waits}"));
    };
    let [first, second] =
        two.map(|replica| format!("{} ({}/{})", replica.address, replica.region, replica.zone));
    let of = config.replicas.len();
    Some(format!(
        "{} follows {first} and {second} of {of} replicas; {dispatchers} dispatchers at one, {waits}",
        config.name
    ))
}

/// Exit code: the command line or a file is invalid, and nothing was started.
const INVALID_INPUT: u8 = 2;
/// Exit code: the command has failed.
const FAILED: u8 = 1;

fn run(command: Command) -> Result<(), (u8, String)> {
    let read = |files: Files| {
        let sources = ConfigFiles { config: files.config, operator: files.operator };
        sources.read().map(|config| (sources, config)).map_err(|fault| (INVALID_INPUT, fault))
    };
    match command {
        Command::Version => println!("copperroute {}", env!("CARGO_PKG_VERSION")),
        // A write error is ignored: the reader may have closed the pipe early.
        Command::Schema { relay } => {
            let schema = if relay { RelayConfig::schema() } else { OperatorFile::schema() };
            drop(writeln!(std::io::stdout(), "{schema:#}"));
        }
        Command::Relay { config } => {
            let config = RelayConfig::read(&config).map_err(|fault| (INVALID_INPUT, fault))?;
            let mut log = None;
            let served =
                copperroute_change_log_replica::event_loop::serve(&config, || log = Some(logs::start()));
            if let Some(log) = log {
                log.finish();
            }
            served.map_err(|fault| (FAILED, fault))?;
        }
        Command::Store { what } => inspect_store(what)?,
        Command::Rules { what } => rules(what)?,
        Command::Check(files) => {
            let (sources, config) = read(files)?;
            println!(
                "{}: {} on {}, {} events known",
                sources.config.display(),
                config.name,
                config.listen,
                config.known.results.len()
            );
            if let Some(path) = sources.operator {
                let storms = if config.settings.overload_control.is_some() { "on" } else { "off" };
                println!("{}: storms {storms}", path.display());
                if let Some(summary) = change_log_summary(&config) {
                    println!("{}: lists: {summary}", path.display());
                }
                if let Some(agreement) = &config.agreement {
                    let summary = rules_text::check(agreement, &agreement.issued_versions)
                        .map_err(|why| (INVALID_INPUT, why))?;
                    print!("{}: agreement: {summary}", path.display());
                }
            }
        }
        Command::Serve(files) => {
            let (sources, config) = read(files)?;
            event_loop::serve(&sources, config).map_err(|fault| (FAILED, fault))?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, fault)) => {
            eprintln!("copperroute: {fault}");
            ExitCode::from(code)
        }
    }
}
