//! A real dispatcher with everything around it: its own change log, nodes, clients.

use crate::change_log::{ChangeLog, LogFault};
use crate::clients::Clients;
use crate::clock::PlayClock;
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
/// Nothing here takes nearly as long; it only ends a play that hangs.
const LONG: Duration = Duration::from_secs(20);
const CACHES: usize = 5;

/// What a play's deployment tells.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    /// Sends to a node that drains must end within this.
    pub drain_grace: Duration,
    /// The time to heed a purge.
    pub purge_notice: Duration,
    /// Older copies are gone from every node after this.
    pub purge_done: Duration,
    /// Nodes may be probed.
    pub probes: bool,
}

impl Default for Terms {
    fn default() -> Self {
        let second = Duration::from_secs(1);
        Terms { drain_grace: second, purge_notice: second, purge_done: 6 * second, probes: true }
    }
}

/// A dispatcher and all around it.
pub(crate) struct Fleet {
    pub clock: PlayClock,
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
    /// Starts one, with its clients, and waits until it serves.
    pub(crate) fn start(name: &str, terms: Terms, seed: u64) -> Fleet {
        Fleet::on_clock(name, terms, seed, &FaultPlan::default())
    }

    /// The same on a machine whose wall clock steps as a plan says.
    pub(crate) fn on_clock(name: &str, terms: Terms, seed: u64, plan: &FaultPlan) -> Fleet {
        static PLAYS: AtomicU32 = AtomicU32::new(0);
        let play = PLAYS.fetch_add(1, Ordering::Relaxed);
        let network = [252, ((std::process::id() * 31 + play) % 250) as u8];
        let clock = PlayClock::start();
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
        println!("{name}: seed {seed}, at {address}, log of the program {}", files[1].display());
        while TcpStream::connect(address).is_err() {
            assert!(clock.now() < LONG, "the program does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        let pause = Duration::from_millis(50);
        let clients = vec![Clients::start(clock, address, 8, pause, seed)];
        let (faults, record) = Default::default();
        Fleet { clock, log, nodes, terms, program, address, network, files, clients, faults, record }
    }

    /// Lets the play go on until a time of it.
    pub(crate) fn until(&self, second: f64) {
        self.clock.sleep_until(Duration::from_secs_f64(second));
    }

    /// A fault of the change log begins.
    pub(crate) fn fault(&mut self, fault: LogFault) {
        self.heal();
        let from = self.log.fault(Some(fault));
        self.faults.push(FaultSpan { fault, from, until: None });
    }

    /// The change log is well again.
    pub(crate) fn heal(&mut self) {
        let now = self.log.fault(None);
        if let Some(last) = self.faults.last_mut() {
            last.until.get_or_insert(now);
        }
    }

    /// A node drains, and that is written into the change log.
    pub(crate) fn drain(&mut self, id: &str) {
        self.list(id, "leaving");
        self.nodes.node(id).drains(true);
    }

    /// A node that drained takes work again.
    pub(crate) fn activate(&mut self, id: &str) {
        self.nodes.node(id).drains(false);
        self.list(id, "active");
    }

    fn list(&mut self, id: &str, state: &str) {
        let version = self.record.listed.len() + 2;
        let line = listed(&self.nodes, id, state);
        let content = format!("\"fleet\":{{\"version\":{version},\"full\":false,\"servers\":[{line}]}}");
        let (_, written) = self.log.write(&content);
        self.record.listed.push((id.to_string(), state == "leaving", written));
    }

    /// A group is purged, now.
    pub(crate) fn purge(&mut self, group: u64) {
        let at_ms = self.clock.unix_ms(self.clock.now());
        let content = format!("\"invalidate\":{{\"bucket\":{group},\"time\":{at_ms}}}");
        let (_, written) = self.log.write(&content);
        self.nodes.purge(group, at_ms, self.terms.purge_done);
        self.record.purged.push((group, at_ms, written));
    }

    /// Half of the groups are purged.
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

    /// The change log is at another address of its own from now on, which the program is told by SIGHUP.
    pub(crate) fn move_log(&mut self, number: u8) {
        let address = log_address(self.network, number);
        self.log.listen(address);
        let text = std::fs::read_to_string(&self.files[0]).expect("a file");
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["changelog"] = json!(address.to_string());
        std::fs::write(&self.files[0], config.to_string()).expect("a temporary file");
        self.signal("HUP");
    }

    /// Idle clients, so many.
    pub(crate) fn crowd(&self, count: usize) -> Vec<TcpStream> {
        (0..count).filter_map(|_| TcpStream::connect(self.address).ok()).collect()
    }

    /// Whether the program runs.
    pub(crate) fn runs(&mut self) -> bool {
        matches!(self.program.try_wait(), Ok(None))
    }

    /// Ends the play, and hands over all that was recorded.
    pub(crate) fn end(mut self) -> Record {
        self.heal();
        let mut record = std::mem::take(&mut self.record);
        record.asked = self.clients.drain(..).flat_map(Clients::stop).collect();
        record.asked.sort_by_key(|asked| asked.written);
        record.fetches = self.nodes.fetches();
        record.probes = self.nodes.probes();
        record.calls = self.log.calls();
        record.faults = std::mem::take(&mut self.faults);
        record.terms = self.terms;
        record.ran = self.runs();
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

/// A node's line of the list.
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

/// The example's configuration with these nodes and terms.
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
