//! Shared by the tests: settings and nodes of a small location, and a trace of the actions of a dispatcher.

use copperroute_routing::interface::*;
use copperroute_routing::policy::Dispatcher;
use std::fmt::Write as _;

/// Writes each action as a line of text, and keeps the timers that are armed.
#[derive(Default)]
pub(crate) struct Trace(pub String, pub Vec<(Nanos, u64)>);

macro_rules! say {
    ($trace:ident, $($parts:tt)*) => {{ let _ = writeln!($trace.0, $($parts)*); }};
}

impl Actions for Trace {
    fn attempt(&mut self, request_id: RequestId, p: &Attempt) {
        let age = p.max_age.map_or(String::new(), |age| format!(" age<={:.3}", age.secs()));
        let join = if p.join { " join" } else { "" };
        let no_copy = if p.no_parent_copy { " no-parent-copy" } else { "" };
        let held = if p.held_only { " held-only" } else { "" };
        let renew = if p.renew { " renew" } else { "" };
        let (node, source, rank) = (p.node.0, p.source.0, p.rank);
        say!(
            self,
            "request {}: attempt {node} from {source} rank {rank}{age}{join}{held}{no_copy}{renew}",
            request_id.0
        );
    }
    fn cancel(&mut self, request_id: RequestId, number: u32) {
        say!(self, "request {}: cancel {number}", request_id.0);
    }
    fn reject(&mut self, request_id: RequestId, retry_after: Option<Nanos>) {
        say!(
            self,
            "request {}: rejected{}",
            request_id.0,
            if retry_after.is_some() { ", retry-after" } else { "" }
        );
    }
    fn fail(&mut self, request_id: RequestId) {
        say!(self, "request {}: failed", request_id.0);
    }
    fn arm_timer(&mut self, span: Nanos, token: u64) {
        self.1.push((span, token));
    }
    fn probe_load(&mut self, node: NodeId) {
        say!(self, "load probe {}", node.0);
    }
    fn probe_readiness(&mut self, node: NodeId) {
        say!(self, "readiness probe {}", node.0);
    }
    fn subscribe_to_list(&mut self) {
        say!(self, "subscribe");
    }
    fn log_line(&mut self, line: &str) {
        say!(self, "log: {}", line.split(" for ").next().unwrap_or(line));
    }
    fn release(&mut self, _request_id: RequestId) {}
    fn release_object(&mut self, _object: ObjectId) {}
}

/// Milliseconds.
pub(crate) fn ms(n: u64) -> Nanos {
    Nanos(n * 1_000_000)
}

/// Three content types: retriable (0), retriable and fresh for 8 s (1), non-retriable at the origin (2).
pub(crate) fn settings() -> Settings {
    let row = |retry_safety, fresh: Option<u64>, uncacheable| ContentType {
        latency_target: ms(400),
        latency_target_stretch: 2.0,
        retry_safety,
        fresh_for: fresh.map(ms),
        uncacheable,
        benefit: 1.0,
    };
    Settings {
        seed: 7,
        zone: ZoneId(2),
        dispatchers: 4,
        zone_dispatchers: 2,
        content_types: vec![
            row(RetrySafety::Retriable, None, false),
            row(RetrySafety::Retriable, Some(8_000), false),
            row(RetrySafety::NonRetriable, None, true),
        ],
        parent_kind: Some(1),
        origin_kind: Some(2),
        direct_to_parents: true,
        coalesces_fills: true,
        fill_source_reported: true,
        fill_from_other_locations: false,
        client_kb_per_s: 10_000.0,
        link_kb_per_s: 0.0,
        purge_done: ms(6_000),
        purge_notice: ms(500),
        drain_grace: ms(1_000),
        cache_cold: ColdStart { share: 0.2, warm_after: ms(15_000), overload_multiple: 2.5 },
        parent_cold: ColdStart { share: 0.07, warm_after: ms(21_000), overload_multiple: 2.0 },
        overload_window: ms(1_500),
        origin_stop_multiple: 2.5,
        list_needs_subscription: false,
        cancel: true,
        retry_after: true,
        max_retry_after: ms(2_000),
        max_attempts: 6,
        capacities_listed: true,
        load_probes: false,
        readiness_probes: false,
        overload_control: None,
    }
}

/// The entry of node `id`. Caches are kind 0 in zone 2, parents kind 1, the origin kind 2.
pub(crate) fn entry(id: u32, kind: u32, readiness: Readiness, started: Nanos) -> NodeEntry {
    let zone = ZoneId(if kind == 0 { 2 } else { 0 });
    let hash = stable_hash(format!("node-{id}").as_bytes());
    NodeEntry { node: NodeId(id), hash, zone, kind, cell: 0, readiness, weight: 12.0, started }
}

/// A dispatcher with caches 0, 1, 2, parents 3, 4 and the origin 5, all warm, and its trace.
pub(crate) fn start(settings: Settings) -> (Dispatcher, Trace) {
    let (mut module, mut trace) = (Dispatcher::new(settings), Trace::default());
    module.start(ms(1), &mut trace);
    let nodes = [(0, 0), (1, 0), (2, 0), (3, 1), (4, 1), (5, 2)];
    let list = nodes.map(|(id, kind)| entry(id, kind, Readiness::Ready, Nanos::ZERO));
    module.node_list_replaced(ms(1), &list, &mut trace);
    (module, trace)
}

/// A request of content type 0 for object `object` of `size_kb`, with a deadline 3 s from now.
pub(crate) fn sized(now: Nanos, request_id: u32, object: u32, size_kb: f64) -> RoutingRequest {
    let hash = stable_hash(format!("object-{object}").as_bytes());
    RoutingRequest {
        request_id: RequestId(request_id),
        content_type: TypeId(0),
        object: ObjectId(object),
        copy_hash: hash,
        object_hash: hash,
        group: None,
        deadline: now.after(ms(3_000)),
        is_retry: false,
        size_kb: Some(size_kb),
        client: 0,
        body_hash: 0,
    }
}

/// Sends a request for object `object` with a deadline 3 s from now. `kind` is the content type, plus 10 for a
/// client's retry.
pub(crate) fn ask(
    module: &mut Dispatcher,
    now: Nanos,
    request_id: u32,
    kind: u32,
    object: u32,
    trace: &mut Trace,
) {
    let d = RoutingRequest {
        content_type: TypeId(kind % 10),
        group: Some(u64::from(object % 4)),
        is_retry: kind >= 10,
        ..sized(now, request_id, object, 1_000.0)
    };
    module.request_arrived(now, &d, trace);
}

/// The end of an attempt with this outcome and remark.
pub(crate) fn end(outcome: Outcome, remark: Remark) -> AttemptEnd {
    let completes_request = outcome == Outcome::Served;
    AttemptEnd {
        outcome,
        duration: ms(120),
        completes_request,
        first_byte_wait: Some(ms(20)),
        remark,
        report: LoadReport::default(),
    }
}

/// Ends the lookup of request `request_id` with a miss.
pub(crate) fn miss(module: &mut Dispatcher, now: Nanos, request_id: u32, trace: &mut Trace) {
    module.attempt_ended(now, RequestId(request_id), 0, &end(Outcome::Missed, Remark::None), trace);
}
