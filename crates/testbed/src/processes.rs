//! The dispatchers' processes: started over a span, killed, started again, stopped and continued.

use crate::scenario::{Fault, What};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::ffi::OsString;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

/// A dispatcher must listen within this.
const READY: Duration = Duration::from_secs(20);

type Before = Box<dyn Fn() -> std::io::Result<()> + Send + Sync>;

struct Process {
    program: PathBuf,
    words: Vec<OsString>,
    log: PathBuf,
    /// What its environment has besides, where there is a value.
    variables: Vec<(&'static str, Option<String>)>,
    /// What is to be done before each start.
    before: Before,
    child: Mutex<Option<Child>>,
    /// How many faults want it away.
    killed: Mutex<u32>,
}

/// All of them, by number.
#[derive(Default)]
pub(crate) struct Processes(Vec<Process>);

/// A dispatcher's own address.
pub(crate) fn own_address(net: u8, at: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, 4 + (at / 250) as u8, (at % 250) as u8 + 1))
}

/// CPU time in milliseconds and memory in MB of a process.
pub(crate) fn used(pid: u32) -> Option<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let pages = fields.get(21)?.parse::<f64>().ok()?;
    // Linux counts in hundredths of a second and pages of 4 KiB.
    Some((ticks * 10.0, pages * 4096.0 / 1e6))
}

/// Waits until somebody listens there.
pub(crate) async fn ready(address: SocketAddr) -> Result<(), String> {
    let begun = Instant::now();
    while tokio::net::TcpStream::connect(address).await.is_err() {
        if begun.elapsed() > READY {
            return Err(format!("{address}: nobody listens after {} s", READY.as_secs()));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

impl Process {
    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn killed(&self) -> MutexGuard<'_, u32> {
        self.killed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts it, unless another fault still wants it away.
    fn start(&self) -> Result<(), String> {
        let wanted_by = self.killed().saturating_sub(1);
        *self.killed() = wanted_by;
        if wanted_by > 0 {
            return Ok(());
        }
        let started = || {
            (self.before)()?;
            let errors = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
            let mut command = Command::new(&self.program);
            command.args(&self.words).stdin(Stdio::null()).stdout(Stdio::null()).stderr(errors);
            for (name, value) in &self.variables {
                if let Some(value) = value {
                    command.env(name, value);
                }
            }
            command.kill_on_drop(true).spawn()
        };
        let child = started().map_err(|fault| format!("{}: {fault}", self.program.display()))?;
        *self.child() = Some(child);
        Ok(())
    }

    async fn kill(&self) {
        *self.killed() += 1;
        let child = self.child().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child().as_ref().and_then(Child::id).and_then(|pid| i32::try_from(pid).ok());
        if let Some(pid) = pid {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }
}

impl Processes {
    /// One more, with its program, what it is told, where its log goes, and what is done before each start.
    pub(crate) fn add(
        &mut self,
        program: &Path,
        words: Vec<OsString>,
        log: PathBuf,
        variables: Vec<(&'static str, Option<String>)>,
        before: Before,
    ) {
        let (child, killed) = Default::default();
        let program = program.to_path_buf();
        self.0.push(Process { program, words, log, variables, before, child, killed });
    }

    /// Starts these over a span.
    pub(crate) async fn start(&self, who: &[usize], over: Duration) -> Result<(), String> {
        let begun = Instant::now();
        for (number, at) in who.iter().enumerate() {
            let due = begun + over.mul_f64(number as f64 / who.len().max(1) as f64);
            tokio::time::sleep_until(due.into()).await;
            self.0[*at].start()?;
        }
        Ok(())
    }

    async fn kill(&self, who: &[usize]) {
        for at in who {
            self.0[*at].kill().await;
        }
    }

    /// A fault happens to these, until its end.
    pub(crate) async fn suffer(&self, fault: &Fault, who: &[usize], until: Instant) -> Result<(), String> {
        let by = Duration::from_secs_f64(fault.by);
        match fault.what {
            What::Stop => {
                who.iter().for_each(|at| self.0[*at].signal(Signal::SIGSTOP));
                tokio::time::sleep_until(until.into()).await;
                who.iter().for_each(|at| self.0[*at].signal(Signal::SIGCONT));
                Ok(())
            }
            What::Loop => {
                while Instant::now() + by < until {
                    self.kill(who).await;
                    self.start(who, Duration::ZERO).await?;
                    tokio::time::sleep(by).await;
                }
                Ok(())
            }
            _ => {
                self.kill(who).await;
                tokio::time::sleep_until(until.into()).await;
                self.start(who, by).await
            }
        }
    }

    /// What those that run have used.
    pub(crate) fn used(&self) -> Vec<(f64, f64)> {
        self.0.iter().filter_map(|process| used(process.child().as_ref()?.id()?)).collect()
    }

    /// Ends them all; returns those that had ended by themselves.
    pub(crate) async fn end(&self) -> Vec<(usize, ExitStatus)> {
        let mut ended = Vec::new();
        for (at, process) in self.0.iter().enumerate() {
            let status = process.child().as_mut().and_then(|child| child.try_wait().ok().flatten());
            ended.extend(status.map(|status| (at, status)));
            process.kill().await;
        }
        ended
    }
}
