//! Stand-in for the change log. It sends each follower all events after the requested number, without a rate limit, and
//! counts followers and bytes sent. Started with `ChangeLog::start`; `add` appends events.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval of the heartbeat line that carries the last event's number.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A running change log; it stops accepting connections once dropped.
pub(super) struct ChangeLog {
    /// Event lines; the first has number 1.
    events: Mutex<Vec<String>>,
    /// Number of the last event.
    last: watch::Sender<usize>,
    bytes: AtomicU64,
    followers: AtomicU64,
    /// Address it listens on.
    pub address: SocketAddr,
}

impl ChangeLog {
    /// Binds the address and starts with these event lines.
    pub(super) async fn start(address: SocketAddr, events: Vec<String>) -> Result<Arc<ChangeLog>, String> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| format!("stand-in change log at {address}: {error}"))?;
        let last = watch::channel(events.len()).0;
        let (bytes, followers) = Default::default();
        let log = Arc::new(ChangeLog { events: Mutex::new(events), last, bytes, followers, address });
        let serving = Arc::downgrade(&log);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // The run is over: stop accepting connections.
                let Some(log) = serving.upgrade() else { return };
                tokio::spawn(async move {
                    log.followers.fetch_add(1, Ordering::Relaxed);
                    let _ = log.follow(stream).await;
                    log.followers.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(log)
    }

    fn events(&self) -> MutexGuard<'_, Vec<String>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends `count` events; `event` builds the line of an event from its number.
    pub(super) fn add(&self, count: usize, mut event: impl FnMut(u64) -> String) {
        let mut events = self.events();
        for _ in 0..count {
            let line = event(events.len() as u64 + 1);
            events.push(line);
        }
        self.last.send_replace(events.len());
    }

    /// Bytes sent so far, over all connections.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Connections that are open now.
    pub(super) fn followers(&self) -> u64 {
        self.followers.load(Ordering::Relaxed)
    }

    /// Sends events and heartbeats to one follower until it disconnects.
    async fn follow(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let (mut read, mut request_line) = (BufReader::new(read), String::new());
        read.read_line(&mut request_line).await?;
        let since = request_line.trim().strip_prefix("since ").and_then(|since| since.parse().ok());
        let Some(mut sent) = since else { return Ok(()) };
        let mut last = self.last.subscribe();
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut rest = String::new();
        loop {
            let heartbeat_due = tokio::select! {
                _ = heartbeat.tick() => true,
                changed = last.changed() => match changed {
                    Ok(()) => false,
                    Err(_) => return Ok(()),
                },
                // Followers send nothing after the first line, so a read that returns means that the connection closed.
                _ = read.read_line(&mut rest) => return Ok(()),
            };
            let mut text: String = {
                let events = self.events();
                let text = events.iter().skip(sent).flat_map(|event| [event.as_str(), "\n"]).collect();
                sent = sent.max(events.len());
                text
            };
            if heartbeat_due {
                text += &format!("{sent}\n");
            }
            write.write_all(text.as_bytes()).await?;
            self.bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
        }
    }
}
