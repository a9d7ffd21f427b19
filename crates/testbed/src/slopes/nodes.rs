//! Stand-ins of nodes: each answers what it is asked after a delay, with a body of a size.

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

const LONGEST_LINE: usize = 8_192;
const READ_AT_ONCE: usize = 64 * 1024;

/// How nodes answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Answering {
    /// After so long.
    pub delay: Duration,
    /// With so many bytes.
    pub bytes: usize,
    /// Which lookups find nothing, so that a fill is asked for.
    pub misses: Misses,
}

/// Which lookups find nothing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Misses {
    None,
    All,
    /// Those of what no fill has brought to this node.
    Unfilled,
}

/// The objects that a node holds.
type Held = Mutex<HashSet<String>>;

/// What nodes have seen.
#[derive(Debug, Default)]
pub(super) struct Seen {
    /// Connections that are open.
    pub connections: AtomicU64,
    /// Connections that were made.
    pub made: AtomicU64,
    /// Lookups.
    pub lookups: AtomicU64,
    /// Requests that name a source for a miss.
    pub fills: AtomicU64,
}

/// Nodes that listen until this is dropped.
pub(super) struct Nodes {
    serving: Vec<JoinHandle<()>>,
    /// What they have seen.
    pub seen: Arc<Seen>,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.serving.iter().for_each(JoinHandle::abort);
    }
}

impl Nodes {
    /// Listens at these addresses.
    pub(super) async fn start(addresses: Vec<SocketAddr>, answering: Answering) -> Result<Nodes, String> {
        let seen = Arc::new(Seen::default());
        let body: Arc<[u8]> = vec![b'x'; answering.bytes].into();
        let mut serving = Vec::new();
        for address in addresses {
            let listener = TcpListener::bind(address).await.map_err(|fault| format!("{address}: {fault}"))?;
            let (seen, body, held) = (seen.clone(), body.clone(), Arc::<Held>::default());
            serving.push(tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    seen.connections.fetch_add(1, Ordering::Relaxed);
                    seen.made.fetch_add(1, Ordering::Relaxed);
                    let (seen, body, held) = (seen.clone(), body.clone(), held.clone());
                    tokio::spawn(async move {
                        serve(stream, answering, &seen, &body, &held).await;
                        seen.connections.fetch_sub(1, Ordering::Relaxed);
                    });
                }
            }));
        }
        Ok(Nodes { serving, seen })
    }
}

/// One connection.
async fn serve(stream: TcpStream, answering: Answering, seen: &Seen, body: &[u8], held: &Held) {
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    let (tell, mut answers) = mpsc::unbounded_channel::<Vec<u8>>();
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
    let (mut incoming, mut scratch) = (ReceiveBuffer::default(), vec![0; READ_AT_ONCE]);
    while let Ok(count) = read.read(&mut scratch).await {
        if count == 0 {
            break;
        }
        incoming.feed(&scratch[..count]);
        let mut at_once = Vec::new();
        while let Ok(Some(line)) = incoming.take_line(LONGEST_LINE) {
            let Some(bytes) = answer(&line, answering, seen, body, held) else { continue };
            if answering.delay.is_zero() {
                at_once.extend(bytes);
                continue;
            }
            let tell = tell.clone();
            tokio::spawn(async move {
                tokio::time::sleep(answering.delay).await;
                let _ = tell.send(bytes);
            });
        }
        if !at_once.is_empty() && tell.send(at_once).is_err() {
            break;
        }
    }
    writing.abort();
}

fn guarded(held: &Held) -> MutexGuard<'_, HashSet<String>> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The answer to a line, if it asks for something.
fn answer(line: &str, answering: Answering, seen: &Seen, body: &[u8], held: &Held) -> Option<Vec<u8>> {
    let id = line.strip_prefix("fetch ")?.split(' ').next()?;
    let is_fill = line.contains(",src=");
    let object = line.split_once(",name=").and_then(|(_, rest)| rest.split(',').next());
    if !is_fill {
        seen.lookups.fetch_add(1, Ordering::Relaxed);
        let holds = |held: &Held| object.is_some_and(|object| guarded(held).contains(object));
        if answering.misses == Misses::All || (answering.misses == Misses::Unfilled && !holds(held)) {
            return Some(format!("{id} nothing why=,ttfb=0 0\r\n\r\n").into_bytes());
        }
    }
    seen.fills.fetch_add(u64::from(is_fill), Ordering::Relaxed);
    if is_fill && answering.misses == Misses::Unfilled {
        guarded(held).extend(object.map(String::from));
    }
    let why = if is_fill { "pulled" } else { "local" };
    let made = unix_ms();
    let head = format!("{id} ok etag=0000000000000001,made={made},why={why},ttfb=0 {}\r\n", body.len());
    Some([head.as_bytes(), body, b"\r\n"].concat())
}
