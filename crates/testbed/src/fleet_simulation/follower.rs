//! One follower of the change log: the program's own cores, `ChangeLog` (with `ReconnectSchedule`) for each stream and
//! `Agreement` for versions. With two streams the first copy of an event counts; that merge is the simulation's own.

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

const TERMS: TimingBounds = TimingBounds {
    lease: Nanos(3_000_000_000),
    clock_error: Nanos(250_000_000),
    propagation_bound: Nanos(500_000_000),
};

/// What a follower took of the bytes that came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum News {
    /// The event with this number, for the first time.
    Event(u64),
    /// A second's line; whether all that is known there has been taken here.
    Line { current: bool },
}

/// What a version says in the simulation.
pub(super) fn rules(attempts: u64) -> Map<String, Value> {
    [("max_pulls".to_string(), json!(attempts))].into_iter().collect()
}

fn agreement() -> Agreement {
    let platform_rules = RuleSet::from_settings(&crate::many_rules::settings(), &[]);
    let floor =
        RuleSet::parse(&platform_rules, &[], "floor", &rules(2)).unwrap_or_else(|_| platform_rules.clone());
    let ground = ValidationContext {
        platform_rules,
        content_types: Vec::new(),
        timing: TERMS,
        faults: Faults::default(),
    };
    Agreement::new(ground, &floor)
}

/// The address by which the simulation knows a source.
pub(super) fn address_of(source: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], source as u16))
}

/// What a follower starts with.
pub(super) struct Start {
    /// The source of each stream.
    pub sources: Vec<usize>,
    pub calls: ReconnectSettings,
    pub seed: u64,
    /// The last event that its configuration knows.
    pub known: u64,
    /// Its clock is so many milliseconds off.
    pub clock_off_ms: i64,
    /// Whether it acts on versions, as dispatchers do.
    pub agrees: bool,
}

pub(super) struct Follower {
    streams: Vec<ChangeLog>,
    agreement: Option<Box<Agreement>>,
    newest: u64,
    clock_off_ms: i64,
}

impl Follower {
    pub(super) fn new(start: &Start) -> Self {
        let unix_zero = UNIX_MS * 1_000_000;
        let stream = |(at, source): (usize, &usize)| {
            let seed = start.seed.wrapping_add(at as u64 * 0x9E37_79B9);
            ChangeLog::new(ChangeLogSettings {
                addresses: vec![address_of(*source)],
                applied: start.known,
                calls: start.calls,
                seed,
                unix_zero,
                slack: TERMS.propagation_bound,
                detects_log_restart: false,
            })
        };
        Follower {
            streams: start.sources.iter().enumerate().map(stream).collect(),
            agreement: start.agrees.then(|| Box::new(agreement())),
            newest: start.known,
            clock_off_ms: start.clock_off_ms,
        }
    }

    /// The last event that was taken.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// The last event that came by this stream.
    pub(super) fn applied(&self, stream: usize) -> u64 {
        self.streams[stream].applied()
    }

    /// The version in force, where it acts on versions.
    pub(super) fn in_force(&self) -> u64 {
        self.agreement.as_ref().map_or(0, |agreement| agreement.in_force().number)
    }

    /// Whether it knows that it is out of touch.
    pub(super) fn is_out_of_touch(&self) -> bool {
        self.agreement.as_ref().is_some_and(|agreement| agreement.out_of_touch().is_some())
    }

    /// It starts; one that has a list `waits` as `ReconnectSchedule` has it, one that has none calls in the next round.
    pub(super) fn start(&mut self, stream: usize, waits: bool, now: Nanos, effects: &mut Vec<Effect>) {
        self.streams[stream].start(waits, now, effects);
    }

    pub(super) fn due(&mut self, stream: usize, now: Nanos, effects: &mut Vec<Effect>) {
        self.streams[stream].connect_due(now, effects);
    }

    pub(super) fn connected(
        &mut self,
        stream: usize,
        connection: u32,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        // With another stream up, the lease goes on by that one's lines.
        if self.streams.len() == 1 {
            self.agreement.iter_mut().for_each(|agreement| agreement.request_sent(now));
        }
        self.streams[stream].connected(connection, now, effects);
    }

    pub(super) fn closed(&mut self, stream: usize, connection: u32, now: Nanos, effects: &mut Vec<Effect>) {
        self.streams[stream].closed(connection, now, effects);
    }

    /// The next call of this stream goes to another source.
    pub(super) fn turn_to(&mut self, stream: usize, source: usize, now: Nanos, effects: &mut Vec<Effect>) {
        self.streams[stream].follow(&[address_of(source)], now, effects);
    }

    /// Gives a silent stream up.
    pub(super) fn watch(&mut self, stream: usize, now: Nanos, effects: &mut Vec<Effect>) {
        self.streams[stream].check_silence(now, effects);
    }

    /// Brings what is agreed up to this time.
    pub(super) fn look(&mut self, now: Nanos) {
        let unix_ms = self.unix_ms(now);
        if let Some(agreement) = &mut self.agreement {
            agreement.update(now, unix_ms);
        }
    }

    /// Bytes have come on a stream.
    pub(super) fn received(
        &mut self,
        stream: usize,
        connection: u32,
        bytes: &[u8],
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Vec<News> {
        let mut news = Vec::new();
        self.streams[stream].received(connection, now, bytes);
        while let Some(told) = self.streams[stream].next_update(now, effects) {
            match told {
                ChangeLogUpdate::Change { change, .. } if change.seq > self.newest => {
                    self.newest = change.seq;
                    self.take(now, &change);
                    news.push(News::Event(change.seq));
                }
                ChangeLogUpdate::Change { .. } | ChangeLogUpdate::Restriction { .. } => {}
                ChangeLogUpdate::Heartbeat { caught_up } => {
                    let current = caught_up && self.applied(stream) == self.newest;
                    self.agreement
                        .iter_mut()
                        .for_each(|agreement| agreement.heartbeat_received(now, current));
                    news.push(News::Line { current });
                }
            }
        }
        self.look(now);
        news
    }

    fn unix_ms(&self, now: Nanos) -> u64 {
        (UNIX_MS + now.0 / 1_000_000).saturating_add_signed(self.clock_off_ms)
    }

    fn take(&mut self, now: Nanos, change: &Change) {
        let unix_ms = self.unix_ms(now);
        let Some(agreement) = &mut self.agreement else { return };
        if let Some(issue) = change.rules.as_ref().and_then(|told| IssuedVersion::from_value(told).ok()) {
            let _ = agreement.version_received(now, unix_ms, &issue);
        }
        if let Some(purge) = &change.invalidate {
            agreement.event_time_received(now, unix_ms, purge.time);
        }
    }
}
