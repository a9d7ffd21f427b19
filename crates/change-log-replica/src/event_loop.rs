//! The event loop of a replica: passes events of sockets and signals to [`Core`] and carries out its effects. [`serve`]
//! runs it until a signal, [`serve_until`] until another thread stops it.
//!
//! Each connection is an event source of the loop. There are no timers: the loop wakes when the core's next check is
//! due.

use crate::config::Config;
use crate::core::{Core, Effect, Event, StreamId};
use crate::followers::{FollowerEffect, FollowerId};
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

/// Bytes read from one connection in one turn of the loop, so that none delays the others.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The most connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// The most connections accepted in one turn of the loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// The kernel's send buffer for one follower, in bytes. Small, because bytes in it can't be withdrawn and are not
/// counted as waiting.
const FOLLOWER_SEND_BUFFER_BYTES: usize = 32 * 1024;
/// How long no connection is accepted after `accept` failed, for instance for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// How long the loop sleeps after an operation failed for lack of a resource of this machine, so that it does not retry
/// without a pause.
const ERROR_PAUSE: Duration = Duration::from_millis(1);
/// The monotonic time at the start: one day, so that times before the start can be expressed.
const CLOCK_START: Nanos = Nanos(86_400_000_000_000);

/// The other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Peer {
    Source(StreamId),
    Follower(FollowerId),
}

/// The events that one turn of the loop has found.
#[derive(Default)]
struct Inbox {
    ready: Vec<(Peer, Readiness)>,
    accept: bool,
    terminate: bool,
}

/// Stops a replica that runs in another thread of this process.
#[derive(Debug, Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// Tells the replica to stop; it does so within 100 ms.
    pub fn stop(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_wanted(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Runs a replica until SIGTERM or SIGINT. `signals_kept` is called once these signals are blocked: a thread started
/// before would receive them, and they would end the process.
pub fn serve(config: &Config, signals_kept: impl FnOnce()) -> Result<(), String> {
    run(config, &Stop::default(), Some(signals_kept))
}

/// Runs a replica in a thread of another program until `stop` is used.
pub fn serve_until(config: &Config, stop: &Stop) -> Result<(), String> {
    run(config, stop, None::<fn()>)
}

struct Driver {
    handle: LoopHandle<'static, Inbox>,
    started: Instant,
    core: Core,
    connections: HashMap<Peer, Connection>,
    effects: VecDeque<Effect>,
    is_applying_effects: bool,
    /// Connections with new bytes to write.
    to_flush: Vec<Peer>,
    scratch: Vec<u8>,
    last_follower: u32,
    error_log: LogRateLimiter,
    /// Whether the loop is to sleep for `ERROR_PAUSE`.
    pause_requested: bool,
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
    let failed = |what: &'static str| move |fault: calloop::Error| format!("{what}: {fault}");
    let mut event_loop: EventLoop<Inbox> = EventLoop::try_new().map_err(failed("event loop"))?;
    let handle = event_loop.handle();
    let listener = listen(config.listen).map_err(|fault| format!("listen on {}: {fault}", config.listen))?;
    let listener = Rc::new(listener);
    if let Some(signals_kept) = signals_kept {
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(failed("signals"))?;
        signals_kept();
        handle
            .insert_source(signals, |_, _, inbox| inbox.terminate = true)
            .map_err(|fault| failed("signals")(fault.error))?;
    }
    let listening = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let listening = handle
        .insert_source(listening, |_, _, inbox| {
            inbox.accept = true;
            Ok(PostAction::Continue)
        })
        .map_err(|fault| failed("listener")(fault.error))?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_nanos() as u64;
    let seed = stable_hash(config.name.as_bytes());
    log::info!("{} listens on {} for followers, seed {seed:x}", config.name, config.listen);
    let mut carrier = Driver {
        handle,
        started: Instant::now(),
        core: Core::new(config, seed, unix.wrapping_sub(CLOCK_START.0)),
        connections: HashMap::new(),
        effects: VecDeque::new(),
        is_applying_effects: false,
        to_flush: Vec::new(),
        scratch: vec![0; READ_BUFFER_BYTES],
        last_follower: 0,
        error_log: LogRateLimiter::default(),
        pause_requested: false,
    };
    let mut inbox = Inbox::default();
    let mut rests_until: Option<Instant> = None;
    while !inbox.terminate && !stop.is_wanted() {
        carrier.handle_event(Event::Tick);
        carrier.flush_all();
        let wait = Duration::from_nanos(carrier.core.time_to_next_check().0);
        // Events found before the failure are in the inbox; the others are reported again.
        if let Err(fault) = event_loop.dispatch(wait, &mut inbox) {
            carrier.log_error(format_args!("event loop: {fault}"));
            carrier.pause_requested = true;
        }
        // The core checks what is due before it handles an event, so that a process that was stopped notices its
        // timeouts.
        let mut ready = std::mem::take(&mut inbox.ready);
        ready.sort_by_key(|(peer, _)| *peer);
        for (peer, readiness) in ready {
            carrier.ready(peer, readiness);
        }
        if rests_until.take_if(|until| *until <= Instant::now()).is_some()
            && let Err(fault) = carrier.handle.enable(&listening)
        {
            carrier.log_error(format_args!("listener: {fault}"));
            rests_until = Some(Instant::now() + ACCEPT_PAUSE);
        }
        if std::mem::take(&mut inbox.accept) && rests_until.is_none() && !carrier.accept(&listener) {
            match carrier.handle.disable(&listening) {
                Ok(()) => rests_until = Some(Instant::now() + ACCEPT_PAUSE),
                Err(fault) => {
                    carrier.log_error(format_args!("listener: {fault}"));
                    carrier.pause_requested = true;
                }
            }
        }
        if std::mem::take(&mut carrier.pause_requested) {
            std::thread::sleep(ERROR_PAUSE);
        }
    }
    log::info!("{}: ends with {} followers", config.name, carrier.core.followers());
    Ok(())
}

impl Driver {
    fn now(&self) -> Nanos {
        CLOCK_START.after(Nanos(self.started.elapsed().as_nanos() as u64))
    }

    /// Passes an event to the core and carries out the effects, after those of earlier events.
    fn handle_event(&mut self, event: Event<'_>) {
        let now = self.now();
        self.effects.extend(self.core.handle(now, event));
        if std::mem::replace(&mut self.is_applying_effects, true) {
            return;
        }
        while let Some(effect) = self.effects.pop_front() {
            self.apply_effect(effect);
        }
        self.is_applying_effects = false;
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(stream, address) => self.connect(stream, address),
            Effect::SendRequest(stream, bytes) => self.write(Peer::Source(stream), &bytes),
            Effect::CloseSource(stream) => self.close(Peer::Source(stream)),
            Effect::Follower(FollowerEffect::Write(id, bytes)) => self.write(Peer::Follower(id), &bytes),
            Effect::Follower(FollowerEffect::Close(id)) => self.close(Peer::Follower(id)),
        }
    }
}
