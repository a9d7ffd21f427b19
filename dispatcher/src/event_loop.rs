//! The event loop: carries sockets, timers and signals to the reducer, and out what it asks for.

use crate::clock::Clock;
use crate::config::{Config, Sources};
use crate::effects::{Due, Effect, Event, Peer};
use crate::keeper::{self, Keeper};
use crate::logs::{self, Sparse};
use crate::reducer::Reducer;
use calloop::channel::{Sender, channel};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use copperroute_settings::operator::{Numbers, SyncWhen};
use copperroute_store::disk::{Disk, Limits, Sync};
use copperroute_store::record::Facts;
use copperroute_store::worker::{Answers, Worker};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// Bytes read from one connection in one turn, so that none holds up the others.
const READ_AT_ONCE: usize = 256 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Connections accepted in one turn.
const ACCEPTED_AT_ONCE: usize = 64;
/// How often it is looked whether the operator's file has changed, where versions of rules come with it.
const WATCHED: Duration = Duration::from_secs(1);
/// Without a descriptor for a client that waits, the listener rests for so long.
const REST: Duration = Duration::from_millis(20);

type Source = calloop::Dispatcher<'static, Generic<Rc<TcpStream>>, Inbox>;

/// What one turn of the loop has found.
#[derive(Default)]
struct Inbox {
    ready: Vec<(Peer, Readiness)>,
    due: Vec<Due>,
    accept: bool,
    rested: bool,
    terminate: bool,
    reload: bool,
    disk: Vec<Told>,
}

/// What the disk's thread tells.
struct Told {
    ticket: u64,
    copy: Option<(Facts, Vec<u8>)>,
    off: bool,
}

/// Brings it to the loop.
struct Bring(Sender<Told>);

impl Answers for Bring {
    fn read(&self, ticket: u64, copy: Option<(Facts, Vec<u8>)>) {
        let _ = self.0.send(Told { ticket, copy, off: false });
    }

    fn marked(&self, _seq: u64) {}

    fn off(&self) {
        let _ = self.0.send(Told { ticket: 0, copy: None, off: true });
    }
}

/// A connection, and what it has still to write.
struct Connection {
    stream: Rc<TcpStream>,
    source: Source,
    token: RegistrationToken,
    connecting: bool,
    /// Its bytes are wanted.
    reads: bool,
    unwritten: Vec<u8>,
    at: usize,
    /// Bytes that have left in all.
    left: u64,
}

struct Carrier {
    handle: LoopHandle<'static, Inbox>,
    clock: Clock,
    reducer: Reducer,
    connections: HashMap<Peer, Connection>,
    /// Connections with something new to write.
    dirty: Vec<Peer>,
    last_client: u32,
    complaints: Sparse,
    stopped: bool,
    /// The disk's thread, where there is one.
    disk: Option<Worker>,
    /// The thread that keeps the last good list, where there is one.
    keeper: Option<Keeper>,
}

/// Listens, also at once after another process did so, with room for a burst of new connections.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Opens the disk tier, where the operators want one. A folder in use ends the start; any other failure leaves the
/// tier off. Where the change log's numbers, or its events up to the start, do not reach back to what is marked on
/// disk, a purge may have been missed: nothing is kept of what was there.
fn open_disk(config: &Config) -> Result<Option<Disk>, String> {
    let Some(tier) = &config.disk_tier else { return Ok(None) };
    let limits = Limits {
        most_bytes: tier.most_mb * 1_000_000,
        segment_bytes: (tier.segment_mb * 1_000_000).min(u64::from(u32::MAX)) as u32,
        sync: match tier.sync {
            SyncWhen::Never => Sync::Never,
            SyncWhen::Segments => Sync::Segments,
            SyncWhen::Always => Sync::Always,
        },
    };
    let named = |fault: io::Error| format!("store: {}: {fault}", tier.folder.display());
    let (mut disk, found) = match Disk::open(&tier.folder, limits) {
        Ok(opened) => opened,
        Err(fault) if fault.kind() == ErrorKind::WouldBlock => return Err(named(fault)),
        Err(fault) => {
            log::warn!("{}: off until a restart", named(fault));
            return Ok(None);
        }
    };
    let reaches = config.known.results.first().is_none_or(|first| first.seq <= disk.seq() + 1);
    let trusted = tier.change_log == Numbers::Lasting && reaches && disk.seq() <= config.known.seq;
    if !trusted && found.copies > 0 {
        disk.clear().map_err(named)?;
    }
    log::info!("store: {} copies found, {} kept, {} bytes read", found.copies, disk.sizes().0, found.scanned);
    Ok(Some(disk))
}

/// Finds the last good list, where the operators want one kept: it stands in for what the configuration knows if it is
/// newer. One that does not do is as if absent. A folder that can't be made ends the start.
fn open_list(config: &mut Config, clock: &Clock) -> Result<Option<Keeper>, String> {
    let Some(told) = config.last_list.clone() else { return Ok(None) };
    let most_age_ms = (told.most_age_s * 1e3) as u64;
    let unix_ms = clock.epoch().unix_ms(clock.now());
    match keeper::find(&told.folder, unix_ms, config.print(), most_age_ms, config.known.seq) {
        Ok(Some((known, age_ms))) => {
            log::info!("list: of event {}, {:.1} s old, taken", known.seq, age_ms as f64 / 1e3);
            config.known = known;
        }
        Ok(None) => log::info!("list: {}: none kept yet", told.folder.display()),
        Err(why) => log::warn!("list: {why}; as if absent"),
    }
    Keeper::start(told.folder.clone())
        .map(Some)
        .map_err(|fault| format!("list: {}: {fault}", told.folder.display()))
}

/// When a file was last changed, if it is there.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|told| told.modified()).ok()
}

/// Serves with the configuration in these files, as it was read from them, until told to end.
pub fn serve(sources: &Sources, mut config: Config) -> Result<(), String> {
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
    let disk = open_disk(&config)?;
    let clock = Clock::start();
    let keeper = open_list(&mut config, &clock)?;
    let watched = config.agreeing.is_some();
    let reducer = Reducer::new(config, clock.epoch());
    let mut carrier = Carrier {
        handle,
        clock,
        reducer,
        connections: HashMap::new(),
        dirty: Vec::new(),
        last_client: 0,
        complaints: Sparse::default(),
        stopped: false,
        disk: None,
        keeper,
    };
    let mut scratch = vec![0; READ_AT_ONCE];
    let mut inbox = Inbox::default();
    if let Some(disk) = disk {
        let (tell, told) = channel();
        carrier
            .handle
            .insert_source(told, |event, _, inbox| {
                if let calloop::channel::Event::Msg(told) = event {
                    inbox.disk.push(told);
                }
            })
            .map_err(|fault| said("disk")(fault.error))?;
        let (prints, marked) = (disk.prints(), disk.seq());
        carrier.disk = Some(Worker::start(disk, Bring(tell)));
        carrier.reduce(Event::DiskReady(&prints, marked));
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
        event_loop.dispatch(None, &mut inbox).map_err(said("event loop"))?;
        if std::mem::take(&mut inbox.terminate) {
            carrier.reduce(Event::Terminate);
        }
        if std::mem::take(&mut inbox.reload) {
            carrier.reload(sources);
        }
        // What has come is read before time is called on it: after a pause of the machine's all seems overdue.
        // Each connection is read once, so what is due waits for a bounded time.
        for (peer, readiness) in std::mem::take(&mut inbox.ready) {
            carrier.ready(peer, readiness, &mut scratch);
        }
        for told in std::mem::take(&mut inbox.disk) {
            let copy = told.copy.as_ref().map(|(facts, body)| (*facts, body.as_slice()));
            carrier.reduce(if told.off { Event::DiskOff } else { Event::CopyRead(told.ticket, copy) });
        }
        for due in std::mem::take(&mut inbox.due) {
            carrier.reduce(Event::Due(due));
        }
        if std::mem::take(&mut inbox.rested) {
            carrier.handle.enable(&listening).map_err(said("listener"))?;
        }
        if std::mem::take(&mut inbox.accept) && !carrier.accept(&listener) {
            carrier.handle.disable(&listening).map_err(said("listener"))?;
            let rest = Timer::from_duration(REST);
            carrier.insert_timer(rest, |inbox| inbox.rested = true);
        }
    }
    carrier.flush_all();
    if let Some(disk) = carrier.disk.take() {
        disk.stop();
    }
    if let Some(keeper) = carrier.keeper.take() {
        keeper.stop();
    }
    log.finish();
    Ok(())
}

impl Carrier {
    fn insert_timer(&self, timer: Timer, mut then: impl FnMut(&mut Inbox) + 'static) {
        let inserted = self.handle.insert_source(timer, move |_, _, inbox| {
            then(inbox);
            TimeoutAction::Drop
        });
        if let Err(fault) = inserted {
            log::error!("timer: {}", fault.error);
        }
    }

    fn reduce(&mut self, event: Event<'_>) {
        for effect in self.reducer.reduce(self.clock.now(), event) {
            match effect {
                Effect::Connect(peer, address) => self.connect(peer, address),
                Effect::Write(peer, bytes) => self.write(peer, bytes),
                Effect::Read(peer, wanted) => {
                    if let Some(connection) = self.connections.get_mut(&peer) {
                        connection.reads = wanted;
                    }
                    self.set_interest(peer);
                }
                Effect::Close(peer) => self.close(peer),
                Effect::Arm(at, due) => {
                    let timer = Timer::from_deadline(self.clock.instant(at));
                    self.insert_timer(timer, move |inbox| inbox.due.push(due));
                }
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
                Effect::MarkObject(object, at_ms, seq) => {
                    self.disk.iter().for_each(|disk| disk.purge_object(object, at_ms, seq));
                }
                Effect::MarkGroup(group, at_ms, seq) => {
                    self.disk.iter().for_each(|disk| disk.purge_group(group, at_ms, seq));
                }
                Effect::KeepList(bytes) => {
                    if let Some(keeper) = &self.keeper {
                        keeper.keep(bytes);
                    }
                }
                Effect::Exit => self.stopped = true,
            }
        }
    }

    /// Reads the configuration again; one that can't be used changes nothing.
    fn reload(&mut self, sources: &Sources) {
        match sources.read() {
            Ok(config) => self.reduce(Event::Reload(&config)),
            Err(fault) => log::error!("configuration: not taken: {fault}"),
        }
    }

    // Connections.

    /// Accepts what waits; tells whether there were descriptors for it.
    fn accept(&mut self, listener: &TcpListener) -> bool {
        for _ in 0..ACCEPTED_AT_ONCE {
            match listener.accept() {
                Ok((stream, from)) => {
                    self.last_client += 1;
                    let peer = Peer::Client(self.last_client);
                    if self.insert(peer, stream, false) {
                        self.reduce(Event::Accepted(self.last_client, from.ip()));
                    }
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return true,
                Err(fault)
                    if matches!(fault.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(fault) => {
                    self.complaints.warn(self.clock.now(), format_args!("accept: {fault}"));
                    self.reduce(Event::NoDescriptors);
                    return false;
                }
            }
        }
        true
    }

    fn connect(&mut self, peer: Peer, address: SocketAddr) {
        let begin = || -> io::Result<TcpStream> {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_nonblocking(true)?;
            match socket.connect(&address.into()) {
                // What is under way shows as writable later, or as an error.
                Err(fault) if fault.raw_os_error() != Some(EINPROGRESS) => Err(fault),
                _ => Ok(socket.into()),
            }
        };
        let begun = begin().or_else(|fault| {
            // Being out of descriptors says nothing of the other side.
            if matches!(fault.raw_os_error(), Some(EMFILE | ENFILE)) {
                self.reduce(Event::NoDescriptors);
                return begin();
            }
            Err(fault)
        });
        let inserted = begun.is_ok_and(|stream| self.insert(peer, stream, true));
        if !inserted {
            self.reduce(Event::Closed(peer));
        }
    }

    fn insert(&mut self, peer: Peer, stream: TcpStream, connecting: bool) -> bool {
        let interest = if connecting { Interest::WRITE } else { Interest::READ };
        let prepared = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
        let stream = Rc::new(stream);
        let generic = Generic::new(stream.clone(), interest, Mode::Level);
        let source = Source::new(generic, move |readiness, _, inbox: &mut Inbox| {
            inbox.ready.push((peer, readiness));
            Ok(PostAction::Continue)
        });
        let registered = self.handle.register_dispatcher(source.clone());
        match (prepared, registered) {
            (Ok(()), Ok(token)) => {
                let (unwritten, at, left) = (Vec::new(), 0, 0);
                let connection =
                    Connection { stream, source, token, connecting, reads: true, unwritten, at, left };
                self.connections.insert(peer, connection);
                true
            }
            (prepared, registered) => {
                log::error!("connection: {:?} {:?}", prepared.err(), registered.err());
                false
            }
        }
    }

    fn close(&mut self, peer: Peer) {
        if let Some(mut connection) = self.connections.remove(&peer) {
            // A client's answers go out as far as they can at once. What a node was not sent by now counts as
            // never sent, and may be on its way to another: not a byte more.
            if matches!(peer, Peer::Client(_)) {
                let _ = connection.flush();
            }
            self.handle.remove(connection.token);
        }
    }

    fn closed(&mut self, peer: Peer) {
        self.close(peer);
        self.reduce(Event::Closed(peer));
    }

    fn ready(&mut self, peer: Peer, readiness: Readiness, scratch: &mut [u8]) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        if connection.connecting {
            match connection.stream.take_error() {
                Ok(None) => {
                    connection.connecting = false;
                    self.set_interest(peer);
                    self.reduce(Event::Connected(peer));
                }
                // It was accepted and reset at once: not the same as a node that is not there.
                Ok(Some(fault)) if fault.kind() == ErrorKind::ConnectionReset => {
                    self.reduce(Event::Connected(peer));
                    self.closed(peer);
                }
                _ => self.closed(peer),
            }
            return;
        }
        if readiness.writable {
            self.flush(peer);
        }
        if readiness.readable || readiness.error {
            self.read(peer, scratch);
        }
    }

    /// Reads once: what is left shows in the next turn.
    fn read(&mut self, peer: Peer, scratch: &mut [u8]) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        match (&*connection.stream).read(scratch) {
            Ok(0) => self.closed(peer),
            Ok(count) => self.reduce(Event::Received(peer, &scratch[..count])),
            Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.closed(peer),
        }
    }

    fn write(&mut self, peer: Peer, bytes: Vec<u8>) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        match connection.unwritten.is_empty() {
            true => connection.unwritten = bytes,
            false => connection.unwritten.extend_from_slice(&bytes),
        }
        self.dirty.push(peer);
    }

    /// Writes what has gathered in this turn; what leaves may bring more to write.
    fn flush_all(&mut self) {
        while let Some(peer) = self.dirty.pop() {
            self.flush(peer);
        }
    }

    fn flush(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        if connection.connecting || connection.unwritten.is_empty() {
            return;
        }
        let before = connection.left;
        let flushed = connection.flush();
        let left = connection.left;
        self.set_interest(peer);
        // First what has left: a pull that left whole may have run, though the connection has ended.
        if left > before {
            self.reduce(Event::Written(peer, left));
        }
        if flushed.is_err() {
            self.closed(peer);
        }
    }

    /// Follows what the connection waits for.
    fn set_interest(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get(&peer) else { return };
        let writable = connection.connecting || !connection.unwritten.is_empty();
        let interest = Interest { readable: connection.reads && !connection.connecting, writable };
        let mut source = connection.source.as_source_mut();
        if (source.interest.readable, source.interest.writable) == (interest.readable, interest.writable) {
            return;
        }
        source.interest = interest;
        drop(source);
        if let Err(fault) = self.handle.update(&connection.token) {
            log::error!("connection: {fault}");
        }
    }
}

// Linux's numbers: a connection is under way; the process, or the machine, is out of descriptors.
const EINPROGRESS: i32 = 115;
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

impl Connection {
    /// Writes as much as goes.
    fn flush(&mut self) -> io::Result<()> {
        while self.at < self.unwritten.len() {
            match (&*self.stream).write(&self.unwritten[self.at..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.at += count;
                    self.left += count as u64;
                }
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(fault) => return Err(fault),
            }
        }
        self.unwritten = Vec::new();
        self.at = 0;
        Ok(())
    }
}
