//! Results as JSON, rows of figures, and a report as one HTML file with its charts.

use super::figures::{Class, PURGE_BOUND_S, Spread, VERSION_BOUND_S};
use super::outcome::{Outcome, Told};
use super::scenario::Scenario;
use super::usage::{Second, Share};
use crate::report::chart;
use minijinja::{Environment, context};
use std::path::Path;

const TEMPLATE: &str = include_str!("../../templates/capacity.html");

fn spread(of: Spread) -> String {
    let Spread { count, p50_s, p99_s, p999_s, worst_s, never } = of;
    format!("{count}: {p50_s:.4} p50, {p99_s:.3} p99, {p999_s:.3} p99.9, {worst_s:.3} worst, {never} never")
}

fn told(of: Told) -> String {
    format!("{:.3} messages, {:.1} B, of {}", of.messages_per_s, of.bytes_per_s, of.dispatchers)
}

fn share(of: Share) -> String {
    format!("{:.4} cores, {:.2} MB, of {}", of.cores, of.memory_mb, of.dispatchers)
}

/// A figure's name, and what it came to.
pub(super) fn rows(outcome: &Outcome) -> Vec<(String, String)> {
    let mut rows = vec![
        ("dispatchers, hollow and real".to_string(), format!("{}, {}", outcome.hollow, outcome.real)),
        ("all followed after, s".into(), format!("{:.2}", outcome.first_current_s)),
    ];
    let class = |name: &str, class: Class| {
        [
            (format!("{name}, to the last reachable dispatcher, s"), spread(class.last)),
            (format!("{name}, to each, s"), spread(class.each)),
            (format!("{name}, to each that could be reached all the time, s"), spread(class.undisturbed)),
        ]
    };
    rows.extend(class("purges", outcome.purges));
    rows.extend(class("changes of the list", outcome.lists));
    rows.extend(class("versions", outcome.versions));
    for (cause, harm) in &outcome.harm {
        let name = serde_json::json!(cause).as_str().unwrap_or_default().to_string();
        rows.push((
            format!("after {name}"),
            format!(
                "{} times, {:.1} dispatcher-seconds over {PURGE_BOUND_S} s, {:.2} each; current again, s: {}",
                harm.times,
                harm.late_s,
                harm.late_s / harm.times.max(1) as f64,
                spread(harm.current)
            ),
        ));
    }
    let beside = outcome.beside;
    rows.extend([
        ("told to a hollow one a second".into(), told(beside.hollow)),
        ("told to a real one a second".into(), told(beside.real)),
        ("purges looked for, at hollow ones, s".into(), spread(beside.hollow_purge)),
        ("purges looked for, at real ones, at the latest, s".into(), spread(beside.real_purge)),
        ("purges looked for, at real ones, at the earliest, s".into(), spread(beside.real_purge_earliest)),
        ("a hollow one takes".into(), share(outcome.hollow_share)),
        ("a real one that nobody asks takes".into(), share(outcome.real_idle_share)),
        ("a real one that is asked takes".into(), share(outcome.real_share)),
        (
            "requests of clients, served and not".into(),
            format!("{}, {}", outcome.requests[0], outcome.requests[1]),
        ),
        ("new connections, most in a second".into(), outcome.calls_most.to_string()),
        ("bytes to one dispatcher, most in a second".into(), outcome.bytes_most.to_string()),
        ("memory of all processes, most, GB".into(), format!("{:.2}", outcome.memory_most_gb)),
    ]);
    if outcome.replicas > 0 {
        rows.extend([
            ("replicas".into(), outcome.replicas.to_string()),
            ("followers of a replica, most, part of all".into(), format!("{:.3}", outcome.replica_followers)),
            ("calls to a replica, most in a second".into(), outcome.replica_calls_most.to_string()),
            ("a replica that was never killed takes".into(), share(outcome.replica_share)),
        ]);
    }
    rows
}

/// The longest that a purge of each second took.
fn lasts(outcome: &Outcome) -> Vec<f64> {
    let mut lasts = vec![0.0; outcome.seconds.len()];
    for (at_s, last_s) in &outcome.purge_lasts {
        if let Some(last) = lasts.get_mut(*at_s as usize) {
            *last = last_s.max(*last);
        }
    }
    lasts
}

/// What part of purges, in hundredths, took the last dispatcher no longer than the figure.
fn hundredths(outcome: &Outcome) -> Vec<f64> {
    let mut lasts: Vec<_> = outcome.purge_lasts.iter().map(|last| last.1).collect();
    lasts.sort_by(f64::total_cmp);
    let at = |hundredth: usize| lasts.get((lasts.len() * hundredth / 100).min(lasts.len().saturating_sub(1)));
    (0..=100).map(|hundredth| at(hundredth).copied().unwrap_or(0.0)).collect()
}

/// Writes results and report to a folder.
pub(super) fn write(out: &Path, name: &str, scenario: &Scenario, outcome: &Outcome) -> Result<(), String> {
    let results = out.join("results.json");
    let text = serde_json::to_string_pretty(outcome).map_err(|fault| fault.to_string())?;
    std::fs::write(&results, text).map_err(|fault| format!("{}: {fault}", results.display()))?;
    let each = |of: fn(&Second) -> f64| outcome.seconds.iter().map(of).collect::<Vec<_>>();
    let bound = vec![PURGE_BOUND_S; outcome.seconds.len()];
    let curve = |name: &str, values| (name.to_string(), values);
    let charts = [
        (
            "The longest that a purge issued then took to the last reachable dispatcher, s",
            vec![curve("last", lasts(outcome)), curve("bound", bound)],
        ),
        (
            "So many hundredths of purges took no longer (across: hundredths, up: s)",
            vec![curve("last", hundredths(outcome)), curve("bound", vec![PURGE_BOUND_S; 101])],
        ),
        (
            "Bytes a second to one dispatcher, in the mean",
            vec![curve("mean", each(|second| second.bytes_mean))],
        ),
        (
            "Bytes a second to one dispatcher, the most",
            vec![curve("most", each(|second| second.bytes_most as f64))],
        ),
        ("New connections a second", vec![curve("calls", each(|second| second.calls as f64))]),
        (
            "Cores that dispatchers take",
            vec![
                curve("hollow", each(|second| second.hollow_cores)),
                curve("real", each(|second| second.real_cores)),
                curve("replicas", each(|second| second.replica_cores)),
            ],
        ),
        ("Memory of all processes, GB", vec![curve("memory", each(|second| second.memory_gb))]),
    ];
    let mut drawn = Vec::new();
    for (title, curves) in charts {
        drawn.push(context! { title => title, svg => chart(&curves, [0.0; 2], &[])? });
    }
    let rows: Vec<_> =
        rows(outcome).into_iter().map(|(name, value)| context! { name => name, value => value }).collect();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let context = context! { scenario => name, about => scenario.about, seed => scenario.seed, cores => cores,
    missed => outcome.missed, rows => rows, charts => drawn,
    bounds => format!("{PURGE_BOUND_S} s for a purge, {VERSION_BOUND_S} s for a version") };
    let page = Environment::new().render_named_str("capacity.html", TEMPLATE, context);
    let page = page.map_err(|fault| fault.to_string())?;
    let report = out.join("report.html");
    std::fs::write(&report, page).map_err(|fault| format!("{}: {fault}", report.display()))
}
