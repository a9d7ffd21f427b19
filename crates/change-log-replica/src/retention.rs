//! The events that a replica holds, oldest first, bounded by age and bytes. Evicted events are applied to a snapshot,
//! with which a follower that needs them can begin ([`Retention::start`]).

use crate::lines::{EventKind, EventLine};
use crate::snapshot::Snapshot;
use copperroute_routing::interface::Nanos;
use std::collections::VecDeque;

/// The bytes counted for an event besides those of its line.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// The bounds on the events held.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetentionSettings {
    /// How long after its receipt an event is held.
    pub max_age: Nanos,
    /// Bytes of all events together, with `ENTRY_OVERHEAD_BYTES` for each.
    pub bytes: usize,
}

#[derive(Debug)]
struct Entry {
    event: EventLine,
    received_at: Nanos,
    /// Whether events between this one and the one before were not received.
    gap: bool,
}

impl Entry {
    fn bytes(&self) -> usize {
        self.event.line.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// Where a follower's stream begins.
#[derive(Debug, PartialEq, Eq)]
pub enum Start {
    /// After the event with this number, which the follower has.
    After(u64),
    /// With this snapshot, which stands for all events up to the one with this number.
    Snapshot(u64, Vec<u8>),
    /// The follower needs a snapshot, and the state is not completely known.
    Unavailable,
}

/// The events held.
#[derive(Debug)]
pub struct Retention {
    settings: RetentionSettings,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// The state after the last evicted event.
    evicted_state: Snapshot,
}

impl Retention {
    /// No events.
    pub fn new(settings: RetentionSettings) -> Self {
        Retention { settings, entries: VecDeque::new(), bytes: 0, evicted_state: Snapshot::default() }
    }

    /// The number of the last event; 0 for none.
    pub fn last(&self) -> u64 {
        self.entries.back().map_or(self.evicted_state.seq, |entry| entry.event.seq)
    }

    /// The number of events held, and their bytes with all overhead.
    pub fn held(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    /// The hash of the last event's line, and whether it is a snapshot; `None` if no event is held.
    pub fn last_digest(&self) -> Option<(u64, bool)> {
        self.entries.back().map(|entry| (entry.event.digest(), entry.event.kind == EventKind::Snapshot))
    }

    /// Adds an event with a higher number than the last one; `gap` if events between them were not received.
    pub fn push(&mut self, now: Nanos, event: EventLine, gap: bool) {
        debug_assert!(event.seq > self.last(), "numbers rise");
        let entry = Entry { event, received_at: now, gap };
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
        self.evict(now);
    }

    /// Evicts events that are too old, and the oldest ones while there are too many bytes. The newest is never evicted,
    /// because it shows a follower that it has missed events.
    pub fn evict(&mut self, now: Nanos) {
        while self.entries.len() > 1 {
            let old = |entry: &Entry| now.since(entry.received_at) > self.settings.max_age;
            if self.bytes <= self.settings.bytes && !self.entries.front().is_some_and(old) {
                return;
            }
            let Some(entry) = self.entries.pop_front() else { return };
            self.bytes -= entry.bytes();
            self.evicted_state.apply(&entry.event, entry.gap);
        }
    }

    /// The index of the first event with a higher number.
    fn index_after(&self, seq: u64) -> usize {
        self.entries.partition_point(|entry| entry.event.seq <= seq)
    }

    /// Whether the events held continue from this number: no event after it was evicted, and none is hidden by a
    /// snapshot that bears the very next number.
    pub fn continues_after(&self, seq: u64) -> bool {
        let next = self.entries.get(self.index_after(seq));
        let hidden = next.is_some_and(|next| next.gap && next.event.seq == seq + 1 && seq > 0);
        seq >= self.evicted_state.seq && !hidden
    }

    /// Where the stream of a follower begins that has all events up to `seq`.
    ///
    /// A snapshot that stands for events which are not sent must bear a number at least one higher than the next one
    /// that the follower expects: the gap shows the follower that purges may be missing.
    pub fn start(&self, seq: u64) -> Start {
        if self.continues_after(seq) {
            return Start::After(seq);
        }
        let mut snapshot = self.evicted_state.clone();
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
        match snapshot.encode() {
            Some(list) if snapshot.seq >= least => Start::Snapshot(snapshot.seq, list),
            _ => Start::Unavailable,
        }
    }

    /// The lines of the events after this number, each with its number.
    pub fn after(&self, seq: u64) -> impl Iterator<Item = (u64, &str)> {
        self.entries.range(self.index_after(seq)..).map(|entry| (entry.event.seq, &*entry.event.line))
    }

    /// Checks the invariants: numbers rise, gaps are marked, the bytes add up, and the bound on bytes is kept.
    pub fn check_invariants(&self) -> Result<(), String> {
        let mut last = self.evicted_state.seq;
        for entry in &self.entries {
            let seq = entry.event.seq;
            if seq <= last || (seq != last + 1 && !entry.gap) {
                return Err(format!("event {seq} is held after {last}"));
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
