//! The event loop: carries sockets, timers and signals to the reducer, and out what it asks for.

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
use startup::{listen, modified, open_disk, open_list};

/// Bytes read from one connection in one turn, so that none holds up the others.
const READ_AT_ONCE: usize = 256 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Connections accepted in one turn.
const ACCEPTED_AT_ONCE: usize = 64;
/// How often it is looked whether the operator's file has changed, where versions of rules come with it.
const WATCHED: Duration = Duration::from_secs(1);
/// Without a descriptor for a client that waits, the listener rests for so long.
const REST: Nanos = Nanos(20_000_000);
/// So long the loop stands still where this machine can't do what it's asked for, so that it doesn't ask on and on.
const PAUSE: Duration = Duration::from_millis(1);

type Source = calloop::Dispatcher<'static, Generic<Rc<TcpStream>>, Inbox>;

/// What one turn of the loop has found.
#[derive(Default)]
struct Inbox {
    ready: Vec<(Peer, Readiness)>,
    accept: bool,
    terminate: bool,
    reload: bool,
    disk: Vec<Told>,
}

/// What the disk's thread tells.
enum Told {
    /// A copy was read for a ticket, or none is there.
    Read(u64, Option<(Facts, Vec<u8>)>),
    /// The disk is off.
    Off,
    /// It is there again, empty, under this number.
    Ready(u64),
}

/// Brings it to the loop.
struct Bring(Sender<Told>);

impl Answers for Bring {
    fn read(&self, ticket: u64, copy: Option<(Facts, Vec<u8>)>) {
        let _ = self.0.send(Told::Read(ticket, copy));
    }

    fn marked(&self, _seq: u64) {}

    fn off(&self) {
        let _ = self.0.send(Told::Off);
    }

    fn ready(&self, opened: u64) {
        let _ = self.0.send(Told::Ready(opened));
    }
}

struct Carrier {
    handle: LoopHandle<'static, Inbox>,
    clock: Clock,
    reducer: Reducer,
    connections: HashMap<Peer, Connection>,
    /// Where clients connect; none at the end.
    listener: Option<Rc<TcpListener>>,
    listening: RegistrationToken,
    /// The listener rests until then.
    rests_until: Option<Nanos>,
    /// The loop is to stand still for a moment.
    pauses: bool,
    /// What the reducer has asked for and is not carried out yet, in order: carrying out one thing may bring more.
    effects: VecDeque<Effect>,
    carrying: bool,
    /// All that the reducer has armed and is not due yet.
    deadlines: Deadlines<TimerKind>,
    /// Connections with something new to write.
    dirty: Vec<Peer>,
    /// Connections to nodes that are not written to before clients are looked at again.
    held_back: Vec<Peer>,
    freshness: Freshness,
    /// When what is asked for now was asked for.
    asked_at: Nanos,
    /// For how long what clients have sent may have lain unread, as the reducer was told last.
    unread: Nanos,
    /// Room for what is read.
    scratch: Vec<u8>,
    /// All that clients have sent is to be told, for the last time.
    reads_last: bool,
    last_client: u32,
    complaints: LogRateLimiter,
    stopped: bool,
    /// The disk's thread, where there is one.
    disk: Option<Worker>,
    /// The thread that keeps the last good list, where there is one.
    snapshot_writer: Option<SnapshotWriter>,
}

/// Serves with the configuration in these files, as it was read from them, until told to end.
pub fn serve(sources: &ConfigFiles, mut config: Config) -> Result<(), String> {
    let said = |what: &'static str| move |fault: calloop::Error| format!("{what}: {fault}");
    let listener = listen(config.listen).map_err(|fault| format!("{}: {fault}", config.listen))?;
    let mut event_loop: EventLoop<'static, Inbox> = EventLoop::try_new().map_err(said("event loop"))?;
    let handle = event_loop.handle();
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(said("signals"))?;
    // Its thread must come after the signals are kept from all threads, or they would end it and the program.
    let log = logs::start();
    handle
        .insert_source(signals, |event, _, inbox| match event.signal() {
            Signal::SIGHUP => inbox.reload = true,
            _ => inbox.terminate = true,
        })
        .map_err(|fault| said("signals")(fault.error))?;
    let listener = Rc::new(listener);
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let listening = handle
        .insert_source(source, |_, _, inbox| {
            inbox.accept = true;
            Ok(PostAction::Continue)
        })
        .map_err(|fault| said("listener")(fault.error))?;
    let limits = config.limits;
    log::info!(
        "{} listens on {}, {} MB, {} descriptors",
        config.name,
        config.listen,
        limits.memory_mb,
        limits.sockets
    );
    let clock = Clock::start();
    let snapshot_writer = open_list(&mut config, &clock)?;
    // What is known may have come from the last good list: the disk is judged by that.
    let disk = open_disk(&config)?;
    let watched = config.agreement.is_some();
    let reducer = Reducer::new(config, clock.epoch());
    let mut carrier = Carrier {
        handle,
        clock,
        reducer,
        connections: HashMap::new(),
        listener: Some(listener),
        listening,
        rests_until: None,
        pauses: false,
        effects: VecDeque::new(),
        carrying: false,
        deadlines: Deadlines::default(),
        dirty: Vec::new(),
        held_back: Vec::new(),
        freshness: Freshness::new(clock.now()),
        asked_at: Nanos::ZERO,
        unread: Nanos::ZERO,
        scratch: vec![0; READ_AT_ONCE],
        reads_last: false,
        last_client: 0,
        complaints: LogRateLimiter::default(),
        stopped: false,
        disk: None,
        snapshot_writer,
    };
    let mut inbox = Inbox::default();
    let (mut due, mut put_off) = (Vec::new(), TimerPostponement::default());
    if let Some((location, disk)) = disk {
        let (tell, told) = channel();
        carrier
            .handle
            .insert_source(told, |event, _, inbox| {
                if let calloop::channel::Event::Msg(told) = event {
                    inbox.disk.push(told);
                }
            })
            .map_err(|fault| said("disk")(fault.error))?;
        let there = disk.as_ref().ok().map(|disk| (disk.prints(), disk.seq()));
        carrier.disk = Some(Worker::start_at(location, disk, Bring(tell)));
        if let Some((prints, marked)) = there {
            carrier.reduce(Event::DiskReady(&prints, marked));
        }
    }
    if let Some(path) = sources.operator.clone().filter(|_| watched) {
        let mut seen = modified(&path);
        let watch = Timer::from_duration(WATCHED);
        let inserted = carrier.handle.insert_source(watch, move |_, _, inbox| {
            let now = modified(&path);
            inbox.reload |= std::mem::replace(&mut seen, now) != now;
            TimeoutAction::ToDuration(WATCHED)
        });
        inserted.map_err(|fault| said("timer")(fault.error))?;
    }
    carrier.reduce(Event::Started);
    while !carrier.stopped {
        carrier.flush_all();
        // What was put off, or held back, waits for nothing.
        let began = carrier.clock.now();
        let at_once = put_off.is_active() || !carrier.dirty.is_empty();
        let wait = if at_once { Some(Duration::ZERO) } else { carrier.until_first_deadline(began) };
        let dispatched = event_loop.dispatch(wait, &mut inbox);
        let found = carrier.clock.now();
        match dispatched {
            Ok(()) => carrier.freshness.polled(began, wait, found),
            // What it has found before it failed is in the inbox; the rest shows again.
            Err(fault) => {
                carrier.complaints.warn(found, format_args!("event loop: {fault}"));
                carrier.pauses = true;
            }
        }
        // Due is what was so by now: what falls due while this turn reads has the next one read before it.
        carrier.deadlines.take_due(found, &mut due);
        if std::mem::take(&mut inbox.terminate) {
            carrier.reduce(Event::Terminate);
        }
        if std::mem::take(&mut inbox.reload) {
            carrier.reload(sources);
        }
        // What has come is read before time is called on it: after a pause of the machine's all seems overdue.
        // Drains and purges come first, then clients that leave, so that no node's answer leads to an attempt for who has
        // left, or to a node that drains. Each connection is read once; what is due waits while more may lie behind.
        let mut ready = std::mem::take(&mut inbox.ready);
        ready.sort_by_key(|(peer, _)| match peer {
            Peer::ChangeLog(_) => 0,
            Peer::Client(_) => 1,
            Peer::Node(_) => 2,
        });
        let mut more = false;
        for (peer, readiness) in ready {
            more |= carrier.ready(peer, readiness);
        }
        std::mem::take(&mut inbox.disk).into_iter().for_each(|told| carrier.disk_told(told));
        if !put_off.postpone(found, more && !due.is_empty()) {
            due.drain(..).for_each(|due| carrier.reduce(Event::TimerFired(due)));
        }
        carrier.listen_on(std::mem::take(&mut inbox.accept));
        if std::mem::take(&mut carrier.reads_last) {
            carrier.read_last();
        }
        if std::mem::take(&mut carrier.pauses) {
            std::thread::sleep(PAUSE);
        }
    }
    carrier.flush_all();
    if let Some(disk) = carrier.disk.take() {
        disk.stop();
    }
    if let Some(snapshot_writer) = carrier.snapshot_writer.take() {
        snapshot_writer.stop();
    }
    log.finish();
    Ok(())
}

impl Carrier {
    /// How long the loop may wait for the first deadline, to the nanosecond: a wait that ended before it would only be
    /// followed by a further one. Nothing where none stands.
    fn until_first_deadline(&self, now: Nanos) -> Option<Duration> {
        let first = self.deadlines.first().into_iter().chain(self.rests_until).min()?;
        Some(Duration::from_nanos(first.since(now).0))
    }

    /// Arms a deadline. Once many stand, those of requests that have ended are forgotten.
    fn arm(&mut self, at: Nanos, due: TimerKind) {
        self.deadlines.arm(at, due);
        if self.deadlines.needs_pruning() {
            self.deadlines.prune(|due| self.reducer.is_timer_needed(due));
        }
    }

    /// Hands in an event. What it asks for is carried out behind what was asked for before, as carrying that out may
    /// have brought this event.
    fn reduce(&mut self, event: Event<'_>) {
        let now = self.clock.now();
        self.effects.extend(self.reducer.reduce(now, event));
        self.asked_at = now;
        if std::mem::replace(&mut self.carrying, true) {
            return;
        }
        while let Some(effect) = self.effects.pop_front() {
            self.carry_out(effect);
        }
        self.carrying = false;
    }

    fn disk_told(&mut self, told: Told) {
        match told {
            Told::Read(ticket, copy) => {
                let copy = copy.as_ref().map(|(facts, body)| (*facts, body.as_slice()));
                self.reduce(Event::CopyRead(ticket, copy));
            }
            Told::Off => self.reduce(Event::DiskOff),
            Told::Ready(opened) => {
                self.disk.iter_mut().for_each(|disk| disk.resume(opened));
                self.reduce(Event::DiskReady(&[], 0));
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(peer, address) => self.connect(peer, address),
            Effect::Write(peer, bytes) => self.write(peer, bytes),
            Effect::TruncateOutput(peer, from) => self.retract(peer, from),
            Effect::SetReading(peer, wanted) => {
                if let Some(connection) = self.connections.get_mut(&peer) {
                    connection.reads = wanted;
                }
                self.set_interest(peer);
            }
            Effect::CloseLingering(peer, behind) => self.shut(peer, behind),
            Effect::Close(peer) => self.close(peer),
            Effect::FinalRead => self.reads_last = true,
            Effect::Arm(at, due) => self.arm(at, due),
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

    /// Reads the configuration again; one that can't be used changes nothing.
    fn reload(&mut self, sources: &ConfigFiles) {
        match sources.read() {
            Ok(config) => self.reduce(Event::Reload(&config)),
            Err(fault) => log::error!("configuration: not taken: {fault}"),
        }
    }
}
