//! Measures the load that several dispatchers of one site put on its caches and on the change log. Runs real dispatcher
//! processes side by side, so that the load of a larger number can be extrapolated. Called through `catalogue::SLOPES`.

use super::MeasureResult;
use super::change_log::ChangeLog;
use super::control::{add_events_at_rate, purge};
use super::dispatcher::{Dispatcher, DispatcherSettings, RunEnvironment, fleet, snapshot_event};
use super::load::{Clients, Load};
use super::nodes::{AnswerSettings, Misses, Nodes};
use crate::world::unix_ms;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Caches of the dispatchers' own site.
const LOCAL_CACHES: usize = 4;
/// Caches of all other sites together.
const REMOTE_CACHES: usize = 116;
/// Requests per second sent to each dispatcher.
const REQUESTS_PER_S: f64 = 100.0;
/// Purges per second in the change log.
const PURGES_PER_S: f64 = 6.0;
/// Time under load before the window begins.
const WARM_UP: Duration = Duration::from_secs(3);

/// Headings of the measured values, in the order of the result.
pub(super) const MEASURES: [&str; 6] = [
    "connections, a cache host",
    "lookups a second, a cache host",
    "fills a second, a cache host",
    "connections, change log",
    "told by the change log, B/s",
    "processor of one dispatcher, ms a second",
];

/// Measures `count` dispatchers of one site, each under the same load; all lookups miss, so that every request is
/// filled.
pub(super) async fn by_dispatchers(environment: RunEnvironment, count: f64) -> MeasureResult {
    let listed = fleet(LOCAL_CACHES, REMOTE_CACHES, |number| environment.node_address(number));
    let hosts = listed.iter().filter(|node| node.site == 0).map(|node| node.address);
    let answer_settings =
        AnswerSettings { delay: Duration::from_millis(5), body_bytes: 1_000, misses: Misses::All };
    let nodes = Nodes::start(hosts.collect(), answer_settings).await?;
    let snapshot = snapshot_event(&listed);
    let log = ChangeLog::start(environment.change_log_address(), vec![snapshot.clone()]).await?;
    let (mut dispatchers, mut clients) = (Vec::new(), Vec::new());
    for number in 0..count as u16 {
        let run =
            RunEnvironment { number, seed: environment.seed + u64::from(number), ..environment.clone() };
        let settings = DispatcherSettings { deadline_s: 6.0, sockets: 1_024, operator: None, seed: run.seed };
        dispatchers.push(Dispatcher::start(&run, &settings, &snapshot, &log).await?);
        let load = Load {
            per_s: REQUESTS_PER_S,
            connections: 8,
            idle_connections: 0,
            objects: 10_000,
            timeout: Duration::from_secs(6),
            stated_kb: 50.0,
            seed: run.seed,
        };
        clients.push(Clients::start(run.dispatcher_address(), load).await?);
    }
    let mut rng = StdRng::seed_from_u64(environment.seed);
    let _events = add_events_at_rate(&log, PURGES_PER_S, move |number| purge(number, unix_ms(), &mut rng));
    tokio::time::sleep(WARM_UP).await;
    let count =
        || [&nodes.counters.lookups, &nodes.counters.fills].map(|count| count.load(Ordering::Relaxed) as f64);
    let (before, bytes, started) = (count(), log.bytes(), Instant::now());
    let window = dispatchers[0].measure_window(environment.window).await?;
    let secs = started.elapsed().as_secs_f64();
    let [lookups, fills] = [0, 1].map(|at| (count()[at] - before[at]) / secs / LOCAL_CACHES as f64);
    Ok(vec![
        nodes.counters.open_connections.load(Ordering::Relaxed) as f64 / LOCAL_CACHES as f64,
        lookups,
        fills,
        log.followers() as f64,
        (log.bytes() - bytes) as f64 / secs,
        window.core_share * 1e3,
    ])
}
