//! The configuration that a dispatcher is started with.

use crate::clients::KB_PER_S;
use crate::nodes::{FALL_FOR, FALL_MULTIPLE, PARENT_COLD_S, PARENT_FALL_MULTIPLE, zone_name};
use crate::scenario::Scenario;
use crate::world::{DRAIN_GRACE, PURGE_GRACE};
use serde_json::json;
use std::net::SocketAddr;

/// Dispatchers in each location: they are dealt out in turn.
fn crews(scenario: &Scenario) -> Vec<usize> {
    let (count, zones) = (scenario.dispatchers.count, scenario.fleet.zones);
    (0..zones).map(|zone| (zone..count).step_by(zones).count()).collect()
}
/// What the dispatcher with this number is told.
pub(super) fn configuration(
    scenario: &Scenario,
    at: usize,
    listen: SocketAddr,
    service: SocketAddr,
) -> serde_json::Value {
    let fleet = &scenario.fleet;
    let services: Vec<_> = scenario
        .types
        .iter()
        .map(|of| {
            json!({"name": of.name, "effect": if of.objects == 0 { "unsafe" } else { "safe" }, "value": of.benefit,
                "aim_s": of.target_ms / 1e3, "aim_stretch": of.stretch, "deadline_s": of.expiry_ms as f64 / 1e3})
        })
        .collect();
    let each = |value: &dyn Fn(&crate::scenario::ContentType) -> serde_json::Value| {
        scenario.types.iter().map(value).collect::<Vec<_>>()
    };
    let mut localities: Vec<_> = (0..fleet.zones).map(zone_name).collect();
    localities.push("hub".into());
    let crews: Vec<_> = crews(scenario).into_iter().chain([0]).collect();
    let pipe = if fleet.sizes_untold { 0.0 } else { fleet.link * KB_PER_S / fleet.zones as f64 };
    let pipes: Vec<_> = (0..fleet.zones).map(|_| pipe).chain([0.0]).collect();
    json!({
        "name": format!("n{at}"), "listen": listen.to_string(), "seed": format!("{:x}", scenario.seed * 31 + at as u64),
        "limits": {"cores": 1.0, "memory_mb": scenario.dispatchers.memory_mb, "sockets": scenario.dispatchers.sockets},
        "changelog": service.to_string(), "flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000,
        "settings": {
            "weights": if fleet.sizes_untold { "none" } else { "nominal" },
            "zone": at % fleet.zones, "balancers": scenario.dispatchers.count, "discovery": "automatic",
            "localities": localities, "flavors": ["caches", "parents", "origin"], "services": services,
            "family_info": {
                "second_tier_kind": 1, "root_kind": 2, "pass_through_ok": true, "shares_fills": false, "detail": "all",
                "client_kb_per_s": KB_PER_S, "crew_by_zone": crews,
                "pass_on": each(&|of| (of.objects == 0).into()), "fresh_for_s": each(&|_| 0.0.into()),
                "pipe_kb_per_s": pipes,
                "purge_done_s": 6.0, "notice_time_s": PURGE_GRACE.as_secs_f64(),
                "parent_cold_from": if fleet.parent_cold_share > 0.0 { fleet.parent_cold_share } else { 0.07 },
                "parent_cold_s": PARENT_COLD_S, "parent_breaks_at": PARENT_FALL_MULTIPLE, "origin_stops_at": 2.5
            },
            "rules": {"cold_share": fleet.cold_share, "cold_s": fleet.cold_s, "fall_multiple": FALL_MULTIPLE,
                "overload_for_s": FALL_FOR.as_secs_f64(), "drain_grace_s": DRAIN_GRACE.as_secs_f64()},
            "limits": {"cancel": true, "retry_after": true, "max_retry_after_s": 1.0, "max_attempts": 6,
                "connect_timeout_s": 0.4, "streams_per_conn": 100, "conn_idle_s": 30.0}
        }
    })
}
