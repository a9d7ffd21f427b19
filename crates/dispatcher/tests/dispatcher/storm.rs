//! Seeded random faults of connections, nodes, clients and the change log: each request gets one answer, no post
//! runs twice, and drains, purges and deadlines are kept.

use crate::common::{CONFIG, LOOPBACK, message, request};
use copperroute_dispatcher::clock::Epoch;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Effect, Event, Peer, TimerKind};
use copperroute_dispatcher::reducer::Reducer;
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::random::Random;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// A scheduled event.
enum Scheduled {
    Timer(TimerKind),
    Connected(Peer),
    Closed(Peer),
    Received(Peer, Vec<u8>),
    BytesSent(Peer, u64),
    Request,
    ChangeLogLine,
    Terminate,
    ReadLast,
}

/// Clients, which send requests in turn.
const CLIENTS: u64 = 8;

/// The state of one request.
struct RequestState {
    post: bool,
    expires: Nanos,
    /// Attempts sent that may have run.
    may_have_run: u32,
    /// The connections on which an attempt is in flight.
    in_flight: HashSet<Peer>,
    aborted: bool,
    answers: u32,
}

struct Simulation {
    reducer: Reducer,
    now: Nanos,
    scheduled: BTreeMap<(Nanos, u64), Scheduled>,
    count: u64,
    random: Random,
    requests: HashMap<u64, RequestState>,
    nodes: HashMap<SocketAddr, String>,
    connections: HashMap<Peer, String>,
    total: HashMap<Peer, u64>,
    sent: HashMap<Peer, u64>,
    /// Bytes queued for nodes.
    unsent: HashMap<Peer, Vec<u8>>,
    /// Bytes sent to nodes that do not form a complete line yet.
    arriving: HashMap<Peer, Vec<u8>>,
    log: u32,
    seq: u64,
    withdrawn: HashSet<String>,
    /// When the object was last purged, according to the applied events.
    purged: Option<Nanos>,
    exited: bool,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let config = Config::parse(CONFIG).expect("a good configuration");
        let servers = config.known.results.iter().flat_map(|change| &change.fleet).flat_map(|f| &f.servers);
        let nodes = servers.filter_map(|listed| Some((listed.addr?, listed.id.clone()))).collect();
        let reducer = Reducer::new(config, Epoch::at(1_764_576_000_000_000_000));
        Simulation {
            reducer,
            now: Nanos(86_400_000_000_000),
            scheduled: BTreeMap::new(),
            count: 0,
            random: Random::new(seed),
            requests: HashMap::new(),
            nodes,
            connections: HashMap::new(),
            total: HashMap::new(),
            sent: HashMap::new(),
            unsent: HashMap::new(),
            arriving: HashMap::new(),
            log: 0,
            seq: 1,
            withdrawn: HashSet::new(),
            purged: None,
            exited: false,
        }
    }

    fn one_in(&mut self, n: u32) -> bool {
        self.random.next_u32().is_multiple_of(n)
    }

    fn after(&mut self, max_ms: u64, scheduled: Scheduled) {
        let wait = Nanos((self.random.next_f64() * max_ms as f64 * 1e6) as u64);
        self.at(self.now.after(wait), scheduled);
    }

    fn at(&mut self, when: Nanos, scheduled: Scheduled) {
        self.count += 1;
        self.scheduled.insert((when.max(self.now), self.count), scheduled);
    }

    fn event(&mut self, event: Event<'_>) {
        for effect in self.reducer.reduce(self.now, event) {
            match effect {
                Effect::Arm(at, due) => self.at(at, Scheduled::Timer(due)),
                Effect::Connect(peer, address) => {
                    self.nodes.get(&address).map(|id| self.connections.insert(peer, id.clone()));
                    if let Peer::ChangeLog(number) = peer {
                        self.log = number;
                    }
                    match self.random.next_u32() % 8 {
                        0 => self.after(20, Scheduled::Closed(peer)),
                        1 => {} // The connection neither comes up nor fails.
                        _ => self.after(20, Scheduled::Connected(peer)),
                    }
                }
                Effect::Write(peer, bytes) => self.written(peer, &bytes),
                Effect::TruncateOutput(peer, from) => {
                    let kept = from - self.sent.get(&peer).copied().unwrap_or_default();
                    self.unsent.entry(peer).or_default().truncate(kept as usize);
                    self.total.insert(peer, from);
                }
                Effect::CloseLingering(peer, _) | Effect::Close(peer) => self.connection_closed(peer),
                Effect::FinalRead => self.after(1, Scheduled::ReadLast),
                Effect::SetReading(..) => {}
                Effect::ReadCopy(..) | Effect::KeepCopy(..) => {}
                Effect::MarkObjectPurged(..) | Effect::MarkGroupPurged(..) => {}
                Effect::SaveNodeList(_) => {}
                Effect::Exit => self.exited = true,
            }
        }
    }

    /// A connection is closed: attempts that were not sent completely never run.
    fn connection_closed(&mut self, peer: Peer) {
        self.connections.remove(&peer);
        self.unsent.remove(&peer);
        self.requests.values_mut().for_each(|state| state.in_flight.retain(|on| *on != peer));
    }

    fn written(&mut self, peer: Peer, bytes: &[u8]) {
        let total = self.total.entry(peer).or_default();
        *total += bytes.len() as u64;
        let total = *total;
        self.after(3, Scheduled::BytesSent(peer, total));
        let text = String::from_utf8_lossy(bytes).into_owned();
        match peer {
            Peer::ChangeLog(_) => {}
            Peer::Client(_) => {
                let words: Vec<_> = text.split("\r\n").collect();
                let (tag, word): (u64, &str) = (words[2].parse().expect("a tag"), words[4]);
                let Some(state) = self.requests.get_mut(&tag).filter(|_| word != "UP" && word != "DOWN")
                else {
                    return;
                };
                state.answers += 1;
                assert!(
                    state.answers == 1 && !state.aborted,
                    "request {tag}: a second answer, or one after an abort"
                );
                assert!(self.now <= state.expires, "request {tag}: answered after its deadline");
                assert!(
                    !(state.post && state.may_have_run > 0 && word == "BUSY"),
                    "post {tag}: BUSY although it may have run"
                );
            }
            Peer::Node(_) => self.unsent.entry(peer).or_default().extend_from_slice(bytes),
        }
    }

    /// Sends queued bytes up to `total` to a node, which handles complete lines if its connection is still up.
    fn send(&mut self, peer: Peer, total: u64) {
        let total = total.min(self.total[&peer]);
        let sent = self.sent.entry(peer).or_default();
        if total <= *sent {
            return;
        }
        let count = (total - *sent) as usize;
        *sent = total;
        if let Some(unsent) = self.unsent.get_mut(&peer) {
            let bytes: Vec<u8> = unsent.drain(..count).collect();
            let mut text = self.arriving.remove(&peer).unwrap_or_default();
            text.extend(bytes);
            let whole = text.windows(2).rposition(|end| end == b"\r\n").map_or(0, |at| at + 2);
            self.arriving.insert(peer, text.split_off(whole));
            let text = String::from_utf8_lossy(&text).into_owned();
            for line in text.split("\r\n").filter(|line| line.starts_with("fetch")) {
                self.fetched(peer, line);
            }
        }
        self.event(Event::Written(peer, total));
    }

    fn fetched(&mut self, peer: Peer, line: &str) {
        let id = line.split(' ').nth(1).expect("an id").to_string();
        let tag = u64::from_str_radix(&id, 16).expect("hex digits");
        let source = line.split("src=").nth(1).and_then(|rest| rest.split([',', ' ']).next()).unwrap_or("");
        let node = self.connections[&peer].clone();
        assert!(
            !self.withdrawn.contains(&node) && !self.withdrawn.contains(source),
            "{line}: sent to, or names as source, a node that drains"
        );
        // Copies from before a purge may be present for 6 s.
        if let Some(purged) = self.purged.filter(|at| self.now.since(*at) <= Nanos(6_000_000_000)) {
            let limit =
                line.split("maxage=").nth(1).and_then(|rest| rest.split([',', ' ']).next()?.parse().ok());
            let limit: u64 = limit.expect("an age limit after a purge");
            assert!(
                limit <= (self.now.since(purged).0 / 1_000_000).max(1),
                "{line}: allows copies older than the purge"
            );
        }
        let fate = self.random.next_u32() % 16;
        let state = self.requests.get_mut(&tag).expect("a request that was sent");
        assert!(!(state.post && state.may_have_run > 0), "post {tag}: sent although it may have run");
        assert!(state.answers == 0 && !state.aborted, "request {tag}: sent after its answer or abort");
        let (word, runs) = match fate {
            0..=6 => ("ok etag=4b00000000000000,made=1764 4\r\nbody", true),
            7 | 8 => ("nothing - 0\r\n", false),
            9 => ("refused why=turned_away 0\r\n", false),
            10 => ("error - 0\r\n", true),
            11 => ("stale - 0\r\n", false),
            12 => ("what is this", true),
            13 => ("ok etag=4b00000000000000,made=1764 4\r\nbo", true),
            _ => ("", true),
        };
        state.may_have_run += u32::from(runs);
        assert!(state.in_flight.insert(peer), "request {tag}: two attempts on one connection");
        match (fate, word) {
            (14, _) => self.after(200, Scheduled::Closed(peer)),
            (_, "") => {}
            (_, word) => {
                let answer = format!("{id} {word}\r\n").into_bytes();
                self.after(400, Scheduled::Received(peer, answer));
            }
        }
    }

    fn run(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Timer(due) => self.event(Event::TimerFired(due)),
            Scheduled::Connected(peer) => self.event(Event::Connected(peer)),
            Scheduled::Closed(peer) => {
                self.connection_closed(peer);
                self.event(Event::Closed(peer));
            }
            Scheduled::Received(peer, bytes) => {
                if let Some(tag) =
                    bytes.split(|byte| *byte == b' ').next().and_then(|id| std::str::from_utf8(id).ok())
                {
                    let tag = u64::from_str_radix(tag, 16).unwrap_or_default();
                    self.requests.get_mut(&tag).map(|state| state.in_flight.remove(&peer));
                }
                let cut = self.random.next_u32() as usize % bytes.len();
                self.event(Event::Received(peer, &bytes[..cut]));
                self.event(Event::Received(peer, &bytes[cut..]));
            }
            Scheduled::BytesSent(peer, total) => self.send(peer, total),
            Scheduled::Request => self.send_request(),
            Scheduled::ChangeLogLine => self.send_change_log_line(),
            Scheduled::Terminate => self.event(Event::Terminate),
            Scheduled::ReadLast => self.event(Event::FinalReadDone),
        }
    }

    fn send_request(&mut self) {
        let tag = self.count;
        // Several clients, as one connection may not have that many open requests.
        let client = Peer::Client((tag % CLIENTS) as u32 + 1);
        let post = self.one_in(4);
        let timeout = 200 + self.random.next_u32() % 1_800;
        let expires = self.now.after(Nanos(u64::from(timeout) * 1_000_000));
        let (may_have_run, aborted, answers, in_flight) = (0, false, 0, HashSet::new());
        self.requests.insert(tag, RequestState { post, expires, may_have_run, in_flight, aborted, answers });
        let more = format!(",need=100,timeout={timeout},block={}", self.random.next_u32() % 40);
        let bytes = request(tag, if post { "post" } else { "image" }, &format!("{tag:016x}"), &more);
        self.event(Event::Received(client, &bytes));
        if self.one_in(8) {
            self.requests.get_mut(&tag).expect("a request just sent").aborted =
                self.requests[&tag].answers == 0;
            self.event(Event::Received(client, &message("ABORT", tag)));
        }
        // The load that routing decisions use equals the attempts in flight.
        for (node, (assumed, in_flight)) in self.reducer.in_flight_counts().into_iter().enumerate() {
            assert_eq!(assumed, in_flight, "node {node}");
        }
    }

    fn send_change_log_line(&mut self) {
        self.seq += 1;
        let id = ["s-a", "s-b", "p-1", "p-2"][self.random.next_u32() as usize % 4];
        let port = match id {
            "s-a" => 6001,
            "s-b" => 6002,
            "p-1" => 6003,
            _ => 6004,
        };
        let (zone, kind) = if id.starts_with('s') { ("east", "box") } else { ("hub", "parent") };
        let state = ["active", "leaving", "left", "active"][self.random.next_u32() as usize % 4];
        let unix_ms = 1_764_576_000_000 + self.now.0 / 1_000_000 - 86_400_000;
        let started = if self.one_in(2) { unix_ms } else { 0 };
        let line = match self.random.next_u32() % 8 {
            0 => format!(
                "{{\"seq\":{},\"invalidate\":{{\"object\":\"7f3a000000000000\",\"time\":{unix_ms}}}}}\n",
                self.seq
            ),
            1 => "not a line\n".to_string(),
            2 => format!("{}\n", self.seq + 5),
            _ => format!(
                "{{\"seq\":{},\"fleet\":{{\"servers\":[{{\"id\":\"{id}\",\"addr\":\"127.0.0.1:{port}\",\"zone\":\"{zone}\",\
                 \"kind\":\"{kind}\",\"state\":\"{state}\",\"weight\":20,\"started_ms\":{started}}}]}}}}\n",
                self.seq
            ),
        };
        let known = line.contains("fleet");
        if known && state == "active" {
            self.withdrawn.remove(id);
        }
        // An event applies at once, or is not received at all if the connection is not up.
        let newly = known && state != "active" && self.withdrawn.insert(id.to_string());
        let before = self.purged;
        if line.contains("invalidate") {
            self.purged = Some(Nanos(self.now.0 / 1_000_000 * 1_000_000));
        }
        self.event(Event::Received(Peer::ChangeLog(self.log), line.as_bytes()));
        let applied = self.reducer.applied() == self.seq;
        self.purged = if applied { self.purged } else { before };
        if newly && !applied {
            self.withdrawn.remove(id);
        }
    }

    fn play(mut self) -> Simulation {
        self.event(Event::Started);
        (1..=CLIENTS).for_each(|client| self.event(Event::Accepted(client as u32, LOOPBACK)));
        for _ in 0..600 {
            self.after(6_000, Scheduled::Request);
        }
        for _ in 0..60 {
            self.after(6_000, Scheduled::ChangeLogLine);
        }
        let end = self.now.after(Nanos(6_000_000_000));
        self.at(end, Scheduled::Terminate);
        while let Some(((when, _), scheduled)) = self.scheduled.pop_first().filter(|_| !self.exited) {
            self.now = when;
            self.run(scheduled);
        }
        assert!(
            self.exited && self.now <= end.after(Nanos(3_600_000_000)),
            "the program has not exited by the longest deadline"
        );
        self
    }
}

#[test]
fn each_request_gets_one_answer_no_post_runs_twice_and_drains_are_kept() {
    let mut totals = (0, 0);
    for seed in 1..=40 {
        let simulation = Simulation::new(seed).play();
        for (tag, state) in &simulation.requests {
            assert_eq!(state.answers, u32::from(!state.aborted), "seed {seed}: {tag}");
        }
        totals.0 += simulation.requests.len();
        totals.1 += simulation.requests.values().filter(|state| state.aborted).count();
    }
    // All requests were sent, and some were aborted by their clients.
    assert!(totals.0 == 24_000 && totals.1 > 1_000, "{totals:?}");
}
