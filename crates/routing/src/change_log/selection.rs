//! Selects the two replicas of the change log that a dispatcher follows.
//!
//! Rendezvous hashing with equal weights: a dispatcher scores each replica by a hash of its own id with the replica's
//! address, and follows the replica with the highest score and the highest of those in other zones. This needs no
//! coordination, and when a replica is removed only its followers move, each with one of its two streams. A zone is
//! identified by its region and its name, so that two regions may use the same zone names.
//!
//! The bound: where all zones have equally many replicas, each of R replicas is followed by 2 D / R of D dispatchers,
//! plus or minus about two square roots of that. Otherwise a replica that is alone in its zone is second choice of more
//! dispatchers; [`expected_max_followers`] computes how many, and reconnect windows are laid out for that.
//!
//! The dispatcher's own region is not preferred. A dispatcher doesn't know how many others each region has, so it can't
//! tell whether a preference would keep the load even; a replica in a partitioned region receives as little as the
//! dispatcher does; and the latency between regions is small compared with the seconds within which a purge must take
//! effect.

use crate::interface::{mix, stable_hash};
use std::net::SocketAddr;

/// By how many square roots of the mean the number of followers of a replica may exceed the mean before the configured
/// window counts as too short.
const SPREAD_ROOTS: f64 = 2.0;

/// A replica of the change log, as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its zone, within the region.
    pub zone: String,
}

impl Replica {
    /// Whether both are in the same zone, and so may fail together.
    fn shares_zone(&self, other: &Replica) -> bool {
        (&self.region, &self.zone) == (&other.region, &other.zone)
    }

    /// The score for a dispatcher with this hash of its id; the highest is preferred.
    fn score(&self, dispatcher: u64) -> u64 {
        mix(dispatcher ^ stable_hash(self.address.to_string().as_bytes()))
    }
}

/// The two replicas that a dispatcher with this id follows, in different zones if possible; `None` if there are fewer
/// than two.
pub fn select_replicas<'a>(replicas: &'a [Replica], dispatcher: &str) -> Option<[&'a Replica; 2]> {
    let dispatcher = stable_hash(dispatcher.as_bytes());
    let mut ranked: Vec<&Replica> = replicas.iter().collect();
    ranked.sort_by_key(|replica| (std::cmp::Reverse(replica.score(dispatcher)), replica.address));
    let (first, others) = ranked.split_first()?;
    let elsewhere = others.iter().find(|other| !other.shares_zone(first));
    let second = elsewhere.or(others.first())?;
    Some([first, second])
}

/// The number of followers that the most followed replica must expect among `dispatchers`: its mean and two square
/// roots of it.
pub fn expected_max_followers(replicas: &[Replica], dispatchers: u32) -> u32 {
    let shares = (0..replicas.len()).map(|of| share(replicas, of));
    let mean = shares.fold(0.0, f64::max) * f64::from(dispatchers);
    dispatchers.min((mean + SPREAD_ROOTS * mean.sqrt()).ceil() as u32)
}

/// The average share of dispatchers that follow replica number `of`. Each replica is first choice of an equal share;
/// that share divides equally among the replicas that may be second choice.
fn share(replicas: &[Replica], of: usize) -> f64 {
    let first = 1.0 / replicas.len() as f64;
    let second = |chosen: usize| -> f64 {
        let elsewhere = |other: usize| !replicas[other].shares_zone(&replicas[chosen]);
        let away = (0..replicas.len()).filter(|other| elsewhere(*other)).count();
        match (away, elsewhere(of)) {
            (0, _) => first / (replicas.len() - 1) as f64,
            (_, true) => first / away as f64,
            (_, false) => 0.0,
        }
    };
    first + (0..replicas.len()).filter(|chosen| *chosen != of).map(second).sum::<f64>()
}
