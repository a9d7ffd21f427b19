//! Admission control under overload: how much work one backend (the caches, or the origin) is sent per second, which
//! requests are admitted first, and the slots in which rejected requests may retry. Input: the expected capacity, the
//! demand and the outcomes of admitted requests. Work is measured in seconds of a transfer; rates in such seconds per
//! second. Overload control calls it; no I/O.

use crate::interface::Nanos;
use crate::structures::ring_buffer::RingBuffer;
use crate::structures::timer_wheel::TimerWheel;

/// Number of priority levels. Value per work doubles from one level to the next; the last level is for retries that
/// arrive in their slot.
pub const LEVELS: usize = 16;
/// The level of a value of one per second of work.
const UNIT_VALUE_LEVEL: f64 = 5.0;
/// Demand is summed over this window, in `BUCKETS` buckets.
const DEMAND_WINDOW: Nanos = Nanos(1_000_000_000);
const BUCKETS: usize = 8;
/// Outcomes of admitted requests are evaluated over this window, if there are at least `MIN_OUTCOMES`.
const OUTCOME_WINDOW: Nanos = Nanos(1_000_000_000);
const MIN_OUTCOMES: f64 = 4.0;
/// The rate is raised while more than the first share of admitted requests is served in time, and lowered while less
/// than the second is.
const RAISE_ABOVE_SHARE: f64 = 0.85;
const LOWER_BELOW_SHARE: f64 = 0.6;
/// The factors by which the rate is raised and lowered each tenth of a second.
const RAISE_FACTOR: f64 = 1.08;
const LOWER_FACTOR: f64 = 0.9;
/// Bounds of the rate, as multiples of the expected capacity.
const MIN_RATE_MULTIPLE: f64 = 0.1;
const MAX_RATE_MULTIPLE: f64 = 1.25;
/// If the expected capacity exceeds that of the last evaluation by this factor, earlier outcomes no longer count.
const NEW_CAPACITY_FACTOR: f64 = 1.2;
/// Rate that is always admitted, in work per second: its outcomes show when the backend has recovered.
const MIN_RATE: f64 = 0.1;
/// The share of the rate that every content type may use, whatever its value.
const GUARANTEED_SHARE: f64 = 0.05;

/// Admission to one backend: a token bucket with priorities, and reserved slots for retries.
#[derive(Debug)]
pub struct AdmissionControl {
    evaluated_at: Nanos,
    /// Expected capacity in work per second: now, and after the longest retry-after.
    capacity: [f64; 2],
    max_retry_after: Nanos,
    /// Whether that is the capacity of the paths that bypass the backend.
    bypassed: bool,
    /// The admitted rate as a multiple of the expected capacity, as outcomes have confirmed it.
    rate_multiple: f64,
    /// Tokens: work that may still be admitted.
    tokens: f64,
    /// Tokens of each content type's guaranteed share.
    guaranteed: Vec<f64>,
    /// Demanded work by level.
    demand: RingBuffer<LEVELS>,
    /// The cut-off: levels above this one are admitted, and this share of the level itself.
    cutoff: (u8, f64),
    /// Admitted requests served in time, and not.
    outcomes: RingBuffer<2>,
    wheel: TimerWheel,
    /// Unused tokens accumulate for this many seconds: the window over which overload of the backend is judged.
    burst_s: f64,
    /// The share of the rate that is not reserved for retries.
    unreserved_share: f64,
}

impl AdmissionControl {
    /// The level of retries that arrive in their slot.
    pub const RESERVED: u8 = LEVELS as u8 - 1;

    /// For `types` content types. Clients honour a retry-after of at most `max_retry_after`, which is divided into
    /// `slots` slots.
    pub fn new(
        types: usize,
        max_retry_after: Nanos,
        burst: Nanos,
        slots: usize,
        unreserved_share: f64,
    ) -> Self {
        AdmissionControl {
            evaluated_at: Nanos::ZERO,
            capacity: [0.0; 2],
            max_retry_after,
            bypassed: false,
            rate_multiple: 1.0,
            tokens: 0.0,
            guaranteed: vec![0.0; types],
            demand: RingBuffer::new(DEMAND_WINDOW, BUCKETS),
            cutoff: (0, 1.0),
            outcomes: RingBuffer::new(OUTCOME_WINDOW, BUCKETS),
            wheel: TimerWheel::new(max_retry_after, slots),
            burst_s: burst.secs(),
            unreserved_share,
        }
    }

    /// The level of a request of value `benefit` that takes `work_s` seconds of work.
    pub fn level(benefit: f64, work_s: f64) -> u8 {
        let level = (benefit.max(1e-6) / work_s.max(1e-4)).log2() + UNIT_VALUE_LEVEL;
        level.clamp(0.0, f64::from(Self::RESERVED - 1)) as u8
    }

    /// The admitted rate, in work per second.
    pub fn rate(&self) -> f64 {
        (self.rate_multiple * self.capacity[0]).max(MIN_RATE)
    }

    /// Sets the rate from the expected capacity (now, and after the longest retry-after) and the outcomes of admitted
    /// requests, and the cut-off level from the demand. `bypassed` if the capacity is that of the paths that bypass the
    /// backend.
    pub fn evaluate(&mut self, now: Nanos, [soon, later]: [f64; 2], bypassed: bool) {
        let passed = now.since(self.evaluated_at).secs().min(1.0);
        // Added capacity has used none of its window yet, so it brings the tokens of a whole one.
        let before = if bypassed == self.bypassed { self.capacity[0] } else { 0.0 };
        let added_tokens = (soon - before).max(0.0) * self.burst_s;
        self.bypassed = bypassed;
        if soon > NEW_CAPACITY_FACTOR * before {
            // Outcomes under the old capacity say nothing about the new one.
            self.rate_multiple = self.rate_multiple.max(1.0);
            self.outcomes.clear();
        }
        (self.evaluated_at, self.capacity) = (now, [soon, later]);
        let [in_time, late] = self.outcomes.sums(now);
        if in_time + late >= MIN_OUTCOMES {
            let share = in_time / (in_time + late);
            // In tenths of a second that have passed.
            let steps = passed * 10.0;
            if share > RAISE_ABOVE_SHARE {
                self.rate_multiple = (self.rate_multiple * RAISE_FACTOR.powf(steps)).min(MAX_RATE_MULTIPLE);
            } else if share < LOWER_BELOW_SHARE {
                self.rate_multiple = (self.rate_multiple * LOWER_FACTOR.powf(steps)).max(MIN_RATE_MULTIPLE);
            }
        }
        let rate = self.rate();
        self.tokens = (self.tokens + rate * passed + added_tokens).min(rate * self.burst_s);
        for tokens in &mut self.guaranteed {
            *tokens = (*tokens + rate * GUARANTEED_SHARE * passed).min(rate * GUARANTEED_SHARE);
        }
        self.wheel.reopen();
        let demand = self.demand.sums(now);
        let mut room = rate * DEMAND_WINDOW.secs() + self.tokens.max(0.0);
        self.cutoff = (0, 1.0);
        for level in (0..LEVELS).rev() {
            if demand[level] > room {
                self.cutoff = (level as u8, room / demand[level]);
                break;
            }
            room -= demand[level];
        }
    }

    /// Counts the demand for `work_s` seconds of work.
    pub fn record_demand(&mut self, now: Nanos, level: u8, work_s: f64) {
        self.demand.add(now, usize::from(level).min(LEVELS - 1), work_s);
    }

    /// Whether a request is admitted, which spends its tokens; `draw` in [0, 1) decides at the cut-off level.
    pub fn admits(&mut self, content_type: usize, level: u8, work_s: f64, draw: f64) -> bool {
        let (cutoff, share) = self.cutoff;
        let above = level > cutoff || (level == cutoff && draw < share);
        if above && self.tokens > 0.0 {
            self.tokens -= work_s;
            return true;
        }
        let guaranteed = &mut self.guaranteed[content_type];
        if *guaranteed > 0.0 && self.tokens > -self.capacity[0].max(MIN_RATE) {
            *guaranteed -= work_s;
            self.tokens -= work_s;
            return true;
        }
        false
    }

    /// An admitted request has ended.
    pub fn request_ended(&mut self, now: Nanos, in_time: bool) {
        self.outcomes.add(now, usize::from(!in_time), 1.0);
    }

    /// An admitted request found no copy and no source: its tokens are returned, and it is no evidence about the rate.
    pub fn return_tokens(&mut self, work_s: f64) {
        self.tokens += work_s;
    }

    /// Reserves a slot and returns a random time in it; `None` if all slots are full. Levels below the cut-off may use
    /// half of a slot only, so that they leave room for more valuable ones. `draw` in [0, 1).
    pub fn reserve(&mut self, now: Nanos, level: u8, work_s: f64, draw: f64) -> Option<Nanos> {
        let slot_share = (1.0 - self.unreserved_share) * if level >= self.cutoff.0 { 1.0 } else { 0.5 };
        let (rate_multiple, [soon, later], span) = (self.rate_multiple, self.capacity, self.max_retry_after);
        let width = self.wheel.width();
        let room = |at: Nanos| {
            let progress = (at.since(now).secs() / span.secs().max(1e-3)).min(1.0);
            rate_multiple * (soon + (later - soon) * progress) * slot_share * width.secs()
        };
        let earliest = now.after(width);
        let begins = self.wheel.reserve(now, earliest, work_s, room)?;
        Some(begins.after(Nanos::from_secs(draw * width.secs())))
    }
}
