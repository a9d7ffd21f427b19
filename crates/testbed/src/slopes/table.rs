//! Formats a slope as a Markdown table: a line for each size and a last line with the law that fits each measure.

use super::catalogue::Slope;
use super::fit::{Fit, Law, Point};
use std::fmt::Write as _;

/// All runs of one size.
pub(super) struct Row {
    /// The size.
    pub size: f64,
    /// For each run, one value per measure.
    pub runs: Vec<Vec<f64>>,
}

impl Row {
    /// Median, smallest and largest value of a measure.
    fn median_and_range(&self, measure: usize) -> [f64; 3] {
        let mut figures: Vec<_> = self.runs.iter().filter_map(|run| run.get(measure).copied()).collect();
        figures.sort_by(f64::total_cmp);
        let at = |number: usize| figures.get(number).copied().unwrap_or(f64::NAN);
        [at(figures.len() / 2), at(0), at(figures.len().saturating_sub(1))]
    }
}

/// Formats a number with about three significant digits.
fn three_digits(figure: f64) -> String {
    let magnitude = figure.abs();
    match magnitude {
        _ if magnitude >= 100.0 || magnitude == 0.0 => format!("{figure:.0}"),
        _ if magnitude >= 10.0 => format!("{figure:.1}"),
        _ if magnitude >= 1.0 => format!("{figure:.2}"),
        _ if magnitude >= 0.01 => format!("{figure:.3}"),
        _ => format!("{figure:.2e}"),
    }
}

/// Formats a fitted law as a table cell.
fn law_cell(fit: &Fit) -> String {
    let residual = fit.residual * 100.0;
    match fit.law {
        Law::Flat => format!("flat: {}, residual {residual:.0}%", three_digits(fit.intercept)),
        other => format!(
            "{}: {} + {}{}, residual {residual:.0}%",
            other.name(),
            three_digits(fit.intercept),
            three_digits(fit.slope),
            other.formula()
        ),
    }
}

/// Fits a law to a measure over all sizes that were run.
fn fit_measure(rows: &[Row], measure: usize) -> Fit {
    let point = |row: &Row| {
        let [cost, smallest, largest] = row.median_and_range(measure);
        Point { size: row.size, cost, spread: largest - smallest }
    };
    Fit::best(&rows.iter().filter(|row| !row.runs.is_empty()).map(point).collect::<Vec<_>>())
}

/// Formats the whole table.
pub(super) fn markdown(slope: &Slope, rows: &[Row]) -> String {
    let mut text = format!("### {}: {}\n\n| {} |", slope.name, slope.about, slope.unit);
    text.extend(slope.measures.iter().map(|measure| format!(" {measure} |")));
    text += "\n| ---: |";
    text.extend(slope.measures.iter().map(|_| " ---: |"));
    for row in rows {
        let _ = write!(text, "\n| {} |", row.size);
        for measure in 0..slope.measures.len() {
            let [median, smallest, largest] = row.median_and_range(measure);
            let _ = match row.runs.len() {
                0 => write!(text, " not run |"),
                1 => write!(text, " {} |", three_digits(median)),
                _ => write!(
                    text,
                    " {} ({} to {}) |",
                    three_digits(median),
                    three_digits(smallest),
                    three_digits(largest)
                ),
            };
        }
    }
    text += "\n| law |";
    for measure in 0..slope.measures.len() {
        let _ = write!(text, " {} |", law_cell(&fit_measure(rows, measure)));
    }
    text.push('\n');
    text
}
