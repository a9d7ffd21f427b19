//! One hollow dispatcher: carries events to the reducer and its effects to sockets and timers, as the event loop of a
//! real one does, but for clients, nodes and disk.

use super::Signal;
use super::records::{Record, Records};
use crate::capacity::clock::unix_us;
use copperroute_dispatcher::clock::{Clock, Epoch};
use copperroute_dispatcher::config::Config;
use copperroute_dispatcher::deadlines::Deadlines;
use copperroute_dispatcher::effects::{Effect, Event, Peer, TimerKind};
use copperroute_dispatcher::reducer::Reducer;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;

/// Bytes read from a connection at once.
const READ_AT_ONCE: usize = 16 * 1024;
/// Arrivals that may wait; then connections are not read from.
const WAITING: usize = 16;
/// What is due waits for so many arrivals at most, as in the real event loop.
const TURNS_FIRST: u32 = 16;

/// What comes of a connection.
enum Arrival {
    Connected(Peer, OwnedWriteHalf),
    Bytes(Peer, Vec<u8>),
    Ended(Peer),
}

/// A connection: the task that reads from it, and where it is written to once it is up.
struct Connection {
    reader: tokio::task::JoinHandle<()>,
    write: Option<OwnedWriteHalf>,
}

/// A hollow dispatcher.
pub(super) struct Hollow {
    number: usize,
    clock: Clock,
    reducer: Reducer,
    connections: HashMap<Peer, Connection>,
    timers: Deadlines<TimerKind>,
    /// Connections that could not be made, to be told once what was asked for is carried out.
    unopened: VecDeque<Peer>,
    broken: VecDeque<Peer>,
    arrive: mpsc::Sender<Arrival>,
    arrivals: Option<mpsc::Receiver<Arrival>>,
    records: Rc<Records>,
    applied: u64,
    version: Option<u64>,
    exited: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

async fn read(peer: Peer, address: SocketAddr, arrive: mpsc::Sender<Arrival>) {
    let Ok(stream) = TcpStream::connect(address).await else {
        return drop(arrive.send(Arrival::Ended(peer)).await);
    };
    let _ = stream.set_nodelay(true);
    let (mut read, write) = stream.into_split();
    let mut arrival = Arrival::Connected(peer, write);
    let mut scratch = vec![0; READ_AT_ONCE];
    while arrive.send(arrival).await.is_ok() {
        arrival = match read.read(&mut scratch).await {
            Ok(count) if count > 0 => Arrival::Bytes(peer, scratch[..count].to_vec()),
            _ => return drop(arrive.send(Arrival::Ended(peer)).await),
        };
    }
}

impl Hollow {
    /// One that has not started, whose clock is ahead by so many milliseconds.
    pub(super) fn new(number: usize, config: Config, clock_error_ms: i64, records: Rc<Records>) -> Hollow {
        let clock = Clock::start();
        let unix_ns = unix_us().saturating_mul(1_000);
        let epoch = Epoch::at(unix_ns.saturating_add_signed(clock_error_ms * 1_000_000));
        let (arrive, arrivals) = mpsc::channel(WAITING);
        Hollow {
            number,
            clock,
            reducer: Reducer::new(config, epoch),
            connections: HashMap::new(),
            timers: Deadlines::default(),
            unopened: VecDeque::new(),
            broken: VecDeque::new(),
            arrive,
            arrivals: Some(arrivals),
            records,
            applied: 0,
            version: None,
            exited: false,
        }
    }

    /// Runs until it is aborted, or ends by itself.
    pub(super) async fn run(mut self, mut signals: mpsc::UnboundedReceiver<Signal>) {
        let Some(mut arrivals) = self.arrivals.take() else { return };
        self.records.push(Record::Started { dispatcher: self.number, at_us: unix_us() });
        self.reduce(Event::Started);
        let mut put_off = 0;
        while !self.exited {
            let next = self.timers.first().unwrap_or_else(|| self.clock.now());
            let wait = Duration::from_nanos(next.since(self.clock.now()).0);
            // What has come is read before time is called on it.
            let first = put_off < TURNS_FIRST;
            tokio::select! {
                biased;
                Some(signal) = signals.recv() => self.pause(signal, &mut signals).await,
                Some(arrival) = arrivals.recv(), if first => {
                    put_off += 1;
                    self.arrived(arrival);
                }
                () = tokio::time::sleep(wait) => {
                    put_off = 0;
                    self.call_time();
                }
            }
        }
        self.records.push(Record::Exited { dispatcher: self.number, at_us: unix_us() });
    }

    /// Does nothing until it is to go on.
    async fn pause(&self, signal: Signal, signals: &mut mpsc::UnboundedReceiver<Signal>) {
        let mut last = Some(signal);
        while last == Some(Signal::Stop) {
            last = signals.recv().await;
        }
    }

    fn arrived(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Connected(peer, write) => {
                if let Some(connection) = self.connections.get_mut(&peer) {
                    connection.write = Some(write);
                    self.reduce(Event::Connected(peer));
                }
            }
            Arrival::Bytes(peer, bytes) => {
                if self.connections.contains_key(&peer) {
                    self.reduce(Event::Received(peer, &bytes));
                }
            }
            Arrival::Ended(peer) => {
                if self.connections.remove(&peer).is_some() {
                    self.reduce(Event::Closed(peer));
                }
            }
        }
    }

    fn call_time(&mut self) {
        let mut due = Vec::new();
        self.timers.take_due(self.clock.now(), &mut due);
        due.into_iter().for_each(|due| self.reduce(Event::TimerFired(due)));
    }

    /// Hands in an event, carries out what it asks for, and tells what has come of it.
    fn reduce(&mut self, event: Event<'_>) {
        let mut effects = VecDeque::from(self.reducer.reduce(self.clock.now(), event));
        loop {
            while let Some(effect) = effects.pop_front() {
                self.carry_out(effect);
            }
            let next = match (self.unopened.pop_front(), self.broken.pop_front()) {
                (Some(peer), broken) => {
                    self.broken.extend(broken);
                    Event::ConnectFailedLocally(peer)
                }
                (None, Some(peer)) => Event::Closed(peer),
                (None, None) => break,
            };
            effects.extend(self.reducer.reduce(self.clock.now(), next));
        }
        self.record();
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(peer @ Peer::ChangeLog(_), address) => {
                let reader = tokio::task::spawn_local(read(peer, address, self.arrive.clone()));
                self.connections.insert(peer, Connection { reader, write: None });
            }
            // Nodes are out of reach for want of something of its own, which says nothing of them.
            Effect::Connect(peer, _) => self.unopened.push_back(peer),
            Effect::Write(peer, bytes) => self.write(peer, &bytes),
            Effect::Close(peer) | Effect::CloseLingering(peer, _) => drop(self.connections.remove(&peer)),
            Effect::Arm(at, due) => self.timers.arm(at, due),
            Effect::Exit => self.exited = true,
            // It has neither clients nor a disk.
            Effect::SetReading(..)
            | Effect::TruncateOutput(..)
            | Effect::FinalRead
            | Effect::ReadCopy(..)
            | Effect::KeepCopy(..)
            | Effect::MarkObjectPurged(..)
            | Effect::MarkGroupPurged(..)
            | Effect::SaveNodeList(_) => {}
        }
    }

    /// What is written is one short line on a new connection; where even that does not go, the connection is of no use.
    fn write(&mut self, peer: Peer, bytes: &[u8]) {
        let Some(connection) = self.connections.get(&peer) else { return };
        let written = connection.write.as_ref().and_then(|write| write.try_write(bytes).ok());
        if written != Some(bytes.len()) {
            self.connections.remove(&peer);
            self.broken.push_back(peer);
        }
    }

    fn record(&mut self) {
        let (dispatcher, applied) = (self.number, self.reducer.applied());
        if applied != self.applied {
            self.applied = applied;
            self.records.push(Record::Applied { dispatcher, at_us: unix_us(), seq: applied });
        }
        let version = self.reducer.rules_version();
        if version != self.version {
            self.version = version;
            let number = version.unwrap_or_default();
            self.records.push(Record::Version { dispatcher, at_us: unix_us(), number });
        }
    }
}
