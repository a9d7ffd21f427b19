//! A slope as a Markdown table: a line for each size, and the law below.

use super::catalogue::Slope;
use super::fit::{Fit, Law, Point};
use std::fmt::Write as _;

/// All runs of one size.
pub(super) struct Row {
    /// The size.
    pub size: f64,
    /// One figure for each measure, by run.
    pub runs: Vec<Vec<f64>>,
}

impl Row {
    /// Median, least and largest of a measure.
    fn range(&self, measure: usize) -> [f64; 3] {
        let mut figures: Vec<_> = self.runs.iter().filter_map(|run| run.get(measure).copied()).collect();
        figures.sort_by(f64::total_cmp);
        let at = |number: usize| figures.get(number).copied().unwrap_or(f64::NAN);
        [at(figures.len() / 2), at(0), at(figures.len().saturating_sub(1))]
    }
}

/// A figure with three digits that count.
fn short(figure: f64) -> String {
    let magnitude = figure.abs();
    match magnitude {
        _ if magnitude >= 100.0 || magnitude == 0.0 => format!("{figure:.0}"),
        _ if magnitude >= 10.0 => format!("{figure:.1}"),
        _ if magnitude >= 1.0 => format!("{figure:.2}"),
        _ if magnitude >= 0.01 => format!("{figure:.3}"),
        _ => format!("{figure:.2e}"),
    }
}

/// A law with its figures, as a cell.
fn law(fit: &Fit) -> String {
    let left = fit.residual * 100.0;
    match fit.law {
        Law::Flat => format!("flat: {}, residual {left:.0}%", short(fit.intercept)),
        other => format!(
            "{}: {} + {}{}, residual {left:.0}%",
            other.name(),
            short(fit.intercept),
            short(fit.slope),
            other.formula()
        ),
    }
}

/// The law that a measure follows.
fn fitted(rows: &[Row], measure: usize) -> Fit {
    let point = |row: &Row| {
        let [cost, least, most] = row.range(measure);
        Point { size: row.size, cost, spread: most - least }
    };
    Fit::best(&rows.iter().filter(|row| !row.runs.is_empty()).map(point).collect::<Vec<_>>())
}

/// The table.
pub(super) fn markdown(slope: &Slope, rows: &[Row]) -> String {
    let mut text = format!("### {}: {}\n\n| {} |", slope.name, slope.about, slope.unit);
    text.extend(slope.measures.iter().map(|measure| format!(" {measure} |")));
    text += "\n| ---: |";
    text.extend(slope.measures.iter().map(|_| " ---: |"));
    for row in rows {
        let _ = write!(text, "\n| {} |", row.size);
        for measure in 0..slope.measures.len() {
            let [median, least, most] = row.range(measure);
            let _ = match row.runs.len() {
                0 => write!(text, " not run |"),
                1 => write!(text, " {} |", short(median)),
                _ => write!(text, " {} ({} to {}) |", short(median), short(least), short(most)),
            };
        }
    }
    text += "\n| law |";
    for measure in 0..slope.measures.len() {
        let _ = write!(text, " {} |", law(&fitted(rows, measure)));
    }
    text.push('\n');
    text
}
