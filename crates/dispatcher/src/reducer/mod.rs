//! The reducer holds the dispatcher's state and makes every change to it. The event loop calls
//! [`Reducer::reduce`] with each event and carries out the effects that it returns: connections, reads,
//! writes, timers. No I/O; time comes with each call.

use crate::agreed::RulesAgreement;
use crate::changes::{ChangeLog, ChangeLogSettings, ChangeLogUpdate};
use crate::clients::MAX_OPEN_REQUESTS;
use crate::clock::Epoch;
use crate::config::{AgreementConfig, Config};
use crate::effects::{Effect, Event, Peer, TimerKind};
use crate::external_time::ExternalTime;
use crate::local_cache::{self, LocalAnswer, LocalCache, OfferedCopy};
use crate::logs::LogRateLimiter;
use crate::node_list_snapshot::NodeListSnapshot;
use crate::nodes::{NodePool, NodeStart, ProbeCounts};
use crate::phases::{Lifecycle, Phase};
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
use std::net::IpAddr;

mod change_log_events;
mod client_ends;
mod clients;
mod event_times;
mod reload;
mod routing_notifications;
mod shutdown;
mod staleness;
mod timers;

use staleness::StalenessReport;

/// The longest time that a line of the change log may take to arrive.
const MAX_LINE_DELAY: Nanos = Nanos(1_000_000_000);
/// The longest time that a heartbeat of one of two streams may take to arrive, unless an agreement states it.
const DEFAULT_PROPAGATION_BOUND: Nanos = Nanos(500_000_000);
/// Descriptors for neither clients nor nodes: log, listener, signals, timers, up to six connections to the
/// change log, and one that was just accepted.
const RESERVED_DESCRIPTORS: usize = 16;
/// The number of idle clients closed at once when descriptors run short.
const IDLE_CLOSE_BATCH: usize = 8;
/// How often connections and phases are checked.
const SWEEP_INTERVAL: Nanos = Nanos(250_000_000);

/// The time limit for reading a copy from disk; after it the request continues without the disk.
const DISK_READ_TIMEOUT: Nanos = Nanos(50_000_000);

/// A request that waits for a copy to be read from disk.
#[derive(Debug)]
struct PendingDiskRead {
    generation: u64,
    routing_request: RoutingRequest,
    key: Key,
}

/// The dispatcher's whole state.
pub struct Reducer {
    lifecycle: Lifecycle,
    routing: Dispatcher,
    request_table: RequestTable,
    change_log: ChangeLog,
    external_time: ExternalTime,
    /// Whether what the change log delivers may have been delayed on its way.
    heartbeats: Heartbeats,
    /// Shutdown: no new requests can arrive any more.
    intake_ended: bool,
    /// Shutdown: every request was answered, whether or not its client has taken the answer.
    drained: bool,
    /// Shutdown: all client connections are being closed.
    clients_closing: bool,
    /// Shutdown: the process exits by then.
    exit_by: Nanos,
    /// The local cache, if it is enabled.
    local_cache: Option<LocalCache>,
    /// Requests that wait for the disk, by slot; the routing policy does not know of them yet.
    disk_reads: HashMap<u32, PendingDiskRead>,
    /// The last event whose purge is marked on disk.
    last_marked_event: u64,
    /// What the routing policy was last told about the change log.
    reported_knowledge: Option<Knowledge>,
    staleness: StalenessReport,
    /// The node list and purges to save for a restart, if that is enabled.
    snapshot: Option<NodeListSnapshot>,
    /// The agreement on versions of the rules, if there is one.
    agreement: Option<RulesAgreement>,
    /// The settings under the rules in force.
    settings: Settings,
    /// The longest timeout of each content type under the rules in force.
    max_timeouts: Vec<Nanos>,
    /// Rate limit for warnings caused by clients.
    client_warnings: LogRateLimiter,
    /// Recent request ids, to recognize duplicates.
    duplicate_filter: DuplicateFilter,
    /// The configuration at the start, with the parts that were reloaded since.
    config: Config,
}

impl Reducer {
    /// A dispatcher that has not started.
    pub fn new(config: Config, epoch: Epoch) -> Self {
        let (cache_bytes, settings) = (config.copy_memory_bytes, &config.settings);
        let local_cache = (cache_bytes > 0).then(|| {
            let link = config.link_bytes_per_s;
            LocalCache::new(cache_bytes, link, &settings.content_types, settings.purge_done)
        });
        let mut request_table =
            RequestTable::new(config.connection_limits, config.limits, config.settings.seed.rotate_left(16));
        request_table.collects_copies = local_cache.is_some();
        let keep_purges = settings.purge_done.after(settings.purge_notice);
        let snapshot =
            config.snapshot.as_ref().map(|_| NodeListSnapshot::new(config.fingerprint(), keep_purges));
        let agreement = config.agreement.as_ref().map(|agreement| RulesAgreement::new(agreement, &config));
        let change_log = ChangeLog::new(ChangeLogSettings {
            addresses: config.change_log_addresses(),
            applied: config.known.seq,
            calls: config.reconnect,
            seed: config.settings.seed.rotate_left(32),
            unix_zero: epoch.unix_zero(),
            slack: config
                .agreement
                .as_ref()
                .map_or(DEFAULT_PROPAGATION_BOUND, |agreement| agreement.context.timing.propagation_bound),
            detects_log_restart: agreement.is_some(),
        });
        Reducer {
            agreement,
            settings: config.settings.clone(),
            max_timeouts: config.request_limits.iter().map(|offer| offer.max_timeout).collect(),
            local_cache,
            snapshot,
            disk_reads: HashMap::new(),
            last_marked_event: 0,
            reported_knowledge: None,
            staleness: StalenessReport::default(),
            lifecycle: Lifecycle::default(),
            routing: Dispatcher::new(config.settings.clone()),
            request_table,
            change_log,
            external_time: ExternalTime::new(epoch),
            heartbeats: Heartbeats::default(),
            intake_ended: false,
            drained: false,
            clients_closing: false,
            exit_by: Nanos::ZERO,
            client_warnings: LogRateLimiter::default(),
            duplicate_filter: DuplicateFilter::new(longest_expiry(&config), MAX_IDS),
            config,
        }
    }

    /// The number of the last event of the change log that was applied.
    pub fn applied(&self) -> u64 {
        self.change_log.applied()
    }

    /// The number of slots for nodes: those listed, and those that left recently.
    pub fn node_slot_count(&self) -> u32 {
        self.request_table.node_slot_count()
    }

    /// The number of slots for objects.
    pub fn object_slot_count(&self) -> u32 {
        self.request_table.object_slot_count()
    }

    /// The clients to close when descriptors run short, and as many more that may take their turn.
    pub fn idle_clients(&self, now: Nanos) -> Vec<u32> {
        self.request_table.clients.idle(2 * IDLE_CLOSE_BATCH, now)
    }

    /// The number of attempts in flight at each node: as the routing policy counts, and as the request table
    /// does.
    pub fn in_flight_counts(&self) -> Vec<(u32, u32)> {
        let nodes = (0..self.node_slot_count()).map(NodeId);
        nodes.map(|node| (self.routing.in_flight_at(node), self.request_table.in_flight_at(node))).collect()
    }

    /// Applies an event to the state and returns what the event loop is to do.
    pub fn reduce(&mut self, now: Nanos, event: Event<'_>) -> Vec<Effect> {
        self.request_table.now = now;
        self.refresh_rules(now);
        match event {
            Event::Started => self.start(now),
            Event::Accepted(number, from) => self.client_accepted(now, number, from),
            Event::Connected(Peer::Node(number)) => self.request_table.node_connected(number),
            Event::Connected(Peer::ChangeLog(number)) => self.change_log_connected(now, number),
            Event::Received(Peer::Client(number), bytes) => self.client_received(now, number, bytes),
            Event::Received(Peer::Node(number), bytes) => self.request_table.node_received(number, bytes),
            Event::Received(Peer::ChangeLog(number), bytes) => self.change_log_received(now, number, bytes),
            Event::Written(Peer::Client(number), total) => self.request_table.client_written(number, total),
            Event::Written(Peer::Node(number), total) => self.request_table.node_written(number, total),
            Event::OutputStale(Peer::Node(number)) => self.request_table.reencode_unsent(number),
            Event::InputUnread(clients) => self.request_table.clients.set_unread(clients),
            Event::InputDelay(span) => self.request_table.input_delay = span,
            Event::Closed(Peer::Client(number)) => self.client_closed(now, number),
            Event::EndOfStream(Peer::Client(number)) => self.client_finished_sending(now, number),
            Event::FinishedSending(Peer::Client(number)) => self.client_will_finish(now, number),
            Event::Closed(Peer::Node(number)) | Event::EndOfStream(Peer::Node(number)) => {
                self.request_table.node_closed(number)
            }
            Event::ConnectFailedLocally(Peer::Node(number)) => {
                self.request_table.node_connect_failed_locally(number)
            }
            Event::ConnectFailedLocally(Peer::ChangeLog(number)) => {
                self.change_log.connect_failed_locally(number, now, &mut self.request_table.effects);
            }
            Event::Closed(Peer::ChangeLog(number)) | Event::EndOfStream(Peer::ChangeLog(number)) => {
                self.change_log.closed(number, now, &mut self.request_table.effects);
                self.process_change_log(now);
            }
            Event::FinalReadDone => self.close_clients_for_exit(now),
            Event::TimerFired(timer) => self.timer_fired(now, timer),
            Event::Terminate => self.begin_draining(now),
            Event::Reload(config) => self.reload(now, config),
            Event::DiskReady(fingerprints, marked) => {
                self.last_marked_event = marked;
                self.local_cache.iter_mut().for_each(|cache| cache.disk_ready(fingerprints));
            }
            Event::CopyRead(ticket, copy) => self.copy_read(now, ticket, copy),
            Event::DiskOff => {
                self.local_cache.iter_mut().for_each(LocalCache::disk_off);
                self.continue_all_without_disk(now);
            }
            Event::NoDescriptors => {
                self.request_table.clients.free_descriptors(
                    IDLE_CLOSE_BATCH,
                    now,
                    &mut self.request_table.effects,
                );
            }
            Event::Connected(Peer::Client(_))
            | Event::ConnectFailedLocally(Peer::Client(_))
            | Event::FinishedSending(Peer::Node(_) | Peer::ChangeLog(_))
            | Event::OutputStale(Peer::Client(_) | Peer::ChangeLog(_))
            | Event::Written(Peer::ChangeLog(_), _) => {}
        }
        self.report_attempt_ends(now);
        self.report_knowledge(now);
        self.report_staleness(now);
        let is_finished = self.drained || (self.intake_ended && self.request_table.is_drained());
        if self.lifecycle.phase() == Phase::Draining && is_finished {
            self.lifecycle.move_to(Phase::Closing);
            self.request_table.effects.push(Effect::FinalRead);
        }
        if self.lifecycle.phase() == Phase::Closing
            && self.clients_closing
            && self.request_table.clients.count() == 0
        {
            self.lifecycle.move_to(Phase::Stopped);
            self.request_table.effects.push(Effect::Exit);
        }
        std::mem::take(&mut self.request_table.effects)
    }

    /// Puts the rules into force that apply by now. Leases run out and activation times are reached between
    /// events, so this comes before each decision.
    fn refresh_rules(&mut self, now: Nanos) {
        let Some(agreement) = &mut self.agreement else { return };
        if let Some((settings, max_timeouts)) =
            agreement.settings_if_changed(now, self.external_time.earliest_ms(now))
        {
            self.routing.settings_changed(&settings);
            (self.settings, self.max_timeouts) = (settings, max_timeouts);
        }
    }

    fn start(&mut self, now: Nanos) {
        self.routing.start(now, &mut self.request_table);
        self.config.known.results.iter().for_each(|change| self.external_time.observe_event(now, change));
        for change in std::mem::take(&mut self.config.known.results) {
            self.apply(now, &change, false);
        }
        if let (Some(agreement), Some(config)) = (&mut self.agreement, &self.config.agreement) {
            config
                .issued_versions
                .iter()
                .for_each(|version| self.external_time.observe_time(now, version.issued_ms));
            agreement.receive_versions(now, self.external_time.earliest_ms(now), &config.issued_versions);
        }
        self.refresh_rules(now);
        let has_list = self.lifecycle.phase() == Phase::Serving;
        self.change_log.start(has_list, now, &mut self.request_table.effects);
        self.request_table.effects.push(Effect::Arm(now.after(SWEEP_INTERVAL), TimerKind::Sweep));
    }

    /// The longest timeout of any request.
    fn longest_timeout(&self) -> Nanos {
        longest_expiry(&self.config)
    }

    /// Above this number of clients, idle ones are closed.
    fn idle_close_threshold(&self) -> usize {
        self.config.limits.sockets as usize / 2
    }

    /// The most clients that are kept; the remaining descriptors are for nodes and the process itself.
    fn max_clients(&self) -> usize {
        (self.config.limits.sockets as usize * 3 / 4)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(self.idle_close_threshold())
    }

    /// A client that takes none of its output for this long is dismissed.
    fn client_stall_timeout(&self) -> Nanos {
        let idle = self.config.connection_limits.peer_idle_timeout;
        if idle > Nanos::ZERO { idle } else { Nanos(u64::MAX) }
    }
}

/// The longest timeout of any request.
fn longest_expiry(config: &Config) -> Nanos {
    config.request_limits.iter().map(|offer| offer.max_timeout).max().unwrap_or_default()
}
