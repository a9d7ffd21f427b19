//! A stand-in of the change log that tells all that it has, as fast as it is taken, and counts what it told.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A line with the last number comes so often.
const LINE_EVERY: Duration = Duration::from_secs(1);

/// The change log.
pub(super) struct ChangeLog {
    /// The lines of events: the first has number 1.
    events: Mutex<Vec<String>>,
    last: watch::Sender<usize>,
    bytes: AtomicU64,
    followers: AtomicU64,
    /// Where it listens.
    pub address: SocketAddr,
}

impl ChangeLog {
    /// Listens, with the lines of its first events.
    pub(super) async fn start(address: SocketAddr, events: Vec<String>) -> Result<Arc<ChangeLog>, String> {
        let listener = TcpListener::bind(address).await.map_err(|fault| format!("{address}: {fault}"))?;
        let last = watch::channel(events.len()).0;
        let (bytes, followers) = Default::default();
        let log = Arc::new(ChangeLog { events: Mutex::new(events), last, bytes, followers, address });
        let serving = Arc::downgrade(&log);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // Once the measurement is over nobody listens here.
                let Some(log) = serving.upgrade() else { return };
                tokio::spawn(async move {
                    log.followers.fetch_add(1, Ordering::Relaxed);
                    let _ = log.tell(stream).await;
                    log.followers.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(log)
    }

    fn events(&self) -> MutexGuard<'_, Vec<String>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds so many events; what each is, `event` says by its number.
    pub(super) fn add(&self, count: usize, mut event: impl FnMut(u64) -> String) {
        let mut events = self.events();
        for _ in 0..count {
            let line = event(events.len() as u64 + 1);
            events.push(line);
        }
        self.last.send_replace(events.len());
    }

    /// Bytes told so far.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Connections that are open.
    pub(super) fn followers(&self) -> u64 {
        self.followers.load(Ordering::Relaxed)
    }

    async fn tell(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let (mut read, mut asked) = (BufReader::new(read), String::new());
        read.read_line(&mut asked).await?;
        let since = asked.trim().strip_prefix("since ").and_then(|since| since.parse().ok());
        let Some(mut told) = since else { return Ok(()) };
        let mut last = self.last.subscribe();
        let mut next_line = tokio::time::interval(LINE_EVERY);
        let mut rest = String::new();
        loop {
            let ticked = tokio::select! {
                _ = next_line.tick() => true,
                changed = last.changed() => match changed {
                    Ok(()) => false,
                    Err(_) => return Ok(()),
                },
                // Nobody says more than the first line: this is the connection's end.
                _ = read.read_line(&mut rest) => return Ok(()),
            };
            let mut text: String = {
                let events = self.events();
                let text = events.iter().skip(told).flat_map(|event| [event.as_str(), "\n"]).collect();
                told = told.max(events.len());
                text
            };
            if ticked {
                text += &format!("{told}\n");
            }
            write.write_all(text.as_bytes()).await?;
            self.bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
        }
    }
}
