//! All that a run is played on: the change log, each dispatcher's way to it, hollow and real dispatchers, and who asks.

use super::access::{Access, Counted};
use super::caches;
use super::clients::{self, Asked};
use super::clock::unix_us;
use super::groups::Group;
use super::hollow::Order;
use super::hosts::Hosts;
use super::layout::{self, Layout};
use super::ledger::{Cause, Ledger};
use super::log::{ChangeLog, Issued};
use super::real::Real;
use super::replicas::Replicas;
use super::scenario::{Scenario, What};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::broadcast;

/// All must have acted on a first event within this.
const FIRST_CURRENT: Duration = Duration::from_secs(30);
/// A dispatcher must have started within this.
const STARTED: Duration = Duration::from_secs(20);
const LOOKED_EACH: Duration = Duration::from_millis(5);
/// Purges that observers may be behind.
const PROBES_WAITING: usize = 64;

/// What a run is played on.
pub(super) struct Rig {
    pub scenario: Scenario,
    pub layout: Layout,
    pub log: Arc<ChangeLog>,
    pub ledger: Arc<Ledger>,
    pub access: Vec<Access>,
    pub hosts: Hosts,
    pub real: Real,
    pub replicas: Replicas,
    pub asked: Arc<Asked>,
    /// Purges that observers look for.
    pub probes: broadcast::Sender<Issued>,
    /// Dispatchers that something happens to now, so that nothing else does.
    claimed: Mutex<HashSet<usize>>,
}

/// Who is cut off from the start, with the log's backlog unheard.
fn behind(scenario: &Scenario) -> HashSet<usize> {
    let faults = scenario.faults.iter().filter(|fault| fault.what == What::Backlog);
    let groups = faults.filter_map(|fault| Group::read(&fault.who));
    groups.flat_map(|group| group.members(&scenario.fleet)).collect()
}

/// Where each source that dispatchers may follow listens.
fn sources(scenario: &Scenario, layout: &Layout) -> Vec<SocketAddr> {
    match scenario.replicas {
        0 => vec![layout.log()],
        replicas => (0..replicas).map(|replica| layout.replica_listen(replica)).collect(),
    }
}

/// How far each dispatcher's clock is ahead, drawn from the seed; of real ones it is the machine's.
fn clock_errors_ms(scenario: &Scenario) -> Vec<i64> {
    let mut chance = StdRng::seed_from_u64(scenario.seed.rotate_left(24));
    let most = scenario.fleet.clock_error_ms as i64;
    (0..scenario.dispatchers()).map(|_| chance.random_range(-most..=most)).collect()
}

impl Rig {
    /// Opens all stand-ins and starts the hosts; no dispatcher runs yet.
    pub(super) async fn open(
        scenario: &Scenario,
        program: &Path,
        folder: PathBuf,
        net: u8,
    ) -> Result<Rig, String> {
        std::fs::create_dir_all(&folder).map_err(|fault| format!("{}: {fault}", folder.display()))?;
        let layout = Layout { net, folder };
        let nodes = layout.nodes(scenario);
        for node in &nodes {
            caches::serve(node.address).await?;
        }
        let listed = nodes.iter().map(layout::NodePlace::listed).collect();
        let log = Arc::new(ChangeLog::new(listed, scenario.changes.backlog));
        log.listen(layout.log()).await.map_err(|fault| format!("{}: {fault}", layout.log()))?;
        let behind = behind(scenario);
        let mut access = Vec::new();
        for at in 0..scenario.dispatchers() {
            let ways = Access::new(scenario.replicas.max(1));
            ways.set_cut(behind.contains(&at));
            for (source, to) in sources(scenario, &layout).into_iter().enumerate() {
                let listen = layout.access(at, source);
                ways.open(source, listen, to).map_err(|fault| format!("{listen}: {fault}"))?;
            }
            access.push(ways);
            let known = if behind.contains(&at) { log.known_first() } else { log.known() };
            layout.write_config(scenario, at, known)?;
            layout::write(&layout.operator_file(at), &layout.operator(scenario, at))?;
            let _ = std::fs::remove_file(layout.log_file(&format!("n{at}")));
        }
        let ledger = Arc::new(Ledger::new(scenario.dispatchers()));
        let hosts = Hosts::start(scenario, &layout, &clock_errors_ms(scenario), &ledger)?;
        let replicas = Replicas::new(scenario, program.to_path_buf(), &layout)?;
        let real = Real::new(scenario, program.to_path_buf(), &layout, &ledger);
        Ok(Rig {
            scenario: scenario.clone(),
            layout,
            log,
            ledger,
            access,
            hosts,
            real,
            replicas,
            asked: Arc::new(Asked::default()),
            probes: broadcast::channel(PROBES_WAITING).0,
            claimed: Mutex::default(),
        })
    }

    /// Starts all dispatchers over the span told, and waits until all that are not cut off have acted on a first event.
    /// Returns how long that took from the last start on.
    pub(super) async fn start(self: &Arc<Self>) -> Result<Duration, String> {
        let (count, fleet) = (self.scenario.dispatchers(), &self.scenario.fleet);
        self.replicas.start_all().await?;
        let begun = Instant::now();
        let mut starting = tokio::task::JoinSet::new();
        for at in 0..count {
            let rig = self.clone();
            let due = begun + Duration::from_secs_f64(fleet.start_s * at as f64 / count as f64);
            starting.spawn(async move {
                tokio::time::sleep_until(due.into()).await;
                rig.ledger.lost(at, Cause::Start, unix_us());
                rig.begin(at, Cause::Start).await
            });
        }
        while let Some(started) = starting.join_next().await {
            started.map_err(|fault| fault.to_string())??;
        }
        let behind = behind(&self.scenario);
        let hollow: Vec<_> = (fleet.real..count).filter(|at| !behind.contains(at)).collect();
        let real: Vec<_> = (0..fleet.real).filter(|at| !behind.contains(at)).collect();
        self.claimed.lock().unwrap_or_else(PoisonError::into_inner).extend(&behind);
        let (first, since) = (self.log.purge(format!("{:016x}", 1)), Instant::now());
        let heard = |at: &usize| self.counted_of(*at).messages > 0;
        while !(self.ledger.all_applied(&hollow, first.seq) && real.iter().all(heard)) {
            if since.elapsed() > FIRST_CURRENT {
                return Err(format!("not all dispatchers follow after {} s", FIRST_CURRENT.as_secs()));
            }
            tokio::time::sleep(LOOKED_EACH).await;
        }
        Ok(since.elapsed())
    }

    /// Lets clients and observers ask the real dispatchers, until the run ends.
    pub(super) fn ask(self: &Arc<Self>) {
        let fleet = &self.scenario.fleet;
        for at in 0..fleet.real - fleet.real_idle {
            let (to, seed) = (self.layout.listen(at), self.scenario.seed.rotate_left(8) + at as u64);
            if fleet.requests_per_s > 0.0 {
                tokio::spawn(clients::load(to, fleet.requests_per_s, seed, self.asked.clone()));
            }
            let purges = self.probes.subscribe();
            tokio::spawn(clients::observe(at, to, seed.rotate_left(8), self.ledger.clone(), purges));
        }
    }

    /// Takes a dispatcher for a fault; tells whether nothing else happens to it.
    pub(super) fn claim(&self, dispatcher: usize) -> bool {
        self.claimed.lock().unwrap_or_else(PoisonError::into_inner).insert(dispatcher)
    }

    /// The fault is over.
    pub(super) fn release(&self, dispatcher: usize) {
        self.claimed.lock().unwrap_or_else(PoisonError::into_inner).remove(&dispatcher);
    }

    /// Whether a dispatcher is a process of its own.
    pub(super) fn is_real(&self, dispatcher: usize) -> bool {
        dispatcher < self.scenario.fleet.real
    }

    /// Starts one whose configuration is written, and notes from when it can be reached.
    pub(super) async fn begin(&self, dispatcher: usize, cause: Cause) -> Result<(), String> {
        let asked_us = unix_us();
        if self.is_real(dispatcher) {
            self.real.start(dispatcher).await?;
        } else {
            self.hosts.order(dispatcher, Order::Start(dispatcher));
        }
        let begun = Instant::now();
        loop {
            if let Some(started_us) = self.ledger.started_after(dispatcher, asked_us) {
                self.ledger.back(dispatcher, cause, started_us);
                return Ok(());
            }
            if begun.elapsed() > STARTED {
                return Err(format!("dispatcher {dispatcher}: not started after {} s", STARTED.as_secs()));
            }
            tokio::time::sleep(LOOKED_EACH).await;
        }
    }

    /// What a configuration holds that is written now.
    pub(super) fn write_config(&self, dispatcher: usize, known: Value) -> Result<(), String> {
        self.layout.write_config(&self.scenario, dispatcher, known)
    }

    /// What has passed to one dispatcher.
    fn counted_of(&self, dispatcher: usize) -> Counted {
        self.access[dispatcher].counted().into_iter().sum()
    }

    /// What has passed to each dispatcher.
    pub(super) fn counted(&self) -> Vec<Counted> {
        (0..self.access.len()).map(|at| self.counted_of(at)).collect()
    }

    /// What has passed from each source.
    pub(super) fn counted_by_source(&self) -> Vec<Counted> {
        let all: Vec<_> = self.access.iter().map(Access::counted).collect();
        let of = |source: usize| all.iter().map(|counted| counted[source]).sum();
        (0..self.scenario.replicas.max(1)).map(of).collect()
    }

    /// Who follows a replica now.
    pub(super) fn followers(&self, replica: usize) -> Vec<usize> {
        let follows = |at: &usize| self.access[*at].counted()[replica].streams > 0;
        (0..self.access.len()).filter(follows).collect()
    }
}
