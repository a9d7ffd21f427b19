//! The reducer: every state change happens here, in answer to an event. What is to be read, written,
//! connected or timed comes out as effects, which the event loop carries out.

use crate::agreed::Agreed;
use crate::changes::{ChangeLog, ChangeLogSettings, ChangeLogUpdate};
use crate::clients::MOST_OPEN;
use crate::clock::Epoch;
use crate::config::{AgreementConfig, Config};
use crate::copies::{self, Copies, Offered, Own};
use crate::effects::{Effect, Event, Peer, TimerKind};
use crate::external_time::ExternalTime;
use crate::lingering::EXIT_LINGER_TIMEOUT;
use crate::logs::LogRateLimiter;
use crate::node_list_snapshot::NodeListSnapshot;
use crate::nodes::{NodePool, NodeStart, ProbeCounts};
use crate::phases::{Life, Phase};
use crate::request_table::RequestTable;
use copperroute_cache_store::record::{Facts, Key};
use copperroute_config_rollout::rules::RuleSet;
use copperroute_protocol::changes::{Change, Fleet, ListedNode, Purge};
use copperroute_protocol::clients::{Answer, Message, Request};
use copperroute_protocol::hex::Hex;
use copperroute_routing::change_log::{Heartbeats, Knowledge};
use copperroute_routing::fleet::connection_back_off::NodeBackOff;
use copperroute_routing::fleet::duplicate_filter::{DuplicateFilter, MAX_IDS, Verdict};
use copperroute_routing::interface::{
    Actions as _, Nanos, NodeEntry, NodeId, Readiness, RequestId, RetrySafety, RoutingRequest, Settings,
    TypeId, UNKNOWN_ID, ZoneId, mix, stable_hash,
};
use copperroute_routing::policy::Dispatcher;
use copperroute_settings::name_index;
use std::collections::HashMap;

mod changes;
mod clients;
mod deadlines;
mod doubt;
mod handing_on;
mod moments;
mod reload;

use doubt::DoubtReport;

/// After the signal to end nothing new comes any more once this is over.
const LAST_REQUESTS: Nanos = Nanos(750_000_000);
/// After the signal to end all must be answered so long after the longest expiry, or after `LONGEST_DRAIN` where
/// that is shorter: what came last has come 0.6 s after it, and 0.7 s after it nothing is waited for.
const DRAINED_AFTER: Nanos = Nanos(500_000_000);
const LONGEST_DRAIN: Nanos = Nanos(3_000_000_000);
/// However short the longest expiry is, what comes last is still taken.
const SHORTEST_DRAIN: Nanos = Nanos(620_000_000);
/// A line may have taken so long on its way.
const LATEST_LINE: Nanos = Nanos(1_000_000_000);
/// A heartbeat of one of two streams may have taken so long on its way, where no agreement says so.
const SLACK: Nanos = Nanos(500_000_000);
/// Descriptors that are neither clients' nor nodes': log, listener, signals, timers, up to six calls of the change log, one just
/// accepted.
const OWN_DESCRIPTORS: usize = 16;
/// Idle clients that are closed at once when descriptors run short.
const IDLE_AT_ONCE: usize = 8;
const SWEEP: Nanos = Nanos(250_000_000);

/// The disk has so long to read a copy; then the request goes on without.
const DISK_PATIENCE: Nanos = Nanos(50_000_000);

/// A request for which the disk was asked.
#[derive(Debug)]
struct Reading {
    generation: u64,
    routing_request: RoutingRequest,
    key: Key,
}

/// The dispatcher's whole state.
pub struct Reducer {
    life: Life,
    module: Dispatcher,
    request_table: RequestTable,
    log: ChangeLog,
    external_time: ExternalTime,
    /// Whether what the change log tells has waited on its way.
    heartbeats: Heartbeats,
    /// Nothing new can come any more.
    last_requests: bool,
    /// All that was owed has been answered, whoever takes it or not.
    drained: bool,
    /// All clients' connections are ending.
    shut: bool,
    /// Own copies, where any are kept.
    copies: Option<Copies>,
    /// Requests for which the disk was asked; the module is not told of them yet.
    reading: HashMap<u32, Reading>,
    /// The last event of the change log whose purge the disk has marked.
    marked: u64,
    /// What the module was last told of the change log.
    known: Option<Knowledge>,
    doubt: DoubtReport,
    /// What is kept of the change log over a restart, where it is.
    last_list: Option<NodeListSnapshot>,
    /// What is held of the agreement on rules, where there is one.
    agreed: Option<Agreed>,
    /// The settings under the rules in force.
    settings: Settings,
    /// The longest that a client waits for each content type, under the rules in force.
    expiries: Vec<Nanos>,
    /// Lines that clients cause.
    complaints: LogRateLimiter,
    /// What clients have shown of themselves.
    conduct: DuplicateFilter,
    /// What the program was started with, and what has been taken of it since.
    config: Config,
}

impl Reducer {
    /// A dispatcher that has not started.
    pub fn new(config: Config, epoch: Epoch) -> Self {
        let (bytes, s) = (config.copy_memory_bytes, &config.settings);
        let copies = || Copies::new(bytes, config.link_bytes_per_s, &s.content_types, s.purge_done);
        let copies = (bytes > 0).then(copies);
        let mut request_table =
            RequestTable::new(config.connection_limits, config.limits, config.settings.seed.rotate_left(16));
        request_table.keeps_copies = copies.is_some();
        let purges = s.purge_done.after(s.purge_notice);
        let last_list = config.snapshot.as_ref().map(|_| NodeListSnapshot::new(config.fingerprint(), purges));
        let agreed = config.agreement.as_ref().map(|agreeing| Agreed::new(agreeing, &config));
        let log = ChangeLog::new(ChangeLogSettings {
            addresses: config.change_log_addresses(),
            applied: config.known.seq,
            calls: config.reconnect,
            seed: config.settings.seed.rotate_left(32),
            unix_zero: epoch.unix_zero(),
            slack: config
                .agreement
                .as_ref()
                .map_or(SLACK, |agreeing| agreeing.context.timing.propagation_bound),
            detects_log_restart: agreed.is_some(),
        });
        Reducer {
            agreed,
            settings: config.settings.clone(),
            expiries: config.request_limits.iter().map(|offer| offer.max_timeout).collect(),
            copies,
            last_list,
            reading: HashMap::new(),
            marked: 0,
            known: None,
            doubt: DoubtReport::default(),
            life: Life::default(),
            module: Dispatcher::new(config.settings.clone()),
            request_table,
            log,
            external_time: ExternalTime::new(epoch),
            heartbeats: Heartbeats::default(),
            last_requests: false,
            drained: false,
            shut: false,
            complaints: LogRateLimiter::default(),
            conduct: DuplicateFilter::new(longest_expiry(&config), MAX_IDS),
            config,
        }
    }

    /// The number of the last event of the change log that was applied.
    pub fn applied(&self) -> u64 {
        self.log.applied()
    }

    /// How many nodes there is a place for: those listed, and those that left not long ago.
    pub fn node_slot_count(&self) -> u32 {
        self.request_table.nodes_kept()
    }

    /// How many objects there is a place for.
    pub fn object_slot_count(&self) -> u32 {
        self.request_table.objects_kept()
    }

    /// The clients that would be closed for want of descriptors, and as many more as may take their places.
    pub fn idle_clients(&self, now: Nanos) -> Vec<u32> {
        self.request_table.clients.resting(2 * IDLE_AT_ONCE, now)
    }

    /// What is out at each node: as the decisions believe, and as it is.
    pub fn in_flight_counts(&self) -> Vec<(u32, u32)> {
        let nodes = (0..self.node_slot_count()).map(NodeId);
        nodes.map(|node| (self.module.in_flight_at(node), self.request_table.out_at(node))).collect()
    }

    /// Changes the state as the event asks, and returns what is to be done.
    pub fn reduce(&mut self, now: Nanos, event: Event<'_>) -> Vec<Effect> {
        self.request_table.now = now;
        self.obey(now);
        match event {
            Event::Started => self.start(now),
            Event::Accepted(number, from) => {
                log::debug!(target: "copperroute::trace", "client {number} from {from}");
                self.request_table.clients.accept(number, from, now);
                if self.request_table.clients.count() > self.usual_clients() {
                    self.request_table.clients.close_idle(
                        IDLE_AT_ONCE,
                        Some(number),
                        now,
                        &mut self.request_table.effects,
                    );
                }
                // Nodes and the change log must stay within reach, whatever clients do.
                self.request_table
                    .clients
                    .cut_lingering(self.most_clients(), &mut self.request_table.effects);
                if self.request_table.clients.count() > self.most_clients() {
                    self.complaints.warn(now, format_args!("client: one too many, closed"));
                    self.client_shut(now, number);
                }
            }
            Event::Connected(Peer::Node(number)) => self.request_table.node_connected(number),
            Event::Connected(Peer::ChangeLog(number)) => self.change_log_connected(now, number),
            Event::Received(Peer::Client(number), bytes) => self.client_received(now, number, bytes),
            Event::Received(Peer::Node(number), bytes) => self.request_table.node_received(number, bytes),
            Event::Received(Peer::ChangeLog(number), bytes) => self.change_log_received(now, number, bytes),
            Event::Written(Peer::Client(number), total) => self.request_table.client_written(number, total),
            Event::Written(Peer::Node(number), total) => self.request_table.node_written(number, total),
            Event::OutputStale(Peer::Node(number)) => self.request_table.renew(number),
            Event::InputDelay(span) => self.request_table.unread = span,
            Event::Closed(Peer::Client(number)) => self.client_closed(now, number),
            Event::EndOfStream(Peer::Client(number)) => self.client_ended(now, number),
            Event::Closed(Peer::Node(number)) | Event::EndOfStream(Peer::Node(number)) => {
                self.request_table.node_closed(number)
            }
            Event::ConnectFailedLocally(Peer::Node(number)) => self.request_table.node_unopened(number),
            Event::ConnectFailedLocally(Peer::ChangeLog(number)) => {
                self.log.unopened(number, now, &mut self.request_table.effects);
            }
            Event::Closed(Peer::ChangeLog(number)) | Event::EndOfStream(Peer::ChangeLog(number)) => {
                self.log.closed(number, now, &mut self.request_table.effects);
                self.change_log_told(now);
            }
            Event::FinalReadDone => {
                self.request_table.clients.shut_all(now, &mut self.request_table.effects);
                self.shut = true;
                self.request_table
                    .effects
                    .push(Effect::Arm(now.after(EXIT_LINGER_TIMEOUT), TimerKind::LingerDeadline));
            }
            Event::TimerFired(due) => self.due(now, due),
            Event::Terminate => {
                if self.life.move_to(Phase::Draining) {
                    let drained = self.longest_expiry().min(LONGEST_DRAIN).after(DRAINED_AFTER);
                    let drained = drained.max(SHORTEST_DRAIN);
                    let armed = [(LAST_REQUESTS, TimerKind::IntakeEnd), (drained, TimerKind::DrainDeadline)];
                    self.request_table
                        .effects
                        .extend(armed.map(|(span, due)| Effect::Arm(now.after(span), due)));
                }
            }
            Event::Reload(config) => self.reload(now, config),
            Event::DiskReady(prints, marked) => {
                self.marked = marked;
                self.copies.iter_mut().for_each(|copies| copies.disk_ready(prints));
            }
            Event::CopyRead(ticket, copy) => self.copy_read(now, ticket, copy),
            Event::DiskOff => {
                self.copies.iter_mut().for_each(Copies::disk_off);
                self.go_on_without_disk(now);
            }
            Event::NoDescriptors => {
                self.request_table.clients.make_room(IDLE_AT_ONCE, now, &mut self.request_table.effects);
            }
            Event::Connected(Peer::Client(_))
            | Event::ConnectFailedLocally(Peer::Client(_))
            | Event::OutputStale(Peer::Client(_) | Peer::ChangeLog(_))
            | Event::Written(Peer::ChangeLog(_), _) => {}
        }
        self.hand_on_ends(now);
        self.hand_on_knowledge(now);
        self.report_doubt(now);
        let over = self.drained || (self.last_requests && self.request_table.is_clear());
        if self.life.phase() == Phase::Draining && over {
            self.life.move_to(Phase::Closing);
            self.request_table.effects.push(Effect::FinalRead);
        }
        if self.life.phase() == Phase::Closing && self.shut && self.request_table.clients.count() == 0 {
            self.life.move_to(Phase::Stopped);
            self.request_table.effects.push(Effect::Exit);
        }
        std::mem::take(&mut self.request_table.effects)
    }

    /// Before each decision: the rules that are in force by now. Leases run out, and moments come, between events.
    fn obey(&mut self, now: Nanos) {
        let Some(agreed) = &mut self.agreed else { return };
        if let Some((settings, expiries)) = agreed.look(now, self.external_time.earliest_ms(now)) {
            self.module.settings_changed(&settings);
            (self.settings, self.expiries) = (settings, expiries);
        }
    }

    fn start(&mut self, now: Nanos) {
        self.module.start(now, &mut self.request_table);
        self.config.known.results.iter().for_each(|change| self.external_time.observe_event(now, change));
        for change in std::mem::take(&mut self.config.known.results) {
            self.apply(now, &change, false);
        }
        if let (Some(agreed), Some(agreeing)) = (&mut self.agreed, &self.config.agreement) {
            agreeing
                .issued_versions
                .iter()
                .for_each(|issue| self.external_time.observe_time(now, issue.issued_ms));
            agreed.issued(now, self.external_time.earliest_ms(now), &agreeing.issued_versions);
        }
        self.obey(now);
        let has_list = self.life.phase() == Phase::Serving;
        self.log.start(has_list, now, &mut self.request_table.effects);
        self.request_table.effects.push(Effect::Arm(now.after(SWEEP), TimerKind::Sweep));
    }

    fn due(&mut self, now: Nanos, due: TimerKind) {
        match due {
            TimerKind::Routing(token) => self.module.timer(now, token, &mut self.request_table),
            TimerKind::Expiry(request_id, generation) => self.expire(now, request_id, generation),
            TimerKind::DiskReadTimeout(request_id, generation) => {
                if self.is_reading(request_id, generation) {
                    self.go_on(now, request_id);
                }
            }
            TimerKind::ConnectTimeout(number) => self.request_table.connect_overdue(number),
            TimerKind::ConnectChangeLog => self.log.connect_due(now, &mut self.request_table.effects),
            TimerKind::Sweep => {
                self.request_table.sweep();
                // No request in hand is older than the longest expiry.
                for node in self.request_table.forget_nodes(self.longest_expiry().after(SWEEP)) {
                    self.module.node_forgotten(node);
                }
                // Nobody waits that long for an answer: such a client has vanished.
                for number in self.request_table.clients.stuck(now, self.client_patience()) {
                    self.complaints.warn(now, format_args!("client: takes nothing, closed"));
                    self.client_dismissed(now, number);
                }
                // What one of them has asked before is answered.
                for number in self.request_table.clients.overdue(now) {
                    self.request_table.close_when_answered(number);
                }
                self.request_table.clients.sweep(now, &mut self.request_table.effects);
                self.log.check_silence(now, &mut self.request_table.effects);
                self.change_log_told(now);
                self.place_starts(now);
                let unix_ms = self.external_time.latest_ms(now);
                let list = self.last_list.as_mut().and_then(|list| list.bytes_if_due(now, unix_ms));
                self.request_table.effects.extend(list.map(Effect::SaveNodeList));
                self.request_table.effects.push(Effect::Arm(now.after(SWEEP), TimerKind::Sweep));
            }
            TimerKind::SendBy(attempt, generation) => self.request_table.too_late(attempt, generation),
            TimerKind::IntakeEnd => self.last_requests = true,
            TimerKind::LingerDeadline => {
                self.request_table.clients.sweep(now, &mut self.request_table.effects)
            }
            TimerKind::DrainDeadline => {
                for (request_id, generation) in self.request_table.all_owed() {
                    self.expire(now, request_id, generation);
                }
                self.drained = true;
            }
        }
    }

    /// The longest that any client waits.
    fn longest_expiry(&self) -> Nanos {
        longest_expiry(&self.config)
    }

    /// With more clients than this, idle ones are closed.
    fn usual_clients(&self) -> usize {
        self.config.limits.sockets as usize / 2
    }

    /// No more clients than this are kept: the rest is for nodes and for the program's own descriptors.
    fn most_clients(&self) -> usize {
        (self.config.limits.sockets as usize * 3 / 4)
            .saturating_sub(OWN_DESCRIPTORS)
            .max(self.usual_clients())
    }

    /// A client that takes nothing for so long is gone.
    fn client_patience(&self) -> Nanos {
        let idle = self.config.connection_limits.peer_idle_timeout;
        if idle > Nanos::ZERO { idle } else { Nanos(u64::MAX) }
    }
}

/// The longest that any client waits.
fn longest_expiry(config: &Config) -> Nanos {
    config.request_limits.iter().map(|offer| offer.max_timeout).max().unwrap_or_default()
}
