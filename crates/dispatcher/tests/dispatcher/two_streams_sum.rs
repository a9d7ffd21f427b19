//! The calls of 590 dispatchers, each of which follows two of six replicas, counted at each replica.

use copperroute_dispatcher::changes::{ChangeLog, ChangeLogSettings};
use copperroute_dispatcher::effects::{Effect, Peer, TimerKind};
use copperroute_routing::change_log::{Replica, select_replicas};
use copperroute_routing::interface::{Nanos, stable_hash};
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use copperroute_settings::operator::OperatorFile;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Calls a second that each replica bears.
const BEARS: f64 = 60.0;
const DISPATCHERS: u32 = 590;
/// 225 followers at 0.8 of what a replica bears.
const ROUND: Nanos = Nanos(4_687_500_000);
/// Dispatchers are named by their deployment, and so follow other replicas in each.
const DEPLOYMENTS: u64 = 20;
const SECOND: Nanos = Nanos(1_000_000_000);

/// The calls at each replica.
type Calls = BTreeMap<SocketAddr, Vec<Nanos>>;

/// Six replicas in three zones.
fn operator() -> OperatorFile {
    let replica = |at: u8| json!({"address": format!("10.0.{at}.1:2379"), "region": "north", "zone": format!("z{}", at / 2)});
    let replicas: Vec<_> = (0..6).map(replica).collect();
    let lists = json!({"calls_per_s": BEARS, "dispatchers": DISPATCHERS, "replicas": replicas});
    OperatorFile::parse(&json!({ "lists": lists }).to_string()).expect("a good file")
}

/// One dispatcher's change log, and when it wants to be looked at.
struct Follower {
    log: ChangeLog,
    armed: Vec<Nanos>,
    /// Where its connections go to.
    connections: BTreeMap<u32, SocketAddr>,
}

impl Follower {
    fn new(name: &str, replicas: &[Replica], calls: ReconnectSettings, unix_zero: u64) -> Follower {
        let two = select_replicas(replicas, name).expect("two or more");
        let settings = ChangeLogSettings {
            addresses: two.map(|replica| replica.address).to_vec(),
            applied: 1,
            calls,
            seed: stable_hash(name.as_bytes()),
            unix_zero,
            slack: Nanos(500_000_000),
            detects_log_restart: false,
        };
        Follower { log: ChangeLog::new(settings), armed: Vec::new(), connections: BTreeMap::new() }
    }

    /// Notes what it asks for.
    fn take(&mut self, now: Nanos, effects: Vec<Effect>, calls: &mut Calls) {
        for effect in effects {
            match effect {
                Effect::Arm(at, TimerKind::ConnectChangeLog) => self.armed.push(at),
                Effect::Connect(Peer::ChangeLog(connection), address) => {
                    calls.entry(address).or_default().push(now);
                    self.connections.insert(connection, address);
                }
                _ => (),
            }
        }
    }

    fn start(&mut self, has_list: bool, now: Nanos, calls: &mut Calls) {
        let mut effects = Vec::new();
        self.log.start(has_list, now, &mut effects);
        self.take(now, effects, calls);
    }

    /// Calls in the order of its timers, until none is left.
    fn play(&mut self, calls: &mut Calls) {
        self.armed.sort();
        for at in std::mem::take(&mut self.armed) {
            let mut effects = Vec::new();
            self.log.connect_due(at, &mut effects);
            self.take(at, effects, calls);
        }
    }

    /// All streams come up and tell a line each second for so many seconds, until this moment.
    fn hears(&mut self, until: Nanos, seconds: u64) {
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

    /// The stream from a replica ends, if it follows it.
    fn loses(&mut self, replica: SocketAddr, now: Nanos, calls: &mut Calls) {
        let Some((connection, _)) = self.connections.iter().find(|(_, address)| **address == replica) else {
            return;
        };
        let mut effects = Vec::new();
        self.log.closed(*connection, now, &mut effects);
        self.take(now, effects, calls);
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
    let (replicas, calls) =
        (operator.replicas().expect("good"), operator.reconnect_settings(known).expect("good"));
    let unix_zero = 1_764_576_000_000_000_000 + deployment * 377_000_000;
    let follower = |at| Follower::new(&format!("d{deployment}-{at}"), &replicas, calls, unix_zero);
    (0..DISPATCHERS).map(follower).collect()
}

/// The most of these in any second, wherever it begins.
fn peak(calls: &mut [Nanos]) -> usize {
    calls.sort();
    let in_a_second = |at: usize| calls.partition_point(|call| *call < calls[at].after(SECOND)) - at;
    (0..calls.len()).map(in_a_second).max().unwrap_or(0)
}

/// No replica gets more than it bears: not over the round, and not in its worst second, wherever that begins, but for
/// the chance of places that are drawn: four roots over what rounds are laid out for.
fn within_what_is_borne(calls: &mut Calls, what: &str) {
    let most = 0.8 * BEARS + 4.0 * (0.8 * BEARS).sqrt();
    for (replica, calls) in calls {
        let over_the_round = calls.len() as f64 / ROUND.secs();
        assert!(over_the_round <= BEARS, "{what}: {over_the_round:.1} a second at {replica}");
        let peak = peak(calls);
        assert!(peak as f64 <= most, "{what}: {peak} in a second at {replica}");
    }
}

#[test]
fn starts_at_one_moment_call_within_a_round_with_a_list_or_without() {
    for deployment in 0..DEPLOYMENTS {
        for with_lists in [1, 2, 3] {
            // All have a list, or half of them, or a third.
            let (now, mut calls) = (Nanos(86_400 * SECOND.0), Calls::new());
            for (at, follower) in followers(deployment).iter_mut().enumerate() {
                follower.start(at % with_lists == 0, now, &mut calls);
                follower.play(&mut calls);
                assert_eq!(follower.connections.len(), 2, "each calls two replicas, each once");
            }
            let latest = calls.values().flatten().max().expect("calls").since(now);
            assert!(latest <= ROUND, "deployment {deployment}: {latest:?}");
            within_what_is_borne(
                &mut calls,
                &format!("deployment {deployment}, one in {with_lists} with a list"),
            );
        }
    }
}

#[test]
fn streams_lost_at_one_moment_are_called_within_a_round_and_not_at_once() {
    for deployment in 0..DEPLOYMENTS {
        let (now, mut before) = (Nanos(86_400 * SECOND.0), Calls::new());
        let mut followers = followers(deployment);
        for follower in &mut followers {
            follower.start(true, now, &mut before);
            follower.play(&mut before);
        }
        let (lost, _) = before.first_key_value().expect("calls");
        let at = now.after(ROUND).after(Nanos(4 * SECOND.0));
        let mut calls = Calls::new();
        for follower in &mut followers {
            follower.hears(at, 3);
            follower.loses(*lost, at, &mut calls);
            follower.play(&mut calls);
        }
        assert_eq!(calls.keys().collect::<Vec<_>>(), [lost], "nobody else is called");
        assert_eq!(calls[lost].len(), before[lost].len(), "by all who lost it");
        let latest = calls[lost].iter().max().expect("calls").since(at);
        assert!(latest <= ROUND, "deployment {deployment}: {latest:?}");
        within_what_is_borne(&mut calls, &format!("deployment {deployment}, lost"));
    }
}
