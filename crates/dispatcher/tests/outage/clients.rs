//! Clients: they ask for objects one after another on open connections, and record what each request came to.

use crate::clock::PlayClock;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::nodes::group_of;

/// How long a client waits for an answer, as it tells the program.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(3_000);
/// So much longer it looks for one, to tell late from never.
const LOOKS_ON: Duration = Duration::from_millis(700);
/// Objects that are asked for again and again; low numbers more often.
const OBJECTS: u64 = 48;
/// Of so many requests one is for an object that is asked for once, or hardly ever again.
const RARE_ONE_IN: u64 = 3;
const RARE_OBJECTS: u64 = 1 << 20;

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// Served with a copy that the origin gave out at this Unix millisecond.
    Served(u64),
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
    /// No answer came in time.
    Silence,
    /// The connection ended without one.
    Closed,
}

/// A request as its client met it.
#[derive(Debug, Clone)]
pub(crate) struct Asked {
    pub id: String,
    pub group: u64,
    /// When its last byte was written.
    pub written: Duration,
    /// How long the answer took, or the wait for one.
    pub took: Duration,
    pub end: End,
}

/// Clients of one dispatcher.
pub(crate) struct Clients {
    over: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Asked>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// So many clients, each of which pauses for so long between an answer and the next request.
    pub(crate) fn start(
        clock: PlayClock,
        address: SocketAddr,
        count: usize,
        pause: Duration,
        seed: u64,
    ) -> Self {
        let (over, records) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        static IDS: AtomicU64 = AtomicU64::new(1);
        let client = |number: usize| {
            let (over, records) = (over.clone(), records.clone());
            thread::spawn(move || {
                let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (number as u64 + 1);
                let mut connection: Option<Connection> = None;
                while !over.load(Ordering::Relaxed) {
                    if connection.is_none() {
                        connection = Connection::open(address);
                        if connection.is_none() {
                            thread::sleep(Duration::from_millis(20));
                            continue;
                        }
                    }
                    let Some(open) = &mut connection else { continue };
                    let id = IDS.fetch_add(1, Ordering::Relaxed);
                    let asked = open.ask(clock, id, drawn(&mut random));
                    if !matches!(asked.end, End::Served(_) | End::Refused | End::Failed) {
                        connection = None;
                    }
                    records.lock().unwrap_or_else(PoisonError::into_inner).push(asked);
                    thread::sleep(pause);
                }
            })
        };
        let threads = (0..count).map(client).collect();
        Clients { over, records, threads }
    }

    /// What was asked for so far.
    pub(crate) fn records(&self) -> Vec<Asked> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Asks for nothing more; returns all that was.
    pub(crate) fn stop(mut self) -> Vec<Asked> {
        self.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().expect("a client ends"));
        self.records()
    }
}

/// The next draw, uniform over 64 bits.
pub(crate) fn next_draw(random: &mut u64) -> u64 {
    *random = random.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *random;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// An object, low numbers more often than high ones.
fn drawn(random: &mut u64) -> u64 {
    if next_draw(random).is_multiple_of(RARE_ONE_IN) {
        return OBJECTS + next_draw(random) % RARE_OBJECTS;
    }
    let share = (next_draw(random) >> 11) as f64 / (1_u64 << 53) as f64;
    (share * share * OBJECTS as f64) as u64
}

struct Connection {
    reader: BufReader<TcpStream>,
    tag: u64,
}

impl Connection {
    fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(TIMEOUT + LOOKS_ON)).ok()?;
        Some(Connection { reader: BufReader::new(stream), tag: 0 })
    }

    fn ask(&mut self, clock: PlayClock, id: u64, object: u64) -> Asked {
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
        let end = match wrote {
            Ok(()) => self.answer(),
            Err(_) => End::Closed,
        };
        Asked { id, group, written, took: clock.now() - written, end }
    }

    fn answer(&mut self) -> End {
        match self.items() {
            Ok(items) => match items[1].as_slice() {
                b"OK" => End::Served(String::from_utf8_lossy(&items[3]).parse().unwrap_or_default()),
                b"BUSY" => End::Refused,
                _ => End::Failed,
            },
            Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => End::Silence,
            Err(_) => End::Closed,
        }
    }

    /// An answer's four bulk strings.
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
