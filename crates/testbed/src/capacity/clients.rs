//! Who asks real dispatchers: a light load, and observers that see from outside when a purge is acted on.

use super::caches::FRESH;
use super::clock::unix_us;
use super::layout::{CONTENT_TYPE, EXPIRY_MS};
use super::ledger::{Ledger, Probe};
use super::log::{Issued, Kind};
use copperroute_protocol::incoming::{DecodeError, ReceiveBuffer};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::broadcast;

const LONGEST_LINE: usize = 256;
/// Objects that the load asks for.
const OBJECTS: u64 = 10_000;
/// An observer asks again so soon.
const ASKED_APART: Duration = Duration::from_millis(1);
/// It asks for no longer than this: caches are told of a purge by then, and the dispatcher has nothing to add.
const ASKED_FOR: Duration = Duration::from_millis(5_500);
/// Who can't connect waits so long.
const AGAIN: Duration = Duration::from_millis(50);
/// What is asked for, in KB.
const NEED_KB: f64 = 1.0;

/// What all who ask share.
#[derive(Debug, Default)]
pub(super) struct Asked {
    /// Requests that were answered with a copy, and the others.
    pub served: AtomicU64,
    pub unserved: AtomicU64,
}

fn unreadable(fault: DecodeError) -> std::io::Error {
    std::io::Error::other(fault.to_string())
}

/// A connection that asks for one object after the other.
struct Requester {
    stream: TcpStream,
    incoming: ReceiveBuffer,
    tag: u64,
}

impl Requester {
    async fn connect(to: SocketAddr) -> std::io::Result<Requester> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Requester { stream, incoming: ReceiveBuffer::default(), tag: 0 })
    }

    /// The body of the answer; nothing where it is not served. An error ends the connection's use.
    async fn ask(&mut self, id: u64, object: &str) -> std::io::Result<Option<Vec<u8>>> {
        self.tag += 1;
        let list = format!(
            "req={id:016x},timeout={EXPIRY_MS},subject={object},block=0,family=0,need={:.1}",
            NEED_KB
        );
        let mut bytes = b"*5\r\n".to_vec();
        for item in ["REQ", &self.tag.to_string(), CONTENT_TYPE, &list, ""] {
            bytes.extend_from_slice(format!("${}\r\n{item}\r\n", item.len()).as_bytes());
        }
        self.stream.write_all(&bytes).await?;
        let answer = tokio::time::timeout(Duration::from_millis(EXPIRY_MS * 2), self.answer()).await??;
        Ok((answer.first().is_some_and(|word| word == b"OK"))
            .then(|| answer.last().cloned().unwrap_or_default()))
    }

    /// The items of an answer behind its tag.
    async fn answer(&mut self) -> std::io::Result<Vec<Vec<u8>>> {
        let count = self.number('*').await?;
        let mut items = Vec::new();
        for _ in 0..count {
            let length = self.number('$').await?;
            items.push(self.block(length).await?);
        }
        items.drain(..1.min(items.len()));
        Ok(items)
    }

    async fn number(&mut self, mark: char) -> std::io::Result<usize> {
        loop {
            if let Some(line) = self.incoming.take_line(LONGEST_LINE).map_err(unreadable)? {
                let number = line.strip_prefix(mark).and_then(|number| number.parse().ok());
                return number
                    .ok_or_else(|| std::io::Error::other(format!("expected {mark}, found '{line}'")));
            }
            self.more().await?;
        }
    }

    async fn block(&mut self, length: usize) -> std::io::Result<Vec<u8>> {
        loop {
            if let Some(block) = self.incoming.take_block(length).map_err(unreadable)? {
                return Ok(block);
            }
            self.more().await?;
        }
    }

    async fn more(&mut self) -> std::io::Result<()> {
        let mut scratch = [0; 4 * 1024];
        match self.stream.read(&mut scratch).await? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.incoming.feed(&scratch[..count]);
                Ok(())
            }
        }
    }
}

/// Asks one dispatcher for objects, so many a second.
pub(super) async fn load(to: SocketAddr, rate: f64, seed: u64, asked: Arc<Asked>) {
    let mut chance = StdRng::seed_from_u64(seed);
    let mut requester = None;
    loop {
        let wait_s = -(1.0 - chance.random::<f64>()).ln() / rate;
        tokio::time::sleep(Duration::from_secs_f64(wait_s)).await;
        let object = format!("{:016x}", chance.random_range(0..OBJECTS));
        let answer = ask_once(&mut requester, to, chance.random(), &object).await;
        let count = if answer.is_some() { &asked.served } else { &asked.unserved };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Asks on a connection that is kept, made anew where it has ended.
async fn ask_once(kept: &mut Option<Requester>, to: SocketAddr, id: u64, object: &str) -> Option<Vec<u8>> {
    if kept.is_none() {
        *kept = Requester::connect(to).await.ok();
    }
    match kept.as_mut()?.ask(id, object).await {
        Ok(body) => body,
        Err(_) => {
            *kept = None;
            None
        }
    }
}

/// Watches when one real dispatcher acts on the purges that it is told of: asks for the object until the answer shows it.
pub(super) async fn observe(
    dispatcher: usize,
    to: SocketAddr,
    seed: u64,
    ledger: Arc<Ledger>,
    mut purges: broadcast::Receiver<Issued>,
) {
    let mut chance = StdRng::seed_from_u64(seed);
    let mut requester = None;
    loop {
        let issued = match purges.recv().await {
            Ok(issued) => issued,
            Err(broadcast::error::RecvError::Lagged(_)) => continue,
            Err(broadcast::error::RecvError::Closed) => return,
        };
        let Kind::Purge { object } = &issued.kind else { continue };
        let begun = tokio::time::Instant::now();
        let mut stale_us = issued.at_us;
        let mut seen_us = None;
        while seen_us.is_none() && begun.elapsed() < ASKED_FOR {
            let asked_us = unix_us();
            match ask_once(&mut requester, to, chance.random(), object).await {
                Some(body) if body == FRESH => seen_us = Some(unix_us()),
                Some(_) => {
                    stale_us = asked_us;
                    tokio::time::sleep(ASKED_APART).await;
                }
                None => tokio::time::sleep(AGAIN).await,
            }
        }
        ledger.probed(dispatcher, Probe { seq: issued.seq, stale_us, seen_us });
    }
}
