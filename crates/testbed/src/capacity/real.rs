//! The real dispatchers, each a process of the dispatchers' program. What is in force at them is read from the lines that
//! they log, as a version of the rules shows in no other way at once; what they do with purges, observers see.

use super::clock::unix_us;
use super::hollow::Record;
use super::layout::Layout;
use super::ledger::Ledger;
use super::scenario::Scenario;
use crate::processes::ready;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::Write as _;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};

/// The program, and its processes by number of dispatcher.
pub(super) struct Real {
    program: PathBuf,
    layout: Layout,
    /// It gets an operator's file.
    operated: bool,
    ledger: Arc<Ledger>,
    children: Vec<Mutex<Option<Child>>>,
}

/// The version of the rules that a line says is in force.
pub(super) fn version_of(line: &str) -> Option<u64> {
    let rest = line.split_once("rules: ")?.1;
    let number = rest.split_once(" version=")?.1;
    number.split_whitespace().next()?.parse().ok()
}

impl Real {
    /// None started yet.
    pub(super) fn new(scenario: &Scenario, program: PathBuf, layout: &Layout, ledger: &Arc<Ledger>) -> Real {
        let children = (0..scenario.fleet.real).map(|_| Mutex::default()).collect();
        let operated = !scenario.operator.is_empty();
        Real { program, layout: layout.clone(), operated, ledger: ledger.clone(), children }
    }

    fn child(&self, dispatcher: usize) -> MutexGuard<'_, Option<Child>> {
        self.children[dispatcher].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts one with the configuration as it stands, and waits until it listens.
    pub(super) async fn start(&self, dispatcher: usize) -> Result<(), String> {
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(self.layout.config_file(dispatcher));
        if self.operated {
            command.arg("--operator").arg(self.layout.operator_file(dispatcher));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().map_err(|fault| format!("{}: {fault}", self.program.display()))?;
        if let Some(errors) = child.stderr.take() {
            let log = self.layout.log_file(&format!("n{dispatcher}"));
            tokio::spawn(watch(dispatcher, errors, log, self.ledger.clone()));
        }
        *self.child(dispatcher) = Some(child);
        ready(self.layout.listen(dispatcher)).await?;
        self.ledger.record(Record::Started { dispatcher, at_us: unix_us() });
        Ok(())
    }

    /// Kills one.
    pub(super) async fn kill(&self, dispatcher: usize) {
        let child = self.child(dispatcher).take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Stops one, or lets it go on.
    pub(super) fn signal(&self, dispatcher: usize, signal: Signal) {
        let id = self.child(dispatcher).as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        if let Some(id) = id {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// The process id of one, if it runs.
    pub(super) fn id(&self, dispatcher: usize) -> Option<u32> {
        self.child(dispatcher).as_ref().and_then(Child::id)
    }

    /// Ends them all; tells how many had ended by themselves.
    pub(super) async fn end(&self) -> usize {
        let mut ended = 0;
        for dispatcher in 0..self.children.len() {
            let status = self.child(dispatcher).as_mut().and_then(|child| child.try_wait().ok().flatten());
            ended += usize::from(status.is_some());
            self.kill(dispatcher).await;
        }
        ended
    }
}

/// Keeps what a process logs, and tells the ledger of versions as the lines come.
async fn watch(dispatcher: usize, errors: ChildStderr, log: PathBuf, ledger: Arc<Ledger>) {
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(&log).ok();
    let mut lines = BufReader::new(errors).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(number) = version_of(&line) {
            ledger.record(Record::Version { dispatcher, at_us: unix_us(), number });
        }
        if let Some(file) = &mut file {
            let _ = writeln!(file, "{line}");
        }
    }
}

#[cfg(test)]
#[path = "../tests/capacity_real.rs"]
mod tests;
