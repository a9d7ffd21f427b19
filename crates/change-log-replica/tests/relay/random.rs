//! Random faults on replicas in a chain, side by side and in cycles. Followers must receive the change log's events in
//! order, and no heartbeat may tell a follower that it is current when it is not.

use crate::common::{START, address, at, config, delta, list, purge, secs};
use crate::network::{Network, Party};
use copperroute_change_log_replica::config::{Config, Source, SourceKind};
use copperroute_change_log_replica::faults::{Fault, Faults};
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::random::Random;
use serde_json::Value;
use std::net::SocketAddr;

/// The change log: its events with the time of issue, in its present history and in earlier ones.
pub(crate) struct Log {
    pub is_up: bool,
    pub events: Vec<(Nanos, String)>,
    /// When the present history began, and the events of earlier ones.
    pub history_start: Nanos,
    earlier_events: Vec<String>,
    streams: Vec<(usize, usize, Nanos)>,
}

impl Log {
    pub(crate) fn new(now: Nanos) -> Self {
        let events = vec![(now, list(1))];
        Log { is_up: true, events, history_start: now, earlier_events: Vec::new(), streams: Vec::new() }
    }

    pub(crate) fn last(&self) -> u64 {
        self.events.len() as u64
    }

    pub(crate) fn issue(&mut self, now: Nanos, chance: &mut Random) {
        let seq = self.last() + 1;
        // The time distinguishes events of different histories.
        let event = match chance.next_u32() % 5 {
            0 => delta(
                seq,
                &format!("s-{}", chance.next_u32() % 6),
                ["active", "leaving", "left"][seq as usize % 3],
            ),
            _ => purge(seq).replace(&format!("time\":{seq}"), &format!("time\":{}", now.0)),
        };
        self.events.push((now, event));
    }

    /// Begins a new history, whose first event is a whole node list.
    pub(crate) fn start_new_history(&mut self, now: Nanos) {
        self.earlier_events.extend(self.events.iter().map(|(_, event)| event.clone()));
        let first = list(1).replace("east", &format!("east-{}", now.0));
        (self.events, self.history_start) = (vec![(now, first)], now);
    }

    /// The number of the last event at a time, in the present history.
    fn last_at(&self, at: Nanos) -> u64 {
        self.events.partition_point(|(issued, _)| *issued <= at) as u64
    }

    fn issued(&self, line: &str) -> bool {
        self.events.iter().any(|(_, event)| event == line)
            || self.earlier_events.iter().any(|event| event == line)
    }

    pub(crate) fn request_received(&mut self, now: Nanos, connection: usize, bytes: &[u8]) {
        let text = std::str::from_utf8(bytes).expect("text");
        let since: usize =
            text.trim().strip_prefix("since ").and_then(|of| of.parse().ok()).expect("a number");
        self.streams.push((connection, since.min(self.events.len()), now));
    }

    /// What is sent now: events at once, a heartbeat each second.
    pub(crate) fn lines_due(&mut self, now: Nanos) -> Vec<(usize, Vec<u8>)> {
        if !self.is_up {
            self.streams.clear();
            return Vec::new();
        }
        let mut out = Vec::new();
        for (connection, sent, next_heartbeat) in &mut self.streams {
            let mut text: String = self.events[(*sent).min(self.events.len())..]
                .iter()
                .map(|(_, event)| format!("{event}\n"))
                .collect();
            *sent = self.events.len();
            if *next_heartbeat <= now {
                text += &format!("{sent}\n");
                *next_heartbeat = now.after(secs(1.0));
            }
            if !text.is_empty() {
                out.push((*connection, text.into_bytes()));
            }
        }
        out
    }
}

/// How old the state that a heartbeat announces may be. Each of `steps` replicas may have delayed the first line after
/// a connection without notice for a heartbeat interval and the propagation bound.
fn max_staleness(steps: usize) -> Nanos {
    Nanos(secs(1.6).0 * steps as u64)
}

/// A minimal dispatcher: it follows one address and checks what it receives.
pub(crate) struct Follower {
    address: SocketAddr,
    steps: usize,
    pub cursor: u64,
    stream: u32,
    open: bool,
    last_line_at: Nanos,
    requested_at: Nanos,
    connect_at: Nanos,
    lower_heartbeats: u32,
    buffer: Vec<u8>,
    /// When a heartbeat last told it that it has all events.
    pub current_at: Nanos,
    pub heartbeats: u64,
    pub events: u64,
}

impl Follower {
    /// A follower of the replica with this address, which is at most `steps` steps from the change log.
    pub(crate) fn of(last: u8, steps: usize) -> Self {
        Follower {
            address: address(last),
            steps,
            cursor: 0,
            stream: 0,
            open: false,
            last_line_at: START,
            requested_at: START,
            connect_at: START,
            lower_heartbeats: 0,
            buffer: Vec::new(),
            current_at: Nanos::ZERO,
            heartbeats: 0,
            events: 0,
        }
    }

    pub(crate) fn connect_due(&mut self, now: Nanos) -> Option<(u32, SocketAddr)> {
        if self.open || now < self.connect_at {
            return None;
        }
        (self.open, self.stream, self.last_line_at) = (true, self.stream + 1, now);
        self.buffer.clear();
        Some((self.stream, self.address))
    }

    pub(crate) fn request(&mut self, now: Nanos) -> Vec<u8> {
        self.requested_at = now;
        format!("since {}\n", self.cursor).into_bytes()
    }

    pub(crate) fn ended(&mut self) {
        self.open = false;
        self.connect_at = self.last_line_at.after(secs(0.3)).max(self.connect_at.after(secs(0.3)));
    }

    pub(crate) fn timed_out_stream(&mut self, now: Nanos) -> Option<u32> {
        let silent = self.open && now.since(self.last_line_at) > secs(2.0);
        if silent {
            (self.open, self.connect_at) = (false, now.after(secs(0.2)));
        }
        silent.then_some(self.stream)
    }

    /// Checks what it receives; returns whether it keeps the stream.
    pub(crate) fn receive(&mut self, now: Nanos, bytes: &[u8], log: &Log) -> bool {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8(line).expect("text");
            self.last_line_at = now;
            if let Ok(last) = line.trim().parse::<u64>() {
                if !self.heartbeat(now, last, log) {
                    (self.open, self.connect_at) = (false, now.after(secs(0.2)));
                    return false;
                }
            } else {
                self.event(line.trim_end(), log);
            }
        }
        true
    }

    fn event(&mut self, line: &str, log: &Log) {
        let event: Value = serde_json::from_str(line).expect("JSON");
        let seq = event["seq"].as_u64().expect("a number");
        let whole = event["fleet"]["full"] == true;
        assert!(seq > self.cursor, "event {seq} after event {}", self.cursor);
        assert!(whole || seq == self.cursor + 1, "event {seq} after event {}", self.cursor);
        assert!(whole || log.issued(line), "never issued: {line}");
        (self.cursor, self.events) = (seq, self.events + 1);
    }

    fn heartbeat(&mut self, now: Nanos, last: u64, log: &Log) -> bool {
        assert!(last <= self.cursor, "heartbeat {last}, received up to event {}", self.cursor);
        if last < self.cursor {
            self.lower_heartbeats += 1;
            if self.lower_heartbeats >= 3 {
                (self.cursor, self.lower_heartbeats) = (0, 0);
                return false;
            }
            return true;
        }
        self.lower_heartbeats = 0;
        (self.current_at, self.heartbeats) = (now, self.heartbeats + 1);
        let oldest_allowed = Nanos(now.0 - max_staleness(self.steps).0);
        if oldest_allowed > log.history_start {
            let expected = log.last_at(oldest_allowed);
            assert!(
                last >= expected,
                "heartbeat {last} is too old: the change log had event {expected} {:?} before",
                max_staleness(self.steps)
            );
        }
        true
    }
}

fn replica(of: u8) -> Source {
    Source { address: address(of), kind: SourceKind::Replica }
}

/// Replicas with these sources; `0` stands for the change log.
pub(crate) fn replicas(sources: &[&[u8]]) -> Vec<Config> {
    let log = Source { address: address(1), kind: SourceKind::ChangeLog };
    let one = |of: &&[u8]| Config {
        sources: of.iter().map(|source| if *source == 0 { log } else { replica(*source) }).collect(),
        ..config(&[])
    };
    sources.iter().map(one).collect()
}

/// Runs a network with 20 drawn faults within at most 40 s, then without faults, and checks that all followers and
/// replicas have all events of the change log.
fn run_with_faults(seed: u64, sources: &[&[u8]], new_histories: bool, faults: Faults) -> (u64, u64) {
    let steps = sources.len();
    let followers = (0..sources.len()).map(|of| Follower::of(2 + of as u8, steps)).collect();
    let mut network = Network::new(seed, replicas(sources), followers, faults);
    let mut chance = Random::new(seed ^ 0xfau64);
    let mut issue_events = |network: &mut Network| {
        if chance.next_f64() < 0.06 {
            let now = network.now;
            network.log.issue(now, &mut chance);
        }
    };
    network.run(secs(5.0), &mut issue_events);
    let mut fault_random = Random::new(seed ^ 0xfa017);
    for _ in 0..20 {
        let of = fault_random.next_u32() as usize % sources.len();
        let (replica, span) = (Party::Replica(of), secs(3.0 * fault_random.next_f64()));
        match fault_random.next_u32() % 9 {
            0 => network.kill(of),
            1 => network.stop(of, span),
            2 => network.hold(replica, span),
            3 => network.cut(replica, Party::Log),
            4 => network.cut(replica, Party::Replica((of + 1) % sources.len())),
            5 => network.end_connections(replica),
            6 => network.end_connections(Party::Log),
            7 => {
                network.log.is_up = false;
                network.end_connections(Party::Log);
            }
            _ if new_histories => {
                let now = network.now;
                network.log.start_new_history(now);
                network.end_connections(Party::Log);
            }
            _ => network.hold(Party::Log, span),
        }
        network.run(secs(2.0 * fault_random.next_f64()), &mut issue_events);
        network.log.is_up = true;
        for of in 0..sources.len() {
            if network.replicas[of].is_none() {
                network.start(of);
            }
            if fault_random.next_f64() < 0.5 {
                network.mend(Party::Replica(of), Party::Log);
                network.mend(Party::Replica(of), Party::Replica((of + 1) % sources.len()));
            }
        }
    }
    for of in 0..sources.len() {
        network.mend(Party::Replica(of), Party::Log);
        network.mend(Party::Replica(of), Party::Replica((of + 1) % sources.len()));
    }
    network.run(secs(30.0), &mut issue_events);
    network.run(secs(4.0), &mut |_| {});
    let last = network.log.last();
    for (of, follower) in network.followers.iter().enumerate() {
        assert_eq!(follower.cursor, last, "seed {seed}: follower {of} lacks events");
        assert!(
            network.now.since(follower.current_at) < secs(1.2),
            "seed {seed}: follower {of} is not current"
        );
    }
    for (of, replica) in network.replicas.iter().enumerate() {
        for (seq, line) in replica.iter().flat_map(|core| core.retention().after(0)) {
            assert_eq!(
                line,
                network.log.events[seq as usize - 1].1,
                "seed {seed}: replica {of} has another history"
            );
        }
    }
    (
        network.followers.iter().map(|of| of.events).sum(),
        network.followers.iter().map(|of| of.heartbeats).sum(),
    )
}

fn with_seed(seed: u64, run: impl FnOnce() -> (u64, u64) + std::panic::UnwindSafe) -> (u64, u64) {
    std::panic::catch_unwind(run).unwrap_or_else(|_| panic!("seed {seed} failed"))
}

#[test]
fn a_chain_of_three_passes_on_what_the_change_log_sent() {
    for seed in 0..60 {
        let (sent, heartbeats) =
            with_seed(seed, || run_with_faults(seed, &[&[0], &[2], &[3]], false, Faults::default()));
        assert!(sent > 300 && heartbeats > 60, "seed {seed}: {sent} events, {heartbeats} heartbeats");
    }
}

#[test]
fn replicas_in_cycles_pass_on_what_the_change_log_sent() {
    for seed in 0..60 {
        with_seed(seed, || {
            run_with_faults(seed, &[&[0, 3, 4], &[0, 4, 2], &[2, 3, 0]], false, Faults::default())
        });
    }
}

#[test]
fn a_change_log_with_a_new_history_reaches_all_in_the_end() {
    for seed in 0..60 {
        with_seed(seed, || run_with_faults(seed, &[&[0, 3], &[0, 2]], true, Faults::default()));
    }
}

#[test]
fn a_heartbeat_that_announces_too_old_a_state_is_found() {
    let mut log = Log::new(at(0.0));
    let mut chance = Random::new(1);
    (0..5).for_each(|_| log.issue(at(1.0), &mut chance));
    let mut follower = Follower::of(2, 1);
    follower.cursor = 1;
    assert!(follower.receive(at(2.0), b"1\n", &log), "it may have been on its way");
    let late = std::panic::catch_unwind(move || follower.receive(at(9.0), b"1\n", &log));
    assert!(late.is_err());
}

/// The first seed with which a run finds a fault.
fn first_seed_that_finds(fault: Fault, sources: &[&[u8]], new_histories: bool) -> Option<u64> {
    let finds = |seed: &u64| {
        std::panic::catch_unwind(|| run_with_faults(*seed, sources, new_histories, Faults::of(fault)))
            .is_err()
    };
    let first = (0..200).find(finds);
    println!("{fault:?}: found by seed {first:?}");
    first
}

#[test]
fn random_runs_find_deliberate_faults() {
    let chain: &[&[u8]] = &[&[0], &[2], &[3]];
    let cycle: &[&[u8]] = &[&[0, 3], &[2, 0]];
    let alone: &[&[u8]] = &[&[0]];
    for (fault, sources, new_histories) in [
        (Fault::KeepFollowers, cycle, false),
        (Fault::IgnoreHeartbeatTimeout, chain, false),
        (Fault::UnsolicitedHeartbeat, alone, false),
        (Fault::SkipOverlap, cycle, true),
        (Fault::ServeEarly, chain, false),
    ] {
        assert!(first_seed_that_finds(fault, sources, new_histories).is_some(), "{fault:?} is not found");
    }
}
