//! The change log: one JSON value a line, and the events that the configuration holds from before.

use crate::incoming::{DecodeError, ReceiveBuffer};
use copperroute_routing::interface::Readiness;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const LONGEST_LINE: usize = 4 * 1024 * 1024;

/// A node as the change log lists it.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(expecting = "struct Listed")]
pub struct ListedNode {
    /// Its id.
    pub id: String,
    /// Where it listens; one that has gone may have none.
    pub addr: Option<SocketAddr>,
    /// The name of its location or hub.
    #[serde(default)]
    pub zone: String,
    /// The name of its machine kind.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: Option<u32>,
    /// Whether it takes work.
    pub state: NodeState,
    /// Its size in relation to others.
    #[serde(default)]
    pub weight: Option<f64>,
    /// The Unix millisecond of a late start, or 0.
    #[serde(default)]
    pub started_ms: Option<u64>,
}

/// The states of a node.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// Takes work.
    Active,
    /// Is draining.
    Leaving,
    /// Is gone.
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

/// News of the list of nodes.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Fleet {
    /// The list's version; it only grows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The whole list: what is not in it has gone.
    #[serde(default)]
    pub full: bool,
    /// The nodes that it tells of.
    pub servers: Vec<ListedNode>,
}

/// A purge of an object or a group.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Purge {
    /// The object, with all its parts.
    pub object: Option<String>,
    /// The group.
    pub bucket: Option<u64>,
    /// The Unix millisecond of the purge.
    pub time: u64,
}

/// A numbered event. One of a kind that is not known counts and changes nothing.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Change {
    /// Its number.
    pub seq: u64,
    /// News of the list of nodes.
    pub fleet: Option<Fleet>,
    /// A purge.
    pub invalidate: Option<Purge>,
    /// A version of the rules, as its issuer wrote it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<serde_json::Value>,
    /// With a whole list: the number of the last version of the rules by then, 0 for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agreed: Option<u64>,
}

/// The events up to the start.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(expecting = "struct Known")]
pub struct KnownEvents {
    /// The number of the last.
    pub seq: u64,
    /// The events.
    pub results: Vec<Change>,
}

/// A line of the change log.
#[derive(Debug, Clone, PartialEq)]
pub enum Line {
    /// The last number, once a second.
    Heartbeat(u64),
    /// An event.
    Change(Box<Change>),
    /// The number of an event that can't be used, and why.
    Unusable(u64, String),
}

/// What every event has.
#[derive(Deserialize)]
struct Numbered {
    seq: u64,
}

/// A heartbeat in the form of an event: an object with the last number alone.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NumberAlone {
    seq: u64,
}

/// No heartbeat is longer: an object, its one name and twenty digits, with room to spare.
const LONGEST_HEARTBEAT: usize = 64;

/// The number that a line names, if it is a heartbeat: the number alone, or an object that holds nothing else.
pub fn heartbeat(line: &str) -> Option<u64> {
    if line.len() > LONGEST_HEARTBEAT {
        return None;
    }
    let in_object = || serde_json::from_str(line).ok().map(|NumberAlone { seq }| seq);
    line.trim().parse().ok().or_else(in_object)
}

/// The line that asks for all that follows the event with this number.
pub fn encode_since(last: u64) -> Vec<u8> {
    format!("since {last}\n").into_bytes()
}

/// Decodes the change log.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    /// Whether part of a line has come and the rest has not.
    pub fn has_partial_line(&self) -> bool {
        !self.0.is_empty()
    }

    /// The next whole line; an error means that no more can be read here.
    pub fn next_line(&mut self) -> Result<Option<Line>, DecodeError> {
        let Some(line) = self.0.take_line(LONGEST_LINE)? else { return Ok(None) };
        if let Some(last) = heartbeat(&line) {
            return Ok(Some(Line::Heartbeat(last)));
        }
        let fault = match serde_json::from_str(&line) {
            Ok(change) => return Ok(Some(Line::Change(Box::new(change)))),
            Err(fault) => fault.to_string(),
        };
        match serde_json::from_str(&line) {
            Ok(Numbered { seq }) => Ok(Some(Line::Unusable(seq, fault))),
            Err(_) => Err(DecodeError(fault)),
        }
    }
}
