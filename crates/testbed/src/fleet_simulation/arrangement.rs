//! The arrangements for distributing changes that the simulation compares: how many replicas are between the change
//! log and the dispatchers, and how many streams each dispatcher follows. Gives the reconnect settings and the sources
//! of each dispatcher and replica.

use super::assumptions::{CONNECTS_PER_S_PER_DISPATCHER, DELIVERED_AFTER};
use super::topology::{self, Place};
use copperroute_routing::interface::mix;
use copperroute_routing::reconnect_schedule::ReconnectSettings;

/// One arrangement for distributing changes from the log to the dispatchers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Arrangement {
    pub name: &'static str,
    pub replicas: usize,
    pub streams: usize,
    /// Connections per second that each source accepts, as a multiple of `CONNECTS_PER_S_PER_DISPATCHER`.
    pub connect_capacity_factor: f64,
    /// Whether a dispatcher that starts with a node list first connects as late as its delivery bound allows, so that
    /// dispatchers without a list connect first (see `ReconnectSchedule`); otherwise it connects in the next reconnect
    /// window.
    pub delays_first_connect: bool,
}

impl Arrangement {
    pub(super) const SINGLE_LOG: Arrangement = Arrangement {
        name: "(a) today: one service, one stream",
        replicas: 0,
        streams: 1,
        connect_capacity_factor: 1.0,
        delays_first_connect: true,
    };
    pub(super) const TWO_STREAMS: Arrangement =
        Arrangement { name: "(b) two streams to 6 replicas", replicas: 6, streams: 2, ..Self::SINGLE_LOG };
    pub(super) const TWO_STREAMS_PROMPT_START: Arrangement = Arrangement {
        name: "(b') as (b), called in the next round at a start",
        delays_first_connect: false,
        ..Self::TWO_STREAMS
    };
    pub(super) const ONE_STREAM_OF_SIX: Arrangement =
        Arrangement { name: "(c) one stream to one of 6 replicas", streams: 1, ..Self::TWO_STREAMS };
    pub(super) const LARGER_LOG: Arrangement = Arrangement {
        name: "(d) one service of four times the calls, called in the next round at a start",
        connect_capacity_factor: 4.0,
        delays_first_connect: false,
        ..Self::SINGLE_LOG
    };
    pub(super) const ALL: [Arrangement; 5] = [
        Self::SINGLE_LOG,
        Self::TWO_STREAMS,
        Self::TWO_STREAMS_PROMPT_START,
        Self::ONE_STREAM_OF_SIX,
        Self::LARGER_LOG,
    ];

    /// The letter in brackets at the start of the name.
    pub(super) fn letter(&self) -> &str {
        self.name.trim_start_matches('(').split(')').next().unwrap_or_default()
    }

    /// Connections per second that each source accepts without overload.
    pub(super) fn connect_capacity_per_s(&self, dispatchers: u32) -> f64 {
        (f64::from(dispatchers) * CONNECTS_PER_S_PER_DISPATCHER * self.connect_capacity_factor).max(1.0)
    }

    /// The reconnect settings of a dispatcher. They count all streams as spread over one replica fewer, so that
    /// reconnect windows stay long enough when a replica is lost.
    pub(super) fn reconnect_settings(&self, dispatchers: u32) -> ReconnectSettings {
        let streams = dispatchers * self.streams as u32;
        let share = (self.replicas.saturating_sub(1) as u32).max(1);
        ReconnectSettings {
            dispatchers: streams.div_ceil(share),
            calls_per_s: Some(self.connect_capacity_per_s(dispatchers)),
            delivered_after: DELIVERED_AFTER,
            window_range: [0.0, 1.0],
        }
    }

    /// The reconnect settings of a replica for its stream from the log.
    pub(super) fn replica_reconnect_settings(&self, dispatchers: u32) -> ReconnectSettings {
        ReconnectSettings { dispatchers: self.replicas as u32, ..self.reconnect_settings(dispatchers) }
    }

    /// The sources of a dispatcher in order of preference, by rendezvous hashing. The second is in another zone than
    /// the first.
    pub(super) fn sources(&self, dispatcher: u32, seed: u64) -> Vec<usize> {
        if self.replicas == 0 {
            return vec![0];
        }
        let weight = |source: &usize| mix(seed ^ mix(u64::from(dispatcher) << 16 | *source as u64));
        let mut sources: Vec<usize> = (1..=self.replicas).collect();
        sources.sort_by_key(weight);
        let zone = |source: usize| place_of(source).zone;
        let other_zone = (1..sources.len()).find(|at| zone(sources[*at]) != zone(sources[0]));
        if let Some(other_zone) = other_zone {
            sources.swap(1, other_zone);
        }
        sources
    }
}

/// The place of a source: 0 is the log, higher numbers are replicas.
pub(super) fn place_of(source: usize) -> Place {
    match source {
        0 => topology::log(),
        replica => topology::replica(replica - 1),
    }
}
