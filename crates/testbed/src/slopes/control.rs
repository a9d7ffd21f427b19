//! Slopes of control: one dispatcher that serves nobody, by what it is told.

use super::Measured;
use super::change_log::ChangeLog;
use super::dispatcher::{
    Dispatcher, ListedNode, Place, SITES, Told, Window, changed_line, fleet, whole_list,
};
use crate::world::unix_ms;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Caches of the told fleet.
const CACHES: usize = 120;
/// Purges a second of the told fleet, and the part of them that names a group.
const PURGES_PER_S: f64 = 6.0;
const GROUPS_PART: f64 = 0.02;
/// Events that come at a rate are added so often: hardly ever two at once.
const ADDED_EVERY: Duration = Duration::from_millis(1);
/// What versions of rules say in turn, and how far ahead they act.
const PULLS: [u32; 4] = [3, 6, 2, 5];
const AHEAD_MS: u64 = 4_000;

/// What every window of control is measured in.
pub(super) const WINDOW: [&str; 4] =
    ["processor, ms a second", "told by the change log, B/s", "resident, MB", "descriptors"];

fn in_row(window: &Window) -> Vec<f64> {
    vec![window.core * 1e3, window.log_bytes_per_s, window.resident_mb, window.descriptors]
}

fn told(place: &Place) -> Told {
    Told { deadline_s: 6.0, sockets: 1_024, operator: None, seed: place.seed }
}

/// The told fleet's nodes; nobody listens there.
fn nodes(place: &Place, caches: usize) -> Vec<ListedNode> {
    let own = caches.div_ceil(SITES);
    fleet(own, caches - own, |number| place.node(number))
}

/// A purge with this number: of an object as a rule, told at this Unix millisecond.
pub(super) fn purge(number: u64, time_ms: u64, chance: &mut StdRng) -> String {
    let event = match chance.random::<f64>() < GROUPS_PART {
        true => {
            json!({"seq": number, "invalidate": {"bucket": chance.random_range(0..200), "time": time_ms}})
        }
        false => {
            let object = format!("{:016x}", chance.random::<u64>());
            json!({"seq": number, "invalidate": {"object": object, "time": time_ms}})
        }
    };
    event.to_string()
}

/// Adds events at a rate until the task is dropped.
pub(super) fn add_at(
    log: &Arc<ChangeLog>,
    per_s: f64,
    event: impl FnMut(u64) -> String + Send + 'static,
) -> Adding {
    let (log, mut event) = (log.clone(), event);
    Adding(tokio::spawn(async move {
        let (begun, mut added) = (tokio::time::Instant::now(), 0);
        let mut ticks = tokio::time::interval(ADDED_EVERY);
        loop {
            ticks.tick().await;
            let due = (begun.elapsed().as_secs_f64() * per_s) as usize;
            if due > added {
                log.add(due - added, &mut event);
                added = due;
            }
        }
    }))
}

/// Events that are being added.
pub(super) struct Adding(tokio::task::JoinHandle<()>);

impl Drop for Adding {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// By nodes in the list: the start too, and what a list of them costs to take.
pub(super) async fn by_nodes(place: Place, count: f64) -> Measured {
    let list = whole_list(&nodes(&place, count as usize));
    let log = ChangeLog::start(place.log(), vec![list.clone()]).await?;
    let dispatcher = Dispatcher::start(&place, &told(&place), &list, &log).await?;
    let start = dispatcher.settle().await?;
    let window = dispatcher.window(place.window).await?;
    let mut row = in_row(&window);
    row.insert(0, start.processor.as_secs_f64() * 1e3);
    Ok(row)
}

/// By purges a second.
pub(super) async fn by_purges(place: Place, per_s: f64) -> Measured {
    let list = whole_list(&nodes(&place, CACHES));
    let log = ChangeLog::start(place.log(), vec![list.clone()]).await?;
    let dispatcher = Dispatcher::start(&place, &told(&place), &list, &log).await?;
    dispatcher.settle().await?;
    let mut chance = StdRng::seed_from_u64(place.seed);
    let _adding = add_at(&log, per_s, move |number| purge(number, unix_ms(), &mut chance));
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(in_row(&dispatcher.window(place.window).await?))
}

/// A dispatcher with copies of its own, as the platform's operator file has them.
pub(super) async fn by_purges_with_copies(place: Place, per_s: f64) -> Measured {
    let list = whole_list(&nodes(&place, CACHES));
    let log = ChangeLog::start(place.log(), vec![list.clone()]).await?;
    let told = Told { operator: Some(json!({"copies": {"memory_mb": 4}})), ..told(&place) };
    let dispatcher = Dispatcher::start(&place, &told, &list, &log).await?;
    dispatcher.settle().await?;
    let mut chance = StdRng::seed_from_u64(place.seed);
    let _adding = add_at(&log, per_s, move |number| purge(number, unix_ms(), &mut chance));
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(in_row(&dispatcher.window(place.window).await?))
}

/// By purges of a backlog, six a second of the time that went by, all told at once; what the start costs without one
/// is part of it.
pub(super) async fn by_backlog(place: Place, count: f64) -> Measured {
    let all = backlog(place.seed, count as u64, 1e3 / PURGES_PER_S);
    take_at_once(&place, &told(&place), all).await
}

/// The same with copies of its own, and all purges as young as can be: none of them is forgotten while they come.
pub(super) async fn by_backlog_with_copies(place: Place, count: f64) -> Measured {
    let all = backlog(place.seed, count as u64, 0.0);
    let told = Told { operator: Some(json!({"copies": {"memory_mb": 4}})), ..told(&place) };
    take_at_once(&place, &told, all).await
}

/// Purges from event 2 on, so many milliseconds apart, up to now.
fn backlog(seed: u64, count: u64, apart_ms: f64) -> Vec<String> {
    let (mut chance, now_ms) = (StdRng::seed_from_u64(seed), unix_ms());
    let time_ms = |at: u64| now_ms - ((count - at) as f64 * apart_ms) as u64;
    (0..count).map(|at| purge(at + 2, time_ms(at), &mut chance)).collect()
}

async fn take_at_once(place: &Place, told: &Told, backlog: Vec<String>) -> Measured {
    let list = whole_list(&nodes(place, CACHES));
    let mut events = vec![list.clone()];
    events.extend(backlog);
    let log = ChangeLog::start(place.log(), events).await?;
    let dispatcher = Dispatcher::start(place, told, &list, &log).await?;
    let taken = dispatcher.settle().await?;
    let row = [
        taken.processor.as_secs_f64() * 1e3,
        log.bytes() as f64,
        taken.resident_mb,
        taken.descriptors as f64,
    ];
    Ok(row.to_vec())
}

/// By changes of one node's line a second.
pub(super) async fn by_list_changes(place: Place, per_s: f64) -> Measured {
    let listed = nodes(&place, CACHES);
    let list = whole_list(&listed);
    let log = ChangeLog::start(place.log(), vec![list.clone()]).await?;
    let dispatcher = Dispatcher::start(&place, &told(&place), &list, &log).await?;
    dispatcher.settle().await?;
    let _adding = add_at(&log, per_s, move |number| changed_line(&listed, number));
    Ok(in_row(&dispatcher.window(place.window).await?))
}

/// By versions of rules a second, with the agreement on.
pub(super) async fn by_versions(place: Place, per_s: f64) -> Measured {
    let list = whole_list(&nodes(&place, CACHES));
    let log = ChangeLog::start(place.log(), vec![list.clone()]).await?;
    let agreement = json!({"agreement": {"lease_s": 3, "clock_error_s": 0.25, "slack_s": 0.5, "floor": {"max_pulls": 2}}});
    let told = Told { operator: Some(agreement), ..told(&place) };
    let dispatcher = Dispatcher::start(&place, &told, &list, &log).await?;
    dispatcher.settle().await?;
    let (mut version, mut after) = (0, String::new());
    let _adding = add_at(&log, per_s, move |number| {
        version += 1;
        let rules = [("max_pulls".to_string(), json!(PULLS[version as usize % PULLS.len()]))];
        let (issued_ms, issuer) = (unix_ms(), "lab".to_string());
        let issue = IssuedVersion {
            version,
            after: std::mem::take(&mut after),
            issuer,
            issued_ms,
            from_ms: issued_ms + AHEAD_MS,
            rules: rules.into_iter().collect(),
            floor: None,
        };
        after = format_digest(version, issue.digest());
        json!({"seq": number, "rules": issue}).to_string()
    });
    Ok(in_row(&dispatcher.window(place.window).await?))
}
