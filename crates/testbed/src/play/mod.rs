//! Plays a scenario: starts the stand-ins and the real dispatchers, lets the clients come, and makes things fail.

mod configuration;
mod faults;
mod versions;

use crate::clients::Crowd;
use crate::groups;
use crate::links::Link;
use crate::nodes::Fleet;
use crate::processes::{Processes, own_address, ready};
use crate::results::{Heard, Outcome, Results, Seen};
use crate::scenario::{Know, Scenario, Side, Whom};
use crate::service::Service;
use crate::wall_clock;
use crate::world::World;
use configuration::configuration;
use faults::happen;
use indicatif::ProgressBar;
use serde_json::json;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use versions::issue;

/// How often it is looked whether all dispatchers have heard all.
const LOOK: Duration = Duration::from_millis(20);

/// What is played, with what, and where to.
pub(crate) struct Play<'a> {
    /// The scenario's name.
    pub name: &'a str,
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The dispatchers' program.
    pub program: &'a Path,
    /// It takes an operator's file.
    pub operated: bool,
    /// Logs and configurations go here.
    pub out: &'a Path,
    /// All addresses are in 127.`net`.0.0/16.
    pub net: u8,
}

/// The links of a dispatcher that faults name.
type Links = HashMap<(Side, usize), Vec<Link>>;

/// What is played on.
struct Stage {
    world: Arc<World>,
    fleet: Arc<Fleet>,
    service: Arc<Service>,
    processes: Processes,
    links: Links,
    reconnect: watch::Sender<u64>,
}

impl Play<'_> {
    /// The dispatcher's own address: it listens there, and its links are there.
    fn address(&self, at: usize) -> IpAddr {
        own_address(self.net, at)
    }

    /// Opens the links that faults name, and tells who is to use them: the list service each dispatcher that
    /// has a link to it, nodes and clients those that have.
    fn open_links(&self, fleet: &Fleet, service: &Service) -> Result<Links, String> {
        let mut links = Links::new();
        let said = |fault: std::io::Error| format!("link: {fault}");
        let named = (0..self.scenario.faults.len()).filter_map(|at| match self.scenario.whom(at) {
            Some(Whom::Links(side, who)) => Some(who.into_iter().map(move |at| (side, at))),
            _ => None,
        });
        for (side, at) in named.flatten() {
            if links.contains_key(&(side, at)) {
                continue;
            }
            let own = self.address(at);
            let opened = match side {
                // All dispatchers reach the list service over a link, so that it can tell them apart.
                Side::Lists => continue,
                Side::Clients => {
                    vec![Link::open(SocketAddr::new(own, 5051), SocketAddr::new(own, 5050)).map_err(said)?]
                }
                Side::Nodes => {
                    let mut opened = Vec::new();
                    let mut seen = HashMap::new();
                    for (number, node) in fleet.nodes.iter().enumerate() {
                        let listen = SocketAddr::new(own, 6000 + number as u16);
                        opened.push(Link::open(listen, node.address).map_err(said)?);
                        seen.insert(node.id.clone(), listen);
                    }
                    service.show(own, seen);
                    opened
                }
            };
            links.insert((side, at), opened);
        }
        for at in 0..self.scenario.dispatchers.count {
            let listen = SocketAddr::new(self.address(at), 2379);
            links.insert((Side::Lists, at), vec![Link::open(listen, service.address).map_err(said)?]);
        }
        Ok(links)
    }

    fn start(&self, service: &Arc<Service>) -> Result<Processes, String> {
        let mut processes = Processes::default();
        let wall_clock = wall_clock::variables(&self.scenario.dispatchers.wall_clock, self.program)?;
        let first: Vec<_> =
            (0..self.scenario.dispatchers.count).map(|at| service.known(self.address(at))).collect();
        for (at, first) in first.into_iter().enumerate() {
            let own = self.address(at);
            let file = self.out.join(format!("n{at}.json"));
            let mut words = vec!["serve".into(), "--config".into(), file.clone().into_os_string()];
            let odd = self.scenario.dispatchers.odd.as_ref().filter(|odd| {
                let of = &self.scenario;
                let who = groups::named(&odd.who, of.dispatchers.count, of.fleet.zones, of.seed);
                who.is_some_and(|who| who.contains(&at))
            });
            let told = odd.map(|odd| &odd.operator).or(self.scenario.dispatchers.operator.as_ref());
            if let Some(told) = told.filter(|_| self.operated) {
                // Each has a folder of its own for what it keeps.
                let operator = self.out.join(format!("operator-{at}.json"));
                let folder = self.out.join(format!("store-{at}")).display().to_string();
                std::fs::write(&operator, told.to_string().replace("{folder}", &folder))
                    .map_err(|fault| format!("{}: {fault}", operator.display()))?;
                words.extend(["--operator".into(), operator.into_os_string()]);
            }
            let plain =
                configuration(self.scenario, at, SocketAddr::new(own, 5050), SocketAddr::new(own, 2379));
            let (know, service) = (self.scenario.dispatchers.know, service.clone());
            let before = move || {
                let mut written = plain.clone();
                written["known"] = match know {
                    Know::All => service.known(own),
                    Know::First => first.clone(),
                    Know::Nothing => json!({"seq": 0, "results": []}),
                };
                std::fs::write(&file, format!("{written:#}"))
            };
            let log = self.out.join(format!("n{at}.log"));
            let told = &self.scenario.dispatchers;
            let variables = [("RUST_LOG", told.log.clone()), ("COPPERROUTE_FAULT", told.fault.clone())];
            let variables = variables.into_iter().chain(wall_clock.clone()).collect();
            processes.add(self.program, words, log, variables, Box::new(before));
        }
        Ok(processes)
    }

    /// Plays it to the end.
    pub(crate) async fn run(&self) -> Result<Outcome, String> {
        std::fs::create_dir_all(self.out).map_err(|fault| format!("{}: {fault}", self.out.display()))?;
        let count = self.scenario.dispatchers.count;
        for at in 0..count {
            let _ = std::fs::remove_file(self.out.join(format!("n{at}.log")));
            let _ = std::fs::remove_dir_all(self.out.join(format!("store-{at}")));
        }
        let world = Arc::new(World::new(self.scenario.clone()));
        let fleet = Fleet::new(world.clone(), self.net);
        fleet.listen();
        let service = Service::start(self.net, self.scenario.service, &fleet.nodes)
            .await
            .map_err(|fault| format!("list service: {fault}"))?;
        let links = self.open_links(&fleet, &service)?;
        // A fault at the very start is there before the first dispatcher.
        if let Some(fault) = self
            .scenario
            .faults
            .iter()
            .enumerate()
            .find(|(at, fault)| fault.at_s == 0.0 && self.scenario.whom(*at) == Some(Whom::Service))
        {
            service.fault(Some(fault.1.what));
        }
        let processes = self.start(&service)?;
        let (reconnect, reconnects) = watch::channel(0);
        let stage = Arc::new(Stage { world, fleet, service, processes, links, reconnect });
        let (world, service) = (stage.world.clone(), stage.service.clone());
        let own: Vec<_> = (0..count).map(|at| self.address(at)).collect();
        let begun = Instant::now();
        service.begin();
        let over = Duration::from_secs_f64(self.scenario.dispatchers.start_s);
        stage.processes.start(&(0..count).collect::<Vec<_>>(), over).await?;
        let started = begun.elapsed();
        let port = |at: usize| if stage.links.contains_key(&(Side::Clients, at)) { 5051 } else { 5050 };
        let addresses: Vec<_> = (0..count).map(|at| SocketAddr::new(own[at], port(at))).collect();
        for at in &own {
            ready(SocketAddr::new(*at, 5050)).await?;
        }
        let first_current = tokio::spawn(all_current(service.clone(), own.clone(), begun));
        world.begin();
        let length = Duration::from_secs_f64(self.scenario.length_s);
        let results = Arc::new(Results::new(self.scenario.length_s as usize, self.scenario.types.len()));
        let until = world.start() + length;
        let crowd = Arc::new(Crowd {
            world: world.clone(),
            results: results.clone(),
            dispatchers: addresses,
            net: self.net,
            reconnect: reconnects,
            until,
        });
        let clients: Vec<_> =
            (0..self.scenario.clients.count).map(|at| tokio::spawn(crowd.clone().client(at))).collect();
        if let Some(told) = self.scenario.versions.clone() {
            tokio::spawn(issue(told, stage.clone(), until));
        }
        for at in 0..self.scenario.faults.len() {
            tokio::spawn(happen(at, stage.clone()));
        }
        let ends = self.scenario.last_fault_ends();
        let back = ends.map(|ends| {
            let (service, own, world) = (service.clone(), own.clone(), world.clone());
            tokio::spawn(async move {
                let since = world.start() + Duration::from_secs_f64(ends);
                tokio::time::sleep_until(since.into()).await;
                all_current(service, own, since).await
            })
        });
        self.watch(&world, &results, &stage.processes).await;
        let last = self.scenario.types.iter().map(|of| of.expiry_ms).max().unwrap_or_default();
        let _ = tokio::time::timeout(Duration::from_millis(last + 500), async {
            for client in clients {
                let _ = client.await;
            }
        })
        .await;
        for (at, status) in stage.processes.end().await {
            world.breach(1, format!("dispatcher {at} ended by itself: {status}"));
        }
        let done = |task: tokio::task::JoinHandle<Duration>| async move {
            if task.is_finished() { task.await.ok().map(|span| span.as_secs_f64()) } else { None }
        };
        let first_current_s = done(first_current).await;
        let current_s = match back {
            Some(task) => done(task).await,
            None => first_current_s,
        };
        let (seconds, peak, falls) = service.counted();
        let logs: Vec<String> = (0..count)
            .map(|at| std::fs::read_to_string(self.out.join(format!("n{at}.log"))).unwrap_or_default())
            .collect();
        let heard = Heard {
            started_s: started.as_secs_f64(),
            first_current_s,
            current_s,
            peak: peak.0,
            peak_at_s: peak.1,
            falls,
            log_lines: logs.iter().map(|log| log.lines().filter(|line| is_of_lists(line)).count()).max(),
            seconds,
        };
        let program = self.program.display().to_string();
        let (breaches, tallies, traffic) = (world.breaches(), world.tallies(), world.traffic());
        let agreed = world.agreed();
        let seen = Seen { breaches, logs: logs.concat(), heard, tallies, traffic, agreed };
        Ok(results.outcome(self.name, &program, self.scenario, seen))
    }

    /// Second by second: progress, and what dispatchers use.
    async fn watch(&self, world: &World, results: &Results, processes: &Processes) {
        let bar = ProgressBar::new(self.scenario.length_s as u64).with_message(self.name.to_string());
        let (mut before, mut second) = (0.0, 0);
        while world.secs() < self.scenario.length_s {
            tokio::time::sleep(Duration::from_millis(50)).await;
            if world.secs() as u64 > second {
                let all = processes.used();
                let cpu: f64 = all.iter().map(|used| used.0).sum();
                results.used(second as f64, (cpu - before).max(0.0), all.iter().map(|used| used.1).sum());
                (before, second) = (cpu, world.secs() as u64);
                bar.set_position(second);
            }
        }
        bar.finish_and_clear();
    }
}

/// Lines of a dispatcher's log on the list service.
fn is_of_lists(line: &str) -> bool {
    line.contains("change log:") || line.contains("list:")
}

/// Waits until all dispatchers have heard all; returns how long that took.
async fn all_current(service: Arc<Service>, own: Vec<IpAddr>, since: Instant) -> Duration {
    while service.current(&own) < own.len() {
        tokio::time::sleep(LOOK).await;
    }
    since.elapsed()
}

/// The name of a scenario's file.
pub(crate) fn name_of(path: &Path) -> String {
    path.file_stem().map_or_else(|| "scenario".into(), |stem| stem.to_string_lossy().to_string())
}

/// The dispatchers' program beside this one.
pub(crate) fn own_program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|fault| fault.to_string())?;
    let beside = own.parent().map(|folder| folder.join("copperroute")).unwrap_or_default();
    match beside.exists() {
        true => Ok(beside),
        false => Err(format!("{}: not there; build it first, or name it with --program", beside.display())),
    }
}
