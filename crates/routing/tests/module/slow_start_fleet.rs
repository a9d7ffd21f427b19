//! Simulation of a fleet of dispatchers with a cache and a parent that have just started. All dispatchers make real
//! decisions on one clock; the attempts that reach the two cold nodes are recorded.

use crate::common::*;
use copperroute_routing::interface::*;
use copperroute_routing::policy::Dispatcher;
use copperroute_routing::structures::random::Random;
use std::collections::BTreeMap;

/// A scenario: the cold nodes and the load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub dispatchers: u32,
    /// Number of dispatchers in the settings, which may differ.
    pub listed_dispatchers: u32,
    /// Capacity of the cold nodes once they are warm, in concurrent transfers.
    pub weight: f64,
    pub multiple: f64,
    pub window: Nanos,
    /// Requests a second at all dispatchers.
    pub rate: f64,
    /// No request arrives from the first of these seconds to the second; then forty times the rate for a second.
    pub silence: (u64, u64),
    pub restarts: Restarts,
}

/// Which dispatchers restart during the measurement, with nothing but the node list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Restarts {
    None,
    /// At this second, this percentage of them.
    Once(u64, u32),
    /// All in turn, each once per interval.
    InTurn(Nanos),
}

impl Restarts {
    /// The dispatchers that restart between two times, counted from the start of the cold nodes.
    fn due(&self, dispatchers: u32, since: Nanos, until: Nanos, chance: &mut Random) -> Vec<usize> {
        let all = 0..dispatchers as usize;
        match *self {
            Restarts::Once(second, percent) if since < ms(second * 1_000) && ms(second * 1_000) <= until => {
                all.filter(|_| chance.next_f64() * 100.0 < f64::from(percent)).collect()
            }
            Restarts::InTurn(every) => {
                let passes = |at: Nanos, number: usize| {
                    let offset = every.0 * number as u64 / u64::from(dispatchers);
                    (at.0 + every.0 - offset) / every.0
                };
                all.filter(|number| passes(since, *number) < passes(until, *number)).collect()
            }
            _ => Vec::new(),
        }
    }
}

/// Work of each request in seconds.
pub(crate) const WORK_S: f64 = 0.1;
/// Cold start of both nodes: initial share of the capacity, and warm-up time.
pub(crate) const INITIAL_SHARE: f64 = 0.2;
const WARM_AFTER: Nanos = Nanos(15_000_000_000);
/// The nodes start at this second; the node list shows it one second later.
const NODE_START_S: u64 = 60;
/// Duration of the measurement in seconds.
const MEASURED_S: u64 = 14;
/// The cold cache, and the cold parent.
const COLD_NODES: [u32; 2] = [0, 3];

/// Ends of attempts by time: dispatcher, request, number of the attempt, node and source.
type Ends = BTreeMap<(Nanos, u32), (usize, RequestId, u32, u32, u32)>;

/// The attempts that one dispatcher sends.
#[derive(Default)]
struct SentAttempts {
    attempts: Vec<(RequestId, u32, u32, u32)>,
    counts: BTreeMap<u32, u32>,
}

impl Actions for SentAttempts {
    fn attempt(&mut self, request_id: RequestId, attempt: &Attempt) {
        let number = self.counts.entry(request_id.0).or_default();
        self.attempts.push((request_id, *number, attempt.node.0, attempt.source.0));
        *number += 1;
    }
    fn cancel(&mut self, _request_id: RequestId, _number: u32) {}
    fn reject(&mut self, _request_id: RequestId, _retry_after: Option<Nanos>) {}
    fn fail(&mut self, _request_id: RequestId) {}
    fn arm_timer(&mut self, _span: Nanos, _token: u64) {}
    fn probe_load(&mut self, _node: NodeId) {}
    fn subscribe_to_list(&mut self) {}
    fn log_line(&mut self, _line: &str) {}
    fn release(&mut self, request_id: RequestId) {
        self.counts.remove(&request_id.0);
    }
    fn release_object(&mut self, _object: ObjectId) {}
}

impl Scenario {
    fn settings(&self, seed: u64) -> Settings {
        let cold =
            ColdStart { share: INITIAL_SHARE, warm_after: WARM_AFTER, overload_multiple: self.multiple };
        Settings {
            seed,
            dispatchers: self.listed_dispatchers,
            zone_dispatchers: self.listed_dispatchers,
            cache_cold: cold,
            parent_cold: cold,
            overload_window: self.window,
            ..settings()
        }
    }

    fn list(&self, started: Nanos) -> Vec<NodeEntry> {
        let nodes = [(0, 0), (1, 0), (2, 0), (3, 1), (4, 1), (5, 2)];
        let listed = nodes.map(|(id, kind)| {
            let started = if COLD_NODES.contains(&id) { started } else { Nanos::ZERO };
            NodeEntry { weight: self.weight, ..entry(id, kind, Readiness::Ready, started) }
        });
        listed.to_vec()
    }

    fn begin(&self, now: Nanos, seed: u64, started: Nanos) -> Dispatcher {
        let mut module = Dispatcher::new(self.settings(seed));
        let mut out = SentAttempts::default();
        module.start(now, &mut out);
        module.node_list_replaced(now, &self.list(started), &mut out);
        module
    }

    /// Runs the scenario. Returns the times at which attempts reach the cold cache and the cold parent.
    pub(crate) fn run(&self, seed: u64) -> [Vec<Nanos>; 2] {
        let mut chance = Random::new(seed);
        let mut fleet: Vec<_> = (0..self.dispatchers)
            .map(|at| self.begin(ms(1), seed << 16 | u64::from(at), Nanos::ZERO))
            .collect();
        let mut outputs: Vec<_> = fleet.iter().map(|_| SentAttempts::default()).collect();
        // Some dispatchers get several times the mean load.
        let shares: Vec<f64> = fleet.iter().map(|_| 0.2 + 3.0 * chance.next_f64().powi(4)).collect();
        let sum: f64 = shares.iter().sum();
        let (started, reported) = (ms(NODE_START_S * 1_000), ms(NODE_START_S * 1_000 + 1_000));
        for (module, out) in fleet.iter_mut().zip(&mut outputs) {
            module.nodes_changed(reported, &self.list(started), out);
        }
        let mut arrivals = [Vec::new(), Vec::new()];
        let mut ends = Ends::new();
        let (mut now, mut last_check, mut count) = (reported, reported, 0_u32);
        while now < ms((NODE_START_S + MEASURED_S) * 1_000) {
            let second = now.0 / 1_000_000_000 - NODE_START_S;
            for at in self.restarts.due(
                self.dispatchers,
                last_check.since(started),
                now.since(started),
                &mut chance,
            ) {
                fleet[at] = self.begin(now, seed << 24 | u64::from(count) << 10 | at as u64, started);
                outputs[at] = SentAttempts::default();
                ends.retain(|_, end| end.0 != at);
            }
            last_check = now;
            let due = ends.first_key_value().filter(|((when, _), _)| *when <= now).map(|(key, _)| *key);
            if let Some(key) = due {
                let Some((at, request_id, number, node, source)) = ends.remove(&key) else { continue };
                // A third of the lookups hit; fills succeed.
                let held = node != source || chance.next_f64() < 0.33;
                let ended = match held {
                    true if node == source => end(Outcome::Served, Remark::Hit),
                    true => end(Outcome::Served, Remark::FilledFromCopy),
                    // Some misses report a fill in flight for another request, so that a second lookup follows.
                    false if chance.next_f64() < 0.5 => end(Outcome::Missed, Remark::Joined),
                    false => end(Outcome::Missed, Remark::None),
                };
                fleet[at].attempt_ended(now, request_id, number, &ended, &mut outputs[at]);
                self.sent(now, at, &mut outputs[at], &mut arrivals, &mut ends, &mut count);
                continue;
            }
            let burst = if self.silence.1 > 0 && second == self.silence.1 { 40.0 } else { 1.0 };
            now = now.after(Nanos::from_secs(-(1.0 - chance.next_f64()).ln() / (burst * self.rate)));
            if (self.silence.0..self.silence.1).contains(&second) {
                continue;
            }
            let mut place = chance.next_f64() * sum;
            let at = shares.iter().position(|share| {
                place -= share;
                place <= 0.0
            });
            let at = at.unwrap_or(0);
            count += 1;
            let object = (chance.next_f64() * 2_000.0) as u32;
            // No request is in flight for so long that its number is used again.
            let d = sized(now, count % 8_192, object, WORK_S * 10_000.0);
            fleet[at].request_arrived(now, &d, &mut outputs[at]);
            self.sent(now, at, &mut outputs[at], &mut arrivals, &mut ends, &mut count);
        }
        arrivals
    }

    fn sent(
        &self,
        now: Nanos,
        at: usize,
        out: &mut SentAttempts,
        arrivals: &mut [Vec<Nanos>; 2],
        ends: &mut Ends,
        count: &mut u32,
    ) {
        for (request_id, number, node, source) in std::mem::take(&mut out.attempts) {
            for (cold, arrivals) in COLD_NODES.iter().zip(arrivals.iter_mut()) {
                if node == *cold || source == *cold {
                    arrivals.push(now);
                }
            }
            *count += 1;
            ends.insert((now.after(ms(100)), *count), (at, request_id, number, node, source));
        }
    }

    /// The fullest window: attempts in it divided by `bound(N)`, with N at the beginning of the window.
    pub(crate) fn fullest(&self, arrivals: &[Nanos], bound: impl Fn(f64) -> f64) -> f64 {
        let mut worst: f64 = 0.0;
        for (first, from) in arrivals.iter().enumerate() {
            let attempts = arrivals[first..].iter().take_while(|at| at.since(*from) < self.window).count();
            worst = worst.max(attempts as f64 / bound(self.allowed(from.since(ms(NODE_START_S * 1_000)))));
        }
        worst
    }

    /// N: the attempts that rule 4 allows in a window, at this time after the start of the node.
    pub(crate) fn allowed(&self, age: Nanos) -> f64 {
        let present = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * (age.secs() / WARM_AFTER.secs()).min(1.0);
        self.multiple * present * self.weight * self.window.secs() / WORK_S
    }
}
