//! Slopes of request handling: one dispatcher under load, by request rate, timeout, answer size, open requests, purges,
//! objects, clients and nodes. Each `by_...` function measures one size and is called through `catalogue::SLOPES`.

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
use std::time::Duration;

/// Caches of the dispatcher's own site in the specified fleet.
const LOCAL_CACHES: usize = 4;
/// Caches of all other sites together.
const REMOTE_CACHES: usize = 116;
/// Time under load before the window begins, in addition to the answer delay or timeout of a case.
const WARM_UP: Duration = Duration::from_secs(2);
/// Open requests planned per connection. The dispatcher allows 32; planning fewer avoids rejections for that limit.
const OPEN_REQUESTS_PER_CONNECTION: f64 = 20.0;
/// Object size that requests state where nodes answer late, in KB: so large that no answer counts as slow.
const LARGE_STATED_KB: f64 = 25_000.0;

/// Headings of the measured values, in the order of the result.
pub(super) const MEASURES: [&str; 5] =
    ["processor, us a request", "processor, ms a second", "resident, MB", "descriptors", "served, %"];

/// One case: the fleet around the dispatcher, how nodes answer, and the load.
struct Case {
    /// Caches of the dispatcher's own site.
    local_caches: usize,
    /// Caches of all other sites together.
    remote_caches: usize,
    answer_settings: AnswerSettings,
    load: Load,
    purges_per_s: f64,
    warm_up: Duration,
}

impl Case {
    /// The default case: a site of the specified fleet, bodies of 1 KB, 1,000 requests per second, every lookup a hit.
    fn default_case(environment: &RunEnvironment) -> Case {
        Case {
            local_caches: LOCAL_CACHES,
            remote_caches: REMOTE_CACHES,
            answer_settings: AnswerSettings {
                delay: Duration::ZERO,
                body_bytes: 1_000,
                misses: Misses::None,
            },
            load: Load {
                per_s: 1_000.0,
                connections: 32,
                idle_connections: 0,
                objects: 10_000,
                timeout: Duration::from_secs(6),
                stated_kb: 50.0,
                seed: environment.seed,
            },
            purges_per_s: 0.0,
            warm_up: WARM_UP,
        }
    }

    async fn measure(self, environment: &RunEnvironment) -> MeasureResult {
        let listed = fleet(self.local_caches, self.remote_caches, |number| environment.node_address(number));
        let targets =
            listed.iter().filter(|node| node.site == 0 || node.kind != "caches").map(|node| node.address);
        let nodes = Nodes::start(targets.collect(), self.answer_settings).await?;
        let snapshot = snapshot_event(&listed);
        let log = ChangeLog::start(environment.change_log_address(), vec![snapshot.clone()]).await?;
        let settings =
            DispatcherSettings { deadline_s: 60.0, sockets: 4_096, operator: None, seed: environment.seed };
        let dispatcher = Dispatcher::start(environment, &settings, &snapshot, &log).await?;
        let clients = Clients::start(environment.dispatcher_address(), self.load).await?;
        let mut rng = StdRng::seed_from_u64(environment.seed);
        let _purges =
            add_events_at_rate(&log, self.purges_per_s, move |number| purge(number, unix_ms(), &mut rng));
        tokio::time::sleep(self.warm_up).await;
        let count = || {
            let answers = &clients.answers;
            [&answers.served, &answers.unserved].map(|count| count.load(Ordering::Relaxed))
        };
        let before = count();
        let window = dispatcher.measure_window(environment.window).await?;
        let [served, unserved] = [0, 1].map(|at| (count()[at] - before[at]) as f64);
        let answered = (served + unserved).max(1.0);
        drop(nodes);
        Ok(vec![
            window.core_share * window.length_s * 1e6 / answered,
            window.core_share * 1e3,
            window.resident_mb,
            window.descriptors,
            100.0 * served / answered,
        ])
    }
}

/// By requests per second.
pub(super) async fn by_rate(environment: RunEnvironment, per_s: f64) -> MeasureResult {
    let mut case = Case::default_case(&environment);
    case.load.per_s = per_s;
    // Enough connections that none reaches its limit of open requests.
    case.load.connections = (per_s / 500.0).ceil().max(16.0) as usize;
    case.measure(&environment).await
}

/// By the clients' timeout, in seconds. The dispatcher may remember requests for as long, hence the longer warm-up.
pub(super) async fn by_timeout(environment: RunEnvironment, secs: f64) -> MeasureResult {
    let mut case = Case::default_case(&environment);
    case.load.timeout = Duration::from_secs_f64(secs);
    case.warm_up = case.load.timeout + WARM_UP;
    case.measure(&environment).await
}

/// By the size of an answer in KB, at 200 requests per second.
pub(super) async fn by_bytes(environment: RunEnvironment, kilobytes: f64) -> MeasureResult {
    let mut case = Case::default_case(&environment);
    case.load.per_s = 200.0;
    case.load.stated_kb = kilobytes;
    case.answer_settings.body_bytes = (kilobytes * 1e3) as usize;
    case.measure(&environment).await
}

/// A case of 500 requests per second in which nodes answer late enough to keep `open` requests open.
fn with_open_requests(environment: &RunEnvironment, open: f64) -> Case {
    let mut case = Case::default_case(environment);
    case.load.per_s = 500.0;
    case.load.connections = (open / OPEN_REQUESTS_PER_CONNECTION).ceil().max(16.0) as usize;
    case.load.timeout = Duration::from_secs(30);
    case.load.stated_kb = LARGE_STATED_KB;
    case.answer_settings.delay = Duration::from_secs_f64(open / case.load.per_s);
    case.warm_up = case.answer_settings.delay + WARM_UP;
    case
}

/// By requests open at once, at 500 per second.
pub(super) async fn by_open_requests(environment: RunEnvironment, open: f64) -> MeasureResult {
    with_open_requests(&environment, open).measure(&environment).await
}

/// Like `by_open_requests`, with 300 purges per second.
pub(super) async fn by_open_requests_with_purges(environment: RunEnvironment, open: f64) -> MeasureResult {
    let mut case = with_open_requests(&environment, open);
    case.purges_per_s = 300.0;
    case.measure(&environment).await
}

/// By purges per second under load: each request searches the purges that the dispatcher keeps.
pub(super) async fn by_purges_kept(environment: RunEnvironment, per_s: f64) -> MeasureResult {
    let mut case = Case::default_case(&environment);
    case.purges_per_s = per_s;
    // The dispatcher keeps a purge for 7 s; the warm-up must be longer.
    case.warm_up = Duration::from_secs(8);
    case.measure(&environment).await
}

/// By distinct objects.
pub(super) async fn by_objects(environment: RunEnvironment, objects: f64) -> MeasureResult {
    let mut case = Case::default_case(&environment);
    case.load.per_s = 5_000.0;
    case.load.objects = objects as u64;
    // Long enough for 1.5 times as many requests as the ghost cache has entries.
    case.warm_up = Duration::from_secs(6);
    case.measure(&environment).await
}

/// By idle client connections.
pub(super) async fn by_idle_connections(environment: RunEnvironment, idle: f64) -> MeasureResult {
    let mut case = Case::default_case(&environment);
    case.load.idle_connections = idle as usize;
    case.measure(&environment).await
}

/// By the number of connections that carry the same requests.
pub(super) async fn by_connections(environment: RunEnvironment, connections: f64) -> MeasureResult {
    let mut case = Case::default_case(&environment);
    case.load.connections = connections as usize;
    case.measure(&environment).await
}

/// By caches of the dispatcher's own site.
pub(super) async fn by_own_caches(environment: RunEnvironment, caches: f64) -> MeasureResult {
    let mut case = Case::default_case(&environment);
    case.local_caches = caches as usize;
    case.measure(&environment).await
}

/// By caches of the whole fleet, where every lookup misses and is filled.
pub(super) async fn by_fleet_with_fills(environment: RunEnvironment, caches: f64) -> MeasureResult {
    let mut case = Case::default_case(&environment);
    case.remote_caches = (caches as usize).saturating_sub(LOCAL_CACHES);
    case.answer_settings.misses = Misses::All;
    case.measure(&environment).await
}
