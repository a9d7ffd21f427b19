//! The event loop: carries sockets and signals to the replica, and out what it asks for. One source for each
//! connection, none for times: the loop wakes when the replica next looks at what is due.

use crate::config::Config;
use crate::core::{Core, Effect, Event, StreamId};
use crate::followers::{FollowerId, ForFollower};
use crate::log_rate_limiter::LogRateLimiter;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness};
use connections::Connection;
use copperroute_routing::interface::{Nanos, stable_hash};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod connections;

pub use connections::begin_connecting;

/// Bytes read from one connection in one turn, so that none holds up the others.
const READ_AT_ONCE: usize = 64 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Connections accepted in one turn.
const ACCEPTED_AT_ONCE: usize = 64;
/// Bytes that the machine holds for one follower: what lies there can't be taken back and is not seen.
const SEND_BUFFER: usize = 32 * 1024;
/// Without a descriptor for one who waits, nobody is accepted for so long.
const REST: Duration = Duration::from_millis(100);
/// So long the loop stands still where this machine can't do what it's asked for, so that it doesn't ask on and on.
const PAUSE: Duration = Duration::from_millis(1);
/// What the clock shows at the start, so that there is room for times before it.
const EPOCH: Nanos = Nanos(86_400_000_000_000);

/// The other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Peer {
    Source(StreamId),
    Follower(FollowerId),
}

/// What one turn of the loop has found.
#[derive(Default)]
struct Inbox {
    ready: Vec<(Peer, Readiness)>,
    accept: bool,
    terminate: bool,
}

/// Ends a replica that runs in this process.
#[derive(Debug, Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// It ends within a tenth of a second.
    pub fn stop(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_wanted(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Follows and serves until SIGTERM or SIGINT. Once these are kept from all threads `signals_kept` is called: a thread
/// that was started before would take them, and they would end the program.
pub fn serve(config: &Config, signals_kept: impl FnOnce()) -> Result<(), String> {
    run(config, &Stop::default(), Some(signals_kept))
}

/// The same in a thread of a process that does something else, until it is told to stop.
pub fn serve_until(config: &Config, stop: &Stop) -> Result<(), String> {
    run(config, stop, None::<fn()>)
}

struct Carrier {
    handle: LoopHandle<'static, Inbox>,
    started: Instant,
    core: Core,
    connections: HashMap<Peer, Connection>,
    effects: VecDeque<Effect>,
    carrying: bool,
    /// Connections with something new to write.
    dirty: Vec<Peer>,
    scratch: Vec<u8>,
    last_follower: u32,
    complaints: LogRateLimiter,
    /// The loop is to stand still for a moment.
    pauses: bool,
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn run(config: &Config, stop: &Stop, signals_kept: Option<impl FnOnce()>) -> Result<(), String> {
    let said = |what: &'static str| move |fault: calloop::Error| format!("{what}: {fault}");
    let mut event_loop: EventLoop<Inbox> = EventLoop::try_new().map_err(said("event loop"))?;
    let handle = event_loop.handle();
    let listener = listen(config.listen).map_err(|fault| format!("{}: {fault}", config.listen))?;
    let listener = Rc::new(listener);
    if let Some(signals_kept) = signals_kept {
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(said("signals"))?;
        signals_kept();
        handle
            .insert_source(signals, |_, _, inbox| inbox.terminate = true)
            .map_err(|fault| said("signals")(fault.error))?;
    }
    let listening = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let listening = handle
        .insert_source(listening, |_, _, inbox| {
            inbox.accept = true;
            Ok(PostAction::Continue)
        })
        .map_err(|fault| said("listener")(fault.error))?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_nanos() as u64;
    let seed = stable_hash(config.name.as_bytes());
    log::info!("{} listens on {} for followers, seed {seed:x}", config.name, config.listen);
    let mut carrier = Carrier {
        handle,
        started: Instant::now(),
        core: Core::new(config, seed, unix.wrapping_sub(EPOCH.0)),
        connections: HashMap::new(),
        effects: VecDeque::new(),
        carrying: false,
        dirty: Vec::new(),
        scratch: vec![0; READ_AT_ONCE],
        last_follower: 0,
        complaints: LogRateLimiter::default(),
        pauses: false,
    };
    let mut inbox = Inbox::default();
    let mut rests_until: Option<Instant> = None;
    while !inbox.terminate && !stop.is_wanted() {
        carrier.reduce(Event::Tick);
        carrier.flush_all();
        let wait = Duration::from_nanos(carrier.core.idle().0);
        // What it has found before it failed is in the inbox; the rest shows again.
        if let Err(fault) = event_loop.dispatch(wait, &mut inbox) {
            carrier.complain(format_args!("event loop: {fault}"));
            carrier.pauses = true;
        }
        // What is due is looked at before what has come: a process that was stopped has lapsed.
        let mut ready = std::mem::take(&mut inbox.ready);
        ready.sort_by_key(|(peer, _)| *peer);
        for (peer, readiness) in ready {
            carrier.ready(peer, readiness);
        }
        if rests_until.take_if(|until| *until <= Instant::now()).is_some()
            && let Err(fault) = carrier.handle.enable(&listening)
        {
            carrier.complain(format_args!("listener: {fault}"));
            rests_until = Some(Instant::now() + REST);
        }
        if std::mem::take(&mut inbox.accept) && rests_until.is_none() && !carrier.accept(&listener) {
            match carrier.handle.disable(&listening) {
                Ok(()) => rests_until = Some(Instant::now() + REST),
                Err(fault) => {
                    carrier.complain(format_args!("listener: {fault}"));
                    carrier.pauses = true;
                }
            }
        }
        if std::mem::take(&mut carrier.pauses) {
            std::thread::sleep(PAUSE);
        }
    }
    log::info!("{}: ends with {} followers", config.name, carrier.core.followers());
    Ok(())
}

impl Carrier {
    fn now(&self) -> Nanos {
        EPOCH.after(Nanos(self.started.elapsed().as_nanos() as u64))
    }

    /// Hands in an event. What it asks for is carried out behind what was asked for before.
    fn reduce(&mut self, event: Event<'_>) {
        let now = self.now();
        self.effects.extend(self.core.handle(now, event));
        if std::mem::replace(&mut self.carrying, true) {
            return;
        }
        while let Some(effect) = self.effects.pop_front() {
            self.carry_out(effect);
        }
        self.carrying = false;
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Call(stream, address) => self.connect(stream, address),
            Effect::Ask(stream, bytes) => self.write(Peer::Source(stream), &bytes),
            Effect::Hang(stream) => self.close(Peer::Source(stream)),
            Effect::Follower(ForFollower::Write(id, bytes)) => self.write(Peer::Follower(id), &bytes),
            Effect::Follower(ForFollower::Close(id)) => self.close(Peer::Follower(id)),
        }
    }
}
