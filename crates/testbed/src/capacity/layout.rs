//! Addresses and files of a run, and what each dispatcher's configuration says: hollow and real ones read the same.

use super::groups::{region_of, zone_of};
use super::scenario::Scenario;
use crate::processes::own_address;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The one content type that is asked for.
pub(super) const CONTENT_TYPE: &str = "image";
/// How long a client waits for it.
pub(super) const EXPIRY_MS: u64 = 5_000;
/// KB a second of one answer, as the settings say.
const KB_PER_S: f64 = 5_000.0;
const PARENTS: usize = 4;
const MEMORY_MB: u64 = 192;
const DESCRIPTORS: u64 = 1024;

/// Where everything is.
#[derive(Debug, Clone)]
pub(super) struct Layout {
    /// All addresses are in 127.`net`.0.0/16.
    pub net: u8,
    /// Configurations and logs go here.
    pub folder: PathBuf,
}

/// A stand-in of a node.
#[derive(Debug, Clone)]
pub(super) struct NodePlace {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    kind: &'static str,
}

impl Layout {
    /// Where the change log listens.
    pub(super) fn log(&self) -> SocketAddr {
        SocketAddr::from(([127, self.net, 3, 1], 2379))
    }

    /// Where a replica of it takes followers.
    pub(super) fn replica_listen(&self, replica: usize) -> SocketAddr {
        SocketAddr::from(([127, self.net, 3, replica as u8 + 2], 2379))
    }

    /// Where a dispatcher reaches a source: the change log, or a replica by its number.
    pub(super) fn access(&self, dispatcher: usize, source: usize) -> SocketAddr {
        SocketAddr::new(own_address(self.net, dispatcher), 2379 + source as u16)
    }

    /// Where a real dispatcher takes clients.
    pub(super) fn listen(&self, dispatcher: usize) -> SocketAddr {
        SocketAddr::new(own_address(self.net, dispatcher), 5050)
    }

    /// The files of a dispatcher.
    pub(super) fn config_file(&self, dispatcher: usize) -> PathBuf {
        self.folder.join(format!("n{dispatcher}.json"))
    }

    pub(super) fn operator_file(&self, dispatcher: usize) -> PathBuf {
        self.folder.join(format!("operator-{dispatcher}.json"))
    }

    pub(super) fn replica_file(&self, replica: usize) -> PathBuf {
        self.folder.join(format!("replica-{replica}.json"))
    }

    pub(super) fn log_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// The nodes: caches, parents, the origin.
    pub(super) fn nodes(&self, scenario: &Scenario) -> Vec<NodePlace> {
        let zones = scenario.fleet.zones;
        let address = |number: usize| SocketAddr::from(([127, self.net, 2, number as u8 + 1], 6000));
        let place = |number: usize, id: String, zone: String, kind| NodePlace {
            id,
            address: address(number),
            zone,
            kind,
        };
        let caches = scenario.fleet.caches;
        let mut nodes: Vec<_> =
            (0..caches).map(|at| place(at, format!("c-{at}"), zone_name(at % zones), "caches")).collect();
        for at in 0..PARENTS {
            nodes.push(place(caches + at, format!("p-{at}"), "hub".into(), "parents"));
        }
        nodes.push(place(caches + PARENTS, "o-0".into(), "hub".into(), "origin"));
        nodes
    }

    /// The configuration of a dispatcher that knows these events.
    pub(super) fn config(&self, scenario: &Scenario, dispatcher: usize, known: Value) -> Value {
        let fleet = &scenario.fleet;
        let mut zones: Vec<_> = (0..fleet.zones).map(zone_name).collect();
        zones.push("hub".into());
        let in_zone = |zone| (0..scenario.dispatchers()).filter(|at| zone_of(*at, fleet) == zone).count();
        let crews: Vec<_> = (0..fleet.zones).map(in_zone).chain([0]).collect();
        let pipes: Vec<_> = zones.iter().map(|_| 0.0).collect();
        let expiry_s = EXPIRY_MS as f64 / 1e3;
        json!({
            "name": format!("n{dispatcher}"), "listen": self.listen(dispatcher).to_string(),
            "seed": format!("{:x}", scenario.seed * 1_000_003 + dispatcher as u64),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "changelog": self.access(dispatcher, 0).to_string(),
            "flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000,
            "known": known,
            "settings": {
                "zone": zone_of(dispatcher, fleet), "balancers": scenario.dispatchers(), "discovery": "automatic",
                "localities": zones, "flavors": ["caches", "parents", "origin"],
                "services": [{"name": CONTENT_TYPE, "effect": "safe", "value": 1.0, "aim_s": 2.0, "aim_stretch": 2.0,
                    "deadline_s": expiry_s}],
                "family_info": {
                    "second_tier_kind": 1, "root_kind": 2, "pass_through_ok": true, "shares_fills": false,
                    "detail": "all", "client_kb_per_s": KB_PER_S, "crew_by_zone": crews, "pass_on": [false],
                    "fresh_for_s": [0.0], "pipe_kb_per_s": pipes, "purge_done_s": 6.0, "notice_time_s": 1.0,
                    "parent_cold_from": 0.07, "parent_cold_s": 20.0, "parent_breaks_at": 2.0, "origin_stops_at": 2.5
                },
                "rules": {"cold_share": 0.2, "cold_s": 15.0, "fall_multiple": 2.5, "overload_for_s": 3.0,
                    "drain_grace_s": 2.0},
                "limits": {"cancel": true, "retry_after": true, "max_retry_after_s": 1.0, "max_attempts": 6,
                    "connect_timeout_s": 0.4, "streams_per_conn": 100, "conn_idle_s": 30.0}
            }
        })
    }

    /// The configuration of a replica: it follows the change log.
    pub(super) fn replica(&self, scenario: &Scenario, replica: usize) -> Value {
        let mut file = scenario.relay.clone();
        file.insert("name".into(), json!(format!("r{replica}")));
        file.insert("listen".into(), json!(self.replica_listen(replica).to_string()));
        file.insert("sources".into(), json!([{"address": self.log().to_string(), "kind": "change-log"}]));
        Value::Object(file)
    }

    /// The operator's file of a dispatcher: as the scenario has it, and with its own way to each replica.
    pub(super) fn operator(&self, scenario: &Scenario, dispatcher: usize) -> Value {
        let mut file = Value::Object(scenario.operator.clone());
        let replica = |number: usize| {
            json!({"address": self.access(dispatcher, number).to_string(), "zone": zone_name(number),
                "region": format!("r{}", region_of(number, &scenario.fleet))})
        };
        if scenario.replicas > 0 {
            file["lists"]["replicas"] = (0..scenario.replicas).map(replica).collect();
        }
        file
    }

    /// Writes the configuration of a dispatcher that is about to start.
    pub(super) fn write_config(
        &self,
        scenario: &Scenario,
        dispatcher: usize,
        known: Value,
    ) -> Result<(), String> {
        write(&self.config_file(dispatcher), &self.config(scenario, dispatcher, known))
    }
}

impl NodePlace {
    /// Its line of the list.
    pub(super) fn listed(&self) -> Value {
        let weight = if self.kind == "caches" { 1_000 } else { 5_000 };
        json!({"id": self.id, "addr": self.address.to_string(), "zone": self.zone, "kind": self.kind, "cell": 0,
            "state": "active", "weight": weight, "started_ms": 0})
    }
}

/// The name of a zone.
pub(super) fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

/// Writes JSON to a file.
pub(super) fn write(path: &Path, value: &Value) -> Result<(), String> {
    std::fs::write(path, value.to_string()).map_err(|fault| format!("{}: {fault}", path.display()))
}
