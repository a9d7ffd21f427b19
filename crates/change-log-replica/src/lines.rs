//! The change log's lines as bytes: each is read for its number and what a replica needs of it, and kept as it came.

use copperroute_protocol::changes::{Change, heartbeat};
use copperroute_protocol::incoming::{DecodeError, ReceiveBuffer};
use copperroute_routing::interface::stable_hash;
use serde::Deserialize;

/// The longest line that is taken, as in the codec that dispatchers use.
pub const LONGEST_LINE: usize = 4 * 1024 * 1024;

/// What an event brings, as far as a replica has to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A whole list of nodes.
    WholeList,
    /// Something that a whole list has to hold: news of the list of nodes, or a version of rules.
    State,
    /// A purge, or something that is not known here.
    Passing,
    /// It can't be read.
    Unreadable,
}

/// An event's line as it came, without its line feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventLine {
    /// The event's number.
    pub seq: u64,
    /// What it brings.
    pub kind: Kind,
    /// The bytes.
    pub line: Box<str>,
}

impl EventLine {
    /// Tells its bytes from any others.
    pub fn print(&self) -> u64 {
        stable_hash(self.line.as_bytes())
    }
}

/// A line of the change log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    /// The last number, once a second.
    Heartbeat(u64),
    /// An event.
    Event(EventLine),
}

/// What every event has.
#[derive(Deserialize)]
struct Numbered {
    seq: u64,
}

/// Decodes what a source tells.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    /// The next whole line; an error means that no more can be read here.
    pub fn next_line(&mut self) -> Result<Option<Line>, DecodeError> {
        let Some(line) = self.0.take_line(LONGEST_LINE)? else {
            self.0.release_spare_memory();
            return Ok(None);
        };
        if let Some(last) = heartbeat(&line) {
            return Ok(Some(Line::Heartbeat(last)));
        }
        let (seq, kind) = match serde_json::from_str::<Change>(&line) {
            Ok(change) => (change.seq, kind(&change)),
            Err(fault) => match serde_json::from_str(&line) {
                Ok(Numbered { seq }) => (seq, Kind::Unreadable),
                Err(_) => return Err(DecodeError(fault.to_string())),
            },
        };
        Ok(Some(Line::Event(EventLine { seq, kind, line: line.into() })))
    }
}

fn kind(change: &Change) -> Kind {
    match &change.fleet {
        Some(fleet) if fleet.full => Kind::WholeList,
        Some(_) => Kind::State,
        None if change.rules.is_some() || change.agreed.is_some() => Kind::State,
        None => Kind::Passing,
    }
}

/// The longest first line of a follower: the word and twenty digits.
const LONGEST_ASK: usize = 32;

/// What a follower has sent.
#[derive(Debug, PartialEq, Eq)]
pub enum Asked {
    /// Nothing whole yet.
    NotYet,
    /// All that follows the event with this number.
    Since(u64),
    /// Something else.
    Unreadable(String),
}

/// Reads the one line that a follower sends.
#[derive(Debug, Default)]
pub struct Ask(ReceiveBuffer);

impl Ask {
    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) -> Asked {
        self.0.feed(bytes);
        let line = match self.0.take_line(LONGEST_ASK) {
            Ok(None) => return Asked::NotYet,
            Ok(Some(line)) => line,
            Err(fault) => return Asked::Unreadable(fault.to_string()),
        };
        let since = line.trim().strip_prefix("since ").and_then(|since| since.parse().ok());
        since.map_or_else(|| Asked::Unreadable(format!("'{}'", line.escape_debug())), Asked::Since)
    }
}
