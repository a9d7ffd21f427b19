//! The world around a reducer, and the model of what is owed.

use super::story::{CLIENTS, NODES, Step};
use crate::common::{CONFIG, LOOPBACK, request};
use copperroute_dispatcher::clock::Epoch;
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::effects::{Effect, Event, Peer, TimerKind};
use copperroute_dispatcher::reducer::Reducer;
use copperroute_routing::interface::Nanos;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Content types: image may run again, post once only, vote again within `WINDOW`.
const TYPES: [&str; 3] = ["image", "post", "vote"];
pub(super) const WINDOW: Nanos = Nanos(300_000_000);

/// A request, as its client and the nodes know it.
#[derive(Debug)]
pub(super) struct Asked {
    pub client: u32,
    pub tag: u64,
    pub of: usize,
    pub object: u8,
    /// Its client waits for it.
    pub waits: bool,
    pub answers: u32,
    /// Attempts that came whole to a node and are not proved never to have run; when the first began to leave.
    pub may_have_run: u32,
    pub first: Option<Nanos>,
}

/// A connection to a node.
#[derive(Debug, Default)]
pub(super) struct Way {
    pub up: bool,
    pub address: String,
    pub unsent: Vec<u8>,
    pub left: u64,
    pub arriving: Vec<u8>,
    /// Ids that came whole and are not answered.
    pub out: Vec<u64>,
}

pub(super) struct World {
    pub reducer: Reducer,
    pub now: Nanos,
    pub timers: BTreeMap<(Nanos, u64), TimerKind>,
    pub count: u64,
    pub asked: BTreeMap<u64, Asked>,
    /// The connection that each client uses.
    pub clients: [u32; CLIENTS],
    pub last_client: u32,
    /// Bytes that each has taken.
    pub taken: HashMap<u32, u64>,
    pub ended: HashSet<Peer>,
    pub ways: BTreeMap<u32, Way>,
    pub withdrawn: HashSet<String>,
    /// What nodes have said, on which connections.
    pub said: Vec<(u32, Vec<u8>)>,
    /// Which node is at an address, by the list.
    pub places: HashMap<String, String>,
    pub purged: HashMap<u8, Nanos>,
    pub seq: u64,
    pub log: u32,
    /// Connections that clients use no more and have not ended.
    pub former: Vec<u32>,
    /// Those on which nothing can be read.
    pub unreadable: HashSet<u32>,
    /// No client can connect any more.
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
        let config = Config::parse(&config).expect("a good configuration");
        let servers = config.known.results.iter().flat_map(|c| &c.fleet).flat_map(|fleet| &fleet.servers);
        let places = servers.filter_map(|s| Some((s.addr?.to_string(), s.id.clone()))).collect();
        let mut world = World {
            reducer: Reducer::new(config, Epoch::at(1_764_576_000_000_000_000)),
            now: Nanos(86_400_000_000_000),
            timers: BTreeMap::new(),
            count: 0,
            asked: BTreeMap::new(),
            clients: [0; CLIENTS],
            last_client: 0,
            taken: HashMap::new(),
            ended: HashSet::new(),
            ways: BTreeMap::new(),
            withdrawn: HashSet::new(),
            said: Vec::new(),
            places,
            purged: HashMap::new(),
            seq: 1,
            log: 0,
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
                    self.count += 1;
                    self.timers.insert((at.max(self.now), self.count), due);
                }
                Effect::Connect(Peer::Node(number), address) => {
                    self.ways.insert(number, Way { address: address.to_string(), ..Way::default() });
                }
                Effect::Connect(peer, _) => {
                    if let Peer::ChangeLog(number) = peer {
                        self.log = number;
                    }
                    self.event(Event::Connected(peer));
                }
                Effect::Write(peer, bytes) => {
                    assert!(!self.ended.contains(&peer), "written to {peer:?} behind its end");
                    match peer {
                        Peer::Client(number) => {
                            self.answered(number, &bytes);
                            let total = self.taken.entry(number).or_default();
                            *total += bytes.len() as u64;
                            let total = *total;
                            self.event(Event::Written(peer, total));
                        }
                        Peer::Node(number) => self.way(number).unsent.extend(bytes),
                        Peer::ChangeLog(_) => {}
                    }
                }
                Effect::TruncateOutput(Peer::Node(number), from) => {
                    let way = self.way(number);
                    assert!(from >= way.left, "bytes unsaid that have left");
                    way.unsent.truncate((from - way.left) as usize);
                }
                Effect::Close(peer) | Effect::CloseLingering(peer, _) => {
                    self.ended.insert(peer);
                    if let Peer::Node(number) = peer {
                        self.ways.remove(&number);
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

    pub(super) fn way(&mut self, number: u32) -> &mut Way {
        self.ways.get_mut(&number).expect("a connection that is open")
    }

    fn answered(&mut self, client: u32, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let words: Vec<_> = text.split("\r\n").collect();
        let tag: u64 = words[2].parse().expect("a tag");
        let Some(asked) = self.asked.values_mut().find(|asked| asked.client == client && asked.tag == tag)
        else {
            return;
        };
        asked.answers += 1;
        assert!(asked.answers == 1, "{tag}: a second answer");
        assert!(asked.waits, "{tag}: answered though it was aborted");
        assert!(
            !(asked.of == 1 && asked.may_have_run > 0 && words[4] == "BUSY"),
            "{tag}: BUSY though it may have run"
        );
    }

    pub(super) fn play(&mut self, step: &Step) {
        if self.closing && step.is_of_a_client() {
            return;
        }
        match *step {
            Step::Ask { client, of, object, ms } => {
                self.count += 1;
                // Who sees its connection end makes another.
                if self.ended.contains(&Peer::Client(self.clients[client])) {
                    self.connect(client);
                }
                let (id, number) = (self.count, self.clients[client]);
                let asked = Asked {
                    client: number,
                    tag: id,
                    of,
                    object,
                    waits: true,
                    answers: 0,
                    may_have_run: 0,
                    first: None,
                };
                self.asked.insert(id, asked);
                let more = format!(",need=100,timeout={ms},block={object},family={object}");
                self.event(Event::Received(
                    Peer::Client(number),
                    &request(id, TYPES[of], &format!("{id:016x}"), &more),
                ));
            }
            Step::Abort { which } => self.abort(which),
            Step::Garbage { client } => self.cannot_be_read(client),
            Step::TagTwice { client } => self.tag_twice(client),
            Step::Leave { client, half } => {
                self.leave(self.clients[client], half);
                self.connect(client);
            }
            Step::LeaveFormer { which, half } => self.leave_former(which, half),
            Step::Terminate => self.event(Event::Terminate),
            Step::Connect { which, how } => {
                let coming: Vec<_> = self.ways.iter().filter(|(_, way)| !way.up).map(|(n, _)| *n).collect();
                let Some(number) = coming.get(which % coming.len().max(1)) else { return };
                let peer = Peer::Node(*number);
                match how {
                    0 => self.node_ends(*number, Event::Closed(peer)),
                    1 => self.node_ends(*number, Event::ConnectFailedLocally(peer)),
                    _ => {
                        self.way(*number).up = true;
                        self.event(Event::Connected(peer));
                    }
                }
            }
            Step::Leaves { which, bytes } => {
                let full: Vec<_> =
                    self.ways.iter().filter(|(_, w)| w.up && !w.unsent.is_empty()).map(|(n, _)| *n).collect();
                if let Some(number) = full.get(which % full.len().max(1)) {
                    self.look(*number, bytes);
                    self.leaves(*number, bytes);
                }
            }
            Step::Answer { which, word, twice } => self.answer(which, word, twice),
            Step::Again { which } => {
                let Some((number, bytes)) = self.said.get(which % self.said.len().max(1)).cloned() else {
                    return;
                };
                if self.ways.contains_key(&number) {
                    self.event(Event::Received(Peer::Node(number), &bytes));
                }
            }
            Step::NodeEnds { which } => {
                let up: Vec<_> = self.ways.iter().filter(|(_, way)| way.up).map(|(n, _)| *n).collect();
                if let Some(number) = up.get(which % up.len().max(1)) {
                    self.node_ends(*number, Event::Closed(Peer::Node(*number)));
                }
            }
            Step::List { node, state, anew } => self.list(node, state, anew),
            Step::Purge { object } => {
                self.seq += 1;
                let ms = 1_764_576_000_000 + self.now.0 / 1_000_000 - 86_400_000;
                let line = format!(
                    "{{\"seq\":{},\"invalidate\":{{\"bucket\":{object},\"time\":{ms}}}}}\n",
                    self.seq
                );
                self.purged.insert(object, Nanos(self.now.0 / 1_000_000 * 1_000_000));
                self.event(Event::Received(Peer::ChangeLog(self.log), line.as_bytes()));
            }
            Step::NoDescriptors => self.event(Event::NoDescriptors),
            Step::Pass { ms } => self.pass(ms),
        }
        for (believed, out) in self.reducer.in_flight_counts() {
            assert_eq!(believed, out, "what is out");
        }
        self.nothing_is_to_begin_for_who_has_gone();
    }

    fn node_ends(&mut self, number: u32, event: Event<'_>) {
        self.ways.remove(&number);
        self.event(event);
    }

    fn answer(&mut self, which: usize, word: usize, twice: bool) {
        let out: Vec<_> = self.ways.iter().flat_map(|(n, way)| way.out.iter().map(|id| (*n, *id))).collect();
        let Some((number, id)) = out.get(which % out.len().max(1)).copied() else { return };
        let (word, ran) = [
            ("ok etag=4b00000000000000,made=1764,why=local 4\r\nbody", true),
            ("ok etag=4b00000000000000,made=1764,why=pulled 4\r\nbody", true),
            ("nothing - 0\r\n", false),
            ("refused why=turned_away 0\r\n", false),
            ("stale - 0\r\n", false),
            ("error - 0\r\n", true),
            ("error why=far_fault 0\r\n", true),
        ][word];
        self.way(number).out.retain(|other| *other != id);
        let asked = self.asked.get_mut(&id).expect("asked for");
        asked.may_have_run -= u32::from(!ran);
        let bytes = format!("{id:016x} {word}\r\n").into_bytes();
        self.said.push((number, bytes.clone()));
        let bytes = if twice { [&bytes[..], &bytes[..]].concat() } else { bytes };
        self.event(Event::Received(Peer::Node(number), &bytes));
    }

    fn list(&mut self, node: usize, state: usize, anew: bool) {
        self.seq += 1;
        let (id, port, zone, kind) = NODES[node];
        let state = ["active", "leaving", "left", "active"][state];
        let ms = if anew { 1_764_576_000_000 + self.now.0 / 1_000_000 - 86_400_000 } else { 0 };
        let line = format!(
            "{{\"seq\":{},\"fleet\":{{\"servers\":[{{\"id\":\"{id}\",\"addr\":\"127.0.0.1:{port}\",\"zone\":\"{zone}\",\
             \"kind\":\"{kind}\",\"state\":\"{state}\",\"weight\":20,\"started_ms\":{ms}}}]}}}}\n",
            self.seq
        );
        match state {
            "active" => self.withdrawn.remove(id),
            _ => self.withdrawn.insert(id.to_string()),
        };
        self.event(Event::Received(Peer::ChangeLog(self.log), line.as_bytes()));
    }

    pub(super) fn pass(&mut self, ms: u64) {
        let end = self.now.after(Nanos(ms * 1_000_000));
        while let Some(((at, _), _)) = self.timers.first_key_value().filter(|((at, _), _)| *at <= end) {
            self.now = self.now.max(*at);
            let Some((_, due)) = self.timers.pop_first() else { break };
            // The change log says each second that there is no more.
            if due == TimerKind::Sweep {
                let line = format!("{}\n", self.seq);
                self.event(Event::Received(Peer::ChangeLog(self.log), line.as_bytes()));
            }
            // The event loop may forget such a deadline: it must change nothing.
            if !self.reducer.is_timer_needed(&due) {
                let effects = self.reducer.reduce(self.now, Event::TimerFired(due));
                assert!(effects.is_empty(), "nobody waits for {due:?}, but it brings {effects:?}");
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
