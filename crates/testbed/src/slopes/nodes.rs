//! Stand-ins for nodes (caches, parents and the origin) that speak the node protocol. Each answers after a set delay
//! with a body of a set size and counts connections, lookups and fills. `Nodes::start` binds them; they stop on drop.

use copperroute_protocol::incoming::ReceiveBuffer;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::world::unix_ms;

/// Longest request line accepted, in bytes.
const MAX_LINE_BYTES: usize = 8_192;
/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// How the stand-in nodes answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerSettings {
    /// Time from a request to its answer.
    pub delay: Duration,
    /// Size of an answer's body, in bytes.
    pub body_bytes: usize,
    /// Which lookups miss, so that the dispatcher requests a fill.
    pub misses: Misses,
}

/// Which lookups miss.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Misses {
    None,
    All,
    /// Lookups of objects that this node has not yet filled.
    Unfilled,
}

/// Names of the objects that a node has cached.
type CachedObjects = Mutex<HashSet<String>>;

/// Counters over all stand-in nodes of a run.
#[derive(Debug, Default)]
pub(super) struct NodeCounters {
    /// Connections that are open now.
    pub open_connections: AtomicU64,
    /// Connections accepted since the start.
    pub accepted_connections: AtomicU64,
    /// Lookups received.
    pub lookups: AtomicU64,
    /// Fills received: requests that name a source (`src=`).
    pub fills: AtomicU64,
}

/// Stand-in nodes that listen until this value is dropped.
pub(super) struct Nodes {
    serving: Vec<JoinHandle<()>>,
    /// Counters over all of them.
    pub counters: Arc<NodeCounters>,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.serving.iter().for_each(JoinHandle::abort);
    }
}

impl Nodes {
    /// Starts one node at each address.
    pub(super) async fn start(
        addresses: Vec<SocketAddr>,
        answer_settings: AnswerSettings,
    ) -> Result<Nodes, String> {
        let counters = Arc::new(NodeCounters::default());
        let body: Arc<[u8]> = vec![b'x'; answer_settings.body_bytes].into();
        let mut serving = Vec::new();
        for address in addresses {
            let listener = TcpListener::bind(address)
                .await
                .map_err(|error| format!("stand-in node at {address}: {error}"))?;
            let (counters, body, cached) = (counters.clone(), body.clone(), Arc::<CachedObjects>::default());
            serving.push(tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    counters.open_connections.fetch_add(1, Ordering::Relaxed);
                    counters.accepted_connections.fetch_add(1, Ordering::Relaxed);
                    let (counters, body, cached) = (counters.clone(), body.clone(), cached.clone());
                    tokio::spawn(async move {
                        serve_connection(stream, answer_settings, &counters, &body, &cached).await;
                        counters.open_connections.fetch_sub(1, Ordering::Relaxed);
                    });
                }
            }));
        }
        Ok(Nodes { serving, counters })
    }
}

/// Serves one connection until it closes. Answers without a delay are written in batches.
async fn serve_connection(
    stream: TcpStream,
    answer_settings: AnswerSettings,
    counters: &NodeCounters,
    body: &[u8],
    cached: &CachedObjects,
) {
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    let (answer_sender, mut answers) = mpsc::unbounded_channel::<Vec<u8>>();
    let writing = tokio::spawn(async move {
        while let Some(mut bytes) = answers.recv().await {
            while let Ok(more) = answers.try_recv() {
                bytes.extend(more);
            }
            if write.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let (mut incoming, mut scratch) = (ReceiveBuffer::default(), vec![0; READ_BUFFER_BYTES]);
    while let Ok(count) = read.read(&mut scratch).await {
        if count == 0 {
            break;
        }
        incoming.feed(&scratch[..count]);
        let mut undelayed = Vec::new();
        while let Ok(Some(line)) = incoming.take_line(MAX_LINE_BYTES) {
            let Some(bytes) = answer_line(&line, answer_settings, counters, body, cached) else { continue };
            if answer_settings.delay.is_zero() {
                undelayed.extend(bytes);
                continue;
            }
            let answer_sender = answer_sender.clone();
            tokio::spawn(async move {
                tokio::time::sleep(answer_settings.delay).await;
                let _ = answer_sender.send(bytes);
            });
        }
        if !undelayed.is_empty() && answer_sender.send(undelayed).is_err() {
            break;
        }
    }
    writing.abort();
}

fn lock_cached(cached: &CachedObjects) -> MutexGuard<'_, HashSet<String>> {
    cached.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the answer to a request line; `None` if the line is not a `fetch`.
fn answer_line(
    line: &str,
    answer_settings: AnswerSettings,
    counters: &NodeCounters,
    body: &[u8],
    cached: &CachedObjects,
) -> Option<Vec<u8>> {
    let id = line.strip_prefix("fetch ")?.split(' ').next()?;
    let is_fill = line.contains(",src=");
    let object = line.split_once(",name=").and_then(|(_, rest)| rest.split(',').next());
    if !is_fill {
        counters.lookups.fetch_add(1, Ordering::Relaxed);
        let holds =
            |cached: &CachedObjects| object.is_some_and(|object| lock_cached(cached).contains(object));
        if answer_settings.misses == Misses::All
            || (answer_settings.misses == Misses::Unfilled && !holds(cached))
        {
            return Some(format!("{id} nothing why=,ttfb=0 0\r\n\r\n").into_bytes());
        }
    }
    counters.fills.fetch_add(u64::from(is_fill), Ordering::Relaxed);
    if is_fill && answer_settings.misses == Misses::Unfilled {
        lock_cached(cached).extend(object.map(String::from));
    }
    let why = if is_fill { "pulled" } else { "local" };
    let made = unix_ms();
    let head = format!("{id} ok etag=0000000000000001,made={made},why={why},ttfb=0 {}\r\n", body.len());
    Some([head.as_bytes(), body, b"\r\n"].concat())
}
