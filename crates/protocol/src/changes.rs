//! The protocol of the change log: one JSON value a line, which is an event or a heartbeat. The dispatcher's
//! configuration uses the same form for the events known at its start.

use crate::incoming::{DecodeError, ReceiveBuffer};
use copperroute_routing::interface::Readiness;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// A node in the node list of the change log.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(expecting = "struct Listed")]
pub struct ListedNode {
    /// The node's id.
    pub id: String,
    /// The address on which it listens; a node that is gone may have none.
    pub addr: Option<SocketAddr>,
    /// The name of its location or hub.
    #[serde(default)]
    pub zone: String,
    /// The name of its machine kind.
    #[serde(default)]
    pub kind: String,
    /// The node's cell, if it is in one.
    #[serde(default)]
    pub cell: Option<u32>,
    /// Whether it takes work.
    pub state: NodeState,
    /// Its capacity relative to other nodes.
    #[serde(default)]
    pub weight: Option<f64>,
    /// The Unix time in milliseconds of its start, if it started late; else 0.
    #[serde(default)]
    pub started_ms: Option<u64>,
}

/// The states of a node.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// Takes work.
    Active,
    /// Draining: takes no new work.
    Leaving,
    /// Gone.
    Left,
}

impl From<NodeState> for Readiness {
    fn from(state: NodeState) -> Self {
        match state {
            NodeState::Active => Readiness::Ready,
            NodeState::Leaving => Readiness::Draining,
            NodeState::Left => Readiness::Gone,
        }
    }
}

/// A snapshot or a delta of the node list.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Fleet {
    /// The version of the list, which only increases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// This is a snapshot: nodes that are not in it are gone.
    #[serde(default)]
    pub full: bool,
    /// The nodes of the snapshot, or those that changed.
    pub servers: Vec<ListedNode>,
}

/// A purge of an object or a group.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Purge {
    /// The object, with all its parts.
    pub object: Option<String>,
    /// The group of objects.
    pub bucket: Option<u64>,
    /// The Unix time of the purge, in milliseconds.
    pub time: u64,
}

/// An event with its sequence number. An event of an unknown kind counts in the sequence and changes nothing.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Change {
    /// The sequence number.
    pub seq: u64,
    /// A snapshot or delta of the node list.
    pub fleet: Option<Fleet>,
    /// A purge.
    pub invalidate: Option<Purge>,
    /// A rule version, as its issuer wrote it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<serde_json::Value>,
    /// With a snapshot: the number of the last rule version at that time, 0 for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agreed: Option<u64>,
}

/// The events that are known at the start.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(expecting = "struct Known")]
pub struct KnownEvents {
    /// The sequence number of the last event.
    pub seq: u64,
    /// The events.
    pub results: Vec<Change>,
}

/// A line of the change log.
#[derive(Debug, Clone, PartialEq)]
pub enum Line {
    /// A heartbeat, sent once a second, with the sequence number of the last event.
    Heartbeat(u64),
    /// An event.
    Change(Box<Change>),
    /// The sequence number of an event that can't be used, and why.
    Unusable(u64, String),
}

/// The field that every event has.
#[derive(Deserialize)]
struct AnyEvent {
    seq: u64,
}

/// A heartbeat in the form of an event: an object with nothing but the last sequence number.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SeqOnly {
    seq: u64,
}

/// Limit on the length of a heartbeat: an object with one name and twenty digits, with some spare.
const MAX_HEARTBEAT_BYTES: usize = 64;

/// The sequence number in a heartbeat, which is the number alone or an object with nothing else; `None` for other
/// lines.
pub fn heartbeat(line: &str) -> Option<u64> {
    if line.len() > MAX_HEARTBEAT_BYTES {
        return None;
    }
    let in_object = || serde_json::from_str(line).ok().map(|SeqOnly { seq }| seq);
    line.trim().parse().ok().or_else(in_object)
}

/// Encodes the request for all events after this sequence number.
pub fn encode_since(last: u64) -> Vec<u8> {
    format!("since {last}\n").into_bytes()
}

/// Decodes the lines of the change log.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    /// Whether an incomplete line has been received.
    pub fn has_partial_line(&self) -> bool {
        !self.0.is_empty()
    }

    /// Decodes the next complete line; after an error the connection can't be decoded further.
    pub fn next_line(&mut self) -> Result<Option<Line>, DecodeError> {
        let Some(line) = self.0.take_line(MAX_LINE_BYTES)? else { return Ok(None) };
        if let Some(last) = heartbeat(&line) {
            return Ok(Some(Line::Heartbeat(last)));
        }
        let fault = match serde_json::from_str(&line) {
            Ok(change) => return Ok(Some(Line::Change(Box::new(change)))),
            Err(fault) => fault.to_string(),
        };
        match serde_json::from_str(&line) {
            Ok(AnyEvent { seq }) => Ok(Some(Line::Unusable(seq, fault))),
            Err(_) => Err(DecodeError(fault)),
        }
    }
}
