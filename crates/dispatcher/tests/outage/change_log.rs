//! A simulated change log with faults: bytes for a dispatcher may be late, split into pieces, or missing.

use crate::clock::ScenarioClock;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// The interval at which connections and listeners check for work.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The interval between heartbeats on a stream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A fault of the change log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum LogFault {
    /// Open and new connections are reset.
    Refuses,
    /// Connections are accepted, but nothing is sent on new or open ones.
    Silent,
    /// The answer to each `since` line is this late; open streams end when the fault begins.
    LateAnswers(Duration),
    /// Each byte is this late, on open and new streams.
    LateBytes(Duration),
    /// An event is sent byte by byte over this time; heartbeats are sent between events.
    ByteByByte(Duration),
    /// Connections end in the middle of an event.
    CutsEvents,
    /// Heartbeats go on and name events that are not sent.
    HeartbeatsOnly,
    /// Streams end this long after their start; reconnects are accepted.
    ClosesEach(Duration),
}

/// A connection of a dispatcher, as the change log recorded it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogConnection {
    /// When it was accepted.
    pub accepted: Duration,
    /// When its `since` line arrived.
    pub requested: Option<Duration>,
    /// The last event sent, and when its last byte was written.
    pub delivered: Option<(u64, Duration)>,
    /// When the dispatcher or the change log ended it.
    pub ended: Option<Duration>,
}

#[derive(Debug, Default)]
struct State {
    first: u64,
    events: Vec<String>,
    fault: Option<(Duration, LogFault)>,
    log_connections: Vec<LogConnection>,
    stopped: bool,
}

/// The simulated change log, at any number of addresses.
#[derive(Debug, Clone)]
pub(crate) struct ChangeLog {
    clock: ScenarioClock,
    state: Arc<Mutex<State>>,
}

impl ChangeLog {
    /// A log whose events up to `known` are in the configuration.
    pub(crate) fn new(clock: ScenarioClock, known: u64) -> Self {
        let state = State { first: known, ..State::default() };
        ChangeLog { clock, state: Arc::new(Mutex::new(state)) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Listens at one more address.
    pub(crate) fn listen(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("a free address");
        listener.set_nonblocking(true).expect("a listener");
        let log = self.clone();
        thread::spawn(move || {
            while !log.state().stopped {
                match listener.accept() {
                    Ok((stream, _)) => log.accept(stream),
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
    }

    /// Appends an event; returns its number and the time.
    pub(crate) fn write(&self, content: &str) -> (u64, Duration) {
        let mut state = self.state();
        let written = self.clock.now();
        let seq = state.first + state.events.len() as u64 + 1;
        state.events.push(format!("{{\"seq\":{seq},{content}}}\n"));
        (seq, written)
    }

    /// Starts a fault, or ends the present one; returns the time.
    pub(crate) fn fault(&self, fault: Option<LogFault>) -> Duration {
        let now = self.clock.now();
        self.state().fault = fault.map(|fault| (now, fault));
        now
    }

    /// All connections so far.
    pub(crate) fn log_connections(&self) -> Vec<LogConnection> {
        self.state().log_connections.clone()
    }

    /// Stops listening and ends the open connections.
    pub(crate) fn stop(&self) {
        self.state().stopped = true;
    }

    fn accept(&self, stream: TcpStream) {
        if matches!(self.state().fault, Some((_, LogFault::Refuses))) {
            return reset(&stream);
        }
        let accepted = self.clock.now();
        let number = {
            let mut state = self.state();
            state.log_connections.push(LogConnection {
                accepted,
                requested: None,
                delivered: None,
                ended: None,
            });
            state.log_connections.len() - 1
        };
        let log = self.clone();
        thread::spawn(move || {
            Stream::new(log.clone(), stream, number, accepted).serve();
            let now = log.clock.now();
            log.state().log_connections[number].ended.get_or_insert(now);
        });
    }
}

/// Bytes in transit, and when they are written to the socket.
struct InTransit {
    arrives: Duration,
    bytes: Vec<u8>,
    /// The event that is complete with these bytes.
    seq: Option<u64>,
}

/// One connection of a dispatcher.
struct Stream {
    log: ChangeLog,
    socket: TcpStream,
    number: usize,
    accepted: Duration,
    requested: Option<Duration>,
    /// The last event that was queued.
    sent: u64,
    next_heartbeat: Duration,
    in_transit: VecDeque<InTransit>,
    /// The stream fell silent for good.
    is_silent: bool,
}

enum Next {
    Continue,
    Close,
}

impl Stream {
    fn new(log: ChangeLog, socket: TcpStream, number: usize, accepted: Duration) -> Self {
        let (requested, sent, next_heartbeat) = (None, 0, Duration::ZERO);
        let in_transit = VecDeque::new();
        Stream {
            log,
            socket,
            number,
            accepted,
            requested,
            sent,
            next_heartbeat,
            in_transit,
            is_silent: false,
        }
    }

    fn serve(&mut self) {
        self.socket.set_read_timeout(Some(POLL_INTERVAL)).expect("a timeout");
        self.socket.set_nodelay(true).expect("an option");
        let mut line = String::new();
        let mut reader = BufReader::new(self.socket.try_clone().expect("a second handle"));
        loop {
            if self.log.state().stopped {
                return;
            }
            // A dispatcher sends only its first line: later input is ignored until the connection ends.
            let came = match self.requested {
                None => reader.read_line(&mut line).map(|count| count > 0),
                Some(_) => reader.read(&mut [0; 16]).map(|count| count > 0),
            };
            match came {
                Ok(true) if self.requested.is_none() && line.ends_with('\n') => self.receive_since(&line),
                Ok(true) => {}
                Ok(false) => return,
                Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
            if matches!(self.poll(), Next::Close) {
                return;
            }
        }
    }

    fn receive_since(&mut self, line: &str) {
        let since = line.trim().strip_prefix("since ").and_then(|since| since.parse().ok());
        let now = self.log.clock.now();
        self.sent = since.expect("a number");
        self.requested = Some(now);
        // Events follow at once; the first heartbeat is sent a second later.
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.log.state().log_connections[self.number].requested = Some(now);
    }

    /// Queues new events and heartbeats, and writes the bytes that are due.
    fn poll(&mut self) -> Next {
        let now = self.log.clock.now();
        let fault = self.log.state().fault;
        let is_older = fault.is_some_and(|(since, _)| self.accepted < since);
        match fault.map(|(_, fault)| fault) {
            Some(LogFault::Refuses) => {
                reset(&self.socket);
                return Next::Close;
            }
            Some(LogFault::LateAnswers(_) | LogFault::CutsEvents) if is_older => return Next::Close,
            Some(LogFault::ClosesEach(span)) if now.saturating_sub(self.accepted) > span => {
                return Next::Close;
            }
            Some(LogFault::Silent) => self.is_silent = true,
            _ => {}
        }
        if self.is_silent {
            return Next::Continue;
        }
        let Some(requested) = self.requested else { return Next::Continue };
        let late = match fault.map(|(_, fault)| fault) {
            Some(LogFault::LateAnswers(span)) => requested + span,
            _ => Duration::ZERO,
        };
        if now >= late {
            self.enqueue(now, fault.map(|(_, fault)| fault));
        }
        self.arrive(now, fault.map(|(_, fault)| fault))
    }

    fn enqueue(&mut self, now: Duration, fault: Option<LogFault>) {
        let (events, last) = {
            let state = self.log.state();
            let from = self.sent.saturating_sub(state.first) as usize;
            let events = state.events[from.min(state.events.len())..].to_vec();
            (events, state.first + state.events.len() as u64)
        };
        let delay = match fault {
            Some(LogFault::LateBytes(span)) => span,
            _ => Duration::ZERO,
        };
        // Bytes keep their order when a delay becomes shorter.
        let mut arrives =
            self.in_transit.back().map_or(now + delay, |before| before.arrives.max(now + delay));
        if fault != Some(LogFault::HeartbeatsOnly) {
            for line in events {
                self.sent += 1;
                let seq = Some(self.sent);
                if let Some(LogFault::ByteByByte(span)) = fault {
                    let step = span / line.len() as u32;
                    for byte in &line.as_bytes()[..line.len() - 1] {
                        arrives += step;
                        self.in_transit.push_back(InTransit { arrives, bytes: vec![*byte], seq: None });
                    }
                    self.in_transit.push_back(InTransit { arrives, bytes: vec![b'\n'], seq });
                } else {
                    self.in_transit.push_back(InTransit { arrives, bytes: line.into_bytes(), seq });
                }
            }
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            let bytes = format!("{{\"seq\":{last}}}\n").into_bytes();
            self.in_transit.push_back(InTransit { arrives, bytes, seq: None });
        }
    }

    fn arrive(&mut self, now: Duration, fault: Option<LogFault>) -> Next {
        while self.in_transit.front().is_some_and(|first| first.arrives <= now) {
            let Some(InTransit { bytes, seq, .. }) = self.in_transit.pop_front() else { break };
            let cuts_event = fault == Some(LogFault::CutsEvents) && seq.is_some();
            let bytes = if cuts_event { &bytes[..bytes.len() / 2] } else { &bytes[..] };
            if self.socket.write_all(bytes).is_err() || cuts_event {
                return Next::Close;
            }
            let left = self.log.clock.now();
            if let Some(seq) = seq {
                self.log.state().log_connections[self.number].delivered = Some((seq, left));
            }
        }
        Next::Continue
    }
}

/// Resets a connection.
fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
