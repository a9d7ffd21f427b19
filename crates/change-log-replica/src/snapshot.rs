//! The state after an event of the change log: the node list and the last version of the rules. [`Snapshot::apply`]
//! adds an event, [`Snapshot::encode`] writes the state as one event for followers that lack the events before it.

use crate::lines::{EventKind, EventLine, MAX_LINE_BYTES};
use serde::Deserialize;
use serde_json::{Map, Value, json};

/// The parts of an event that a snapshot holds. Nodes are kept as received, unknown fields included.
#[derive(Deserialize)]
struct StateEvent {
    fleet: Option<Fleet>,
    rules: Option<Value>,
    agreed: Option<u64>,
}

#[derive(Deserialize)]
struct Fleet {
    version: Option<u64>,
    #[serde(default)]
    full: bool,
    servers: Vec<Map<String, Value>>,
}

/// The last version of the rules, as far as it is known.
#[derive(Debug, Clone, PartialEq)]
enum Rules {
    /// The version's number, 0 for none, and the version itself if it was received.
    Known { number: u64, issue: Option<Value> },
    /// Events were missed, so the last version is not known.
    Unknown,
}

/// The state after an event.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The number of the last event applied.
    pub seq: u64,
    /// Whether the whole node list is known.
    complete: bool,
    version: Option<u64>,
    /// The nodes, in the order in which they last changed.
    servers: Vec<Map<String, Value>>,
    rules: Rules,
}

impl Default for Snapshot {
    fn default() -> Self {
        let rules = Rules::Known { number: 0, issue: None };
        Snapshot { seq: 0, complete: false, version: None, servers: Vec::new(), rules }
    }
}

fn id(server: &Map<String, Value>) -> Option<&str> {
    server.get("id").and_then(Value::as_str)
}

impl Snapshot {
    /// Applies one more event; `gap` if events directly before it were not received.
    pub fn apply(&mut self, event: &EventLine, gap: bool) {
        self.seq = event.seq;
        if gap {
            (self.complete, self.rules) = (false, Rules::Unknown);
        }
        match event.kind {
            EventKind::Stateless => {}
            EventKind::Unreadable => (self.complete, self.rules) = (false, Rules::Unknown),
            EventKind::Delta | EventKind::Snapshot => match serde_json::from_str(&event.line) {
                Ok(event) => self.apply_state(event),
                Err(_) => (self.complete, self.rules) = (false, Rules::Unknown),
            },
        }
    }

    fn apply_state(&mut self, event: StateEvent) {
        if let Some(fleet) = event.fleet {
            self.apply_fleet(fleet);
        }
        match (event.agreed, event.rules) {
            (Some(number), issue) => {
                self.rules = Rules::Known { number, issue: issue.or(self.issue_of(number)) }
            }
            (None, Some(issue)) => self.apply_rules(issue),
            (None, None) => {}
        }
    }

    fn apply_fleet(&mut self, fleet: Fleet) {
        if fleet.full {
            (self.complete, self.servers) = (true, Vec::new());
        }
        self.version = fleet.version.or(self.version);
        for server in fleet.servers {
            self.servers.retain(|known| id(known) != id(&server));
            // A node that a whole list does not name has left, so nodes that have left need not be kept.
            if server.get("state").and_then(Value::as_str) != Some("left") {
                self.servers.push(server);
            }
        }
    }

    /// A version counts as the last one only if it follows the one before. Of two contents under one number the first
    /// stays, as at every dispatcher that received both. After a gap in the numbers the last version is unknown.
    fn apply_rules(&mut self, issue: Value) {
        let Rules::Known { number, .. } = self.rules else { return };
        match issue.get("version").and_then(Value::as_u64) {
            Some(version) if version == number + 1 => {
                self.rules = Rules::Known { number: version, issue: Some(issue) };
            }
            Some(version) if version <= number => {}
            _ => self.rules = Rules::Unknown,
        }
    }

    fn issue_of(&self, number_wanted: u64) -> Option<Value> {
        match &self.rules {
            Rules::Known { number, issue } if *number == number_wanted => issue.clone(),
            _ => None,
        }
    }

    /// The state as one event line: a whole node list under the number of the last event applied, with the last version
    /// of the rules if that is known. `None` if the node list is not complete or the line would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        if !self.complete {
            return None;
        }
        let mut fleet = json!({"full": true, "servers": self.servers});
        if let Some(version) = self.version {
            fleet["version"] = json!(version);
        }
        let mut list = json!({"seq": self.seq, "fleet": fleet});
        if let Rules::Known { number, issue } = &self.rules {
            list["agreed"] = json!(number);
            if let Some(issue) = issue {
                list["rules"] = issue.clone();
            }
        }
        let mut line = list.to_string().into_bytes();
        line.push(b'\n');
        (line.len() <= MAX_LINE_BYTES).then_some(line)
    }
}
