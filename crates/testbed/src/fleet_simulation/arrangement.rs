//! Ways of changes that are compared: how many replicas stand between the log and the dispatchers, and how many
//! streams each dispatcher follows.

use super::assumptions::{CALLS_SHARE, TOLD_AFTER};
use super::topology::{self, Place};
use copperroute_routing::interface::mix;
use copperroute_routing::reconnect_schedule::ReconnectSettings;

/// A way of changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Arrangement {
    pub name: &'static str,
    pub replicas: usize,
    pub streams: usize,
    /// Calls that each source bears, times what the log bears today.
    pub calls_times: f64,
    /// A dispatcher that starts with a list calls as late as it may be told (`ReconnectSchedule::started`), or in the
    /// next round.
    pub waits_at_start: bool,
}

impl Arrangement {
    pub(super) const TODAY: Arrangement = Arrangement {
        name: "(a) today: one service, one stream",
        replicas: 0,
        streams: 1,
        calls_times: 1.0,
        waits_at_start: true,
    };
    pub(super) const TWO_STREAMS: Arrangement =
        Arrangement { name: "(b) two streams to 6 replicas", replicas: 6, streams: 2, ..Self::TODAY };
    pub(super) const TWO_STREAMS_AT_ONCE: Arrangement = Arrangement {
        name: "(b') as (b), called in the next round at a start",
        waits_at_start: false,
        ..Self::TWO_STREAMS
    };
    pub(super) const ONE_OF_SIX: Arrangement =
        Arrangement { name: "(c) one stream to one of 6 replicas", streams: 1, ..Self::TWO_STREAMS };
    pub(super) const LARGER_SERVICE: Arrangement = Arrangement {
        name: "(d) one service of four times the calls, called in the next round at a start",
        calls_times: 4.0,
        waits_at_start: false,
        ..Self::TODAY
    };
    pub(super) const ALL: [Arrangement; 5] =
        [Self::TODAY, Self::TWO_STREAMS, Self::TWO_STREAMS_AT_ONCE, Self::ONE_OF_SIX, Self::LARGER_SERVICE];

    /// The letter that its name begins with, in brackets.
    pub(super) fn letter(&self) -> &str {
        self.name.trim_start_matches('(').split(')').next().unwrap_or_default()
    }

    /// Calls a second that each source bears.
    pub(super) fn bears(&self, dispatchers: u32) -> f64 {
        (f64::from(dispatchers) * CALLS_SHARE * self.calls_times).max(1.0)
    }

    /// What a dispatcher is told of its sources: rounds hold though one replica is lost.
    pub(super) fn calls(&self, dispatchers: u32) -> ReconnectSettings {
        let streams = dispatchers * self.streams as u32;
        let share = (self.replicas.saturating_sub(1) as u32).max(1);
        ReconnectSettings {
            dispatchers: streams.div_ceil(share),
            calls_per_s: Some(self.bears(dispatchers)),
            delivered_after: TOLD_AFTER,
            window_range: [0.0, 1.0],
        }
    }

    /// What a replica is told of the log.
    pub(super) fn replica_calls(&self, dispatchers: u32) -> ReconnectSettings {
        ReconnectSettings { dispatchers: self.replicas as u32, ..self.calls(dispatchers) }
    }

    /// The sources of a dispatcher, those that it prefers first: rendezvous hashing, the second in another zone than the
    /// first.
    pub(super) fn sources(&self, dispatcher: u32, seed: u64) -> Vec<usize> {
        if self.replicas == 0 {
            return vec![0];
        }
        let weight = |source: &usize| mix(seed ^ mix(u64::from(dispatcher) << 16 | *source as u64));
        let mut sources: Vec<usize> = (1..=self.replicas).collect();
        sources.sort_by_key(weight);
        let zone = |source: usize| place_of(source).zone;
        let second = (1..sources.len()).find(|at| zone(sources[*at]) != zone(sources[0]));
        if let Some(second) = second {
            sources.swap(1, second);
        }
        sources
    }
}

/// Where a source stands: the log is 0.
pub(super) fn place_of(source: usize) -> Place {
    match source {
        0 => topology::log(),
        replica => topology::replica(replica - 1),
    }
}
