//! A reducer played by hand: events go in, and what it asks for is printed.

use copperroute_dispatcher::clock::Epoch;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Effect, Event, Peer, TimerKind, TrailingInput};
use copperroute_dispatcher::reducer::Reducer;
use copperroute_routing::interface::Nanos;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// A small fleet: two caches, two parents, an origin.
pub(crate) const CONFIG: &str = include_str!("../../../../deploy/example.json");

/// Where clients come from.
pub(crate) const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// The clock shows this when it starts.
const EPOCH_NS: u64 = 86_400_000_000_000;

/// A request as a client writes it.
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

/// A node's answer as it is written here, without what every one has: zeros to the length of ids and tags, the
/// tag and time of a copy.
pub(crate) fn answered(answer: &str) -> String {
    let (id, rest) = answer.split_once(' ').unwrap_or((answer, ""));
    let rest = rest.replace("ok why", "ok etag=4b00000000000000,made=1764,why");
    let rest = rest.replace("ok - ", "ok etag=4b00000000000000,made=1764 ");
    format!("{id:0<16} {rest}")
}

/// A trace without the zeros that make ids long enough.
pub(crate) fn short(trace: &str) -> String {
    trace.replace("000000000000", "")
}

/// A message of a verb and a tag.
pub(crate) fn message(verb: &str, tag: u64) -> Vec<u8> {
    let tag = tag.to_string();
    format!("*2\r\n${}\r\n{verb}\r\n${}\r\n{tag}\r\n", verb.len(), tag.len()).into_bytes()
}

/// The connection that the last attempt went out on.
pub(crate) fn last_connection(trace: &str) -> u32 {
    let line = trace.lines().rev().find(|line| line.contains("<- fetch")).unwrap_or_default();
    line.split(['(', ')']).nth(1).and_then(|number| number.parse().ok()).unwrap_or_default()
}

/// The Unix millisecond that it is outside as a play begins.
pub(crate) const START_MS: u64 = 1_764_576_000_000;

/// The heartbeats of a change log that is well.
pub(crate) struct Heartbeats {
    connection: u32,
    last: u64,
    next: Nanos,
}

/// A reducer, the timers it asked for, and the trace.
pub(crate) struct Play {
    reducer: Reducer,
    now: Nanos,
    armed: Vec<(Nanos, TimerKind)>,
    /// Bytes given to each connection.
    given: HashMap<Peer, u64>,
    /// Where each connection leads.
    places: HashMap<Peer, SocketAddr>,
    /// The connections that requests were last asked for on, by their ids.
    carried: HashMap<String, u32>,
    /// Connections come up and bytes leave by themselves, as on a calm network.
    pub calm: bool,
    /// The change log is well on this connection: it tells its last number each second while time passes.
    pub beats: Option<Heartbeats>,
    pub trace: String,
    /// What the disk was asked under.
    pub tickets: Vec<u64>,
    /// The last good list, as it was last kept.
    pub kept: Option<Vec<u8>>,
}

impl Play {
    /// A dispatcher with this configuration that has started, with one client connected.
    pub(crate) fn of(config: &str) -> Play {
        Play::with(Config::parse(config).expect("a good configuration"))
    }

    /// The same with one that was parsed.
    pub(crate) fn with(config: Config) -> Play {
        Play::with_clock_off(config, 0)
    }

    /// The same on a machine whose wall clock is off by so many milliseconds, ahead of the outside's where over 0.
    pub(crate) fn with_clock_off(config: Config, off_ms: i64) -> Play {
        let wall_ms = START_MS.saturating_add_signed(off_ms);
        let reducer = Reducer::new(config, Epoch::at(wall_ms * 1_000_000));
        let (armed, given, carried, places) = Default::default();
        let (now, trace, tickets) = (Nanos(EPOCH_NS), String::new(), Vec::new());
        let (calm, kept) = (true, None);
        let beats = None;
        let mut play =
            Play { reducer, now, armed, given, places, carried, calm, beats, trace, tickets, kept };
        play.event(Event::Started);
        play.event(Event::Accepted(1, LOOPBACK));
        play.trace.clear();
        play
    }

    /// The same with the example configuration.
    pub(crate) fn new() -> Play {
        Play::of(CONFIG)
    }

    /// Hands in an event and prints what it brings.
    pub(crate) fn event(&mut self, event: Event<'_>) {
        let effects = self.reducer.reduce(self.now, event);
        for effect in effects {
            match effect {
                Effect::Connect(peer, address) => {
                    let _ = writeln!(self.trace, "connect {peer:?} {address}");
                    self.places.insert(peer, address);
                    if self.calm {
                        self.event(Event::Connected(peer));
                    }
                }
                Effect::Write(peer, bytes) => {
                    let text = short(&bytes.escape_ascii().to_string().replace("\\r\\n", " "));
                    let _ = writeln!(self.trace, "{peer:?} <- {}", text.trim_end());
                    if let Peer::Node(number) = peer {
                        let ids = text.split("fetch ").skip(1).filter_map(|rest| rest.split(' ').next());
                        self.carried.extend(ids.map(|id| (id.to_string(), number)));
                    }
                    let total = self.given.entry(peer).or_default();
                    *total += bytes.len() as u64;
                    let total = *total;
                    if self.calm {
                        self.event(Event::Written(peer, total));
                    }
                }
                Effect::TruncateOutput(peer, from) => {
                    let _ = writeln!(self.trace, "retract {peer:?} from {from}");
                    self.given.insert(peer, from);
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

    /// A client's bytes.
    pub(crate) fn client(&mut self, bytes: &[u8]) {
        self.event(Event::Received(Peer::Client(1), bytes));
    }

    /// A node's answer line, and its bytes if it has any, where its request was last asked for.
    pub(crate) fn node(&mut self, answer: &str) {
        let body = if answer.ends_with(" 0") { "" } else { "body" };
        self.node_bytes(answer, &format!("{body}\r\n"));
    }

    /// A node's answer line with what follows it.
    pub(crate) fn node_bytes(&mut self, answer: &str, rest: &str) {
        let id = answer.split(' ').next().unwrap_or_default();
        let peer = Peer::Node(self.carried.get(id).copied().unwrap_or(1));
        self.event(Event::Received(peer, format!("{}\r\n{rest}", answered(answer)).as_bytes()));
    }

    /// From now on the change log is well on a connection, and has told all up to this event.
    pub(crate) fn beats(&mut self, connection: u32, last: u64) {
        self.log(connection, &last.to_string());
        let next = self.now.after(Nanos(1_000_000_000));
        self.beats = Some(Heartbeats { connection, last, next });
    }

    /// The next second's line, if it is due by then.
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

    /// A line of the change log.
    pub(crate) fn log(&mut self, connection: u32, line: &str) {
        self.event(Event::Received(Peer::ChangeLog(connection), format!("{line}\n").as_bytes()));
    }

    /// The configuration is read again.
    pub(crate) fn reload(&mut self, config: &str) {
        self.event(Event::Reload(&Config::parse(config).expect("a good configuration")));
    }

    /// The number of the last event of the change log that was applied.
    pub(crate) fn applied(&self) -> u64 {
        self.reducer.applied()
    }

    /// How many nodes there is a place for.
    pub(crate) fn nodes_kept(&self) -> u32 {
        self.reducer.node_slot_count()
    }

    /// Lets time pass, with all that falls due.
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

    /// The process is stopped for so long: nothing falls due meanwhile.
    pub(crate) fn stop(&mut self, millis: u64) {
        self.now = self.now.after(Nanos(millis * 1_000_000));
    }

    /// How many milliseconds have passed since the play began.
    pub(crate) fn passed_ms(&self) -> u64 {
        (self.now.0 - EPOCH_NS) / 1_000_000
    }

    /// The port of the node that the last attempt of a trace went to.
    pub(crate) fn pulled_at(&self, trace: &str) -> Option<u16> {
        self.places.get(&Peer::Node(last_connection(trace))).map(SocketAddr::port)
    }

    /// How many objects there is a place for.
    pub(crate) fn objects_kept(&self) -> u32 {
        self.reducer.object_slot_count()
    }

    /// Forgets what this helper keeps of connections and ids, so that what is left is the dispatcher's.
    pub(crate) fn forget(&mut self) {
        self.carried.clear();
        self.trace.clear();
    }

    /// What was printed since the last call.
    pub(crate) fn take(&mut self) -> String {
        std::mem::take(&mut self.trace)
    }
}
