//! Purges heard of lately, by object and by group.
//!
//! Only the last purge of each object and group counts, so one is held of each: looked up by hash, whatever their number,
//! and forgotten from the oldest on. Owner: the policy. Bound: [`MOST_HELD`]. Forgotten: once they are older than the
//! span that [`Purges::forget`] is told, which the policy does with each decision.

use crate::interface::Nanos;
use std::collections::{BTreeSet, HashMap};

/// Objects and groups whose purges are held at most. A backlog of 100,000 fits in; of more, the oldest become one purge of
/// anything, which is stricter and needs no room.
pub const MOST_HELD: usize = 131_072;

/// What was purged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purged {
    /// An object, by its hash.
    Object(u64),
    /// A group of objects.
    Group(u64),
    /// It may have been anything: what was told of it is lost.
    Anything,
}

/// The purges of the recent past.
#[derive(Debug, Clone, Default)]
pub struct Purges {
    /// When each object and group was last purged.
    last: HashMap<Purged, Nanos>,
    /// The same, oldest first.
    oldest_first: BTreeSet<(Nanos, Purged)>,
    /// When anything may last have been purged. No purge of an object or group is held that is not later.
    anything: Option<Nanos>,
}

impl Purges {
    /// Notes that something was purged at a time.
    pub fn add(&mut self, what: Purged, at: Nanos) {
        if self.anything.is_some_and(|anything| at <= anything) {
            return;
        }
        if what == Purged::Anything {
            return self.lose(at);
        }
        match self.last.get(&what) {
            Some(last) if *last >= at => return,
            Some(last) => drop(self.oldest_first.remove(&(*last, what))),
            None => {}
        }
        self.last.insert(what, at);
        self.oldest_first.insert((at, what));
        if self.len() > MOST_HELD
            && let Some((oldest, _)) = self.oldest_first.first()
        {
            self.lose(*oldest);
        }
    }

    /// Anything may have been purged at a time, which stands for all purges up to then.
    fn lose(&mut self, at: Nanos) {
        self.anything = Some(at);
        self.drop_while(|purged_at| purged_at <= at);
    }

    /// Drops the oldest as long as their times are meant.
    fn drop_while(&mut self, meant: impl Fn(Nanos) -> bool) {
        while let Some((at, what)) = self.oldest_first.first().copied() {
            if !meant(at) {
                return;
            }
            self.oldest_first.pop_first();
            self.last.remove(&what);
        }
    }

    /// Forgets the purges that are older than `span`.
    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        let is_old = |at: Nanos| now.since(at) > span;
        self.anything = self.anything.filter(|at| !is_old(*at));
        self.drop_while(is_old);
    }

    /// When this object, or its group, was last purged.
    pub fn last(&self, object: u64, group: Option<u64>) -> Option<Nanos> {
        if self.last.is_empty() {
            return self.anything;
        }
        let of_object = self.last.get(&Purged::Object(object)).copied();
        let of_group = group.and_then(|group| self.last.get(&Purged::Group(group))).copied();
        self.anything.max(of_object).max(of_group)
    }

    /// How many objects and groups are held.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// Whether no purge is held.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty() && self.anything.is_none()
    }
}
