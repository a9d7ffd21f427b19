//! The time that a change of the rules takes: `cargo bench -p copperroute-config-rollout`.

use copperroute_config_rollout::agreement::Agreement;
use copperroute_config_rollout::faults::Faults;
use copperroute_config_rollout::rules::RuleSet;
use copperroute_config_rollout::timing::TimingBounds;
use copperroute_config_rollout::version::{IssuedVersion, ValidationContext};
use copperroute_routing::interface::*;
use copperroute_routing::policy::Dispatcher;
use divan::{Bencher, black_box};

const S: u64 = 1_000_000_000;
const TYPES: usize = 10;

fn main() {
    divan::main();
}

/// Actions that do nothing.
struct NoActions;

impl Actions for NoActions {
    fn attempt(&mut self, _: RequestId, _: &Attempt) {}
    fn cancel(&mut self, _: RequestId, _: u32) {}
    fn reject(&mut self, _: RequestId, _: Option<Nanos>) {}
    fn fail(&mut self, _: RequestId) {}
    fn arm_timer(&mut self, _: Nanos, _: u64) {}
    fn probe_load(&mut self, _node: NodeId) {}
    fn subscribe_to_list(&mut self) {}
    fn log_line(&mut self, _: &str) {}
    fn release(&mut self, _: RequestId) {}
    fn release_object(&mut self, _: ObjectId) {}
}

fn settings() -> Settings {
    let cold = ColdStart { share: 0.3, warm_after: Nanos(12 * S), overload_multiple: 1.5 };
    let content_type = ContentType {
        latency_target: Nanos(S),
        latency_target_stretch: 1.0,
        retry_safety: RetrySafety::Retriable,
        fresh_for: None,
        uncacheable: false,
        benefit: 1.0,
    };
    Settings {
        seed: 1,
        zone: ZoneId(0),
        dispatchers: 4,
        zone_dispatchers: 4,
        content_types: vec![content_type; TYPES],
        parent_kind: Some(1),
        origin_kind: Some(2),
        direct_to_parents: true,
        coalesces_fills: false,
        fill_source_reported: true,
        fill_from_other_locations: false,
        client_kb_per_s: 0.0,
        link_kb_per_s: 0.0,
        purge_done: Nanos(6 * S),
        purge_notice: Nanos(S),
        drain_grace: Nanos(S),
        cache_cold: cold,
        parent_cold: cold,
        overload_window: Nanos(3 * S),
        origin_stop_multiple: 2.5,
        list_needs_subscription: false,
        cancel: true,
        retry_after: true,
        max_retry_after: Nanos(S),
        max_attempts: 6,
        capacities_listed: true,
        load_probes: false,
        readiness_probes: false,
        overload_control: None,
    }
}

/// A dispatcher in touch that has received a version whose activation time has not come.
fn with_pending_version() -> Agreement {
    let platform_rules = RuleSet::from_settings(&settings(), &[Nanos(5 * S); TYPES]);
    let content_types = (0..TYPES).map(|at| format!("type-{at}")).collect();
    let timing =
        TimingBounds { lease: Nanos(3 * S), clock_error: Nanos(S / 4), propagation_bound: Nanos(S / 2) };
    let floor = platform_rules.clone();
    let mut core = Agreement::new(
        ValidationContext { platform_rules, content_types, timing, faults: Faults::default() },
        &floor,
    );
    core.request_sent(Nanos(S));
    core.heartbeat_received(Nanos(S), true);
    let text = r#"{"version":1,"issuer":"ops","issued_ms":1000,"from_ms":5000,"rules":{}}"#;
    let issue = IssuedVersion::parse(text).unwrap_or_else(|why| unreachable!("{why}"));
    let _ = core.version_received(Nanos(S), 1_000, &issue);
    core.update(Nanos(S), 1_000);
    core
}

#[divan::bench]
fn update_without_a_change(bencher: Bencher) {
    let mut core = with_pending_version();
    bencher.bench_local(|| black_box(core.update(Nanos(2 * S), 2_000)));
}

#[divan::bench]
fn activate_a_version(bencher: Bencher) {
    let base = settings();
    bencher.with_inputs(with_pending_version).bench_local_values(|mut core| {
        core.update(Nanos(5 * S), 5_000);
        core.effective_rules().apply(&base, &[Nanos(5 * S); TYPES])
    });
}

/// Changes the settings of the routing decisions while `open_requests` requests are open.
#[divan::bench(args = [0, 100, 1_000, 10_000])]
fn change_settings(bencher: Bencher, open_requests: u32) {
    let mut dispatcher = Dispatcher::new(settings());
    let entry = |id: u32, kind: u32| NodeEntry {
        node: NodeId(id),
        hash: mix(u64::from(id)),
        zone: ZoneId(0),
        kind,
        cell: 0,
        readiness: Readiness::Ready,
        weight: 1e6,
        started: Nanos::ZERO,
    };
    dispatcher.node_list_replaced(
        Nanos(S),
        &[entry(0, 0), entry(1, 0), entry(2, 1), entry(3, 2)],
        &mut NoActions,
    );
    for request_id in 0..open_requests {
        let hash = mix(u64::from(request_id));
        let routing_request = RoutingRequest {
            request_id: RequestId(request_id),
            content_type: TypeId(request_id % TYPES as u32),
            object: ObjectId(request_id),
            copy_hash: hash,
            object_hash: hash,
            group: None,
            deadline: Nanos(9 * S),
            is_retry: false,
            size_kb: None,
            client: 0,
            body_hash: 0,
        };
        dispatcher.request_arrived(Nanos(S), &routing_request, &mut NoActions);
    }
    let tightened = Settings { max_attempts: 2, ..settings() };
    bencher.bench_local(|| dispatcher.settings_changed(black_box(&tightened)));
}
