//! Recent purges by object and by group of objects.
//!
//! Only the last purge of each object and group matters, so one is kept for each. Lookup is by hash and does not
//! depend on their number. `policy` owns the set. At most [`MAX_PURGES`] are kept; `policy` calls [`Purges::forget`]
//! with each decision to drop those that are too old to matter.

use crate::interface::Nanos;
use std::collections::{BTreeSet, HashMap};

/// Most objects and groups whose purges are kept. A backlog of 100,000 fits. If there are more, the oldest are
/// replaced by one purge of any object, which is stricter and takes no space.
pub const MAX_PURGES: usize = 131_072;

/// What was purged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purged {
    /// An object, by its hash.
    Object(u64),
    /// A group of objects.
    Group(u64),
    /// Any object, as events of the change log were lost.
    Anything,
}

/// The set of recent purges.
#[derive(Debug, Clone, Default)]
pub struct Purges {
    /// When each object and group was last purged.
    last: HashMap<Purged, Nanos>,
    /// The same purges, oldest first.
    oldest_first: BTreeSet<(Nanos, Purged)>,
    /// The last time at which any object may have been purged. Purges of objects and groups up to then are not kept.
    anything: Option<Nanos>,
}

impl Purges {
    /// Records a purge at a time.
    pub fn add(&mut self, what: Purged, at: Nanos) {
        if self.anything.is_some_and(|anything| at <= anything) {
            return;
        }
        if what == Purged::Anything {
            return self.record_loss(at);
        }
        match self.last.get(&what) {
            Some(last) if *last >= at => return,
            Some(last) => drop(self.oldest_first.remove(&(*last, what))),
            None => {}
        }
        self.last.insert(what, at);
        self.oldest_first.insert((at, what));
        if self.len() > MAX_PURGES
            && let Some((oldest, _)) = self.oldest_first.first()
        {
            self.record_loss(*oldest);
        }
    }

    /// Records that any object may have been purged at a time. This replaces all purges up to then.
    fn record_loss(&mut self, at: Nanos) {
        self.anything = Some(at);
        self.drop_while(|purged_at| purged_at <= at);
    }

    /// Drops purges, the oldest first, while their times match.
    fn drop_while(&mut self, matches: impl Fn(Nanos) -> bool) {
        while let Some((at, what)) = self.oldest_first.first().copied() {
            if !matches(at) {
                return;
            }
            self.oldest_first.pop_first();
            self.last.remove(&what);
        }
    }

    /// Drops the purges that are older than `span`.
    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        let is_old = |at: Nanos| now.since(at) > span;
        self.anything = self.anything.filter(|at| !is_old(*at));
        self.drop_while(is_old);
    }

    /// When this object or its group was last purged.
    pub fn last(&self, object: u64, group: Option<u64>) -> Option<Nanos> {
        if self.last.is_empty() {
            return self.anything;
        }
        let of_object = self.last.get(&Purged::Object(object)).copied();
        let of_group = group.and_then(|group| self.last.get(&Purged::Group(group))).copied();
        self.anything.max(of_object).max(of_group)
    }

    /// The number of objects and groups kept.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// Whether no purge is kept.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty() && self.anything.is_none()
    }
}
