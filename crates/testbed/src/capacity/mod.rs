//! The ordinary day of a whole fleet, compressed: hollow dispatchers in the hundreds beside a few dozen real ones follow
//! one change log while dispatchers, links and the log fail. Judged by how long each event took to the last reachable
//! dispatcher, and by what each dispatcher's control takes.

mod access;
mod caches;
mod clients;
mod clock;
mod faults;
mod figures;
mod groups;
pub(crate) mod hollow;
mod hosts;
mod issuer;
mod layout;
mod ledger;
mod log;
mod outcome;
mod real;
mod replicas;
mod report;
mod rig;
pub(crate) mod scenario;
mod usage;

use clock::unix_us;
use faults::Course;
use indicatif::ProgressBar;
use outcome::{Outcome, Seen};
use rig::Rig;
use scenario::Scenario;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use usage::Moment;

/// Plays a scenario, and writes results and report to a folder. Returns the lines to print, and the bounds missed.
pub(crate) async fn play(
    name: &str,
    scenario: &Scenario,
    program: &Path,
    out: &Path,
    net: u8,
) -> Result<(Vec<String>, Vec<String>), String> {
    println!("{name}: seed {}", scenario.seed);
    let rig = Arc::new(Rig::open(scenario, program, out.join(name), net).await?);
    let first_current = rig.start().await?;
    let seen = run(name, &rig, first_current).await;
    let outcome = Outcome::of(scenario, seen);
    report::write(out, name, scenario, &outcome)?;
    let lines = report::rows(&outcome).into_iter().map(|(what, value)| format!("{what}: {value}")).collect();
    Ok((lines, outcome.missed))
}

/// Lets everything happen, from the first event to the end of what the last had to come.
async fn run(name: &str, rig: &Arc<Rig>, first_current: Duration) -> Seen {
    let scenario = &rig.scenario;
    let (begun, begun_us) = (Instant::now(), unix_us());
    let until = begun + Duration::from_secs_f64(scenario.length_s);
    let settled = until + Duration::from_secs_f64(scenario.settle_s);
    let (up, is_up) = watch::channel(true);
    let (failed, mut failures) = mpsc::unbounded_channel();
    rig.ask();
    let before = Moment::now(rig);
    let course = Course { rig: rig.clone(), begun, up, failed };
    course.set_out();
    let issuers = [
        tokio::spawn(issuer::purges(rig.clone(), until, is_up.clone())),
        tokio::spawn(issuer::lists(rig.clone(), until, is_up.clone())),
        tokio::spawn(issuer::versions(rig.clone(), until, is_up)),
    ];
    let bar = ProgressBar::new((scenario.length_s + scenario.settle_s) as u64).with_message(name.to_string());
    let seconds = usage::watch(rig, settled, |second| bar.set_position(second as u64)).await;
    bar.finish_and_clear();
    issuers.iter().for_each(tokio::task::JoinHandle::abort);
    let (after, until_us) = (Moment::now(rig), unix_us());
    let mut failed: Vec<String> = std::iter::from_fn(|| failures.try_recv().ok()).collect();
    let exited = rig.ledger.tracks().iter().filter(|track| track.exited_us.is_some()).count();
    let ended = rig.real.end().await + rig.hosts.end().await + exited;
    let replicas_ended = rig.replicas.end().await;
    if ended > 0 {
        failed.push(format!("{ended} dispatchers or hosts ended by themselves"));
    }
    if replicas_ended > 0 {
        failed.push(format!("{replicas_ended} replicas ended by themselves"));
    }
    let requests = [&rig.asked.served, &rig.asked.unserved].map(|count| count.load(Ordering::Relaxed));
    Seen {
        first_current_s: first_current.as_secs_f64(),
        begun_us,
        until_us,
        // Without the event by which it was seen that all follow.
        issued: rig.log.issued().into_iter().filter(|issued| issued.at_us >= begun_us).collect(),
        tracks: rig.ledger.tracks(),
        before,
        after,
        seconds,
        requests,
        failed,
    }
}
