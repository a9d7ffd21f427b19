//! The event loop. It turns what happens to sockets, timers, signals and files into events for the reducer, and
//! executes the effects that the reducer returns. `main` calls [`serve`], which returns when the program ends.

use crate::accept_backlog::AcceptBacklog;
use crate::clock::Clock;
use crate::config::{Config, ConfigFiles};
use crate::deadlines::Deadlines;
use crate::due_timers::DueTimers;
use crate::effects::{Effect, Event, Peer, TimerKind, TrailingInput};
use crate::freshness::Freshness;
use crate::input_queue::{MAX_SLICE_BYTES, UnreadInputs};
use crate::logs::{self, LogRateLimiter};
use crate::purge_coverage::covers_purges_after;
use crate::reducer::Reducer;
use crate::snapshot_writer::{self, SnapshotWriter};
use calloop::channel::{Sender, channel};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use copperroute_cache_store::disk::{Disk, Found, Limits, Location, Sync};
use copperroute_cache_store::record::Facts;
use copperroute_cache_store::worker::{Answers, Worker};
use copperroute_protocol::changes::KnownEvents;
use copperroute_routing::interface::Nanos;
use copperroute_settings::operator::{SequenceNumbers, SyncPolicy};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

mod connections;
mod departures;
mod opening;
mod reading;
mod startup;
mod turn;
mod writing;

use connections::Connection;
use startup::{listen, load_snapshot, open_disk};

/// Limit on connections that wait to be accepted (the backlog of `listen`); the kernel lets one more wait.
const BACKLOG: i32 = 1024;
/// Limit on connections accepted in one turn of the loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Pause of accepting after `accept` has failed, as it does without a free descriptor.
const ACCEPT_PAUSE: Nanos = Nanos(20_000_000);

type Source = calloop::Dispatcher<'static, Generic<Rc<TcpStream>>, Inbox>;

/// What one turn of the loop has found to do.
#[derive(Default)]
struct Inbox {
    ready: Vec<(Peer, Readiness)>,
    accept: bool,
    terminate: bool,
    reload: bool,
    disk: Vec<DiskMessage>,
}

/// A message from the disk thread.
enum DiskMessage {
    /// The result of the read with this ticket; `None` if there is no copy.
    Read(u64, Option<(Facts, Vec<u8>)>),
    /// The disk has failed and is off.
    Off,
    /// The disk works again and is empty; the number identifies this opening.
    Ready(u64),
}

/// Sends the disk thread's messages to the event loop.
struct DiskSender(Sender<DiskMessage>);

impl Answers for DiskSender {
    fn read(&self, ticket: u64, copy: Option<(Facts, Vec<u8>)>) {
        let _ = self.0.send(DiskMessage::Read(ticket, copy));
    }

    fn marked(&self, _seq: u64) {}

    fn off(&self) {
        let _ = self.0.send(DiskMessage::Off);
    }

    fn ready(&self, opened: u64) {
        let _ = self.0.send(DiskMessage::Ready(opened));
    }
}

/// The state of the event loop.
struct Driver {
    handle: LoopHandle<'static, Inbox>,
    clock: Clock,
    reducer: Reducer,
    connections: HashMap<Peer, Connection>,
    /// The socket on which clients connect; `None` once the program is ending.
    listener: Option<Rc<TcpListener>>,
    listener_token: RegistrationToken,
    /// Accepting is paused until then.
    accept_paused_until: Option<Nanos>,
    /// Clients that wait to be accepted.
    backlog: AcceptBacklog,
    /// The loop must pause after this turn, as a call has failed for a local reason.
    needs_pause: bool,
    /// Effects that are not executed yet, in order; executing one may add more.
    effects: VecDeque<Effect>,
    /// An effect is being executed, so `reduce` only queues new ones.
    executing: bool,
    /// Timers that the reducer has armed and that are not due yet.
    deadlines: Deadlines<TimerKind>,
    due_timers: DueTimers<TimerKind>,
    /// Connections that may have input.
    unread: UnreadInputs,
    /// Some of them are clients, as last reported to the reducer.
    has_unread_clients: bool,
    /// Connections with new output.
    has_output: Vec<Peer>,
    /// Connections to nodes that are not written to until the clients' sockets have been polled again.
    awaiting_poll: Vec<Peer>,
    freshness: Freshness,
    /// When the effects that are being executed were returned.
    requested_at: Nanos,
    /// How long input of clients may have been unread, as last reported to the reducer.
    input_delay: Nanos,
    read_buffer: Vec<u8>,
    /// The reducer has asked for the final read of all clients.
    wants_final_read: bool,
    /// The number of the last accepted client connection.
    last_client: u32,
    log_limiter: LogRateLimiter,
    stopped: bool,
    /// The disk thread, if there is a disk tier.
    disk: Option<Worker>,
    /// The thread that writes the snapshot of the node list, if snapshots are configured.
    snapshot_writer: Option<SnapshotWriter>,
}

/// Runs the dispatcher until it is told to end. `config` was read from the files in `sources`, which are read again on
/// a reload. An error is one line on what could not be opened or started.
pub fn serve(sources: &ConfigFiles, mut config: Config) -> Result<(), String> {
    let context = |what: &'static str| move |fault: calloop::Error| format!("{what}: {fault}");
    let listener = listen(config.listen).map_err(|fault| format!("{}: {fault}", config.listen))?;
    let mut event_loop: EventLoop<'static, Inbox> = EventLoop::try_new().map_err(context("event loop"))?;
    let handle = event_loop.handle();
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(context("signals"))?;
    // `Signals::new` blocks the signals in this thread, and later threads inherit that. A log thread started before
    // would not block them, and a signal delivered to it would end the program.
    let log = logs::start();
    handle
        .insert_source(signals, |event, _, inbox| match event.signal() {
            Signal::SIGHUP => inbox.reload = true,
            _ => inbox.terminate = true,
        })
        .map_err(|fault| context("signals")(fault.error))?;
    let listener = Rc::new(listener);
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let listening = handle
        .insert_source(source, |_, _, inbox| {
            inbox.accept = true;
            Ok(PostAction::Continue)
        })
        .map_err(|fault| context("listener")(fault.error))?;
    let limits = config.limits;
    log::info!(
        "{} listens on {}, {} MB, {} descriptors",
        config.name,
        config.listen,
        limits.memory_mb,
        limits.sockets
    );
    let clock = Clock::start();
    let snapshot_writer = load_snapshot(&mut config, &clock)?;
    // After the snapshot: `config.known` may come from it, and decides whether the disk's content is kept.
    let disk = open_disk(&config)?;
    let has_rule_versions = config.agreement.is_some();
    let reducer = Reducer::new(config, clock.epoch());
    let mut driver = Driver {
        handle,
        clock,
        reducer,
        connections: HashMap::new(),
        listener: Some(listener),
        listener_token: listening,
        accept_paused_until: None,
        backlog: AcceptBacklog::new(BACKLOG as u64 + 1),
        needs_pause: false,
        effects: VecDeque::new(),
        executing: false,
        deadlines: Deadlines::default(),
        due_timers: DueTimers::default(),
        unread: UnreadInputs::default(),
        has_unread_clients: false,
        has_output: Vec::new(),
        awaiting_poll: Vec::new(),
        freshness: Freshness::new(clock.now()),
        requested_at: Nanos::ZERO,
        input_delay: Nanos::ZERO,
        read_buffer: vec![0; MAX_SLICE_BYTES],
        wants_final_read: false,
        last_client: 0,
        log_limiter: LogRateLimiter::default(),
        stopped: false,
        disk: None,
        snapshot_writer,
    };
    if let Some(disk) = disk {
        driver.start_disk(disk).map_err(context("disk"))?;
    }
    if let Some(path) = sources.operator.clone().filter(|_| has_rule_versions) {
        driver.watch_operator_file(path).map_err(context("timer"))?;
    }
    driver.reduce(Event::Started);
    let mut inbox = Inbox::default();
    while !driver.stopped {
        driver.turn(&mut event_loop, &mut inbox, sources);
    }
    driver.flush_all();
    if let Some(disk) = driver.disk.take() {
        disk.stop();
    }
    if let Some(snapshot_writer) = driver.snapshot_writer.take() {
        snapshot_writer.stop();
    }
    log.finish();
    Ok(())
}

impl Driver {
    /// Arms a timer. Once there are many, those of requests that have ended are removed.
    fn arm(&mut self, at: Nanos, timer: TimerKind) {
        self.deadlines.arm(at, timer);
        if self.deadlines.needs_pruning() {
            self.deadlines.prune(|timer| self.reducer.is_timer_needed(timer));
        }
    }

    /// Passes an event to the reducer and executes its effects. They are queued behind earlier effects, as executing
    /// one of these may have caused the event.
    fn reduce(&mut self, event: Event<'_>) {
        let now = self.clock.now();
        self.effects.extend(self.reducer.reduce(now, event));
        self.requested_at = now;
        if std::mem::replace(&mut self.executing, true) {
            return;
        }
        while let Some(effect) = self.effects.pop_front() {
            self.execute(effect);
        }
        self.executing = false;
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(peer, address) => self.connect(peer, address),
            Effect::Write(peer, bytes) => self.write(peer, bytes),
            Effect::TruncateOutput(peer, from) => self.truncate_output(peer, from),
            Effect::SetReading(peer, wanted) => {
                if let Some(connection) = self.connections.get_mut(&peer) {
                    connection.wants_input = wanted;
                }
                self.set_interest(peer);
            }
            Effect::CloseLingering(peer, input) => self.close_lingering(peer, input),
            Effect::Close(peer) => self.close(peer),
            Effect::FinalRead => self.wants_final_read = true,
            Effect::Arm(at, timer) => self.arm(at, timer),
            Effect::ReadCopy(key, ticket) => {
                if !self.disk.as_ref().is_some_and(|disk| disk.read(key, ticket)) {
                    self.reduce(Event::CopyRead(ticket, None));
                }
            }
            Effect::KeepCopy(key, facts, rank, body) => {
                if let Some(disk) = &self.disk {
                    disk.write(key, facts, rank, body);
                }
            }
            Effect::MarkObjectPurged(object, at_ms, seq) => {
                self.disk.iter().for_each(|disk| disk.purge_object(object, at_ms, seq));
            }
            Effect::MarkGroupPurged(group, at_ms, seq) => {
                self.disk.iter().for_each(|disk| disk.purge_group(group, at_ms, seq));
            }
            Effect::SaveNodeList(bytes) => {
                if let Some(snapshot_writer) = &self.snapshot_writer {
                    snapshot_writer.save(bytes);
                }
            }
            Effect::Exit => self.stopped = true,
        }
    }

    /// Reads the configuration again. If it can't be used, the previous one stays in force.
    fn reload(&mut self, sources: &ConfigFiles) {
        match sources.read() {
            Ok(config) => self.reduce(Event::Reload(&config)),
            Err(fault) => log::error!("configuration: not reloaded: {fault}"),
        }
    }
}
