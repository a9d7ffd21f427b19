//! Measures how the cost of one dispatcher grows with its load. Runs a real dispatcher against stand-ins on loopback,
//! at several sizes with several runs each, and prints a table per slope with the law that fits best. `run` is the
//! subcommand `slopes`; `growth::run` is the subcommand `growth`.

mod catalogue;
mod change_log;
mod control;
mod dispatcher;
mod fit;
pub(crate) mod growth;
mod growth_bounds;
mod load;
mod nodes;
mod requests;
mod several;
mod table;
mod usage;

use catalogue::{SLOPES, Slope};
use clap::Args;
use dispatcher::{RunEnvironment, run_folder};
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use table::Row;

/// One value for each of a slope's measures, or the error that prevented the measurement.
type MeasureResult = Result<Vec<f64>, String>;

/// Arguments of the subcommand `slopes`.
#[derive(Args)]
pub(crate) struct Options {
    /// Names of the slopes; all slopes of the control plane if absent. `list` prints the names.
    names: Vec<String>,
    /// Sizes to measure instead of the slope's default sizes.
    #[arg(long, value_delimiter = ',')]
    points: Vec<f64>,
    /// Runs of each size.
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Length of a measurement window in seconds.
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// No new run starts after this many seconds.
    #[arg(long, default_value_t = 1_200.0)]
    most_s: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Executes runs and gives each its own loopback address.
struct Runs<'a> {
    options: &'a Options,
    program: &'a Path,
    out: &'a Path,
    net: u8,
    started: Instant,
    number: usize,
}

impl Runs<'_> {
    /// Environment of the next run.
    fn environment(&mut self, slope: &Slope) -> RunEnvironment {
        self.number += 1;
        let (third_octet, fourth_octet) = (self.number / 250 + 1, self.number % 250 + 1);
        RunEnvironment {
            program: self.program.to_path_buf(),
            out: run_folder(self.out, slope.name, self.number),
            address: IpAddr::V4(Ipv4Addr::new(127, self.net, third_octet as u8, fourth_octet as u8)),
            number: 0,
            window: Duration::from_secs_f64(self.options.seconds.clamp(0.5, 120.0)),
            seed: self.options.seed + self.number as u64,
        }
    }

    fn is_out_of_time(&self) -> bool {
        self.started.elapsed().as_secs_f64() > self.options.most_s
    }

    /// Measures each size once: concurrently if the slope allows it, otherwise one after another.
    async fn measure_sizes_once(&mut self, slope: &Slope, sizes: &[f64]) -> Result<Vec<Vec<f64>>, String> {
        let mut figures = Vec::new();
        let mut running = Vec::new();
        for size in sizes {
            let task = tokio::spawn((slope.measure)(self.environment(slope), *size));
            match slope.runs_concurrently {
                true => running.push(task),
                false => figures.push(task.await.map_err(|error| error.to_string())??),
            }
        }
        for task in running {
            figures.push(task.await.map_err(|error| error.to_string())??);
        }
        Ok(figures)
    }

    /// Measures all runs of a slope until the time limit.
    async fn measure_slope(&mut self, slope: &Slope) -> Result<Vec<Row>, String> {
        let sizes =
            if self.options.points.is_empty() { slope.sizes.to_vec() } else { self.options.points.clone() };
        let mut rows: Vec<Row> = sizes.iter().map(|size| Row { size: *size, runs: Vec::new() }).collect();
        for run in 1..=self.options.runs.max(1) {
            if self.is_out_of_time() {
                eprintln!(
                    "{}: the time limit of {} s passed before run {run}",
                    slope.name, self.options.most_s
                );
                break;
            }
            eprintln!("{}: run {run} of {}", slope.name, self.options.runs.max(1));
            let figures = self
                .measure_sizes_once(slope, &sizes)
                .await
                .map_err(|error| format!("{}: {error}", slope.name))?;
            for (row, figures) in rows.iter_mut().zip(figures) {
                row.runs.push(figures);
            }
        }
        Ok(rows)
    }
}

/// Measures the named slopes and prints a table of each.
pub(crate) async fn run(options: &Options, program: PathBuf, out: &Path, net: u8) -> Result<(), String> {
    if options.names.iter().any(|name| name == "list") {
        SLOPES.iter().for_each(|slope| println!("{}: {}", slope.name, slope.about));
        return Ok(());
    }
    let known = |name: &String| SLOPES.iter().find(|slope| slope.name == name);
    if let Some(unknown) = options.names.iter().find(|name| known(name).is_none()) {
        return Err(format!("unknown slope '{unknown}'; `copperroute-testbed slopes list` prints the names"));
    }
    let named: Vec<_> = match options.names.is_empty() {
        true => SLOPES.iter().filter(|slope| slope.is_control_plane).collect(),
        false => options.names.iter().filter_map(known).collect(),
    };
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    println!("`copperroute-testbed {}`, seed {}\n", arguments.join(" "), options.seed);
    let mut runs = Runs { options, program: &program, out, net, started: Instant::now(), number: 0 };
    for slope in named {
        let rows = runs.measure_slope(slope).await?;
        println!("{}", table::markdown(slope, &rows));
    }
    println!("took {:.0} s", runs.started.elapsed().as_secs_f64());
    Ok(())
}
