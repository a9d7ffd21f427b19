//! A simulation for tests of overload control: one dispatcher, clients that retry, and nodes that can be made
//! unreachable.

use crate::common::{entry, ms, settings};
use copperroute_routing::interface::*;
use copperroute_routing::policy::Dispatcher;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;

const STEP: Nanos = Nanos(10_000_000);

/// Settings of overload control.
pub(crate) fn overload_settings() -> OverloadSettings {
    OverloadSettings {
        remember_for: ms(60_000),
        max_remembered: 20_000,
        slots: 50,
        unreserved_share: 0.2,
        clients_mark_retries: true,
        unknown_retry_may_have_run: false,
        max_attempts: 6,
    }
}

/// A request of a client, or a retry of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientRequest {
    pub client: u64,
    pub object: u32,
    /// The index of its content type.
    pub content_type: u32,
    /// Retries before this one.
    pub retries: u32,
    /// Attempts so far, those of earlier retries included.
    pub attempts: u32,
    /// Whether the client waits for the retry-after.
    pub honours_retry_after: bool,
}

#[derive(Default)]
struct Recorder {
    attempts: Vec<RequestId>,
    rejected: Vec<(RequestId, Nanos)>,
    failed: Vec<RequestId>,
    released: Vec<RequestId>,
    log_lines: Vec<String>,
}

impl Actions for Recorder {
    fn attempt(&mut self, request_id: RequestId, _attempt: &Attempt) {
        self.attempts.push(request_id);
    }
    fn cancel(&mut self, _dl: RequestId, _number: u32) {}
    fn reject(&mut self, request_id: RequestId, retry_after: Option<Nanos>) {
        self.rejected.push((request_id, retry_after.unwrap_or_default()));
    }
    fn fail(&mut self, request_id: RequestId) {
        self.failed.push(request_id);
    }
    fn arm_timer(&mut self, _span: Nanos, _token: u64) {}
    fn probe_load(&mut self, _node: NodeId) {}
    fn subscribe_to_list(&mut self) {}
    fn log_line(&mut self, line: &str) {
        self.log_lines.push(line.to_string());
    }
    fn release(&mut self, request_id: RequestId) {
        self.released.push(request_id);
    }
    fn release_object(&mut self, _object: ObjectId) {}
}

/// A dispatcher, its clients, and how nodes answer.
pub(crate) struct Scenario {
    pub dispatcher: Dispatcher,
    pub now: Nanos,
    /// Open requests, and the number of attempts of each.
    pub open: HashMap<u32, (ClientRequest, u32)>,
    pub next: u32,
    pub free: Vec<u32>,
    /// Retries, by their time of arrival.
    pub arrivals: BTreeMap<u64, Vec<ClientRequest>>,
    /// Ends of attempts, by their time.
    pub attempt_ends: BTreeMap<u64, Vec<(u32, u32, Outcome, Nanos)>>,
    /// Nodes can be reached.
    pub is_reachable: bool,
    /// The percentage of attempts that are refused.
    pub refused_percent: u32,
    /// The state of a simple pseudo-random sequence.
    pub drawn: u32,
    pub trace: String,
    /// Requests since the last line of the trace: served, by content type; rejected with retry-after; failed.
    pub served: [u32; 3],
    pub rejected: u32,
    pub failed: u32,
    pub attempts: u32,
    pub most_attempts: u32,
    /// Requests served to clients that ignore retry-after, and to those that honour it.
    pub served_by_client: [u32; 2],
    /// Work in seconds, by windows of 3 s.
    pub work: BTreeMap<u64, f64>,
}

impl Scenario {
    /// No requests yet; all nodes can be reached.
    pub(crate) fn new(overload: OverloadSettings) -> Scenario {
        let mut s =
            Settings { overload_control: Some(overload), zone_dispatchers: 1, dispatchers: 1, ..settings() };
        // The content types: images, tables, posts.
        (s.content_types[0].benefit, s.content_types[1].benefit, s.content_types[2].benefit) =
            (2.0, 1.0, 3.0);
        let dispatcher = Dispatcher::new(s);
        let (open, free, arrivals, attempt_ends, work) = Default::default();
        let mut scenario = Scenario {
            dispatcher,
            now: ms(1_000_000),
            open,
            next: 0,
            free,
            arrivals,
            attempt_ends,
            is_reachable: true,
            refused_percent: 0,
            drawn: 0,
            trace: String::new(),
            served: [0; 3],
            rejected: 0,
            failed: 0,
            attempts: 0,
            most_attempts: 0,
            served_by_client: [0; 2],
            work,
        };
        scenario.list_nodes(Readiness::Ready, Nanos::ZERO);
        scenario
    }

    /// Lists all nodes: the caches with this readiness and start time, the others ready and warm.
    fn list_nodes(&mut self, readiness: Readiness, started: Nanos) {
        let mut sent = Recorder::default();
        let caches = (0..3).map(|id| entry(id, 0, readiness, started));
        let others =
            [(3, 1), (4, 1), (5, 2)].map(|(id, kind)| entry(id, kind, Readiness::Ready, Nanos::ZERO));
        let nodes: Vec<_> = caches.chain(others).collect();
        self.dispatcher.nodes_changed(self.now, &nodes, &mut sent);
    }

    /// A request or retry arrives.
    pub(crate) fn arrive(&mut self, request: ClientRequest) {
        let request_id = self.free.pop().unwrap_or_else(|| {
            self.next += 1;
            self.next - 1
        });
        let hash = stable_hash(format!("object-{}", request.object).as_bytes());
        let d = RoutingRequest {
            request_id: RequestId(request_id),
            content_type: TypeId(request.content_type),
            object: ObjectId(request.object),
            copy_hash: hash,
            object_hash: hash,
            group: None,
            deadline: self.now.after(ms(3_000)),
            is_retry: request.retries > 0,
            size_kb: Some([3_000.0, 500.0, 200.0][request.content_type as usize]),
            client: request.client,
            body_hash: 0,
        };
        self.open.insert(request_id, (request, 0));
        let mut sent = Recorder::default();
        self.dispatcher.request_arrived(self.now, &d, &mut sent);
        self.carry_out(sent);
    }

    /// Carries out what the dispatcher asked for.
    fn carry_out(&mut self, sent: Recorder) {
        for line in sent.log_lines.iter().filter(|line| line.starts_with("content type")) {
            let _ = writeln!(self.trace, "{:.1} {line}", self.now.secs() - 1_000.0);
        }
        for request_id in sent.attempts {
            let (request, number) = self.open.get_mut(&request_id.0).expect("an open request");
            request.attempts += 1;
            *number += 1;
            let (content_type, number) = (request.content_type, *number - 1);
            self.most_attempts = self.most_attempts.max(request.attempts);
            self.attempts += 1;
            self.drawn = (self.drawn * 37 + 11) % 101;
            let took = ms([300, 50, 20][content_type as usize]);
            let (outcome, after) = match self.is_reachable {
                _ if self.drawn % 100 < self.refused_percent => (Outcome::Refused, ms(10)),
                true => (Outcome::Served, took),
                false => (Outcome::Unreachable, ms(10)),
            };
            *self.work.entry(self.now.0 / 3_000_000_000).or_default() += took.secs();
            self.attempt_ends.entry(self.now.after(after).0).or_default().push((
                request_id.0,
                number,
                outcome,
                after,
            ));
        }
        for (request_id, retry_after) in sent.rejected {
            self.rejected += 1;
            let (mut request, _) = self.open[&request_id.0];
            request.retries += 1;
            let wait = if request.honours_retry_after { retry_after.max(ms(100)) } else { ms(100) };
            self.arrivals.entry(self.now.after(wait).0).or_default().push(request);
        }
        self.failed += sent.failed.len() as u32;
        for request_id in sent.released {
            self.open.remove(&request_id.0);
            self.free.push(request_id.0);
        }
    }

    /// Lets `seconds` pass, with `new_requests` of each content type every tenth of a second. `honours` decides for
    /// each client whether it honours retry-after. Adds a line to the trace.
    pub(crate) fn pass(&mut self, seconds: u64, new_requests: [u32; 3], honours: impl Fn(u64) -> bool) {
        for step in 0..seconds * 100 {
            self.now = self.now.after(STEP);
            let due: Vec<_> = self.attempt_ends.range(..=self.now.0).map(|(at, _)| *at).collect();
            let ends: Vec<_> = due.iter().flat_map(|at| self.attempt_ends.remove(at)).flatten().collect();
            for (request_id, number, outcome, duration) in ends {
                let remark = if outcome == Outcome::Served { Remark::Hit } else { Remark::None };
                let completes_request = outcome == Outcome::Served;
                let end = AttemptEnd {
                    outcome,
                    duration,
                    completes_request,
                    first_byte_wait: None,
                    remark,
                    report: LoadReport::default(),
                };
                if let Some((request, _)) = self.open.get(&request_id).filter(|_| completes_request) {
                    self.served[request.content_type as usize] += 1;
                    self.served_by_client[usize::from(request.honours_retry_after)] += 1;
                }
                let mut sent = Recorder::default();
                self.dispatcher.attempt_ended(self.now, RequestId(request_id), number, &end, &mut sent);
                self.carry_out(sent);
            }
            let due: Vec<_> = self.arrivals.range(..=self.now.0).map(|(at, _)| *at).collect();
            for request in due.iter().flat_map(|at| self.arrivals.remove(at)).flatten().collect::<Vec<_>>() {
                self.arrive(request);
            }
            if step % 10 == 0 {
                for (content_type, count) in (0..).zip(new_requests) {
                    for _ in 0..count {
                        self.drawn += 1;
                        let client = self.now.0 + u64::from(self.drawn);
                        let object = (client % 50) as u32 + 50 * content_type;
                        let honours_retry_after = honours(client);
                        self.arrive(ClientRequest {
                            client,
                            object,
                            content_type,
                            retries: 0,
                            attempts: 0,
                            honours_retry_after,
                        });
                    }
                }
            }
        }
        let (served, at) = (std::mem::take(&mut self.served), self.now.secs() - 1_000.0);
        let (rejected, failed) = (std::mem::take(&mut self.rejected), std::mem::take(&mut self.failed));
        let attempts = std::mem::take(&mut self.attempts);
        let _ = writeln!(
            self.trace,
            "{at:.0}: served {served:?}, rejected {rejected}, failed {failed}, attempts {attempts}"
        );
    }

    /// Nodes can no longer be reached.
    pub(crate) fn begin_outage(&mut self) {
        self.is_reachable = false;
    }

    /// Nodes can be reached again; the caches have restarted and are cold.
    pub(crate) fn end_outage(&mut self) {
        self.is_reachable = true;
        self.list_nodes(Readiness::Ready, self.now);
    }
}
