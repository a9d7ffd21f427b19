//! A fleet of dispatchers before a cache and a parent that have just started: their real decisions on one clock, and what
//! comes to the two nodes of all together.

use crate::common::*;
use copperroute_routing::interface::*;
use copperroute_routing::policy::Dispatcher;
use copperroute_routing::structures::random::Random;
use std::collections::BTreeMap;

/// A node that starts, and how it is asked.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Case {
    pub dispatchers: u32,
    /// How many the settings name.
    pub told: u32,
    /// Transfers at once that the cold node fits once it is warm.
    pub weight: f64,
    pub multiple: f64,
    pub window: Nanos,
    /// Requests a second of all dispatchers.
    pub rate: f64,
    /// No request comes from this second to that; then forty times as many for a second.
    pub silent: (u64, u64),
    pub restarts: Restarts,
}

/// Which dispatchers begin anew in the middle of what is counted, with nothing known but the list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Restarts {
    None,
    /// At this second, so many of a hundred.
    Once(u64, u32),
    /// All in turn, each so often.
    InTurn(Nanos),
}

impl Restarts {
    /// Those of so many dispatchers that begin anew between two moments since the node's start.
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

/// Of each request 100 ms are sent.
pub(crate) const WORK_S: f64 = 0.1;
/// How both nodes start.
pub(crate) const SHARE: f64 = 0.2;
const WARM_AFTER: Nanos = Nanos(15_000_000_000);
/// The node starts at this second, and is told of one later.
const STARTS: u64 = 60;
/// Seconds that are looked at.
const SECONDS: u64 = 14;
/// The cold cache, and the cold parent.
const COLD: [u32; 2] = [0, 3];

/// Ends of attempts to come: whose, of which request, the attempt's number, its node and source.
type Ends = BTreeMap<(Nanos, u32), (usize, RequestId, u32, u32, u32)>;

/// What one dispatcher sends: whether a call goes to the cold nodes.
#[derive(Default)]
struct Calls {
    attempts: Vec<(RequestId, u32, u32, u32)>,
    counts: BTreeMap<u32, u32>,
}

impl Actions for Calls {
    fn attempt(&mut self, request_id: RequestId, attempt: &Attempt) {
        let number = self.counts.entry(request_id.0).or_default();
        self.attempts.push((request_id, *number, attempt.node.0, attempt.source.0));
        *number += 1;
    }
    fn cancel(&mut self, _dl: RequestId, _number: u32) {}
    fn reject(&mut self, _dl: RequestId, _come_back: Option<Nanos>) {}
    fn fail(&mut self, _dl: RequestId) {}
    fn arm_timer(&mut self, _span: Nanos, _token: u64) {}
    fn probe_load(&mut self, _node: NodeId) {}
    fn subscribe_to_list(&mut self) {}
    fn log_line(&mut self, _line: &str) {}
    fn release(&mut self, request_id: RequestId) {
        self.counts.remove(&request_id.0);
    }
    fn release_object(&mut self, _object: ObjectId) {}
}

impl Case {
    fn settings(&self, seed: u64) -> Settings {
        let cold = ColdStart { share: SHARE, warm_after: WARM_AFTER, overload_multiple: self.multiple };
        Settings {
            seed,
            dispatchers: self.told,
            zone_dispatchers: self.told,
            cache_cold: cold,
            parent_cold: cold,
            overload_window: self.window,
            ..settings()
        }
    }

    fn list(&self, started: Nanos) -> Vec<NodeEntry> {
        let nodes = [(0, 0), (1, 0), (2, 0), (3, 1), (4, 1), (5, 2)];
        let listed = nodes.map(|(id, kind)| {
            let started = if COLD.contains(&id) { started } else { Nanos::ZERO };
            NodeEntry { weight: self.weight, ..entry(id, kind, Readiness::Ready, started) }
        });
        listed.to_vec()
    }

    fn begin(&self, now: Nanos, seed: u64, started: Nanos) -> Dispatcher {
        let mut module = Dispatcher::new(self.settings(seed));
        let mut out = Calls::default();
        module.start(now, &mut out);
        module.node_list_replaced(now, &self.list(started), &mut out);
        module
    }

    /// The moments at which calls come to the cold cache and to the cold parent.
    pub(crate) fn play(&self, seed: u64) -> [Vec<Nanos>; 2] {
        let mut chance = Random::new(seed);
        let mut fleet: Vec<_> = (0..self.dispatchers)
            .map(|at| self.begin(ms(1), seed << 16 | u64::from(at), Nanos::ZERO))
            .collect();
        let mut outs: Vec<_> = fleet.iter().map(|_| Calls::default()).collect();
        // Some get several times the mean.
        let shares: Vec<f64> = fleet.iter().map(|_| 0.2 + 3.0 * chance.next_f64().powi(4)).collect();
        let sum: f64 = shares.iter().sum();
        let (started, told) = (ms(STARTS * 1_000), ms(STARTS * 1_000 + 1_000));
        for (module, out) in fleet.iter_mut().zip(&mut outs) {
            module.nodes_changed(told, &self.list(started), out);
        }
        let mut came = [Vec::new(), Vec::new()];
        let mut ends = Ends::new();
        let (mut now, mut looked, mut count) = (told, told, 0_u32);
        while now < ms((STARTS + SECONDS) * 1_000) {
            let second = now.0 / 1_000_000_000 - STARTS;
            for at in
                self.restarts.due(self.dispatchers, looked.since(started), now.since(started), &mut chance)
            {
                fleet[at] = self.begin(now, seed << 24 | u64::from(count) << 10 | at as u64, started);
                outs[at] = Calls::default();
                ends.retain(|_, end| end.0 != at);
            }
            looked = now;
            let due = ends.first_key_value().filter(|((when, _), _)| *when <= now).map(|(key, _)| *key);
            if let Some(key) = due {
                let Some((at, request_id, number, node, source)) = ends.remove(&key) else { continue };
                // A third of the looks find something; fills bring it.
                let held = node != source || chance.next_f64() < 0.33;
                let how = match held {
                    true if node == source => end(Outcome::Served, Remark::Hit),
                    true => end(Outcome::Served, Remark::FilledFromCopy),
                    // Some are told that another's fill is under way, and look again.
                    false if chance.next_f64() < 0.5 => end(Outcome::Missed, Remark::Joined),
                    false => end(Outcome::Missed, Remark::None),
                };
                fleet[at].attempt_ended(now, request_id, number, &how, &mut outs[at]);
                self.sent(now, at, &mut outs[at], &mut came, &mut ends, &mut count);
                continue;
            }
            let burst = if self.silent.1 > 0 && second == self.silent.1 { 40.0 } else { 1.0 };
            now = now.after(Nanos::from_secs(-(1.0 - chance.next_f64()).ln() / (burst * self.rate)));
            if (self.silent.0..self.silent.1).contains(&second) {
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
            // No request is in hand for so long that its number comes again.
            let d = sized(now, count % 8_192, object, WORK_S * 10_000.0);
            fleet[at].request_arrived(now, &d, &mut outs[at]);
            self.sent(now, at, &mut outs[at], &mut came, &mut ends, &mut count);
        }
        came
    }

    fn sent(
        &self,
        now: Nanos,
        at: usize,
        out: &mut Calls,
        came: &mut [Vec<Nanos>; 2],
        ends: &mut Ends,
        count: &mut u32,
    ) {
        for (request_id, number, node, source) in std::mem::take(&mut out.attempts) {
            for (cold, came) in COLD.iter().zip(came.iter_mut()) {
                if node == *cold || source == *cold {
                    came.push(now);
                }
            }
            *count += 1;
            ends.insert((now.after(ms(100)), *count), (at, request_id, number, node, source));
        }
    }

    /// The fullest window, as calls over what `bears` makes of the N of its first moment.
    pub(crate) fn fullest(&self, came: &[Nanos], bears: impl Fn(f64) -> f64) -> f64 {
        let mut worst: f64 = 0.0;
        for (first, from) in came.iter().enumerate() {
            let calls = came[first..].iter().take_while(|at| at.since(*from) < self.window).count();
            worst = worst.max(calls as f64 / bears(self.allowed(from.since(ms(STARTS * 1_000)))));
        }
        worst
    }

    /// Calls that the settings let a node be asked for in a window, so long after its start.
    pub(crate) fn allowed(&self, age: Nanos) -> f64 {
        let present = SHARE + (1.0 - SHARE) * (age.secs() / WARM_AFTER.secs()).min(1.0);
        self.multiple * present * self.weight * self.window.secs() / WORK_S
    }
}
