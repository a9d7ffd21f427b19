//! Clients that send requests at a fixed rate over many connections, regardless of whether answers arrive (open
//! loop), and count the outcomes. `Clients::start` connects to a dispatcher; the clients stop on drop.

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

/// Interval at which due requests are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(4);
/// Longest line of an answer, in bytes.
const MAX_LINE_BYTES: usize = 8_192;
/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 256 * 1024;
/// Index of the answer's item that holds the outcome.
const OUTCOME_ITEM: usize = 1;

/// Load that the clients generate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    /// Requests per second over all connections.
    pub per_s: f64,
    /// Connections that send requests.
    pub connections: usize,
    /// Additional connections that send nothing.
    pub idle_connections: usize,
    /// Number of distinct objects, requested with equal probability.
    pub objects: u64,
    /// Timeout that requests state.
    pub timeout: Duration,
    /// Object size that requests state, in KB.
    pub stated_kb: f64,
    /// Seed of the random generators.
    pub seed: u64,
}

/// Counters of requests and their outcomes.
#[derive(Debug, Default)]
pub(super) struct RequestCounters {
    /// Requests sent.
    pub sent: AtomicU64,
    /// Requests answered with OK.
    pub served: AtomicU64,
    /// Requests that were rejected or failed.
    pub unserved: AtomicU64,
}

/// Clients that send requests until this value is dropped.
pub(super) struct Clients {
    tasks: Vec<JoinHandle<()>>,
    /// Counters over all clients.
    pub answers: Arc<RequestCounters>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Clients {
    /// Connects all clients and starts sending.
    pub(super) async fn start(to: SocketAddr, load: Load) -> Result<Clients, String> {
        let answers = Arc::new(RequestCounters::default());
        let mut clients = Clients { tasks: Vec::new(), answers: answers.clone() };
        for number in 0..load.connections + load.idle_connections {
            let stream = TcpStream::connect(to)
                .await
                .map_err(|error| format!("connection to dispatcher {to}: {error}"))?;
            let _ = stream.set_nodelay(true);
            let answers = answers.clone();
            clients.tasks.push(match number < load.connections {
                true => tokio::spawn(send_requests(stream, load, number as u64, answers)),
                false => tokio::spawn(stay_idle(stream)),
            });
        }
        Ok(clients)
    }
}

/// Keeps an idle connection open until the dispatcher closes it.
async fn stay_idle(mut stream: TcpStream) {
    let _ = stream.read(&mut [0]).await;
}

/// Sends requests on one connection at its share of the rate.
async fn send_requests(stream: TcpStream, load: Load, number: u64, answers: Arc<RequestCounters>) {
    let (mut read, mut write) = stream.into_split();
    let counted = answers.clone();
    let reading = tokio::spawn(async move {
        let (mut reader, mut scratch) = (AnswerReader::default(), vec![0; READ_BUFFER_BYTES]);
        while let Ok(count) = read.read(&mut scratch).await {
            if count == 0 || reader.feed(&scratch[..count], &counted).is_err() {
                return;
            }
        }
    });
    let mut rng = StdRng::seed_from_u64(load.seed.wrapping_mul(1_000_003).wrapping_add(number));
    let per_s = load.per_s / load.connections as f64;
    let started = tokio::time::Instant::now();
    // A random phase keeps the connections from sending at the same instant.
    let offset = rng.random::<f64>();
    let mut ticks = tokio::time::interval(SEND_INTERVAL);
    let mut sent = 0;
    loop {
        ticks.tick().await;
        let due = (started.elapsed().as_secs_f64() * per_s + offset) as u64;
        let mut bytes = Vec::new();
        while sent < due {
            sent += 1;
            let object = rng.random_range(0..load.objects.max(1));
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
    let parameters = format!(
        "req={id:016x},timeout={timeout_ms},subject={:016x},block=0,family=1,need={:.1}",
        copperroute_routing::interface::mix(object),
        load.stated_kb
    );
    let tag = tag.to_string();
    let head = format!("*5\r\n$3\r\nREQ\r\n${}\r\n{tag}\r\n$5\r\nimage\r\n", tag.len());
    bytes.extend_from_slice(head.as_bytes());
    bytes.extend_from_slice(format!("${}\r\n{parameters}\r\n$0\r\n\r\n", parameters.len()).as_bytes());
}

/// Incremental reader of answers: arrays of four items, each preceded by its length.
#[derive(Default)]
struct AnswerReader {
    incoming: ReceiveBuffer,
    /// Items read of the current answer; `None` between answers.
    read: Option<usize>,
    /// Length of the next item, once its length line was read.
    length: Option<usize>,
}

impl AnswerReader {
    fn feed(&mut self, bytes: &[u8], answers: &RequestCounters) -> Result<(), DecodeError> {
        const ITEMS: usize = 4;
        self.incoming.feed(bytes);
        loop {
            let Some(read) = self.read else {
                if self.incoming.take_line(MAX_LINE_BYTES)?.is_none() {
                    return Ok(());
                }
                self.read = Some(0);
                continue;
            };
            let Some(length) = self.length else {
                let Some(line) = self.incoming.take_line(MAX_LINE_BYTES)? else { return Ok(()) };
                let length = line.strip_prefix('$').and_then(|length| length.parse().ok());
                self.length = Some(length.ok_or_else(|| {
                    DecodeError(format!("an answer's item begins with {line:?}, expected $LENGTH"))
                })?);
                continue;
            };
            let Some(item) = self.incoming.take_block(length)? else { return Ok(()) };
            if read == OUTCOME_ITEM {
                let counter = if item == b"OK" { &answers.served } else { &answers.unserved };
                counter.fetch_add(1, Ordering::Relaxed);
            }
            (self.length, self.read) = (None, Some(read + 1).filter(|read| *read < ITEMS));
        }
    }
}
