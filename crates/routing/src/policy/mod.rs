//! The routing decisions of one dispatcher: which node gets an attempt, where a miss is filled from, whether a copy
//! is kept, and when a request is rejected.
//!
//! An adapter creates a [`Dispatcher`] from [`Settings`], calls `start`, and then one method for each event: a
//! request, the end of an attempt, a timer, a change of the node list, a purge. The dispatcher acts through the
//! [`Actions`] that it is given, before the call returns. It does no I/O and reads no clock. The types are in
//! `src/interface.rs`, which also defines the work of a request.

use crate::change_log::Knowledge;
use crate::fleet::bandwidth_share::BandwidthShare;
use crate::fleet::origin_limiter::OriginLimiter;
use crate::fleet::overload_control::{Admission, BackendCapacity, OverloadControl};
use crate::fleet::slow_start::{Rate, keep_one_cold};
use crate::interface::*;
use crate::node_capacity::LOAD_PROBE_INTERVAL;
use crate::nodes::{Node, Nodes};
use crate::pinned_rules::PinnedRules;
use crate::purges::{Purged, Purges};
use crate::state::*;
use crate::structures::random::Random;
use crate::structures::ring_buffer::RingBuffer;
use std::cell::Cell;

mod attempt_outcome;
mod fill_source;
mod node_selection;
mod request_path;
mod safety_rules;
mod staleness;

pub use staleness::StalenessCounts;

// MC3: parameters that the algorithm leaves open, at the design's starting values.

/// Objects in the ghost cache. The least recently requested one is dropped first.
const GHOST_CACHE_ENTRIES: usize = 20_000;
/// Keep horizon in seconds. The storage cost of a copy is one over it.
const KEEP_HORIZON_S: f64 = 20.0;
/// Least keep benefit for the middle rank, as a multiple of the storage cost.
const MIDDLE_RANK_MIN_BENEFIT: f64 = 1.0;
/// Least keep benefit for the top rank, as a multiple of the storage cost.
const TOP_RANK_MIN_BENEFIT: f64 = 4.0;
/// The middle rank is given only while fewer than this share of the recent kept fills have as high a benefit ratio,
/// so it bounds the middle and the top rank together.
const MIDDLE_RANK_MAX_SHARE: f64 = 0.3;
/// The same bound for the top rank.
const TOP_RANK_MAX_SHARE: f64 = 0.13;
/// Window over which kept fills are counted: 10 s.
const KEPT_FILLS_WINDOW: Nanos = Nanos(10_000_000_000);

// Health of nodes.

/// Buckets of each sliding window.
const WINDOW_BUCKETS: usize = 8;
/// Window over which results of attempts are counted: 2 s.
const HEALTH_WINDOW: Nanos = Nanos(2_000_000_000);
/// Failures within the window that eject a node. Fewer say nothing about it.
const MIN_WINDOW_FAILURES: f64 = 3.0;
/// Share of the results within the window that must be failures as well.
const MIN_FAILED_SHARE: f64 = 0.5;
/// Consecutive failures that eject a node, however far apart they are.
const MIN_CONSECUTIVE_FAILURES: u32 = 2;
/// At a busy node, consecutive failures that eject it, for each success within the window. Not applied where no
/// connection could be made.
const CONSECUTIVE_FAILURES_PER_SUCCESS: f64 = 0.1;
/// Consecutive failures that eject an origin.
const ORIGIN_CONSECUTIVE_FAILURES: u32 = 8;
/// Requests in flight at an ejected origin that has not died, for content that must run there.
const EJECTED_ORIGIN_MAX_IN_FLIGHT: u32 = 3;
/// Ejection time: 3 s plus jitter.
const EJECTION_TIME: Nanos = Nanos(3_000_000_000);
/// Largest jitter of the ejection time, in seconds.
const EJECTION_JITTER_S: f64 = 2.0;
/// An attempt is overdue after this many times its work, plus [`OVERDUE_SLACK`].
const OVERDUE_WORK_MULTIPLE: f64 = 2.0;
/// Time that an attempt may take beyond its work before it is overdue: 300 ms.
const OVERDUE_SLACK: Nanos = Nanos(300_000_000);

// Timer tokens of the dispatcher itself. Those of attempts hold the request's id and the attempt's serial number.

/// Subscribe to the node list.
const SUBSCRIBE_TIMER: u64 = u64::MAX;
/// Probe the load of a node.
const LOAD_PROBE_TIMER: u64 = u64::MAX - 1;
/// Renew node leases.
const LEASE_TIMER: u64 = u64::MAX - 2;
/// Delay before the node list is subscribed to again after a failure: 1 s.
const SUBSCRIPTION_RETRY_DELAY: Nanos = Nanos(1_000_000_000);

// Load. A load of 1 means as many transfers as the node can send at full rate at once.

/// Load at which a cache counts as full, so that the next cache in hash order takes over.
const FULL_LOAD: f64 = 1.5;
/// It must also exceed this multiple of the location's mean load.
const FULL_LOAD_VS_MEAN: f64 = 1.5;
/// Weight of the load estimate from the duration of hits, in own attempts in flight.
const PACE_PRIOR_WEIGHT: f64 = 4.0;
/// Part of the latency target, or of the deadline, that a request may be expected to take.
const LATENCY_TARGET_MARGIN: f64 = 0.9;
/// An object is large above this multiple of its content type's mean work.
const LARGE_WORK_MULTIPLE: f64 = 2.0;
/// Share of the large requests that are sent though they will miss the latency target, if they meet the deadline.
const LATE_LARGE_SHARE: f64 = 0.15;
/// Factor on the work of a fill in the comparison with the latency target: a fill keeps more time in reserve than a
/// hit.
const FILL_WORK_WEIGHT: f64 = 1.3;
/// Share of the load that rule 4 allows at a cold node that is sent to it. Never more than the node's present
/// capacity.
const SLOW_START_LOAD: f64 = 0.5;
/// Share of the time that the latency target leaves beyond the work. Fills that take more of it crowd the link.
const FILL_SLACK_SHARE: f64 = 0.5;
/// Half-life of the time to first byte of a parent that is not used: 4 s.
const FIRST_BYTE_HALF_LIFE: Nanos = Nanos(4_000_000_000);
/// Typical duration of a fill in seconds before one has ended.
const INITIAL_FILL_S: f64 = 0.1;
/// Shortest retry-after in seconds, before jitter.
const MIN_RETRY_AFTER_S: f64 = 0.1;
/// Retry-after as a share of the remaining wait for a cold node's token bucket, before jitter.
const RETRY_AFTER_WAIT_SHARE: f64 = 0.67;
/// Least share of the retries that are made, however many recent ones failed.
const MIN_RETRY_SHARE: f64 = 0.1;
/// Weight of a new sample in moving averages.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Work of a content type of which nothing is known yet, in seconds of sending at full rate.
const DEFAULT_WORK_S: f64 = 0.3;
/// Serial number in the timer token of a second lookup, after another request's fill. Attempts never have it.
const SECOND_LOOKUP_SERIAL: u32 = u32::MAX;

/// The routing decisions of one dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    /// Statistics by content type.
    type_stats: Vec<ContentTypeStats>,
    nodes: Nodes,
    requests: Slots<RequestState>,
    ghost_cache: GhostCache,
    kept_fills: KeptFillHistogram,
    fill_link: BandwidthShare,
    /// Moving average of the duration of successful fills, in seconds.
    typical_fill_s: f64,
    /// Limits fetches from the origin.
    origin_limiter: OriginLimiter,
    /// Recent retries: how many succeeded, and how many failed.
    retry_results: RingBuffer<2>,
    purges: Purges,
    /// `None` unless the operator configures it.
    overload_control: Option<OverloadControl>,
    /// Wait until the last cold node that was considered may be sent an attempt by this dispatcher; zero if none was.
    slow_start_wait: Nanos,
    /// State of the change log; `None` if the adapter does not report it.
    knowledge: Option<Knowledge>,
    /// Whether the timer [`LEASE_TIMER`] is armed.
    lease_probes_armed: bool,
    /// Effects of stale knowledge, counted in a cell as selection takes `&self`.
    staleness_counts: Cell<StalenessCounts>,
    random: Random,
    /// Serial number of the last attempt.
    serial: u32,
}

impl Dispatcher {
    /// Creates a dispatcher with an empty node list.
    pub fn new(settings: Settings) -> Self {
        let stats = |content_type: &ContentType| ContentTypeStats::new(content_type, DEFAULT_WORK_S);
        let overload_control = |overload_settings| {
            OverloadControl::new(
                overload_settings,
                &settings.content_types,
                settings.max_retry_after,
                settings.overload_window,
                settings.seed,
            )
        };
        Dispatcher {
            type_stats: settings.content_types.iter().map(stats).collect(),
            nodes: Nodes::new(
                settings.zone,
                settings.parent_kind,
                settings.origin_kind,
                settings.capacities_listed,
            ),
            requests: Slots::default(),
            ghost_cache: GhostCache::default(),
            kept_fills: KeptFillHistogram::new(KEPT_FILLS_WINDOW, WINDOW_BUCKETS),
            fill_link: BandwidthShare::default(),
            typical_fill_s: INITIAL_FILL_S,
            origin_limiter: OriginLimiter::new(),
            retry_results: RingBuffer::new(HEALTH_WINDOW, WINDOW_BUCKETS),
            purges: Purges::default(),
            overload_control: settings.overload_control.map(overload_control),
            slow_start_wait: Nanos::ZERO,
            knowledge: None,
            lease_probes_armed: false,
            staleness_counts: Cell::default(),
            random: Random::new(settings.seed),
            serial: 0,
            settings,
        }
    }

    /// Applies changed settings. Statistics and requests in flight stay. The seed and the settings of overload
    /// control keep their values from the start.
    pub fn settings_changed(&mut self, settings: &Settings) {
        self.requests.iter_mut().for_each(|request| {
            request.pinned = request.pinned.combined_with(settings, request.routing_request.content_type)
        });
        self.type_stats
            .iter_mut()
            .zip(&settings.content_types)
            .for_each(|(stats, content_type)| stats.config = content_type.clone());
        self.settings = Settings {
            seed: self.settings.seed,
            overload_control: self.settings.overload_control,
            ..settings.clone()
        };
    }

    /// Starts the dispatcher: subscribes to the node list and begins to probe, as configured.
    pub fn start(&mut self, now: Nanos, out: &mut impl Actions) {
        self.nodes.set_started_at(now);
        if self.settings.list_needs_subscription {
            out.subscribe_to_list();
        }
        if self.settings.load_probes && !self.settings.capacities_listed {
            out.arm_timer(LOAD_PROBE_INTERVAL, LOAD_PROBE_TIMER);
        }
    }

    /// Capacity of a node once it is warm, in concurrent transfers at full rate.
    fn capacity_of(&self, node: &Node) -> f64 {
        self.nodes.capacity_of(node, self.settings.zone_dispatchers).max(0.1)
    }

    /// Probes the load of a random node and arms the timer for the next probe.
    fn probe_random_node(&mut self, out: &mut impl Actions) {
        let asked = self.nodes.random_serving_node([self.random.next_f64(), self.random.next_f64()]);
        asked.into_iter().for_each(|id| out.probe_load(id));
        out.arm_timer(LOAD_PROBE_INTERVAL, LOAD_PROBE_TIMER);
    }

    /// Handles the answer to a load probe.
    pub fn load_probe_answered(&mut self, now: Nanos, id: NodeId, report: LoadReport) {
        if self.nodes.record_load_report(now, id, self.cold_start_of(id).0.warm_after, report) {
            self.fill_link
                .caches_listed(&self.settings, self.nodes.cache_capacities(self.settings.zone_dispatchers));
        }
    }

    fn stats_of(&self, routing_request: &RoutingRequest) -> &ContentTypeStats {
        &self.type_stats[routing_request.content_type.0 as usize]
    }

    fn latency_target_s(&self, request: &RequestState) -> f64 {
        let content_type = &self.stats_of(&request.routing_request).config;
        content_type.latency_target.secs() + content_type.latency_target_stretch * request.work_s
    }

    /// Handles a snapshot of the node list. Nodes that are not in it are gone.
    pub fn node_list_replaced(&mut self, now: Nanos, entries: &[NodeEntry], out: &mut impl Actions) {
        self.nodes.clear_list();
        self.nodes_changed(now, entries, out);
    }

    /// Handles a delta of the node list. A node that drains or is gone is no longer selected (rule 3).
    pub fn nodes_changed(&mut self, _now: Nanos, entries: &[NodeEntry], out: &mut impl Actions) {
        if self.settings.load_probes && !self.settings.capacities_listed {
            self.nodes.unknown_warm_nodes(entries).into_iter().for_each(|id| out.probe_load(id));
        }
        self.nodes.update_list(entries, |e| Node::new(*e, HEALTH_WINDOW, WINDOW_BUCKETS));
        self.fill_link
            .caches_listed(&self.settings, self.nodes.cache_capacities(self.settings.zone_dispatchers));
    }

    /// Attempts and fills in flight at a node, as far as this dispatcher knows.
    pub fn in_flight_at(&self, id: NodeId) -> u32 {
        self.nodes.get(id).map_or(0, |node| node.in_flight)
    }

    /// Forgets a node that left the list so long ago that no request in flight refers to it. Its slot may be reused.
    pub fn node_forgotten(&mut self, id: NodeId) {
        self.nodes.forget(id);
    }

    /// Excludes a node that accepts no connection of this dispatcher until `until`. The node has not died.
    pub fn node_refuses_connections(&mut self, id: NodeId, until: Nanos) {
        self.nodes
            .get_mut(id)
            .into_iter()
            .for_each(|node| node.ejected_until = node.ejected_until.max(until));
    }

    /// Corrects the start time of a node to an earlier time than was listed.
    pub fn node_started_earlier(&mut self, id: NodeId, at: Nanos) {
        self.nodes.started_earlier(id, at);
    }

    /// Handles a failed subscription: the old node list stays in use, and a timer subscribes again.
    pub fn subscription_failed(&mut self, _now: Nanos, out: &mut impl Actions) {
        out.arm_timer(SUBSCRIPTION_RETRY_DELAY, SUBSCRIBE_TIMER);
    }

    /// Records that an object was purged `age` ago.
    pub fn object_purged(&mut self, now: Nanos, hash: u64, age: Nanos, _out: &mut impl Actions) {
        self.purges.add(Purged::Object(hash), now.since(age));
    }

    /// Records that a group of objects was purged `age` ago.
    pub fn group_purged(&mut self, now: Nanos, group: u64, age: Nanos, _out: &mut impl Actions) {
        self.purges.add(Purged::Group(group), now.since(age));
    }

    /// Records that events since `age` ago were lost, any of which may have been a purge of any object.
    pub fn purges_lost(&mut self, now: Nanos, age: Nanos) {
        self.purges.add(Purged::Anything, now.since(age));
    }
}
