//! The events of the change log, as bytes on the wire, with when each was issued and when the log took it.

use super::assumptions::{UNIX_MS, VERSION_AHEAD_MS};
use super::follower::rules;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use copperroute_routing::interface::{Nanos, mix};
use serde_json::json;

/// Versions in turn say so many attempts.
const PULLS: [u64; 4] = [3, 6, 2, 5];
/// One purge in so many is of a group.
const GROUPS_ONE_IN: u64 = 3;

/// An event.
#[derive(Debug)]
pub(super) struct Entry {
    pub issued: Nanos,
    pub entered: Nanos,
}

#[derive(Debug, Default)]
pub(super) struct Record {
    entries: Vec<Entry>,
    versions: Vec<Nanos>,
    digest: String,
    /// All lines one after the other, and where each ends.
    bytes: Vec<u8>,
    ends: Vec<usize>,
}

impl Record {
    /// The number of the last event.
    pub(super) fn last(&self) -> u64 {
        self.entries.len() as u64
    }

    /// The event with this number.
    pub(super) fn entry(&self, number: u64) -> &Entry {
        &self.entries[number as usize - 1]
    }

    /// When each version was issued, from the first on.
    pub(super) fn versions(&self) -> &[Nanos] {
        &self.versions
    }

    /// The number of the last event that the log had taken by then.
    pub(super) fn last_at(&self, moment: Nanos) -> u64 {
        self.entries.partition_point(|entry| entry.entered <= moment) as u64
    }

    fn push(&mut self, issued: Nanos, entered: Nanos, line: String) {
        self.bytes.extend_from_slice(line.as_bytes());
        self.ends.push(self.bytes.len());
        self.entries.push(Entry { issued, entered });
    }

    /// A purge that was issued then, and is taken now.
    pub(super) fn purge(&mut self, issued: Nanos, now: Nanos) {
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
    pub(super) fn version(&mut self, now: Nanos) {
        self.versions.push(now);
        let number = self.versions.len() as u64;
        let issued_ms = UNIX_MS + now.0 / 1_000_000;
        let issue = IssuedVersion {
            version: number,
            after: self.digest.clone(),
            issuer: "lab".into(),
            issued_ms,
            from_ms: issued_ms + VERSION_AHEAD_MS,
            rules: rules(PULLS[self.versions.len() % PULLS.len()]),
            floor: None,
        };
        self.digest = format_digest(number, issue.digest());
        let line = format!("{}\n", json!({"seq": self.last() + 1, "rules": issue}));
        self.push(now, now, line);
    }

    /// The bytes of the events after one up to another.
    pub(super) fn bytes(&self, after: u64, upto: u64) -> &[u8] {
        self.bytes.get(self.end(after)..self.end(upto)).unwrap_or_default()
    }

    /// Where the lines up to this event end.
    fn end(&self, number: u64) -> usize {
        number.checked_sub(1).map_or(0, |at| self.ends[at as usize])
    }

    /// How many bytes these are.
    pub(super) fn length(&self, after: u64, upto: u64) -> u64 {
        self.end(upto).saturating_sub(self.end(after)) as u64
    }
}
