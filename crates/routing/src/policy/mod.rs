//! Every decision of a dispatcher. An adapter makes one [`Dispatcher`] from the settings, calls `start`, then
//! a method for each thing that happens. The module answers through the `Actions` it is handed, before the
//! call returns. Words and trait: `src/interface.rs`.

use crate::change_log::Knowledge;
use crate::fleet::bandwidth_share::BandwidthShare;
use crate::fleet::origin_limiter::OriginLimiter;
use crate::fleet::overload_control::{Admission, BackendCapacity, OverloadControl};
use crate::fleet::slow_start::{Rate, keep_one_cold};
use crate::interface::*;
use crate::node_capacity::PROBE_EVERY;
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

// MC3's open choices, and the starting values of the design page.
const TABLE: usize = 20_000; // shadow entries
const HORIZON_S: f64 = 20.0; // keep horizon: storage cost is one over it
const MIDDLE_CUT: f64 = 1.0; // of the storage cost
const TOP_CUT: f64 = 4.0;
const MIDDLE_SHARE: f64 = 0.3; // of recent kept fills, middle and top rank together
const TOP_SHARE: f64 = 0.13;
const FILLS_SEEN: Nanos = Nanos(10_000_000_000);
// Health.
const BUCKETS: usize = 8;
const JUDGED_OVER: Nanos = Nanos(2_000_000_000);
const FAILURES: f64 = 3.0; // fewer say nothing of a node
const FAILED_SHARE: f64 = 0.5;
const ROW: u32 = 2; // failures with none between that worked, however far apart, and
const ROW_SHARE: f64 = 0.1; // of what worked lately, unless nothing is there to connect to
const DEAD_ROW: u32 = 8; // the same for an origin
const RUNS_ASIDE: u32 = 3; // at an origin that is set aside but has not died
const ASIDE: Nanos = Nanos(3_000_000_000);
const ASIDE_SPREAD_S: f64 = 2.0;
const OVERDUE_STRETCH: f64 = 2.0; // an attempt is looked at after this many times its work and
const OVERDUE_SLACK: Nanos = Nanos(300_000_000);
const FOLLOW_DUE: u64 = u64::MAX; // the tokens of timers of its own
const PROBE_DUE: u64 = u64::MAX - 1;
const LEASES_DUE: u64 = u64::MAX - 2;
const ASK_AGAIN: Nanos = Nanos(1_000_000_000); // after a failed call to discovery
// Load, in transfers for each one that the node's link fits.
const FULL: f64 = 1.5; // the next cache in hash order takes over
const UNEVEN: f64 = 1.5; // or this many times the location's mean
const PRIOR_COUNT: f64 = 4.0; // own attempts out that weigh as much as what hits took
const IN_TIME: f64 = 0.9; // of the target time
const LARGE: f64 = 2.0; // times the mean sending time of its content type
const LATE_SHARE: f64 = 0.15; // of large requests that would come late, but before their client gives up
const FILL_WEIGHT: f64 = 1.3; // a fill keeps this much more of its target time in reserve than a hit
const COLD_LOAD: f64 = 0.5; // of what the rule bears, and never over what the node can do
const FILL_LEEWAY: f64 = 0.5; // fills that use up more of what the target time leaves crowd the link
const FADES: Nanos = Nanos(4_000_000_000); // halves the first byte of a parent that is not asked
const FILL_USUAL_S: f64 = 0.1; // until seen
const COME_BACK_S: f64 = 0.1;
const COME_BACK_SHARE: f64 = 0.67; // of the wait that is left
const FURTHER_FLOOR: f64 = 0.1;
const SMOOTH: f64 = 0.2;
const DEFAULT_WORK_S: f64 = 0.3; // sending time of a content type not yet seen
const LOOK_AGAIN: u32 = u32::MAX; // the serial of a look after a fill by another

/// One dispatcher's decisions.
#[derive(Debug)]
pub struct Dispatcher {
    s: Settings,
    types: Vec<TypeRow>,
    nodes: Nodes,
    requests: Slots<RequestState>,
    ghost_cache: GhostCache,
    fills: Fills, // kept fills by their ratio
    link: BandwidthShare,
    fill_usual_s: f64,      // of fills that worked, from send to end
    origin: OriginLimiter,  // how far it is spared
    further: RingBuffer<2>, // further attempts that worked, that failed
    purges: Purges,
    storm: Option<OverloadControl>, // off unless the operators tell of storms
    again: Nanos,                   // when the cold node that was asked last bears an attempt of this one's
    knowledge: Option<Knowledge>,   // of the change log, where the adapter tells
    probes_leases: bool,            // a timer is set for that
    unheard: Cell<StalenessCounts>, // counted where choices are only read
    random: Random,
    serial: u32,
}

impl Dispatcher {
    /// A dispatcher that knows its settings and nothing else.
    pub fn new(s: Settings) -> Self {
        let row = |told: &ContentType| TypeRow::new(told, DEFAULT_WORK_S);
        let storm =
            |told| OverloadControl::new(told, &s.content_types, s.max_retry_after, s.overload_window, s.seed);
        Dispatcher {
            types: s.content_types.iter().map(row).collect(),
            nodes: Nodes::new(s.zone, s.parent_kind, s.origin_kind, s.capacities_listed),
            requests: Slots::default(),
            ghost_cache: GhostCache::default(),
            fills: Fills::new(FILLS_SEEN, BUCKETS),
            link: BandwidthShare::default(),
            fill_usual_s: FILL_USUAL_S,
            origin: OriginLimiter::new(),
            further: RingBuffer::new(JUDGED_OVER, BUCKETS),
            purges: Purges::default(),
            storm: s.overload_control.map(storm),
            again: Nanos::ZERO,
            knowledge: None,
            probes_leases: false,
            unheard: Cell::default(),
            random: Random::new(s.seed),
            serial: 0,
            s,
        }
    }

    /// The rules have changed. What was learnt and is in hand stays; seed and storms are as at the start.
    pub fn settings_changed(&mut self, s: &Settings) {
        self.requests
            .iter_mut()
            .for_each(|request| request.pinned = request.pinned.and(s, request.routing_request.content_type));
        self.types.iter_mut().zip(&s.content_types).for_each(|(row, told)| row.told = told.clone());
        self.s = Settings { seed: self.s.seed, overload_control: self.s.overload_control, ..s.clone() };
    }

    /// The dispatcher comes up.
    pub fn start(&mut self, now: Nanos, out: &mut impl Actions) {
        self.nodes.begin(now);
        if self.s.list_needs_subscription {
            out.subscribe_to_list();
        }
        if self.s.load_probes && !self.s.capacities_listed {
            out.arm_timer(PROBE_EVERY, PROBE_DUE);
        }
    }

    /// What a node can do once it is warm, in transfers at once.
    fn can(&self, n: &Node) -> f64 {
        self.nodes.can(n, self.s.zone_dispatchers).max(0.1)
    }

    /// Asks a node at random what it is doing.
    fn probe(&mut self, out: &mut impl Actions) {
        let asked = self.nodes.drawn([self.random.next_f64(), self.random.next_f64()]);
        asked.into_iter().for_each(|id| out.probe_load(id));
        out.arm_timer(PROBE_EVERY, PROBE_DUE);
    }

    /// A node has said what it is doing.
    pub fn load_probe_answered(&mut self, now: Nanos, id: NodeId, report: LoadReport) {
        if self.nodes.reported(now, id, self.cold_start(id).0.warm_after, report) {
            self.link.caches_listed(&self.s, self.nodes.caches_can(self.s.zone_dispatchers));
        }
    }

    fn row(&self, d: &RoutingRequest) -> &TypeRow {
        &self.types[d.content_type.0 as usize]
    }

    fn target_s(&self, request: &RequestState) -> f64 {
        let told = &self.row(&request.routing_request).told;
        told.latency_target.secs() + told.latency_target_stretch * request.work_s
    }

    /// The whole list: what is not in it is gone.
    pub fn node_list_replaced(&mut self, now: Nanos, entries: &[NodeEntry], out: &mut impl Actions) {
        self.nodes.unlist_all();
        self.nodes_changed(now, entries, out);
    }

    /// Changed entries. A node that drains or is gone leaves every choice at once (rule 3).
    pub fn nodes_changed(&mut self, _now: Nanos, entries: &[NodeEntry], out: &mut impl Actions) {
        if self.s.load_probes && !self.s.capacities_listed {
            self.nodes.unmet(entries).into_iter().for_each(|id| out.probe_load(id));
        }
        self.nodes.relist(entries, |e| Node::new(*e, JUDGED_OVER, BUCKETS));
        self.link.caches_listed(&self.s, self.nodes.caches_can(self.s.zone_dispatchers));
    }

    /// Attempts and fills believed to be out at a node.
    pub fn in_flight_at(&self, id: NodeId) -> u32 {
        self.nodes.get(id).map_or(0, |n| n.out)
    }

    /// A node that left the list so long ago that no request in hand has met it: its slot may be given anew.
    pub fn node_forgotten(&mut self, id: NodeId) {
        self.nodes.forget(id);
    }

    /// A node takes no connection of this dispatcher's before then: it is left out, and has not died.
    pub fn node_refuses_connections(&mut self, id: NodeId, until: Nanos) {
        self.nodes.get_mut(id).into_iter().for_each(|n| n.aside_until = n.aside_until.max(until));
    }

    /// More is known of when a node started: earlier than it was listed with.
    pub fn node_started_earlier(&mut self, id: NodeId, at: Nanos) {
        self.nodes.started_earlier(id, at);
    }

    /// A call to discovery failed: the old list stands, and the subscription is asked for again.
    pub fn subscription_failed(&mut self, _now: Nanos, out: &mut impl Actions) {
        out.arm_timer(ASK_AGAIN, FOLLOW_DUE);
    }

    /// An object was purged `age` ago.
    pub fn object_purged(&mut self, now: Nanos, hash: u64, age: Nanos, _out: &mut impl Actions) {
        self.purges.add(Purged::Object(hash), now.since(age));
    }

    /// A group of objects was purged `age` ago.
    pub fn group_purged(&mut self, now: Nanos, group: u64, age: Nanos, _out: &mut impl Actions) {
        self.purges.add(Purged::Group(group), now.since(age));
    }

    /// What was told since `age` ago is lost, and may have been purges of anything.
    pub fn purges_lost(&mut self, now: Nanos, age: Nanos) {
        self.purges.add(Purged::Anything, now.since(age));
    }
}
