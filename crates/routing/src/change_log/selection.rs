//! Which two replicas of the change log a dispatcher follows.
//!
//! Rendezvous hashing with equal weights: a dispatcher scores each replica by a hash of its own id with the replica's
//! address, and follows the highest, and the highest of those in other zones. Nobody has to be asked, all compute the
//! same, and where a replica is taken out only its followers move, each with one of its two streams. A zone is named
//! by its region and its own name, so that two regions may use the same names for their zones.
//!
//! The bound: where zones hold equally many replicas, each of R replicas has 2 D / R of D dispatchers, give or take
//! about two roots of that. Where they don't, a replica that stands alone in its zone is second choice of more of the
//! others; [`expected_max_followers`] says how many, and rounds of reconnects are laid out for that.
//!
//! The dispatcher's own region is not preferred. Dispatchers are not told how many there are in each region, so none
//! can know that a preference leaves the spread as it is; a replica in an own region that is cut off hears as little
//! as the dispatcher does; and the time on the way between regions that it would save is small beside the seconds within
//! which a purge must act.

use crate::interface::{mix, stable_hash};
use std::net::SocketAddr;

/// Roots of the mean by which the followers of a replica may exceed it, before a round counts as too short.
const ROOTS: f64 = 2.0;

/// A replica of the change log, as the operators name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its zone, within the region.
    pub zone: String,
}

impl Replica {
    /// Whether both fall with the same zone.
    fn shares_zone(&self, other: &Replica) -> bool {
        (&self.region, &self.zone) == (&other.region, &other.zone)
    }

    /// How much a dispatcher with this hash of its id prefers it.
    fn score(&self, dispatcher: u64) -> u64 {
        mix(dispatcher ^ stable_hash(self.address.to_string().as_bytes()))
    }
}

/// The two replicas that a dispatcher with this id follows, in different zones where there are such; `None` where there
/// are fewer than two.
pub fn select_replicas<'a>(replicas: &'a [Replica], dispatcher: &str) -> Option<[&'a Replica; 2]> {
    let dispatcher = stable_hash(dispatcher.as_bytes());
    let mut ranked: Vec<&Replica> = replicas.iter().collect();
    ranked.sort_by_key(|replica| (std::cmp::Reverse(replica.score(dispatcher)), replica.address));
    let (first, others) = ranked.split_first()?;
    let elsewhere = others.iter().find(|other| !other.shares_zone(first));
    let second = elsewhere.or(others.first())?;
    Some([first, second])
}

/// How many of so many dispatchers the replica with the most followers has to expect: its mean and two roots of that.
pub fn expected_max_followers(replicas: &[Replica], dispatchers: u32) -> u32 {
    let shares = (0..replicas.len()).map(|of| share(replicas, of));
    let mean = shares.fold(0.0, f64::max) * f64::from(dispatchers);
    dispatchers.min((mean + ROOTS * mean.sqrt()).ceil() as u32)
}

/// The part of all dispatchers that follow one replica, on average: each replica is first choice of equally many, and
/// of those it is second choice of equally many as any other that may be.
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
