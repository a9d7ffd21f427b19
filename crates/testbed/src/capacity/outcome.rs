//! What a run came to, and whether it kept to its bounds.

use super::access::Counted;
use super::figures::{self, Class, Harm, Spread, acted_us};
use super::ledger::{Cause, Track};
use super::log::{Issued, Kind};
use super::scenario::{Expect, Scenario};
use super::usage::{Moment, Second, Share};
use std::collections::BTreeMap;

/// What one dispatcher was told a second, in the mean of those that could be reached all the time.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub(super) struct Told {
    pub dispatchers: usize,
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
}

/// Hollow dispatchers beside real ones, of the same run.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub(super) struct Beside {
    pub hollow: Told,
    pub real: Told,
    /// The time that the purges took that observers looked for: hollow ones by their hosts' record.
    pub hollow_purge: Spread,
    /// Real ones by the first answer that showed it, which is the latest that it can have been,
    pub real_purge: Spread,
    /// and by the request before that, which is the earliest.
    pub real_purge_earliest: Spread,
}

/// What a run came to.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub(super) struct Outcome {
    pub seed: u64,
    pub hollow: usize,
    pub real: usize,
    /// From the last start until all followed.
    pub first_current_s: f64,
    pub purges: Class,
    pub lists: Class,
    pub versions: Class,
    pub harm: BTreeMap<Cause, Harm>,
    pub beside: Beside,
    pub hollow_share: Share,
    pub real_idle_share: Share,
    pub real_share: Share,
    /// Requests that real dispatchers served, and others.
    pub requests: [u64; 2],
    /// Replicas of the change log, what one takes, and the most that one bears: followers as a part of all, calls.
    pub replicas: usize,
    pub replica_share: Share,
    pub replica_followers: f64,
    pub replica_calls_most: u64,
    pub calls_most: u64,
    pub bytes_most: u64,
    pub memory_most_gb: f64,
    pub seconds: Vec<Second>,
    /// Seconds from the start at which each purge was issued, and what the last dispatcher took.
    pub purge_lasts: Vec<(f64, f64)>,
    /// Dispatchers that ended by themselves, and other things that went wrong on the rig.
    pub failed: Vec<String>,
    /// Bounds that were missed.
    pub missed: Vec<String>,
}

/// What was seen of a run.
pub(super) struct Seen {
    pub first_current_s: f64,
    pub begun_us: u64,
    pub until_us: u64,
    pub issued: Vec<Issued>,
    pub tracks: Vec<Track>,
    pub before: Moment,
    pub after: Moment,
    pub seconds: Vec<Second>,
    pub requests: [u64; 2],
    pub failed: Vec<String>,
}

fn told(tracks: &[Track], who: std::ops::Range<usize>, before: &Moment, after: &Moment) -> Told {
    let undisturbed: Vec<_> = who.filter(|at| tracks[*at].is_undisturbed()).collect();
    let sum = |of: fn(&Counted) -> u64| {
        undisturbed.iter().map(|at| of(&after.counted[*at]) - of(&before.counted[*at])).sum::<u64>() as f64
    };
    let all_s = after.secs_since(before) * undisturbed.len().max(1) as f64;
    Told {
        dispatchers: undisturbed.len(),
        messages_per_s: sum(|counted| counted.messages) / all_s,
        bytes_per_s: sum(|counted| counted.bytes) / all_s,
    }
}

/// Hollow dispatchers beside real ones: over the purges that were looked for, at those that could be reached all the time.
fn beside(scenario: &Scenario, seen: &Seen) -> Beside {
    let (real, count) = (scenario.fleet.real, scenario.dispatchers());
    let (mut latest, mut earliest, mut never) = (Vec::new(), Vec::new(), 0);
    let mut looked_for = std::collections::BTreeSet::new();
    for track in seen.tracks[..real].iter().filter(|track| track.is_undisturbed()) {
        for probe in &track.probes {
            let Some(issued) = seen.issued.iter().find(|issued| issued.seq == probe.seq) else { continue };
            looked_for.insert(probe.seq);
            match probe.seen_us {
                Some(seen_us) => {
                    latest.push((seen_us - issued.at_us) as f64 / 1e6);
                    earliest.push(probe.stale_us.saturating_sub(issued.at_us) as f64 / 1e6);
                }
                None => never += 1,
            }
        }
    }
    let (mut hollow, mut hollow_never) = (Vec::new(), 0);
    for issued in seen.issued.iter().filter(|issued| looked_for.contains(&issued.seq)) {
        for track in seen.tracks[real..].iter().filter(|track| track.is_undisturbed()) {
            match acted_us(track, issued) {
                Some(at_us) => hollow.push((at_us - issued.at_us) as f64 / 1e6),
                None => hollow_never += 1,
            }
        }
    }
    Beside {
        hollow: told(&seen.tracks, real..count, &seen.before, &seen.after),
        real: told(&seen.tracks, 0..real, &seen.before, &seen.after),
        hollow_purge: Spread::of(hollow, hollow_never),
        real_purge: Spread::of(latest, never),
        real_purge_earliest: Spread::of(earliest, never),
    }
}

impl Outcome {
    /// What was seen, as figures; and which bounds it misses.
    pub(super) fn of(scenario: &Scenario, seen: Seen) -> Outcome {
        let (real, idle) = (scenario.fleet.real, scenario.fleet.real_idle);
        let hollow: Vec<_> = seen.tracks[real..].iter().collect();
        let all: Vec<_> = seen.tracks.iter().collect();
        let kind = |is: fn(&Kind) -> bool| seen.issued.iter().filter(move |issued| is(&issued.kind));
        let (purges, lasts) = figures::class(kind(|kind| matches!(kind, Kind::Purge { .. })), &hollow);
        let (lists, _) = figures::class(kind(|kind| *kind == Kind::List), &hollow);
        let (versions, _) = figures::class(kind(|kind| matches!(kind, Kind::Version { .. })), &all);
        let most = |of: fn(&Second) -> u64| seen.seconds.iter().map(of).max().unwrap_or(0);
        let since = |at_us: u64| at_us.saturating_sub(seen.begun_us) as f64 / 1e6;
        let mut outcome = Outcome {
            seed: scenario.seed,
            hollow: scenario.fleet.hollow,
            real,
            first_current_s: seen.first_current_s,
            purges,
            lists,
            versions,
            harm: figures::harm(&seen.issued, &hollow, seen.until_us),
            beside: beside(scenario, &seen),
            hollow_share: seen.after.hollow_share(&seen.before),
            real_idle_share: seen.after.real_share(&seen.before, real - idle..real),
            real_share: seen.after.real_share(&seen.before, 0..real - idle),
            requests: seen.requests,
            replicas: scenario.replicas,
            replica_share: seen.after.replica_share(&seen.before),
            replica_followers: most(|second| second.replica_followers) as f64 / seen.tracks.len() as f64,
            replica_calls_most: most(|second| second.replica_calls),
            calls_most: most(|second| second.calls),
            bytes_most: most(|second| second.bytes_most),
            memory_most_gb: seen.seconds.iter().map(|second| second.memory_gb).fold(0.0, f64::max),
            purge_lasts: lasts.into_iter().map(|(at_us, last_s)| (since(at_us), last_s)).collect(),
            seconds: seen.seconds,
            failed: seen.failed,
            missed: Vec::new(),
        };
        outcome.missed = outcome.missed(&scenario.expect);
        outcome
    }

    /// Bounds that are missed. What was never done misses any bound.
    fn missed(&self, expect: &Expect) -> Vec<String> {
        let mut missed = Vec::new();
        let mut within = |name: &str, bound: Option<f64>, is: f64| {
            if let Some(bound) = bound.filter(|bound| is > *bound) {
                missed.push(format!("{name}: {is:.3}; expected at most {bound}"));
            }
        };
        let purge = self.purges.last;
        within("purge_p50_s", expect.purge_p50_s, purge.p50_s);
        within("purge_p99_s", expect.purge_p99_s, purge.p99_s);
        within("purge_p999_s", expect.purge_p999_s, purge.p999_s);
        within("purge_worst_s", expect.purge_worst_s, purge.worst_s);
        within("list_worst_s", expect.list_worst_s, self.lists.last.worst_s);
        within("version_worst_s", expect.version_worst_s, self.versions.last.worst_s);
        let current = self.harm.values().map(|harm| harm.current.worst_s).fold(0.0, f64::max);
        within("current_worst_s", expect.current_worst_s, current);
        let Beside { hollow, real, hollow_purge, real_purge, real_purge_earliest } = self.beside;
        within("bytes_per_s", expect.bytes_per_s, hollow.bytes_per_s.max(real.bytes_per_s));
        within("bytes_most_per_s", expect.bytes_most_per_s, self.bytes_most as f64);
        within("cores", expect.cores, self.hollow_share.cores.max(self.real_idle_share.cores));
        within("memory_mb", expect.memory_mb, self.hollow_share.memory_mb.max(self.real_share.memory_mb));
        within("calls_per_s", expect.calls_per_s, self.calls_most as f64);
        within("replica_followers", expect.replica_followers, self.replica_followers);
        within("replica_calls_per_s", expect.replica_calls_per_s, self.replica_calls_most as f64);
        within("all_memory_gb", expect.all_memory_gb, self.memory_most_gb);
        if real.dispatchers > 0 {
            let differs = |hollow: f64, real: f64| (hollow / real.max(1e-9) - 1.0).abs();
            let messages = differs(hollow.messages_per_s, real.messages_per_s);
            within("hollow_differs, messages", expect.hollow_differs, messages);
            within(
                "hollow_differs, bytes",
                expect.hollow_differs,
                differs(hollow.bytes_per_s, real.bytes_per_s),
            );
            // No difference is seen while the hollow ones' median lies between what observers can tell.
            let seen = [real_purge_earliest.p50_s, real_purge.p50_s];
            let apart_s = (seen[0] - hollow_purge.p50_s).max(hollow_purge.p50_s - seen[1]).max(0.0);
            within("hollow_differs_s", expect.hollow_differs_s, apart_s);
        }
        let classes = [("purges", self.purges), ("lists", self.lists), ("versions", self.versions)];
        for (name, class) in classes.into_iter().filter(|(_, class)| class.last.never > 0) {
            missed.push(format!("{name}: {} never acted on everywhere reachable", class.last.never));
        }
        missed.extend(self.failed.iter().cloned());
        missed
    }
}

#[cfg(test)]
#[path = "../tests/capacity_outcome.rs"]
mod tests;
