//! Counts how late each event is acted on, and for how many dispatcher-seconds a bound is exceeded. `World` reports
//! what happens at each dispatcher; `trial` reads the totals at the end of a run.
//!
//! A dispatcher is over the purge bound whenever there is a purge, issued more than the bound ago, that it has not
//! acted on. Such time has one of three causes: the log is down; the log cannot reach the dispatcher; or neither, and
//! the distribution of changes is the cause.

use super::assumptions::*;
use copperroute_routing::interface::Nanos;

/// A span of time; `to` is the greatest time while the span is still open.
#[derive(Debug, Clone, Copy)]
pub(super) struct Span {
    pub from: Nanos,
    pub to: Nanos,
}

impl Span {
    fn overlap_s(&self, from: Nanos, to: Nanos) -> f64 {
        self.to.min(to).since(self.from.max(from)).secs()
    }
}

/// Dispatcher-seconds over a bound, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct TimeOverBound {
    /// The distribution of changes.
    pub distribution_s: f64,
    /// The log was down.
    pub log_down_s: f64,
    /// The log could not reach the dispatcher.
    pub unreachable_s: f64,
}

impl TimeOverBound {
    fn add(&mut self, total_s: f64, log_down_s: f64, unreachable_s: f64) {
        self.log_down_s += log_down_s;
        self.unreachable_s += unreachable_s;
        self.distribution_s += (total_s - log_down_s - unreachable_s).max(0.0);
    }
}

/// The counters of one dispatcher.
#[derive(Debug, Clone, Default)]
struct Counters {
    started: Nanos,
    /// Time up to which its time over the purge bound, and over the configuration bound, has been counted.
    purges_counted: Nanos,
    configuration_counted: Nanos,
    /// Time over the purge bound: of the current uninterrupted span, of the longest span, and in total.
    consecutive_s: f64,
    longest_s: f64,
    total_s: f64,
    /// The last second in which bytes arrived, and the bytes that arrived in it.
    second: u64,
    bytes: u64,
    version: u64,
}

#[derive(Debug, Default)]
pub(super) struct Measures {
    /// Counting starts here.
    from: Nanos,
    counters: Vec<Counters>,
    /// When the log could not reach some dispatchers, and which ones (by number).
    cut: Option<(Span, Vec<bool>)>,
    log_outage: Option<Span>,
    /// By event number: the longest time that a reachable dispatcher took to act on it.
    pub slowest: Vec<Nanos>,
    /// For each dispatcher and version: time from issue until it was in force.
    pub in_force: Vec<Nanos>,
    pub purges: TimeOverBound,
    /// Expected value for versions issued at random times at the rate `VERSIONS_PER_HOUR`.
    pub configuration: TimeOverBound,
    /// Dispatcher-seconds in which more than `CONTROL_BYTES_PER_S` bytes arrived, and the most bytes in one.
    pub bytes_over_s: u64,
    pub most_bytes: u64,
    /// Bytes received by all dispatchers.
    pub bytes: u64,
    pub out_of_touch_s: f64,
    /// The first and the last time at which a dispatcher became out of touch.
    pub out_of_touch_span: Option<(Nanos, Nanos)>,
}

impl Measures {
    pub(super) fn new(dispatchers: u32, from: Nanos) -> Self {
        Measures { from, counters: vec![Counters::default(); dispatchers as usize], ..Measures::default() }
    }

    /// The log goes down.
    pub(super) fn log_down(&mut self, now: Nanos) {
        self.log_outage = Some(Span { from: now, to: Nanos(u64::MAX) });
    }

    /// The log is up again.
    pub(super) fn log_up(&mut self, now: Nanos) {
        self.log_outage.iter_mut().for_each(|span| span.to = now);
    }

    /// From now on the log cannot reach these dispatchers.
    pub(super) fn cut(&mut self, now: Nanos, unreachable: Vec<bool>) {
        self.cut = Some((Span { from: now, to: Nanos(u64::MAX) }, unreachable));
    }

    pub(super) fn cut_healed(&mut self, now: Nanos) {
        self.cut.iter_mut().for_each(|(span, _)| span.to = now);
    }

    /// A dispatcher starts.
    pub(super) fn started(&mut self, dispatcher: u32, now: Nanos) {
        let counters = &mut self.counters[dispatcher as usize];
        let (longest_s, total_s) = (counters.longest_s, counters.total_s);
        *counters = Counters {
            started: now,
            purges_counted: now.max(self.from),
            configuration_counted: now.max(self.from),
            longest_s,
            total_s,
            ..Counters::default()
        };
    }

    fn cut_span(&self, dispatcher: u32) -> Option<Span> {
        self.cut.as_ref().filter(|(_, unreachable)| unreachable[dispatcher as usize]).map(|(span, _)| *span)
    }

    /// The dispatcher acts on an event now, or stops without having done so.
    pub(super) fn acted(&mut self, dispatcher: u32, number: u64, [issued, appended]: [Nanos; 2], now: Nanos) {
        let cut = self.cut_span(dispatcher);
        self.record_slowest(dispatcher, number, appended, now);
        let counters = &mut self.counters[dispatcher as usize];
        let from = issued.after(PURGE_BOUND).max(counters.purges_counted);
        if now > from {
            let overlap_s = |span: Option<Span>| span.map_or(0.0, |span| span.overlap_s(from, now));
            let unreachable_s = overlap_s(cut);
            let log_down_s = overlap_s(self.log_outage).min(now.since(from).secs() - unreachable_s);
            self.purges.add(now.since(from).secs(), log_down_s, unreachable_s);
            counters.consecutive_s =
                if from == counters.purges_counted { counters.consecutive_s } else { 0.0 };
            counters.consecutive_s += now.since(from).secs();
            counters.total_s += now.since(from).secs();
            counters.longest_s = counters.longest_s.max(counters.consecutive_s);
            counters.purges_counted = now;
        }
        let from = issued.after(CONFIGURATION_BOUND).max(counters.configuration_counted);
        if now > from {
            let total_s = now.since(from).secs();
            let fraction = |span: Option<Span>| span.map_or(0.0, |span| span.overlap_s(from, now)) / total_s;
            let unreachable = fraction(cut);
            let log_down = fraction(self.log_outage).min(1.0 - unreachable);
            let expected_s = expected_overdue_s(total_s);
            self.configuration.add(expected_s, expected_s * log_down, expected_s * unreachable);
            counters.configuration_counted = now;
        }
    }

    /// Time from `since` until now at a dispatcher, without the time in which the log could not reach it.
    fn reachable_time(&self, dispatcher: u32, since: Nanos, now: Nanos) -> Nanos {
        let since = since.max(self.counters[dispatcher as usize].started);
        let cut_s = self.cut_span(dispatcher).map_or(0.0, |span| span.overlap_s(since, now));
        now.since(since).since(Nanos::from_secs(cut_s))
    }

    fn record_slowest(&mut self, dispatcher: u32, number: u64, appended: Nanos, now: Nanos) {
        if appended < self.from {
            return;
        }
        let taken = self.reachable_time(dispatcher, appended, now);
        let at = number as usize;
        if self.slowest.len() <= at {
            self.slowest.resize(at + 1, Nanos::ZERO);
        }
        self.slowest[at] = self.slowest[at].max(taken);
    }

    /// A version is in force at a dispatcher; `issued` has the issue time of each version, starting with version 1.
    pub(super) fn version(&mut self, dispatcher: u32, version: u64, issued: &[Nanos], now: Nanos) {
        let counters = &mut self.counters[dispatcher as usize];
        let before = counters.version;
        counters.version = version.max(before);
        let counted_from = self.from.max(counters.started);
        let new = issued.iter().take(version as usize).skip(before as usize);
        for issued in new {
            if *issued >= counted_from {
                self.in_force.push(self.reachable_time(dispatcher, *issued, now));
            }
        }
    }

    /// A dispatcher received bytes.
    pub(super) fn bytes(&mut self, dispatcher: u32, bytes: u64, now: Nanos) {
        if now < self.from {
            return;
        }
        let counters = &mut self.counters[dispatcher as usize];
        let second = now.0 / SECOND.0;
        if counters.second != second {
            (counters.second, counters.bytes) = (second, 0);
        }
        let before = counters.bytes;
        counters.bytes += bytes;
        self.bytes += bytes;
        self.bytes_over_s += u64::from(before <= CONTROL_BYTES_PER_S && counters.bytes > CONTROL_BYTES_PER_S);
        self.most_bytes = self.most_bytes.max(counters.bytes);
    }

    /// A dispatcher was out of touch for one sweep; `newly` if it was not at the sweep before.
    pub(super) fn out_of_touch(&mut self, now: Nanos, newly: bool) {
        if now < self.from {
            return;
        }
        self.out_of_touch_s += SWEEP_INTERVAL.secs();
        if newly {
            let first = self.out_of_touch_span.map_or(now, |span| span.0);
            self.out_of_touch_span = Some((first, now));
        }
    }

    /// The number of dispatchers that were over the purge bound, and the longest uninterrupted span, in seconds.
    pub(super) fn affected(&self) -> (usize, f64) {
        let over = self.counters.iter().filter(|counters| counters.total_s > 0.0);
        let longest = self.counters.iter().map(|counters| counters.longest_s).fold(0.0, f64::max);
        (over.count(), longest)
    }
}

/// The expected seconds in which a version is overdue, out of `exposed_s` seconds in which one could be, if versions
/// are issued as a Poisson process.
fn expected_overdue_s(exposed_s: f64) -> f64 {
    let per_s = VERSIONS_PER_HOUR / 3_600.0;
    exposed_s - (1.0 - (-per_s * exposed_s).exp()) / per_s
}

/// The quantile at `fraction`; sorts the values.
pub(super) fn quantile(values: &mut [Nanos], fraction: f64) -> Nanos {
    values.sort_unstable();
    let at = (values.len() as f64 * fraction).ceil() as usize;
    values.get(at.saturating_sub(1)).copied().unwrap_or(Nanos::ZERO)
}
