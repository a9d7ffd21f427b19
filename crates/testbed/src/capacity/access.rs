//! How one dispatcher reaches what it follows: an address of its own for each source, the change log or a replica, that
//! passes bytes on and counts them; all of them can be cut, or reset. So each dispatcher's share is seen from outside,
//! whatever kind it is of.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

/// Bytes passed on at a time.
const CHUNK: usize = 64 * 1024;
/// Connections that may wait to be accepted.
const WAITING: u32 = 16;

/// What has passed.
#[derive(Debug, Default)]
pub(super) struct Counter {
    calls: AtomicU64,
    bytes: AtomicU64,
    messages: AtomicU64,
    streams: AtomicU64,
}

/// Its figures at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Counted {
    /// New connections.
    pub calls: u64,
    /// Bytes to the dispatcher.
    pub bytes: u64,
    /// Lines to the dispatcher.
    pub messages: u64,
    /// Streams that are up.
    pub streams: u64,
}

/// One that is up, as long as this lives.
struct Up<'a>(&'a AtomicU64);

impl<'a> Up<'a> {
    fn new(streams: &'a AtomicU64) -> Up<'a> {
        streams.fetch_add(1, Ordering::Relaxed);
        Up(streams)
    }
}

impl Drop for Up<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl std::iter::Sum for Counted {
    fn sum<I: Iterator<Item = Counted>>(all: I) -> Counted {
        all.fold(Counted::default(), |sum, next| Counted {
            calls: sum.calls + next.calls,
            bytes: sum.bytes + next.bytes,
            messages: sum.messages + next.messages,
            streams: sum.streams + next.streams,
        })
    }
}

/// One dispatcher's ways, to each source that it may follow.
#[derive(Debug, Clone)]
pub(super) struct Access {
    counters: Arc<Vec<Counter>>,
    cut: watch::Sender<bool>,
    /// Raised when all its streams are reset.
    life: watch::Sender<u64>,
}

impl Access {
    /// Ways to so many sources that nobody has used.
    pub(super) fn new(sources: usize) -> Access {
        let counters = (0..sources).map(|_| Counter::default()).collect();
        Access { counters: Arc::new(counters), cut: watch::channel(false).0, life: watch::channel(0).0 }
    }

    /// Listens at one address, for connections to a source at another.
    pub(super) fn open(&self, source: usize, listen: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(listen)?;
        let listener = socket.listen(WAITING)?;
        let access = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((near, _)) = listener.accept().await else { continue };
                access.counters[source].calls.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(access.clone().follow(source, near, to));
            }
        });
        Ok(())
    }

    /// Cuts it: connections stay up, and are silent. Or lets through what was held.
    pub(super) fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Resets all its streams.
    pub(super) fn reset(&self) {
        self.life.send_modify(|life| *life += 1);
    }

    /// What has passed from each source up to now.
    pub(super) fn counted(&self) -> Vec<Counted> {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let counted = |Counter { calls, bytes, messages, streams }: &Counter| Counted {
            calls: read(calls),
            bytes: read(bytes),
            messages: read(messages),
            streams: read(streams),
        };
        self.counters.iter().map(counted).collect()
    }

    async fn follow(self, source: usize, near: TcpStream, to: SocketAddr) {
        let _ = near.set_zero_linger();
        let mut life = self.life.subscribe();
        life.borrow_and_update();
        tokio::select! {
            () = self.pass(source, near, to) => {}
            _ = life.changed() => {}
        }
    }

    async fn pass(&self, source: usize, near: TcpStream, to: SocketAddr) {
        let _ = near.set_nodelay(true);
        let mut cut = self.cut.subscribe();
        // While it is cut nobody is reached, though the connection seems to be up.
        if cut.wait_for(|cut| !*cut).await.is_err() {
            return;
        }
        let Ok(far) = TcpStream::connect(to).await else { return };
        let counter = &self.counters[source];
        let _up = Up::new(&counter.streams);
        let _ = far.set_nodelay(true);
        let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
        let there = pump(near_read, far_write, self.cut.subscribe(), None);
        let back = pump(far_read, near_write, self.cut.subscribe(), Some(counter));
        // Either way's end is the connection's.
        tokio::select! {
            () = there => {}
            () = back => {}
        }
    }
}

async fn pump(
    mut read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
    mut cut: watch::Receiver<bool>,
    counter: Option<&Counter>,
) {
    let mut scratch = vec![0; 1024];
    loop {
        let Ok(count) = read.read(&mut scratch).await else { return };
        if count == 0 || cut.wait_for(|cut| !*cut).await.is_err() {
            return;
        }
        let bytes = &scratch[..count];
        if let Some(counter) = counter {
            let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
            counter.bytes.fetch_add(count as u64, Ordering::Relaxed);
            counter.messages.fetch_add(lines as u64, Ordering::Relaxed);
        }
        if write.write_all(bytes).await.is_err() {
            return;
        }
        // A backlog goes in larger pieces; most streams never need the room.
        if count == scratch.len() && count < CHUNK {
            scratch.resize(CHUNK, 0);
        }
    }
}

#[cfg(test)]
#[path = "../tests/capacity_access.rs"]
mod tests;
