//! Clients: requests at a rate over many connections, whether answers come or not, and what became of them.

use copperroute_protocol::incoming::{DecodeError, ReceiveBuffer};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Requests are sent so often, those that are due.
const SENT_EVERY: Duration = Duration::from_millis(4);
const LONGEST_LINE: usize = 8_192;
const READ_AT_ONCE: usize = 256 * 1024;
/// The word that tells how a request ended is the second item of an answer.
const WORD: usize = 1;

/// What clients ask for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    /// Requests a second, all connections together.
    pub per_s: f64,
    /// Connections that ask.
    pub connections: usize,
    /// Connections besides that ask for nothing.
    pub idle: usize,
    /// Objects, drawn evenly.
    pub objects: u64,
    /// How long a client waits.
    pub timeout: Duration,
    /// The size that requests tell, in KB.
    pub told_kb: f64,
    /// Where chance starts from.
    pub seed: u64,
}

/// What became of requests.
#[derive(Debug, Default)]
pub(super) struct Answers {
    /// Requests that were sent.
    pub sent: AtomicU64,
    /// Those that were served.
    pub served: AtomicU64,
    /// Those that were rejected, or failed.
    pub unserved: AtomicU64,
}

/// Clients that ask until this is dropped.
pub(super) struct Clients {
    tasks: Vec<JoinHandle<()>>,
    /// What became of their requests.
    pub answers: Arc<Answers>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Clients {
    /// Connects all, and begins.
    pub(super) async fn start(to: SocketAddr, load: Load) -> Result<Clients, String> {
        let answers = Arc::new(Answers::default());
        let mut clients = Clients { tasks: Vec::new(), answers: answers.clone() };
        for number in 0..load.connections + load.idle {
            let stream = TcpStream::connect(to).await.map_err(|fault| format!("{to}: {fault}"))?;
            let _ = stream.set_nodelay(true);
            let answers = answers.clone();
            clients.tasks.push(match number < load.connections {
                true => tokio::spawn(ask(stream, load, number as u64, answers)),
                false => tokio::spawn(hold(stream)),
            });
        }
        Ok(clients)
    }
}

/// A client that asks for nothing.
async fn hold(mut stream: TcpStream) {
    let _ = stream.read(&mut [0]).await;
}

/// A client that asks at its part of the rate.
async fn ask(stream: TcpStream, load: Load, number: u64, answers: Arc<Answers>) {
    let (mut read, mut write) = stream.into_split();
    let counted = answers.clone();
    let reading = tokio::spawn(async move {
        let (mut reader, mut scratch) = (AnswerReader::default(), vec![0; READ_AT_ONCE]);
        while let Ok(count) = read.read(&mut scratch).await {
            if count == 0 || reader.feed(&scratch[..count], &counted).is_err() {
                return;
            }
        }
    });
    let mut chance = StdRng::seed_from_u64(load.seed.wrapping_mul(1_000_003).wrapping_add(number));
    let per_s = load.per_s / load.connections as f64;
    let begun = tokio::time::Instant::now();
    // Connections ask at moments of their own.
    let offset = chance.random::<f64>();
    let mut ticks = tokio::time::interval(SENT_EVERY);
    let mut sent = 0;
    loop {
        ticks.tick().await;
        let due = (begun.elapsed().as_secs_f64() * per_s + offset) as u64;
        let mut bytes = Vec::new();
        while sent < due {
            sent += 1;
            let object = chance.random_range(0..load.objects.max(1));
            write_request(&mut bytes, number << 40 | sent, sent, object, &load);
            answers.sent.fetch_add(1, Ordering::Relaxed);
        }
        if reading.is_finished() || (!bytes.is_empty() && write.write_all(&bytes).await.is_err()) {
            return;
        }
    }
}

fn write_request(bytes: &mut Vec<u8>, id: u64, tag: u64, object: u64, load: &Load) {
    let timeout_ms = load.timeout.as_millis();
    let list = format!(
        "req={id:016x},timeout={timeout_ms},subject={:016x},block=0,family=1,need={:.1}",
        copperroute_routing::interface::mix(object),
        load.told_kb
    );
    let tag = tag.to_string();
    let head = format!("*5\r\n$3\r\nREQ\r\n${}\r\n{tag}\r\n$5\r\nimage\r\n", tag.len());
    bytes.extend_from_slice(head.as_bytes());
    bytes.extend_from_slice(format!("${}\r\n{list}\r\n$0\r\n\r\n", list.len()).as_bytes());
}

/// Reads answers: arrays of four items, each with its length.
#[derive(Default)]
struct AnswerReader {
    incoming: ReceiveBuffer,
    /// Items of the answer at hand that were read, and the length of the next.
    read: Option<usize>,
    length: Option<usize>,
}

impl AnswerReader {
    fn feed(&mut self, bytes: &[u8], answers: &Answers) -> Result<(), DecodeError> {
        const ITEMS: usize = 4;
        self.incoming.feed(bytes);
        loop {
            let Some(read) = self.read else {
                if self.incoming.take_line(LONGEST_LINE)?.is_none() {
                    return Ok(());
                }
                self.read = Some(0);
                continue;
            };
            let Some(length) = self.length else {
                let Some(line) = self.incoming.take_line(LONGEST_LINE)? else { return Ok(()) };
                let length = line.strip_prefix('$').and_then(|length| length.parse().ok());
                self.length = Some(length.ok_or_else(|| DecodeError("an item without a length".into()))?);
                continue;
            };
            let Some(item) = self.incoming.take_block(length)? else { return Ok(()) };
            if read == WORD {
                let counter = if item == b"OK" { &answers.served } else { &answers.unserved };
                counter.fetch_add(1, Ordering::Relaxed);
            }
            (self.length, self.read) = (None, Some(read + 1).filter(|read| *read < ITEMS));
        }
    }
}
