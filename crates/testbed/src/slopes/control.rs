//! Slopes of the control plane: one dispatcher without clients, by the number of nodes, purges, list changes and
//! versions of rules that the change log sends. Each `by_...` function measures one size and is called through
//! `catalogue::SLOPES`.

use super::MeasureResult;
use super::change_log::ChangeLog;
use super::dispatcher::{
    Dispatcher, DispatcherSettings, ListedNode, RunEnvironment, SITES, Window, delta_event, fleet,
    snapshot_event,
};
use crate::world::unix_ms;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Caches of the specified fleet.
const CACHES: usize = 120;
/// Purges per second of the specified fleet.
const PURGES_PER_S: f64 = 6.0;
/// Share of purges that name a group (`bucket`) instead of an object.
const GROUP_PURGE_SHARE: f64 = 0.02;
/// Interval at which due events are added: short enough that two are rarely added at once.
const ADD_INTERVAL: Duration = Duration::from_millis(1);
/// Values of the rule `max_pulls`, one per version, repeated in turn.
const MAX_PULLS: [u32; 4] = [3, 6, 2, 5];
/// Time from the issue of a version to its activation time, in milliseconds.
const ACTIVATION_DELAY_MS: u64 = 4_000;

/// Headings of the values measured over a window, in the order of the result.
pub(super) const MEASURES: [&str; 4] =
    ["processor, ms a second", "told by the change log, B/s", "resident, MB", "descriptors"];

fn window_row(window: &Window) -> Vec<f64> {
    vec![window.core_share * 1e3, window.log_bytes_per_s, window.resident_mb, window.descriptors]
}

fn default_settings(environment: &RunEnvironment) -> DispatcherSettings {
    DispatcherSettings { deadline_s: 6.0, sockets: 1_024, operator: None, seed: environment.seed }
}

/// Node list with this number of caches; nothing listens at their addresses.
fn fleet_nodes(environment: &RunEnvironment, caches: usize) -> Vec<ListedNode> {
    let own_caches = caches.div_ceil(SITES);
    fleet(own_caches, caches - own_caches, |number| environment.node_address(number))
}

/// Event `number`: a purge issued at `time_ms` (Unix time), usually of an object, sometimes of a group.
pub(super) fn purge(number: u64, time_ms: u64, rng: &mut StdRng) -> String {
    let event = match rng.random::<f64>() < GROUP_PURGE_SHARE {
        true => {
            json!({"seq": number, "invalidate": {"bucket": rng.random_range(0..200), "time": time_ms}})
        }
        false => {
            let object = format!("{:016x}", rng.random::<u64>());
            json!({"seq": number, "invalidate": {"object": object, "time": time_ms}})
        }
    };
    event.to_string()
}

/// Adds events at a rate until the returned value is dropped.
pub(super) fn add_events_at_rate(
    log: &Arc<ChangeLog>,
    per_s: f64,
    event: impl FnMut(u64) -> String + Send + 'static,
) -> EventAdder {
    let (log, mut event) = (log.clone(), event);
    EventAdder(tokio::spawn(async move {
        let (started, mut added) = (tokio::time::Instant::now(), 0);
        let mut ticks = tokio::time::interval(ADD_INTERVAL);
        loop {
            ticks.tick().await;
            let due = (started.elapsed().as_secs_f64() * per_s) as usize;
            if due > added {
                log.add(due - added, &mut event);
                added = due;
            }
        }
    }))
}

/// Task that adds events; it is aborted on drop.
pub(super) struct EventAdder(tokio::task::JoinHandle<()>);

impl Drop for EventAdder {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// By caches in the node list. Also returns the processor time of the start, which includes loading the list.
pub(super) async fn by_nodes(environment: RunEnvironment, count: f64) -> MeasureResult {
    let snapshot = snapshot_event(&fleet_nodes(&environment, count as usize));
    let log = ChangeLog::start(environment.change_log_address(), vec![snapshot.clone()]).await?;
    let dispatcher =
        Dispatcher::start(&environment, &default_settings(&environment), &snapshot, &log).await?;
    let start = dispatcher.settle().await?;
    let window = dispatcher.measure_window(environment.window).await?;
    let mut row = window_row(&window);
    row.insert(0, start.processor.as_secs_f64() * 1e3);
    Ok(row)
}

/// By purges per second.
pub(super) async fn by_purges(environment: RunEnvironment, per_s: f64) -> MeasureResult {
    let snapshot = snapshot_event(&fleet_nodes(&environment, CACHES));
    let log = ChangeLog::start(environment.change_log_address(), vec![snapshot.clone()]).await?;
    let dispatcher =
        Dispatcher::start(&environment, &default_settings(&environment), &snapshot, &log).await?;
    dispatcher.settle().await?;
    let mut rng = StdRng::seed_from_u64(environment.seed);
    let _events = add_events_at_rate(&log, per_s, move |number| purge(number, unix_ms(), &mut rng));
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(window_row(&dispatcher.measure_window(environment.window).await?))
}

/// By purges per second, for a dispatcher with a local cache of 4 MB, as the platform's operator file sets it.
pub(super) async fn by_purges_with_local_cache(environment: RunEnvironment, per_s: f64) -> MeasureResult {
    let snapshot = snapshot_event(&fleet_nodes(&environment, CACHES));
    let log = ChangeLog::start(environment.change_log_address(), vec![snapshot.clone()]).await?;
    let settings = DispatcherSettings {
        operator: Some(json!({"copies": {"memory_mb": 4}})),
        ..default_settings(&environment)
    };
    let dispatcher = Dispatcher::start(&environment, &settings, &snapshot, &log).await?;
    dispatcher.settle().await?;
    let mut rng = StdRng::seed_from_u64(environment.seed);
    let _events = add_events_at_rate(&log, per_s, move |number| purge(number, unix_ms(), &mut rng));
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(window_row(&dispatcher.measure_window(environment.window).await?))
}

/// By purges of a backlog that is sent at once; their issue times are `1 / PURGES_PER_S` seconds apart. The result
/// includes the cost of a start without a backlog.
pub(super) async fn by_backlog(environment: RunEnvironment, count: f64) -> MeasureResult {
    let all = backlog(environment.seed, count as u64, 1e3 / PURGES_PER_S);
    measure_start_with_backlog(&environment, &default_settings(&environment), all).await
}

/// Like `by_backlog`, with a local cache and with all purges issued now, so that none expires while they are received.
pub(super) async fn by_backlog_with_local_cache(environment: RunEnvironment, count: f64) -> MeasureResult {
    let all = backlog(environment.seed, count as u64, 0.0);
    let settings = DispatcherSettings {
        operator: Some(json!({"copies": {"memory_mb": 4}})),
        ..default_settings(&environment)
    };
    measure_start_with_backlog(&environment, &settings, all).await
}

/// Purges with event numbers from 2 on, issued `apart_ms` apart, the last one `apart_ms` before now.
fn backlog(seed: u64, count: u64, apart_ms: f64) -> Vec<String> {
    let (mut rng, now_ms) = (StdRng::seed_from_u64(seed), unix_ms());
    let time_ms = |at: u64| now_ms - ((count - at) as f64 * apart_ms) as u64;
    (0..count).map(|at| purge(at + 2, time_ms(at), &mut rng)).collect()
}

/// Starts a dispatcher against a change log with this backlog and measures its use until it settles.
async fn measure_start_with_backlog(
    environment: &RunEnvironment,
    settings: &DispatcherSettings,
    backlog: Vec<String>,
) -> MeasureResult {
    let snapshot = snapshot_event(&fleet_nodes(environment, CACHES));
    let mut events = vec![snapshot.clone()];
    events.extend(backlog);
    let log = ChangeLog::start(environment.change_log_address(), events).await?;
    let dispatcher = Dispatcher::start(environment, settings, &snapshot, &log).await?;
    let used = dispatcher.settle().await?;
    let row =
        [used.processor.as_secs_f64() * 1e3, log.bytes() as f64, used.resident_mb, used.descriptors as f64];
    Ok(row.to_vec())
}

/// By node list deltas per second, each of which changes one node.
pub(super) async fn by_list_changes(environment: RunEnvironment, per_s: f64) -> MeasureResult {
    let listed = fleet_nodes(&environment, CACHES);
    let snapshot = snapshot_event(&listed);
    let log = ChangeLog::start(environment.change_log_address(), vec![snapshot.clone()]).await?;
    let dispatcher =
        Dispatcher::start(&environment, &default_settings(&environment), &snapshot, &log).await?;
    dispatcher.settle().await?;
    let _events = add_events_at_rate(&log, per_s, move |number| delta_event(&listed, number));
    Ok(window_row(&dispatcher.measure_window(environment.window).await?))
}

/// By versions of rules per second, with agreement on rules switched on.
pub(super) async fn by_versions(environment: RunEnvironment, per_s: f64) -> MeasureResult {
    let snapshot = snapshot_event(&fleet_nodes(&environment, CACHES));
    let log = ChangeLog::start(environment.change_log_address(), vec![snapshot.clone()]).await?;
    let agreement = json!({"agreement": {"lease_s": 3, "clock_error_s": 0.25, "slack_s": 0.5, "floor": {"max_pulls": 2}}});
    let settings = DispatcherSettings { operator: Some(agreement), ..default_settings(&environment) };
    let dispatcher = Dispatcher::start(&environment, &settings, &snapshot, &log).await?;
    dispatcher.settle().await?;
    let (mut version, mut after) = (0, String::new());
    let _events = add_events_at_rate(&log, per_s, move |number| {
        version += 1;
        let rules = [("max_pulls".to_string(), json!(MAX_PULLS[version as usize % MAX_PULLS.len()]))];
        let (issued_ms, issuer) = (unix_ms(), "lab".to_string());
        let issue = IssuedVersion {
            version,
            after: std::mem::take(&mut after),
            issuer,
            issued_ms,
            from_ms: issued_ms + ACTIVATION_DELAY_MS,
            rules: rules.into_iter().collect(),
            floor: None,
        };
        after = format_digest(version, issue.digest());
        json!({"seq": number, "rules": issue}).to_string()
    });
    Ok(window_row(&dispatcher.measure_window(environment.window).await?))
}
