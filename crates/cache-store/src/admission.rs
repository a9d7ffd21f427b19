//! Decisions on copies of the dispatcher's own: which tier keeps what, and what goes first. MC3 with one more place
//! to hold a copy: it is kept where rate times the hops that it saves exceeds the storage cost of its tier. No
//! input or output.

use copperroute_routing::interface::Nanos;

/// Seconds within which a copy of mean size must be asked for again to be worth its place: the horizon that storage
/// cost is one over, for each tier. Memory is dearer than disk.
const MEMORY_HORIZON_S: f64 = 20.0;
const DISK_HORIZON_S: f64 = 120.0;
/// A copy's storage cost grows with its size beside this one, in bytes.
const MEAN_BYTES: f64 = 16_384.0;
/// A copy of our own stands no hop away, one at a cache one hop nearer than what it was filled from.
const TO_CACHE: f64 = 1.0;

/// A place for copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In memory.
    Memory,
    /// On disk.
    Disk,
}

/// What is known of an object when one of its parts has come.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// Requests a second, if two were seen.
    pub rate: Option<f64>,
    /// Hops from the cache to the closest copy but its own: 1 for a parent's, 2 for the origin.
    pub hops: f64,
    /// The bytes of the part.
    pub bytes: usize,
    /// It may be kept at all: retriable, and leaves copies.
    pub keepable: bool,
}

impl Tier {
    fn storage_cost(self, bytes: usize) -> f64 {
        let horizon_s = match self {
            Tier::Memory => MEMORY_HORIZON_S,
            Tier::Disk => DISK_HORIZON_S,
        };
        (bytes as f64 / MEAN_BYTES).max(1.0 / 16.0) / horizon_s
    }

    /// The benefit of keeping a part here: rate times the hops that it saves, less storage cost. A first request
    /// has none.
    pub fn benefit(self, seen: &Seen) -> f64 {
        let saved = TO_CACHE + seen.hops * MISSES;
        seen.rate.map_or(-1.0, |rate| rate * saved - self.storage_cost(seen.bytes))
    }

    /// The rank at which a part is kept here; nothing where it is not.
    pub fn keeps(self, seen: &Seen) -> Option<u8> {
        let cost = self.storage_cost(seen.bytes);
        match self.benefit(seen) {
            _ if !seen.keepable => None,
            benefit if benefit <= 0.0 => None,
            benefit if benefit > 4.0 * cost => Some(3),
            benefit if benefit > cost => Some(2),
            _ => Some(1),
        }
    }
}

/// The part of looks at a cache that find nothing, as far as is known beforehand.
const MISSES: f64 = 0.3;

/// An own copy is served while that takes at most this part of the target time; else caches are nearer.
const OWN_PART: f64 = 0.5;

/// The dispatcher's own link, on which its copies' bytes take time: one transfer after the other, none faster than
/// the pace of one.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnLink {
    /// Bytes a second of one transfer, and of all; zero where not told, which costs no time.
    pub flow: f64,
    /// Of all together.
    pub link: f64,
    free_at: Nanos,
}

impl OwnLink {
    /// A link that carries so many bytes a second.
    pub fn new(flow: f64, link: f64) -> Self {
        OwnLink { flow, link, free_at: Nanos::ZERO }
    }

    fn secs(bytes: usize, pace: f64) -> Nanos {
        if pace > 0.0 { Nanos::from_secs(bytes as f64 / pace) } else { Nanos::ZERO }
    }

    /// Whether so many bytes are there in time if they are sent now; then they are counted as sent.
    pub fn sends(&mut self, now: Nanos, bytes: usize, target: Nanos) -> bool {
        let free = self.free_at.max(now).after(Self::secs(bytes, self.link));
        let there = free.max(now.after(Self::secs(bytes, self.flow)));
        let in_time = there.since(now).secs() <= OWN_PART * target.secs();
        if in_time {
            self.free_at = free;
        }
        in_time
    }
}

/// Whether a copy may be served: it is as fresh as its content type asks, or within its grace.
pub fn may_serve(now_ms: u64, made_ms: u64, fresh_for: Option<Nanos>, grace: Nanos) -> bool {
    // A clock that was set back makes a copy seem to come from later: its age is not known.
    let Some(age_ms) = now_ms.checked_sub(made_ms) else { return false };
    let most = fresh_for.map(|fresh| fresh.after(grace));
    most.is_none_or(|most| age_ms <= most.0 / 1_000_000)
}

#[cfg(test)]
#[path = "tests/admission.rs"]
mod tests;
