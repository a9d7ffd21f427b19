//! Hollow dispatchers: the real control code of a dispatcher (`copperroute_dispatcher::reducer`) on real sockets to what
//! it follows, without clients and bodies; many in a process. No connection to a node is ever made.
//!
//! The process takes orders on standard input, one JSON value a line, and tells on standard output what its dispatchers
//! have done, one `Record` a line; it ends when its standard input does.

mod dispatcher;
mod records;

pub(crate) use records::Record;

use copperroute_dispatcher::config::ConfigFiles;
use dispatcher::Hollow;
use records::Records;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// What a host is told of one of its dispatchers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Hosted {
    /// Its number in the run.
    pub number: usize,
    /// The platform's configuration and the operator's file, read at each start.
    pub config: PathBuf,
    pub operator: Option<PathBuf>,
    /// How far its clock is ahead of the machine's, in milliseconds.
    pub clock_error_ms: i64,
}

/// What a host is asked for.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Order {
    /// Starts a dispatcher.
    Start(usize),
    /// Ends it, as a kill would.
    Kill(usize),
    /// It does nothing until it is to go on.
    Stop(usize),
    Continue(usize),
}

/// What the task of one dispatcher is asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Signal {
    Stop,
    Continue,
}

struct Host {
    hosted: HashMap<usize, Hosted>,
    running: HashMap<usize, (mpsc::UnboundedSender<Signal>, tokio::task::JoinHandle<()>)>,
    records: Rc<Records>,
}

/// Hosts the dispatchers that a file names, on this one thread, until standard input ends.
pub(crate) fn host(file: &Path) -> Result<(), String> {
    let named = |fault: &dyn std::fmt::Display| format!("{}: {fault}", file.display());
    let text = std::fs::read_to_string(file).map_err(|fault| named(&fault))?;
    let hosted: Vec<Hosted> = serde_json::from_str(&text).map_err(|fault| named(&fault))?;
    let hosted = hosted.into_iter().map(|hosted| (hosted.number, hosted)).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|fault| fault.to_string())?;
    let host = Host { hosted, running: HashMap::new(), records: Rc::new(Records::default()) };
    let ended = LocalSet::new().block_on(&runtime, host.obey());
    // A thread may still wait for standard input.
    runtime.shutdown_background();
    ended
}

impl Host {
    async fn obey(mut self) -> Result<(), String> {
        tokio::task::spawn_local(self.records.clone().write_out());
        let mut lines = BufReader::new(tokio::io::stdin()).lines();
        while let Some(line) = lines.next_line().await.map_err(|fault| fault.to_string())? {
            let order = serde_json::from_str(&line).map_err(|fault| format!("order '{line}': {fault}"))?;
            match order {
                Order::Start(number) => self.start(number)?,
                Order::Kill(number) => drop(self.running.remove(&number).map(|(_, task)| task.abort())),
                Order::Stop(number) => self.signal(number, Signal::Stop),
                Order::Continue(number) => self.signal(number, Signal::Continue),
            }
        }
        self.records.flush();
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some((signals, _)) = self.running.get(&number) {
            let _ = signals.send(signal);
        }
    }

    fn start(&mut self, number: usize) -> Result<(), String> {
        let hosted =
            self.hosted.get(&number).ok_or_else(|| format!("dispatcher {number} is not hosted here"))?;
        let sources = ConfigFiles { config: hosted.config.clone(), operator: hosted.operator.clone() };
        let (signals, signalled) = mpsc::unbounded_channel();
        let hollow = Hollow::new(number, sources.read()?, hosted.clock_error_ms, self.records.clone());
        let task = tokio::task::spawn_local(hollow.run(signalled));
        self.running.insert(number, (signals, task));
        Ok(())
    }
}
