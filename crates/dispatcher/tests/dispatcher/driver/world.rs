//! The simulated surroundings of a reducer, and the model of the answers that are due.

use super::story::{CLIENTS, NODES, Step};
use crate::common::{CONFIG, LOOPBACK, request};
use copperroute_dispatcher::clock::Epoch;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Effect, Event, Peer, TimerKind};
use copperroute_dispatcher::reducer::Reducer;
use copperroute_routing::interface::Nanos;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Content types: image may be retried, post must not be retried, vote may be retried within `WINDOW`.
const TYPES: [&str; 3] = ["image", "post", "vote"];
/// The idempotency window of votes: 0.3 s, as `window_s` in their content type.
pub(super) const WINDOW: Nanos = Nanos(300_000_000);

/// The state of a request, as its client and the nodes know it.
#[derive(Debug)]
pub(super) struct ClientRequest {
    pub client: u32,
    pub tag: u64,
    pub content_type: usize,
    pub object: u8,
    /// The client waits for an answer.
    pub is_awaited: bool,
    pub answers: u32,
    /// The number of attempts that reached a node whole and may have run there.
    pub may_have_run: u32,
    /// When the first attempt that may have run was sent whole.
    pub first_sent: Option<Nanos>,
}

/// A connection to a node.
#[derive(Debug, Default)]
pub(super) struct NodeConnection {
    pub up: bool,
    pub address: String,
    pub unsent: Vec<u8>,
    /// The number of bytes sent so far.
    pub sent: u64,
    /// The bytes of a line that has been sent in part.
    pub arriving: Vec<u8>,
    /// The ids of the fetches that reached the node and are not answered.
    pub in_flight: Vec<u64>,
}

pub(super) struct World {
    pub reducer: Reducer,
    pub now: Nanos,
    pub timers: BTreeMap<(Nanos, u64), TimerKind>,
    /// The last number given to a request or a timer.
    pub last_id: u64,
    pub requests: BTreeMap<u64, ClientRequest>,
    /// The connection that each client uses.
    pub clients: [u32; CLIENTS],
    pub last_client: u32,
    /// The number of bytes that each client connection has received.
    pub received: HashMap<u32, u64>,
    pub closed: HashSet<Peer>,
    pub connections: BTreeMap<u32, NodeConnection>,
    pub draining: HashSet<String>,
    /// The answers that nodes have sent, with their connections.
    pub answers_sent: Vec<(u32, Vec<u8>)>,
    /// The node at each address, by the node list.
    pub node_ids: HashMap<String, String>,
    pub purged: HashMap<u8, Nanos>,
    pub seq: u64,
    /// The connection to the change log.
    pub change_log: u32,
    /// Connections that clients no longer use but have not closed.
    pub former: Vec<u32>,
    /// Connections that the dispatcher no longer reads, after a malformed message.
    pub unreadable: HashSet<u32>,
    /// The dispatcher accepts no more connections.
    pub closing: bool,
    pub exited: bool,
}

impl World {
    pub(super) fn new(direct: bool, cancel: bool) -> World {
        let vote = r#"{"name": "vote", "effect": "keyed", "window_s": 0.3, "dedup_scope": "all", "aim_s": 0.7, "aim_stretch": 0.0, "deadline_s": 3.0, "value": 3.0}"#;
        let post = r#""deadline_s": 3.0, "value": 3.0}"#;
        let config = CONFIG.replacen(post, &format!("{post}, {vote}"), 1);
        let config = config
            .replace("[false, true]", "[false, true, false]")
            .replace("[0.0, 0.0],\n      \"pipe", "[0.0, 0.0, 0.0],\n      \"pipe");
        let config = config.replace("\"pass_through_ok\": true", &format!("\"pass_through_ok\": {direct}"));
        let config = config.replace("\"cancel\": true", &format!("\"cancel\": {cancel}"));
        let config = Config::parse(&config).expect("a valid configuration");
        let servers = config.known.results.iter().flat_map(|c| &c.fleet).flat_map(|fleet| &fleet.servers);
        let node_ids = servers.filter_map(|s| Some((s.addr?.to_string(), s.id.clone()))).collect();
        let mut world = World {
            reducer: Reducer::new(config, Epoch::at(1_764_576_000_000_000_000)),
            now: Nanos(86_400_000_000_000),
            timers: BTreeMap::new(),
            last_id: 0,
            requests: BTreeMap::new(),
            clients: [0; CLIENTS],
            last_client: 0,
            received: HashMap::new(),
            closed: HashSet::new(),
            connections: BTreeMap::new(),
            draining: HashSet::new(),
            answers_sent: Vec::new(),
            node_ids,
            purged: HashMap::new(),
            seq: 1,
            change_log: 0,
            former: Vec::new(),
            unreadable: HashSet::new(),
            closing: false,
            exited: false,
        };
        world.event(Event::Started);
        (0..CLIENTS).for_each(|client| world.connect(client));
        world
    }

    pub(super) fn connect(&mut self, client: usize) {
        self.last_client += 1;
        self.clients[client] = self.last_client;
        self.event(Event::Accepted(self.last_client, LOOPBACK));
    }

    pub(super) fn event(&mut self, event: Event<'_>) {
        for effect in self.reducer.reduce(self.now, event) {
            match effect {
                Effect::Arm(at, due) => {
                    self.last_id += 1;
                    self.timers.insert((at.max(self.now), self.last_id), due);
                }
                Effect::Connect(Peer::Node(number), address) => {
                    self.connections.insert(
                        number,
                        NodeConnection { address: address.to_string(), ..NodeConnection::default() },
                    );
                }
                Effect::Connect(peer, _) => {
                    if let Peer::ChangeLog(number) = peer {
                        self.change_log = number;
                    }
                    self.event(Event::Connected(peer));
                }
                Effect::Write(peer, bytes) => {
                    assert!(
                        !self.closed.contains(&peer),
                        "bytes written to {peer:?} after its connection was closed"
                    );
                    match peer {
                        Peer::Client(number) => {
                            self.record_answer(number, &bytes);
                            let total = self.received.entry(number).or_default();
                            *total += bytes.len() as u64;
                            let total = *total;
                            self.event(Event::Written(peer, total));
                        }
                        Peer::Node(number) => self.connection(number).unsent.extend(bytes),
                        Peer::ChangeLog(_) => {}
                    }
                }
                Effect::TruncateOutput(Peer::Node(number), from) => {
                    let connection = self.connection(number);
                    assert!(from >= connection.sent, "output truncated that was already sent");
                    connection.unsent.truncate((from - connection.sent) as usize);
                }
                Effect::Close(peer) | Effect::CloseLingering(peer, _) => {
                    self.closed.insert(peer);
                    if let Peer::Node(number) = peer {
                        self.connections.remove(&number);
                    }
                }
                Effect::FinalRead => {
                    self.closing = true;
                    self.event(Event::FinalReadDone);
                }
                Effect::Exit => self.exited = true,
                _ => {}
            }
        }
    }

    pub(super) fn connection(&mut self, number: u32) -> &mut NodeConnection {
        self.connections.get_mut(&number).expect("a connection that is open")
    }

    fn record_answer(&mut self, client: u32, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let words: Vec<_> = text.split("\r\n").collect();
        let tag: u64 = words[2].parse().expect("a tag");
        let Some(client_request) = self
            .requests
            .values_mut()
            .find(|client_request| client_request.client == client && client_request.tag == tag)
        else {
            return;
        };
        client_request.answers += 1;
        assert!(client_request.answers == 1, "{tag}: answered twice");
        assert!(client_request.is_awaited, "{tag}: answered though its client no longer waits");
        assert!(
            !(client_request.content_type == 1 && client_request.may_have_run > 0 && words[4] == "BUSY"),
            "{tag}: BUSY though it may have run"
        );
    }

    pub(super) fn apply(&mut self, step: &Step) {
        if self.closing && step.is_client_action() {
            return;
        }
        match *step {
            Step::SendRequest { client, content_type, object, ms } => {
                self.last_id += 1;
                // A client whose connection was closed opens another.
                if self.closed.contains(&Peer::Client(self.clients[client])) {
                    self.connect(client);
                }
                let (id, number) = (self.last_id, self.clients[client]);
                let client_request = ClientRequest {
                    client: number,
                    tag: id,
                    content_type,
                    object,
                    is_awaited: true,
                    answers: 0,
                    may_have_run: 0,
                    first_sent: None,
                };
                self.requests.insert(id, client_request);
                let more = format!(",need=100,timeout={ms},block={object},family={object}");
                self.event(Event::Received(
                    Peer::Client(number),
                    &request(id, TYPES[content_type], &format!("{id:016x}"), &more),
                ));
            }
            Step::Abort { which } => self.abort(which),
            Step::Garbage { client } => self.send_garbage(client),
            Step::ReuseTag { client } => self.reuse_tag(client),
            Step::Leave { client, half } => {
                self.leave(self.clients[client], half);
                self.connect(client);
            }
            Step::LeaveFormer { which, half } => self.leave_former(which, half),
            Step::Terminate => self.event(Event::Terminate),
            Step::Connect { which, how } => {
                let coming: Vec<_> =
                    self.connections.iter().filter(|(_, c)| !c.up).map(|(n, _)| *n).collect();
                let Some(number) = coming.get(which % coming.len().max(1)) else { return };
                let peer = Peer::Node(*number);
                match how {
                    0 => self.node_closes(*number, Event::Closed(peer)),
                    1 => self.node_closes(*number, Event::ConnectFailedLocally(peer)),
                    _ => {
                        self.connection(*number).up = true;
                        self.event(Event::Connected(peer));
                    }
                }
            }
            Step::SendBytes { which, bytes } => {
                let full: Vec<_> = self
                    .connections
                    .iter()
                    .filter(|(_, c)| c.up && !c.unsent.is_empty())
                    .map(|(n, _)| *n)
                    .collect();
                if let Some(number) = full.get(which % full.len().max(1)) {
                    self.check_next_bytes(*number, bytes);
                    self.send_bytes(*number, bytes);
                }
            }
            Step::Answer { which, word, twice } => self.answer(which, word, twice),
            Step::RepeatAnswer { which } => {
                let sent = self.answers_sent.get(which % self.answers_sent.len().max(1)).cloned();
                let Some((number, bytes)) = sent else { return };
                if self.connections.contains_key(&number) {
                    self.event(Event::Received(Peer::Node(number), &bytes));
                }
            }
            Step::NodeCloses { which } => {
                let up: Vec<_> = self.connections.iter().filter(|(_, c)| c.up).map(|(n, _)| *n).collect();
                if let Some(number) = up.get(which % up.len().max(1)) {
                    self.node_closes(*number, Event::Closed(Peer::Node(*number)));
                }
            }
            Step::UpdateNodeList { node, state, restarted } => self.update_node_list(node, state, restarted),
            Step::Purge { object } => {
                self.seq += 1;
                let ms = 1_764_576_000_000 + self.now.0 / 1_000_000 - 86_400_000;
                let line = format!(
                    "{{\"seq\":{},\"invalidate\":{{\"bucket\":{object},\"time\":{ms}}}}}\n",
                    self.seq
                );
                self.purged.insert(object, Nanos(self.now.0 / 1_000_000 * 1_000_000));
                self.event(Event::Received(Peer::ChangeLog(self.change_log), line.as_bytes()));
            }
            Step::NoDescriptors => self.event(Event::NoDescriptors),
            Step::AdvanceTime { ms } => self.advance_time(ms),
        }
        for (counted, in_flight) in self.reducer.in_flight_counts() {
            assert_eq!(counted, in_flight, "attempts in flight, as counted by routing and by the reducer");
        }
        self.check_unsent_fetches();
    }

    fn node_closes(&mut self, number: u32, event: Event<'_>) {
        self.connections.remove(&number);
        self.event(event);
    }

    fn answer(&mut self, which: usize, word: usize, twice: bool) {
        let in_flight: Vec<_> = self
            .connections
            .iter()
            .flat_map(|(n, connection)| connection.in_flight.iter().map(|id| (*n, *id)))
            .collect();
        let Some((number, id)) = in_flight.get(which % in_flight.len().max(1)).copied() else { return };
        let (word, ran) = [
            ("ok etag=4b00000000000000,made=1764,why=local 4\r\nbody", true),
            ("ok etag=4b00000000000000,made=1764,why=pulled 4\r\nbody", true),
            ("nothing - 0\r\n", false),
            ("refused why=turned_away 0\r\n", false),
            ("stale - 0\r\n", false),
            ("error - 0\r\n", true),
            ("error why=far_fault 0\r\n", true),
        ][word];
        self.connection(number).in_flight.retain(|other| *other != id);
        let client_request = self.requests.get_mut(&id).expect("a known request");
        client_request.may_have_run -= u32::from(!ran);
        if client_request.may_have_run == 0 {
            // As long as nothing may have run, the window has not begun.
            client_request.first_sent = None;
        }
        let bytes = format!("{id:016x} {word}\r\n").into_bytes();
        self.answers_sent.push((number, bytes.clone()));
        let bytes = if twice { [&bytes[..], &bytes[..]].concat() } else { bytes };
        self.event(Event::Received(Peer::Node(number), &bytes));
    }

    fn update_node_list(&mut self, node: usize, state: usize, restarted: bool) {
        self.seq += 1;
        let (id, port, zone, kind) = NODES[node];
        let state = ["active", "leaving", "left", "active"][state];
        let ms = if restarted { 1_764_576_000_000 + self.now.0 / 1_000_000 - 86_400_000 } else { 0 };
        let line = format!(
            "{{\"seq\":{},\"fleet\":{{\"servers\":[{{\"id\":\"{id}\",\"addr\":\"127.0.0.1:{port}\",\"zone\":\"{zone}\",\
             \"kind\":\"{kind}\",\"state\":\"{state}\",\"weight\":20,\"started_ms\":{ms}}}]}}}}\n",
            self.seq
        );
        match state {
            "active" => self.draining.remove(id),
            _ => self.draining.insert(id.to_string()),
        };
        self.event(Event::Received(Peer::ChangeLog(self.change_log), line.as_bytes()));
    }

    pub(super) fn advance_time(&mut self, ms: u64) {
        let end = self.now.after(Nanos(ms * 1_000_000));
        while let Some(((at, _), _)) = self.timers.first_key_value().filter(|((at, _), _)| *at <= end) {
            self.now = self.now.max(*at);
            let Some((_, due)) = self.timers.pop_first() else { break };
            // The change log sends a heartbeat each second.
            if due == TimerKind::Sweep {
                let line = format!("{}\n", self.seq);
                self.event(Event::Received(Peer::ChangeLog(self.change_log), line.as_bytes()));
            }
            // The event loop may drop a deadline that is not needed, so it must have no effect.
            if !self.reducer.is_timer_needed(&due) {
                let effects = self.reducer.reduce(self.now, Event::TimerFired(due));
                assert!(
                    effects.is_empty(),
                    "the timer {due:?} is not needed, but has the effects {effects:?}"
                );
                continue;
            }
            self.event(Event::TimerFired(due));
            if self.exited {
                break;
            }
        }
        self.now = end;
    }
}
