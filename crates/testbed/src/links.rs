//! Links between processes that can be cut, cut one way, slowed, held and let go at once, reset, or ended after half of
//! an answer. A link listens where one side connects, and passes bytes on to where the other side listens.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

const CHUNK: usize = 16 * 1024;
/// What a slowed link passes on at a time.
const SLOW_CHUNK: usize = 512;

/// What becomes of bytes that go one way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Way {
    /// They go through.
    Open,
    /// They wait, for good or until they are let go at once; nothing tells.
    Held,
    /// So many a second.
    Slow(f64),
    /// Half of what comes next, then a reset.
    Half,
}

/// What becomes of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Fate {
    /// Bytes from who connected.
    pub to: Way,
    /// Bytes to who connected.
    pub from: Way,
    /// Raised when all connections are reset.
    pub life: u64,
}

/// A link; cheap to copy.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    fate: watch::Sender<Fate>,
}

impl Link {
    /// Listens at one address, for connections to another.
    pub(crate) fn open(listen: SocketAddr, to: SocketAddr) -> std::io::Result<Link> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(listen)?;
        let listener = socket.listen(256)?;
        let fate = Fate { to: Way::Open, from: Way::Open, life: 0 };
        let link = Link { fate: watch::channel(fate).0 };
        let (serving, bound) = (link.clone(), listen.ip());
        tokio::spawn(async move {
            loop {
                let Ok((near, _)) = listener.accept().await else { continue };
                tokio::spawn(pass(near, SocketAddr::new(bound, 0), to, serving.fate.subscribe()));
            }
        });
        Ok(link)
    }

    /// Changes what becomes of it.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Fate)) {
        self.fate.send_modify(change);
    }

    /// Resets all its connections.
    pub(crate) fn reset(&self) {
        self.change(|fate| fate.life += 1);
    }
}

/// One connection. The far side sees it come from the link's own address, which tells whose it is.
async fn pass(near: TcpStream, own: SocketAddr, to: SocketAddr, mut fate: watch::Receiver<Fate>) {
    let _ = near.set_nodelay(true);
    let life = fate.borrow().life;
    // While the way there is held the connection is up and silent, as behind a host that drops what it is sent.
    let far = async {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(own)?;
        socket.connect(to).await
    };
    let Ok(far) = far.await else { return reset(near) };
    let _ = far.set_nodelay(true);
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let there = pump(near_read, far_write, fate.clone(), |fate| fate.to);
    let back = pump(far_read, near_write, fate.clone(), |fate| fate.from);
    tokio::pin!(there, back);
    // Either way's end is the connection's, and both halves close with it.
    tokio::select! {
        _ = &mut there => {}
        _ = &mut back => {}
        _ = fate.wait_for(|fate| fate.life != life) => {}
    }
}

fn reset(stream: TcpStream) {
    // Without lingering, the close is a reset.
    let _ = stream.set_zero_linger();
}

async fn pump(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    mut fate: watch::Receiver<Fate>,
    way: impl Fn(&Fate) -> Way,
) {
    let mut scratch = vec![0; CHUNK];
    loop {
        let most = if matches!(way(&fate.borrow()), Way::Slow(_)) { SLOW_CHUNK } else { CHUNK };
        let Ok(count) = read.read(&mut scratch[..most]).await else { return };
        if fate.wait_for(|fate| way(fate) != Way::Held).await.is_err() {
            return;
        }
        let now = way(&fate.borrow());
        if count == 0 {
            return;
        }
        if let Way::Slow(bytes_per_s) = now {
            tokio::time::sleep(Duration::from_secs_f64(count as f64 / bytes_per_s.max(1.0))).await;
        }
        let count = if now == Way::Half { count.div_ceil(2) } else { count };
        if write.write_all(&scratch[..count]).await.is_err() || now == Way::Half {
            return;
        }
    }
}

#[cfg(test)]
#[path = "tests/links.rs"]
mod tests;
