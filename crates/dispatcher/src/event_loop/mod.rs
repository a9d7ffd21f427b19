//! The event loop. It turns what happens to sockets, timers, signals and files into events for the reducer, and
//! executes the effects that the reducer returns. `main` calls [`serve`], which returns when the program ends.

use crate::clock::Clock;
use crate::config::{Config, ConfigFiles};
use crate::deadlines::Deadlines;
use crate::effects::{Effect, Event, Peer, TimerKind, TrailingInput};
use crate::freshness::{Freshness, TimerPostponement};
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
mod opening;
mod startup;
mod writing;

use connections::Connection;
use startup::{listen, load_snapshot, modified_at, open_disk};

/// Size of the read buffer: the bytes taken by one read of a connection, so that none delays the others.
const READ_BUFFER_BYTES: usize = 256 * 1024;
/// Limit on connections that wait to be accepted (the backlog of `listen`).
const BACKLOG: i32 = 1024;
/// Limit on connections accepted in one turn of the loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Interval at which the operator's file is checked for changes, if it may bring rule versions.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause of accepting after `accept` has failed, as it does without a free descriptor.
const ACCEPT_PAUSE: Nanos = Nanos(20_000_000);
/// Pause of the whole loop after a call has failed for a local reason, so that the loop does not spin on the failure.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

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
    /// The loop must pause for [`ERROR_PAUSE`] after this turn.
    needs_pause: bool,
    /// Effects that are not executed yet, in order; executing one may add more.
    effects: VecDeque<Effect>,
    /// An effect is being executed, so `reduce` only queues new ones.
    executing: bool,
    /// Timers that the reducer has armed and that are not due yet.
    deadlines: Deadlines<TimerKind>,
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
        needs_pause: false,
        effects: VecDeque::new(),
        executing: false,
        deadlines: Deadlines::default(),
        has_output: Vec::new(),
        awaiting_poll: Vec::new(),
        freshness: Freshness::new(clock.now()),
        requested_at: Nanos::ZERO,
        input_delay: Nanos::ZERO,
        read_buffer: vec![0; READ_BUFFER_BYTES],
        wants_final_read: false,
        last_client: 0,
        log_limiter: LogRateLimiter::default(),
        stopped: false,
        disk: None,
        snapshot_writer,
    };
    let mut inbox = Inbox::default();
    let (mut due, mut postponement) = (Vec::new(), TimerPostponement::default());
    if let Some((location, disk)) = disk {
        let (sender, messages) = channel();
        driver
            .handle
            .insert_source(messages, |event, _, inbox| {
                if let calloop::channel::Event::Msg(message) = event {
                    inbox.disk.push(message);
                }
            })
            .map_err(|fault| context("disk")(fault.error))?;
        let opened = disk.as_ref().ok().map(|disk| (disk.prints(), disk.seq()));
        driver.disk = Some(Worker::start_at(location, disk, DiskSender(sender)));
        if let Some((fingerprints, marked_seq)) = opened {
            driver.reduce(Event::DiskReady(&fingerprints, marked_seq));
        }
    }
    if let Some(path) = sources.operator.clone().filter(|_| has_rule_versions) {
        let mut last_modified = modified_at(&path);
        let watch = Timer::from_duration(FILE_CHECK_INTERVAL);
        let inserted = driver.handle.insert_source(watch, move |_, _, inbox| {
            let modified = modified_at(&path);
            inbox.reload |= std::mem::replace(&mut last_modified, modified) != modified;
            TimeoutAction::ToDuration(FILE_CHECK_INTERVAL)
        });
        inserted.map_err(|fault| context("timer")(fault.error))?;
    }
    driver.reduce(Event::Started);
    while !driver.stopped {
        driver.flush_all();
        // With postponed timers or output the loop polls without waiting.
        let poll_started = driver.clock.now();
        let polls_at_once = postponement.is_active() || !driver.has_output.is_empty();
        let wait =
            if polls_at_once { Some(Duration::ZERO) } else { driver.time_to_first_deadline(poll_started) };
        let dispatched = event_loop.dispatch(wait, &mut inbox);
        let poll_ended = driver.clock.now();
        match dispatched {
            Ok(()) => driver.freshness.polled(poll_started, wait, poll_ended),
            // What was found before the failure is in the inbox; the rest is reported by the next poll.
            Err(fault) => {
                driver.log_limiter.warn(poll_ended, format_args!("event loop: {fault}"));
                driver.needs_pause = true;
            }
        }
        // Timers that become due while this turn reads are left for the next turn, after it has read its input.
        driver.deadlines.take_due(poll_ended, &mut due);
        if std::mem::take(&mut inbox.terminate) {
            driver.reduce(Event::Terminate);
        }
        if std::mem::take(&mut inbox.reload) {
            driver.reload(sources);
        }
        // Input is read before timers fire: after the machine has stopped the program, every timer seems overdue
        // although the input may have come in time. The change log is read first (drains, purges), then clients
        // (aborts, closed connections), then nodes, so that an answer leads neither to an attempt for a client that
        // has gone nor to one at a node that drains. Reads of a connection are limited per turn; timers wait while more
        // input may be unread.
        let mut ready = std::mem::take(&mut inbox.ready);
        ready.sort_by_key(|(peer, _)| match peer {
            Peer::ChangeLog(_) => 0,
            Peer::Client(_) => 1,
            Peer::Node(_) => 2,
        });
        let mut may_have_more = false;
        for (peer, readiness) in ready {
            may_have_more |= driver.ready(peer, readiness);
        }
        std::mem::take(&mut inbox.disk).into_iter().for_each(|message| driver.disk_reported(message));
        if !postponement.postpone(poll_ended, may_have_more && !due.is_empty()) {
            due.drain(..).for_each(|timer| driver.reduce(Event::TimerFired(timer)));
        }
        driver.accept_clients(std::mem::take(&mut inbox.accept));
        if std::mem::take(&mut driver.wants_final_read) {
            driver.read_final_input();
        }
        if std::mem::take(&mut driver.needs_pause) {
            std::thread::sleep(ERROR_PAUSE);
        }
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
    /// How long the loop may wait for the first deadline; `None` if there is none. Exact to the nanosecond, as a wait
    /// that ended too early would only be followed by another.
    fn time_to_first_deadline(&self, now: Nanos) -> Option<Duration> {
        let first = self.deadlines.first().into_iter().chain(self.accept_paused_until).min()?;
        Some(Duration::from_nanos(first.since(now).0))
    }

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

    fn disk_reported(&mut self, message: DiskMessage) {
        match message {
            DiskMessage::Read(ticket, copy) => {
                let copy = copy.as_ref().map(|(facts, body)| (*facts, body.as_slice()));
                self.reduce(Event::CopyRead(ticket, copy));
            }
            DiskMessage::Off => self.reduce(Event::DiskOff),
            DiskMessage::Ready(opened) => {
                self.disk.iter_mut().for_each(|disk| disk.resume(opened));
                self.reduce(Event::DiskReady(&[], 0));
            }
        }
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
