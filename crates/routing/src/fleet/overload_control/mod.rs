//! Overload control for retry storms: detects overload per content type, admits what the backends can serve, and gives
//! the other requests a retry-after. The policy (`src/policy/`) calls [`OverloadControl::admit`] before a request's
//! first attempt, [`OverloadControl::request_answered`] for each final answer, and [`OverloadControl::evaluate`]
//! periodically with the capacity of the backends. Work is measured in seconds of a transfer. No I/O; time comes with
//! each call, random numbers from a seed. See docs/storms.md.

mod admission;
mod executions;
mod failed_requests;

pub use admission::{Admission, BackendCapacity};

use crate::fleet::admission_control::{AdmissionControl, LEVELS};
use crate::interface::{ContentType, Nanos, OverloadSettings, RetrySafety, RoutingRequest, TypeId, mix};
use crate::state::{RequestState, Reservation, Stage};
use crate::structures::generational_map::GenerationalMap;
use crate::structures::random::Random;
use crate::structures::ring_buffer::RingBuffer;
use executions::{ExecutionStatus, Executions};
use failed_requests::{FailedRequest, FailedRequests};

/// Detection counts requests over a sliding window of this length, in `BUCKETS` buckets, evaluated at this interval.
const DETECTION_WINDOW: Nanos = Nanos(2_000_000_000);
const BUCKETS: usize = 8;
const EVALUATION_INTERVAL: Nanos = Nanos(100_000_000);
/// With fewer final answers than this in the window, load counts as calm.
const MIN_ANSWERS: f64 = 16.0;
/// Success rates: below the first there is an outage; below the second, with many retries, load is rising or a storm;
/// from the third on load is calm.
const OUTAGE_SUCCESS: f64 = 0.3;
const OVERLOAD_SUCCESS: f64 = 0.7;
const CALM_SUCCESS: f64 = 0.9;
/// Retries per new request: load is rising or a storm from the first ratio on, and calm below the second.
const OVERLOAD_RETRY_RATIO: f64 = 0.5;
const CALM_RETRY_RATIO: f64 = 0.25;
/// How long a condition must hold before the load state follows it.
const OVERLOAD_HOLD: Nanos = Nanos(400_000_000);
const CALM_HOLD: Nanos = Nanos(3_000_000_000);
/// Recovery begins when this many admitted requests were served in time and they are this share of those admitted. It
/// has failed below the last share.
const MIN_ADMITTED: f64 = 8.0;
const RECOVERY_SHARE: f64 = 0.6;
const RELAPSE_SHARE: f64 = 0.3;
/// The share of the usual retries that a request may make, by load state.
const RETRY_SHARE: [f64; 4] = [1.0, 0.5, 0.1, 0.3];
/// A retry is early if it arrives more than this before the end of its retry-after, and has lost its slot this long
/// after it.
const EARLY_TOLERANCE: Nanos = Nanos(30_000_000);
const LATE_TOLERANCE: Nanos = Nanos(1_500_000_000);
/// The least retry-after when no slot is free, as a share of the longest; the rest is random.
const MIN_RETRY_AFTER_SHARE: f64 = 0.7;

/// The load state of one content type. Log lines carry the variants' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// Normal load, high load included.
    Calm,
    /// Many failures or many retries: fewer retries of attempts, and retry-after is spread over time.
    Rising,
    /// Failures cause retries that cause more failures: only what can be served is admitted.
    Storm,
    /// Admitted requests are served again, and the admitted rate rises as long as they are.
    Recovering,
}

/// The state of one content type.
#[derive(Debug)]
struct TypeState {
    content_type: ContentType,
    load_state: LoadState,
    /// The load state that current conditions call for, and since when without interruption.
    candidate: (LoadState, Nanos),
    /// New requests, retried requests, answers that served, other answers.
    counts: RingBuffer<4>,
    /// Requests admitted under overload: served in time, and not.
    admitted: RingBuffer<2>,
}

/// The overload control of one dispatcher.
#[derive(Debug)]
pub struct OverloadControl {
    settings: OverloadSettings,
    max_retry_after: Nanos,
    types: Vec<TypeState>,
    /// For the caches and for the origin, see [`Self::backend_of`].
    admission: [AdmissionControl; 2],
    /// Failed requests that may be retried, by fingerprint.
    failed: GenerationalMap<FailedRequests>,
    /// Requests that must not run twice, by fingerprint.
    executions: Executions,
    random: Random,
    first_request_at: Option<Nanos>,
    evaluated_at: Nanos,
}

impl OverloadControl {
    /// Clients honour a retry-after of at most `max_retry_after`; overload of a node is judged by what it is sent in
    /// `window`.
    pub fn new(
        settings: OverloadSettings,
        types: &[ContentType],
        max_retry_after: Nanos,
        window: Nanos,
        seed: u64,
    ) -> Self {
        let type_state = |content_type: &ContentType| TypeState {
            content_type: content_type.clone(),
            load_state: LoadState::Calm,
            candidate: (LoadState::Calm, Nanos::ZERO),
            counts: RingBuffer::new(DETECTION_WINDOW, BUCKETS),
            admitted: RingBuffer::new(DETECTION_WINDOW, BUCKETS),
        };
        let (slots, unreserved_share) = (settings.slots, settings.unreserved_share);
        let admission =
            |_| AdmissionControl::new(types.len(), max_retry_after, window, slots, unreserved_share);
        OverloadControl {
            max_retry_after,
            types: types.iter().map(type_state).collect(),
            admission: [0, 1].map(admission),
            failed: GenerationalMap::new(settings.remember_for, settings.max_remembered),
            executions: Executions::new(settings.remember_for, settings.max_remembered),
            random: Random::new(seed.rotate_left(17)),
            first_request_at: None,
            evaluated_at: Nanos::ZERO,
            settings,
        }
    }

    /// The load state of a content type.
    pub fn load_state(&self, content_type: TypeId) -> LoadState {
        self.types.get(content_type.0 as usize).map_or(LoadState::Calm, |state| state.load_state)
    }

    /// The share of the usual retries that requests of a content type may make.
    pub fn retry_share(&self, content_type: TypeId) -> f64 {
        RETRY_SHARE[self.load_state(content_type) as usize]
    }

    /// The number of remembered requests.
    pub fn remembered_requests(&self) -> usize {
        self.failed.len() + self.executions.len()
    }

    /// Whether [`Self::evaluate`] is due.
    pub fn is_evaluation_due(&self, now: Nanos) -> bool {
        now.since(self.evaluated_at) >= EVALUATION_INTERVAL
    }

    /// Evaluates load states and sets admission rates for `capacity`. Returns a change of load state: content type,
    /// old, new.
    pub fn evaluate(
        &mut self,
        now: Nanos,
        capacity: BackendCapacity,
    ) -> Option<(TypeId, LoadState, LoadState)> {
        self.evaluated_at = now;
        self.failed.rotate(now);
        self.executions.rotate(now);
        self.admission[0].evaluate(now, capacity.caches, capacity.bypasses_caches);
        self.admission[1].evaluate(now, capacity.origin, false);
        (0..self.types.len()).find_map(|index| self.evaluate_type(now, index))
    }

    /// Evaluates the load state of a content type from its recent counts.
    fn evaluate_type(&mut self, now: Nanos, index: usize) -> Option<(TypeId, LoadState, LoadState)> {
        use LoadState::*;
        let state = &mut self.types[index];
        let [new, retried, served, not_served] = state.counts.sums(now);
        let [in_time, late] = state.admitted.sums(now);
        let enough = served + not_served >= MIN_ANSWERS;
        let success = served / (served + not_served).max(1.0);
        let retry_ratio = retried / new.max(1.0);
        let overload = enough && retry_ratio >= OVERLOAD_RETRY_RATIO && success < OVERLOAD_SUCCESS;
        let outage = enough && success < OUTAGE_SUCCESS;
        let calm = !enough || (retry_ratio < CALM_RETRY_RATIO && success >= CALM_SUCCESS);
        let recovers = in_time >= MIN_ADMITTED && in_time >= RECOVERY_SHARE * (in_time + late);
        let relapses = in_time + late >= MIN_ADMITTED && in_time < RELAPSE_SHARE * (in_time + late);
        let (to, hold) = match state.load_state {
            Calm if overload || outage => (Rising, Nanos::ZERO),
            Rising if overload => (Storm, OVERLOAD_HOLD),
            Rising if !outage => (Calm, OVERLOAD_HOLD),
            Storm if calm => (Calm, CALM_HOLD),
            Storm if recovers => (Recovering, Nanos::ZERO),
            Recovering if relapses => (Storm, Nanos::ZERO),
            Recovering if calm => (Calm, CALM_HOLD),
            unchanged => (unchanged, Nanos::ZERO),
        };
        if state.candidate.0 != to {
            state.candidate = (to, now);
        }
        if to == state.load_state || now.since(state.candidate.1) < hold {
            return None;
        }
        let from = state.load_state;
        state.move_to(now, to);
        Some((TypeId(index as u32), from, to))
    }

    /// The backend that serves a content type: 0 for the caches, 1 for the origin.
    fn backend_of(&self, content_type: TypeId) -> usize {
        usize::from(self.types[content_type.0 as usize].content_type.uncacheable)
    }

    /// Decides on a request that has arrived and takes `work_s` seconds of work.
    pub fn admit(&mut self, now: Nanos, request: &RoutingRequest, work_s: f64) -> Admission {
        let first_request_at = *self.first_request_at.get_or_insert(now);
        let index = request.content_type.0 as usize;
        let kind = u64::from(request.content_type.0);
        let fingerprint = mix(request.client ^ mix(request.copy_hash ^ mix(kind ^ request.body_hash)));
        let mut reservation = Reservation {
            fingerprint,
            arrived_at: now,
            priority_level: 0,
            admitted_under_overload: false,
            earlier_attempts: 0,
            tracks_execution: false,
        };
        if self.types[index].must_not_run_twice() {
            let may_be_retry = request.is_retry || !self.settings.clients_mark_retries;
            // A request from before the start, or one whose entry was dropped early, is unknown: it may have run.
            let is_unknown = now.since(first_request_at) < self.settings.remember_for
                || self.executions.has_lost_outcomes(now)
                || self.settings.unknown_retry_may_have_run;
            let may_have_run = match self.executions.status(fingerprint) {
                ExecutionStatus::MayHaveRun => may_be_retry,
                ExecutionStatus::NotRun => false,
                ExecutionStatus::Unknown => request.is_retry && is_unknown,
            };
            if may_have_run {
                return Admission::Fail(reservation);
            }
        }
        let failed = self.failed.get(fingerprint).cloned();
        let is_expected = failed.as_ref().is_some_and(FailedRequests::expects_retry);
        let is_retry = request.is_retry || (!self.settings.clients_mark_retries && is_expected);
        let mut failed = failed.unwrap_or_default();
        let earlier = if is_retry { failed.take_nearest(now) } else { None };
        reservation.earlier_attempts = earlier.map_or(0, |earlier| earlier.attempts);
        let state = &mut self.types[index];
        if !is_retry {
            state.counts.add(now, 0, 1.0);
        } else if now.since(failed.counted_at) >= DETECTION_WINDOW || failed.counted_at == Nanos::ZERO {
            failed.counted_at = now;
            state.counts.add(now, 1, 1.0);
        }
        let limits_admission = matches!(state.load_state, LoadState::Storm | LoadState::Recovering);
        let benefit = state.content_type.benefit;
        let deferred = earlier.filter(|earlier| earlier.retry_at > Nanos::ZERO);
        // A retry before its retry-after gets the same retry-after again and no new slot.
        let is_early =
            |earlier: &FailedRequest| limits_admission && earlier.retry_at > now.after(EARLY_TOLERANCE);
        if let Some(early) = deferred.filter(is_early) {
            failed.put(early);
            self.failed.insert(now, fingerprint, failed);
            return Admission::RetryLater(Reservation {
                priority_level: Reservation::EARLY_RETRY_LEVEL,
                ..reservation
            });
        }
        if is_retry {
            self.failed.insert(now, fingerprint, failed);
        }
        if u32::from(reservation.earlier_attempts) >= self.settings.max_attempts {
            return Admission::Fail(reservation);
        }
        let has_slot =
            deferred.is_some_and(|earlier| earlier.has_slot && now <= earlier.retry_at.after(LATE_TOLERANCE));
        reservation.priority_level =
            if has_slot { AdmissionControl::RESERVED } else { AdmissionControl::level(benefit, work_s) };
        let backend = self.backend_of(request.content_type);
        self.admission[backend].record_demand(now, reservation.priority_level, work_s);
        if limits_admission {
            let draw = self.random.next_f64();
            if !self.admission[backend].admits(index, reservation.priority_level, work_s, draw) {
                return Admission::RetryLater(reservation);
            }
            reservation.admitted_under_overload = true;
        }
        if self.types[index].must_not_run_twice() {
            self.executions.admitted(fingerprint);
            reservation.tracks_execution = true;
        }
        Admission::Admit(reservation)
    }

    /// A request has its final answer (`to`), or its client has disconnected. `target_s` is its latency target. For a
    /// rejected request returns the retry-after, or `None` for the usual one.
    pub fn request_answered(
        &mut self,
        now: Nanos,
        request: &RequestState,
        to: Stage,
        target_s: f64,
    ) -> Option<Nanos> {
        let index = request.routing_request.content_type.0 as usize;
        let reservation = request.reservation;
        let served = to == Stage::Served;
        let answered = to != Stage::ClientGone;
        let state = &mut self.types[index];
        if answered && reservation.priority_level != Reservation::EARLY_RETRY_LEVEL {
            state.counts.add(now, if served { 2 } else { 3 }, 1.0);
        }
        let backend = usize::from(state.content_type.uncacheable);
        if reservation.admitted_under_overload && answered {
            let in_time = served && now.since(reservation.arrived_at).secs() <= target_s;
            if to == Stage::Rejected && request.missed_at.is_some() {
                self.admission[backend].return_tokens(request.work_s);
            } else {
                state.admitted.add(now, usize::from(!in_time), 1.0);
                self.admission[backend].request_ended(now, in_time);
            }
        }
        let attempts = reservation
            .earlier_attempts
            .saturating_add(request.attempts.iter().filter(|attempt| attempt.reached).count() as u8);
        if to != Stage::Rejected {
            if to == Stage::Failed && attempts > 0 && !state.must_not_run_twice() {
                self.remember(
                    now,
                    reservation.fingerprint,
                    FailedRequest { attempts, retry_at: Nanos::ZERO, has_slot: false },
                );
            }
            return None;
        }
        // A request that was admitted settles when its attempts have ended. One that was not has no attempts.
        if state.must_not_run_twice() && !reservation.tracks_execution {
            self.executions.did_not_run(now, reservation.fingerprint);
        }
        if reservation.priority_level == Reservation::EARLY_RETRY_LEVEL {
            let retry_at = self.failed.get(reservation.fingerprint).and_then(FailedRequests::last_retry_at);
            return Some(retry_at.map_or(self.max_retry_after, |at| at.since(now)));
        }
        let (retry_at, has_slot) = match state.load_state {
            LoadState::Calm => (Nanos::ZERO, false),
            _ => self.reserve_retry(now, backend, reservation.priority_level, request.work_s),
        };
        self.remember(now, reservation.fingerprint, FailedRequest { attempts, retry_at, has_slot });
        (retry_at > Nanos::ZERO).then(|| retry_at.since(now))
    }

    /// When to retry, and whether a slot is reserved for that: at random within the first slot that has room. If no
    /// slot has room, the time is random.
    fn reserve_retry(&mut self, now: Nanos, backend: usize, level: u8, work_s: f64) -> (Nanos, bool) {
        let draw = self.random.next_f64();
        match self.admission[backend].reserve(now, level, work_s, draw) {
            Some(retry_at) => (retry_at.min(now.after(self.max_retry_after)), true),
            None => {
                let share = MIN_RETRY_AFTER_SHARE + (1.0 - MIN_RETRY_AFTER_SHARE) * draw;
                (now.after(Nanos::from_secs(self.max_retry_after.secs() * share)), false)
            }
        }
    }

    fn remember(&mut self, now: Nanos, fingerprint: u64, request: FailedRequest) {
        let mut failed = self.failed.remove(fingerprint).unwrap_or_default();
        failed.put(request);
        self.failed.insert(now, fingerprint, failed);
    }

    /// All attempts of an answered request have ended: whether it may have run is now final.
    pub fn request_settled(&mut self, now: Nanos, request: &RequestState) {
        if request.reservation.tracks_execution {
            self.executions.settled(now, request.reservation.fingerprint, request.may_have_run.is_some());
        }
    }
}

impl TypeState {
    /// The only place where the load state changes.
    fn move_to(&mut self, now: Nanos, to: LoadState) {
        (self.load_state, self.candidate) = (to, (to, now));
        self.admitted.clear();
    }

    /// Whether a request of this type must not run twice: it is not idempotent, and not every node recognises a retry.
    fn must_not_run_twice(&self) -> bool {
        use crate::interface::DedupScope::All;
        !matches!(
            self.content_type.retry_safety,
            RetrySafety::Retriable | RetrySafety::Deduped { scope: All, .. }
        )
    }
}

const _: () = assert!((Reservation::EARLY_RETRY_LEVEL as usize) >= LEVELS);
