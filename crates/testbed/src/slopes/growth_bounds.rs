//! The bounds on what a dispatcher needs before more cache hosts, and the table beside them.

use std::fmt::Write as _;

/// What a dispatcher needed over one play.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Needs {
    /// Processor time from its start on, in seconds.
    pub core_s: f64,
    /// The most memory resident, in MB.
    pub peak_mb: f64,
    /// The most descriptors open at once.
    pub descriptors: f64,
    /// Connections made to cache hosts.
    pub connections: f64,
    /// What the change log told, in KB.
    pub list_kb: f64,
    /// Share of requests that was served.
    pub served: f64,
}

/// One bound: so many times what is needed at the usual size, and so much more, for any size and for each thousand hosts.
struct Bound {
    what: &'static str,
    of: fn(&Needs) -> f64,
    times: f64,
    more: f64,
    each_thousand: f64,
    /// It bounds from below.
    is_least: bool,
}

const fn most(what: &'static str, of: fn(&Needs) -> f64, [times, more, each_thousand]: [f64; 3]) -> Bound {
    Bound { what, of, times, more, each_thousand, is_least: false }
}

const BOUNDS: [Bound; 6] = [
    most("processor, s", |needs| needs.core_s, [1.4, 0.02, 0.03]),
    most("peak memory, MB", |needs| needs.peak_mb, [1.5, 8.0, 4.0]),
    most("descriptors", |needs| needs.descriptors, [2.0, 40.0, 0.0]),
    most("connections made", |needs| needs.connections, [2.5, 40.0, 0.0]),
    most("told by the change log, KB", |needs| needs.list_kb, [2.0, 64.0, 500.0]),
    Bound {
        what: "served",
        of: |needs| needs.served,
        times: 0.85,
        more: 0.0,
        each_thousand: 0.0,
        is_least: true,
    },
];

impl Bound {
    /// The bound for so many hosts, by what is needed at the usual size.
    fn at(&self, usual: f64, hosts: usize) -> f64 {
        usual * self.times + self.more + self.each_thousand * hosts as f64 / 1e3
    }

    fn is_kept(&self, needed: f64, bound: f64) -> bool {
        if self.is_least { needed >= bound } else { needed <= bound }
    }
}

/// Median, least and largest.
fn range(runs: &[Needs], of: fn(&Needs) -> f64) -> [f64; 3] {
    let mut figures: Vec<_> = runs.iter().map(of).collect();
    figures.sort_by(f64::total_cmp);
    let at = |number: usize| figures.get(number).copied().unwrap_or(f64::NAN);
    [at(figures.len() / 2), at(0), at(figures.len().saturating_sub(1))]
}

/// The table of plays by cache hosts, the usual size first, and each bound that the median missed.
pub(super) fn table(per_s: f64, rows: &[(usize, Vec<Needs>)]) -> (String, Vec<String>) {
    let (mut text, mut missed) = (String::new(), Vec::new());
    let Some((_, usual)) = rows.first() else { return (text, missed) };
    let _ = write!(text, "\n| {per_s} requests a second |");
    text.extend(rows.iter().map(|(hosts, _)| format!(" {hosts} hosts |")));
    text += "\n| --- |";
    text.extend(rows.iter().map(|_| " --- |"));
    for bound in &BOUNDS {
        let _ = write!(text, "\n| {} |", bound.what);
        let usual = range(usual, bound.of)[0];
        for (place, (hosts, runs)) in rows.iter().enumerate() {
            let [median, least, largest] = range(runs, bound.of);
            let _ = write!(text, " {median:.2} ({least:.2} to {largest:.2})");
            if place > 0 {
                let allowed = bound.at(usual, *hosts);
                let kept = bound.is_kept(median, allowed);
                let _ = write!(text, ", {allowed:.2}: {}", if kept { "kept" } else { "**missed**" });
                let what = format!(
                    "{per_s} requests a second, {hosts} hosts: {} {median:.2}, bound {allowed:.2}",
                    bound.what
                );
                missed.extend((!kept).then_some(what));
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
