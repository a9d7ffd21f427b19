//! What a switch of rules takes: `cargo bench -p copperroute-agreement`.

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

/// Nobody listens.
struct Nobody;

impl Actions for Nobody {
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

/// A dispatcher in touch that has heard of a version, a moment before it acts.
fn waits() -> Agreement {
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
    let told = r#"{"version":1,"issuer":"ops","issued_ms":1000,"from_ms":5000,"rules":{}}"#;
    let issue = IssuedVersion::parse(told).unwrap_or_else(|why| unreachable!("{why}"));
    let _ = core.version_received(Nanos(S), 1_000, &issue);
    core.update(Nanos(S), 1_000);
    core
}

#[divan::bench]
fn a_look_that_finds_nothing_new(bencher: Bencher) {
    let mut core = waits();
    bencher.bench_local(|| black_box(core.update(Nanos(2 * S), 2_000)));
}

#[divan::bench]
fn a_version_begins_to_act(bencher: Bencher) {
    let base = settings();
    bencher.with_inputs(waits).bench_local_values(|mut core| {
        core.update(Nanos(5 * S), 5_000);
        core.effective_rules().apply(&base, &[Nanos(5 * S); TYPES])
    });
}

/// The decisions take other rules with so many requests in hand.
#[divan::bench(args = [0, 100, 1_000, 10_000])]
fn the_decisions_take_it(bencher: Bencher, in_hand: u32) {
    let mut module = Dispatcher::new(settings());
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
    module.node_list_replaced(Nanos(S), &[entry(0, 0), entry(1, 0), entry(2, 1), entry(3, 2)], &mut Nobody);
    for request_id in 0..in_hand {
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
        module.request_arrived(Nanos(S), &routing_request, &mut Nobody);
    }
    let tight = Settings { max_attempts: 2, ..settings() };
    bencher.bench_local(|| module.settings_changed(black_box(&tight)));
}
