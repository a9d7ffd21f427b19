//! Which deadlines somebody still waits for.

use super::*;

impl Reducer {
    /// Whether a deadline can still change anything. One for which this is false once stays so, as serials are not used
    /// twice. The decisions' own deadlines are theirs to judge; they are short.
    pub fn is_timer_needed(&self, due: &TimerKind) -> bool {
        match *due {
            // Also for a client that has gone: where attempts are not cancelled, they end by this deadline.
            TimerKind::Expiry(request, generation) => self.request_table.generation_of(request) == generation,
            TimerKind::SendBy(attempt, generation) => self.request_table.is_out(attempt, generation),
            TimerKind::DiskReadTimeout(request_id, generation) => self.is_reading(request_id, generation),
            TimerKind::Routing(_)
            | TimerKind::ConnectTimeout(_)
            | TimerKind::ConnectChangeLog
            | TimerKind::Sweep
            | TimerKind::IntakeEnd
            | TimerKind::DrainDeadline
            | TimerKind::LingerDeadline => true,
        }
    }

    /// Whether the disk still has to answer for this request.
    pub(super) fn is_reading(&self, request_id: RequestId, generation: u64) -> bool {
        self.reading.get(&request_id.0).is_some_and(|reading| reading.generation == generation)
    }
}
