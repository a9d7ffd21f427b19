//! What is counted while a scenario is played, second by second, and what it comes to.

use crate::least::{Least, least};
use crate::scenario::{RECOVERED_OVER_S, RECOVERED_SHARE, Scenario, What};
use crate::service::Tally as ServiceTally;
use crate::world::{Agreed, Breach, Tally};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The level is taken from the last seconds before the first fault.
const LEVEL_OVER: usize = 8;

/// One second.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Second {
    /// Requests begun, and tries that were answered, or found nobody.
    pub firsts: u32,
    pub tries: u32,
    pub served: u32,
    pub throttled: u32,
    pub failed: u32,
    pub unreachable: u32,
    /// Benefit answered within the target time.
    pub benefit: f64,
    /// The same by content type.
    pub by_type: Vec<f64>,
    /// CPU time of all dispatchers, in milliseconds.
    pub cpu_ms: f64,
    /// Their memory, in MB.
    pub memory_mb: f64,
}

#[derive(Debug)]
struct Counts {
    seconds: Vec<Second>,
    served: Histogram<u64>,
    downloads: [u64; 2],
    waited: Histogram<u64>,
}

/// What is counted.
#[derive(Debug)]
pub(crate) struct Results(Mutex<Counts>);

/// What the list service saw, and what dispatchers wrote of it.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Heard {
    /// Seconds in which all dispatchers were started.
    pub started_s: f64,
    /// Seconds until all had heard all: from the first's start, and from the last fault's end.
    pub first_current_s: Option<f64>,
    pub current_s: Option<f64>,
    /// The most calls in a second, wherever it begins, and when.
    pub peak: u32,
    pub peak_at_s: f64,
    /// How often it fell over.
    pub falls: u32,
    /// The most lines on it in one dispatcher's log.
    pub log_lines: Option<usize>,
    /// Second by second.
    pub seconds: Vec<ServiceTally>,
}

/// What stand-ins and logs show at the end.
pub(crate) struct Seen {
    /// Breaches of the rules.
    pub breaches: Vec<Breach>,
    /// What dispatchers wrote.
    pub logs: String,
    /// What the list service saw.
    pub heard: Heard,
    /// What nodes counted, second by second.
    pub tallies: Vec<Tally>,
    /// Bytes that the origin gave out, and attempts that came to nodes.
    pub traffic: [u64; 2],
    /// How well dispatchers kept to versions of rules.
    pub agreed: Agreed,
}

/// What a play came to.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Outcome {
    /// Where chance started from.
    pub seed: u64,
    /// What the list service saw.
    pub heard: Heard,
    /// How well dispatchers kept to versions of rules.
    pub agreed: Agreed,
    /// What nodes counted, second by second.
    pub tallies: Vec<Tally>,
    /// How many dispatchers there were.
    pub dispatchers: usize,
    /// What could not be done better by any, where caches lost all.
    pub least: Option<Least>,
    /// The scenario's name, and the program's.
    pub scenario: String,
    pub program: String,
    /// Breaches of the rules.
    pub breaches: Vec<Breach>,
    /// Expectations that were not met.
    pub missed: Vec<String>,
    /// Benefit a second before the first fault.
    pub level: f64,
    /// Seconds from the last fault's end until it was back.
    pub back_s: Option<f64>,
    /// Benefit in the thirty seconds after the last fault's end, beside the level.
    pub after: f64,
    /// Requests served in the end, and given up.
    pub served: u64,
    pub given_up: u64,
    /// Tries for each request.
    pub tries_each: f64,
    /// Milliseconds that a served try took, at the median and the 99th percentile.
    pub took_ms: [f64; 2],
    /// Seconds from its first try to its end, at the median and the 99th percentile.
    pub waited_s: [f64; 2],
    /// Bytes that the origin gave out, and attempts that came to nodes.
    pub traffic: [u64; 2],
    /// CPU seconds of all dispatchers.
    pub cpu_s: f64,
    /// The most memory of all dispatchers together.
    pub memory_mb: f64,
    /// When the first fault began, and the last ended.
    pub faults_s: [f64; 2],
    /// Second by second.
    pub seconds: Vec<Second>,
}

impl Results {
    /// Nothing counted, for so many seconds and content types.
    pub(crate) fn new(seconds: usize, types: usize) -> Results {
        let second = Second { by_type: vec![0.0; types], ..Second::default() };
        // Microseconds up to a minute, milliseconds up to ten.
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| unreachable!());
        let counts = Counts {
            seconds: vec![second; seconds + 1],
            served: histogram(),
            downloads: [0; 2],
            waited: histogram(),
        };
        Results(Mutex::new(counts))
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn second(&self, at_s: f64, count: impl FnOnce(&mut Second)) {
        if let Some(second) = self.counts().seconds.get_mut(at_s as usize) {
            count(second);
        }
    }

    /// A request has begun.
    pub(crate) fn first(&self, at_s: f64) {
        self.second(at_s, |second| second.firsts += 1);
    }

    /// A try was answered.
    pub(crate) fn ended(
        &self,
        at_s: f64,
        of: usize,
        served: bool,
        throttled: bool,
        benefit: f64,
        took: Duration,
    ) {
        self.second(at_s, |second| {
            second.tries += 1;
            second.served += u32::from(served);
            second.throttled += u32::from(throttled);
            second.failed += u32::from(!served && !throttled);
            second.benefit += benefit;
            second.by_type[of] += benefit;
        });
        if served {
            self.counts().served.saturating_record(took.as_micros() as u64);
        }
    }

    /// A try found nobody.
    pub(crate) fn unreachable(&self, at_s: f64) {
        self.second(at_s, |second| second.unreachable += 1);
    }

    /// A request is served, so long after its first try.
    pub(crate) fn served_in_the_end(&self, waited: Duration) {
        let mut counts = self.counts();
        counts.downloads[0] += 1;
        counts.waited.saturating_record(waited.as_micros() as u64);
    }

    /// A request is given up for good.
    pub(crate) fn given_up(&self) {
        self.counts().downloads[1] += 1;
    }

    /// What dispatchers used in a second.
    pub(crate) fn used(&self, at_s: f64, cpu_ms: f64, memory_mb: f64) {
        self.second(at_s, |second| (second.cpu_ms, second.memory_mb) = (cpu_ms, memory_mb));
    }

    /// What it came to.
    pub(crate) fn outcome(&self, name: &str, program: &str, scenario: &Scenario, seen: Seen) -> Outcome {
        let Seen { breaches, logs, heard, tallies, traffic, agreed } = seen;
        let counts = self.counts();
        let seconds = counts.seconds[..counts.seconds.len() - 1].to_vec();
        let bad = |fault: &&crate::scenario::Fault| fault.what != What::Purge;
        let begins =
            scenario.faults.iter().filter(bad).map(|fault| fault.at_s).fold(scenario.length_s, f64::min);
        let ends = scenario.last_fault_ends().unwrap_or(0.0);
        let mean = |from: usize, to: usize| {
            let of = &seconds[from.min(seconds.len())..to.min(seconds.len())];
            of.iter().map(|second| second.benefit).sum::<f64>() / of.len().max(1) as f64
        };
        let level = mean((begins as usize).saturating_sub(LEVEL_OVER), begins as usize);
        let last = seconds.len().saturating_sub(RECOVERED_OVER_S);
        let back = (ends.ceil() as usize..=last)
            .find(|from| mean(*from, from + RECOVERED_OVER_S) >= RECOVERED_SHARE * level);
        let back_s = back.filter(|_| !scenario.faults.is_empty()).map(|from| from as f64 - ends);
        let part = |histogram: &Histogram<u64>, unit: f64| {
            [0.5, 0.99].map(|at| histogram.value_at_quantile(at) as f64 / unit)
        };
        let [served, given_up] = counts.downloads;
        let tries: u32 = seconds.iter().map(|second| second.tries + second.unreachable).sum();
        let firsts: u32 = seconds.iter().map(|second| second.firsts).sum();
        let expect = &scenario.expect;
        let share = served as f64 / (served + given_up).max(1) as f64;
        let mut missed = Vec::new();
        if let Some(most) = expect.back_within_s.filter(|most| back_s.is_none_or(|back| back > *most)) {
            missed.push(format!(
                "back_within_s: {}; expected {most} at most",
                back_s.map_or("never".into(), |back| format!("{back:.0}"))
            ));
        }
        if let Some(least) = expect.served_share.filter(|least| share < *least) {
            missed.push(format!("served_share: {share:.3}; expected {least} at least"));
        }
        let over = |what: &str, is: Option<f64>, most: Option<f64>| {
            let most = most.filter(|most| is.is_none_or(|is| is > *most))?;
            let is = is.map_or("never".to_string(), |is| format!("{is:.1}"));
            Some(format!("{what}: {is}; expected {most} at most"))
        };
        let tries_each = f64::from(tries) / f64::from(firsts.max(1));
        let after = mean(ends as usize, ends as usize + 30) / level.max(1e-9);
        missed.extend(over("calls_peak", Some(heard.peak.into()), expect.calls_peak.map(f64::from)));
        missed.extend(over("falls", Some(heard.falls.into()), expect.falls.map(f64::from)));
        missed.extend(over("current_within_s", heard.current_s, expect.current_within_s));
        missed.extend(over(
            "log_lines",
            heard.log_lines.map(|lines| lines as f64),
            expect.log_lines.map(|lines| lines as f64),
        ));
        missed.extend(over("tries_each", Some(tries_each), expect.tries_each));
        missed.extend(over("contradiction_s", Some(agreed.longest_s), expect.contradiction_s));
        let turned_away: u32 = tallies.iter().map(|tally| tally.turned_away).sum();
        missed.extend(over("turned_away", Some(turned_away.into()), expect.turned_away.map(f64::from)));
        if let Some(least) = expect.after.filter(|least| after < *least) {
            missed.push(format!("after: {after:.2}; expected {least} at least"));
        }
        if let Some(text) = expect.logs.as_ref().filter(|text| !logs.contains(*text)) {
            missed.push(format!("logs: nowhere '{text}'"));
        }
        if let Some(text) = expect.logs_lack.as_ref().filter(|text| logs.contains(*text)) {
            missed.push(format!("logs_lack: there is '{text}'"));
        }
        Outcome {
            dispatchers: scenario.dispatchers.count,
            least: least(scenario),
            scenario: name.to_string(),
            program: program.to_string(),
            breaches,
            missed,
            level,
            back_s,
            after,
            seed: scenario.seed,
            heard,
            tallies,
            agreed,
            served,
            given_up,
            tries_each,
            took_ms: part(&counts.served, 1e3),
            waited_s: part(&counts.waited, 1e6),
            traffic,
            cpu_s: seconds.iter().map(|second| second.cpu_ms).sum::<f64>() / 1e3,
            memory_mb: seconds.iter().map(|second| second.memory_mb).fold(0.0, f64::max),
            faults_s: [begins, ends],
            seconds,
        }
    }
}

impl Outcome {
    /// Whether all rules were kept and all expectations met; else the first that was not.
    pub(crate) fn verdict(&self) -> Result<(), String> {
        if let Some(breach) = self.breaches.first() {
            let more = self.breaches.len() - 1;
            return Err(format!(
                "rule {} broken at {:.1} s: {} (and {more} more); seed {}",
                breach.rule, breach.at_s, breach.what, self.seed
            ));
        }
        self.missed
            .first()
            .map_or(Ok(()), |missed| Err(format!("expected otherwise: {missed}; seed {}", self.seed)))
    }
}
