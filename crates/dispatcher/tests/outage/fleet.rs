//! A real dispatcher process with a simulated change log, simulated nodes and clients of its own.

use crate::change_log::{ChangeLog, LogFault};
use crate::clients::Clients;
use crate::clock::ScenarioClock;
use crate::judge::{FaultSpan, Record};
use crate::nodes::{GROUPS, Nodes, Role};
use copperroute_fault_injection::{self as fault_injection, FaultPlan, VARIABLE};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../../deploy/example.json");
const OPERATOR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/platform.json");
/// The limit for the program's start, so that a test doesn't hang; a start takes much less.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const CACHES: usize = 5;

/// The rules' time limits in the program's configuration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    /// No fetch may be sent to a draining node after this time.
    pub drain_grace: Duration,
    /// The time within which a purge must take effect.
    pub purge_notice: Duration,
    /// After this time no node holds a purged copy.
    pub purge_done: Duration,
    /// Whether the dispatcher may probe nodes.
    pub probes: bool,
}

impl Default for Terms {
    fn default() -> Self {
        let second = Duration::from_secs(1);
        Terms { drain_grace: second, purge_notice: second, purge_done: 6 * second, probes: true }
    }
}

/// A dispatcher process and its simulated surroundings.
pub(crate) struct Fleet {
    pub clock: ScenarioClock,
    pub log: ChangeLog,
    pub nodes: Nodes,
    terms: Terms,
    program: Child,
    address: SocketAddr,
    network: [u8; 2],
    files: [PathBuf; 2],
    clients: Vec<Clients>,
    faults: Vec<FaultSpan>,
    record: Record,
}

impl Fleet {
    /// Starts the program and its clients, and waits until the program listens.
    pub(crate) fn start(name: &str, terms: Terms, seed: u64) -> Fleet {
        Fleet::start_with_clock(name, terms, seed, &FaultPlan::default())
    }

    /// The same, with steps of the wall clock as in the plan.
    pub(crate) fn start_with_clock(name: &str, terms: Terms, seed: u64, plan: &FaultPlan) -> Fleet {
        static SCENARIOS: AtomicU32 = AtomicU32::new(0);
        let number = SCENARIOS.fetch_add(1, Ordering::Relaxed);
        let network = [252, ((std::process::id() * 31 + number) % 250) as u8];
        let clock = ScenarioClock::start();
        let nodes = Nodes::start(clock, network, CACHES);
        let log = ChangeLog::new(clock, 1);
        let address = SocketAddr::from(([127, network[0], network[1], 1], 5050));
        let log_address = log_address(network, 0);
        log.listen(log_address);
        let file =
            |kind: &str| std::env::temp_dir().join(format!("copperroute-outage-{}-{kind}", network[1]));
        let files = [file("config.json"), file("log.txt")];
        std::fs::write(&files[0], config(address, log_address, &nodes, terms, seed).to_string())
            .expect("a temporary file");
        let errors = std::fs::File::create(&files[1]).expect("a temporary file");
        let program = Command::new(env!("CARGO_BIN_EXE_copperroute"))
            .args(["serve", "--operator", OPERATOR, "--config"])
            .arg(&files[0])
            .env("LD_PRELOAD", fault_injection::library())
            .env(VARIABLE, plan.to_string())
            .stderr(Stdio::from(errors))
            .spawn()
            .expect("the program starts");
        println!("{name}: seed {seed}, at {address}, the program's log is {}", files[1].display());
        while TcpStream::connect(address).is_err() {
            assert!(clock.now() < START_TIMEOUT, "the program does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        let pause = Duration::from_millis(50);
        let clients = vec![Clients::start(clock, address, 8, pause, seed)];
        let (faults, record) = Default::default();
        Fleet { clock, log, nodes, terms, program, address, network, files, clients, faults, record }
    }

    /// Waits until a time of the scenario, in seconds.
    pub(crate) fn wait_until(&self, second: f64) {
        self.clock.sleep_until(Duration::from_secs_f64(second));
    }

    /// Starts a fault of the change log.
    pub(crate) fn fault(&mut self, fault: LogFault) {
        self.end_fault();
        let from = self.log.fault(Some(fault));
        self.faults.push(FaultSpan { fault, from, until: None });
    }

    /// Ends the fault of the change log.
    pub(crate) fn end_fault(&mut self) {
        let now = self.log.fault(None);
        if let Some(last) = self.faults.last_mut() {
            last.until.get_or_insert(now);
        }
    }

    /// Drains a node and writes that to the change log.
    pub(crate) fn drain(&mut self, id: &str) {
        self.list(id, "leaving");
        self.nodes.node(id).set_draining(true);
    }

    /// Ends the drain of a node and writes that to the change log.
    pub(crate) fn activate(&mut self, id: &str) {
        self.nodes.node(id).set_draining(false);
        self.list(id, "active");
    }

    fn list(&mut self, id: &str, state: &str) {
        let version = self.record.listed.len() + 2;
        let line = listed(&self.nodes, id, state);
        let content = format!("\"fleet\":{{\"version\":{version},\"full\":false,\"servers\":[{line}]}}");
        let (_, written) = self.log.write(&content);
        self.record.listed.push((id.to_string(), state == "leaving", written));
    }

    /// Purges a group now.
    pub(crate) fn purge(&mut self, group: u64) {
        let at_ms = self.clock.unix_ms(self.clock.now());
        let content = format!("\"invalidate\":{{\"bucket\":{group},\"time\":{at_ms}}}");
        let (_, written) = self.log.write(&content);
        self.nodes.purge(group, at_ms, self.terms.purge_done);
        self.record.purged.push((group, at_ms, written));
    }

    /// Purges half of the groups.
    pub(crate) fn purge_half(&mut self) {
        (0..GROUPS / 2).for_each(|group| self.purge(group));
    }

    /// Sends the program a signal.
    pub(crate) fn signal(&mut self, name: &str) {
        let pid = self.program.id().to_string();
        let killed = Command::new("kill").args(["-s", name, &pid]).status().expect("a command");
        assert!(killed.success());
        self.record.signals.push((name.to_string(), self.clock.now()));
    }

    /// Gives the change log another address, and makes the program read its configuration again with SIGHUP.
    pub(crate) fn move_log(&mut self, number: u8) {
        let address = log_address(self.network, number);
        self.log.listen(address);
        let text = std::fs::read_to_string(&self.files[0]).expect("a file");
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["changelog"] = json!(address.to_string());
        std::fs::write(&self.files[0], config.to_string()).expect("a temporary file");
        self.signal("HUP");
    }

    /// Opens idle client connections.
    pub(crate) fn idle_clients(&self, count: usize) -> Vec<TcpStream> {
        (0..count).filter_map(|_| TcpStream::connect(self.address).ok()).collect()
    }

    /// Whether the program is still running.
    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.program.try_wait(), Ok(None))
    }

    /// Ends the scenario and returns everything that was recorded.
    pub(crate) fn end(mut self) -> Record {
        self.end_fault();
        let mut record = std::mem::take(&mut self.record);
        record.requests = self.clients.drain(..).flat_map(Clients::stop).collect();
        record.requests.sort_by_key(|request| request.written);
        record.fetches = self.nodes.fetches();
        record.probes = self.nodes.probes();
        record.log_connections = self.log.log_connections();
        record.faults = std::mem::take(&mut self.faults);
        record.terms = self.terms;
        record.ran = self.is_running();
        record.lines = std::fs::read_to_string(&self.files[1]).unwrap_or_default();
        record
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
        self.log.stop();
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

fn log_address(network: [u8; 2], number: u8) -> SocketAddr {
    SocketAddr::from(([127, network[0], network[1], 100 + number], 2379))
}

/// The entry of a node in the node list.
fn listed(nodes: &Nodes, id: &str, state: &str) -> Value {
    let node = nodes.node(id);
    let (zone, kind, weight) = match node.role {
        Role::Cache => ("east", "box", 20),
        Role::Parent => ("hub", "parent", 80),
        Role::Origin => ("hub", "origin", 80),
    };
    json!({"id": id, "addr": node.address.to_string(), "zone": zone, "kind": kind, "cell": 0, "state": state,
        "weight": weight, "started_ms": 0})
}

/// The example configuration with these addresses, nodes and time limits.
fn config(address: SocketAddr, log: SocketAddr, nodes: &Nodes, terms: Terms, seed: u64) -> Value {
    let mut config: Value = serde_json::from_str(EXAMPLE).expect("JSON");
    config["listen"] = json!(address.to_string());
    config["changelog"] = json!(log.to_string());
    config["seed"] = json!(format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let servers: Vec<_> = nodes.all().iter().map(|node| listed(nodes, &node.id, "active")).collect();
    config["known"]["results"][0]["fleet"]["servers"] = json!(servers);
    let settings = &mut config["settings"];
    settings["rules"]["drain_grace_s"] = json!(terms.drain_grace.as_secs_f64());
    settings["family_info"]["notice_time_s"] = json!(terms.purge_notice.as_secs_f64());
    settings["family_info"]["purge_done_s"] = json!(terms.purge_done.as_secs_f64());
    settings["limits"]["probing"] = json!(terms.probes);
    config
}
