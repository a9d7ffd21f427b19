//! What overload control remembers about requests that clients may retry: attempts used and retry-after.

use crate::interface::Nanos;

/// Failed requests kept under one fingerprint: clients behind one address may request the same object.
const MAX_PER_FINGERPRINT: usize = 4;

/// A failed request that may be retried.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailedRequest {
    /// Attempts that it and its earlier retries used.
    pub(super) attempts: u8,
    /// When its retry-after ends; zero if none was given.
    pub(super) retry_at: Nanos,
    /// A slot is reserved for its retry at that time.
    pub(super) has_slot: bool,
}

/// The failed requests under one fingerprint.
#[derive(Debug, Clone, Default)]
pub(super) struct FailedRequests {
    pub(super) requests: [Option<FailedRequest>; MAX_PER_FINGERPRINT],
    /// When a retry was last counted. A client that retries rapidly counts once per detection window.
    pub(super) counted_at: Nanos,
}

impl FailedRequests {
    /// Whether a retry is expected.
    pub(super) fn expects_retry(&self) -> bool {
        self.requests.iter().any(Option::is_some)
    }

    /// Takes the request that a retry most likely belongs to: the one whose retry-after ends nearest to `now`.
    pub(super) fn take_nearest(&mut self, now: Nanos) -> Option<FailedRequest> {
        let distance = |request: &FailedRequest| request.retry_at.since(now).max(now.since(request.retry_at));
        let present = self.requests.iter_mut().filter(|request| request.is_some());
        present.min_by_key(|request| request.as_ref().map(distance)).and_then(Option::take)
    }

    /// Remembers a request; if there is no room it replaces the one with the fewest attempts.
    pub(super) fn put(&mut self, request: FailedRequest) {
        let place = self.requests.iter_mut().min_by_key(|place| place.map_or(0, |kept| 1 + kept.attempts));
        place.into_iter().for_each(|place| *place = Some(request));
    }

    /// When the last retry-after ends.
    pub(super) fn last_retry_at(&self) -> Option<Nanos> {
        self.requests.iter().flatten().map(|request| request.retry_at).max()
    }
}
