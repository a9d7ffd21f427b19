//! Formats the outcomes of trials as Markdown tables: one for each arrangement, with a row for each fault kind, and one
//! that compares the arrangements over an ordinary month.

use super::arrangement::Arrangement;
use super::fault::FaultKind;
use super::trial::Outcome;
use std::fmt::Write as _;

/// The outcomes of one fault kind under one arrangement, one for each seed.
pub(super) struct Row {
    pub kind: FaultKind,
    pub per_month: f64,
    pub outcomes: Vec<Outcome>,
}

impl Row {
    fn mean(&self, value: impl Fn(&Outcome) -> f64) -> f64 {
        self.outcomes.iter().map(value).sum::<f64>() / self.outcomes.len().max(1) as f64
    }

    fn max(&self, value: impl Fn(&Outcome) -> f64) -> f64 {
        self.outcomes.iter().map(value).fold(0.0, f64::max)
    }

    fn min(&self, value: impl Fn(&Outcome) -> f64) -> f64 {
        self.outcomes.iter().map(value).fold(f64::INFINITY, f64::min)
    }

    /// The mean over the seeds, with the least and the greatest value if they differ noticeably.
    fn spread(&self, value: impl Fn(&Outcome) -> f64 + Copy) -> String {
        let (min, mean, max) = (self.min(value), self.mean(value), self.max(value));
        match max - min < 0.005 * max.max(1.0) {
            true => format_number(mean),
            false => format!("{} ({} to {})", format_number(mean), format_number(min), format_number(max)),
        }
    }

    fn monthly(&self, value: impl Fn(&Outcome) -> f64) -> f64 {
        self.per_month * self.mean(value)
    }
}

/// Formats a number: one decimal below 100, otherwise an integer with commas between thousands.
fn format_number(value: f64) -> String {
    if value.abs() < 0.05 {
        return "0".into();
    }
    if value.abs() < 99.95 {
        return format!("{value:.1}");
    }
    let digits = format!("{value:.0}");
    let grouped: Vec<String> =
        digits.as_bytes().rchunks(3).rev().map(|chunk| String::from_utf8_lossy(chunk).into_owned()).collect();
    grouped.join(",")
}

fn format_three(values: [f64; 3]) -> String {
    values.map(|value| format!("{value:.2}")).join(", ")
}

/// The table of one arrangement: one row for each fault kind.
pub(super) fn fault_table(dispatchers: u32, arrangement: &Arrangement, rows: &[Row]) -> String {
    let mut text = format!(
        "\n{dispatchers} dispatchers, {}; worst, or mean (least to most of the seeds):\n\n\
         | fault | a month | dispatchers over 2.1 s, longest (s) | purge acted on: p50, p99, worst (s) | version in \
         force: p50, p99, worst (s) | dispatcher-seconds over 2.1 s, an event: the way; log away; no way | over 9 s: \
         the way; log away; no way | seconds over 9 KB, most bytes | out of touch, dispatcher-seconds | falls, most \
         calls |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        arrangement.name,
    );
    for row in rows.iter().filter(|row| !row.outcomes.is_empty()) {
        let worst =
            |value: fn(&Outcome) -> [f64; 3]| format_three([0, 1, 2].map(|at| row.max(|o| value(o)[at])));
        let _ = writeln!(
            text,
            "| {} | {} | {}, {} | {} | {} | {}; {}; {} | {}; {}; {} | {}, {} | {} | {}, {:.2} |",
            row.kind.name(),
            format_number(row.per_month),
            row.spread(|o| o.affected),
            format_number(row.max(|o| o.longest_s)),
            worst(|o| o.purge_s),
            worst(|o| o.version_s),
            row.spread(|o| o.purges.distribution_s),
            format_number(row.mean(|o| o.purges.log_down_s)),
            format_number(row.mean(|o| o.purges.unreachable_s)),
            row.spread(|o| o.configuration.distribution_s),
            format_number(row.mean(|o| o.configuration.log_down_s)),
            format_number(row.mean(|o| o.configuration.unreachable_s)),
            row.spread(|o| o.bytes_over_s),
            format_number(row.max(|o| o.most_bytes as f64)),
            row.spread(|o| o.out_of_touch_s),
            format_number(row.max(|o| f64::from(o.overloads))),
            row.max(|o| o.max_connect_load),
        );
    }
    text
}

/// The table that compares the arrangements: dispatcher-seconds over the purge bound in an ordinary month.
pub(super) fn month_table(dispatchers: u32, cut_s: f64, arrangements: &[(Arrangement, Vec<Row>)]) -> String {
    let mut text = format!(
        "\n{dispatchers} dispatchers, an ordinary month, regions cut for {cut_s} s, dispatcher-seconds over 2.1 s:\n\n| fault |"
    );
    for (arrangement, _) in arrangements {
        let _ = write!(text, " {} |", arrangement.name);
    }
    text += &format!("\n|{}\n", " --- |".repeat(arrangements.len() + 1));
    for (at, kind) in FaultKind::ALL.into_iter().enumerate() {
        let value = |rows: &[Row]| rows.get(at).map_or(0.0, |row| row.monthly(|o| o.purges.distribution_s));
        push_row(&mut text, kind.name(), arrangements, value);
    }
    let sum = |value: fn(&Outcome) -> f64| {
        move |rows: &[Row]| rows.iter().map(|row| row.monthly(value)).sum::<f64>()
    };
    push_row(&mut text, "**all, the way of changes**", arrangements, sum(|o| o.purges.distribution_s));
    push_row(&mut text, "the log away", arrangements, sum(|o| o.purges.log_down_s));
    push_row(&mut text, "no way to the log", arrangements, sum(|o| o.purges.unreachable_s));
    push_row(
        &mut text,
        "configuration over 9 s: the way",
        arrangements,
        sum(|o| o.configuration.distribution_s),
    );
    push_row(&mut text, "configuration: log away", arrangements, sum(|o| o.configuration.log_down_s));
    push_row(&mut text, "configuration: no way", arrangements, sum(|o| o.configuration.unreachable_s));
    push_row(&mut text, "seconds over 9 KB", arrangements, sum(|o| o.bytes_over_s));
    push_row(&mut text, "out of touch", arrangements, sum(|o| o.out_of_touch_s));
    text
}

fn push_row(
    text: &mut String,
    name: &str,
    arrangements: &[(Arrangement, Vec<Row>)],
    value: impl Fn(&[Row]) -> f64,
) {
    let _ = write!(text, "| {name} |");
    for (_, rows) in arrangements {
        let _ = write!(text, " {} |", format_number(value(rows)));
    }
    text.push('\n');
}
