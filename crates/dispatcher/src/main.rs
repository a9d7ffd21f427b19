//! `copperroute`: the dispatcher on sockets.

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
    /// The configuration file.
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
    /// The operator's own file (`copperroute schema` tells its form); what it does not name stays off.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves clients until SIGTERM; reads its files again at SIGHUP.
    Serve(Files),
    /// Reads the files, says what is wrong with them, and ends: with 0 if all is well, with 2 if not.
    Check(Files),
    /// Looks into a stopped store of own copies.
    Store {
        #[command(subcommand)]
        what: StoreCommand,
    },
    /// Looks at versions of rules on which dispatchers agree.
    Rules {
        #[command(subcommand)]
        what: RulesCommand,
    },
    /// Follows the change log, or another replica, and serves it to dispatchers and replicas until SIGTERM.
    Relay {
        /// The replica's configuration file (`copperroute schema --relay` tells its form).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Prints the schema of the operator's file.
    Schema {
        /// Of a replica's configuration file instead.
        #[arg(long)]
        relay: bool,
    },
    /// Prints the version.
    Version,
}

#[derive(Subcommand)]
enum StoreCommand {
    /// Reads all of it, and ends with 1 if a record is not sound.
    Check { folder: PathBuf },
    /// Counts records and bytes by kind.
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
    /// Prints what changes from one version to another, stricter or looser, and from when.
    Diff {
        #[command(flatten)]
        files: Files,
        /// The first; what the platform's settings say if it is left out.
        #[arg(long)]
        from: Option<PathBuf>,
        to: PathBuf,
    },
    /// Prints the stated time, and whether each of a row of versions would be taken; ends with 1 if one would not.
    Check {
        #[command(flatten)]
        files: Files,
        versions: Vec<PathBuf>,
    },
}

/// Looks at versions of rules.
fn rules(what: RulesCommand) -> Result<(), (u8, String)> {
    let bad = |fault: String| (UNUSABLE, fault);
    let agreeing = |files: Files| -> Result<AgreementConfig, (u8, String)> {
        let config = ConfigFiles { config: files.config, operator: files.operator }.read().map_err(bad)?;
        config.agreement.ok_or_else(|| bad("the operator's file names no agreement".into()))
    };
    let text = match what {
        RulesCommand::Show { files, version } => {
            rules_text::show(&agreeing(files)?, &rules_text::read(&version).map_err(bad)?).map_err(bad)?
        }
        RulesCommand::Diff { files, from, to } => {
            let from = from.map(|path| rules_text::read(&path)).transpose().map_err(bad)?;
            rules_text::diff(&agreeing(files)?, from.as_ref(), &rules_text::read(&to).map_err(bad)?)
                .map_err(bad)?
        }
        RulesCommand::Check { files, versions } => {
            let issues: Result<Vec<_>, _> = versions.iter().map(|path| rules_text::read(path)).collect();
            rules_text::check(&agreeing(files)?, &issues.map_err(bad)?).map_err(|why| (FAILED, why))?
        }
    };
    let _ = write!(std::io::stdout(), "{text}");
    Ok(())
}

/// Reads a store's log without changing it.
fn look(what: StoreCommand) -> Result<(), (u8, String)> {
    let (folder, dump) = match &what {
        StoreCommand::Check { folder } | StoreCommand::Stat { folder } => (folder, false),
        StoreCommand::Dump { folder } => (folder, true),
    };
    let (mut copies, mut bytes, mut marks, mut dropped) = (0, 0, 0, 0);
    let mut out = std::io::stdout().lock();
    let text = |digits: &[u8; 16]| String::from_utf8_lossy(digits).escape_debug().to_string();
    let unsound = inspect(folder, |segment, offset, head| {
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
                marks += 1;
                format!("purged {} at {at_ms} event {seq}", text(object))
            }
            Head::PurgedGroup { group, at_ms, seq } => {
                marks += 1;
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
    let unsound = unsound.map_err(|fault| (UNUSABLE, named(fault.to_string())))?;
    if !dump {
        let _ = writeln!(out, "{copies} copies of {bytes} bytes, {marks} marks of purges, {dropped} dropped");
    }
    match (unsound, &what) {
        (Some((segment, offset)), StoreCommand::Check { .. }) => {
            Err((FAILED, named(format!("{segment:08x}.log: no sound record at {offset}"))))
        }
        _ => Ok(()),
    }
}

/// What the operators tell of the list service, and which replicas of it this dispatcher follows.
fn lists(config: &Config) -> Option<String> {
    let (bears, longest) = (config.reconnect.calls_per_s?, config.reconnect.max_wait().ok()?.secs());
    let dispatchers = config.reconnect.dispatchers;
    let waits = format!("{bears} calls a second, none waits longer than {longest:.1} s");
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

/// Nothing was started: the command line or a file is wrong.
const UNUSABLE: u8 = 2;
const FAILED: u8 = 1;

fn run(command: Command) -> Result<(), (u8, String)> {
    let read = |files: Files| {
        let sources = ConfigFiles { config: files.config, operator: files.operator };
        sources.read().map(|config| (sources, config)).map_err(|fault| (UNUSABLE, fault))
    };
    match command {
        Command::Version => println!("copperroute {}", env!("CARGO_PKG_VERSION")),
        // Who reads no further than a part of it is not told.
        Command::Schema { relay } => {
            let schema = if relay { RelayConfig::schema() } else { OperatorFile::schema() };
            drop(writeln!(std::io::stdout(), "{schema:#}"));
        }
        Command::Relay { config } => {
            let config = RelayConfig::read(&config).map_err(|fault| (UNUSABLE, fault))?;
            let mut log = None;
            let served =
                copperroute_change_log_replica::event_loop::serve(&config, || log = Some(logs::start()));
            if let Some(log) = log {
                log.finish();
            }
            served.map_err(|fault| (FAILED, fault))?;
        }
        Command::Store { what } => look(what)?,
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
                if let Some(told) = lists(&config) {
                    println!("{}: lists: {told}", path.display());
                }
                if let Some(agreeing) = &config.agreement {
                    let stated = rules_text::check(agreeing, &agreeing.issued_versions)
                        .map_err(|why| (UNUSABLE, why))?;
                    print!("{}: agreement: {stated}", path.display());
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
