//! Decisions on retry storms: when one is on, who is let in, and when the others are told to come back. The
//! policy (`src/policy/`) asks [`Storm::arrives`] before a download's first pull and tells [`Storm::answered`]
//! of each final answer. No input or output; time comes with each call, chance from a seed. See docs/storms.md.

mod tries;

use crate::gate::{Gate, LEVELS};
use crate::interface::{ContentType, Download, Nanos, Repeat, StormSettings, TypeId, mix};
use crate::state::{Claim, Dl, Stage};
use crate::structures::generational_map::GenerationalMap;
use crate::structures::random::Random;
use crate::structures::ring_buffer::RingBuffer;
use tries::{Page, Ran, Tried};

/// Recognising: what is counted covers this span, and is looked at this often.
const SEEN_OVER: Nanos = Nanos(2_000_000_000);
const BUCKETS: usize = 8;
const LOOK_EVERY: Nanos = Nanos(100_000_000);
/// Fewer ends than this within `SEEN_OVER` say nothing.
const ENOUGH: f64 = 16.0;
/// Failing for so large a part is an outage; for so large a part, with repeats, it may be a storm; and from so
/// large a part on all is well.
const OUTAGE_SHARE: f64 = 0.3;
const SHORT_SHARE: f64 = 0.7;
const WELL_SHARE: f64 = 0.9;
/// Repeats to a first try: a storm begins over the one and is over under the other.
const REPEATS_RISE: f64 = 0.5;
const REPEATS_CALM: f64 = 0.25;
/// Signs must last so long before they count.
const RISING_FOR: Nanos = Nanos(400_000_000);
const CALM_FOR: Nanos = Nanos(3_000_000_000);
/// Recovering begins when this many let in were served, which are this part of those let in; it has failed again
/// under the other part.
const WORKED: f64 = 8.0;
const WORKED_SHARE: f64 = 0.6;
const FAILED_SHARE: f64 = 0.3;
/// Extra pulls, as a part of the usual, by weather.
const FURTHER: [f64; 4] = [1.0, 0.5, 0.1, 0.3];
/// Who comes so much before its time, or so much after it, is still in time.
const EARLY: Nanos = Nanos(30_000_000);
const LATE: Nanos = Nanos(1_500_000_000);
/// Advice with no slot to be had: this part of the longest, and as much more as chance says.
const NO_SLOT: f64 = 0.7;

/// The weather of one content type.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weather {
    /// As on any day, heavy ones too.
    Calm,
    /// Much fails, or repeats swell: extra pulls shrink, and advice is spread.
    Rising,
    /// Repeats feed on failures: only what can be borne is let in.
    Storm,
    /// What is let in is served again, and more is let in as it goes well.
    Recovering,
}

/// What becomes of a download that has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It is taken on, with this claim.
    Take(Claim),
    /// It is throttled at once.
    Later(Claim),
    /// It may have run, or its pulls are spent: it is abandoned, which promises nothing.
    Never(Claim),
}

/// What there is to let in to: own parts, in transfers at once.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Supply {
    /// Of the location's caches, or of the ways past them: now, and when the longest advice is over.
    pub caches: [f64; 2],
    /// No cache is open: that is what the ways past them bear.
    pub past: bool,
    /// Of the origin, likewise.
    pub origin: [f64; 2],
}

/// One content type.
#[derive(Debug)]
struct Row {
    told: ContentType,
    weather: Weather,
    /// The weather that signs speak for, and since when without a break.
    signs: (Weather, Nanos),
    /// First tries, repeats by different downloads, those served, those not.
    seen: RingBuffer<4>,
    /// Of those let in by the gate: served in time, and not.
    let_in: RingBuffer<2>,
}

/// The decisions on storms of one dispatcher.
#[derive(Debug)]
pub struct Storm {
    s: StormSettings,
    longest: Nanos,
    rows: Vec<Row>,
    /// To the caches, and to the origin.
    gates: [Gate; 2],
    pages: GenerationalMap<Page>,
    once: GenerationalMap<Ran>,
    random: Random,
    born: Option<Nanos>,
    looked: Nanos,
}

impl Storm {
    /// A dispatcher's, that clients heed for `longest` at most; nodes are judged by what they are sent in `window`.
    pub fn new(s: StormSettings, types: &[ContentType], longest: Nanos, window: Nanos, seed: u64) -> Self {
        let row = |told: &ContentType| Row {
            told: told.clone(),
            weather: Weather::Calm,
            signs: (Weather::Calm, Nanos::ZERO),
            seen: RingBuffer::new(SEEN_OVER, BUCKETS),
            let_in: RingBuffer::new(SEEN_OVER, BUCKETS),
        };
        let gate = |_| Gate::new(types.len(), longest, window, s.slots, s.newcomers);
        Storm {
            longest,
            rows: types.iter().map(row).collect(),
            gates: [0, 1].map(gate),
            pages: GenerationalMap::new(s.remember, s.most_remembered),
            once: GenerationalMap::new(s.remember, s.most_remembered),
            random: Random::new(seed.rotate_left(17)),
            born: None,
            looked: Nanos::ZERO,
            s,
        }
    }

    /// The weather of a content type.
    pub fn weather(&self, content_type: TypeId) -> Weather {
        self.rows.get(content_type.0 as usize).map_or(Weather::Calm, |row| row.weather)
    }

    /// The part of the usual extra pulls that a content type may make.
    pub fn further(&self, content_type: TypeId) -> f64 {
        FURTHER[self.weather(content_type) as usize]
    }

    /// Tries that are remembered.
    pub fn remembered(&self) -> usize {
        self.pages.len() + self.once.len()
    }

    /// Whether it is time to look around, with what there is to let in to.
    pub fn is_due(&self, now: Nanos) -> bool {
        now.since(self.looked) >= LOOK_EVERY
    }

    /// Looks around: judges the weather anew and sets the pace. Tells of a change of weather.
    pub fn look(&mut self, now: Nanos, supply: Supply) -> Option<(TypeId, Weather, Weather)> {
        self.looked = now;
        self.pages.rotate(now);
        self.once.rotate(now);
        self.gates[0].look(now, supply.caches, supply.past);
        self.gates[1].look(now, supply.origin, false);
        (0..self.rows.len()).find_map(|at| self.judge(now, at))
    }

    /// Judges the weather of a content type by what was seen of it lately.
    fn judge(&mut self, now: Nanos, at: usize) -> Option<(TypeId, Weather, Weather)> {
        use Weather::*;
        let row = &mut self.rows[at];
        let [firsts, repeats, served, not] = row.seen.sums(now);
        let [worked, failed] = row.let_in.sums(now);
        let enough = served + not >= ENOUGH;
        let share = served / (served + not).max(1.0);
        let ratio = repeats / firsts.max(1.0);
        let stormy = enough && ratio >= REPEATS_RISE && share < SHORT_SHARE;
        let outage = enough && share < OUTAGE_SHARE;
        let calm = !enough || (ratio < REPEATS_CALM && share >= WELL_SHARE);
        let works = worked >= WORKED && worked >= WORKED_SHARE * (worked + failed);
        let fails = worked + failed >= WORKED && worked < FAILED_SHARE * (worked + failed);
        let (to, lasting) = match row.weather {
            Calm if stormy || outage => (Rising, Nanos::ZERO),
            Rising if stormy => (Storm, RISING_FOR),
            Rising if !outage => (Calm, RISING_FOR),
            Storm if calm => (Calm, CALM_FOR),
            Storm if works => (Recovering, Nanos::ZERO),
            Recovering if fails => (Storm, Nanos::ZERO),
            Recovering if calm => (Calm, CALM_FOR),
            as_it_is => (as_it_is, Nanos::ZERO),
        };
        if row.signs.0 != to {
            row.signs = (to, now);
        }
        if to == row.weather || now.since(row.signs.1) < lasting {
            return None;
        }
        let from = row.weather;
        row.move_to(now, to);
        Some((TypeId(at as u32), from, to))
    }

    /// The gate that a content type goes through.
    fn gate_of(&self, content_type: TypeId) -> usize {
        usize::from(self.rows[content_type.0 as usize].told.uncacheable)
    }

    /// A download has come: what becomes of it.
    pub fn arrives(&mut self, now: Nanos, d: &Download, work_s: f64) -> Admission {
        let born = *self.born.get_or_insert(now);
        let at = d.content_type.0 as usize;
        let print = mix(d.client ^ mix(d.copy_hash ^ mix(u64::from(d.content_type.0) ^ d.body_hash)));
        let mut claim = Claim { print, taken: now, level: 0, damped: false, spent: 0 };
        if self.rows[at].is_once() {
            let repeats = d.repeat || !self.s.clients_mark;
            // Nobody knows what was in hand before a start, nor what had to be forgotten: that may have run.
            let unknown =
                now.since(born) < self.s.remember || self.once.has_lost_entries(now) || self.s.doubt_unknown;
            let may_have_run = match self.once.get(print) {
                Some(Ran::InHand | Ran::Maybe) => repeats,
                Some(Ran::Never) => false,
                None => d.repeat && unknown,
            };
            if may_have_run {
                return Admission::Never(claim);
            }
        }
        let page = self.pages.get(print).cloned();
        let repeat = d.repeat || (!self.s.clients_mark && page.as_ref().is_some_and(Page::waits));
        let mut page = page.unwrap_or_default();
        let tried = if repeat { page.returns(now) } else { None };
        claim.spent = tried.map_or(0, |tried| tried.pulls);
        let row = &mut self.rows[at];
        if !repeat {
            row.seen.add(now, 0, 1.0);
        } else if now.since(page.counted) >= SEEN_OVER || page.counted == Nanos::ZERO {
            page.counted = now;
            row.seen.add(now, 1, 1.0);
        }
        let damped = matches!(row.weather, Weather::Storm | Weather::Recovering);
        let benefit = row.told.benefit;
        let told = tried.filter(|tried| tried.back > Nanos::ZERO);
        // Who comes before its time gains nothing by it: the same word again, and no new slot.
        if let Some(early) = told.filter(|tried| damped && tried.back > now.after(EARLY)) {
            page.put(early);
            self.pages.insert(now, print, page);
            return Admission::Later(Claim { level: Claim::EARLY, ..claim });
        }
        if repeat {
            self.pages.insert(now, print, page);
        }
        if u32::from(claim.spent) >= self.s.max_pulls {
            return Admission::Never(claim);
        }
        let in_time = told.is_some_and(|tried| tried.reserved && now <= tried.back.after(LATE));
        claim.level = if in_time { Gate::RESERVED } else { Gate::level(benefit, work_s) };
        let gate = self.gate_of(d.content_type);
        self.gates[gate].asked(now, claim.level, work_s);
        if damped {
            let draw = self.random.share();
            if !self.gates[gate].lets_in(at, claim.level, work_s, draw) {
                return Admission::Later(claim);
            }
            claim.damped = true;
        }
        if self.rows[at].is_once() {
            self.once.insert(now, print, Ran::InHand);
        }
        Admission::Take(claim)
    }

    /// A download has its final answer, or nobody waits for it any more. Where it is throttled, tells after how
    /// long to come back, if there is anything to tell beside the usual.
    pub fn answered(&mut self, now: Nanos, dl: &Dl, to: Stage, target_s: f64) -> Option<Nanos> {
        let (at, claim) = (dl.d.content_type.0 as usize, dl.claim);
        let served = to == Stage::Fulfilled;
        let ended = to != Stage::Left;
        let row = &mut self.rows[at];
        if ended && claim.level != Claim::EARLY {
            row.seen.add(now, if served { 2 } else { 3 }, 1.0);
        }
        let gate = usize::from(row.told.uncacheable);
        if claim.damped && ended {
            let in_time = served && now.since(claim.taken).secs() <= target_s;
            if to == Stage::Throttled && dl.missed_at.is_some() {
                self.gates[gate].came_to_nothing(dl.work_s);
            } else {
                row.let_in.add(now, usize::from(!in_time), 1.0);
                self.gates[gate].ended(now, in_time);
            }
        }
        let pulls = claim.spent.saturating_add(dl.pulls.iter().filter(|pull| pull.reached).count() as u8);
        if to != Stage::Throttled {
            if to == Stage::Abandoned && pulls > 0 && !row.is_once() {
                self.remember(now, claim.print, Tried { pulls, back: Nanos::ZERO, reserved: false });
            }
            return None;
        }
        if row.is_once() {
            // It is throttled only where no pull has run.
            self.once.insert(now, claim.print, Ran::Never);
        }
        if claim.level == Claim::EARLY {
            let back = self.pages.get(claim.print).and_then(Page::next_back);
            return Some(back.map_or(self.longest, |back| back.since(now)));
        }
        let (back, reserved) = match row.weather {
            Weather::Calm => (Nanos::ZERO, false),
            _ => self.slot(now, gate, claim.level, dl.work_s),
        };
        self.remember(now, claim.print, Tried { pulls, back, reserved });
        (back > Nanos::ZERO).then(|| back.since(now))
    }

    /// When to come back, and whether a slot is kept: the first with room, somewhere within it; where there is
    /// none, chance spreads those who ask again.
    fn slot(&mut self, now: Nanos, gate: usize, level: u8, work_s: f64) -> (Nanos, bool) {
        let draw = self.random.share();
        match self.gates[gate].reserve(now, level, work_s, draw) {
            Some(back) => (back.min(now.after(self.longest)), true),
            None => {
                (now.after(Nanos::from_secs(self.longest.secs() * (NO_SLOT + (1.0 - NO_SLOT) * draw))), false)
            }
        }
    }

    fn remember(&mut self, now: Nanos, print: u64, tried: Tried) {
        let mut page = self.pages.remove(print).unwrap_or_default();
        page.put(tried);
        self.pages.insert(now, print, page);
    }

    /// All pulls of an answered download are in: whether it may have run is known as well as it ever will be.
    pub fn settled(&mut self, now: Nanos, dl: &Dl) {
        let row = &self.rows[dl.d.content_type.0 as usize];
        if row.is_once() && self.once.get(dl.claim.print) == Some(&Ran::InHand) {
            let ran = dl.may_have_run.is_some() || dl.stage == Stage::Fulfilled;
            self.once.insert(now, dl.claim.print, if ran { Ran::Maybe } else { Ran::Never });
        }
    }
}

impl Row {
    /// The one place where the weather changes.
    fn move_to(&mut self, now: Nanos, to: Weather) {
        (self.weather, self.signs) = (to, (to, now));
        self.let_in.clear();
    }

    /// What must not run twice, and whose repeats are not known everywhere.
    fn is_once(&self) -> bool {
        use crate::interface::DedupScope::All;
        !matches!(self.told.repeat, Repeat::Retriable | Repeat::Deduped { scope: All, .. })
    }
}

const _: () = assert!((Claim::EARLY as usize) >= LEVELS);
