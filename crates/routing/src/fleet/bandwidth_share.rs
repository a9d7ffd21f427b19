//! Bandwidth share: how many of its own fills one dispatcher may have in flight on the zone's link for fills. No I/O; time comes
//! with each call, random draws from the caller.
//!
//! The link divides itself among all fills, so one too many makes all of them late. Each dispatcher keeps its own fills
//! under a limit that follows how slow they run; what is large for its type is let go first. Guards against scans, cold
//! caches, slow parents, huge objects and full caches.

use crate::interface::{Nanos, Settings};
use crate::structures::ring_buffer::RingBuffer;

/// Fills are judged over this.
const JUDGED_OVER: Nanos = Nanos(2_000_000_000);
const BUCKETS: usize = 8;
/// Standard deviations of own fills that the first limit leaves room for.
const SPREAD: f64 = 3.0;
/// Of the first limit, the least: fills may be slow for reasons of their own.
const FLOOR: f64 = 0.3;
/// The limit falls to this part of itself with a fill that ends while all are slow, and rises by the other while it
/// binds, which is over this part of it.
const FALL: f64 = 0.97;
const RISE: f64 = 0.05;
const BINDS: f64 = 0.7;
/// A fill counts as no larger than so many usual ones.
const LARGEST: f64 = 4.0;

/// One dispatcher's share of the zone's link for fills.
#[derive(Debug)]
pub struct BandwidthShare {
    /// Time own fills took to send, what is fair for that, and how long they waited first.
    pace: RingBuffer<3>,
    /// Own fills out.
    out: f64,
    /// How many there may be; 0 until the first.
    limit: f64,
    /// This dispatcher's part of the link, in transfers, as most caches were listed.
    part: f64,
    /// The most that the sizes of listed caches came to.
    most: f64,
}

/// Of the caches' links, where the location's own is not told.
const JUDGED_PART: f64 = 0.5;

impl Default for BandwidthShare {
    fn default() -> Self {
        BandwidthShare {
            pace: RingBuffer::new(JUDGED_OVER, BUCKETS),
            out: 0.0,
            limit: 0.0,
            part: 0.0,
            most: 0.0,
        }
    }
}

impl BandwidthShare {
    /// The caches of the location have these links together: this dispatcher's part of the location's, in transfers, is
    /// told, or else judged from theirs. The most that were listed count, at what those here have shown they can do.
    pub fn caches_listed(&mut self, s: &Settings, [listed, can]: [f64; 2]) {
        self.most = self.most.max(listed);
        let caches = self.most * if listed > 0.0 { can / listed } else { 1.0 };
        let all =
            if s.link_kb_per_s > 0.0 { s.link_kb_per_s / s.client_kb_per_s } else { JUDGED_PART * caches };
        let part = all / f64::from(s.zone_dispatchers.max(1));
        // What sizes are found to be moves the limit along.
        self.limit *= if self.part > 0.0 { part / self.part } else { 1.0 };
        self.part = part;
    }

    /// Own fills that may be out.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// What it bears of own attempts that go past the caches.
    pub fn bypass_limit(&self) -> f64 {
        self.limit.min(self.part.max(1.0))
    }

    /// A fill goes out.
    pub fn fill_started(&mut self) {
        self.out += 1.0;
    }

    /// One has ended, or was called off.
    pub fn fill_ended(&mut self) {
        self.out -= 1.0;
    }

    /// Whether it has room for one more, so many times as large as usual, among so many dispatchers; `draw` in [0, 1).
    pub fn has_room(&mut self, now: Nanos, sharers: u32, size: f64, draw: f64) -> bool {
        if self.limit == 0.0 {
            // Several ask at random: a small part is at times run over, at times not used.
            let others = 1.0 - 1.0 / f64::from(sharers.max(1));
            self.limit = self.part + SPREAD * (self.part * others).sqrt();
        }
        // What waits for its first byte is not on the link.
        let [took, _, waited] = self.pace.sums(now);
        let on_link = if took > 0.0 { took / (took + waited) } else { 1.0 };
        // The draw stands for the part of a request that the limit has room for: it may be under one.
        (self.out * on_link + draw) * size.clamp(1.0, LARGEST).sqrt() < self.limit
    }

    /// Follows how slow fills run: the time one took to send, what is fair for that, and how long it waited first. Down
    /// when they take too long for their size, up when the limit binds.
    pub fn record_fill(&mut self, now: Nanos, seconds: [f64; 3]) {
        for (at, secs) in seconds.into_iter().enumerate() {
            self.pace.add(now, at, secs);
        }
        let [took, fair, _] = self.pace.sums(now);
        if took > fair {
            self.limit = (self.limit * FALL).max(FLOOR * self.part);
        } else if self.out > BINDS * self.limit {
            self.limit += RISE;
        }
    }
}
