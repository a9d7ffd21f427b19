//! Slopes of requests: one dispatcher under load, by rate, time-out, bytes, requests open, objects, clients and nodes.

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
use std::time::Duration;

/// Caches of the own site, and those of other sites, of the told fleet.
const OWN: usize = 4;
const ELSEWHERE: usize = 116;
/// Beyond what is waited for, so much goes by before the window begins.
const WARM_UP: Duration = Duration::from_secs(2);
/// A client may have 32 requests open on a connection: with fewer none is rejected for it.
const OPEN_ON_ONE: f64 = 20.0;
/// What a request tells where nodes answer late: so large that none counts as slow.
const UNHURRIED_KB: f64 = 25_000.0;

/// What every window under load is measured in.
pub(super) const WINDOW: [&str; 5] =
    ["processor, us a request", "processor, ms a second", "resident, MB", "descriptors", "served, %"];

/// One case: the dispatcher, what is around it, and who asks.
struct Case {
    own: usize,
    elsewhere: usize,
    answering: Answering,
    load: Load,
    purges_per_s: f64,
    warm_up: Duration,
}

impl Case {
    /// The told fleet's site, small bodies, 1,000 requests a second, all found in caches.
    fn usual(place: &Place) -> Case {
        Case {
            own: OWN,
            elsewhere: ELSEWHERE,
            answering: Answering { delay: Duration::ZERO, bytes: 1_000, misses: Misses::None },
            load: Load {
                per_s: 1_000.0,
                connections: 32,
                idle: 0,
                objects: 10_000,
                timeout: Duration::from_secs(6),
                told_kb: 50.0,
                seed: place.seed,
            },
            purges_per_s: 0.0,
            warm_up: WARM_UP,
        }
    }

    async fn measure(self, place: &Place) -> Measured {
        let listed = fleet(self.own, self.elsewhere, |number| place.node(number));
        let asked =
            listed.iter().filter(|node| node.site == 0 || node.kind != "caches").map(|node| node.address);
        let nodes = Nodes::start(asked.collect(), self.answering).await?;
        let list = whole_list(&listed);
        let log = ChangeLog::start(place.log(), vec![list.clone()]).await?;
        let told = Told { deadline_s: 60.0, sockets: 4_096, operator: None, seed: place.seed };
        let dispatcher = Dispatcher::start(place, &told, &list, &log).await?;
        let clients = Clients::start(place.listen(), self.load).await?;
        let mut chance = StdRng::seed_from_u64(place.seed);
        let _purging = add_at(&log, self.purges_per_s, move |number| purge(number, unix_ms(), &mut chance));
        tokio::time::sleep(self.warm_up).await;
        let count = || {
            let answers = &clients.answers;
            [&answers.served, &answers.unserved].map(|count| count.load(Ordering::Relaxed))
        };
        let before = count();
        let window = dispatcher.window(place.window).await?;
        let [served, unserved] = [0, 1].map(|at| (count()[at] - before[at]) as f64);
        let answered = (served + unserved).max(1.0);
        drop(nodes);
        Ok(vec![
            window.core * window.secs * 1e6 / answered,
            window.core * 1e3,
            window.resident_mb,
            window.descriptors,
            100.0 * served / answered,
        ])
    }
}

/// By requests a second.
pub(super) async fn by_rate(place: Place, per_s: f64) -> Measured {
    let mut case = Case::usual(&place);
    case.load.per_s = per_s;
    // None of them may have more open than it may.
    case.load.connections = (per_s / 500.0).ceil().max(16.0) as usize;
    case.measure(&place).await
}

/// By the time that clients wait, in seconds; what was asked for within it may still be known.
pub(super) async fn by_timeout(place: Place, secs: f64) -> Measured {
    let mut case = Case::usual(&place);
    case.load.timeout = Duration::from_secs_f64(secs);
    case.warm_up = case.load.timeout + WARM_UP;
    case.measure(&place).await
}

/// By the bytes of an answer, at 200 requests a second.
pub(super) async fn by_bytes(place: Place, kilobytes: f64) -> Measured {
    let mut case = Case::usual(&place);
    case.load.per_s = 200.0;
    case.load.told_kb = kilobytes;
    case.answering.bytes = (kilobytes * 1e3) as usize;
    case.measure(&place).await
}

fn with_open(place: &Place, open: f64) -> Case {
    let mut case = Case::usual(place);
    case.load.per_s = 500.0;
    case.load.connections = (open / OPEN_ON_ONE).ceil().max(16.0) as usize;
    case.load.timeout = Duration::from_secs(30);
    case.load.told_kb = UNHURRIED_KB;
    case.answering.delay = Duration::from_secs_f64(open / case.load.per_s);
    case.warm_up = case.answering.delay + WARM_UP;
    case
}

/// By requests that are open at once, at 500 a second.
pub(super) async fn by_open(place: Place, open: f64) -> Measured {
    with_open(&place, open).measure(&place).await
}

/// The same while 300 purges a second come.
pub(super) async fn by_open_with_purges(place: Place, open: f64) -> Measured {
    let mut case = with_open(&place, open);
    case.purges_per_s = 300.0;
    case.measure(&place).await
}

/// By purges a second while requests come: those held are searched for each.
pub(super) async fn by_purges_held(place: Place, per_s: f64) -> Measured {
    let mut case = Case::usual(&place);
    case.purges_per_s = per_s;
    // A purge is held for 7 s.
    case.warm_up = Duration::from_secs(8);
    case.measure(&place).await
}

/// By distinct objects.
pub(super) async fn by_objects(place: Place, objects: f64) -> Measured {
    let mut case = Case::usual(&place);
    case.load.per_s = 5_000.0;
    case.load.objects = objects as u64;
    // As many requests as the ghost cache has entries, and half as many again.
    case.warm_up = Duration::from_secs(6);
    case.measure(&place).await
}

/// By clients that ask for nothing.
pub(super) async fn by_idle(place: Place, idle: f64) -> Measured {
    let mut case = Case::usual(&place);
    case.load.idle = idle as usize;
    case.measure(&place).await
}

/// By connections over which the same requests come.
pub(super) async fn by_connections(place: Place, connections: f64) -> Measured {
    let mut case = Case::usual(&place);
    case.load.connections = connections as usize;
    case.measure(&place).await
}

/// By caches of the own site.
pub(super) async fn by_own_caches(place: Place, caches: f64) -> Measured {
    let mut case = Case::usual(&place);
    case.own = caches as usize;
    case.measure(&place).await
}

/// By caches of the whole fleet, where each request misses and is filled.
pub(super) async fn by_fleet_with_fills(place: Place, caches: f64) -> Measured {
    let mut case = Case::usual(&place);
    case.elsewhere = (caches as usize).saturating_sub(OWN);
    case.answering.misses = Misses::All;
    case.measure(&place).await
}
