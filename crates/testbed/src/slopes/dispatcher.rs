//! One real dispatcher beside stand-ins: what it is told, its start, and what it uses over a window.

use super::change_log::ChangeLog;
use super::usage::{Usage, peak_mb, usage};
use crate::processes::ready;
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

/// Sites of the told fleet, and the dispatchers of one.
pub(super) const SITES: usize = 34;
pub(super) const SITE_DISPATCHERS: usize = 18;
/// Nodes' weights, in transfers at once: never the limit here.
const WEIGHT: u32 = 100_000;
/// What clients take of one answer, in KB a second.
pub(super) const CLIENT_KB_PER_S: f64 = 5_000.0;
/// A process has settled once it uses less than a part of a core for so long.
const SETTLED_OVER: Duration = Duration::from_millis(300);
const SETTLED_CORE: f64 = 0.02;
const SETTLES_WITHIN: Duration = Duration::from_secs(60);

/// A node as the change log lists it.
pub(super) struct ListedNode {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The number of its site; one past the last for the hub.
    pub site: usize,
    /// `caches`, `parents` or `origin`.
    pub kind: &'static str,
}

impl ListedNode {
    /// Its line of the list, with one of two states that both take work.
    pub(super) fn line(&self, weight: impl Into<Value>) -> Value {
        json!({"id": self.id, "addr": self.address.to_string(), "zone": site_name(self.site), "kind": self.kind,
            "cell": 0, "state": "active", "weight": weight.into(), "started_ms": 0})
    }
}

fn site_name(site: usize) -> String {
    if site < SITES { format!("site-{site}") } else { "hub".into() }
}

/// So many caches spread over all sites but the dispatcher's own, which has `own`, with two parents and the origin.
pub(super) fn fleet(own: usize, elsewhere: usize, at: impl Fn(usize) -> SocketAddr) -> Vec<ListedNode> {
    let cache = |number: usize, site| ListedNode {
        id: format!("cache-{number}"),
        address: at(number),
        site,
        kind: "caches",
    };
    let above = |number: usize, kind| ListedNode {
        id: format!("{kind}-{number}"),
        address: at(own + elsewhere + number),
        site: SITES,
        kind,
    };
    let mut nodes: Vec<_> = (0..own).map(|number| cache(number, 0)).collect();
    nodes.extend((0..elsewhere).map(|number| cache(own + number, 1 + number % (SITES - 1))));
    nodes.extend([above(0, "parents"), above(1, "parents"), above(2, "origin")]);
    nodes
}

/// The event that tells the whole list.
pub(super) fn whole_list(nodes: &[ListedNode]) -> String {
    whole_list_at(nodes, WEIGHT)
}

/// The same with nodes of another weight.
pub(super) fn whole_list_at(nodes: &[ListedNode], weight: impl Into<Value> + Copy) -> String {
    let servers: Vec<_> = nodes.iter().map(|node| node.line(weight)).collect();
    json!({"seq": 1, "fleet": {"version": 1, "full": true, "servers": servers}}).to_string()
}

/// The event in which one node's line has changed.
pub(super) fn changed_line(nodes: &[ListedNode], number: u64) -> String {
    let weight = WEIGHT + (number % 2) as u32;
    changed_line_at(nodes, number, weight)
}

/// The same with a weight of another size.
pub(super) fn changed_line_at(nodes: &[ListedNode], number: u64, weight: impl Into<Value>) -> String {
    let line = nodes[number as usize % nodes.len()].line(weight);
    json!({"seq": number, "fleet": {"version": number, "full": false, "servers": [line]}}).to_string()
}

/// What a dispatcher is told.
#[derive(Clone)]
pub(super) struct Told {
    /// The longest that a client waits.
    pub deadline_s: f64,
    /// Descriptors.
    pub sockets: u64,
    /// The operator's own file.
    pub operator: Option<Value>,
    /// Where chance starts from.
    pub seed: u64,
}

impl Told {
    fn config(&self, listen: SocketAddr, log: SocketAddr, list: &str) -> Result<Value, String> {
        let list: Value = serde_json::from_str(list).map_err(|fault| fault.to_string())?;
        let mut sites: Vec<_> = (0..SITES).map(site_name).collect();
        sites.push("hub".into());
        let mut crews = vec![SITE_DISPATCHERS; SITES];
        crews.push(0);
        Ok(json!({
            "name": "n0", "listen": listen.to_string(), "seed": format!("{:x}", self.seed),
            "changelog": log.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": {"seq": 1, "results": [list]},
            "settings": {
                "zone": 0, "balancers": SITES * SITE_DISPATCHERS, "discovery": "automatic", "localities": sites,
                "flavors": ["caches", "parents", "origin"],
                "services": [{"name": "image", "effect": "safe", "aim_s": self.deadline_s / 2.0, "aim_stretch": 2.0,
                    "deadline_s": self.deadline_s, "value": 1.0}],
                "family_info": {"second_tier_kind": 1, "root_kind": 2, "pass_through_ok": true, "detail": "all",
                    "client_kb_per_s": CLIENT_KB_PER_S, "crew_by_zone": crews, "pass_on": [false],
                    "fresh_for_s": [0.0], "purge_done_s": 6.0, "notice_time_s": 1.0, "sideways": "any"},
                "rules": {"cold_share": 0.2, "cold_s": 15.0, "fall_multiple": 2.5, "overload_for_s": 3.0},
                "limits": {"cancel": true, "retry_after": true, "max_retry_after_s": 1.0, "max_attempts": 6,
                    "connect_timeout_s": 0.4, "streams_per_conn": 2_000, "conn_idle_s": 30.0}
            }
        }))
    }
}

/// Where one run takes place: an address of its own for all that listens.
#[derive(Clone)]
pub(super) struct Place {
    /// The dispatcher's program.
    pub program: PathBuf,
    /// The folder of this run.
    pub out: PathBuf,
    /// The address of this run.
    pub own: IpAddr,
    /// The number of the dispatcher there, where there are several.
    pub number: u16,
    /// How long one is measured.
    pub window: Duration,
    /// Where chance starts from.
    pub seed: u64,
}

impl Place {
    /// Where the change log listens.
    pub(super) fn log(&self) -> SocketAddr {
        SocketAddr::new(self.own, 2379)
    }

    /// Where clients connect.
    pub(super) fn listen(&self) -> SocketAddr {
        SocketAddr::new(self.own, 5050 + self.number)
    }

    /// Where a node listens.
    pub(super) fn node(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.own, 6000 + number as u16)
    }

    /// A file of this dispatcher's.
    fn file(&self, name: &str) -> PathBuf {
        self.out.join(format!("n{}-{name}", self.number))
    }

    fn write(&self, name: &str, value: &Value) -> Result<PathBuf, String> {
        let file = self.file(name);
        let said = |fault: std::io::Error| format!("{}: {fault}", file.display());
        std::fs::create_dir_all(&self.out).map_err(said)?;
        std::fs::write(&file, value.to_string()).map_err(said)?;
        Ok(file)
    }
}

/// A dispatcher that runs; it ends as this is dropped.
pub(super) struct Dispatcher {
    _child: Child,
    pid: u32,
    log: Arc<ChangeLog>,
}

/// What a dispatcher used over a window.
#[derive(Debug, Clone, Copy)]
pub(super) struct Window {
    /// Processor time, in seconds a second.
    pub core: f64,
    /// Bytes that the change log told, a second.
    pub log_bytes_per_s: f64,
    /// At its end.
    pub resident_mb: f64,
    /// At its end.
    pub descriptors: f64,
    /// How long it really was.
    pub secs: f64,
}

impl Dispatcher {
    /// Starts one and waits until it serves.
    pub(super) async fn start(
        place: &Place,
        told: &Told,
        list: &str,
        log: &Arc<ChangeLog>,
    ) -> Result<Dispatcher, String> {
        let config = place.write("config.json", &told.config(place.listen(), log.address, list)?)?;
        let mut command = Command::new(&place.program);
        command.arg("serve").arg("--config").arg(config);
        if let Some(operator) = &told.operator {
            command.arg("--operator").arg(place.write("operator.json", operator)?);
        }
        let errors = place.file("log.txt");
        let errors =
            std::fs::File::create(&errors).map_err(|fault| format!("{}: {fault}", errors.display()))?;
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(errors).kill_on_drop(true);
        let child = command.spawn().map_err(|fault| format!("{}: {fault}", place.program.display()))?;
        let pid = child.id().ok_or("the dispatcher has ended at its start")?;
        ready(place.listen()).await?;
        Ok(Dispatcher { _child: child, pid, log: log.clone() })
    }

    /// What it has used so far.
    pub(super) fn usage(&self) -> Result<Usage, String> {
        usage(self.pid).ok_or_else(|| "the dispatcher has ended".to_string())
    }

    /// The most memory that it has had resident so far, in MB.
    pub(super) fn peak_mb(&self) -> Result<f64, String> {
        peak_mb(self.pid).ok_or_else(|| "the dispatcher has ended".to_string())
    }

    /// Waits until it has done what it was given; returns what it has used by then.
    pub(super) async fn settle(&self) -> Result<Usage, String> {
        let begun = Instant::now();
        let mut before = self.usage()?;
        while begun.elapsed() < SETTLES_WITHIN {
            tokio::time::sleep(SETTLED_OVER).await;
            let after = self.usage()?;
            let spent = after.processor.saturating_sub(before.processor);
            if spent < SETTLED_OVER.mul_f64(SETTLED_CORE) {
                return Ok(after);
            }
            before = after;
        }
        Err(format!("the dispatcher has not settled within {} s", SETTLES_WITHIN.as_secs()))
    }

    /// What it uses over a window.
    pub(super) async fn window(&self, length: Duration) -> Result<Window, String> {
        let (before, bytes, begun) = (self.usage()?, self.log.bytes(), Instant::now());
        tokio::time::sleep(length).await;
        let (after, secs) = (self.usage()?, begun.elapsed().as_secs_f64());
        Ok(Window {
            core: after.processor.saturating_sub(before.processor).as_secs_f64() / secs,
            log_bytes_per_s: (self.log.bytes() - bytes) as f64 / secs,
            resident_mb: after.resident_mb,
            descriptors: after.descriptors as f64,
            secs,
        })
    }
}

/// The folder of a run.
pub(super) fn folder(out: &Path, slope: &str, number: usize) -> PathBuf {
    out.join(format!("slope-{slope}-{number}"))
}
