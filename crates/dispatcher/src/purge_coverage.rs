//! Decides at start whether copies that a disk tier kept over a restart can be trusted, given the known
//! events of the change log.

use copperroute_protocol::changes::{Change, KnownEvents};
use std::collections::BTreeSet;

/// Whether every purge after event `marked` is among the known events or will be delivered by the change log,
/// which is asked for everything after the known events. `marked` is the last event whose purge is marked on
/// disk. A disk that was not writable when purges arrived lacks their marks, so every event after the last
/// mark must be known: any missing one may have been a purge.
pub fn covers_purges_after(known: &KnownEvents, marked: u64) -> bool {
    let Some(missing) = known.seq.checked_sub(marked) else { return false };
    let described =
        known.results.iter().filter(|change| describes_its_event(change)).map(|change| change.seq);
    let described: BTreeSet<_> = described.filter(|seq| *seq > marked && *seq <= known.seq).collect();
    described.len() as u64 == missing
}

/// Whether a change describes its own event. A snapshot stands for all events up to its number, which are no
/// longer delivered one by one, and does not contain their purges. Before the first event there are none.
fn describes_its_event(change: &Change) -> bool {
    change.invalidate.is_some() || change.seq == 1 || !change.fleet.as_ref().is_some_and(|fleet| fleet.full)
}
