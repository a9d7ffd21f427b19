//! What one dispatcher needs before several times the cache hosts, beside the bounds on it: its own traffic, its limits and
//! the capacity of all cache hosts together stay the same.

use super::change_log::ChangeLog;
use super::control::add_at;
use super::dispatcher::{
    Dispatcher, Place, SITE_DISPATCHERS, Told, changed_line_at, fleet, folder, whole_list_at,
};
use super::growth_bounds::{Needs, table};
use super::load::{Clients, Load};
use super::nodes::{Answering, Misses, Nodes};
use clap::Args;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Transfers at once that the cache hosts of a site bear for each of its dispatchers.
const CAPACITY: f64 = 20.0;
/// A changed line tells so much more weight, and the next so much less.
const CHANGED: f64 = 1.01;
/// The size that a request tells, and what a node takes for it.
const TOLD_KB: f64 = 50.0;
const ANSWERED_AFTER: Duration = Duration::from_millis(5);
const BODY_BYTES: usize = 1_000;
/// Each object is asked for so often, were all asked for alike.
const ASKED_FOR: f64 = 3.0;
/// Descriptors are counted so often.
const LOOK_EVERY: Duration = Duration::from_millis(250);
const SECONDS: std::ops::RangeInclusive<f64> = 1.0..=120.0;

/// What is played, and how often.
#[derive(Args)]
pub(crate) struct Options {
    /// Cache hosts at the usual size.
    #[arg(long, default_value_t = 200)]
    hosts: usize,
    /// Sites that they are spread over.
    #[arg(long, default_value_t = 4)]
    sites: usize,
    /// How many times as many, the usual size first.
    #[arg(long, value_delimiter = ',', default_value = "1,4,16")]
    times: Vec<usize>,
    /// Requests a second.
    #[arg(long, value_delimiter = ',', default_value = "30,1000")]
    per_s: Vec<f64>,
    /// Plays of each.
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Seconds of one play.
    #[arg(long, default_value_t = 25.0)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// One play: so many hosts, of which so many are of the own site, and requests a second.
async fn play(place: &Place, hosts: usize, own: usize, per_s: f64) -> Result<Needs, String> {
    let listed = fleet(own, hosts - own, |number| place.node(number));
    let asked = listed.iter().filter(|node| node.site == 0 || node.kind != "caches");
    let answering = Answering { delay: ANSWERED_AFTER, bytes: BODY_BYTES, misses: Misses::Unfilled };
    let nodes = Nodes::start(asked.map(|node| node.address).collect(), answering).await?;
    let weight = CAPACITY * SITE_DISPATCHERS as f64 / own as f64;
    let list = whole_list_at(&listed, weight);
    let log = ChangeLog::start(place.log(), vec![list.clone()]).await?;
    let told = Told { deadline_s: 6.0, sockets: 1_024, operator: None, seed: place.seed };
    let dispatcher = Dispatcher::start(place, &told, &list, &log).await?;
    let load = Load {
        per_s,
        connections: 32,
        idle: 0,
        objects: (per_s * place.window.as_secs_f64() / ASKED_FOR) as u64,
        timeout: Duration::from_secs(6),
        told_kb: TOLD_KB,
        seed: place.seed,
    };
    let clients = Clients::start(place.listen(), load).await?;
    // The line of each host changes once.
    let changes_per_s = listed.len() as f64 / place.window.as_secs_f64();
    let told_anew = move |number: u64| {
        let changed = if number.is_multiple_of(2) { weight * CHANGED } else { weight };
        changed_line_at(&listed, number, changed)
    };
    let _changing = add_at(&log, changes_per_s, told_anew);
    let (begun, mut descriptors) = (Instant::now(), 0);
    while begun.elapsed() < place.window {
        tokio::time::sleep(LOOK_EVERY).await;
        descriptors = descriptors.max(dispatcher.usage()?.descriptors);
    }
    let answers = &clients.answers;
    let [served, unserved] = [&answers.served, &answers.unserved].map(|of| of.load(Ordering::Relaxed) as f64);
    Ok(Needs {
        core_s: dispatcher.usage()?.processor.as_secs_f64(),
        peak_mb: dispatcher.peak_mb()?,
        descriptors: descriptors as f64,
        connections: nodes.seen.made.load(Ordering::Relaxed) as f64,
        list_kb: log.bytes() as f64 / 1e3,
        served: served / (served + unserved).max(1.0),
    })
}

/// Plays all, one after another; the table, and each bound that was missed.
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
        let mut rows: Vec<(usize, Vec<Needs>)> = Vec::new();
        for times in &options.times {
            let hosts = options.hosts * times.max(&1);
            let own = (hosts / options.sites.max(1)).max(1);
            let mut runs = Vec::new();
            for run in 0..options.runs.max(1) {
                number = number.checked_add(1).ok_or("too many plays")?;
                let place = Place {
                    program: program.clone(),
                    out: folder(out, "growth", usize::from(number)),
                    own: IpAddr::V4(Ipv4Addr::new(127, net, 200, number)),
                    number: 0,
                    window: Duration::from_secs_f64(options.seconds.clamp(*SECONDS.start(), *SECONDS.end())),
                    seed: options.seed + run as u64,
                };
                runs.push(play(&place, hosts, own, *per_s).await?);
                eprintln!("{hosts} hosts, {per_s} a second: {:?}", runs.last());
            }
            rows.push((hosts, runs));
        }
        let (part, over) = table(*per_s, &rows);
        text += &part;
        missed.extend(over);
    }
    Ok((text, missed))
}
