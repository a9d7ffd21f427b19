//! The gate of a storm: how much is let in a second, who goes first, and when the others may come back.

use crate::interface::Nanos;
use crate::structures::ring_buffer::RingBuffer;
use crate::structures::timer_wheel::TimerWheel;

/// Levels of benefit for the work, doubling from one to the next; the last is for those who come at their time.
pub const LEVELS: usize = 16;
/// The level at which a second of work earns a benefit of one.
const ONE: f64 = 5.0;
/// What was asked for is summed over this.
const ASKED_OVER: Nanos = Nanos(1_000_000_000);
const BUCKETS: usize = 8;
/// Ends of those let in are judged over this.
const JUDGED_OVER: Nanos = Nanos(1_000_000_000);
const ENOUGH: f64 = 4.0;
/// The pace is raised while more than the one part is served in time, and lowered under the other.
const WELL: f64 = 0.85;
const ILL: f64 = 0.6;
const RAISE: f64 = 1.08;
const LOWER: f64 = 0.9;
/// Bounds of the pace, in parts of what should be borne.
const LEAST: f64 = 0.1;
const MOST: f64 = 1.25;
/// A supply that has grown by so much is another one.
const ANEW: f64 = 1.2;
/// A second's work that is tried whatever should be borne: it shows when things work again.
const TRICKLE: f64 = 0.1;
/// The part of the pace that every content type may use, however little it earns.
const FLOOR: f64 = 0.05;

/// One way in.
#[derive(Debug)]
pub struct Gate {
    looked: Nanos,
    /// Work a second that should be borne: now, and when the longest advice is over.
    supply: [f64; 2],
    longest: Nanos,
    /// It is that of the ways past those that should bear it.
    past: bool,
    /// The part of it that has been shown to be.
    borne: f64,
    /// Work that may still be let in.
    tokens: f64,
    /// The same for each content type alone.
    floors: Vec<f64>,
    /// Work asked for by level.
    asked: RingBuffer<LEVELS>,
    /// Levels over this one are let in, and this part of it.
    cut: (u8, f64),
    ended: RingBuffer<2>,
    wheel: TimerWheel,
    /// What was not used of the pace is kept for so long: as long as what bears it is judged over, in seconds.
    saved: f64,
    /// The part of the pace that is not given away beforehand.
    newcomers: f64,
}

impl Gate {
    /// The level of those who come at their time.
    pub const RESERVED: u8 = LEVELS as u8 - 1;

    /// A gate for so many content types.
    pub fn new(types: usize, longest: Nanos, saved: Nanos, slots: usize, newcomers: f64) -> Self {
        Gate {
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

    /// The level of a benefit for so much work.
    pub fn level(benefit: f64, work_s: f64) -> u8 {
        let level = (benefit.max(1e-6) / work_s.max(1e-4)).log2() + ONE;
        level.clamp(0.0, f64::from(Self::RESERVED - 1)) as u8
    }

    /// Work a second that is let in.
    pub fn pace(&self) -> f64 {
        (self.borne * self.supply[0]).max(TRICKLE)
    }

    /// Sets the pace by what should be borne and by how those let in have fared, and draws the line.
    pub fn look(&mut self, now: Nanos, [soon, later]: [f64; 2], past: bool) {
        let passed = now.since(self.looked).secs().min(1.0);
        // What has just come has all of its window before it.
        let before = if past == self.past { self.supply[0] } else { 0.0 };
        let fresh = (soon - before).max(0.0) * self.saved;
        self.past = past;
        if soon > ANEW * before {
            // How those before it fared says nothing of it.
            self.borne = self.borne.max(1.0);
            self.ended.clear();
        }
        (self.looked, self.supply) = (now, [soon, later]);
        let [well, ill] = self.ended.sums(now);
        if well + ill >= ENOUGH {
            let share = well / (well + ill);
            // Raised and lowered by the time that has passed, in tenths of a second.
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

    /// Somebody asks for so much work.
    pub fn asked(&mut self, now: Nanos, level: u8, work_s: f64) {
        self.asked.add(now, usize::from(level).min(LEVELS - 1), work_s);
    }

    /// Whether this one is let in; `draw` in [0, 1) decides on the line.
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

    /// One that was let in has ended.
    pub fn ended(&mut self, now: Nanos, in_time: bool) {
        self.ended.add(now, usize::from(!in_time), 1.0);
    }

    /// One that was let in found nothing held and nobody to fill it: its work was not done, and that says
    /// nothing of the pace.
    pub fn came_to_nothing(&mut self, work_s: f64) {
        self.tokens += work_s;
    }

    /// A time to come back at, with the pace kept for it; nothing where all slots are taken. Those under the
    /// line get half of the room, so that they can't take it from those who earn more.
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
