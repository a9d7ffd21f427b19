//! The events of the change log as bytes on the wire, with the time at which each was issued and the time at which the
//! log appended it. Events are numbered from 1.

use super::assumptions::{ACTIVATION_DELAY_MS, START_UNIX_MS};
use super::follower::version_rules;
use copperroute_config_rollout::version::{IssuedVersion, format_digest};
use copperroute_routing::interface::{Nanos, mix};
use serde_json::json;

/// The maximum attempts of successive versions, in turn.
const MAX_ATTEMPTS: [u64; 4] = [3, 6, 2, 5];
/// One purge in this many is for a group of objects (`bucket`), the others for a single object.
const GROUP_PURGE_ONE_IN: u64 = 3;

/// When an event was issued, and when the log appended it.
#[derive(Debug)]
pub(super) struct Entry {
    pub issued: Nanos,
    pub appended: Nanos,
}

#[derive(Debug, Default)]
pub(super) struct Record {
    entries: Vec<Entry>,
    versions: Vec<Nanos>,
    digest: String,
    /// The lines of all events, concatenated, and the end offset of each.
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

    /// The issue time of each version, starting with version 1.
    pub(super) fn versions(&self) -> &[Nanos] {
        &self.versions
    }

    /// The number of the last event that the log had appended by this time.
    pub(super) fn last_at(&self, time: Nanos) -> u64 {
        self.entries.partition_point(|entry| entry.appended <= time) as u64
    }

    fn push(&mut self, issued: Nanos, appended: Nanos, line: String) {
        self.bytes.extend_from_slice(line.as_bytes());
        self.ends.push(self.bytes.len());
        self.entries.push(Entry { issued, appended });
    }

    /// Appends a purge that was issued at `issued`.
    pub(super) fn purge(&mut self, issued: Nanos, now: Nanos) {
        let (seq, time) = (self.last() + 1, START_UNIX_MS + issued.0 / 1_000_000);
        let mut invalidate = match seq % GROUP_PURGE_ONE_IN {
            0 => json!({"bucket": seq % 200}),
            _ => json!({"object": format!("{:016x}{:016x}", mix(seq), mix(seq + (1 << 40)))}),
        };
        invalidate["time"] = json!(time);
        let line = format!("{}\n", json!({"seq": seq, "invalidate": invalidate}));
        self.push(issued, now, line);
    }

    /// Issues and appends the next version.
    pub(super) fn version(&mut self, now: Nanos) {
        self.versions.push(now);
        let number = self.versions.len() as u64;
        let issued_ms = START_UNIX_MS + now.0 / 1_000_000;
        let issue = IssuedVersion {
            version: number,
            after: self.digest.clone(),
            issuer: "lab".into(),
            issued_ms,
            from_ms: issued_ms + ACTIVATION_DELAY_MS,
            rules: version_rules(MAX_ATTEMPTS[self.versions.len() % MAX_ATTEMPTS.len()]),
            floor: None,
        };
        self.digest = format_digest(number, issue.digest());
        let line = format!("{}\n", json!({"seq": self.last() + 1, "rules": issue}));
        self.push(now, now, line);
    }

    /// The bytes of the events after number `after`, up to and including number `upto`.
    pub(super) fn bytes(&self, after: u64, upto: u64) -> &[u8] {
        self.bytes.get(self.end(after)..self.end(upto)).unwrap_or_default()
    }

    /// The end offset of this event's line.
    fn end(&self, number: u64) -> usize {
        number.checked_sub(1).map_or(0, |at| self.ends[at as usize])
    }

    /// The length of `bytes(after, upto)`.
    pub(super) fn length(&self, after: u64, upto: u64) -> u64 {
        self.end(upto).saturating_sub(self.end(after)) as u64
    }
}
