//! A lean stand-in of the change log: numbered lines, told from any number on, and the last number once a second. It is
//! made to be followed by all dispatchers at once; what it has told is counted where it is handed to each (`access`).

use super::clock::unix_us;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The last number is told this often.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// A stream is written to no more often than this, so that a burst goes in few writes.
const WRITTEN_APART: Duration = Duration::from_millis(5);
/// Events before the present that a starting dispatcher's configuration holds besides the list: purges of 10 s.
const KNOWN_TAIL: usize = 60;

/// What an event is about.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Kind {
    /// A purge of an object.
    Purge { object: String },
    /// A change of the list of nodes.
    List,
    /// A version of the rules.
    Version { number: u64 },
}

/// An event as it was issued.
#[derive(Debug, Clone)]
pub(super) struct Issued {
    /// Its number.
    pub seq: u64,
    /// When, in Unix microseconds.
    pub at_us: u64,
    /// What.
    pub kind: Kind,
}

#[derive(Default)]
struct State {
    /// All lines, one behind the other.
    text: Vec<u8>,
    /// Where the line of each event ends.
    ends: Vec<usize>,
    /// Those issued while it is played.
    issued: Vec<Issued>,
    /// The nodes as they stand.
    nodes: Vec<Value>,
    /// The last version of the rules.
    version: Option<(u64, Value)>,
}

/// How the log stands with those who follow it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Service {
    up: bool,
    /// Raised when all streams are reset.
    life: u64,
}

/// The change log.
pub(super) struct ChangeLog {
    state: Mutex<State>,
    last: watch::Sender<u64>,
    service: watch::Sender<Service>,
}

impl State {
    fn last(&self) -> u64 {
        self.ends.len() as u64
    }

    fn push(&mut self, event: &Value) -> u64 {
        self.text.extend_from_slice(event.to_string().as_bytes());
        self.text.push(b'\n');
        self.ends.push(self.text.len());
        self.last()
    }

    /// The lines behind the event of this number, and the last number.
    fn after(&self, seq: u64) -> (Vec<u8>, u64) {
        let from = match seq.min(self.last()) {
            0 => 0,
            seq => self.ends[seq as usize - 1],
        };
        (self.text[from..].to_vec(), self.last())
    }

    fn line(&self, seq: u64) -> Option<Value> {
        let at = (seq as usize).checked_sub(1)?;
        let from = at.checked_sub(1).map_or(0, |before| self.ends[before]);
        serde_json::from_slice(&self.text[from..*self.ends.get(at)?]).ok()
    }
}

fn whole_list(seq: u64, nodes: &[Value]) -> Value {
    json!({"seq": seq, "fleet": {"version": seq, "full": true, "servers": nodes}})
}

impl ChangeLog {
    /// Begins with the whole list as event 1, then so many purges of long ago.
    pub(super) fn new(nodes: Vec<Value>, backlog: usize) -> ChangeLog {
        let mut state = State { nodes, ..State::default() };
        let first = whole_list(1, &state.nodes);
        state.push(&first);
        for number in 0..backlog {
            let object =
                format!("{:016x}", copperroute_routing::interface::stable_hash(&number.to_le_bytes()));
            let (seq, time) = (state.last() + 1, unix_us() / 1_000);
            state.push(&json!({"seq": seq, "invalidate": {"object": object, "time": time}}));
        }
        let last = watch::channel(state.last()).0;
        let service = watch::channel(Service { up: true, life: 0 }).0;
        ChangeLog { state: Mutex::new(state), last, service }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Listens at an address for those who follow.
    pub(super) async fn listen(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let log = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                match log.service.borrow().up {
                    true => drop(tokio::spawn(log.clone().follow(stream))),
                    // A reset, not an end: nothing was told.
                    false => drop(stream.set_zero_linger()),
                }
            }
        });
        Ok(())
    }

    fn issue(&self, kind: Kind, event: impl FnOnce(u64, &mut State) -> Value) -> Issued {
        let mut state = self.state();
        let seq = state.last() + 1;
        let event = event(seq, &mut state);
        let issued = Issued { seq, at_us: unix_us(), kind };
        state.push(&event);
        state.issued.push(issued.clone());
        self.last.send_replace(seq);
        issued
    }

    /// Purges an object.
    pub(super) fn purge(&self, object: String) -> Issued {
        let time = unix_us() / 1_000;
        let invalidate = json!({"object": object, "time": time});
        self.issue(Kind::Purge { object }, |seq, _| json!({"seq": seq, "invalidate": invalidate}))
    }

    /// Changes the size of the node of this number in the list.
    pub(super) fn list(&self, node: usize, weight: u32) -> Issued {
        self.issue(Kind::List, |seq, state| {
            let at = node % state.nodes.len();
            state.nodes[at]["weight"] = json!(weight);
            json!({"seq": seq, "fleet": {"version": seq, "full": false, "servers": [state.nodes[at]]}})
        })
    }

    /// Tells a version of the rules.
    pub(super) fn version(&self, number: u64, issue: Value) -> Issued {
        self.issue(Kind::Version { number }, |seq, state| {
            state.version = Some((number, issue.clone()));
            json!({"seq": seq, "rules": issue})
        })
    }

    /// All that was issued while it was played.
    pub(super) fn issued(&self) -> Vec<Issued> {
        self.state().issued.clone()
    }

    /// What the configuration of a dispatcher holds that starts now: the list, the last version, the last purges.
    pub(super) fn known(&self) -> Value {
        let state = self.state();
        let last = state.last();
        let from = last.saturating_sub(KNOWN_TAIL as u64).max(1);
        let mut list = whole_list(from, &state.nodes);
        list["agreed"] = json!(state.version.as_ref().map_or(0, |version| version.0));
        if let Some((_, issue)) = &state.version {
            list["rules"] = issue.clone();
        }
        let tail = (from + 1..=last).filter_map(|seq| state.line(seq));
        let results: Vec<_> = std::iter::once(list).chain(tail).collect();
        json!({"seq": last, "results": results})
    }

    /// The same for one that heard nothing since event 1.
    pub(super) fn known_first(&self) -> Value {
        json!({"seq": 1, "results": [self.state().line(1)]})
    }

    /// The log goes away, or is back.
    pub(super) fn set_up(&self, up: bool) {
        self.service.send_modify(|service| (service.up, service.life) = (up, service.life + 1));
    }

    /// All streams are reset.
    pub(super) fn reset(&self) {
        self.service.send_modify(|service| service.life += 1);
    }

    async fn follow(self: Arc<Self>, stream: TcpStream) {
        let mut service = self.service.subscribe();
        let life = service.borrow().life;
        let _ = (stream.set_nodelay(true), stream.set_zero_linger());
        tokio::select! {
            _ = self.tell(stream) => {}
            _ = service.wait_for(|service| service.life != life) => {}
        }
    }

    async fn tell(&self, stream: TcpStream) -> std::io::Result<()> {
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let mut asked = String::new();
        read.read_line(&mut asked).await?;
        let since = asked.trim().strip_prefix("since ").and_then(|since| since.parse().ok());
        let Some(mut told) = since else { return Ok(()) };
        let mut last = self.last.subscribe();
        let mut heartbeat = Instant::now();
        let mut rest = String::new();
        loop {
            last.borrow_and_update();
            let (mut bytes, upto) = self.state().after(told);
            if heartbeat <= Instant::now() {
                bytes.extend_from_slice(format!("{upto}\n").as_bytes());
                heartbeat += HEARTBEAT;
            }
            write.write_all(&bytes).await?;
            told = upto;
            tokio::time::sleep(WRITTEN_APART).await;
            tokio::select! {
                _ = last.changed() => {}
                _ = tokio::time::sleep_until(heartbeat.into()) => {}
                // Nobody says more than its first line: this is the stream's end.
                _ = read.read_line(&mut rest) => return Ok(()),
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/capacity_log.rs"]
mod tests;
