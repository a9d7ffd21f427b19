//! What several dispatchers of one site ask of cache hosts and of the change log: real processes side by side, so that a
//! figure for many can be multiplied from few.

use super::Measured;
use super::change_log::ChangeLog;
use super::control::{add_at, purge};
use super::dispatcher::{Dispatcher, Place, Told, fleet, whole_list};
use super::load::{Clients, Load};
use super::nodes::{Answering, Misses, Nodes};
use crate::world::unix_ms;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const OWN: usize = 4;
const ELSEWHERE: usize = 116;
/// Requests a second of one dispatcher.
const REQUESTS_PER_S: f64 = 100.0;
const PURGES_PER_S: f64 = 6.0;
const WARM_UP: Duration = Duration::from_secs(3);

/// What is measured at those who are asked.
pub(super) const BORNE: [&str; 6] = [
    "connections, a cache host",
    "lookups a second, a cache host",
    "fills a second, a cache host",
    "connections, change log",
    "told by the change log, B/s",
    "processor of one dispatcher, ms a second",
];

/// By dispatchers of one site, each under the same load; all requests miss and are filled.
pub(super) async fn by_dispatchers(place: Place, count: f64) -> Measured {
    let listed = fleet(OWN, ELSEWHERE, |number| place.node(number));
    let hosts = listed.iter().filter(|node| node.site == 0).map(|node| node.address);
    let answering = Answering { delay: Duration::from_millis(5), bytes: 1_000, misses: Misses::All };
    let nodes = Nodes::start(hosts.collect(), answering).await?;
    let list = whole_list(&listed);
    let log = ChangeLog::start(place.log(), vec![list.clone()]).await?;
    let (mut dispatchers, mut clients) = (Vec::new(), Vec::new());
    for number in 0..count as u16 {
        let own = Place { number, seed: place.seed + u64::from(number), ..place.clone() };
        let told = Told { deadline_s: 6.0, sockets: 1_024, operator: None, seed: own.seed };
        dispatchers.push(Dispatcher::start(&own, &told, &list, &log).await?);
        let load = Load {
            per_s: REQUESTS_PER_S,
            connections: 8,
            idle: 0,
            objects: 10_000,
            timeout: Duration::from_secs(6),
            told_kb: 50.0,
            seed: own.seed,
        };
        clients.push(Clients::start(own.listen(), load).await?);
    }
    let mut chance = StdRng::seed_from_u64(place.seed);
    let _adding = add_at(&log, PURGES_PER_S, move |number| purge(number, unix_ms(), &mut chance));
    tokio::time::sleep(WARM_UP).await;
    let count = || [&nodes.seen.lookups, &nodes.seen.fills].map(|count| count.load(Ordering::Relaxed) as f64);
    let (before, bytes, begun) = (count(), log.bytes(), Instant::now());
    let window = dispatchers[0].window(place.window).await?;
    let secs = begun.elapsed().as_secs_f64();
    let [lookups, fills] = [0, 1].map(|at| (count()[at] - before[at]) / secs / OWN as f64);
    Ok(vec![
        nodes.seen.connections.load(Ordering::Relaxed) as f64 / OWN as f64,
        lookups,
        fills,
        log.followers() as f64,
        (log.bytes() - bytes) as f64 / secs,
        window.core * 1e3,
    ])
}
