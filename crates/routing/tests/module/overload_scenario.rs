//! A day for tests of retry storms: a module, clients that come back to it, and nodes that answer or don't.

use crate::common::{entry, ms, settings};
use copperroute_routing::interface::*;
use copperroute_routing::policy::Dispatcher;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;

const STEP: Nanos = Nanos(10_000_000);

/// The settings of the day.
pub(crate) fn told() -> OverloadSettings {
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

/// A client's try.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Try {
    pub client: u64,
    pub object: u32,
    pub kind: u32,
    pub tries: u32,
    pub attempts: u32,
    pub heeds: bool,
}

#[derive(Default)]
struct Sent {
    attempts: Vec<RequestId>,
    later: Vec<(RequestId, Nanos)>,
    never: Vec<RequestId>,
    free: Vec<RequestId>,
    notes: Vec<String>,
}

impl Actions for Sent {
    fn attempt(&mut self, request_id: RequestId, _attempt: &Attempt) {
        self.attempts.push(request_id);
    }
    fn cancel(&mut self, _dl: RequestId, _number: u32) {}
    fn reject(&mut self, request_id: RequestId, retry_after: Option<Nanos>) {
        self.later.push((request_id, retry_after.unwrap_or_default()));
    }
    fn fail(&mut self, request_id: RequestId) {
        self.never.push(request_id);
    }
    fn arm_timer(&mut self, _span: Nanos, _token: u64) {}
    fn probe_load(&mut self, _node: NodeId) {}
    fn subscribe_to_list(&mut self) {}
    fn log_line(&mut self, line: &str) {
        self.notes.push(line.to_string());
    }
    fn release(&mut self, request_id: RequestId) {
        self.free.push(request_id);
    }
    fn release_object(&mut self, _object: ObjectId) {}
}

/// A module, the clients that come back to it, and how nodes answer.
pub(crate) struct Day {
    pub module: Dispatcher,
    pub now: Nanos,
    pub held: HashMap<u32, (Try, u32)>,
    pub next: u32,
    pub free: Vec<u32>,
    pub coming: BTreeMap<u64, Vec<Try>>,
    pub ending: BTreeMap<u64, Vec<(u32, u32, Outcome, Nanos)>>,
    /// Nodes are there.
    pub up: bool,
    /// Of a hundred attempts so many are refused.
    pub refused: u32,
    pub drawn: u32,
    pub trace: String,
    pub ok: [u32; 3],
    pub later: u32,
    pub never: u32,
    pub attempts: u32,
    pub most_attempts: u32,
    pub heeded: [u32; 2],
    pub work: BTreeMap<u64, f64>,
}

impl Day {
    /// A quiet day with all nodes there.
    pub(crate) fn new(storms: OverloadSettings) -> Day {
        let mut s =
            Settings { overload_control: Some(storms), zone_dispatchers: 1, dispatchers: 1, ..settings() };
        // Images, tables, posts.
        (s.content_types[0].benefit, s.content_types[1].benefit, s.content_types[2].benefit) =
            (2.0, 1.0, 3.0);
        let module = Dispatcher::new(s);
        let (held, free, coming, ending, work) = Default::default();
        let mut day = Day {
            module,
            now: ms(1_000_000),
            held,
            next: 0,
            free,
            coming,
            ending,
            up: true,
            refused: 0,
            drawn: 0,
            trace: String::new(),
            ok: [0; 3],
            later: 0,
            never: 0,
            attempts: 0,
            most_attempts: 0,
            heeded: [0; 2],
            work,
        };
        day.list(Readiness::Ready, Nanos::ZERO);
        day
    }

    /// The caches are listed so, with this start.
    fn list(&mut self, readiness: Readiness, started: Nanos) {
        let mut sent = Sent::default();
        let caches = (0..3).map(|id| entry(id, 0, readiness, started));
        let others =
            [(3, 1), (4, 1), (5, 2)].map(|(id, kind)| entry(id, kind, Readiness::Ready, Nanos::ZERO));
        let nodes: Vec<_> = caches.chain(others).collect();
        self.module.nodes_changed(self.now, &nodes, &mut sent);
    }

    /// A try comes.
    pub(crate) fn come(&mut self, tried: Try) {
        let request_id = self.free.pop().unwrap_or_else(|| {
            self.next += 1;
            self.next - 1
        });
        let hash = stable_hash(format!("object-{}", tried.object).as_bytes());
        let d = RoutingRequest {
            request_id: RequestId(request_id),
            content_type: TypeId(tried.kind),
            object: ObjectId(tried.object),
            copy_hash: hash,
            object_hash: hash,
            group: None,
            deadline: self.now.after(ms(3_000)),
            is_retry: tried.tries > 0,
            size_kb: Some([3_000.0, 500.0, 200.0][tried.kind as usize]),
            client: tried.client,
            body_hash: 0,
        };
        self.held.insert(request_id, (tried, 0));
        let mut sent = Sent::default();
        self.module.request_arrived(self.now, &d, &mut sent);
        self.carry(sent);
    }

    /// Plays what the module asked for.
    fn carry(&mut self, sent: Sent) {
        for note in sent.notes.iter().filter(|note| note.starts_with("content type")) {
            let _ = writeln!(self.trace, "{:.1} {note}", self.now.secs() - 1_000.0);
        }
        for request_id in sent.attempts {
            let (tried, number) = self.held.get_mut(&request_id.0).expect("held");
            tried.attempts += 1;
            *number += 1;
            let (kind, number) = (tried.kind, *number - 1);
            self.most_attempts = self.most_attempts.max(tried.attempts);
            self.attempts += 1;
            self.drawn = (self.drawn * 37 + 11) % 101;
            let took = ms([300, 50, 20][kind as usize]);
            let (outcome, after) = match self.up {
                _ if self.drawn % 100 < self.refused => (Outcome::Refused, ms(10)),
                true => (Outcome::Served, took),
                false => (Outcome::Unreachable, ms(10)),
            };
            *self.work.entry(self.now.0 / 3_000_000_000).or_default() += took.secs();
            self.ending.entry(self.now.after(after).0).or_default().push((
                request_id.0,
                number,
                outcome,
                after,
            ));
        }
        for (request_id, back) in sent.later {
            self.later += 1;
            let (mut tried, _) = self.held[&request_id.0];
            tried.tries += 1;
            let wait = if tried.heeds { back.max(ms(100)) } else { ms(100) };
            self.coming.entry(self.now.after(wait).0).or_default().push(tried);
        }
        self.never += sent.never.len() as u32;
        for request_id in sent.free {
            self.held.remove(&request_id.0);
            self.free.push(request_id.0);
        }
    }

    /// Lets so many seconds pass, with so many first tries of each type every tenth of one.
    pub(crate) fn pass(&mut self, seconds: u64, firsts: [u32; 3], heeds: impl Fn(u64) -> bool) {
        for step in 0..seconds * 100 {
            self.now = self.now.after(STEP);
            let due: Vec<_> = self.ending.range(..=self.now.0).map(|(at, _)| *at).collect();
            let ends: Vec<_> = due.iter().flat_map(|at| self.ending.remove(at)).flatten().collect();
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
                if let Some((tried, _)) = self.held.get(&request_id).filter(|_| completes_request) {
                    self.ok[tried.kind as usize] += 1;
                    self.heeded[usize::from(tried.heeds)] += 1;
                }
                let mut sent = Sent::default();
                self.module.attempt_ended(self.now, RequestId(request_id), number, &end, &mut sent);
                self.carry(sent);
            }
            let due: Vec<_> = self.coming.range(..=self.now.0).map(|(at, _)| *at).collect();
            for tried in due.iter().flat_map(|at| self.coming.remove(at)).flatten().collect::<Vec<_>>() {
                self.come(tried);
            }
            if step % 10 == 0 {
                for (kind, count) in (0..).zip(firsts) {
                    for _ in 0..count {
                        self.drawn += 1;
                        let client = self.now.0 + u64::from(self.drawn);
                        let object = (client % 50) as u32 + 50 * kind;
                        let heeds = heeds(client);
                        self.come(Try { client, object, kind, tries: 0, attempts: 0, heeds });
                    }
                }
            }
        }
        let (ok, at) = (std::mem::take(&mut self.ok), self.now.secs() - 1_000.0);
        let (later, never) = (std::mem::take(&mut self.later), std::mem::take(&mut self.never));
        let attempts = std::mem::take(&mut self.attempts);
        let _ = writeln!(self.trace, "{at:.0}: ok {ok:?}, later {later}, never {never}, pulls {attempts}");
    }

    /// Nodes can no longer be reached.
    pub(crate) fn down(&mut self) {
        self.up = false;
    }

    /// The caches are back, cold.
    pub(crate) fn back(&mut self) {
        self.up = true;
        self.list(Readiness::Ready, self.now);
    }
}
