//! Figures drawn from what was seen: how long events took to the last reachable dispatcher, who was late for how long and
//! why, and when dispatchers were current again.

use super::ledger::{Cause, Track};
use super::log::{Issued, Kind};
use std::collections::BTreeMap;

/// What the page says: a purge is acted on everywhere within this, and configuration is in force.
pub(super) const PURGE_BOUND_S: f64 = 2.1;
pub(super) const VERSION_BOUND_S: f64 = 9.0;

/// How long something took, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub(super) struct Spread {
    pub count: usize,
    pub p50_s: f64,
    pub p99_s: f64,
    pub p999_s: f64,
    pub worst_s: f64,
    /// So many were never done by the end, though they could have been: these are in no other figure.
    pub never: usize,
}

/// What a kind of disturbance brought about, of hollow dispatchers.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub(super) struct Harm {
    /// How often a dispatcher was disturbed so.
    pub times: usize,
    /// Seconds over the bound of purges, of all dispatchers together, while each could be reached.
    pub late_s: f64,
    /// From the end of the disturbance until it had acted on the first event issued after that.
    pub current: Spread,
}

/// A class of events, by dispatcher and by the last of them.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub(super) struct Class {
    /// From issue until the last reachable dispatcher had acted.
    pub last: Spread,
    /// From issue until one reachable dispatcher had acted.
    pub each: Spread,
    /// The same of dispatchers that could be reached all the time since their start.
    pub undisturbed: Spread,
}

impl Spread {
    /// Of these, in seconds, and so many that never came.
    pub(super) fn of(mut all: Vec<f64>, never: usize) -> Spread {
        all.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let rank = (share * all.len() as f64).ceil() as usize;
            all.get(rank.max(1) - 1).copied().unwrap_or(0.0)
        };
        Spread {
            count: all.len(),
            p50_s: at(0.5),
            p99_s: at(0.99),
            p999_s: at(0.999),
            worst_s: at(1.0),
            never,
        }
    }
}

fn secs(us: u64) -> f64 {
    us as f64 / 1e6
}

/// Whether and when a dispatcher had acted on an event.
pub(super) fn acted_us(track: &Track, issued: &Issued) -> Option<u64> {
    match issued.kind {
        Kind::Version { number } => track.in_force_us(number, issued.at_us),
        Kind::Purge { .. } | Kind::List => track.acted_us(issued.seq, issued.at_us),
    }
}

/// What became of an event at a dispatcher.
enum Fate {
    /// It was out of reach before it had acted.
    OutOfReach,
    After(u64),
    Never,
}

fn fate(track: &Track, issued: &Issued) -> Fate {
    match acted_us(track, issued) {
        Some(at_us) if track.is_reachable(issued.at_us, at_us) => Fate::After(at_us - issued.at_us),
        None if track.is_reachable(issued.at_us, u64::MAX - 1) => Fate::Never,
        _ => Fate::OutOfReach,
    }
}

/// How long events of a class took. Also by event: its issue, and its last.
pub(super) fn class<'a>(
    issued: impl Iterator<Item = &'a Issued>,
    tracks: &[&Track],
) -> (Class, Vec<(u64, f64)>) {
    let (mut lasts, mut each, mut undisturbed) = (Vec::new(), Vec::new(), Vec::new());
    let [mut never, mut never_each, mut never_undisturbed] = [0; 3];
    for issued in issued {
        let (mut last, mut all) = (0, true);
        for track in tracks {
            match fate(track, issued) {
                Fate::OutOfReach => {}
                Fate::After(us) => {
                    last = last.max(us);
                    each.push(secs(us));
                    if track.is_undisturbed() {
                        undisturbed.push(secs(us));
                    }
                }
                Fate::Never => {
                    all = false;
                    never_each += 1;
                    never_undisturbed += usize::from(track.is_undisturbed());
                }
            }
        }
        match all {
            true => lasts.push((issued.at_us, secs(last))),
            false => never += 1,
        }
    }
    let class = Class {
        last: Spread::of(lasts.iter().map(|last| last.1).collect(), never),
        each: Spread::of(each, never_each),
        undisturbed: Spread::of(undisturbed, never_undisturbed),
    };
    (class, lasts)
}

/// What kinds of disturbances brought about, by cause. `until_us` is when the last events had come to an end.
pub(super) fn harm(issued: &[Issued], tracks: &[&Track], until_us: u64) -> BTreeMap<Cause, Harm> {
    let mut harms: BTreeMap<Cause, Harm> = BTreeMap::new();
    let mut currents: BTreeMap<Cause, (Vec<f64>, usize)> = BTreeMap::new();
    for track in tracks {
        for (cause, late_s) in late(issued, track, until_us) {
            harms.entry(cause).or_default().late_s += late_s;
        }
        for over in track.disturbances.iter().filter(|span| span.to_us <= until_us) {
            harms.entry(over.cause).or_default().times += 1;
            // The run begins once all have started and follow.
            if over.cause == Cause::Start {
                continue;
            }
            let Some(next) = issued.iter().find(|issued| issued.at_us > over.to_us) else { continue };
            let current = currents.entry(over.cause).or_default();
            match track.acted_us(next.seq, next.at_us) {
                Some(at_us) if track.is_reachable(over.to_us + 1, at_us) => {
                    current.0.push(secs(at_us - over.to_us))
                }
                None if track.is_reachable(over.to_us + 1, u64::MAX - 1) => current.1 += 1,
                _ => {}
            }
        }
    }
    for (cause, (all, never)) in currents {
        harms.entry(cause).or_default().current = Spread::of(all, never);
    }
    harms
}

/// For how long a reachable dispatcher had not acted on some purge that was older than the bound, by what had happened to
/// it. Spans of several purges that overlap count once.
fn late(issued: &[Issued], track: &Track, until_us: u64) -> BTreeMap<Cause, f64> {
    let bound_us = (PURGE_BOUND_S * 1e6) as u64;
    let (mut late, mut counted_us) = (BTreeMap::new(), 0);
    for purge in issued.iter().filter(|issued| matches!(issued.kind, Kind::Purge { .. })) {
        let acted_us = match fate(track, purge) {
            Fate::OutOfReach => continue,
            Fate::After(us) => purge.at_us + us,
            Fate::Never => until_us,
        };
        let from_us = (purge.at_us + bound_us).max(counted_us);
        if acted_us > from_us {
            *late.entry(track.cause(from_us)).or_insert(0.0) += secs(acted_us - from_us);
            counted_us = acted_us;
        }
    }
    late
}

#[cfg(test)]
#[path = "../tests/capacity_figures.rs"]
mod tests;
