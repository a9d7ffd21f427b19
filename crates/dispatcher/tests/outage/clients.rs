//! Simulated clients: they request objects one after another on open connections, and record the outcome of each
//! request.

use crate::clock::ScenarioClock;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::nodes::group_of;

/// The timeout that a client sends with each request.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(3_000);
/// How much longer a client waits, to tell a late answer from a missing one.
const EXTRA_WAIT: Duration = Duration::from_millis(700);
/// The number of popular objects; low numbers are requested more often.
const POPULAR_OBJECTS: u64 = 48;
/// One request in so many is for a rare object, which is hardly ever requested again.
const RARE_ONE_IN: u64 = 3;
/// The number of rare objects.
const RARE_OBJECTS: u64 = 1 << 20;

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// Served with a copy that the origin sent at this Unix time in milliseconds.
    Served(u64),
    /// Refused; a retry is safe.
    Refused,
    Failed,
    /// No answer arrived in time.
    TimedOut,
    /// The connection ended without an answer.
    Closed,
}

/// A request, as its client recorded it.
#[derive(Debug, Clone)]
pub(crate) struct RequestRecord {
    pub id: String,
    pub group: u64,
    /// When its last byte was written.
    pub written: Duration,
    /// How long the answer took, or the wait for one.
    pub took: Duration,
    pub outcome: RequestOutcome,
}

/// The clients of one dispatcher.
pub(crate) struct Clients {
    is_stopped: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients, each of which pauses between an answer and the next request.
    pub(crate) fn start(
        clock: ScenarioClock,
        address: SocketAddr,
        count: usize,
        pause: Duration,
        seed: u64,
    ) -> Self {
        let (is_stopped, records) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        static IDS: AtomicU64 = AtomicU64::new(1);
        let client = |number: usize| {
            let (is_stopped, records) = (is_stopped.clone(), records.clone());
            thread::spawn(move || {
                let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (number as u64 + 1);
                let mut connection: Option<Connection> = None;
                while !is_stopped.load(Ordering::Relaxed) {
                    if connection.is_none() {
                        connection = Connection::open(address);
                        if connection.is_none() {
                            thread::sleep(Duration::from_millis(20));
                            continue;
                        }
                    }
                    let Some(open) = &mut connection else { continue };
                    let id = IDS.fetch_add(1, Ordering::Relaxed);
                    let request = open.send(clock, id, random_object(&mut random));
                    if !matches!(
                        request.outcome,
                        RequestOutcome::Served(_) | RequestOutcome::Refused | RequestOutcome::Failed
                    ) {
                        connection = None;
                    }
                    records.lock().unwrap_or_else(PoisonError::into_inner).push(request);
                    thread::sleep(pause);
                }
            })
        };
        let threads = (0..count).map(client).collect();
        Clients { is_stopped, records, threads }
    }

    /// All requests so far.
    pub(crate) fn records(&self) -> Vec<RequestRecord> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stops the clients; returns all requests.
    pub(crate) fn stop(mut self) -> Vec<RequestRecord> {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().expect("a client ends"));
        self.records()
    }
}

/// The next random number, uniform over 64 bits.
pub(crate) fn next_random(random: &mut u64) -> u64 {
    *random = random.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *random;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A random object: a rare one, or a popular one with low numbers more often.
fn random_object(random: &mut u64) -> u64 {
    if next_random(random).is_multiple_of(RARE_ONE_IN) {
        return POPULAR_OBJECTS + next_random(random) % RARE_OBJECTS;
    }
    let share = (next_random(random) >> 11) as f64 / (1_u64 << 53) as f64;
    (share * share * POPULAR_OBJECTS as f64) as u64
}

struct Connection {
    reader: BufReader<TcpStream>,
    tag: u64,
}

impl Connection {
    fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(TIMEOUT + EXTRA_WAIT)).ok()?;
        Some(Connection { reader: BufReader::new(stream), tag: 0 })
    }

    fn send(&mut self, clock: ScenarioClock, id: u64, object: u64) -> RequestRecord {
        self.tag += 1;
        let (object, id) = (format!("{object:016x}"), format!("{id:016x}"));
        let group = group_of(&object);
        let timeout = TIMEOUT.as_millis();
        let fields = format!("req={id},timeout={timeout},subject={object},block=0,family={group},need=20.0");
        let tag = self.tag.to_string();
        let mut message = format!("*5\r\n$3\r\nREQ\r\n${}\r\n{tag}\r\n$5\r\nimage\r\n", tag.len());
        message += &format!("${}\r\n{fields}\r\n$0\r\n\r\n", fields.len());
        let wrote = self.reader.get_mut().write_all(message.as_bytes());
        let written = clock.now();
        let outcome = match wrote {
            Ok(()) => self.answer(),
            Err(_) => RequestOutcome::Closed,
        };
        RequestRecord { id, group, written, took: clock.now() - written, outcome }
    }

    fn answer(&mut self) -> RequestOutcome {
        match self.items() {
            Ok(items) => match items[1].as_slice() {
                b"OK" => {
                    RequestOutcome::Served(String::from_utf8_lossy(&items[3]).parse().unwrap_or_default())
                }
                b"BUSY" => RequestOutcome::Refused,
                _ => RequestOutcome::Failed,
            },
            Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                RequestOutcome::TimedOut
            }
            Err(_) => RequestOutcome::Closed,
        }
    }

    /// Reads the four bulk strings of an answer.
    fn items(&mut self) -> std::io::Result<Vec<Vec<u8>>> {
        let ended = || std::io::Error::from(ErrorKind::UnexpectedEof);
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        let count: usize =
            line.trim_end().strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(ended)?;
        let mut items = Vec::new();
        for _ in 0..count {
            line.clear();
            self.reader.read_line(&mut line)?;
            let length: usize =
                line.trim_end().strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(ended)?;
            let mut item = vec![0; length + 2];
            self.reader.read_exact(&mut item)?;
            item.truncate(length);
            items.push(item);
        }
        if items.len() == 4 { Ok(items) } else { Err(ended()) }
    }
}
