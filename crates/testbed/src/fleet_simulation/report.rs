//! The tables: one for each way of changes, and the ways side by side over an ordinary month.

use super::arrangement::Arrangement;
use super::fault::Kind;
use super::trial::Outcome;
use std::fmt::Write as _;

/// What one kind of fault brought under one way of changes, with each seed.
pub(super) struct Row {
    pub kind: Kind,
    pub per_month: f64,
    pub outcomes: Vec<Outcome>,
}

impl Row {
    fn mean(&self, of: impl Fn(&Outcome) -> f64) -> f64 {
        self.outcomes.iter().map(of).sum::<f64>() / self.outcomes.len().max(1) as f64
    }

    fn worst(&self, of: impl Fn(&Outcome) -> f64) -> f64 {
        self.outcomes.iter().map(of).fold(0.0, f64::max)
    }

    fn least(&self, of: impl Fn(&Outcome) -> f64) -> f64 {
        self.outcomes.iter().map(of).fold(f64::INFINITY, f64::min)
    }

    /// The mean, and the least and the most of the seeds.
    fn spread(&self, of: impl Fn(&Outcome) -> f64 + Copy) -> String {
        let (least, mean, most) = (self.least(of), self.mean(of), self.worst(of));
        match most - least < 0.005 * most.max(1.0) {
            true => figure(mean),
            false => format!("{} ({} to {})", figure(mean), figure(least), figure(most)),
        }
    }

    fn monthly(&self, of: impl Fn(&Outcome) -> f64) -> f64 {
        self.per_month * self.mean(of)
    }
}

/// A number with as many digits as it is worth, with thousands set apart.
fn figure(value: f64) -> String {
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

fn three(values: [f64; 3]) -> String {
    values.map(|value| format!("{value:.2}")).join(", ")
}

/// A way of changes: a line for each kind of fault.
pub(super) fn faults(dispatchers: u32, arrangement: &Arrangement, rows: &[Row]) -> String {
    let mut text = format!(
        "\n{dispatchers} dispatchers, {}; worst, or mean (least to most of the seeds):\n\n\
         | fault | a month | dispatchers over 2.1 s, longest (s) | purge acted on: p50, p99, worst (s) | version in \
         force: p50, p99, worst (s) | dispatcher-seconds over 2.1 s, an event: the way; log away; no way | over 9 s: \
         the way; log away; no way | seconds over 9 KB, most bytes | out of touch, dispatcher-seconds | falls, most \
         calls |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        arrangement.name,
    );
    for row in rows.iter().filter(|row| !row.outcomes.is_empty()) {
        let worst = |of: fn(&Outcome) -> [f64; 3]| three([0, 1, 2].map(|at| row.worst(|o| of(o)[at])));
        let _ = writeln!(
            text,
            "| {} | {} | {}, {} | {} | {} | {}; {}; {} | {}; {}; {} | {}, {} | {} | {}, {:.2} |",
            row.kind.name(),
            figure(row.per_month),
            row.spread(|o| o.affected),
            figure(row.worst(|o| o.longest_s)),
            worst(|o| o.purge_s),
            worst(|o| o.version_s),
            row.spread(|o| o.purges.way_s),
            figure(row.mean(|o| o.purges.log_away_s)),
            figure(row.mean(|o| o.purges.unreachable_s)),
            row.spread(|o| o.configuration.way_s),
            figure(row.mean(|o| o.configuration.log_away_s)),
            figure(row.mean(|o| o.configuration.unreachable_s)),
            row.spread(|o| o.bytes_over_s),
            figure(row.worst(|o| o.most_bytes as f64)),
            row.spread(|o| o.out_of_touch_s),
            figure(row.worst(|o| f64::from(o.falls))),
            row.worst(|o| o.most_calls),
        );
    }
    text
}

/// Ways of changes side by side: dispatcher-seconds of an ordinary month over the bound of purges.
pub(super) fn month(dispatchers: u32, cut_s: f64, ways: &[(Arrangement, Vec<Row>)]) -> String {
    let mut text = format!(
        "\n{dispatchers} dispatchers, an ordinary month, regions cut for {cut_s} s, dispatcher-seconds over 2.1 s:\n\n| fault |"
    );
    for (arrangement, _) in ways {
        let _ = write!(text, " {} |", arrangement.name);
    }
    text += &format!("\n|{}\n", " --- |".repeat(ways.len() + 1));
    for (at, kind) in Kind::ALL.into_iter().enumerate() {
        let of = |rows: &[Row]| rows.get(at).map_or(0.0, |row| row.monthly(|o| o.purges.way_s));
        push(&mut text, kind.name(), ways, of);
    }
    let sum =
        |of: fn(&Outcome) -> f64| move |rows: &[Row]| rows.iter().map(|row| row.monthly(of)).sum::<f64>();
    push(&mut text, "**all, the way of changes**", ways, sum(|o| o.purges.way_s));
    push(&mut text, "the log away", ways, sum(|o| o.purges.log_away_s));
    push(&mut text, "no way to the log", ways, sum(|o| o.purges.unreachable_s));
    push(&mut text, "configuration over 9 s: the way", ways, sum(|o| o.configuration.way_s));
    push(&mut text, "configuration: log away", ways, sum(|o| o.configuration.log_away_s));
    push(&mut text, "configuration: no way", ways, sum(|o| o.configuration.unreachable_s));
    push(&mut text, "seconds over 9 KB", ways, sum(|o| o.bytes_over_s));
    push(&mut text, "out of touch", ways, sum(|o| o.out_of_touch_s));
    text
}

fn push(text: &mut String, name: &str, ways: &[(Arrangement, Vec<Row>)], of: impl Fn(&[Row]) -> f64) {
    let _ = write!(text, "| {name} |");
    for (_, rows) in ways {
        let _ = write!(text, " {} |", figure(of(rows)));
    }
    text.push('\n');
}
