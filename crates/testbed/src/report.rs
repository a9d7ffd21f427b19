//! Results as JSON, and a report as one HTML file with its charts.

use crate::results::{Outcome, Second};
use crate::scenario::Scenario;
use crate::world::Tally;
use minijinja::{Environment, context};
use plotters::prelude::*;
use std::path::Path;

const TEMPLATE: &str = include_str!("../templates/report.html");
const COLOURS: [RGBColor; 4] =
    [RGBColor(0, 90, 160), RGBColor(200, 80, 0), RGBColor(0, 130, 70), RGBColor(120, 120, 120)];
const SIZE: (u32, u32) = (900, 280);

/// A curve's name and values.
pub(crate) type Curve = (String, Vec<f64>);
type Value<'a> = (&'a str, &'a dyn Fn(&Second) -> f64);

/// One chart over the seconds, with the faults shaded; over numbers of dispatchers where these are given.
pub(crate) fn chart(curves: &[Curve], faults: [f64; 2], sizes: &[usize]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let said = |fault: &dyn std::fmt::Display| fault.to_string();
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let length = curves.iter().map(|curve| curve.1.len()).max().unwrap_or(1) as f64;
        let most = curves.iter().flat_map(|curve| &curve.1).copied().fold(1e-9, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..length, 0.0..most)
            .map_err(|fault| said(&fault))?;
        // Each number of dispatchers stands where its point is, in the middle between two marks.
        let size = |at: &f64| sizes.get(*at as usize).filter(|_| at.fract() > 0.4).map(usize::to_string);
        let mark = |at: &f64| if sizes.is_empty() { format!("{at}") } else { size(at).unwrap_or_default() };
        let x = if sizes.is_empty() { "s" } else { "dispatchers" };
        let marks = if sizes.is_empty() { 10 } else { 2 * sizes.len() + 1 };
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh().x_desc(x).x_labels(marks).x_label_formatter(&mark);
        mesh.draw().map_err(|fault| said(&fault))?;
        if faults[1] > faults[0] {
            let shade = Rectangle::new(
                [(faults[0], 0.0), (faults[1], most)],
                RGBColor(240, 220, 220).mix(0.6).filled(),
            );
            chart.draw_series([shade]).map_err(|fault| said(&fault))?;
        }
        for ((name, values), colour) in curves.iter().zip(COLOURS.iter().cycle()) {
            let points = values.iter().enumerate().map(|(at, value)| (at as f64 + 0.5, *value));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(|fault| said(&fault))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(|fault| said(&fault))?;
        root.present().map_err(|fault| said(&fault))?;
    }
    Ok(svg)
}

/// What sets a play apart from the others: how many dispatchers, else the program.
fn label(outcomes: &[Outcome], of: &Outcome) -> String {
    match outcomes.iter().any(|other| other.dispatchers != of.dispatchers) {
        true => of.dispatchers.to_string(),
        false => of.program.rsplit('/').next().unwrap_or(&of.program).to_string(),
    }
}

/// Figures of plays over their numbers of dispatchers; none where those are all alike.
fn over_sizes(outcomes: &[Outcome]) -> Vec<(&'static str, Vec<Curve>)> {
    let each = |name: &str, of: fn(&Outcome) -> f64| (name.to_string(), outcomes.iter().map(of).collect());
    let least = |of: fn(&crate::least::Least) -> f64| {
        let values = outcomes.iter().map(|outcome| outcome.least.as_ref().map_or(0.0, of)).collect();
        ("least possible".to_string(), values)
    };
    if outcomes.iter().all(|outcome| outcome.dispatchers == outcomes[0].dispatchers) {
        return Vec::new();
    }
    vec![
        ("Back after, s", vec![each("back", |o| o.back_s.unwrap_or(f64::NAN)), least(|least| least.back_s)]),
        (
            "Benefit in the 30 s after",
            vec![each("benefit", |o| o.after), ("most possible".into(), least(|least| least.after).1)],
        ),
        ("Tries a download", vec![each("tries", |o| o.tries_each)]),
        ("Calls at the list service, most in a second", vec![each("calls", |o| f64::from(o.heard.peak))]),
    ]
}

fn curves(outcomes: &[Outcome], what: &[Value<'_>]) -> Vec<Curve> {
    let of = |outcome: &Outcome, (name, value): &Value<'_>| {
        let label = if outcomes.len() > 1 {
            format!("{name}, {}", label(outcomes, outcome))
        } else {
            (*name).to_string()
        };
        (label, outcome.seconds.iter().map(value).collect())
    };
    outcomes.iter().flat_map(|outcome| what.iter().map(move |what| of(outcome, what))).collect()
}

/// Calls at the list service, second by second.
fn service_curves(outcomes: &[Outcome]) -> Vec<Curve> {
    let of = |outcome: &Outcome| {
        (label(outcomes, outcome), outcome.heard.seconds.iter().map(|tally| f64::from(tally.calls)).collect())
    };
    outcomes.iter().map(of).collect()
}

/// The figures of plays, a row each: name, and one value a play.
pub(crate) fn rows(outcomes: &[Outcome]) -> Vec<(&'static str, Vec<String>)> {
    let each = |value: &dyn Fn(&Outcome) -> String| outcomes.iter().map(value).collect();
    vec![
        ("dispatchers", each(&|o| o.dispatchers.to_string())),
        ("rules broken", each(&|o| o.breaches.len().to_string())),
        ("benefit a second before the faults", each(&|o| format!("{:.1}", o.level))),
        (
            "back at 95% of it, s after the last fault",
            each(&|o| o.back_s.map_or("never".into(), |back| format!("{back:.0}"))),
        ),
        (
            "least possible: back after s, benefit in the 30 s after",
            each(&|o| o.least.map_or("-".into(), |least| format!("{:.1}, {:.2}", least.back_s, least.after))),
        ),
        ("benefit in the 30 s after, beside the level", each(&|o| format!("{:.2}", o.after))),
        ("downloads served", each(&|o| o.served.to_string())),
        ("downloads given up", each(&|o| o.given_up.to_string())),
        ("tries a download", each(&|o| format!("{:.1}", o.tries_each))),
        (
            "a served try took, ms (median, 99%)",
            each(&|o| format!("{:.0}, {:.0}", o.took_ms[0], o.took_ms[1])),
        ),
        (
            "a download waited, s (median, 99%)",
            each(&|o| format!("{:.2}, {:.2}", o.waited_s[0], o.waited_s[1])),
        ),
        ("calls at the list service, most in a second", each(&|o| o.heard.peak.to_string())),
        ("times that it fell over", each(&|o| o.heard.falls.to_string())),
        (
            "all current, s after the start, and after the last fault",
            each(&|o| {
                let said = |at: Option<f64>| at.map_or("never".into(), |at| format!("{at:.1}"));
                format!("{}, {}", said(o.heard.first_current_s), said(o.heard.current_s))
            }),
        ),
        (
            "lines of one dispatcher on it, at most",
            each(&|o| o.heard.log_lines.unwrap_or_default().to_string()),
        ),
        (
            "connections to nodes opened, turned away, most held by one",
            each(&|o| {
                let sum = |of: fn(&Tally) -> u32| o.tallies.iter().map(of).sum::<u32>();
                let most = o.tallies.iter().map(|tally| tally.held_most).max().unwrap_or_default();
                format!("{}, {}, {most}", sum(|t| t.opened), sum(|t| t.turned_away))
            }),
        ),
        (
            "pulls at cold nodes, looks there, fills at parents, at the origin",
            each(&|o| {
                let sum = |of: fn(&Tally) -> u32| o.tallies.iter().map(of).sum::<u32>();
                let [attempts, looks] = [sum(|t| t.cold_attempts), sum(|t| t.cold_looks)];
                format!("{attempts}, {looks}, {}, {}", sum(|t| t.parent_fills), sum(|t| t.origin_fills))
            }),
        ),
        (
            "versions of rules; pulls that the one in force forbade, for how long at most, s",
            each(&|o| format!("{}; {}, {:.2}", o.agreed.versions, o.agreed.forbidden, o.agreed.longest_s)),
        ),
        ("MB that the origin gave out", each(&|o| format!("{:.2}", o.traffic[0] as f64 / 1e6))),
        ("pulls at nodes", each(&|o| o.traffic[1].to_string())),
        ("CPU of the dispatchers, s", each(&|o| format!("{:.2}", o.cpu_s))),
        ("memory of the dispatchers, MB", each(&|o| format!("{:.1}", o.memory_mb))),
    ]
}

/// Writes results and report to a folder.
pub(crate) fn write(out: &Path, name: &str, scenario: &Scenario, outcomes: &[Outcome]) -> Result<(), String> {
    let said = |path: &Path, fault: std::io::Error| format!("{}: {fault}", path.display());
    let results = out.join("results.json");
    let text = serde_json::to_string_pretty(outcomes).map_err(|fault| fault.to_string())?;
    std::fs::write(&results, text).map_err(|fault| said(&results, fault))?;
    let faults = outcomes.first().map_or([0.0; 2], |outcome| outcome.faults_s);
    let charts = [
        ("Benefit a second", curves(outcomes, &[("benefit", &|second| second.benefit)])),
        (
            "Tries a second",
            curves(
                outcomes,
                &[
                    ("tries", &|second| f64::from(second.tries + second.unreachable)),
                    ("served", &|second| f64::from(second.served)),
                ],
            ),
        ),
        ("Calls at the list service", service_curves(outcomes)),
        ("CPU of the dispatchers, ms a second", curves(outcomes, &[("CPU", &|second| second.cpu_ms)])),
    ];
    let mut drawn = Vec::new();
    for (title, curves) in charts {
        drawn.push(context! { title => title, svg => chart(&curves, faults, &[])? });
    }
    let sizes: Vec<_> = outcomes.iter().map(|outcome| outcome.dispatchers).collect();
    for (title, curves) in over_sizes(outcomes) {
        drawn.push(context! { title => title, svg => chart(&curves, [0.0; 2], &sizes)? });
    }
    let rows: Vec<_> = rows(outcomes)
        .into_iter()
        .map(|(name, values)| context! { name => name, values => values })
        .collect();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let page = Environment::new()
        .render_named_str("report.html", TEMPLATE, context! { scenario => name, about => scenario.about, cores => cores, outcomes => outcomes, rows => rows, charts => drawn })
        .map_err(|fault| fault.to_string())?;
    let report = out.join("report.html");
    std::fs::write(&report, page).map_err(|fault| said(&report, fault))
}
