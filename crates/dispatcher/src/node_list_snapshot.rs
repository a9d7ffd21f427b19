//! The snapshot of the node list that survives a restart: what is kept of the change log, and the file format. Inputs
//! are applied events; output is the content of the file, or the events read from one. The reducer applies events and
//! asks for the content; `snapshot_writer` reads and writes the file.
//!
//! The file is one line, `copperroute-list 1 SEQ SAVED OF BYTES CRC`, then BYTES bytes of JSON in the form of the
//! configuration's `known`. SAVED is the Unix time in milliseconds at which the change log last confirmed the list, OF
//! is the fingerprint of the dispatcher's configuration, CRC is the CRC-32C of the line before it and of the JSON.

use copperroute_protocol::changes::{Change, Fleet, KnownEvents, ListedNode, NodeState, Purge};
use copperroute_routing::interface::Nanos;
use std::collections::BTreeMap;

/// A changed list is written at most this often. An unchanged list is written again after `REFRESH_INTERVAL`, so that
/// the age of the file shows when the change log was last received.
const WRITE_INTERVAL: Nanos = Nanos(1_000_000_000);
const REFRESH_INTERVAL: Nanos = Nanos(60_000_000_000);
/// The clock of one machine may differ by this much, in milliseconds, before and after a restart.
const CLOCK_ERROR_MS: u64 = 1_000;
/// Limit on rule versions in a snapshot.
const MAX_RULE_VERSIONS: usize = 16;
const MAGIC: &str = "copperroute-list 1";
/// Larger files are refused: no node list is larger.
pub const MAX_FILE_BYTES: usize = 64 * 1024 * 1024;

/// What is needed after a restart: the nodes that are not gone, and purges for as long as caches may hold older copies.
/// Bounded by the size of the node list, and by that time.
#[derive(Debug)]
pub struct NodeListSnapshot {
    fingerprint: u64,
    keep_purges: Nanos,
    nodes: BTreeMap<String, ListedNode>,
    /// Purges, each with the time at which it was received.
    purges: Vec<(Nanos, Change)>,
    /// Rule versions: those not yet active, and the last active one.
    rules: Vec<Change>,
    /// The latest version of the node list that was received.
    version: Option<u64>,
    seq: u64,
    /// The change log has confirmed the list since the last write.
    confirmed: bool,
    changed: bool,
    written: Nanos,
}

impl NodeListSnapshot {
    /// An empty snapshot of the dispatcher with this fingerprint; purges are kept for `keep_purges`.
    pub fn new(fingerprint: u64, keep_purges: Nanos) -> Self {
        let (nodes, purges, rules) = Default::default();
        NodeListSnapshot {
            fingerprint,
            keep_purges,
            nodes,
            purges,
            rules,
            version: None,
            seq: 0,
            confirmed: false,
            changed: false,
            written: Nanos::ZERO,
        }
    }

    /// Applies an event; `unix_ms` is a lower bound of the external time.
    pub fn apply(&mut self, now: Nanos, change: &Change, unix_ms: u64) {
        if let Some(fleet) = &change.fleet {
            self.version = self.version.max(fleet.version);
            if fleet.full {
                self.nodes.clear();
            }
            for listed in &fleet.servers {
                match listed.state {
                    NodeState::Left => drop(self.nodes.remove(&listed.id)),
                    _ => drop(self.nodes.insert(listed.id.clone(), listed.clone())),
                }
            }
        }
        let is_relevant = |purge: &Purge| purge.time + self.keep_purges.0 / 1_000_000 > unix_ms;
        if change.invalidate.as_ref().is_some_and(is_relevant) {
            self.purges.push((now, Change { fleet: None, rules: None, agreed: None, ..change.clone() }));
        }
        if change.rules.is_some() {
            self.rules.push(Change { fleet: None, invalidate: None, agreed: None, ..change.clone() });
            let is_active = |change: &Change| activation_ms(change) <= unix_ms;
            // Of the active versions only the last is needed.
            while self.rules.len() > 1 && self.rules.iter().take(2).all(is_active) {
                self.rules.remove(0);
            }
            let excess = self.rules.len().saturating_sub(MAX_RULE_VERSIONS);
            self.rules.drain(..excess);
        }
        (self.seq, self.changed) = (self.seq.max(change.seq), true);
    }

    /// The change log has reported that there are no further events.
    pub fn confirm_current(&mut self) {
        self.confirmed = true;
    }

    /// The content of the file if it is due to be written; `unix_ms` is stored as the time of the snapshot.
    pub fn bytes_if_due(&mut self, now: Nanos, unix_ms: u64) -> Option<Vec<u8>> {
        let interval = if self.changed { WRITE_INTERVAL } else { REFRESH_INTERVAL };
        // Without a confirmation since the last write the file on disk is just as recent.
        if !std::mem::take(&mut self.confirmed) || self.nodes.is_empty() {
            return None;
        }
        if self.written > Nanos::ZERO && now.since(self.written) < interval {
            return None;
        }
        (self.written, self.changed) = (now, false);
        let keep_purges = self.keep_purges;
        self.purges.retain(|(received, _)| now.since(*received) <= keep_purges);
        let purges = self.purges.iter().map(|(_, change)| change.clone()).collect();
        let servers = self.nodes.values().cloned().collect();
        let fleet = Some(Fleet { version: self.version, full: true, servers });
        let list = Change { seq: self.seq, fleet, invalidate: None, rules: None, agreed: None };
        let results = [vec![list], purges, self.rules.clone()].concat();
        Some(encode(&KnownEvents { seq: self.seq, results }, unix_ms, self.fingerprint))
    }
}

/// The activation time of a rule version, in Unix milliseconds.
fn activation_ms(change: &Change) -> u64 {
    change.rules.as_ref().and_then(|rules| rules["from_ms"].as_u64()).unwrap_or(u64::MAX)
}

/// Encodes the content of a snapshot file.
pub fn encode(known: &KnownEvents, saved_ms: u64, fingerprint: u64) -> Vec<u8> {
    let body = serde_json::to_vec(known).unwrap_or_default();
    let line = format!("{MAGIC} {} {saved_ms} {fingerprint:016x} {}", known.seq, body.len());
    let sum = crc32c::crc32c_append(crc32c::crc32c(line.as_bytes()), &body);
    [format!("{line} {sum:08x}\n").as_bytes(), &body].concat()
}

/// Decodes a snapshot file into its events and its age in milliseconds. The error says why it is not used: it is torn,
/// belongs to another dispatcher, is from the future, is older than `max_age_ms`, or holds no event after `known`, the
/// last event in the configuration.
pub fn decode(
    bytes: &[u8],
    unix_ms: u64,
    fingerprint: u64,
    max_age_ms: u64,
    known: u64,
) -> Result<(KnownEvents, u64), String> {
    let end = bytes.iter().position(|byte| *byte == b'\n').ok_or("torn: no first line")?;
    let line =
        std::str::from_utf8(&bytes[..end]).map_err(|_| "not a snapshot: its first line is not text")?;
    let body = &bytes[end + 1..];
    let (head, sum) = line.rsplit_once(' ').ok_or("not a snapshot: its first line is too short")?;
    let rest = head.strip_prefix(MAGIC).ok_or_else(|| format!("unknown format; expected '{MAGIC}'"))?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let [seq, saved, owner, length] = fields[..] else {
        return Err("torn: its first line lacks fields".into());
    };
    let computed = crc32c::crc32c_append(crc32c::crc32c(head.as_bytes()), body);
    if sum != format!("{computed:08x}") {
        return Err(format!(
            "torn: checksum {sum}, found {computed:08x} over {} of {length} bytes",
            body.len()
        ));
    }
    if u64::from_str_radix(owner, 16).ok() != Some(fingerprint) {
        return Err("belongs to another dispatcher or deployment".into());
    }
    let (seq, saved): (u64, u64) =
        (seq.parse().map_err(|_| "invalid event number")?, saved.parse().map_err(|_| "invalid time")?);
    if saved > unix_ms + CLOCK_ERROR_MS {
        return Err(format!("from the future, {} ms ahead of the clock", saved - unix_ms));
    }
    let age = unix_ms.saturating_sub(saved);
    if age > max_age_ms {
        return Err(format!("{} s old; expected at most {} s", age / 1000, max_age_ms / 1000));
    }
    if seq <= known {
        return Err(format!("of event {seq}, not newer than the configuration, of event {known}"));
    }
    let known = serde_json::from_slice(body).map_err(|fault| fault.to_string())?;
    Ok((known, age))
}
