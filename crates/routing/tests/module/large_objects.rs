//! How often requests for the largest objects of a content type are answered, compared with all of it. Dispatchers
//! make real decisions; simulated nodes share their capacity among their transfers. At normal load the tenth with the
//! largest objects, and the next fifth, must be answered at least two thirds as often as the whole content type; in
//! any other scenario at least half as often.

use crate::common::*;
use copperroute_routing::interface::*;
use copperroute_routing::policy::Dispatcher;
use copperroute_routing::structures::random::Random;
use std::collections::BTreeMap;

/// The load, the nodes and the clients of one simulation.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Requested work, as a share of the capacity of the caches.
    load: f64,
    /// Share of the requests whose object is cached.
    hits: f64,
    /// Number of the three caches that start at second 5, cold.
    cold: u32,
    /// Whether these are slow and empty before second 5 already, while the node list shows them as warm.
    slow_unreported: bool,
    /// The latency target in ms, and the stretch that is added to it, as a multiple of the work.
    target: (u64, f64),
    /// The most retries of a client.
    tries: u32,
    is_normal: bool,
}

const DISPATCHERS: u32 = 6;
const SECONDS: u64 = 25;
const STEP: Nanos = Nanos(5_000_000);
/// Capacity of a cache in concurrent transfers.
const CACHE_CAPACITY: f64 = 8.0;
/// The mean work in seconds, and the spread of the log-normal distribution of work.
const MEAN_S: f64 = 0.25;
const SIGMA: f64 = 1.1;
const TIMEOUT: Nanos = Nanos(5_000_000_000);

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
struct Sending {
    dispatcher: usize,
    request_id: RequestId,
    number: u32,
    node: u32,
    source: u32,
    started: Nanos,
    /// Seconds of sending that are left; counted down from `sends_from` on.
    left_s: f64,
    sends_from: Nanos,
}

#[derive(Default)]
struct Recorded {
    attempts: Vec<(RequestId, u32, u32, u32)>,
    counts: BTreeMap<u32, u32>,
    rejected: Vec<RequestId>,
    cancelled: Vec<(RequestId, u32)>,
    timers: Vec<(Nanos, u64)>,
}

impl Actions for Recorded {
    fn attempt(&mut self, request_id: RequestId, attempt: &Attempt) {
        let number = self.counts.entry(request_id.0).or_default();
        self.attempts.push((request_id, *number, attempt.node.0, attempt.source.0));
        *number += 1;
    }
    fn cancel(&mut self, request_id: RequestId, number: u32) {
        self.cancelled.push((request_id, number));
    }
    fn reject(&mut self, request_id: RequestId, _retry_after: Option<Nanos>) {
        self.rejected.push(request_id);
    }
    fn fail(&mut self, _request_id: RequestId) {}
    fn arm_timer(&mut self, span: Nanos, token: u64) {
        self.timers.push((span, token));
    }
    fn probe_load(&mut self, _node: NodeId) {}
    fn subscribe_to_list(&mut self) {}
    fn log_line(&mut self, _line: &str) {}
    fn release(&mut self, request_id: RequestId) {
        self.counts.remove(&request_id.0);
    }
    fn release_object(&mut self, _object: ObjectId) {}
}

/// A client's request over all its tries.
#[derive(Debug, Clone, Copy)]
struct ClientRequest {
    object: u32,
    work_s: f64,
    tries: u32,
    answered: bool,
}

impl Scenario {
    /// Simulates the scenario. Returns all requests.
    fn simulate(&self, seed: u64) -> Vec<ClientRequest> {
        let mut chance = Random::new(seed);
        let mut s = Settings { seed, dispatchers: DISPATCHERS, zone_dispatchers: DISPATCHERS, ..settings() };
        s.content_types[0].latency_target = ms(self.target.0);
        s.content_types[0].latency_target_stretch = self.target.1;
        let entries = |started: Nanos| {
            let nodes = [(0, 0), (1, 0), (2, 0), (3, 1), (4, 1), (5, 2)];
            let weight = |kind| if kind == 0 { CACHE_CAPACITY } else { 4.0 * CACHE_CAPACITY };
            nodes.map(|(id, kind)| {
                let started = if id < self.cold { started } else { Nanos::ZERO };
                NodeEntry { weight: weight(kind), ..entry(id, kind, Readiness::Ready, started) }
            })
        };
        let mut fleet: Vec<_> = (0..DISPATCHERS)
            .map(|at| Dispatcher::new(Settings { seed: seed << 8 | u64::from(at), ..s.clone() }))
            .collect();
        let mut outputs: Vec<_> = fleet.iter().map(|_| Recorded::default()).collect();
        for (module, out) in fleet.iter_mut().zip(&mut outputs) {
            module.start(ms(1), out);
            module.node_list_replaced(ms(1), &entries(Nanos::ZERO), out);
        }
        let mut requests: Vec<ClientRequest> = Vec::new();
        let mut open: BTreeMap<(usize, u32), (usize, Nanos)> = BTreeMap::new();
        let mut sending: Vec<Sending> = Vec::new();
        let mut again: BTreeMap<(Nanos, u32), usize> = BTreeMap::new();
        let mut timers: BTreeMap<(Nanos, u32), (usize, u64)> = BTreeMap::new();
        let (mut now, mut count, mut listed_cold) = (ms(1), 0_u32, false);
        let rate = self.load * 3.0 * CACHE_CAPACITY / MEAN_S;
        while now < ms(SECONDS * 1_000) {
            now = now.after(STEP);
            if !listed_cold && now >= ms(5_000) {
                listed_cold = true;
                for (module, out) in fleet.iter_mut().zip(&mut outputs) {
                    module.nodes_changed(now, &entries(now), out);
                }
            }
            // New requests and retries.
            let mut asks: Vec<usize> = Vec::new();
            let mut left = rate * STEP.secs();
            while chance.next_f64() < left {
                left -= 1.0;
                let normal = (0..12).map(|_| chance.next_f64()).sum::<f64>() - 6.0;
                let work_s = MEAN_S * (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
                requests.push(ClientRequest {
                    object: (chance.next_f64() * 5_000.0) as u32,
                    work_s,
                    tries: 0,
                    answered: false,
                });
                asks.push(requests.len() - 1);
            }
            while let Some(((at, _), _)) = again.first_key_value()
                && *at <= now
            {
                asks.extend(again.pop_first().map(|(_, request)| request));
            }
            for request in asks {
                count += 1;
                let at = (chance.next_f64() * f64::from(DISPATCHERS)) as usize;
                let ClientRequest { object, work_s, .. } = requests[request];
                requests[request].tries += 1;
                let d = RoutingRequest {
                    deadline: now.after(TIMEOUT),
                    is_retry: requests[request].tries > 1,
                    ..sized(now, count % 16_384, object, work_s * 10_000.0)
                };
                open.insert((at, d.request_id.0), (request, d.deadline));
                fleet[at].request_arrived(now, &d, &mut outputs[at]);
            }
            // Transfers proceed; each node shares its capacity among them.
            let mut busy = [0.0; 6];
            sending.iter().filter(|one| one.sends_from <= now).for_each(|one| busy[one.node as usize] += 1.0);
            for one in sending.iter_mut().filter(|one| one.sends_from <= now) {
                let id = one.node;
                let warm = if id < self.cold && (listed_cold || self.slow_unreported) {
                    (0.2 + 0.8 * (now.since(ms(5_000)).secs() / 15.0)).min(1.0)
                } else {
                    1.0
                };
                let fits = if id < 3 { CACHE_CAPACITY * warm } else { 4.0 * CACHE_CAPACITY };
                one.left_s -= STEP.secs() * (fits / busy[id as usize]).min(1.0);
            }
            let (done, still): (Vec<_>, Vec<_>) = sending.into_iter().partition(|one| one.left_s <= 0.0);
            sending = still;
            for one in done {
                let held = one.left_s > -1.0;
                let how = match (held, one.node == one.source) {
                    (true, true) => (Outcome::Served, Remark::Hit),
                    (true, false) => (Outcome::Served, Remark::FilledFromCopy),
                    (false, _) => (Outcome::Missed, Remark::None),
                };
                let completes_request = how.0 == Outcome::Served;
                let end = AttemptEnd {
                    outcome: how.0,
                    duration: now.since(one.started),
                    completes_request,
                    first_byte_wait: Some(one.sends_from.since(one.started)),
                    remark: how.1,
                    report: LoadReport::default(),
                };
                if completes_request
                    && let Some((request, _)) = open.remove(&(one.dispatcher, one.request_id.0))
                {
                    requests[request].answered = true;
                }
                fleet[one.dispatcher].attempt_ended(
                    now,
                    one.request_id,
                    one.number,
                    &end,
                    &mut outputs[one.dispatcher],
                );
            }
            // Requests whose deadline has passed.
            let over: Vec<_> = open.iter().filter(|(_, (_, at))| *at <= now).map(|(key, _)| *key).collect();
            for (at, request_id) in over {
                open.remove(&(at, request_id));
                let ended = sending
                    .extract_if(.., |one| one.dispatcher == at && one.request_id.0 == request_id)
                    .collect::<Vec<_>>();
                for one in ended {
                    let end = AttemptEnd {
                        duration: now.since(one.started),
                        ..end(Outcome::TimedOut, Remark::None)
                    };
                    fleet[at].attempt_ended(now, one.request_id, one.number, &end, &mut outputs[at]);
                }
            }
            while let Some(((at, _), _)) = timers.first_key_value()
                && *at <= now
            {
                if let Some((_, (at, token))) = timers.pop_first() {
                    fleet[at].timer(now, token, &mut outputs[at]);
                }
            }
            for (at, out) in outputs.iter_mut().enumerate() {
                for (span, token) in std::mem::take(&mut out.timers) {
                    count += 1;
                    timers.insert((now.after(span), count), (at, token));
                }
                for (request_id, number) in std::mem::take(&mut out.cancelled) {
                    let gone = sending.extract_if(.., |one| {
                        one.dispatcher == at && one.request_id == request_id && one.number == number
                    });
                    let gone: Vec<_> = gone.collect();
                    for one in gone {
                        let end = AttemptEnd {
                            duration: now.since(one.started),
                            ..end(Outcome::Cancelled, Remark::None)
                        };
                        fleet[at].attempt_ended(now, one.request_id, one.number, &end, out);
                    }
                }
                for request_id in std::mem::take(&mut out.rejected) {
                    let Some((request, _)) = open.remove(&(at, request_id.0)) else { continue };
                    if requests[request].tries <= self.tries {
                        count += 1;
                        again.insert(
                            (now.after(ms(100 + (chance.next_f64() * 300.0) as u64)), count),
                            request,
                        );
                    }
                }
                for (request_id, number, node, source) in std::mem::take(&mut out.attempts) {
                    let Some((request, _)) = open.get(&(at, request_id.0)) else { continue };
                    let (work_s, look) = (requests[*request].work_s, node == source);
                    // A lookup answers at once, whether it hits or misses.
                    let empty = node < self.cold && now < ms(15_000) && (listed_cold || self.slow_unreported);
                    let held = chance.next_f64() < if empty { 0.3 } else { self.hits };
                    let (left_s, delay_ms) = match (look, held) {
                        (true, false) => (-9.0, 5),
                        (true, true) => (work_s, 5),
                        (false, _) => (work_s, 40),
                    };
                    let sends_from = now.after(ms(delay_ms));
                    sending.push(Sending {
                        dispatcher: at,
                        request_id,
                        number,
                        node,
                        source,
                        started: now,
                        left_s,
                        sends_from,
                    });
                }
            }
        }
        requests.retain(|request| request.tries > 0);
        requests
    }

    /// The answered share of the tenth with the largest objects and of the next fifth, divided by that of all; and
    /// that of all.
    fn shares(&self, seed: u64) -> [f64; 3] {
        let mut requests = self.simulate(seed);
        requests.sort_by(|a, b| b.work_s.total_cmp(&a.work_s));
        let share = |of: &[ClientRequest]| {
            of.iter().filter(|request| request.answered).count() as f64 / of.len().max(1) as f64
        };
        let (tenth, fifth) = (requests.len() / 10, requests.len() / 5);
        let all = share(&requests);
        [share(&requests[..tenth]) / all, share(&requests[tenth..tenth + fifth]) / all, all]
    }
}

/// Normal load.
const NORMAL: Scenario = Scenario {
    load: 0.5,
    hits: 0.75,
    cold: 0,
    slow_unreported: false,
    target: (400, 1.6),
    tries: 2,
    is_normal: true,
};

/// Overload: 1.5 times the capacity of the caches is requested, and two of three caches start cold.
const OVERLOAD: Scenario = Scenario { load: 1.5, cold: 2, is_normal: false, ..NORMAL };

fn assert_answered(scenarios: &[Scenario], seeds: impl Iterator<Item = u64> + Clone) {
    let mut report = String::new();
    let mut broken = false;
    for scenario in scenarios {
        for seed in seeds.clone() {
            let [tenth, fifth, all] = scenario.shares(seed);
            let least = if scenario.is_normal { 2.0 / 3.0 } else { 0.5 };
            let holds = tenth >= least && fifth >= least;
            broken |= !holds;
            report += &format!(
                "{holds} tenth {tenth:.2} fifth {fifth:.2} of {all:.2}, seed {seed}, {scenario:?}\n"
            );
        }
    }
    assert!(!broken, "\n{report}");
}

#[test]
fn large_objects_are_answered_nearly_as_often_as_the_rest() {
    let scenarios = [
        NORMAL,
        Scenario { target: (250, 2.0), ..NORMAL },
        Scenario { load: 0.75, ..NORMAL },
        Scenario { cold: 1, is_normal: false, ..NORMAL },
        Scenario { cold: 3, is_normal: false, ..NORMAL },
        Scenario { load: 1.1, is_normal: false, ..NORMAL },
        Scenario { load: 1.5, is_normal: false, ..NORMAL },
        Scenario { load: 1.1, cold: 2, is_normal: false, ..NORMAL },
        Scenario { load: 1.2, hits: 0.3, is_normal: false, ..NORMAL },
        Scenario { load: 1.2, tries: 0, is_normal: false, ..NORMAL },
    ];
    assert_answered(&scenarios, 1..=2);
}

#[test]
fn large_objects_under_overload_with_cold_caches() {
    assert_answered(&[OVERLOAD], 1..=6);
}

#[test]
fn large_objects_under_overload_with_unreported_slow_caches() {
    assert_answered(&[Scenario { slow_unreported: true, ..OVERLOAD }], 1..=6);
}

/// The scenarios with cold caches, where these are slow before they start.
#[test]
fn large_objects_at_lower_load_with_unreported_slow_caches() {
    let scenarios = [
        Scenario { cold: 1, is_normal: false, ..NORMAL },
        Scenario { cold: 3, is_normal: false, ..NORMAL },
        Scenario { load: 1.1, cold: 2, is_normal: false, ..NORMAL },
    ];
    assert_answered(&scenarios.map(|scenario| Scenario { slow_unreported: true, ..scenario }), 1..=2);
}
