//! Whether what a disk tier holds over a restart can be judged by what is known of the change log.

use copperroute_protocol::changes::{Change, KnownEvents};
use std::collections::BTreeSet;

/// Whether every purge later than those that are marked on disk is told by what is known, or will be told by the change
/// log, which is asked for what comes after that. A disk that took no writes when purges came lacks their marks, so each
/// event after the last mark has to be there: one that is not may have been a purge.
pub fn covers_purges_after(known: &KnownEvents, marked: u64) -> bool {
    let Some(missing) = known.seq.checked_sub(marked) else { return false };
    let told = known.results.iter().filter(|change| tells_its_event(change)).map(|change| change.seq);
    let told: BTreeSet<_> = told.filter(|seq| *seq > marked && *seq <= known.seq).collect();
    told.len() as u64 == missing
}

/// A whole list stands for events that are no longer told, its own among them, and tells nothing of the purges among
/// these. Before the first event there is none.
fn tells_its_event(change: &Change) -> bool {
    change.invalidate.is_some() || change.seq == 1 || !change.fleet.as_ref().is_some_and(|fleet| fleet.full)
}
