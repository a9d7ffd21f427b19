//! The events that are held, oldest first. What is older than the bounds is forgotten whole, and only counts in the
//! snapshot from then on.

use crate::lines::{EventLine, Kind};
use crate::snapshot::Snapshot;
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// What an event takes beside the bytes of its line.
const OVERHEAD: usize = 64;

/// How much is held.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetentionSettings {
    /// For how long after it came.
    pub span: Nanos,
    /// Bytes in all.
    pub bytes: usize,
}

#[derive(Debug)]
struct Entry {
    event: EventLine,
    came: Nanos,
    /// What lies between it and the event before was not told.
    gap: bool,
}

impl Entry {
    fn bytes(&self) -> usize {
        self.event.line.len() + OVERHEAD
    }
}

/// Where a follower begins.
#[derive(Debug, PartialEq, Eq)]
pub enum Start {
    /// Behind the event that it has.
    Behind(u64),
    /// With this whole list, which stands for all up to the event with this number.
    WholeList(u64, Vec<u8>),
    /// It needs a whole list, and none can be vouched for.
    Missed,
}

/// The events that are held.
#[derive(Debug)]
pub struct Retention {
    settings: RetentionSettings,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// The state after the last event that is not held any more.
    forgotten: Snapshot,
}

impl Retention {
    /// Nothing held yet.
    pub fn new(settings: RetentionSettings) -> Self {
        Retention { settings, entries: VecDeque::new(), bytes: 0, forgotten: Snapshot::default() }
    }

    /// The number of the last event; 0 for none.
    pub fn last(&self) -> u64 {
        self.entries.back().map_or(self.forgotten.seq, |entry| entry.event.seq)
    }

    /// What is held: events, and bytes with all overhead.
    pub fn held(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    /// Tells the last event from any other: its print, and whether it is a whole list; none if nothing was heard.
    pub fn last_print(&self) -> Option<(u64, bool)> {
        self.entries.back().map(|entry| (entry.event.print(), entry.event.kind == Kind::WholeList))
    }

    /// Holds one more event, whose number is higher than that of the last; `gap` if what lies between was not told.
    pub fn push(&mut self, now: Nanos, event: EventLine, gap: bool) {
        debug_assert!(event.seq > self.last(), "numbers rise");
        let entry = Entry { event, came: now, gap };
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
        self.forget(now);
    }

    /// Forgets what is too old, and the oldest while there are too many bytes. The newest is never forgotten: with it a
    /// follower sees that it has missed something.
    pub fn forget(&mut self, now: Nanos) {
        while self.entries.len() > 1 {
            let old = |entry: &Entry| now.since(entry.came) > self.settings.span;
            if self.bytes <= self.settings.bytes && !self.entries.front().is_some_and(old) {
                return;
            }
            let Some(entry) = self.entries.pop_front() else { return };
            self.bytes -= entry.bytes();
            self.forgotten.apply(&entry.event, entry.gap);
        }
    }

    /// The place of the first event behind this number.
    fn place(&self, seq: u64) -> usize {
        self.entries.partition_point(|entry| entry.event.seq <= seq)
    }

    /// Whether what is held goes on from this number: nothing behind it is forgotten, nor hidden by a whole list that
    /// bears the very next number.
    pub fn follows(&self, seq: u64) -> bool {
        let next = self.entries.get(self.place(seq));
        let hidden = next.is_some_and(|next| next.gap && next.event.seq == seq + 1 && seq > 0);
        seq >= self.forgotten.seq && !hidden
    }

    /// Where a follower begins that has all up to `seq`.
    ///
    /// A whole list that stands for events which are not told bears a number that is higher than the next one the
    /// follower expects by one at least: by that it sees that purges may be missing.
    pub fn start(&self, seq: u64) -> Start {
        if self.follows(seq) {
            return Start::Behind(seq);
        }
        let mut snapshot = self.forgotten.clone();
        let least = match seq {
            0 => 1,
            _ => seq + 2,
        };
        for entry in &self.entries {
            if snapshot.seq >= least {
                break;
            }
            snapshot.apply(&entry.event, entry.gap);
        }
        match snapshot.whole_list() {
            Some(list) if snapshot.seq >= least => Start::WholeList(snapshot.seq, list),
            _ => Start::Missed,
        }
    }

    /// The events behind this number, as the lines that came, each with its number.
    pub fn after(&self, seq: u64) -> impl Iterator<Item = (u64, &str)> {
        self.entries.range(self.place(seq)..).map(|entry| (entry.event.seq, &*entry.event.line))
    }

    /// The invariants: numbers rise, without a gap that is not marked; bytes add up; the bounds hold.
    pub fn holds(&self) -> Result<(), String> {
        let mut last = self.forgotten.seq;
        for entry in &self.entries {
            let seq = entry.event.seq;
            if seq <= last || (seq != last + 1 && !entry.gap) {
                return Err(format!("event {seq} is held behind {last}"));
            }
            last = seq;
        }
        let bytes: usize = self.entries.iter().map(Entry::bytes).sum();
        if bytes != self.bytes {
            return Err(format!("{bytes} bytes are held, {} counted", self.bytes));
        }
        if bytes > self.settings.bytes && self.entries.len() > 1 {
            return Err(format!("{bytes} bytes are held, {} allowed", self.settings.bytes));
        }
        Ok(())
    }
}
