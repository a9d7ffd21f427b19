//! Counts, at each replica, the connections of 590 dispatchers that each follow two of six replicas.

use copperroute_dispatcher::changes::{ChangeLog, ChangeLogSettings};
use copperroute_dispatcher::effects::{Effect, Peer, TimerKind};
use copperroute_routing::change_log::{Replica, select_replicas};
use copperroute_routing::interface::{Nanos, stable_hash};
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use copperroute_settings::operator::OperatorFile;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Connections per second that each replica can accept.
const CAPACITY_PER_S: f64 = 60.0;
const DISPATCHERS: u32 = 590;
/// The reconnect window: 225 followers at 0.8 of the capacity of a replica.
const RECONNECT_WINDOW: Nanos = Nanos(4_687_500_000);
/// The names of dispatchers include their deployment, so dispatchers follow different replicas in each.
const DEPLOYMENTS: u64 = 20;
const SECOND: Nanos = Nanos(1_000_000_000);

/// Times of the connections at each replica.
type Connections = BTreeMap<SocketAddr, Vec<Nanos>>;

/// Six replicas in three zones.
fn operator() -> OperatorFile {
    let replica = |at: u8| json!({"address": format!("10.0.{at}.1:2379"), "region": "north", "zone": format!("z{}", at / 2)});
    let replicas: Vec<_> = (0..6).map(replica).collect();
    let lists = json!({"calls_per_s": CAPACITY_PER_S, "dispatchers": DISPATCHERS, "replicas": replicas});
    OperatorFile::parse(&json!({ "lists": lists }).to_string()).expect("a good file")
}

/// The change log connections of one dispatcher, and its armed timers.
struct Follower {
    log: ChangeLog,
    armed: Vec<Nanos>,
    /// The replica of each connection.
    connections: BTreeMap<u32, SocketAddr>,
}

impl Follower {
    fn new(name: &str, replicas: &[Replica], reconnect: ReconnectSettings, unix_zero: u64) -> Follower {
        let two = select_replicas(replicas, name).expect("two or more");
        let settings = ChangeLogSettings {
            addresses: two.map(|replica| replica.address).to_vec(),
            applied: 1,
            calls: reconnect,
            seed: stable_hash(name.as_bytes()),
            unix_zero,
            slack: Nanos(500_000_000),
            detects_log_restart: false,
        };
        Follower { log: ChangeLog::new(settings), armed: Vec::new(), connections: BTreeMap::new() }
    }

    /// Records the timers and connections that it asks for.
    fn take(&mut self, now: Nanos, effects: Vec<Effect>, connects: &mut Connections) {
        for effect in effects {
            match effect {
                Effect::Arm(at, TimerKind::ConnectChangeLog) => self.armed.push(at),
                Effect::Connect(Peer::ChangeLog(connection), address) => {
                    connects.entry(address).or_default().push(now);
                    self.connections.insert(connection, address);
                }
                _ => (),
            }
        }
    }

    fn start(&mut self, has_list: bool, now: Nanos, connects: &mut Connections) {
        let mut effects = Vec::new();
        self.log.start(has_list, now, &mut effects);
        self.take(now, effects, connects);
    }

    /// Fires its timers in order, until none is left.
    fn play(&mut self, connects: &mut Connections) {
        self.armed.sort();
        for at in std::mem::take(&mut self.armed) {
            let mut effects = Vec::new();
            self.log.connect_due(at, &mut effects);
            self.take(at, effects, connects);
        }
    }

    /// All streams come up and deliver a line each second for `seconds` seconds, up to `until`.
    fn receive_heartbeats(&mut self, until: Nanos, seconds: u64) {
        let connections: Vec<_> = self.connections.keys().copied().collect();
        for before in (0..=seconds).rev() {
            let now = Nanos(until.0 - before * SECOND.0);
            for connection in &connections {
                let mut effects = Vec::new();
                if before == seconds {
                    self.log.connected(*connection, now, &mut effects);
                }
                self.log.received(*connection, now, b"1\n");
                while self.log.next_update(now, &mut effects).is_some() {}
            }
        }
    }

    /// Closes the stream from a replica, if it follows that one.
    fn lose_stream(&mut self, replica: SocketAddr, now: Nanos, connects: &mut Connections) {
        let Some((connection, _)) = self.connections.iter().find(|(_, address)| **address == replica) else {
            return;
        };
        let mut effects = Vec::new();
        self.log.closed(*connection, now, &mut effects);
        self.take(now, effects, connects);
    }
}

fn followers(deployment: u64) -> Vec<Follower> {
    let operator = operator();
    let known = ReconnectSettings {
        dispatchers: 1,
        calls_per_s: None,
        delivered_after: Nanos::ZERO,
        window_range: [0.0, 1.0],
    };
    let (replicas, reconnect) =
        (operator.replicas().expect("good"), operator.reconnect_settings(known).expect("good"));
    let unix_zero = 1_764_576_000_000_000_000 + deployment * 377_000_000;
    let follower = |at| Follower::new(&format!("d{deployment}-{at}"), &replicas, reconnect, unix_zero);
    (0..DISPATCHERS).map(follower).collect()
}

/// The largest number of connections within any second.
fn peak(connects: &mut [Nanos]) -> usize {
    connects.sort();
    let in_a_second = |at: usize| connects.partition_point(|call| *call < connects[at].after(SECOND)) - at;
    (0..connects.len()).map(in_a_second).max().unwrap_or(0)
}

/// No replica gets more connections than its capacity over the reconnect window. In any one second the bound is
/// four standard deviations (square roots of the mean) above 0.8 of the capacity, as slots are random.
fn assert_within_capacity(connects: &mut Connections, what: &str) {
    let most = 0.8 * CAPACITY_PER_S + 4.0 * (0.8 * CAPACITY_PER_S).sqrt();
    for (replica, connects) in connects {
        let average = connects.len() as f64 / RECONNECT_WINDOW.secs();
        assert!(average <= CAPACITY_PER_S, "{what}: {average:.1} connections per second at {replica}");
        let peak = peak(connects);
        assert!(peak as f64 <= most, "{what}: {peak} connections in a second at {replica}");
    }
}

#[test]
fn simultaneous_starts_connect_within_the_reconnect_window_with_or_without_a_node_list() {
    for deployment in 0..DEPLOYMENTS {
        for list_every in [1, 2, 3] {
            // All have a node list, or half of them, or a third.
            let (now, mut connects) = (Nanos(86_400 * SECOND.0), Connections::new());
            for (at, follower) in followers(deployment).iter_mut().enumerate() {
                follower.start(at % list_every == 0, now, &mut connects);
                follower.play(&mut connects);
                assert_eq!(follower.connections.len(), 2, "each connects to two replicas, once each");
            }
            let latest = connects.values().flatten().max().expect("connections").since(now);
            assert!(latest <= RECONNECT_WINDOW, "deployment {deployment}: {latest:?}");
            assert_within_capacity(
                &mut connects,
                &format!("deployment {deployment}, one in {list_every} with a node list"),
            );
        }
    }
}

#[test]
fn simultaneously_lost_streams_reconnect_spread_over_the_reconnect_window() {
    for deployment in 0..DEPLOYMENTS {
        let (now, mut before) = (Nanos(86_400 * SECOND.0), Connections::new());
        let mut followers = followers(deployment);
        for follower in &mut followers {
            follower.start(true, now, &mut before);
            follower.play(&mut before);
        }
        let (lost, _) = before.first_key_value().expect("connections");
        let at = now.after(RECONNECT_WINDOW).after(Nanos(4 * SECOND.0));
        let mut connects = Connections::new();
        for follower in &mut followers {
            follower.receive_heartbeats(at, 3);
            follower.lose_stream(*lost, at, &mut connects);
            follower.play(&mut connects);
        }
        assert_eq!(connects.keys().collect::<Vec<_>>(), [lost], "only the lost replica gets connections");
        assert_eq!(connects[lost].len(), before[lost].len(), "from each dispatcher that lost it");
        let latest = connects[lost].iter().max().expect("connections").since(at);
        assert!(latest <= RECONNECT_WINDOW, "deployment {deployment}: {latest:?}");
        assert_within_capacity(&mut connects, &format!("deployment {deployment}, lost"));
    }
}
