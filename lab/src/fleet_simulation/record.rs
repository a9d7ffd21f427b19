//! The events of the change log, as bytes on the wire, with when each was issued and when the log took it.

use super::assumptions::{UNIX_MS, VERSION_AHEAD_MS};
use super::follower::rules;
use copperroute::interface::{Nanos, mix};
use copperroute_agreement::issue::{Issue, written_digest};
use serde_json::json;

/// Versions in turn say so many pulls.
const PULLS: [u64; 4] = [3, 6, 2, 5];
/// One purge in so many is of a group.
const GROUPS_ONE_IN: u64 = 3;

/// An event.
#[derive(Debug)]
pub struct Entry {
    pub issued: Nanos,
    pub entered: Nanos,
    line: Vec<u8>,
}

#[derive(Debug, Default)]
pub struct Record {
    entries: Vec<Entry>,
    versions: Vec<Nanos>,
    digest: String,
    bytes: Vec<u64>,
}

impl Record {
    /// The number of the last event.
    pub fn last(&self) -> u64 {
        self.entries.len() as u64
    }

    /// The event with this number.
    pub fn entry(&self, number: u64) -> &Entry {
        &self.entries[number as usize - 1]
    }

    /// When each version was issued, from the first on.
    pub fn versions(&self) -> &[Nanos] {
        &self.versions
    }

    /// The number of the last event that the log had taken by then.
    pub fn last_at(&self, moment: Nanos) -> u64 {
        self.entries.partition_point(|entry| entry.entered <= moment) as u64
    }

    fn push(&mut self, issued: Nanos, entered: Nanos, line: String) {
        let before = self.bytes.last().copied().unwrap_or(0);
        self.bytes.push(before + line.len() as u64);
        self.entries.push(Entry { issued, entered, line: line.into_bytes() });
    }

    /// A purge that was issued then, and is taken now.
    pub fn purge(&mut self, issued: Nanos, now: Nanos) {
        let (seq, time) = (self.last() + 1, UNIX_MS + issued.0 / 1_000_000);
        let what = match seq % GROUPS_ONE_IN {
            0 => json!({"bucket": seq % 200}),
            _ => json!({"object": format!("{:016x}{:016x}", mix(seq), mix(seq + (1 << 40)))}),
        };
        let mut invalidate = what;
        invalidate["time"] = json!(time);
        let line = format!("{}\n", json!({"seq": seq, "invalidate": invalidate}));
        self.push(issued, now, line);
    }

    /// The next version, issued now.
    pub fn version(&mut self, now: Nanos) {
        self.versions.push(now);
        let number = self.versions.len() as u64;
        let issued_ms = UNIX_MS + now.0 / 1_000_000;
        let issue = Issue {
            version: number,
            after: self.digest.clone(),
            issuer: "lab".into(),
            issued_ms,
            from_ms: issued_ms + VERSION_AHEAD_MS,
            rules: rules(PULLS[self.versions.len() % PULLS.len()]),
            floor: None,
        };
        self.digest = written_digest(number, issue.digest());
        let line = format!("{}\n", json!({"seq": self.last() + 1, "rules": issue}));
        self.push(now, now, line);
    }

    /// The bytes of the events after one up to another.
    pub fn bytes(&self, after: u64, upto: u64) -> Vec<u8> {
        let told = self.entries.get(after as usize..upto as usize).unwrap_or_default();
        told.iter().flat_map(|entry| entry.line.iter().copied()).collect()
    }

    /// How many bytes these are.
    pub fn length(&self, after: u64, upto: u64) -> u64 {
        let total = |number: u64| match number {
            0 => 0,
            _ => self.bytes[number as usize - 1],
        };
        total(upto).saturating_sub(total(after))
    }
}
