//! Versions of rules that are issued while a scenario is played.

use super::Stage;
use crate::scenario::Versions;
use crate::world::{Issued, unix_ms};
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Versions of rules, one after the other until the end, and those that are not good between them.
pub(super) async fn issue(told: Versions, stage: Arc<Stage>, until: Instant) {
    let mut chance = StdRng::seed_from_u64(stage.world.scenario.seed.rotate_left(40));
    let (mut number, mut after) = (0, String::new());
    let mut due = stage.world.start();
    let ahead_ms = (told.ahead_s * 1e3) as u64;
    let version = |number, after: &str, from_ms, attempts: u32| IssuedVersion {
        version: number,
        after: after.to_string(),
        issuer: "lab".into(),
        issued_ms: unix_ms(),
        from_ms,
        rules: [("max_pulls".to_string(), json!(attempts))].into_iter().collect(),
        floor: None,
    };
    while due < until {
        tokio::time::sleep_until(due.into()).await;
        due += Duration::from_secs_f64(told.each_s);
        let attempts = told.max_pulls[number as usize % told.max_pulls.len().max(1)];
        let good = version(number + 1, &after, unix_ms() + ahead_ms, attempts);
        let at = Instant::now();
        stage.world.issued(Issued { at, from: at + Duration::from_millis(ahead_ms), max_attempts: attempts });
        stage.service.rules(number + 1, &json!(good), true);
        let before = std::mem::replace(&mut after, format_digest(number + 1, good.digest()));
        number += 1;
        if chance.random::<f64>() < told.spoilt {
            // Each would loosen what the good one says.
            let spoilt = match chance.random_range(0..3) {
                0 => version(number, &before, unix_ms() + ahead_ms + 1, 6),
                1 => version(number.saturating_sub(4).max(1), &before, unix_ms() + ahead_ms + 2, 6),
                _ => version(number + 1, &after, unix_ms() + 100, 6),
            };
            stage.service.rules(number, &json!(spoilt), false);
        }
    }
}
