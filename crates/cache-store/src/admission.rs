//! Decides which tier of the local cache keeps a copy and at which rank, whether a copy is sent from the local cache,
//! and whether it is fresh enough. This is the MC3 algorithm with the dispatcher as one more place for copies: a tier
//! keeps a copy if its request rate times the hops saved exceeds the tier's storage cost. No input or output.

use copperroute_routing::interface::Nanos;

/// Seconds within which a copy of mean size must be requested again to be worth keeping in memory. The storage cost is
/// the inverse of this horizon; it is higher in memory than on disk.
const MEMORY_HORIZON_S: f64 = 20.0;
/// The same for the disk tier, in seconds.
const DISK_HORIZON_S: f64 = 120.0;
/// Mean size of a copy, in bytes. Storage cost is proportional to the size divided by this one, and constant below a
/// sixteenth of it.
const MEAN_BYTES: f64 = 16_384.0;
/// Hops saved when the local cache answers instead of a cache node that has the copy.
const HOPS_TO_CACHE: f64 = 1.0;

/// A tier of the local cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In memory.
    Memory,
    /// On disk.
    Disk,
}

/// What admission knows of a copy that could be kept.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// Requests per second; `None` before the second request.
    pub rate: Option<f64>,
    /// Hops from the cache node to the closest other copy: 1 for a parent's, 2 for the origin.
    pub hops: f64,
    /// Size of the part, in bytes.
    pub bytes: usize,
    /// Whether it may be kept at all: its content type is retriable and allows copies.
    pub keepable: bool,
}

impl Tier {
    /// Storage cost in hops saved per second.
    fn storage_cost(self, bytes: usize) -> f64 {
        let horizon_s = match self {
            Tier::Memory => MEMORY_HORIZON_S,
            Tier::Disk => DISK_HORIZON_S,
        };
        (bytes as f64 / MEAN_BYTES).max(1.0 / 16.0) / horizon_s
    }

    /// The benefit of keeping a part here, in hops saved per second: the rate times the hops saved, less the storage
    /// cost. Negative at the first request, when the rate is not known.
    pub fn benefit(self, seen: &Seen) -> f64 {
        let saved = HOPS_TO_CACHE + seen.hops * CACHE_MISS_RATIO;
        seen.rate.map_or(-1.0, |rate| rate * saved - self.storage_cost(seen.bytes))
    }

    /// The rank at which a part is kept here, 1 to 3; `None` if it is not kept.
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

/// Expected share of lookups at a cache node that miss, without further knowledge.
const CACHE_MISS_RATIO: f64 = 0.3;

/// Largest share of the latency target that sending a copy from the local cache may take; above it cache nodes are
/// faster.
const MAX_TARGET_SHARE: f64 = 0.5;

/// The dispatcher's network link, which local copies take time to pass: transfers queue one after another, and a single
/// transfer has a rate limit of its own.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnLink {
    /// Limit of one transfer in bytes per second; zero if not configured, and then it takes no time.
    pub flow_bytes_per_s: f64,
    /// Limit of all transfers together in bytes per second; zero if not configured.
    pub link_bytes_per_s: f64,
    /// When the queued transfers have passed.
    free_at: Nanos,
}

impl OwnLink {
    /// A link with these limits, in bytes per second.
    pub fn new(flow_bytes_per_s: f64, link_bytes_per_s: f64) -> Self {
        OwnLink { flow_bytes_per_s, link_bytes_per_s, free_at: Nanos::ZERO }
    }

    fn transfer_time(bytes: usize, bytes_per_s: f64) -> Nanos {
        if bytes_per_s > 0.0 { Nanos::from_secs(bytes as f64 / bytes_per_s) } else { Nanos::ZERO }
    }

    /// Whether so many bytes sent now arrive within the allowed share of the latency target. If so, they are added to
    /// the queued transfers.
    pub fn sends(&mut self, now: Nanos, bytes: usize, target: Nanos) -> bool {
        let free_at = self.free_at.max(now).after(Self::transfer_time(bytes, self.link_bytes_per_s));
        let arrives_at = free_at.max(now.after(Self::transfer_time(bytes, self.flow_bytes_per_s)));
        let in_time = arrives_at.since(now).secs() <= MAX_TARGET_SHARE * target.secs();
        if in_time {
            self.free_at = free_at;
        }
        in_time
    }
}

/// Whether a copy may be served: its age is at most `fresh_for` plus `grace`. Without `fresh_for` any age will do.
pub fn may_serve(now_ms: u64, made_ms: u64, fresh_for: Option<Nanos>, grace: Nanos) -> bool {
    // After the clock was set back a copy can seem to be from the future; its age is then unknown.
    let Some(age_ms) = now_ms.checked_sub(made_ms) else { return false };
    let max_age = fresh_for.map(|fresh| fresh.after(grace));
    max_age.is_none_or(|max_age| age_ms <= max_age.0 / 1_000_000)
}

#[cfg(test)]
#[path = "tests/admission.rs"]
mod tests;
