//! Starts a real dispatcher process against stand-ins and reads its resource use. Also builds its start configuration
//! and the node list events (snapshot and deltas) that the stand-in change log sends.

use super::change_log::ChangeLog;
use super::usage::{Usage, peak_mb, process_usage};
use crate::processes::ready;
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

/// Sites of the specified fleet; each is a zone of the node list.
pub(super) const SITES: usize = 34;
/// Dispatchers per site of the specified fleet.
pub(super) const DISPATCHERS_PER_SITE: usize = 18;
/// Weight (capacity) of a node in concurrent transfers: large enough never to limit these runs.
const NODE_WEIGHT: u32 = 100_000;
/// Rate at which a client reads one answer, in KB/s.
pub(super) const CLIENT_KB_PER_S: f64 = 5_000.0;
/// A process has settled once it uses less than `SETTLED_CORE_SHARE` of a core over this interval.
const SETTLE_INTERVAL: Duration = Duration::from_millis(300);
/// Share of one core, see `SETTLE_INTERVAL`.
const SETTLED_CORE_SHARE: f64 = 0.02;
/// Longest wait for a process to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A node as the change log lists it.
pub(super) struct ListedNode {
    /// Node id.
    pub id: String,
    /// Address the node listens on.
    pub address: SocketAddr,
    /// Index of its site; `SITES` stands for the hub.
    pub site: usize,
    /// Node kind: `caches`, `parents` or `origin`.
    pub kind: &'static str,
}

impl ListedNode {
    /// The node's entry in the node list, as an active node with this weight.
    pub(super) fn list_entry(&self, weight: impl Into<Value>) -> Value {
        json!({"id": self.id, "addr": self.address.to_string(), "zone": site_name(self.site), "kind": self.kind,
            "cell": 0, "state": "active", "weight": weight.into(), "started_ms": 0})
    }
}

fn site_name(site: usize) -> String {
    if site < SITES { format!("site-{site}") } else { "hub".into() }
}

/// Builds a node list: `own_caches` caches at the dispatcher's own site (index 0), `remote_caches` caches spread over
/// the other sites, two parents and the origin. `at` gives the address of each node by its number.
pub(super) fn fleet(
    own_caches: usize,
    remote_caches: usize,
    at: impl Fn(usize) -> SocketAddr,
) -> Vec<ListedNode> {
    let cache = |number: usize, site| ListedNode {
        id: format!("cache-{number}"),
        address: at(number),
        site,
        kind: "caches",
    };
    let above = |number: usize, kind| ListedNode {
        id: format!("{kind}-{number}"),
        address: at(own_caches + remote_caches + number),
        site: SITES,
        kind,
    };
    let mut nodes: Vec<_> = (0..own_caches).map(|number| cache(number, 0)).collect();
    nodes.extend((0..remote_caches).map(|number| cache(own_caches + number, 1 + number % (SITES - 1))));
    nodes.extend([above(0, "parents"), above(1, "parents"), above(2, "origin")]);
    nodes
}

/// The event with a snapshot of the node list.
pub(super) fn snapshot_event(nodes: &[ListedNode]) -> String {
    snapshot_event_with_weight(nodes, NODE_WEIGHT)
}

/// Like `snapshot_event`, with this weight for every node.
pub(super) fn snapshot_event_with_weight(nodes: &[ListedNode], weight: impl Into<Value> + Copy) -> String {
    let servers: Vec<_> = nodes.iter().map(|node| node.list_entry(weight)).collect();
    json!({"seq": 1, "fleet": {"version": 1, "full": true, "servers": servers}}).to_string()
}

/// Event `number`: a delta that changes the weight of one node.
pub(super) fn delta_event(nodes: &[ListedNode], number: u64) -> String {
    let weight = NODE_WEIGHT + (number % 2) as u32;
    delta_event_with_weight(nodes, number, weight)
}

/// Like `delta_event`, with this weight.
pub(super) fn delta_event_with_weight(nodes: &[ListedNode], number: u64, weight: impl Into<Value>) -> String {
    let entry = nodes[number as usize % nodes.len()].list_entry(weight);
    json!({"seq": number, "fleet": {"version": number, "full": false, "servers": [entry]}}).to_string()
}

/// Values that a run sets in the dispatcher's configuration.
#[derive(Clone)]
pub(super) struct DispatcherSettings {
    /// Request deadline, in seconds.
    pub deadline_s: f64,
    /// Limit on open sockets.
    pub sockets: u64,
    /// Content of the operator's file, if the dispatcher gets one.
    pub operator: Option<Value>,
    /// Seed of the random generators.
    pub seed: u64,
}

impl DispatcherSettings {
    fn config(&self, listen: SocketAddr, log: SocketAddr, snapshot: &str) -> Result<Value, String> {
        let snapshot: Value =
            serde_json::from_str(snapshot).map_err(|error| format!("node list snapshot: {error}"))?;
        let mut sites: Vec<_> = (0..SITES).map(site_name).collect();
        sites.push("hub".into());
        let mut dispatchers_per_zone = vec![DISPATCHERS_PER_SITE; SITES];
        dispatchers_per_zone.push(0);
        Ok(json!({
            "name": "n0", "listen": listen.to_string(), "seed": format!("{:x}", self.seed),
            "changelog": log.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": {"seq": 1, "results": [snapshot]},
            "settings": {
                "zone": 0, "balancers": SITES * DISPATCHERS_PER_SITE, "discovery": "automatic", "localities": sites,
                "flavors": ["caches", "parents", "origin"],
                "services": [{"name": "image", "effect": "safe", "aim_s": self.deadline_s / 2.0, "aim_stretch": 2.0,
                    "deadline_s": self.deadline_s, "value": 1.0}],
                "family_info": {"second_tier_kind": 1, "root_kind": 2, "pass_through_ok": true, "detail": "all",
                    "client_kb_per_s": CLIENT_KB_PER_S, "crew_by_zone": dispatchers_per_zone, "pass_on": [false],
                    "fresh_for_s": [0.0], "purge_done_s": 6.0, "notice_time_s": 1.0, "sideways": "any"},
                "rules": {"cold_share": 0.2, "cold_s": 15.0, "fall_multiple": 2.5, "overload_for_s": 3.0},
                "limits": {"cancel": true, "retry_after": true, "max_retry_after_s": 1.0, "max_attempts": 6,
                    "connect_timeout_s": 0.4, "streams_per_conn": 2_000, "conn_idle_s": 30.0}
            }
        }))
    }
}

/// Environment of one run: the program, its folder, and a loopback address used by every listener of the run.
#[derive(Clone)]
pub(super) struct RunEnvironment {
    /// Path of the dispatcher's executable.
    pub program: PathBuf,
    /// Folder for the run's files.
    pub out: PathBuf,
    /// Loopback address of this run.
    pub address: IpAddr,
    /// Index of the dispatcher within the run; 0 if there is only one.
    pub number: u16,
    /// Length of the measurement window.
    pub window: Duration,
    /// Seed of the random generators.
    pub seed: u64,
}

impl RunEnvironment {
    /// Address of the change log.
    pub(super) fn change_log_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, 2379)
    }

    /// Address on which the dispatcher accepts clients.
    pub(super) fn dispatcher_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, 5050 + self.number)
    }

    /// Address of a node, by its number.
    pub(super) fn node_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address, 6000 + number as u16)
    }

    /// Path of a file that belongs to this dispatcher.
    fn file_path(&self, name: &str) -> PathBuf {
        self.out.join(format!("n{}-{name}", self.number))
    }

    fn write(&self, name: &str, value: &Value) -> Result<PathBuf, String> {
        let file = self.file_path(name);
        let describe = |error: std::io::Error| format!("{}: {error}", file.display());
        std::fs::create_dir_all(&self.out).map_err(describe)?;
        std::fs::write(&file, value.to_string()).map_err(describe)?;
        Ok(file)
    }
}

/// A running dispatcher process; it is killed on drop.
pub(super) struct Dispatcher {
    _child: Child,
    pid: u32,
    log: Arc<ChangeLog>,
}

/// Resource use of a dispatcher over a window.
#[derive(Debug, Clone, Copy)]
pub(super) struct Window {
    /// Processor time per elapsed time (1.0 is one whole core).
    pub core_share: f64,
    /// Bytes per second sent by the change log.
    pub log_bytes_per_s: f64,
    /// Resident memory at the end of the window, in MB.
    pub resident_mb: f64,
    /// Open descriptors at the end of the window.
    pub descriptors: f64,
    /// Actual length of the window, in seconds.
    pub length_s: f64,
}

impl Dispatcher {
    /// Starts a dispatcher and waits until it serves.
    pub(super) async fn start(
        environment: &RunEnvironment,
        settings: &DispatcherSettings,
        snapshot: &str,
        log: &Arc<ChangeLog>,
    ) -> Result<Dispatcher, String> {
        let config = environment.write(
            "config.json",
            &settings.config(environment.dispatcher_address(), log.address, snapshot)?,
        )?;
        let mut command = Command::new(&environment.program);
        command.arg("serve").arg("--config").arg(config);
        if let Some(operator) = &settings.operator {
            command.arg("--operator").arg(environment.write("operator.json", operator)?);
        }
        let errors = environment.file_path("log.txt");
        let errors =
            std::fs::File::create(&errors).map_err(|error| format!("{}: {error}", errors.display()))?;
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(errors).kill_on_drop(true);
        let child = command.spawn().map_err(|error| format!("{}: {error}", environment.program.display()))?;
        let pid = child
            .id()
            .ok_or_else(|| format!("{} ended right after its start", environment.program.display()))?;
        ready(environment.dispatcher_address()).await?;
        Ok(Dispatcher { _child: child, pid, log: log.clone() })
    }

    /// Resource use since the process started.
    pub(super) fn usage(&self) -> Result<Usage, String> {
        process_usage(self.pid).ok_or_else(|| format!("dispatcher {} has ended", self.pid))
    }

    /// Peak resident memory so far, in MB.
    pub(super) fn peak_mb(&self) -> Result<f64, String> {
        peak_mb(self.pid).ok_or_else(|| format!("dispatcher {} has ended", self.pid))
    }

    /// Waits until the process is nearly idle and returns its use up to then. Fails after `SETTLE_TIMEOUT`.
    pub(super) async fn settle(&self) -> Result<Usage, String> {
        let started = Instant::now();
        let mut before = self.usage()?;
        while started.elapsed() < SETTLE_TIMEOUT {
            tokio::time::sleep(SETTLE_INTERVAL).await;
            let after = self.usage()?;
            let spent = after.processor.saturating_sub(before.processor);
            if spent < SETTLE_INTERVAL.mul_f64(SETTLED_CORE_SHARE) {
                return Ok(after);
            }
            before = after;
        }
        Err(format!("dispatcher {} has not settled within {} s", self.pid, SETTLE_TIMEOUT.as_secs()))
    }

    /// Measures resource use over a window of this length.
    pub(super) async fn measure_window(&self, length: Duration) -> Result<Window, String> {
        let (before, bytes, started) = (self.usage()?, self.log.bytes(), Instant::now());
        tokio::time::sleep(length).await;
        let (after, length_s) = (self.usage()?, started.elapsed().as_secs_f64());
        Ok(Window {
            core_share: after.processor.saturating_sub(before.processor).as_secs_f64() / length_s,
            log_bytes_per_s: (self.log.bytes() - bytes) as f64 / length_s,
            resident_mb: after.resident_mb,
            descriptors: after.descriptors as f64,
            length_s,
        })
    }
}

/// Folder of run `number` of a slope.
pub(super) fn run_folder(out: &Path, slope: &str, number: usize) -> PathBuf {
    out.join(format!("slope-{slope}-{number}"))
}
