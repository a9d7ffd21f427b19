//! How what one dispatcher costs grows: a real process beside stand-ins on loopback, at several sizes, several runs of
//! each, with the law that fits.

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
use dispatcher::{Place, folder};
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use table::Row;

/// One figure for each of a slope's measures, or why there are none.
type Measured = Result<Vec<f64>, String>;

/// What is measured, and how long.
#[derive(Args)]
pub(crate) struct Options {
    /// Which slopes; all of control if absent. `list` prints their names.
    names: Vec<String>,
    /// The sizes, in place of the slope's own.
    #[arg(long, value_delimiter = ',')]
    points: Vec<f64>,
    /// Runs of each size.
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Seconds of one window.
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// No new run is begun after so many seconds.
    #[arg(long, default_value_t = 1_200.0)]
    most_s: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Names run addresses apart: each run has one of its own.
struct Runs<'a> {
    options: &'a Options,
    program: &'a Path,
    out: &'a Path,
    net: u8,
    begun: Instant,
    number: usize,
}

impl Runs<'_> {
    fn place(&mut self, slope: &Slope) -> Place {
        self.number += 1;
        let (part, host) = (self.number / 250 + 1, self.number % 250 + 1);
        Place {
            program: self.program.to_path_buf(),
            out: folder(self.out, slope.name, self.number),
            own: IpAddr::V4(Ipv4Addr::new(127, self.net, part as u8, host as u8)),
            number: 0,
            window: Duration::from_secs_f64(self.options.seconds.clamp(0.5, 120.0)),
            seed: self.options.seed + self.number as u64,
        }
    }

    fn is_out_of_time(&self) -> bool {
        self.begun.elapsed().as_secs_f64() > self.options.most_s
    }

    /// All sizes once: at once where they are light, else one after another.
    async fn once(&mut self, slope: &Slope, sizes: &[f64]) -> Result<Vec<Vec<f64>>, String> {
        let mut figures = Vec::new();
        let mut running = Vec::new();
        for size in sizes {
            let task = tokio::spawn((slope.measure)(self.place(slope), *size));
            match slope.side_by_side {
                true => running.push(task),
                false => figures.push(task.await.map_err(|fault| fault.to_string())??),
            }
        }
        for task in running {
            figures.push(task.await.map_err(|fault| fault.to_string())??);
        }
        Ok(figures)
    }

    /// All runs of a slope, as far as time allows.
    async fn of(&mut self, slope: &Slope) -> Result<Vec<Row>, String> {
        let sizes =
            if self.options.points.is_empty() { slope.sizes.to_vec() } else { self.options.points.clone() };
        let mut rows: Vec<Row> = sizes.iter().map(|size| Row { size: *size, runs: Vec::new() }).collect();
        for run in 1..=self.options.runs.max(1) {
            if self.is_out_of_time() {
                eprintln!("{}: out of time before run {run}", slope.name);
                break;
            }
            eprintln!("{}: run {run} of {}", slope.name, self.options.runs.max(1));
            let figures = self.once(slope, &sizes).await.map_err(|why| format!("{}: {why}", slope.name))?;
            for (row, figures) in rows.iter_mut().zip(figures) {
                row.runs.push(figures);
            }
        }
        Ok(rows)
    }
}

/// Measures the slopes that are named, and prints a table of each.
pub(crate) async fn run(options: &Options, program: PathBuf, out: &Path, net: u8) -> Result<(), String> {
    if options.names.iter().any(|name| name == "list") {
        SLOPES.iter().for_each(|slope| println!("{}: {}", slope.name, slope.about));
        return Ok(());
    }
    let known = |name: &String| SLOPES.iter().find(|slope| slope.name == name);
    if let Some(unknown) = options.names.iter().find(|name| known(name).is_none()) {
        return Err(format!("'{unknown}' is no slope; `copperroute-testbed slopes list` prints them"));
    }
    let named: Vec<_> = match options.names.is_empty() {
        true => SLOPES.iter().filter(|slope| slope.of_control).collect(),
        false => options.names.iter().filter_map(known).collect(),
    };
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    println!("`copperroute-testbed {}`, seed {}\n", arguments.join(" "), options.seed);
    let mut runs = Runs { options, program: &program, out, net, begun: Instant::now(), number: 0 };
    for slope in named {
        let rows = runs.of(slope).await?;
        println!("{}", table::markdown(slope, &rows));
    }
    println!("took {:.0} s", runs.begun.elapsed().as_secs_f64());
    Ok(())
}
