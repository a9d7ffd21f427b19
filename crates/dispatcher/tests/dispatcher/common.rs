//! Drives a reducer without sockets: tests hand in events, and each effect is printed to a trace.

use copperroute_dispatcher::clock::Epoch;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Effect, Event, Peer, TimerKind, TrailingInput};
use copperroute_dispatcher::reducer::Reducer;
use copperroute_routing::interface::Nanos;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The example configuration: two caches, two parents, an origin.
pub(crate) const CONFIG: &str = include_str!("../../../../deploy/example.json");

/// The address of all clients.
pub(crate) const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Monotonic time at the start of a scenario, in nanoseconds.
const START_NS: u64 = 86_400_000_000_000;

/// A request in the client protocol; `more` holds further fields, which replace the defaults of `timeout` and `block`.
pub(crate) fn request(tag: u64, content_type: &str, id: &str, more: &str) -> Vec<u8> {
    let usual = |name: &str, field| if more.contains(name) { "" } else { field };
    let (timeout, block) = (usual("timeout=", "timeout=1500,"), usual("block=", ",block=0"));
    let fields = format!("req={id:0<16},{timeout}subject=7f3a000000000000{block}{more}");
    let (tag, lengths) = (tag.to_string(), [content_type.len(), fields.len()]);
    format!(
        "*5\r\n$3\r\nREQ\r\n${}\r\n{tag}\r\n${}\r\n{content_type}\r\n${}\r\n{fields}\r\n$0\r\n\r\n",
        tag.len(),
        lengths[0],
        lengths[1]
    )
    .into_bytes()
}

/// Expands a node's answer from the short form of the tests: pads the id with zeros and adds the etag and the time at
/// which the copy was made.
pub(crate) fn answered(answer: &str) -> String {
    let (id, rest) = answer.split_once(' ').unwrap_or((answer, ""));
    let rest = rest.replace("ok why", "ok etag=4b00000000000000,made=1764,why");
    let rest = rest.replace("ok - ", "ok etag=4b00000000000000,made=1764 ");
    format!("{id:0<16} {rest}")
}

/// Removes the zeros that pad ids from a trace.
pub(crate) fn short(trace: &str) -> String {
    trace.replace("000000000000", "")
}

/// A client message of only a verb and a tag.
pub(crate) fn message(verb: &str, tag: u64) -> Vec<u8> {
    let tag = tag.to_string();
    format!("*2\r\n${}\r\n{verb}\r\n${}\r\n{tag}\r\n", verb.len(), tag.len()).into_bytes()
}

/// The number of the connection that the last attempt was sent on.
pub(crate) fn last_connection(trace: &str) -> u32 {
    let line = trace.lines().rev().find(|line| line.contains("<- fetch")).unwrap_or_default();
    line.split(['(', ')']).nth(1).and_then(|number| number.parse().ok()).unwrap_or_default()
}

/// External Unix time at the start of a scenario, in milliseconds.
pub(crate) const START_MS: u64 = 1_764_576_000_000;

/// Heartbeats of a change log that works: its connection, last sequence number, and the time of the next one.
pub(crate) struct Heartbeats {
    connection: u32,
    last: u64,
    next: Nanos,
}

/// A reducer, its armed timers, and the trace of its effects.
pub(crate) struct Play {
    reducer: Reducer,
    now: Nanos,
    armed: Vec<(Nanos, TimerKind)>,
    /// Bytes written to each connection.
    bytes_written: HashMap<Peer, u64>,
    /// The address that each connection goes to.
    addresses: HashMap<Peer, SocketAddr>,
    /// The node connection of the last attempt of each request, by request id.
    last_connections: HashMap<String, u32>,
    /// Whether connects and writes complete at once.
    pub calm: bool,
    /// If set, `pass` delivers a heartbeat of the change log each second.
    pub beats: Option<Heartbeats>,
    pub trace: String,
    /// Tickets of the reads from disk, in order.
    pub tickets: Vec<u64>,
    /// The node list snapshot that was last saved.
    pub kept: Option<Vec<u8>>,
}

impl Play {
    /// A dispatcher with this configuration that has started, with one client connected.
    pub(crate) fn of(config: &str) -> Play {
        Play::with(Config::parse(config).expect("a valid configuration"))
    }

    /// The same with a parsed configuration.
    pub(crate) fn with(config: Config) -> Play {
        Play::with_clock_off(config, 0)
    }

    /// The same on a machine whose wall clock is wrong by `off_ms` (ahead of external time if positive).
    pub(crate) fn with_clock_off(config: Config, off_ms: i64) -> Play {
        let wall_ms = START_MS.saturating_add_signed(off_ms);
        let reducer = Reducer::new(config, Epoch::at(wall_ms * 1_000_000));
        let (armed, bytes_written, last_connections, addresses) = Default::default();
        let (now, trace, tickets) = (Nanos(START_NS), String::new(), Vec::new());
        let (calm, kept) = (true, None);
        let beats = None;
        let mut play = Play {
            reducer,
            now,
            armed,
            bytes_written,
            addresses,
            last_connections,
            calm,
            beats,
            trace,
            tickets,
            kept,
        };
        play.event(Event::Started);
        play.event(Event::Accepted(1, LOOPBACK));
        play.trace.clear();
        play
    }

    /// The same with the example configuration.
    pub(crate) fn new() -> Play {
        Play::of(CONFIG)
    }

    /// Hands in an event and appends its effects to the trace.
    pub(crate) fn event(&mut self, event: Event<'_>) {
        let effects = self.reducer.reduce(self.now, event);
        for effect in effects {
            match effect {
                Effect::Connect(peer, address) => {
                    let _ = writeln!(self.trace, "connect {peer:?} {address}");
                    self.addresses.insert(peer, address);
                    if self.calm {
                        self.event(Event::Connected(peer));
                    }
                }
                Effect::Write(peer, bytes) => {
                    let text = short(&bytes.escape_ascii().to_string().replace("\\r\\n", " "));
                    let _ = writeln!(self.trace, "{peer:?} <- {}", text.trim_end());
                    if let Peer::Node(number) = peer {
                        let ids = text.split("fetch ").skip(1).filter_map(|rest| rest.split(' ').next());
                        self.last_connections.extend(ids.map(|id| (id.to_string(), number)));
                    }
                    let total = self.bytes_written.entry(peer).or_default();
                    *total += bytes.len() as u64;
                    let total = *total;
                    if self.calm {
                        self.event(Event::Written(peer, total));
                    }
                }
                Effect::TruncateOutput(peer, from) => {
                    let _ = writeln!(self.trace, "retract {peer:?} from {from}");
                    self.bytes_written.insert(peer, from);
                }
                Effect::CloseLingering(peer, behind) => {
                    let reads_on = if behind == TrailingInput::Discard { ", read on" } else { "" };
                    let _ = writeln!(self.trace, "shut {peer:?}{reads_on}");
                }
                Effect::Close(peer) => {
                    let _ = writeln!(self.trace, "close {peer:?}");
                }
                Effect::FinalRead => {
                    self.trace.push_str("read last\n");
                    self.event(Event::FinalReadDone);
                }
                Effect::SetReading(peer, wanted) => {
                    let _ = writeln!(self.trace, "read {peer:?} {wanted}");
                }
                Effect::Arm(at, due) => self.armed.push((at, due)),
                Effect::ReadCopy(key, ticket) => {
                    let _ = writeln!(self.trace, "disk: read part {}", key.part);
                    self.tickets.push(ticket);
                }
                Effect::KeepCopy(key, _, _, body) => {
                    let _ = writeln!(self.trace, "disk: keep part {}, {} bytes", key.part, body.len());
                }
                Effect::MarkObjectPurged(_, at_ms, seq) => {
                    let _ = writeln!(self.trace, "disk: mark {seq}, an object at {at_ms}");
                }
                Effect::MarkGroupPurged(group, at_ms, seq) => {
                    let _ = writeln!(self.trace, "disk: mark {seq}, group {group} at {at_ms}");
                }
                Effect::SaveNodeList(bytes) => {
                    let _ = writeln!(self.trace, "list: keep {} bytes", bytes.len());
                    self.kept = Some(bytes);
                }
                Effect::Exit => self.trace.push_str("exit\n"),
            }
        }
    }

    /// Delivers bytes from client 1.
    pub(crate) fn client(&mut self, bytes: &[u8]) {
        self.event(Event::Received(Peer::Client(1), bytes));
    }

    /// Delivers a node's answer with its body, if it has one, on the connection of the request's last attempt.
    pub(crate) fn node(&mut self, answer: &str) {
        let body = if answer.ends_with(" 0") { "" } else { "body" };
        self.node_bytes(answer, &format!("{body}\r\n"));
    }

    /// Delivers a node's answer line and the bytes after it.
    pub(crate) fn node_bytes(&mut self, answer: &str, rest: &str) {
        let id = answer.split(' ').next().unwrap_or_default();
        let peer = Peer::Node(self.last_connections.get(id).copied().unwrap_or(1));
        self.event(Event::Received(peer, format!("{}\r\n{rest}", answered(answer)).as_bytes()));
    }

    /// Delivers a heartbeat with sequence number `last` now and, while time passes, each second.
    pub(crate) fn beats(&mut self, connection: u32, last: u64) {
        self.log(connection, &last.to_string());
        let next = self.now.after(Nanos(1_000_000_000));
        self.beats = Some(Heartbeats { connection, last, next });
    }

    /// Delivers the next heartbeat if it is due by `end` and before any timer; returns whether it was.
    fn beat(&mut self, end: Nanos) -> bool {
        let first_timer = self.armed.iter().map(|timer| timer.0).min();
        let Some(Heartbeats { connection, last, next }) = self
            .beats
            .as_mut()
            .filter(|beats| beats.next <= end && first_timer.is_none_or(|at| beats.next <= at))
        else {
            return false;
        };
        let (connection, line, at) = (*connection, last.to_string(), *next);
        *next = at.after(Nanos(1_000_000_000));
        self.now = self.now.max(at);
        self.log(connection, &line);
        true
    }

    /// Delivers a line of the change log.
    pub(crate) fn log(&mut self, connection: u32, line: &str) {
        self.event(Event::Received(Peer::ChangeLog(connection), format!("{line}\n").as_bytes()));
    }

    /// Reloads the configuration.
    pub(crate) fn reload(&mut self, config: &str) {
        self.event(Event::Reload(&Config::parse(config).expect("a valid configuration")));
    }

    /// The sequence number of the last event of the change log that was applied.
    pub(crate) fn applied(&self) -> u64 {
        self.reducer.applied()
    }

    /// The number of node slots in use.
    pub(crate) fn nodes_kept(&self) -> u32 {
        self.reducer.node_slot_count()
    }

    /// Advances time, firing the timers and heartbeats that fall due.
    pub(crate) fn pass(&mut self, millis: u64) {
        let end = self.now.after(Nanos(millis * 1_000_000));
        loop {
            if self.beat(end) {
                continue;
            }
            let next = self.armed.iter().enumerate().filter(|(_, timer)| timer.0 <= end);
            let Some((at, _)) = next.min_by_key(|(_, timer)| timer.0) else { break };
            let (when, due) = self.armed.remove(at);
            self.now = self.now.max(when);
            self.event(Event::TimerFired(due));
        }
        self.now = end;
    }

    /// Advances time as if the process were stopped: no timer fires meanwhile.
    pub(crate) fn stop(&mut self, millis: u64) {
        self.now = self.now.after(Nanos(millis * 1_000_000));
    }

    /// Milliseconds since the start of the scenario.
    pub(crate) fn passed_ms(&self) -> u64 {
        (self.now.0 - START_NS) / 1_000_000
    }

    /// The port of the node that the last attempt in a trace was sent to.
    pub(crate) fn pulled_at(&self, trace: &str) -> Option<u16> {
        self.addresses.get(&Peer::Node(last_connection(trace))).map(SocketAddr::port)
    }

    /// The number of object slots in use.
    pub(crate) fn objects_kept(&self) -> u32 {
        self.reducer.object_slot_count()
    }

    /// Frees the trace and the record of request ids, so that the memory in use is the dispatcher's.
    pub(crate) fn forget(&mut self) {
        self.last_connections.clear();
        self.trace.clear();
    }

    /// Takes the trace since the last call.
    pub(crate) fn take(&mut self) -> String {
        std::mem::take(&mut self.trace)
    }
}
