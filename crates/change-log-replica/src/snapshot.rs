//! The state that a whole list has to hold, as it stands after some event: the list of nodes, and the last version of
//! the rules.

use crate::lines::{EventLine, Kind, LONGEST_LINE};
use serde::Deserialize;
use serde_json::{Map, Value, json};

/// A fleet event with its nodes as they came, unknown fields included.
#[derive(Deserialize)]
struct Told {
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

/// What is known of the last version of the rules.
#[derive(Debug, Clone, PartialEq)]
enum Rules {
    /// Its number, 0 for none, and the version if it was told.
    Known { number: u64, issue: Option<Value> },
    /// Which was the last can't be told.
    Unknown,
}

/// The state after an event.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The number of that event.
    pub seq: u64,
    /// All of the list is known.
    whole: bool,
    version: Option<u64>,
    /// In the order in which they were last told.
    servers: Vec<Map<String, Value>>,
    rules: Rules,
}

impl Default for Snapshot {
    fn default() -> Self {
        let rules = Rules::Known { number: 0, issue: None };
        Snapshot { seq: 0, whole: false, version: None, servers: Vec::new(), rules }
    }
}

fn id(server: &Map<String, Value>) -> Option<&str> {
    server.get("id").and_then(Value::as_str)
}

impl Snapshot {
    /// The state after one more event; `gap` if what lies before it was not told.
    pub fn apply(&mut self, event: &EventLine, gap: bool) {
        self.seq = event.seq;
        if gap {
            (self.whole, self.rules) = (false, Rules::Unknown);
        }
        match event.kind {
            Kind::Passing => {}
            Kind::Unreadable => (self.whole, self.rules) = (false, Rules::Unknown),
            Kind::State | Kind::WholeList => match serde_json::from_str(&event.line) {
                Ok(told) => self.take(told),
                Err(_) => (self.whole, self.rules) = (false, Rules::Unknown),
            },
        }
    }

    fn take(&mut self, told: Told) {
        if let Some(fleet) = told.fleet {
            self.take_fleet(fleet);
        }
        match (told.agreed, told.rules) {
            (Some(number), issue) => {
                self.rules = Rules::Known { number, issue: issue.or(self.issue_of(number)) }
            }
            (None, Some(issue)) => self.take_rules(issue),
            (None, None) => {}
        }
    }

    fn take_fleet(&mut self, fleet: Fleet) {
        if fleet.full {
            (self.whole, self.servers) = (true, Vec::new());
        }
        self.version = fleet.version.or(self.version);
        for server in fleet.servers {
            self.servers.retain(|known| id(known) != id(&server));
            // What a whole list does not name has gone: those that have left need no room.
            if server.get("state").and_then(Value::as_str) != Some("left") {
                self.servers.push(server);
            }
        }
    }

    /// A version counts as the last only if it follows the one before. Under one number the first stands, as at every
    /// dispatcher that heard both; after a leap nothing is vouched for.
    fn take_rules(&mut self, issue: Value) {
        let Rules::Known { number, .. } = self.rules else { return };
        match issue.get("version").and_then(Value::as_u64) {
            Some(version) if version == number + 1 => {
                self.rules = Rules::Known { number: version, issue: Some(issue) };
            }
            Some(version) if version <= number => {}
            _ => self.rules = Rules::Unknown,
        }
    }

    fn issue_of(&self, wanted: u64) -> Option<Value> {
        match &self.rules {
            Rules::Known { number, issue } if *number == wanted => issue.clone(),
            _ => None,
        }
    }

    /// The state as one event, a whole list under the number of the last event in it; `None` where it can't be vouched
    /// for that this is all. With it goes the last version of the rules, where that is known.
    pub fn whole_list(&self) -> Option<Vec<u8>> {
        if !self.whole {
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
        (line.len() <= LONGEST_LINE).then_some(line)
    }
}
