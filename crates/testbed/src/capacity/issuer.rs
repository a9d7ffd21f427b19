//! What the change log is told to issue: purges at random moments, changes of the list evenly, versions of the rules one
//! by one. While the log is away nothing is issued; it waits.

use super::clock::unix_us;
use super::rig::Rig;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// What versions of the rules say in turn: how many attempts a request may take.
const MAX_PULLS: [u32; 3] = [2, 6, 4];
/// Sizes that a cache's line in the list says in turn.
const WEIGHTS: [u32; 2] = [900, 1_000];

/// Waits until a moment, and then until the log is up.
async fn wait(due: Instant, up: &mut watch::Receiver<bool>) {
    tokio::time::sleep_until(due.into()).await;
    let _ = up.wait_for(|up| *up).await;
}

/// Issues purges until the end; one each so often is looked for by observers.
pub(super) async fn purges(rig: Arc<Rig>, until: Instant, mut up: watch::Receiver<bool>) {
    let mut chance = StdRng::seed_from_u64(rig.scenario.seed.rotate_left(16));
    let changes = rig.scenario.changes.clone();
    let mut due = Instant::now();
    let mut next_probe = due;
    loop {
        let wait_s = -(1.0 - chance.random::<f64>()).ln() / changes.purges_per_s;
        due += Duration::from_secs_f64(wait_s);
        if due >= until {
            return;
        }
        wait(due, &mut up).await;
        due = due.max(Instant::now() - Duration::from_secs(1));
        let issued = rig.log.purge(format!("{:016x}", chance.random::<u64>()));
        if due >= next_probe {
            next_probe = due + Duration::from_secs_f64(changes.probe_each_s);
            // Without observers nobody looks.
            let _ = rig.probes.send(issued);
        }
    }
}

/// Issues changes of the list until the end.
pub(super) async fn lists(rig: Arc<Rig>, until: Instant, mut up: watch::Receiver<bool>) {
    let (begun, count) = (Instant::now(), rig.scenario.changes.lists);
    for number in 0..count {
        wait(begun + (until - begun).mul_f64(number as f64 / count as f64), &mut up).await;
        let node = number % rig.scenario.fleet.caches;
        rig.log.list(node, WEIGHTS[(number / rig.scenario.fleet.caches) % WEIGHTS.len()]);
    }
}

/// Issues versions of the rules until the end.
pub(super) async fn versions(rig: Arc<Rig>, until: Instant, mut up: watch::Receiver<bool>) {
    let changes = rig.scenario.changes.clone();
    if changes.version_each_s <= 0.0 {
        return;
    }
    let ahead_ms = (changes.ahead_s * 1e3) as u64;
    let (mut number, mut after) = (0, String::new());
    let mut due = Instant::now();
    while due < until {
        wait(due, &mut up).await;
        due += Duration::from_secs_f64(changes.version_each_s);
        number += 1;
        let issued_ms = unix_us() / 1_000;
        let attempts = MAX_PULLS[number as usize % MAX_PULLS.len()];
        let issue = IssuedVersion {
            version: number,
            after: after.clone(),
            issuer: "lab".into(),
            issued_ms,
            from_ms: issued_ms + ahead_ms,
            rules: [("max_pulls".to_string(), json!(attempts))].into_iter().collect(),
            floor: None,
        };
        rig.log.version(number, json!(issue));
        after = format_digest(number, issue.digest());
    }
}
