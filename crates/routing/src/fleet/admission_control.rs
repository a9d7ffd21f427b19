//! Admission control under overload: how much work is admitted a second, in which order, and the slots in which rejected
//! requests may retry.

use crate::interface::Nanos;
use crate::structures::ring_buffer::RingBuffer;
use crate::structures::timer_wheel::TimerWheel;

/// Priority levels by value per work, doubling from one to the next; the last is for retries that come in their slot.
pub const LEVELS: usize = 16;
/// The level at which a second of work is worth one.
const ONE: f64 = 5.0;
/// Demand is summed over this window.
const ASKED_OVER: Nanos = Nanos(1_000_000_000);
const BUCKETS: usize = 8;
/// Outcomes of admitted requests are judged over this window, if there are enough.
const JUDGED_OVER: Nanos = Nanos(1_000_000_000);
const ENOUGH: f64 = 4.0;
/// The rate is raised while more than the first share is served in time, and lowered below the second.
const WELL: f64 = 0.85;
const ILL: f64 = 0.6;
const RAISE: f64 = 1.08;
const LOWER: f64 = 0.9;
/// Bounds of the rate, as multiples of the expected capacity.
const LEAST: f64 = 0.1;
const MOST: f64 = 1.25;
/// A capacity that has grown by this factor counts as a new one.
const ANEW: f64 = 1.2;
/// Work a second that is always admitted: it shows when things work again.
const TRICKLE: f64 = 0.1;
/// The share of the rate that every content type may use, whatever its value.
const FLOOR: f64 = 0.05;

/// Admission to one backend: a token bucket with priorities, and reserved slots for retries.
#[derive(Debug)]
pub struct AdmissionControl {
    looked: Nanos,
    /// Expected capacity in work a second: now, and after the longest retry-after.
    supply: [f64; 2],
    longest: Nanos,
    /// It is the capacity of the ways that bypass the backend.
    past: bool,
    /// The share of it that outcomes have confirmed.
    borne: f64,
    /// Tokens: work that may still be admitted.
    tokens: f64,
    /// Tokens of each content type's own share.
    floors: Vec<f64>,
    /// Demanded work by level.
    asked: RingBuffer<LEVELS>,
    /// Levels above this one are admitted, and this share of it.
    cut: (u8, f64),
    ended: RingBuffer<2>,
    wheel: TimerWheel,
    /// Unused tokens are kept for so many seconds: the window that the backend is judged over.
    saved: f64,
    /// The share of the rate that is not reserved for retries.
    newcomers: f64,
}

impl AdmissionControl {
    /// The level of retries that come in their slot.
    pub const RESERVED: u8 = LEVELS as u8 - 1;

    /// For so many content types.
    pub fn new(types: usize, longest: Nanos, saved: Nanos, slots: usize, newcomers: f64) -> Self {
        AdmissionControl {
            looked: Nanos::ZERO,
            supply: [0.0; 2],
            longest,
            past: false,
            borne: 1.0,
            tokens: 0.0,
            floors: vec![0.0; types],
            asked: RingBuffer::new(ASKED_OVER, BUCKETS),
            cut: (0, 1.0),
            ended: RingBuffer::new(JUDGED_OVER, BUCKETS),
            wheel: TimerWheel::new(longest, slots),
            saved: saved.secs(),
            newcomers,
        }
    }

    /// The level of a value for so much work.
    pub fn level(benefit: f64, work_s: f64) -> u8 {
        let level = (benefit.max(1e-6) / work_s.max(1e-4)).log2() + ONE;
        level.clamp(0.0, f64::from(Self::RESERVED - 1)) as u8
    }

    /// The admitted rate, in work a second.
    pub fn pace(&self) -> f64 {
        (self.borne * self.supply[0]).max(TRICKLE)
    }

    /// Sets the rate from the expected capacity and the outcomes of admitted requests, and the level that is cut off.
    pub fn look(&mut self, now: Nanos, [soon, later]: [f64; 2], past: bool) {
        let passed = now.since(self.looked).secs().min(1.0);
        // Capacity that is new has its whole window ahead of it.
        let before = if past == self.past { self.supply[0] } else { 0.0 };
        let fresh = (soon - before).max(0.0) * self.saved;
        self.past = past;
        if soon > ANEW * before {
            // Outcomes under the old capacity say nothing of the new one.
            self.borne = self.borne.max(1.0);
            self.ended.clear();
        }
        (self.looked, self.supply) = (now, [soon, later]);
        let [well, ill] = self.ended.sums(now);
        if well + ill >= ENOUGH {
            let share = well / (well + ill);
            // Raised and lowered per tenth of a second that has passed.
            let steps = passed * 10.0;
            if share > WELL {
                self.borne = (self.borne * RAISE.powf(steps)).min(MOST);
            } else if share < ILL {
                self.borne = (self.borne * LOWER.powf(steps)).max(LEAST);
            }
        }
        let pace = self.pace();
        self.tokens = (self.tokens + pace * passed + fresh).min(pace * self.saved);
        for floor in &mut self.floors {
            *floor = (*floor + pace * FLOOR * passed).min(pace * FLOOR);
        }
        self.wheel.reopen();
        let asked = self.asked.sums(now);
        let mut room = pace * ASKED_OVER.secs() + self.tokens.max(0.0);
        self.cut = (0, 1.0);
        for level in (0..LEVELS).rev() {
            if asked[level] > room {
                self.cut = (level as u8, room / asked[level]);
                break;
            }
            room -= asked[level];
        }
    }

    /// Counts demand for so much work.
    pub fn asked(&mut self, now: Nanos, level: u8, work_s: f64) {
        self.asked.add(now, usize::from(level).min(LEVELS - 1), work_s);
    }

    /// Whether a request is admitted; `draw` in [0, 1) decides at the level that is cut off.
    pub fn lets_in(&mut self, content_type: usize, level: u8, work_s: f64, draw: f64) -> bool {
        let (cut, part) = self.cut;
        let above = level > cut || (level == cut && draw < part);
        if above && self.tokens > 0.0 {
            self.tokens -= work_s;
            return true;
        }
        let floor = &mut self.floors[content_type];
        if *floor > 0.0 && self.tokens > -self.supply[0].max(TRICKLE) {
            *floor -= work_s;
            self.tokens -= work_s;
            return true;
        }
        false
    }

    /// An admitted request has ended.
    pub fn ended(&mut self, now: Nanos, in_time: bool) {
        self.ended.add(now, usize::from(!in_time), 1.0);
    }

    /// An admitted request found no copy and no source: its tokens are returned, and it says nothing of the rate.
    pub fn came_to_nothing(&mut self, work_s: f64) {
        self.tokens += work_s;
    }

    /// Reserves a slot and returns a time in it; `None` if all slots are full. Levels below the cut may use half of a slot, so
    /// that they don't take it from more valuable ones.
    pub fn reserve(&mut self, now: Nanos, level: u8, work_s: f64, draw: f64) -> Option<Nanos> {
        let part = (1.0 - self.newcomers) * if level >= self.cut.0 { 1.0 } else { 0.5 };
        let (borne, [soon, later], longest) = (self.borne, self.supply, self.longest);
        let width = self.wheel.width();
        let room = |at: Nanos| {
            let on = (at.since(now).secs() / longest.secs().max(1e-3)).min(1.0);
            borne * (soon + (later - soon) * on) * part * width.secs()
        };
        let earliest = now.after(width);
        let begins = self.wheel.reserve(now, earliest, work_s, room)?;
        Some(begins.after(Nanos::from_secs(draw * width.secs())))
    }
}
