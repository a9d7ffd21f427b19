//! What is true: nodes and their state, versions of objects, and every breach of the rules that was seen.

use crate::scenario::Scenario;
use std::collections::HashMap;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the clocks of this machine and of its processes may differ by, on top of the rules' own 50 ms.
const SLACK: Duration = Duration::from_millis(50);

/// Clocks of dispatchers and issuers may differ by so much, as the operator's files have it, and a little more.
const CLOCKS: Duration = Duration::from_millis(300);

/// Time to heed a drain, as the settings tell.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// Time to heed a purge, as the settings tell.
pub(crate) const PURGE_GRACE: Duration = Duration::from_millis(1_000);

/// What the list service has to tell counts as told after this long, as the operator's file has it.
pub(crate) const TOLD_AFTER: Duration = Duration::from_secs(7);

/// A breach of a rule.
#[derive(Debug, Clone, serde::Serialize)]
pub(crate) struct Breach {
    /// Seconds from the start.
    pub at_s: f64,
    /// The number of the rule.
    pub rule: u8,
    /// What was seen.
    pub what: String,
}

/// What nodes counted in a second, of all of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub(crate) struct Tally {
    /// Connections that came, those turned away, and the most that one node held.
    pub opened: u32,
    pub turned_away: u32,
    pub held_most: u32,
    /// Attempts, those at cold nodes, and those of them that named no source.
    pub attempts: u32,
    pub cold_attempts: u32,
    pub cold_looks: u32,
    /// Fills asked of parents and of the origin.
    pub parent_fills: u32,
    pub origin_fills: u32,
}

/// A version of rules that was issued and is good.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Issued {
    /// When.
    pub at: Instant,
    /// From when it acts.
    pub from: Instant,
    /// How many attempts a request may take.
    pub max_attempts: u32,
}

/// How well dispatchers kept to versions of rules, by what came to nodes.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub(crate) struct Agreed {
    /// Versions issued.
    pub versions: usize,
    /// Attempts that the version in force forbade when they came.
    pub forbidden: u64,
    /// The longest for which such an attempt had been forbidden, in seconds, and when it came.
    pub longest_s: f64,
    pub at_s: f64,
    /// Attempts that came before the moment that allowed them, within the clocks' error; and the longest before it.
    pub early: u64,
    pub early_s: f64,
}

/// An attempt as it came to a node, or a request as its client saw it.
#[derive(Debug, Default)]
struct Truth {
    /// Attempts that came to nodes, by the id of their try.
    attempts: HashMap<String, u32>,
    /// Posts that ran at the origin, by object: the tries whose attempts ran.
    ran: HashMap<String, Vec<String>>,
    /// How often everything was purged, and when each was told.
    purges: Vec<Instant>,
    /// When nodes were told to drain.
    drained: HashMap<String, Instant>,
    breaches: Vec<Breach>,
    seconds: Vec<Tally>,
    /// Versions of rules, in the order of their moments.
    versions: Vec<Issued>,
    agreed: Agreed,
    /// Bytes that the origin gave out, and attempts that came to nodes.
    origin_bytes: u64,
    all_attempts: u64,
}

/// What is true.
#[derive(Debug)]
pub(crate) struct World {
    /// What is played.
    pub scenario: Scenario,
    start: OnceLock<Instant>,
    truth: Mutex<Truth>,
}

impl Truth {
    /// The attempt of this number of a request comes: does the version in force forbid it, and since when?
    fn judge(&mut self, now: Instant, number: u32, at_s: f64) {
        let acts = self.versions.iter().take_while(|version| version.from <= now).count();
        let Some(in_force) = acts.checked_sub(1).and_then(|last| self.versions.get(last)) else { return };
        if number <= in_force.max_attempts {
            return;
        }
        let soon = self.versions[acts..].iter().find(|version| {
            version.at <= now && version.max_attempts >= number && version.from <= now + CLOCKS
        });
        if let Some(soon) = soon {
            self.agreed.early += 1;
            self.agreed.early_s = self.agreed.early_s.max((soon.from - now).as_secs_f64());
            return;
        }
        let forbids = |version: &&Issued| version.max_attempts < number;
        let since = self.versions[..acts].iter().rev().take_while(forbids).last().unwrap_or(in_force).from;
        self.agreed.forbidden += 1;
        let late_s = now.duration_since(since).as_secs_f64();
        if late_s > self.agreed.longest_s {
            (self.agreed.longest_s, self.agreed.at_s) = (late_s, at_s);
        }
    }
}

impl World {
    /// A world in which nothing has happened.
    pub(crate) fn new(scenario: Scenario) -> Self {
        World { scenario, start: OnceLock::new(), truth: Mutex::default() }
    }

    fn truth(&self) -> std::sync::MutexGuard<'_, Truth> {
        self.truth.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The clients come: its clock begins.
    pub(crate) fn begin(&self) {
        let _ = self.start.set(Instant::now());
    }

    /// When its clock began.
    pub(crate) fn start(&self) -> Instant {
        *self.start.get_or_init(Instant::now)
    }

    /// Seconds from the start.
    pub(crate) fn secs(&self) -> f64 {
        self.start().elapsed().as_secs_f64()
    }

    /// A rule was broken.
    pub(crate) fn breach(&self, rule: u8, what: String) {
        let at_s = self.secs();
        self.truth().breaches.push(Breach { at_s, rule, what });
    }

    /// All breaches.
    pub(crate) fn breaches(&self) -> Vec<Breach> {
        self.truth().breaches.clone()
    }

    /// Counts something in the present second.
    pub(crate) fn count(&self, count: impl FnOnce(&mut Tally)) {
        let second = self.secs() as usize;
        let seconds = &mut self.truth().seconds;
        if seconds.len() <= second {
            seconds.resize(second + 1, Tally::default());
        }
        count(&mut seconds[second]);
    }

    /// What was counted, second by second.
    pub(crate) fn tallies(&self) -> Vec<Tally> {
        self.truth().seconds.clone()
    }

    // Attempts.

    /// An attempt has come to a node, and names a source.
    pub(crate) fn pulled(&self, id: &str, node: &str, source: Option<&str>) {
        let now = Instant::now();
        let mut truth = self.truth();
        let count = truth.attempts.entry(id.to_string()).or_default();
        *count += 1;
        let number = *count;
        truth.judge(now, number, self.secs());
        truth.all_attempts += 1;
        for named in [Some(node), source].into_iter().flatten() {
            let late = truth.drained.get(named).is_some_and(|told| now > *told + DRAIN_GRACE + SLACK);
            if late {
                let what = format!("a pull at {node} from {source:?}, drained before");
                let at_s = self.secs();
                truth.breaches.push(Breach { at_s, rule: 3, what });
            }
        }
    }

    /// A version of rules is issued.
    pub(crate) fn issued(&self, version: Issued) {
        let mut truth = self.truth();
        truth.versions.push(version);
        truth.agreed.versions += 1;
    }

    /// How well dispatchers kept to versions of rules.
    pub(crate) fn agreed(&self) -> Agreed {
        self.truth().agreed.clone()
    }

    /// How many attempts came for these tries.
    pub(crate) fn attempts_of(&self, ids: &[String]) -> u32 {
        let truth = self.truth();
        ids.iter().filter_map(|id| truth.attempts.get(id)).sum()
    }

    /// The origin gives out so many bytes.
    pub(crate) fn origin_gave(&self, bytes: usize) {
        self.truth().origin_bytes += bytes as u64;
    }

    /// Bytes that the origin gave out, and attempts that came to nodes.
    pub(crate) fn traffic(&self) -> [u64; 2] {
        let truth = self.truth();
        [truth.origin_bytes, truth.all_attempts]
    }

    /// A post runs at the origin.
    pub(crate) fn ran(&self, object: &str, id: &str) {
        let times = {
            let mut truth = self.truth();
            let ran = truth.ran.entry(object.to_string()).or_default();
            ran.push(id.to_string());
            ran.len()
        };
        if times > 1 {
            self.breach(2, format!("post {object} ran {times} times"));
        }
    }

    /// Whether a post ran for this try.
    pub(crate) fn has_run(&self, object: &str, id: &str) -> bool {
        self.truth().ran.get(object).is_some_and(|ids| ids.iter().any(|ran| ran == id))
    }

    // The list and purges.

    /// When what the list service has to tell now counts as told: at once, unless a fault keeps dispatchers from
    /// hearing it; then so long after the fault as the operators say it may take.
    pub(crate) fn told(&self) -> Instant {
        let now = self.secs();
        let deaf = |span: &[f64; 2]| span[0] <= now + 0.1 && now < span[1] + TOLD_AFTER.as_secs_f64();
        let ends = self.scenario.unheard().into_iter().filter(deaf).map(|span| span[1]).fold(0.0, f64::max);
        match ends > 0.0 {
            true => (self.start() + Duration::from_secs_f64(ends)).max(Instant::now()) + TOLD_AFTER,
            false => Instant::now(),
        }
    }

    /// A node is told to drain.
    pub(crate) fn drain(&self, node: &str) {
        let told = self.told();
        self.truth().drained.insert(node.to_string(), told);
    }

    /// Everything is purged.
    pub(crate) fn purge(&self) {
        let told = self.told();
        self.truth().purges.push(told);
    }

    /// The version that a copy made now has.
    pub(crate) fn version(&self) -> u64 {
        self.truth().purges.len() as u64
    }

    /// The oldest version that a request sent at this time may be answered from.
    pub(crate) fn oldest_version(&self, sent: Instant) -> u64 {
        let heeded = |told: &&Instant| **told + PURGE_GRACE + SLACK < sent;
        self.truth().purges.iter().filter(heeded).count() as u64
    }

    // Objects.

    /// The bytes of a part, as the origin makes them.
    pub(crate) fn bytes(object: &str, part: u64, version: u64) -> Vec<u8> {
        let mut bytes = format!("{object} {part} {version} ").into_bytes();
        let length = 200 + (object.bytes().map(usize::from).sum::<usize>() * 37) % 1800;
        let fill = bytes.clone();
        bytes.extend(fill.into_iter().cycle().take(length));
        bytes
    }

    /// The version of these bytes, if they are those of that part.
    pub(crate) fn version_of(object: &str, part: u64, bytes: &[u8]) -> Option<u64> {
        let head = bytes.iter().take(64).map(|byte| char::from(*byte)).collect::<String>();
        let version = head.split(' ').nth(2)?.parse().ok()?;
        (World::bytes(object, part, version) == bytes).then_some(version)
    }
}

/// The Unix millisecond.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

#[cfg(test)]
#[path = "tests/world.rs"]
mod tests;
