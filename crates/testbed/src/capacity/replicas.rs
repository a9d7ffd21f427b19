//! The replicas of the change log, each a process of the dispatchers' program that follows the log.

use super::layout::{self, Layout};
use super::scenario::Scenario;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

/// A replica must be current within this.
const CURRENT: Duration = Duration::from_secs(20);
/// A line comes each second from one that is current.
const LINE_WITHIN: Duration = Duration::from_millis(1_500);
const LOOKED_EACH: Duration = Duration::from_millis(50);

/// The program, and its processes by number of replica.
pub(super) struct Replicas {
    program: PathBuf,
    layout: Layout,
    children: Vec<Mutex<Option<Child>>>,
}

/// Whether somebody there tells a line in time, whatever it is.
async fn tells(address: SocketAddr) -> bool {
    let first_byte = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(format!("since {}\n", u32::MAX).as_bytes()).await?;
        stream.read_u8().await
    };
    matches!(tokio::time::timeout(LINE_WITHIN, first_byte).await, Ok(Ok(_)))
}

impl Replicas {
    /// None started yet.
    pub(super) fn new(scenario: &Scenario, program: PathBuf, layout: &Layout) -> Result<Replicas, String> {
        for replica in 0..scenario.replicas {
            layout::write(&layout.replica_file(replica), &layout.replica(scenario, replica))?;
            let _ = std::fs::remove_file(layout.log_file(&format!("replica-{replica}")));
        }
        let children = (0..scenario.replicas).map(|_| Mutex::default()).collect();
        Ok(Replicas { program, layout: layout.clone(), children })
    }

    /// How many there are.
    pub(super) fn count(&self) -> usize {
        self.children.len()
    }

    fn child(&self, replica: usize) -> MutexGuard<'_, Option<Child>> {
        self.children[replica].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts one.
    pub(super) fn start(&self, replica: usize) -> Result<(), String> {
        let log = self.layout.log_file(&format!("replica-{replica}"));
        let errors = std::fs::OpenOptions::new().create(true).append(true).open(&log);
        let errors = errors.map_err(|fault| format!("{}: {fault}", log.display()))?;
        let mut command = Command::new(&self.program);
        command.arg("relay").arg("--config").arg(self.layout.replica_file(replica));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(errors).kill_on_drop(true);
        let child = command.spawn().map_err(|fault| format!("{}: {fault}", self.program.display()))?;
        *self.child(replica) = Some(child);
        Ok(())
    }

    /// Starts all, and waits until each serves.
    pub(super) async fn start_all(&self) -> Result<(), String> {
        (0..self.count()).try_for_each(|replica| self.start(replica))?;
        let begun = Instant::now();
        for replica in 0..self.count() {
            let address = self.layout.replica_listen(replica);
            while !tells(address).await {
                if begun.elapsed() > CURRENT {
                    return Err(format!("replica {replica}: not current after {} s", CURRENT.as_secs()));
                }
                tokio::time::sleep(LOOKED_EACH).await;
            }
        }
        Ok(())
    }

    /// Kills one.
    pub(super) async fn kill(&self, replica: usize) {
        let child = self.child(replica).take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// The process ids of those that run.
    pub(super) fn ids(&self) -> Vec<u32> {
        (0..self.count()).filter_map(|replica| self.child(replica).as_ref().and_then(Child::id)).collect()
    }

    /// Ends them all; tells how many had ended by themselves.
    pub(super) async fn end(&self) -> usize {
        let mut ended = 0;
        for replica in 0..self.count() {
            let status = self.child(replica).as_mut().and_then(|child| child.try_wait().ok().flatten());
            ended += usize::from(status.is_some());
            self.kill(replica).await;
        }
        ended
    }
}
