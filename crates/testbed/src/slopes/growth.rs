//! Compares the resource use of one dispatcher for fleets of several sizes with the bounds in `growth_bounds`. The
//! load, the dispatcher's limits and the total capacity of all caches stay the same. `run` is the subcommand
//! `growth`.

use super::change_log::ChangeLog;
use super::control::add_events_at_rate;
use super::dispatcher::{
    DISPATCHERS_PER_SITE, Dispatcher, DispatcherSettings, RunEnvironment, delta_event_with_weight, fleet,
    run_folder, snapshot_event_with_weight,
};
use super::growth_bounds::{ResourceUse, table};
use super::load::{Clients, Load};
use super::nodes::{AnswerSettings, Misses, Nodes};
use clap::Args;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Capacity of a site's caches per dispatcher of the site, in concurrent transfers.
const CAPACITY_PER_DISPATCHER: f64 = 20.0;
/// Factor by which deltas alternately raise and restore a node's weight.
const WEIGHT_CHANGE_FACTOR: f64 = 1.01;
/// Object size that requests state, in KB.
const STATED_KB: f64 = 50.0;
/// Time from a request to a node's answer.
const ANSWER_DELAY: Duration = Duration::from_millis(5);
/// Size of a node's answer, in bytes.
const BODY_BYTES: usize = 1_000;
/// Mean number of requests per object.
const REQUESTS_PER_OBJECT: f64 = 3.0;
/// Interval at which open descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Allowed length of a run, in seconds.
const RUN_LENGTH_S: std::ops::RangeInclusive<f64> = 1.0..=120.0;

/// Arguments of the subcommand `growth`.
#[derive(Args)]
pub(crate) struct Options {
    /// Number of caches of the usual fleet.
    #[arg(long, default_value_t = 200)]
    hosts: usize,
    /// Number of sites that the caches are spread over.
    #[arg(long, default_value_t = 4)]
    sites: usize,
    /// Multiples of the number of caches; the first is the reference for the bounds.
    #[arg(long, value_delimiter = ',', default_value = "1,4,16")]
    times: Vec<usize>,
    /// Requests per second; each rate is run separately.
    #[arg(long, value_delimiter = ',', default_value = "30,1000")]
    per_s: Vec<f64>,
    /// Runs of each size and rate.
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Length of one run in seconds.
    #[arg(long, default_value_t = 25.0)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs one dispatcher with `hosts` caches, `own_caches` of them at its own site, under `per_s` requests per second.
async fn run_once(
    environment: &RunEnvironment,
    hosts: usize,
    own_caches: usize,
    per_s: f64,
) -> Result<ResourceUse, String> {
    let listed = fleet(own_caches, hosts - own_caches, |number| environment.node_address(number));
    let targets = listed.iter().filter(|node| node.site == 0 || node.kind != "caches");
    let answer_settings =
        AnswerSettings { delay: ANSWER_DELAY, body_bytes: BODY_BYTES, misses: Misses::Unfilled };
    let nodes = Nodes::start(targets.map(|node| node.address).collect(), answer_settings).await?;
    let weight = CAPACITY_PER_DISPATCHER * DISPATCHERS_PER_SITE as f64 / own_caches as f64;
    let snapshot = snapshot_event_with_weight(&listed, weight);
    let log = ChangeLog::start(environment.change_log_address(), vec![snapshot.clone()]).await?;
    let settings =
        DispatcherSettings { deadline_s: 6.0, sockets: 1_024, operator: None, seed: environment.seed };
    let dispatcher = Dispatcher::start(environment, &settings, &snapshot, &log).await?;
    let load = Load {
        per_s,
        connections: 32,
        idle_connections: 0,
        objects: (per_s * environment.window.as_secs_f64() / REQUESTS_PER_OBJECT) as u64,
        timeout: Duration::from_secs(6),
        stated_kb: STATED_KB,
        seed: environment.seed,
    };
    let clients = Clients::start(environment.dispatcher_address(), load).await?;
    // Each node's entry in the node list changes once during the run.
    let changes_per_s = listed.len() as f64 / environment.window.as_secs_f64();
    let weight_change = move |number: u64| {
        let changed = if number.is_multiple_of(2) { weight * WEIGHT_CHANGE_FACTOR } else { weight };
        delta_event_with_weight(&listed, number, changed)
    };
    let _changing = add_events_at_rate(&log, changes_per_s, weight_change);
    let (started, mut descriptors) = (Instant::now(), 0);
    while started.elapsed() < environment.window {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        descriptors = descriptors.max(dispatcher.usage()?.descriptors);
    }
    let answers = &clients.answers;
    let [served, unserved] = [&answers.served, &answers.unserved].map(|of| of.load(Ordering::Relaxed) as f64);
    Ok(ResourceUse {
        processor_s: dispatcher.usage()?.processor.as_secs_f64(),
        peak_mb: dispatcher.peak_mb()?,
        descriptors: descriptors as f64,
        connections: nodes.counters.accepted_connections.load(Ordering::Relaxed) as f64,
        list_kb: log.bytes() as f64 / 1e3,
        served: served / (served + unserved).max(1.0),
    })
}

/// Executes all runs one after another. Returns the tables and a text for each missed bound.
pub(crate) async fn run(
    options: &Options,
    program: PathBuf,
    out: &Path,
    net: u8,
) -> Result<(String, Vec<String>), String> {
    let (mut text, mut missed, mut number) = (String::new(), Vec::new(), 0_u8);
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    text += &format!("`copperroute-testbed {}`\n", arguments.join(" "));
    for per_s in &options.per_s {
        let mut rows: Vec<(usize, Vec<ResourceUse>)> = Vec::new();
        for times in &options.times {
            let hosts = options.hosts * times.max(&1);
            let own_caches = (hosts / options.sites.max(1)).max(1);
            let mut runs = Vec::new();
            for run in 0..options.runs.max(1) {
                number = number
                    .checked_add(1)
                    .ok_or("growth: more than 255 runs; the run's number is a byte of its address")?;
                let environment = RunEnvironment {
                    program: program.clone(),
                    out: run_folder(out, "growth", usize::from(number)),
                    address: IpAddr::V4(Ipv4Addr::new(127, net, 200, number)),
                    number: 0,
                    window: Duration::from_secs_f64(
                        options.seconds.clamp(*RUN_LENGTH_S.start(), *RUN_LENGTH_S.end()),
                    ),
                    seed: options.seed + run as u64,
                };
                runs.push(run_once(&environment, hosts, own_caches, *per_s).await?);
                eprintln!("{hosts} caches, {per_s} requests per second: {:?}", runs.last());
            }
            rows.push((hosts, runs));
        }
        let (rate_table, rate_missed) = table(*per_s, &rows);
        text += &rate_table;
        missed.extend(rate_missed);
    }
    Ok((text, missed))
}
