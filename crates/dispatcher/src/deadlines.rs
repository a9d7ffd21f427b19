//! All that is to happen at a time: one ordered structure of deadlines, without I/O.
//!
//! *Owner*: the event loop, which has one, waits until its first deadline, and takes what is due.
//!
//! *Bound*: a request arms a bounded number of deadlines (its expiry, one for the disk, and for each of its attempts, of
//! which there are a fixed number at most, one or two). Deadlines are not cancelled one by one: a request that ends early
//! would have to know its own. They lapse, or are forgotten together once they have doubled in number, so that there
//! are at most twice as many as were wanted by somebody then, or [`PRUNE_THRESHOLD`]. Without that, 50,000 requests a
//! second with a time-out of 60 s would leave some millions behind that nobody waits for.
//!
//! *Moment of forgetting*: when a deadline is taken as due, or in the pass over all of them that [`Deadlines::prune`]
//! makes. A pass looks at each deadline once and comes after at least half as many were armed: a constant cost for each.

use copperroute_routing::interface::Nanos;
use std::collections::BTreeMap;

/// With fewer deadlines than this none is looked for that nobody waits for: they take less than half a megabyte.
pub const PRUNE_THRESHOLD: usize = 4096;

/// Deadlines, each with what it is for, in the order of their times; those of one time in the order of arming.
#[derive(Debug)]
pub struct Deadlines<T> {
    standing: BTreeMap<Place, T>,
    /// How many were ever armed.
    armed: u64,
    /// With so many standing, those that nobody waits for are to be forgotten.
    crowded_from: usize,
}

/// Where a deadline stands among the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    at: Nanos,
    /// How many were armed before it.
    armed_before: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { standing: BTreeMap::new(), armed: 0, crowded_from: PRUNE_THRESHOLD }
    }
}

impl<T> Deadlines<T> {
    /// Arms a deadline; one in the past is due at once.
    pub fn arm(&mut self, at: Nanos, what: T) {
        let place = Place { at, armed_before: self.armed };
        self.armed += 1;
        self.standing.insert(place, what);
    }

    /// The first deadline, if any stands.
    pub fn first(&self) -> Option<Nanos> {
        self.standing.first_key_value().map(|(place, _)| place.at)
    }

    /// Moves all that is due by now to the end of a list, in order.
    pub fn take_due(&mut self, now: Nanos, due: &mut Vec<T>) {
        while let Some(first) = self.standing.first_entry() {
            if first.key().at > now {
                break;
            }
            due.push(first.remove());
        }
        self.crowded_from = self.crowded_from.min(twice(self.standing.len()));
    }

    /// Whether so many stand that those which nobody waits for are to be forgotten.
    pub fn needs_pruning(&self) -> bool {
        self.standing.len() >= self.crowded_from
    }

    /// Forgets the deadlines that nobody waits for any more.
    pub fn prune(&mut self, is_wanted: impl Fn(&T) -> bool) {
        self.standing.retain(|_, what| is_wanted(what));
        self.crowded_from = twice(self.standing.len());
    }

    /// How many stand.
    pub fn count(&self) -> usize {
        self.standing.len()
    }
}

/// The number from which deadlines are crowded, if so many stand now.
fn twice(count: usize) -> usize {
    (2 * count).max(PRUNE_THRESHOLD)
}
