//! The input and the result of overload control: the capacity of the backends, and the decision on one request.

use crate::state::Reservation;

/// The decision on a request that has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// Admitted, with this reservation.
    Admit(Reservation),
    /// Rejected at once, with retry-after.
    RetryLater(Reservation),
    /// Failed at once: it may have run already, or its attempts are used up.
    Fail(Reservation),
}

impl Admission {
    /// What is recorded about the request, whatever the decision.
    pub fn reservation(&self) -> Reservation {
        let (Admission::Admit(reservation)
        | Admission::RetryLater(reservation)
        | Admission::Fail(reservation)) = self;
        *reservation
    }
}

/// The capacity available to this dispatcher, in concurrent transfers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BackendCapacity {
    /// Of the zone's caches, or of the paths that bypass them: now, and after the longest retry-after.
    pub caches: [f64; 2],
    /// No cache is available: `caches` is the capacity of the paths that bypass them.
    pub bypasses_caches: bool,
    /// Of the origin, at the same two times.
    pub origin: [f64; 2],
}
