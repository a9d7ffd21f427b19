//! One follower of the change log, a dispatcher or a replica. It runs the program's own code: `ChangeLog` (with
//! `ReconnectSchedule`) for each stream and `Agreement` for versions. With two streams the first copy of an event
//! counts; that merge exists only in the simulation.

use super::assumptions::*;
use copperroute_config_rollout::agreement::Agreement;
use copperroute_config_rollout::faults::Faults;
use copperroute_config_rollout::rules::RuleSet;
use copperroute_config_rollout::timing::TimingBounds;
use copperroute_config_rollout::version::{IssuedVersion, ValidationContext};
use copperroute_dispatcher::changes::{ChangeLog, ChangeLogSettings, ChangeLogUpdate};
use copperroute_dispatcher::effects::Effect;
use copperroute_protocol::changes::Change;
use copperroute_routing::interface::Nanos;
use copperroute_routing::reconnect_schedule::ReconnectSettings;
use serde_json::{Map, Value, json};
use std::net::SocketAddr;

const TIMING: TimingBounds = TimingBounds {
    lease: Nanos(3_000_000_000),
    clock_error: Nanos(250_000_000),
    propagation_bound: Nanos(500_000_000),
};

/// What a follower read from received bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Update {
    /// The event with this number, received for the first time.
    Event(u64),
    /// The heartbeat sent each second; `current`: the follower has every event that the source has.
    Heartbeat { current: bool },
}

/// The rules of a version: only the maximum number of attempts.
pub(super) fn version_rules(attempts: u64) -> Map<String, Value> {
    [("max_pulls".to_string(), json!(attempts))].into_iter().collect()
}

fn agreement() -> Agreement {
    let platform_rules = RuleSet::from_settings(&crate::many_rules::settings(), &[]);
    let floor = RuleSet::parse(&platform_rules, &[], "floor", &version_rules(2))
        .unwrap_or_else(|_| platform_rules.clone());
    let context = ValidationContext {
        platform_rules,
        content_types: Vec::new(),
        timing: TIMING,
        faults: Faults::default(),
    };
    Agreement::new(context, &floor)
}

/// The address that stands for a source: its port is the source's number.
pub(super) fn address_of(source: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], source as u16))
}

/// The settings and state with which a follower starts.
pub(super) struct FollowerStart {
    /// The source of each stream.
    pub sources: Vec<usize>,
    pub reconnect: ReconnectSettings,
    pub seed: u64,
    /// The last event that its configuration contains.
    pub known_event: u64,
    /// Error of its clock, in milliseconds.
    pub clock_error_ms: i64,
    /// Whether it applies versions of rules, as dispatchers do and replicas do not.
    pub applies_versions: bool,
}

pub(super) struct Follower {
    streams: Vec<ChangeLog>,
    agreement: Option<Box<Agreement>>,
    newest: u64,
    clock_error_ms: i64,
}

impl Follower {
    pub(super) fn new(start: &FollowerStart) -> Self {
        let unix_zero = START_UNIX_MS * 1_000_000;
        let stream = |(at, source): (usize, &usize)| {
            let seed = start.seed.wrapping_add(at as u64 * 0x9E37_79B9);
            ChangeLog::new(ChangeLogSettings {
                addresses: vec![address_of(*source)],
                applied: start.known_event,
                calls: start.reconnect,
                seed,
                unix_zero,
                slack: TIMING.propagation_bound,
                detects_log_restart: false,
            })
        };
        Follower {
            streams: start.sources.iter().enumerate().map(stream).collect(),
            agreement: start.applies_versions.then(|| Box::new(agreement())),
            newest: start.known_event,
            clock_error_ms: start.clock_error_ms,
        }
    }

    /// The last event received on any stream.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// The last event received on this stream.
    pub(super) fn applied(&self, stream: usize) -> u64 {
        self.streams[stream].applied()
    }

    /// The version in force; 0 if the follower does not apply versions.
    pub(super) fn in_force(&self) -> u64 {
        self.agreement.as_ref().map_or(0, |agreement| agreement.in_force().number)
    }

    /// Whether its agreement considers it out of touch with the change log.
    pub(super) fn is_out_of_touch(&self) -> bool {
        self.agreement.as_ref().is_some_and(|agreement| agreement.out_of_touch().is_some())
    }

    /// Starts a stream. With `delay_first_connect` (the follower has a node list) `ReconnectSchedule` delays the first
    /// connect; otherwise the follower connects in the next reconnect window.
    pub(super) fn start(
        &mut self,
        stream: usize,
        delay_first_connect: bool,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        self.streams[stream].start(delay_first_connect, now, effects);
    }

    pub(super) fn connect_due(&mut self, stream: usize, now: Nanos, effects: &mut Vec<Effect>) {
        self.streams[stream].connect_due(now, effects);
    }

    pub(super) fn connected(
        &mut self,
        stream: usize,
        connection: u32,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        // With several streams, heartbeats of another stream renew the lease.
        if self.streams.len() == 1 {
            self.agreement.iter_mut().for_each(|agreement| agreement.request_sent(now));
        }
        self.streams[stream].connected(connection, now, effects);
    }

    pub(super) fn closed(&mut self, stream: usize, connection: u32, now: Nanos, effects: &mut Vec<Effect>) {
        self.streams[stream].closed(connection, now, effects);
    }

    /// Directs the next reconnect of this stream to another source.
    pub(super) fn follow_source(
        &mut self,
        stream: usize,
        source: usize,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        self.streams[stream].follow(&[address_of(source)], now, effects);
    }

    /// Closes the stream if it has been silent for too long.
    pub(super) fn check_silence(&mut self, stream: usize, now: Nanos, effects: &mut Vec<Effect>) {
        self.streams[stream].check_silence(now, effects);
    }

    /// Updates the agreement to the current time.
    pub(super) fn update_agreement(&mut self, now: Nanos) {
        let unix_ms = self.unix_ms(now);
        if let Some(agreement) = &mut self.agreement {
            agreement.update(now, unix_ms);
        }
    }

    /// Handles bytes received on a stream.
    pub(super) fn received(
        &mut self,
        stream: usize,
        connection: u32,
        bytes: &[u8],
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Vec<Update> {
        let mut updates = Vec::new();
        self.streams[stream].received(connection, now, bytes);
        while let Some(update) = self.streams[stream].next_update(now, effects) {
            match update {
                ChangeLogUpdate::Change { change, .. } if change.seq > self.newest => {
                    self.newest = change.seq;
                    self.apply(now, &change);
                    updates.push(Update::Event(change.seq));
                }
                ChangeLogUpdate::Change { .. } | ChangeLogUpdate::Restriction { .. } => {}
                ChangeLogUpdate::Heartbeat { caught_up } => {
                    let current = caught_up && self.applied(stream) == self.newest;
                    self.agreement
                        .iter_mut()
                        .for_each(|agreement| agreement.heartbeat_received(now, current));
                    updates.push(Update::Heartbeat { current });
                }
            }
        }
        self.update_agreement(now);
        updates
    }

    fn unix_ms(&self, now: Nanos) -> u64 {
        (START_UNIX_MS + now.0 / 1_000_000).saturating_add_signed(self.clock_error_ms)
    }

    fn apply(&mut self, now: Nanos, change: &Change) {
        let unix_ms = self.unix_ms(now);
        let Some(agreement) = &mut self.agreement else { return };
        if let Some(issue) = change.rules.as_ref().and_then(|rules| IssuedVersion::from_value(rules).ok()) {
            let _ = agreement.version_received(now, unix_ms, &issue);
        }
        if let Some(purge) = &change.invalidate {
            agreement.event_time_received(now, unix_ms, purge.time);
        }
    }
}
