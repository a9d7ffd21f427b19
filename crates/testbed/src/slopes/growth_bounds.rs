//! Bounds on how a dispatcher's resource use may grow with the number of caches. `table` takes the runs by fleet size
//! and returns a Markdown table and the list of missed bounds.

use std::fmt::Write as _;

/// Resource use of a dispatcher over one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ResourceUse {
    /// Processor time since its start, in seconds.
    pub processor_s: f64,
    /// Peak resident memory, in MB.
    pub peak_mb: f64,
    /// Largest number of descriptors open at once.
    pub descriptors: f64,
    /// Connections made to nodes.
    pub connections: f64,
    /// Data sent by the change log, in KB.
    pub list_kb: f64,
    /// Share of answered requests that were served.
    pub served: f64,
}

/// A bound on one value: `factor` times the value at the usual fleet size, plus `allowance`, plus
/// `allowance_per_1000_hosts` per 1,000 caches.
struct Bound {
    /// Heading of the table's line.
    name: &'static str,
    value: fn(&ResourceUse) -> f64,
    factor: f64,
    allowance: f64,
    allowance_per_1000_hosts: f64,
    /// Whether the value must be at least the bound; otherwise at most.
    is_lower_bound: bool,
}

const fn upper_bound(
    name: &'static str,
    value: fn(&ResourceUse) -> f64,
    [factor, allowance, allowance_per_1000_hosts]: [f64; 3],
) -> Bound {
    Bound { name, value, factor, allowance, allowance_per_1000_hosts, is_lower_bound: false }
}

const BOUNDS: [Bound; 6] = [
    upper_bound("processor, s", |used| used.processor_s, [1.4, 0.02, 0.03]),
    upper_bound("peak memory, MB", |used| used.peak_mb, [1.5, 8.0, 4.0]),
    upper_bound("descriptors", |used| used.descriptors, [2.0, 40.0, 0.0]),
    upper_bound("connections made", |used| used.connections, [2.5, 40.0, 0.0]),
    upper_bound("told by the change log, KB", |used| used.list_kb, [2.0, 64.0, 500.0]),
    Bound {
        name: "served",
        value: |used| used.served,
        factor: 0.85,
        allowance: 0.0,
        allowance_per_1000_hosts: 0.0,
        is_lower_bound: true,
    },
];

impl Bound {
    /// The bound for this number of caches, given the value at the usual fleet size.
    fn at(&self, usual: f64, hosts: usize) -> f64 {
        usual * self.factor + self.allowance + self.allowance_per_1000_hosts * hosts as f64 / 1e3
    }

    fn is_kept(&self, median: f64, bound: f64) -> bool {
        if self.is_lower_bound { median >= bound } else { median <= bound }
    }
}

/// Median, smallest and largest of a value over runs.
fn median_and_range(runs: &[ResourceUse], value: fn(&ResourceUse) -> f64) -> [f64; 3] {
    let mut figures: Vec<_> = runs.iter().map(value).collect();
    figures.sort_by(f64::total_cmp);
    let at = |number: usize| figures.get(number).copied().unwrap_or(f64::NAN);
    [at(figures.len() / 2), at(0), at(figures.len().saturating_sub(1))]
}

/// Builds the table of runs by number of caches and a text for each bound that a median missed. The first row is the
/// usual fleet size, to which the others are compared.
pub(super) fn table(per_s: f64, rows: &[(usize, Vec<ResourceUse>)]) -> (String, Vec<String>) {
    let (mut text, mut missed) = (String::new(), Vec::new());
    let Some((_, usual)) = rows.first() else { return (text, missed) };
    let _ = write!(text, "\n| {per_s} requests a second |");
    text.extend(rows.iter().map(|(hosts, _)| format!(" {hosts} hosts |")));
    text += "\n| --- |";
    text.extend(rows.iter().map(|_| " --- |"));
    for bound in &BOUNDS {
        let _ = write!(text, "\n| {} |", bound.name);
        let usual = median_and_range(usual, bound.value)[0];
        for (row, (hosts, runs)) in rows.iter().enumerate() {
            let [median, smallest, largest] = median_and_range(runs, bound.value);
            let _ = write!(text, " {median:.2} ({smallest:.2} to {largest:.2})");
            if row > 0 {
                let allowed = bound.at(usual, *hosts);
                let kept = bound.is_kept(median, allowed);
                let _ = write!(text, ", {allowed:.2}: {}", if kept { "kept" } else { "**missed**" });
                let miss = format!(
                    "{per_s} requests a second, {hosts} hosts: {} {median:.2}, bound {allowed:.2}",
                    bound.name
                );
                missed.extend((!kept).then_some(miss));
            }
            text += " |";
        }
    }
    text.push('\n');
    (text, missed)
}

#[cfg(test)]
#[path = "../tests/growth_bounds.rs"]
mod tests;
