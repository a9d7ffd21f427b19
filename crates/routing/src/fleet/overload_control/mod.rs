//! Overload control for retry storms: detects overload per content type, admits what the backends can serve, and gives the
//! other requests a retry-after. The policy (`src/policy/`) calls [`OverloadControl::admit`] before a request's first
//! attempt and [`OverloadControl::request_answered`] for each final answer. No I/O; time comes with each call, random
//! numbers from a seed. See docs/storms.md.

mod tries;

use crate::fleet::admission_control::{AdmissionControl, LEVELS};
use crate::interface::{ContentType, Nanos, OverloadSettings, RetrySafety, RoutingRequest, TypeId, mix};
use crate::state::{RequestState, Reservation, Stage};
use crate::structures::generational_map::GenerationalMap;
use crate::structures::random::Random;
use crate::structures::ring_buffer::RingBuffer;
use tries::{Page, Ran, Tried};

/// Detection counts over a sliding window of this length, which is evaluated this often.
const SEEN_OVER: Nanos = Nanos(2_000_000_000);
const BUCKETS: usize = 8;
const LOOK_EVERY: Nanos = Nanos(100_000_000);
/// Fewer final answers than this within `SEEN_OVER` are not evaluated.
const ENOUGH: f64 = 16.0;
/// Success rates: below the first it is an outage, below the second, with many retries, it may be a storm, and from the third
/// on all is well.
const OUTAGE_SHARE: f64 = 0.3;
const SHORT_SHARE: f64 = 0.7;
const WELL_SHARE: f64 = 0.9;
/// Retries per first try: a storm begins above the first and ends below the second.
const REPEATS_RISE: f64 = 0.5;
const REPEATS_CALM: f64 = 0.25;
/// How long a condition must hold before the load state follows it.
const RISING_FOR: Nanos = Nanos(400_000_000);
const CALM_FOR: Nanos = Nanos(3_000_000_000);
/// Recovery begins when this many admitted requests were served and they are this share of those admitted; below the last
/// share it has failed.
const WORKED: f64 = 8.0;
const WORKED_SHARE: f64 = 0.6;
const FAILED_SHARE: f64 = 0.3;
/// Further attempts as a share of the usual number, by load state.
const FURTHER: [f64; 4] = [1.0, 0.5, 0.1, 0.3];
/// Tolerance of a retry that comes before or after its retry-after.
const EARLY: Nanos = Nanos(30_000_000);
const LATE: Nanos = Nanos(1_500_000_000);
/// The retry-after when no slot is free: at least this share of the longest, the rest drawn at random.
const NO_SLOT: f64 = 0.7;

/// The load state of one content type. Log lines carry the variants' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// Normal load, high load included.
    Calm,
    /// Many failures or many retries: fewer further attempts, retry-after is spread.
    Rising,
    /// Retries feed on failures: only what can be served is admitted.
    Storm,
    /// Admitted requests are served again, and more are admitted as long as that lasts.
    Recovering,
}

/// What is done with a request that has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// Admitted, with this reservation.
    Admit(Reservation),
    /// Rejected at once, with retry-after.
    RetryLater(Reservation),
    /// Failed: it may have run already, or its attempts are used up.
    Fail(Reservation),
}

impl Admission {
    /// What is noted of the request, whatever is done with it.
    pub fn reservation(&self) -> Reservation {
        let (Admission::Admit(reservation)
        | Admission::RetryLater(reservation)
        | Admission::Fail(reservation)) = self;
        *reservation
    }
}

/// The capacity to admit to: this dispatcher's share, in concurrent transfers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BackendCapacity {
    /// Of the zone's caches, or of the ways that bypass them: now, and after the longest retry-after.
    pub caches: [f64; 2],
    /// No cache is available: `caches` is the capacity of the ways that bypass them.
    pub bypasses_caches: bool,
    /// Of the origin, at the same two times.
    pub origin: [f64; 2],
}

/// One content type.
#[derive(Debug)]
struct Row {
    told: ContentType,
    load_state: LoadState,
    /// The load state that current conditions call for, and since when without a break.
    signs: (LoadState, Nanos),
    /// First tries, retries of different requests, served, not served.
    seen: RingBuffer<4>,
    /// Of those admitted under overload: served in time, and not.
    let_in: RingBuffer<2>,
}

/// The overload control of one dispatcher.
#[derive(Debug)]
pub struct OverloadControl {
    s: OverloadSettings,
    longest: Nanos,
    rows: Vec<Row>,
    /// For requests to the caches and to the origin, see [`Self::backend_of`].
    admission: [AdmissionControl; 2],
    pages: GenerationalMap<Page>,
    once: GenerationalMap<Ran>,
    random: Random,
    born: Option<Nanos>,
    looked: Nanos,
}

impl OverloadControl {
    /// Clients honour a retry-after of at most `longest`; nodes are judged by what they are sent in `window`.
    pub fn new(s: OverloadSettings, types: &[ContentType], longest: Nanos, window: Nanos, seed: u64) -> Self {
        let row = |told: &ContentType| Row {
            told: told.clone(),
            load_state: LoadState::Calm,
            signs: (LoadState::Calm, Nanos::ZERO),
            seen: RingBuffer::new(SEEN_OVER, BUCKETS),
            let_in: RingBuffer::new(SEEN_OVER, BUCKETS),
        };
        let admission = |_| AdmissionControl::new(types.len(), longest, window, s.slots, s.unreserved_share);
        OverloadControl {
            longest,
            rows: types.iter().map(row).collect(),
            admission: [0, 1].map(admission),
            pages: GenerationalMap::new(s.remember_for, s.max_remembered),
            once: GenerationalMap::new(s.remember_for, s.max_remembered),
            random: Random::new(seed.rotate_left(17)),
            born: None,
            looked: Nanos::ZERO,
            s,
        }
    }

    /// The load state of a content type.
    pub fn load_state(&self, content_type: TypeId) -> LoadState {
        self.rows.get(content_type.0 as usize).map_or(LoadState::Calm, |row| row.load_state)
    }

    /// The share of its usual further attempts that a content type may make.
    pub fn retry_share(&self, content_type: TypeId) -> f64 {
        FURTHER[self.load_state(content_type) as usize]
    }

    /// The number of remembered tries.
    pub fn remembered_requests(&self) -> usize {
        self.pages.len() + self.once.len()
    }

    /// Whether [`Self::evaluate`] is due.
    pub fn is_evaluation_due(&self, now: Nanos) -> bool {
        now.since(self.looked) >= LOOK_EVERY
    }

    /// Evaluates load states and sets admission rates for `supply`. Returns a change of load state: content type, old, new.
    pub fn evaluate(
        &mut self,
        now: Nanos,
        supply: BackendCapacity,
    ) -> Option<(TypeId, LoadState, LoadState)> {
        self.looked = now;
        self.pages.rotate(now);
        self.once.rotate(now);
        self.admission[0].look(now, supply.caches, supply.bypasses_caches);
        self.admission[1].look(now, supply.origin, false);
        (0..self.rows.len()).find_map(|at| self.judge(now, at))
    }

    /// Evaluates the load state of a content type from its recent counts.
    fn judge(&mut self, now: Nanos, at: usize) -> Option<(TypeId, LoadState, LoadState)> {
        use LoadState::*;
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
        let (to, lasting) = match row.load_state {
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
        if to == row.load_state || now.since(row.signs.1) < lasting {
            return None;
        }
        let from = row.load_state;
        row.move_to(now, to);
        Some((TypeId(at as u32), from, to))
    }

    /// The backend that serves a content type: 0 for the caches, 1 for the origin.
    fn backend_of(&self, content_type: TypeId) -> usize {
        usize::from(self.rows[content_type.0 as usize].told.uncacheable)
    }

    /// Decides on a request that has arrived.
    pub fn admit(&mut self, now: Nanos, d: &RoutingRequest, work_s: f64) -> Admission {
        let born = *self.born.get_or_insert(now);
        let at = d.content_type.0 as usize;
        let fingerprint = mix(d.client ^ mix(d.copy_hash ^ mix(u64::from(d.content_type.0) ^ d.body_hash)));
        let mut reservation = Reservation {
            fingerprint,
            arrived_at: now,
            priority_level: 0,
            admitted_under_overload: false,
            earlier_attempts: 0,
        };
        if self.rows[at].is_once() {
            let repeats = d.is_retry || !self.s.clients_mark_retries;
            // What was in flight before a start, or was dropped early, is unknown: it may have run.
            let unknown = now.since(born) < self.s.remember_for
                || self.once.has_lost_entries(now)
                || self.s.unknown_retry_may_have_run;
            let may_have_run = match self.once.get(fingerprint) {
                Some(Ran::InHand | Ran::Maybe) => repeats,
                Some(Ran::Never) => false,
                None => d.is_retry && unknown,
            };
            if may_have_run {
                return Admission::Fail(reservation);
            }
        }
        let page = self.pages.get(fingerprint).cloned();
        let repeat = d.is_retry || (!self.s.clients_mark_retries && page.as_ref().is_some_and(Page::waits));
        let mut page = page.unwrap_or_default();
        let tried = if repeat { page.returns(now) } else { None };
        reservation.earlier_attempts = tried.map_or(0, |tried| tried.attempts);
        let row = &mut self.rows[at];
        if !repeat {
            row.seen.add(now, 0, 1.0);
        } else if now.since(page.counted) >= SEEN_OVER || page.counted == Nanos::ZERO {
            page.counted = now;
            row.seen.add(now, 1, 1.0);
        }
        let damped = matches!(row.load_state, LoadState::Storm | LoadState::Recovering);
        let benefit = row.told.benefit;
        let told = tried.filter(|tried| tried.back > Nanos::ZERO);
        // A retry before its retry-after gets the same retry-after again and no new slot.
        if let Some(early) = told.filter(|tried| damped && tried.back > now.after(EARLY)) {
            page.put(early);
            self.pages.insert(now, fingerprint, page);
            return Admission::RetryLater(Reservation {
                priority_level: Reservation::EARLY_RETRY_LEVEL,
                ..reservation
            });
        }
        if repeat {
            self.pages.insert(now, fingerprint, page);
        }
        if u32::from(reservation.earlier_attempts) >= self.s.max_attempts {
            return Admission::Fail(reservation);
        }
        let in_time = told.is_some_and(|tried| tried.reserved && now <= tried.back.after(LATE));
        reservation.priority_level =
            if in_time { AdmissionControl::RESERVED } else { AdmissionControl::level(benefit, work_s) };
        let backend = self.backend_of(d.content_type);
        self.admission[backend].asked(now, reservation.priority_level, work_s);
        if damped {
            let draw = self.random.next_f64();
            if !self.admission[backend].lets_in(at, reservation.priority_level, work_s, draw) {
                return Admission::RetryLater(reservation);
            }
            reservation.admitted_under_overload = true;
        }
        if self.rows[at].is_once() {
            self.once.insert(now, fingerprint, Ran::InHand);
        }
        Admission::Admit(reservation)
    }

    /// A request has its final answer, or its client has left. For a rejected one returns its retry-after, or `None` for the
    /// usual.
    pub fn request_answered(
        &mut self,
        now: Nanos,
        request_id: &RequestState,
        to: Stage,
        target_s: f64,
    ) -> Option<Nanos> {
        let (at, reservation) = (request_id.routing_request.content_type.0 as usize, request_id.reservation);
        let served = to == Stage::Served;
        let ended = to != Stage::ClientGone;
        let row = &mut self.rows[at];
        if ended && reservation.priority_level != Reservation::EARLY_RETRY_LEVEL {
            row.seen.add(now, if served { 2 } else { 3 }, 1.0);
        }
        let backend = usize::from(row.told.uncacheable);
        if reservation.admitted_under_overload && ended {
            let in_time = served && now.since(reservation.arrived_at).secs() <= target_s;
            if to == Stage::Rejected && request_id.missed_at.is_some() {
                self.admission[backend].came_to_nothing(request_id.work_s);
            } else {
                row.let_in.add(now, usize::from(!in_time), 1.0);
                self.admission[backend].ended(now, in_time);
            }
        }
        let attempts = reservation
            .earlier_attempts
            .saturating_add(request_id.attempts.iter().filter(|attempt| attempt.reached).count() as u8);
        if to != Stage::Rejected {
            if to == Stage::Failed && attempts > 0 && !row.is_once() {
                self.remember(
                    now,
                    reservation.fingerprint,
                    Tried { attempts, back: Nanos::ZERO, reserved: false },
                );
            }
            return None;
        }
        if row.is_once() {
            // It is rejected with retry-after only if no attempt has run.
            self.once.insert(now, reservation.fingerprint, Ran::Never);
        }
        if reservation.priority_level == Reservation::EARLY_RETRY_LEVEL {
            let back = self.pages.get(reservation.fingerprint).and_then(Page::next_back);
            return Some(back.map_or(self.longest, |back| back.since(now)));
        }
        let (back, reserved) = match row.load_state {
            LoadState::Calm => (Nanos::ZERO, false),
            _ => self.slot(now, backend, reservation.priority_level, request_id.work_s),
        };
        self.remember(now, reservation.fingerprint, Tried { attempts, back, reserved });
        (back > Nanos::ZERO).then(|| back.since(now))
    }

    /// When to retry, and whether a slot is reserved: at random within the first slot that has room; if there is none,
    /// retries are spread at random.
    fn slot(&mut self, now: Nanos, backend: usize, level: u8, work_s: f64) -> (Nanos, bool) {
        let draw = self.random.next_f64();
        match self.admission[backend].reserve(now, level, work_s, draw) {
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

    /// All attempts of an answered request have ended: whether it may have run is now final.
    pub fn request_settled(&mut self, now: Nanos, request_id: &RequestState) {
        let row = &self.rows[request_id.routing_request.content_type.0 as usize];
        if row.is_once() && self.once.get(request_id.reservation.fingerprint) == Some(&Ran::InHand) {
            let ran = request_id.may_have_run.is_some() || request_id.stage == Stage::Served;
            self.once.insert(
                now,
                request_id.reservation.fingerprint,
                if ran { Ran::Maybe } else { Ran::Never },
            );
        }
    }
}

impl Row {
    /// The one place where the load state changes.
    fn move_to(&mut self, now: Nanos, to: LoadState) {
        (self.load_state, self.signs) = (to, (to, now));
        self.let_in.clear();
    }

    /// Whether it must not run twice, as not every node recognises its retries.
    fn is_once(&self) -> bool {
        use crate::interface::DedupScope::All;
        !matches!(self.told.retry_safety, RetrySafety::Retriable | RetrySafety::Deduped { scope: All, .. })
    }
}

const _: () = assert!((Reservation::EARLY_RETRY_LEVEL as usize) >= LEVELS);
