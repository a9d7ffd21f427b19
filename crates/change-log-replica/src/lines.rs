//! Decodes lines from sources and requests from followers. Of an event, only the number and the kind are read; the line
//! itself is kept unchanged.

use copperroute_protocol::changes::{Change, heartbeat};
use copperroute_protocol::incoming::{DecodeError, ReceiveBuffer};
use copperroute_routing::interface::stable_hash;
use serde::Deserialize;

/// The longest line accepted, in bytes; the same limit as in the codec that dispatchers use.
pub const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// The kind of an event, as far as a replica has to know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A whole node list.
    Snapshot,
    /// A change of the state that a snapshot holds: a change of the node list, or a version of the rules.
    Delta,
    /// An event that changes no state of a snapshot: a purge, or an event of an unknown kind.
    Stateless,
    /// An event with a number whose other content can't be read.
    Unreadable,
}

/// An event's line as received, without its line feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventLine {
    /// The event's number.
    pub seq: u64,
    /// The event's kind.
    pub kind: EventKind,
    /// The unchanged text of the line.
    pub line: Box<str>,
}

impl EventLine {
    /// A hash of the line.
    pub fn digest(&self) -> u64 {
        stable_hash(self.line.as_bytes())
    }
}

/// A line of the change log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    /// A heartbeat: the number of the last event, sent once a second.
    Heartbeat(u64),
    /// An event.
    Event(EventLine),
}

/// The one field that every event has.
#[derive(Deserialize)]
struct WithSeq {
    seq: u64,
}

/// Decodes the stream of a source.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Takes bytes as received.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    /// The next whole line, or `None` if there is none yet. After an error the stream can't be read any further.
    pub fn next_line(&mut self) -> Result<Option<Line>, DecodeError> {
        let Some(line) = self.0.take_line(MAX_LINE_BYTES)? else {
            self.0.release_spare_memory();
            return Ok(None);
        };
        if let Some(last) = heartbeat(&line) {
            return Ok(Some(Line::Heartbeat(last)));
        }
        let (seq, kind) = match serde_json::from_str::<Change>(&line) {
            Ok(change) => (change.seq, kind(&change)),
            Err(fault) => match serde_json::from_str(&line) {
                Ok(WithSeq { seq }) => (seq, EventKind::Unreadable),
                Err(_) => return Err(DecodeError(fault.to_string())),
            },
        };
        Ok(Some(Line::Event(EventLine { seq, kind, line: line.into() })))
    }
}

fn kind(change: &Change) -> EventKind {
    match &change.fleet {
        Some(fleet) if fleet.full => EventKind::Snapshot,
        Some(_) => EventKind::Delta,
        None if change.rules.is_some() || change.agreed.is_some() => EventKind::Delta,
        None => EventKind::Stateless,
    }
}

/// The longest request of a follower, in bytes: `since `, twenty digits and the line end.
const MAX_REQUEST_BYTES: usize = 32;

/// The request of a follower.
#[derive(Debug, PartialEq, Eq)]
pub enum FollowerRequest {
    /// No whole line yet.
    Incomplete,
    /// A request for all events after the one with this number.
    Since(u64),
    /// Anything else, with a description for the log.
    Invalid(String),
}

/// Reads the one line that a follower sends, `since NUMBER`.
#[derive(Debug, Default)]
pub struct RequestReader(ReceiveBuffer);

impl RequestReader {
    /// Takes bytes as received.
    pub fn feed(&mut self, bytes: &[u8]) -> FollowerRequest {
        self.0.feed(bytes);
        let line = match self.0.take_line(MAX_REQUEST_BYTES) {
            Ok(None) => return FollowerRequest::Incomplete,
            Ok(Some(line)) => line,
            Err(fault) => return FollowerRequest::Invalid(fault.to_string()),
        };
        let since = line.trim().strip_prefix("since ").and_then(|since| since.parse().ok());
        since.map_or_else(
            || FollowerRequest::Invalid(format!("'{}'", line.escape_debug())),
            FollowerRequest::Since,
        )
    }
}
