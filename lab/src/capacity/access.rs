//! How one dispatcher reaches what it follows: an address of its own that passes bytes on to the change log or to a
//! replica, counts them, and can be cut. So each dispatcher's share is seen from outside, whatever kind it is of.

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
pub struct Counter {
    calls: AtomicU64,
    bytes: AtomicU64,
    messages: AtomicU64,
}

/// Its figures at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counted {
    /// New connections.
    pub calls: u64,
    /// Bytes to the dispatcher.
    pub bytes: u64,
    /// Lines to the dispatcher.
    pub messages: u64,
}

/// One dispatcher's way.
#[derive(Debug, Clone)]
pub struct Access {
    counter: Arc<Counter>,
    cut: watch::Sender<bool>,
}

impl Access {
    /// A way that nobody has used.
    pub fn new() -> Access {
        Access { counter: Arc::default(), cut: watch::channel(false).0 }
    }

    /// Listens at one address, for connections to another.
    pub fn open(&self, listen: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(listen)?;
        let listener = socket.listen(WAITING)?;
        let access = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((near, _)) = listener.accept().await else { continue };
                access.counter.calls.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(access.clone().pass(near, to));
            }
        });
        Ok(())
    }

    /// Cuts it: connections stay up, and are silent. Or lets through what was held.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// What has passed up to now.
    pub fn counted(&self) -> Counted {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let Counter { calls, bytes, messages } = &*self.counter;
        Counted { calls: read(calls), bytes: read(bytes), messages: read(messages) }
    }

    async fn pass(self, near: TcpStream, to: SocketAddr) {
        let _ = near.set_nodelay(true);
        let mut cut = self.cut.subscribe();
        // While it is cut nobody is reached, though the connection seems to be up.
        if cut.wait_for(|cut| !*cut).await.is_err() {
            return;
        }
        let Ok(far) = TcpStream::connect(to).await else { return drop(near.set_zero_linger()) };
        let _ = far.set_nodelay(true);
        let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
        let there = pump(near_read, far_write, self.cut.subscribe(), None);
        let back = pump(far_read, near_write, self.cut.subscribe(), Some(&self.counter));
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
