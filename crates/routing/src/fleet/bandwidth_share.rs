//! Bandwidth share: limits how many of its own fills one dispatcher may have in flight on the zone's link for fills.
//! Input: the capacities of the listed caches and the times of each fill. Output: whether one more fill may start. No
//! I/O; time comes with each call, random draws from the caller.
//!
//! The link's bandwidth is divided among all fills, so one too many makes all of them late. Each dispatcher keeps its
//! own fills under a limit that follows their speed; fills that are large for their type are refused first. Prevents
//! overload of the link by scans, cold caches, slow parents, huge objects and full caches.

use crate::interface::{Nanos, Settings};
use crate::structures::ring_buffer::RingBuffer;

/// The speed of fills is evaluated over this window, in `BUCKETS` buckets.
const SPEED_WINDOW: Nanos = Nanos(2_000_000_000);
const BUCKETS: usize = 8;
/// The initial limit leaves room for this many standard deviations of the number of own fills.
const SPREAD_DEVIATIONS: f64 = 3.0;
/// The lowest limit, as a part of this dispatcher's share of the link: fills may be slow for reasons other than the
/// link.
const MIN_LIMIT_SHARE: f64 = 0.3;
/// The limit is multiplied by the first number with each fill that ends while fills are slow, and otherwise grows by
/// the second (fills), if more than the third part of the limit is in use.
const DECREASE_FACTOR: f64 = 0.97;
const INCREASE_STEP: f64 = 0.05;
const INCREASE_ABOVE_USE: f64 = 0.7;
/// A fill counts as at most this many times the mean size.
const MAX_RELATIVE_SIZE: f64 = 4.0;

/// One dispatcher's share of the zone's link for fills.
#[derive(Debug)]
pub struct BandwidthShare {
    /// Seconds that own fills took to transfer, that they should have taken, and that they waited for the first byte.
    times_s: RingBuffer<3>,
    /// Own fills in flight.
    in_flight: f64,
    /// The most own fills in flight; 0 until the first fill.
    limit: f64,
    /// This dispatcher's share of the link, in concurrent transfers, with the most caches that were listed.
    own_share: f64,
    /// The largest sum of listed capacities so far, in concurrent transfers.
    max_listed: f64,
}

/// Where the bandwidth of the location's link is not configured, it is estimated as this part of the caches'
/// capacities.
const ESTIMATED_LINK_SHARE: f64 = 0.5;

impl Default for BandwidthShare {
    fn default() -> Self {
        BandwidthShare {
            times_s: RingBuffer::new(SPEED_WINDOW, BUCKETS),
            in_flight: 0.0,
            limit: 0.0,
            own_share: 0.0,
            max_listed: 0.0,
        }
    }
}

impl BandwidthShare {
    /// The listed caches of the location have these capacities together, in concurrent transfers: as listed, and as
    /// observed. Sets this dispatcher's share of the location's link, as configured or else estimated from the caches.
    /// The largest listed sum counts, scaled by what the present caches have shown.
    pub fn caches_listed(&mut self, settings: &Settings, [listed, observed]: [f64; 2]) {
        self.max_listed = self.max_listed.max(listed);
        let caches = self.max_listed * if listed > 0.0 { observed / listed } else { 1.0 };
        let link = if settings.link_kb_per_s > 0.0 {
            settings.link_kb_per_s / settings.client_kb_per_s
        } else {
            ESTIMATED_LINK_SHARE * caches
        };
        let own_share = link / f64::from(settings.zone_dispatchers.max(1));
        // The limit follows changes of the observed capacities.
        self.limit *= if self.own_share > 0.0 { own_share / self.own_share } else { 1.0 };
        self.own_share = own_share;
    }

    /// The most own fills in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The most own attempts in flight that bypass the caches, in concurrent transfers.
    pub fn bypass_limit(&self) -> f64 {
        self.limit.min(self.own_share.max(1.0))
    }

    /// A fill starts.
    pub fn fill_started(&mut self) {
        self.in_flight += 1.0;
    }

    /// A fill has ended, or was cancelled.
    pub fn fill_ended(&mut self) {
        self.in_flight -= 1.0;
    }

    /// Whether there is room for one more fill of `size` times the mean size, with `sharers` dispatchers on the link;
    /// `draw` in [0, 1).
    pub fn has_room(&mut self, now: Nanos, sharers: u32, size: f64, draw: f64) -> bool {
        if self.limit == 0.0 {
            // Dispatchers send fills independently, so one with a small share at times needs more than it, at times
            // less.
            let others = 1.0 - 1.0 / f64::from(sharers.max(1));
            self.limit = self.own_share + SPREAD_DEVIATIONS * (self.own_share * others).sqrt();
        }
        // A fill that waits for its first byte doesn't use the link.
        let [took, _, waited] = self.times_s.sums(now);
        let on_link = if took > 0.0 { took / (took + waited) } else { 1.0 };
        // The draw makes a limit below one admit a fill with that probability.
        (self.in_flight * on_link + draw) * size.clamp(1.0, MAX_RELATIVE_SIZE).sqrt() < self.limit
    }

    /// Records a fill that ended, in seconds: its transfer time, the time it should have taken, and the wait for its
    /// first byte. Lowers the limit if recent fills are too slow for their sizes; otherwise raises it if it is nearly
    /// reached.
    pub fn record_fill(&mut self, now: Nanos, seconds: [f64; 3]) {
        for (at, secs) in seconds.into_iter().enumerate() {
            self.times_s.add(now, at, secs);
        }
        let [took, expected, _] = self.times_s.sums(now);
        if took > expected {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT_SHARE * self.own_share);
        } else if self.in_flight > INCREASE_ABOVE_USE * self.limit {
            self.limit += INCREASE_STEP;
        }
    }
}
