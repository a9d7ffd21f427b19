//! The last good list, as it outlives a restart: what is kept of the change log, and the form it has in a file.
//!
//! One line, `copperroute-list 1 SEQ SAVED OF BYTES CRC`, then so many bytes of JSON in the form of the
//! configuration's `known`. SAVED is the Unix millisecond at which the service was last heard, OF tells whose it is,
//! CRC is CRC-32C of all before it on the line and of the JSON.

use copperroute_protocol::changes::{Change, Fleet, KnownEvents, ListedNode, NodeState, Purge};
use copperroute_routing::interface::Nanos;
use std::collections::BTreeMap;

/// A change is written at the latest after this long, and a list that did not change anew after the other, so that
/// its age shows when the service was last heard.
const WRITTEN_AFTER: Nanos = Nanos(1_000_000_000);
const WRITTEN_ANEW: Nanos = Nanos(60_000_000_000);
/// Clocks of one machine before and after a restart may differ by this much.
const CLOCK_ERROR_MS: u64 = 1_000;
/// Versions of the rules that are kept at most.
const MOST_RULES: usize = 16;
const MAGIC: &str = "copperroute-list 1";
/// No list is larger; what is larger is none.
pub const MAX_FILE_BYTES: usize = 64 * 1024 * 1024;

/// What would be needed after a restart: the nodes that are not gone, and purges for as long as old copies may lie
/// about. Bounded by the list, and by time.
#[derive(Debug)]
pub struct NodeListSnapshot {
    of: u64,
    keep_purges: Nanos,
    nodes: BTreeMap<String, ListedNode>,
    /// Purges, each with when it was heard of.
    purges: Vec<(Nanos, Change)>,
    /// Versions of the rules: those to come, and the last one before.
    rules: Vec<Change>,
    /// The version of the list that was last told.
    version: Option<u64>,
    seq: u64,
    heard: bool,
    changed: bool,
    written: Nanos,
}

impl NodeListSnapshot {
    /// Nothing yet, of the dispatcher with this print; old copies may lie about for so long after a purge.
    pub fn new(of: u64, keep_purges: Nanos) -> Self {
        let (nodes, purges, rules) = Default::default();
        NodeListSnapshot {
            of,
            keep_purges,
            nodes,
            purges,
            rules,
            version: None,
            seq: 0,
            heard: false,
            changed: false,
            written: Nanos::ZERO,
        }
    }

    /// An event was applied; this Unix millisecond has come for sure.
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
        let lies_about = |purge: &Purge| purge.time + self.keep_purges.0 / 1_000_000 > unix_ms;
        if change.invalidate.as_ref().is_some_and(lies_about) {
            self.purges.push((now, Change { fleet: None, rules: None, agreed: None, ..change.clone() }));
        }
        if change.rules.is_some() {
            self.rules.push(Change { fleet: None, invalidate: None, agreed: None, ..change.clone() });
            let acts = |change: &Change| acts_from(change) <= unix_ms;
            // Of those that act the last is enough.
            while self.rules.len() > 1 && self.rules.iter().take(2).all(acts) {
                self.rules.remove(0);
            }
            let over = self.rules.len().saturating_sub(MOST_RULES);
            self.rules.drain(..over);
        }
        (self.seq, self.changed) = (self.seq.max(change.seq), true);
    }

    /// The service has said that there is no more to tell.
    pub fn confirm_current(&mut self) {
        self.heard = true;
    }

    /// The bytes of the file, if it is time to write it, at this Unix millisecond.
    pub fn bytes_if_due(&mut self, now: Nanos, unix_ms: u64) -> Option<Vec<u8>> {
        let after = if self.changed { WRITTEN_AFTER } else { WRITTEN_ANEW };
        // What nobody has heard since the start is no newer than what stands there.
        if !std::mem::take(&mut self.heard) || self.nodes.is_empty() {
            return None;
        }
        if self.written > Nanos::ZERO && now.since(self.written) < after {
            return None;
        }
        (self.written, self.changed) = (now, false);
        let keep_purges = self.keep_purges;
        self.purges.retain(|(heard, _)| now.since(*heard) <= keep_purges);
        let purges = self.purges.iter().map(|(_, change)| change.clone()).collect();
        let servers = self.nodes.values().cloned().collect();
        let fleet = Some(Fleet { version: self.version, full: true, servers });
        let list = Change { seq: self.seq, fleet, invalidate: None, rules: None, agreed: None };
        let results = [vec![list], purges, self.rules.clone()].concat();
        Some(encode(&KnownEvents { seq: self.seq, results }, unix_ms, self.of))
    }
}

/// The Unix millisecond from which a version of the rules acts.
fn acts_from(change: &Change) -> u64 {
    change.rules.as_ref().and_then(|rules| rules["from_ms"].as_u64()).unwrap_or(u64::MAX)
}

/// A list as it stands in its file.
pub fn encode(known: &KnownEvents, saved_ms: u64, of: u64) -> Vec<u8> {
    let body = serde_json::to_vec(known).unwrap_or_default();
    let line = format!("{MAGIC} {} {saved_ms} {of:016x} {}", known.seq, body.len());
    let sum = crc32c::crc32c_append(crc32c::crc32c(line.as_bytes()), &body);
    [format!("{line} {sum:08x}\n").as_bytes(), &body].concat()
}

/// A list that was found, and its age in milliseconds; or why it does not do: torn, another's, from the future, older
/// than it may be, or than what the configuration knows already.
pub fn decode(
    bytes: &[u8],
    unix_ms: u64,
    of: u64,
    most_age_ms: u64,
    known: u64,
) -> Result<(KnownEvents, u64), String> {
    let end = bytes.iter().position(|byte| *byte == b'\n').ok_or("torn: no first line")?;
    let line = std::str::from_utf8(&bytes[..end]).map_err(|_| "no list: its first line is no text")?;
    let body = &bytes[end + 1..];
    let (head, sum) = line.rsplit_once(' ').ok_or("no list: its first line is too short")?;
    let rest = head.strip_prefix(MAGIC).ok_or_else(|| format!("no list of this form; expected '{MAGIC}'"))?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let [seq, saved, whose, length] = fields[..] else {
        return Err("torn: its first line lacks fields".into());
    };
    let is = crc32c::crc32c_append(crc32c::crc32c(head.as_bytes()), body);
    if sum != format!("{is:08x}") {
        return Err(format!("torn: checksum {sum}, found {is:08x} over {} of {length} bytes", body.len()));
    }
    if u64::from_str_radix(whose, 16).ok() != Some(of) {
        return Err("another dispatcher's or deployment's".into());
    }
    let (seq, saved): (u64, u64) =
        (seq.parse().map_err(|_| "no number")?, saved.parse().map_err(|_| "no time")?);
    if saved > unix_ms + CLOCK_ERROR_MS {
        return Err(format!("from the future, {} ms ahead of the clock", saved - unix_ms));
    }
    let age = unix_ms.saturating_sub(saved);
    if age > most_age_ms {
        return Err(format!("{} s old; expected {} at most", age / 1000, most_age_ms / 1000));
    }
    if seq <= known {
        return Err(format!("of event {seq}, older than the configuration's, of event {known}"));
    }
    let known = serde_json::from_slice(body).map_err(|fault| fault.to_string())?;
    Ok((known, age))
}
