//! Random faults on replicas in a chain, beside one another and in cycles: what followers are told is what the change
//! log told, in order, and no heartbeat says that somebody is current who is not.

use crate::common::{START, address, at, config, delta, list, purge, secs};
use crate::network::{Network, Party};
use copperroute_change_log_replica::config::{Config, Source, SourceKind};
use copperroute_change_log_replica::faults::{Fault, Faults};
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::random::Random;
use serde_json::Value;
use std::net::SocketAddr;

/// The change log: its events with when each was issued, in its present life and in those before.
pub(crate) struct Log {
    pub is_up: bool,
    pub events: Vec<(Nanos, String)>,
    /// When the present life began, and the events of all lives that have ended.
    pub begun: Nanos,
    past: Vec<String>,
    streams: Vec<(usize, usize, Nanos)>,
}

impl Log {
    pub(crate) fn new(now: Nanos) -> Self {
        let events = vec![(now, list(1))];
        Log { is_up: true, events, begun: now, past: Vec::new(), streams: Vec::new() }
    }

    pub(crate) fn last(&self) -> u64 {
        self.events.len() as u64
    }

    pub(crate) fn issue(&mut self, now: Nanos, chance: &mut Random) {
        let seq = self.last() + 1;
        // The time tells lives apart.
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

    /// Forgets its past: the nodes as they stand are its first event.
    pub(crate) fn begin_anew(&mut self, now: Nanos) {
        self.past.extend(self.events.iter().map(|(_, event)| event.clone()));
        let first = list(1).replace("east", &format!("east-{}", now.0));
        (self.events, self.begun) = (vec![(now, first)], now);
    }

    /// The last number at a time, in the present life.
    fn last_at(&self, at: Nanos) -> u64 {
        self.events.partition_point(|(issued, _)| *issued <= at) as u64
    }

    fn issued(&self, line: &str) -> bool {
        self.events.iter().any(|(_, event)| event == line) || self.past.iter().any(|event| event == line)
    }

    pub(crate) fn asked(&mut self, now: Nanos, connection: usize, bytes: &[u8]) {
        let text = std::str::from_utf8(bytes).expect("text");
        let since: usize =
            text.trim().strip_prefix("since ").and_then(|of| of.parse().ok()).expect("a number");
        self.streams.push((connection, since.min(self.events.len()), now));
    }

    /// What goes out now: events at once, the last number each second.
    pub(crate) fn tells(&mut self, now: Nanos) -> Vec<(usize, Vec<u8>)> {
        if !self.is_up {
            self.streams.clear();
            return Vec::new();
        }
        let mut out = Vec::new();
        for (connection, told, beat) in &mut self.streams {
            let mut text: String = self.events[(*told).min(self.events.len())..]
                .iter()
                .map(|(_, event)| format!("{event}\n"))
                .collect();
            *told = self.events.len();
            if *beat <= now {
                text += &format!("{told}\n");
                *beat = now.after(secs(1.0));
            }
            if !text.is_empty() {
                out.push((*connection, text.into_bytes()));
            }
        }
        out
    }
}

/// How long what a heartbeat says may be past by: each of `steps` may have held the first line behind a call unseen for as
/// long as a line and the bound on the way.
fn stale_by(steps: usize) -> Nanos {
    Nanos(secs(1.6).0 * steps as u64)
}

/// A dispatcher's control, in the simplest form: it follows one address, and judges what it is told.
pub(crate) struct Follower {
    address: SocketAddr,
    steps: usize,
    pub cursor: u64,
    stream: u32,
    open: bool,
    heard: Nanos,
    asked: Nanos,
    call_at: Nanos,
    lower: u32,
    buffer: Vec<u8>,
    /// When it was last told that it has all.
    pub current: Nanos,
    pub heartbeats: u64,
    pub told: u64,
}

impl Follower {
    /// Of the replica with this address, so many steps from the change log at most.
    pub(crate) fn of(last: u8, steps: usize) -> Self {
        Follower {
            address: address(last),
            steps,
            cursor: 0,
            stream: 0,
            open: false,
            heard: START,
            asked: START,
            call_at: START,
            lower: 0,
            buffer: Vec::new(),
            current: Nanos::ZERO,
            heartbeats: 0,
            told: 0,
        }
    }

    pub(crate) fn calls(&mut self, now: Nanos) -> Option<(u32, SocketAddr)> {
        if self.open || now < self.call_at {
            return None;
        }
        (self.open, self.stream, self.heard) = (true, self.stream + 1, now);
        self.buffer.clear();
        Some((self.stream, self.address))
    }

    pub(crate) fn asks(&mut self, now: Nanos) -> Vec<u8> {
        self.asked = now;
        format!("since {}\n", self.cursor).into_bytes()
    }

    pub(crate) fn ended(&mut self) {
        self.open = false;
        self.call_at = self.heard.after(secs(0.3)).max(self.call_at.after(secs(0.3)));
    }

    pub(crate) fn gives_up(&mut self, now: Nanos) -> Option<u32> {
        let silent = self.open && now.since(self.heard) > secs(2.0);
        if silent {
            (self.open, self.call_at) = (false, now.after(secs(0.2)));
        }
        silent.then_some(self.stream)
    }

    /// Judges what it is told; tells whether it goes on listening.
    pub(crate) fn told(&mut self, now: Nanos, bytes: &[u8], log: &Log) -> bool {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8(line).expect("text");
            self.heard = now;
            if let Ok(last) = line.trim().parse::<u64>() {
                if !self.heartbeat(now, last, log) {
                    (self.open, self.call_at) = (false, now.after(secs(0.2)));
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
        assert!(seq > self.cursor, "event {seq} behind {}", self.cursor);
        assert!(whole || seq == self.cursor + 1, "event {seq} behind {}", self.cursor);
        assert!(whole || log.issued(line), "never issued: {line}");
        (self.cursor, self.told) = (seq, self.told + 1);
    }

    fn heartbeat(&mut self, now: Nanos, last: u64, log: &Log) -> bool {
        assert!(last <= self.cursor, "at {last}, told up to {}", self.cursor);
        if last < self.cursor {
            self.lower += 1;
            if self.lower >= 3 {
                (self.cursor, self.lower) = (0, 0);
                return false;
            }
            return true;
        }
        self.lower = 0;
        (self.current, self.heartbeats) = (now, self.heartbeats + 1);
        let past = Nanos(now.0 - stale_by(self.steps).0);
        if past > log.begun {
            let had = log.last_at(past);
            assert!(
                last >= had,
                "told that {last} is all, the log had {had} {:?} before",
                stale_by(self.steps)
            );
        }
        true
    }
}

fn replica(of: u8) -> Source {
    Source { address: address(of), kind: SourceKind::Replica }
}

/// Replicas with these sources: `0` is the change log.
pub(crate) fn replicas(sources: &[&[u8]]) -> Vec<Config> {
    let log = Source { address: address(1), kind: SourceKind::ChangeLog };
    let one = |of: &&[u8]| Config {
        sources: of.iter().map(|source| if *source == 0 { log } else { replica(*source) }).collect(),
        ..config(&[])
    };
    sources.iter().map(one).collect()
}

/// Faults for forty seconds, drawn, then peace.
fn play(seed: u64, sources: &[&[u8]], anew: bool, faults: Faults) -> (u64, u64) {
    let steps = sources.len();
    let followers = (0..sources.len()).map(|of| Follower::of(2 + of as u8, steps)).collect();
    let mut network = Network::new(seed, replicas(sources), followers, faults);
    let mut chance = Random::new(seed ^ 0xfau64);
    let mut peace = |network: &mut Network| {
        if chance.next_f64() < 0.06 {
            let now = network.now;
            network.log.issue(now, &mut chance);
        }
    };
    network.run(secs(5.0), &mut peace);
    let mut drawn = Random::new(seed ^ 0xfa017);
    for _ in 0..20 {
        let of = drawn.next_u32() as usize % sources.len();
        let (replica, span) = (Party::Replica(of), secs(3.0 * drawn.next_f64()));
        match drawn.next_u32() % 9 {
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
            _ if anew => {
                let now = network.now;
                network.log.begin_anew(now);
                network.end_connections(Party::Log);
            }
            _ => network.hold(Party::Log, span),
        }
        network.run(secs(2.0 * drawn.next_f64()), &mut peace);
        network.log.is_up = true;
        for of in 0..sources.len() {
            if network.replicas[of].is_none() {
                network.start(of);
            }
            if drawn.next_f64() < 0.5 {
                network.mend(Party::Replica(of), Party::Log);
                network.mend(Party::Replica(of), Party::Replica((of + 1) % sources.len()));
            }
        }
    }
    for of in 0..sources.len() {
        network.mend(Party::Replica(of), Party::Log);
        network.mend(Party::Replica(of), Party::Replica((of + 1) % sources.len()));
    }
    network.run(secs(30.0), &mut peace);
    network.run(secs(4.0), &mut |_| {});
    let last = network.log.last();
    for (of, follower) in network.followers.iter().enumerate() {
        assert_eq!(follower.cursor, last, "seed {seed}: follower {of} has not all");
        assert!(network.now.since(follower.current) < secs(1.2), "seed {seed}: follower {of} is not current");
    }
    for (of, replica) in network.replicas.iter().enumerate() {
        for (seq, line) in replica.iter().flat_map(|core| core.retention().after(0)) {
            assert_eq!(
                line,
                network.log.events[seq as usize - 1].1,
                "seed {seed}: replica {of} has another past"
            );
        }
    }
    (network.followers.iter().map(|of| of.told).sum(), network.followers.iter().map(|of| of.heartbeats).sum())
}

fn named(seed: u64, run: impl FnOnce() -> (u64, u64) + std::panic::UnwindSafe) -> (u64, u64) {
    std::panic::catch_unwind(run).unwrap_or_else(|_| panic!("seed {seed} failed"))
}

#[test]
fn a_chain_of_three_tells_what_the_log_told() {
    for seed in 0..60 {
        let (told, heartbeats) = named(seed, || play(seed, &[&[0], &[2], &[3]], false, Faults::default()));
        assert!(told > 300 && heartbeats > 60, "seed {seed}: {told} events, {heartbeats} heartbeats");
    }
}

#[test]
fn replicas_that_may_follow_one_another_in_cycles_tell_what_the_log_told() {
    for seed in 0..60 {
        named(seed, || play(seed, &[&[0, 3, 4], &[0, 4, 2], &[2, 3, 0]], false, Faults::default()));
    }
}

#[test]
fn a_log_that_begins_anew_is_heard_by_all_in_the_end() {
    for seed in 0..60 {
        named(seed, || play(seed, &[&[0, 3], &[0, 2]], true, Faults::default()));
    }
}

#[test]
fn the_judge_finds_a_heartbeat_that_says_too_much() {
    let mut log = Log::new(at(0.0));
    let mut chance = Random::new(1);
    (0..5).for_each(|_| log.issue(at(1.0), &mut chance));
    let mut follower = Follower::of(2, 1);
    follower.cursor = 1;
    assert!(follower.told(at(2.0), b"1\n", &log), "it may have been on its way");
    let late = std::panic::catch_unwind(move || follower.told(at(9.0), b"1\n", &log));
    assert!(late.is_err());
}

/// The first seed of a play that finds a fault.
fn found_by(fault: Fault, sources: &[&[u8]], anew: bool) -> Option<u64> {
    let finds =
        |seed: &u64| std::panic::catch_unwind(|| play(*seed, sources, anew, Faults::of(fault))).is_err();
    let first = (0..200).find(finds);
    println!("{fault:?}: found by seed {first:?}");
    first
}

#[test]
fn the_plays_find_deliberate_faults() {
    let chain: &[&[u8]] = &[&[0], &[2], &[3]];
    let cycle: &[&[u8]] = &[&[0, 3], &[2, 0]];
    let alone: &[&[u8]] = &[&[0]];
    for (fault, sources, anew) in [
        (Fault::KeepFollowers, cycle, false),
        (Fault::SkipLapse, chain, false),
        (Fault::BeginHeartbeat, alone, false),
        (Fault::SkipOverlap, cycle, true),
        (Fault::ServeEarly, chain, false),
    ] {
        assert!(found_by(fault, sources, anew).is_some(), "{fault:?} is not found");
    }
}
