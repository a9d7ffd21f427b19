//! `copperroute-testbed`: plays failures and crowds of clients against real dispatchers on loopback.

// Not yet: plays and simulations are still long functions.
#![allow(clippy::too_many_lines)]

mod capacity;
mod clients;
mod fleet_simulation;
mod groups;
mod least;
mod links;
mod many;
mod many_rules;
mod nodes;
mod pace;
mod play;
mod processes;
mod report;
mod results;
mod scenario;
mod service;
mod slopes;
mod wall_clock;
mod world;

use clap::{Args, Parser, Subcommand};
use play::Play;
use results::Outcome;
use scenario::Scenario;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Plays failures and crowds of clients against real dispatchers on loopback")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// With what and where it is played.
#[derive(Args)]
struct Place {
    /// Results, report and logs go here.
    #[arg(long, default_value = "target/testbed")]
    out: PathBuf,
    /// The dispatchers' program; the one beside this one if absent.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Addresses are in 127.N.0.0/16.
    #[arg(long, default_value_t = 77)]
    net: u8,
}

impl Place {
    fn own_program(&self) -> Result<PathBuf, (u8, String)> {
        let own = self.program.clone().map_or_else(play::own_program, Ok);
        own.map_err(|fault| (UNUSABLE, fault))
    }
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario; ends with 1 if a rule was broken or an expectation missed, named in the last line.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        place: Place,
    },
    /// Plays a scenario with this build and with another that gets no operator's file, in one report.
    Compare {
        scenario: PathBuf,
        /// The other program.
        #[arg(long = "with")]
        other: PathBuf,
        #[command(flatten)]
        place: Place,
    },
    /// Plays a scenario with each number of dispatchers in turn, in one report with curves over them.
    Sizes {
        scenario: PathBuf,
        /// How many dispatchers.
        #[arg(long, value_delimiter = ',', default_value = "4,10,30,100,300")]
        dispatchers: Vec<usize>,
        #[command(flatten)]
        place: Place,
    },
    /// Requests a core-second of dispatchers, as a share of a bare relay's.
    Pace {
        /// Another program, measured in turn.
        #[arg(long = "with")]
        other: Option<PathBuf>,
        /// The operator's file for the first program.
        #[arg(long)]
        operator: Option<PathBuf>,
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        #[command(flatten)]
        place: Place,
    },
    /// Simulates when thousands of dispatchers call the list service: a table.
    Calls {
        /// How many dispatchers, one row of each kind for each.
        #[arg(long, value_delimiter = ',', default_value = "30,300,1000,3000,10000")]
        dispatchers: Vec<u32>,
        /// For how many seconds the service is away.
        #[arg(long, default_value_t = 60.0)]
        away: f64,
        /// Locations that they are in.
        #[arg(long, default_value_t = 10)]
        zones: u32,
        /// How many the settings tell of, beside those there are.
        #[arg(long, default_value_t = 1.0)]
        told: f64,
        /// The worst of so many seeds.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Simulates how thousands of dispatchers agree on versions of rules: a table.
    Rules {
        /// How many dispatchers.
        #[arg(long, value_delimiter = ',', default_value = "30,300,3000,10000")]
        dispatchers: Vec<u32>,
        /// The part of the streams from the list service that is lost in a second.
        #[arg(long, value_delimiter = ',', default_value = "0,0.001,0.01,0.05")]
        loss: Vec<f64>,
        /// For how many seconds the service is away.
        #[arg(long, default_value_t = 0.0)]
        away: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures how what one dispatcher costs grows with what it is given: tables with the laws that fit.
    Slopes {
        #[command(flatten)]
        options: slopes::Options,
        #[command(flatten)]
        place: Place,
    },
    /// Plays one dispatcher before a fleet of the usual size and before several times the cache hosts: a table with bounds;
    /// ends with 1 if one was missed.
    Growth {
        #[command(flatten)]
        options: slopes::growth::Options,
        #[command(flatten)]
        place: Place,
    },
    /// Plays the ordinary day of a whole fleet, compressed; ends with 1 if a bound was missed, each named.
    Capacity {
        scenario: PathBuf,
        #[command(flatten)]
        place: Place,
    },
    /// Simulates faults of the fleet, and for how long they break which bounds: tables.
    Faults {
        /// How many dispatchers.
        #[arg(long, value_delimiter = ',', default_value = "590,1180,5900")]
        dispatchers: Vec<u32>,
        /// Each fault is played with so many seeds, from 1 on.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Faults that last an hour are played with so many; as many as the others if absent.
        #[arg(long)]
        long_seeds: Option<u64>,
        /// The ways of changes to compare, by letter: a, b, b', c, d; all if absent.
        #[arg(long, default_value = "")]
        ways: String,
        /// Only the sums of an ordinary month.
        #[arg(long)]
        month: bool,
        /// For how many seconds regions are cut; an hour at most.
        #[arg(long, default_value_t = 3600.0)]
        cut: f64,
    },
    /// Lists the scenarios of a folder.
    List {
        #[arg(default_value = "crates/testbed/scenarios")]
        folder: PathBuf,
    },
    /// Prints the schema of scenarios.
    Schema {
        /// Of those that `capacity` plays.
        #[arg(long)]
        capacity: bool,
    },
    /// Passes bytes on, for `pace`.
    #[command(hide = true)]
    Relay { listen: SocketAddr, to: SocketAddr },
    /// Hosts hollow dispatchers, for `capacity`.
    #[command(hide = true)]
    Hollow { hosted: PathBuf },
}

/// The command line or a scenario is wrong; a rule was broken or an expectation missed.
const UNUSABLE: u8 = 2;
const FAILED: u8 = 1;

/// Scenarios whose names begin so are for `capacity`, all others for `run`.
const CAPACITY_NAME: &str = "capacity-";

type Ended = Result<(), (u8, String)>;

fn on_threads<T>(threads: usize, work: impl Future<Output = Result<T, String>>) -> Result<T, (u8, String)> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    let runtime = runtime.map_err(|fault| (UNUSABLE, fault.to_string()))?;
    let ended = runtime.block_on(work).map_err(|fault| (UNUSABLE, fault));
    runtime.shutdown_background();
    ended
}

fn print_rows(outcomes: &[Outcome]) {
    for (what, values) in report::rows(outcomes) {
        println!("{what}: {}", values.join(" | "));
    }
}

/// Plays with each program in turn, writes one report, and judges the first.
fn play(file: &Path, programs: &[PathBuf], Place { out, net, .. }: &Place) -> Ended {
    let scenario = Scenario::read(file).map_err(|fault| (UNUSABLE, fault))?;
    let name = play::name_of(file);
    let mut outcomes: Vec<Outcome> = Vec::new();
    for (at, program) in programs.iter().enumerate() {
        let folder = out.join(format!("{name}-{at}"));
        let play =
            Play { name: &name, scenario: &scenario, program, operated: at == 0, out: &folder, net: *net };
        outcomes.push(on_threads(4, play.run())?);
    }
    report::write(out, &name, &scenario, &outcomes).map_err(|fault| (UNUSABLE, fault))?;
    print_rows(&outcomes);
    outcomes[0].verdict().map_err(|fault| (FAILED, format!("{name}: {fault}")))?;
    println!("{name}: all rules kept, all as expected");
    Ok(())
}

/// Plays with each number of dispatchers, writes one report, and judges all.
fn sizes(file: &Path, sizes: &[usize], place: &Place) -> Ended {
    let (Place { out, net, .. }, program) = (place, &place.own_program()?);
    let mut scenario = Scenario::read(file).map_err(|fault| (UNUSABLE, fault))?;
    let name = play::name_of(file);
    let mut outcomes: Vec<Outcome> = Vec::new();
    for size in sizes {
        scenario.dispatchers.count = *size;
        scenario.check().map_err(|fault| (UNUSABLE, fault))?;
        let folder = out.join(format!("{name}-of-{size}"));
        let play =
            Play { name: &name, scenario: &scenario, program, operated: true, out: &folder, net: *net };
        outcomes.push(on_threads(4, play.run())?);
        report::write(out, &name, &scenario, &outcomes).map_err(|fault| (UNUSABLE, fault))?;
    }
    print_rows(&outcomes);
    let verdict = |outcome: &Outcome| {
        let named = |fault| (FAILED, format!("{name}, {} dispatchers: {fault}", outcome.dispatchers));
        outcome.verdict().map_err(named)
    };
    outcomes.iter().try_for_each(verdict)
}

/// Plays a day of a whole fleet, and names each bound that was missed.
fn play_capacity(file: &Path, place: &Place) -> Ended {
    let scenario = capacity::scenario::Scenario::read(file).map_err(|fault| (UNUSABLE, fault))?;
    let (name, program) = (play::name_of(file), place.own_program()?);
    let play = capacity::play(&name, &scenario, &program, &place.out, place.net);
    let (lines, missed) = on_threads(4, play)?;
    lines.iter().for_each(|line| println!("{line}"));
    if !missed.is_empty() {
        return Err((FAILED, format!("{name}: {}", missed.join("; "))));
    }
    println!("{name}: all bounds kept");
    Ok(())
}

fn list(folder: &Path) -> Ended {
    let said = |fault: std::io::Error| (UNUSABLE, format!("{}: {fault}", folder.display()));
    let files = std::fs::read_dir(folder).map_err(said)?.flatten().map(|entry| entry.path());
    let mut files: Vec<_> =
        files.filter(|path| path.extension().is_some_and(|kind| kind == "json")).collect();
    files.sort();
    for file in files {
        let name = play::name_of(&file);
        let told = match name.starts_with(CAPACITY_NAME) {
            true => capacity::scenario::Scenario::read(&file).map(|of| (of.length_s, of.about)),
            false => Scenario::read(&file).map(|of| (of.length_s, of.about)),
        };
        let (length_s, about) = told.map_err(|fault| (UNUSABLE, fault))?;
        println!("{name} ({length_s:.0} s): {about}");
    }
    Ok(())
}

fn run(command: Command) -> Ended {
    match command {
        Command::Run { scenario, place } => play(&scenario, &[place.own_program()?], &place),
        Command::Compare { scenario, other, place } => {
            play(&scenario, &[place.own_program()?, other], &place)
        }
        Command::Sizes { scenario, dispatchers, place } => sizes(&scenario, &dispatchers, &place),
        Command::Pace { other, operator, rounds, place } => {
            let own = place.own_program()?;
            let programs: Vec<&Path> =
                [Some(own.as_path()), other.as_deref()].into_iter().flatten().collect();
            let pace = pace::compare(&programs, place.net, &place.out, operator.as_deref(), rounds.max(1));
            on_threads(3, pace)
        }
        Command::Calls { dispatchers, away, zones, told, seeds } => {
            print!("{}", many::table(&dispatchers, away, zones.max(1), told, seeds.max(1)));
            Ok(())
        }
        Command::Rules { dispatchers, loss, away, seed } => {
            print!("{}", many_rules::table(&dispatchers, &loss, away, seed));
            Ok(())
        }
        Command::Slopes { options, place } => {
            let program = place.own_program()?;
            on_threads(4, slopes::run(&options, program, &place.out, place.net))
        }
        Command::Growth { options, place } => {
            let program = place.own_program()?;
            let played = slopes::growth::run(&options, program, &place.out, place.net);
            let (table, missed) = on_threads(4, played)?;
            println!("{table}");
            let named = || (FAILED, missed.join("; "));
            if missed.is_empty() { Ok(()) } else { Err(named()) }
        }
        Command::Faults { dispatchers, seeds, long_seeds, ways, month, cut } => {
            let (seeds, long_seeds) = (seeds.max(1), long_seeds.unwrap_or(seeds).max(1));
            let options =
                fleet_simulation::Options { dispatchers, seeds, long_seeds, ways, month, cut_s: cut };
            print!("{}", fleet_simulation::table(&options));
            Ok(())
        }
        Command::List { folder } => list(&folder),
        Command::Schema { capacity: of_capacity } => {
            let schema =
                if of_capacity { capacity::scenario::Scenario::schema() } else { Scenario::schema() };
            println!("{schema:#}");
            Ok(())
        }
        Command::Capacity { scenario, place } => play_capacity(&scenario, &place),
        Command::Hollow { hosted } => capacity::hollow::host(&hosted).map_err(|fault| (UNUSABLE, fault)),
        Command::Relay { listen, to } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|fault| (UNUSABLE, fault.to_string()))?;
            runtime.block_on(pace::relay(listen, to)).map_err(|fault| (UNUSABLE, fault))
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, fault)) => {
            eprintln!("copperroute-testbed: {fault}");
            ExitCode::from(code)
        }
    }
}
