//! The least time in which a fleet whose caches lost everything could be back: everybody knows everything at once,
//! nothing is asked for twice, and fills go in the best order, as fast as links, parents and origin carry them.

use crate::nodes::PARENT_COLD_S;
use crate::scenario::{ContentType, RECOVERED_OVER_S, RECOVERED_SHARE, Scenario, What};
use serde::Serialize;

/// One step, in seconds, and how long is looked.
const STEP_S: f64 = 0.05;
const LOOKED_S: f64 = 60.0;
/// The seconds after the last fault that `after` is the mean of.
const AFTER_S: f64 = 30.0;

/// What no dispatchers could do better.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct Least {
    /// Seconds from the faults' end until benefit is back at 95% of its level.
    pub back_s: f64,
    /// Benefit in the thirty seconds after, beside the level.
    pub after: f64,
}

/// An object: requests a second, what it takes to send in seconds, and what an answer earns.
struct Object {
    rate: f64,
    work_s: f64,
    benefit: f64,
}

/// Objects of a content type, as clients draw them: the n-th is asked for a share of `ln(1 + 1/n)`.
fn objects(of: &ContentType, rate: f64) -> impl Iterator<Item = Object> + use<'_> {
    let whole = (of.objects as f64 + 1.0).ln();
    (1..=of.objects).map(move |at| Object {
        rate: rate * (1.0 / at as f64).ln_1p() / whole,
        work_s: of.work_ms / 1e3,
        benefit: of.benefit,
    })
}

/// What the scenario allows at best; nothing where caches don't lose what they hold.
pub(crate) fn least(scenario: &Scenario) -> Option<Least> {
    let emptied = |fault: &crate::scenario::Fault| fault.what == What::Crash && fault.who == "caches";
    if !scenario.faults.iter().any(emptied) {
        return None;
    }
    let fleet = &scenario.fleet;
    let shares: f64 = scenario.types.iter().map(|of| of.share).sum();
    let rate = |of: &ContentType| scenario.clients.rate * of.share / shares;
    let posts = || scenario.types.iter().filter(|of| of.objects == 0);
    let of_posts: f64 = posts().map(|of| rate(of) * of.benefit).sum();
    let posted_s: f64 = posts().map(|of| rate(of) * (of.work_ms + fleet.origin_ms) / 1e3).sum();
    let mut wanted: Vec<_> = scenario.types.iter().flat_map(|of| objects(of, rate(of))).collect();
    let level = of_posts + wanted.iter().map(|of| of.rate * of.benefit).sum::<f64>();
    // What earns most for the work of its fill is filled first.
    wanted.sort_by(|a, b| {
        (b.benefit / b.work_s).total_cmp(&(a.benefit / a.work_s)).then(b.rate.total_cmp(&a.rate))
    });
    let grown = |share: f64, at_s: f64, warm_s: f64| (share + (1.0 - share) * at_s / warm_s).min(1.0);
    let parent_share = if fleet.parent_cold_share > 0.0 { fleet.parent_cold_share } else { 1.0 };
    // The chance that an object is not held yet.
    let mut lacked = vec![1.0; wanted.len()];
    let mut earned = Vec::new();
    for step in 0..(LOOKED_S / STEP_S) as usize {
        let at_s = step as f64 * STEP_S;
        let caches = fleet.caches as f64 * fleet.cache_weight * grown(fleet.cold_share, at_s, fleet.cold_s);
        let parents = fleet.parents as f64 * fleet.parent_weight * grown(parent_share, at_s, PARENT_COLD_S);
        let fills = fleet.link.min(parents).min((fleet.origin_weight - posted_s).max(0.0)).min(caches);
        let (mut room_s, mut by_fills) = (fills * STEP_S, 0.0);
        let (mut hits, mut hits_s) = (0.0, 0.0);
        for (of, lacked) in wanted.iter().zip(&mut lacked) {
            let asked = of.rate * STEP_S;
            let misses = asked * *lacked;
            let taken = misses.min(room_s / of.work_s);
            room_s -= taken * of.work_s;
            by_fills += taken * of.benefit;
            hits += (asked - misses) * of.benefit;
            hits_s += (asked - misses) * of.work_s;
            *lacked *= (-taken).exp();
        }
        // Of what is held only so much is served as caches carry besides; a fill serves the request that asked for it.
        let left_s = (caches - fills) * STEP_S + room_s;
        let carried = (left_s / hits_s.max(1e-9)).min(1.0);
        earned.push(of_posts + (hits * carried + by_fills) / STEP_S);
    }
    let mean = |from: usize, over_s: f64| {
        let of = &earned[from..(from + (over_s / STEP_S) as usize).min(earned.len())];
        of.iter().sum::<f64>() / of.len().max(1) as f64
    };
    let back =
        (0..earned.len()).find(|from| mean(*from, RECOVERED_OVER_S as f64) >= RECOVERED_SHARE * level)?;
    Some(Least { back_s: back as f64 * STEP_S, after: mean(0, AFTER_S) / level })
}

#[cfg(test)]
#[path = "tests/least.rs"]
mod tests;
