//! What dispatchers take: processor time, memory and what passed to each, read from outside second by second.

use super::access::Counted;
use super::rig::Rig;
use crate::processes::used;
use std::time::{Duration, Instant};

/// One second of all.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub(super) struct Second {
    /// New connections.
    pub calls: u64,
    /// Bytes to one dispatcher: the mean, and the most.
    pub bytes_mean: f64,
    pub bytes_most: u64,
    /// Processor time of hollow hosts and of real dispatchers, in cores.
    pub hollow_cores: f64,
    pub real_cores: f64,
    /// The same of all replicas.
    pub replica_cores: f64,
    /// At the replica that has most of each: new connections, and dispatchers that follow it.
    pub replica_calls: u64,
    pub replica_followers: u64,
    /// Resident memory of all processes, in GB.
    pub memory_gb: f64,
}

/// What one process has used at a moment, and for how many dispatchers.
#[derive(Debug, Clone, Copy)]
struct Use {
    id: u32,
    dispatchers: usize,
    cpu_ms: f64,
    memory_mb: f64,
}

/// What one dispatcher of a kind takes, in the mean.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub(super) struct Share {
    /// Dispatchers that it was measured for.
    pub dispatchers: usize,
    pub cores: f64,
    pub memory_mb: f64,
}

/// A moment: what was counted and used.
pub(super) struct Moment {
    at: Instant,
    pub counted: Vec<Counted>,
    hollow: Vec<Use>,
    /// By number of dispatcher.
    real: Vec<Option<Use>>,
    replicas: Vec<Use>,
    /// What has passed from each source.
    by_source: Vec<Counted>,
    own_memory_mb: f64,
}

fn use_of(id: u32, dispatchers: usize) -> Option<Use> {
    used(id).map(|(cpu_ms, memory_mb)| Use { id, dispatchers, cpu_ms, memory_mb })
}

impl Moment {
    /// As it is now.
    pub(super) fn now(rig: &Rig) -> Moment {
        let hollow = rig.hosts.ids().into_iter().filter_map(|(id, count)| use_of(id, count)).collect();
        let real = (0..rig.scenario.fleet.real).map(|at| use_of(rig.real.id(at)?, 1)).collect();
        let replicas = rig.replicas.ids().into_iter().filter_map(|id| use_of(id, 1)).collect();
        let by_source = match rig.replicas.count() {
            0 => Vec::new(),
            _ => rig.counted_by_source(),
        };
        let own_memory_mb = used(std::process::id()).map_or(0.0, |used| used.1);
        Moment {
            at: Instant::now(),
            counted: rig.counted(),
            hollow,
            real,
            replicas,
            by_source,
            own_memory_mb,
        }
    }

    /// Memory of all processes, this one's too.
    fn memory_gb(&self) -> f64 {
        let all = self.hollow.iter().chain(self.real.iter().flatten()).chain(&self.replicas);
        (all.map(|of| of.memory_mb).sum::<f64>() + self.own_memory_mb) / 1e3
    }

    /// Seconds since another moment.
    pub(super) fn secs_since(&self, before: &Moment) -> f64 {
        self.at.duration_since(before.at).as_secs_f64().max(1e-3)
    }

    /// What one hollow dispatcher took since another moment.
    pub(super) fn hollow_share(&self, before: &Moment) -> Share {
        share(&self.hollow, &before.hollow, self.secs_since(before))
    }

    /// What one of these real dispatchers took, of those that ran all the time.
    pub(super) fn real_share(&self, before: &Moment, who: std::ops::Range<usize>) -> Share {
        let of = |moment: &Moment| moment.real[who.clone()].iter().flatten().copied().collect::<Vec<_>>();
        share(&of(self), &of(before), self.secs_since(before))
    }

    /// What one replica took, of those that ran all the time.
    pub(super) fn replica_share(&self, before: &Moment) -> Share {
        share(&self.replicas, &before.replicas, self.secs_since(before))
    }

    /// The second between two moments.
    fn second(&self, before: &Moment) -> Second {
        let passed: Vec<_> =
            self.counted.iter().zip(&before.counted).map(|(now, was)| now.bytes - was.bytes).collect();
        let calls = |moment: &Moment| moment.counted.iter().map(|counted| counted.calls).sum::<u64>();
        let replica_calls =
            self.by_source.iter().zip(&before.by_source).map(|(now, was)| now.calls - was.calls);
        let cores = |share: Share| share.cores * share.dispatchers as f64;
        Second {
            calls: calls(self) - calls(before),
            bytes_mean: passed.iter().sum::<u64>() as f64 / passed.len().max(1) as f64,
            bytes_most: passed.iter().copied().max().unwrap_or(0),
            hollow_cores: cores(self.hollow_share(before)),
            real_cores: cores(self.real_share(before, 0..self.real.len())),
            replica_cores: cores(self.replica_share(before)),
            replica_calls: replica_calls.max().unwrap_or(0),
            replica_followers: self.by_source.iter().map(|counted| counted.streams).max().unwrap_or(0),
            memory_gb: self.memory_gb(),
        }
    }
}

/// The mean over dispatchers whose processes are the same at both moments.
fn share(now: &[Use], before: &[Use], secs: f64) -> Share {
    let both = now.iter().filter_map(|of| Some((of, before.iter().find(|was| was.id == of.id)?)));
    let (mut dispatchers, mut cpu_ms, mut memory_mb) = (0, 0.0, 0.0);
    for (of, was) in both {
        dispatchers += of.dispatchers;
        cpu_ms += of.cpu_ms - was.cpu_ms;
        memory_mb += of.memory_mb;
    }
    let each = dispatchers.max(1) as f64;
    Share { dispatchers, cores: cpu_ms / 1e3 / secs / each, memory_mb: memory_mb / each }
}

/// Looks once a second until the end; `told` hears of each second.
pub(super) async fn watch(rig: &Rig, until: Instant, mut told: impl FnMut(usize)) -> Vec<Second> {
    let (mut seconds, mut before) = (Vec::new(), Moment::now(rig));
    let mut due = Instant::now();
    while due < until {
        due += Duration::from_secs(1);
        tokio::time::sleep_until(due.into()).await;
        let now = Moment::now(rig);
        seconds.push(now.second(&before));
        before = now;
        told(seconds.len());
    }
    seconds
}
