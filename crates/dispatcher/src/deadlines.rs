//! The timers of the event loop: one ordered map of deadlines, without I/O.
//!
//! *Owner*: the event loop has one, waits until its first deadline, and takes what is due.
//!
//! *Bound*: a request arms a bounded number of deadlines: its timeout, one for the disk, and one or two for
//! each of its attempts, whose number is limited. Deadlines are not cancelled one by one, as a request that
//! ends early would have to know its own. They fall due, or are pruned together once their number has
//! doubled, so there are at most twice as many as were needed after the last pruning, or [`PRUNE_THRESHOLD`].
//! Without pruning, 50,000 requests per second with a timeout of 60 s would leave millions of unneeded
//! deadlines.
//!
//! *Removal*: when a deadline is taken as due, or when [`Deadlines::prune`] makes its pass over all of them.
//! A pass visits each deadline once and comes after at least half as many were armed, so the cost per
//! deadline is constant.

use copperroute_routing::interface::Nanos;
use std::collections::BTreeMap;

/// Below this number of deadlines none are pruned: they take less than half a megabyte.
pub const PRUNE_THRESHOLD: usize = 4096;

/// Deadlines with their payloads, ordered by time; those of equal time in the order in which they were armed.
#[derive(Debug)]
pub struct Deadlines<T> {
    by_time: BTreeMap<DeadlineKey, T>,
    /// The number of deadlines ever armed.
    armed_count: u64,
    /// The number of deadlines from which on they are to be pruned.
    prune_at: usize,
}

/// The order of a deadline: by time, then by arming.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DeadlineKey {
    at: Nanos,
    /// The number of deadlines armed before it.
    armed_before: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { by_time: BTreeMap::new(), armed_count: 0, prune_at: PRUNE_THRESHOLD }
    }
}

impl<T> Deadlines<T> {
    /// Arms a deadline; one in the past is due at once.
    pub fn arm(&mut self, at: Nanos, payload: T) {
        let key = DeadlineKey { at, armed_before: self.armed_count };
        self.armed_count += 1;
        self.by_time.insert(key, payload);
    }

    /// The time of the first deadline, if any is armed.
    pub fn first(&self) -> Option<Nanos> {
        self.by_time.first_key_value().map(|(key, _)| key.at)
    }

    /// Appends the payloads of all deadlines due by `now` to `due`, in order.
    pub fn take_due(&mut self, now: Nanos, due: &mut Vec<T>) {
        while let Some(first) = self.by_time.first_entry() {
            if first.key().at > now {
                break;
            }
            due.push(first.remove());
        }
        self.prune_at = self.prune_at.min(prune_threshold(self.by_time.len()));
    }

    /// Whether there are so many deadlines that unneeded ones are to be pruned.
    pub fn needs_pruning(&self) -> bool {
        self.by_time.len() >= self.prune_at
    }

    /// Removes the deadlines that are no longer needed.
    pub fn prune(&mut self, is_wanted: impl Fn(&T) -> bool) {
        self.by_time.retain(|_, payload| is_wanted(payload));
        self.prune_at = prune_threshold(self.by_time.len());
    }

    /// The number of armed deadlines.
    pub fn count(&self) -> usize {
        self.by_time.len()
    }
}

/// The number of deadlines at which to prune next, if `count` remain now.
fn prune_threshold(count: usize) -> usize {
    (2 * count).max(PRUNE_THRESHOLD)
}
