//! Which deadlines somebody still waits for.

use super::*;

impl Reducer {
    /// Whether a deadline can still change anything. One for which this is false once stays so, as serials are not used
    /// twice. The decisions' own deadlines are theirs to judge; they are short.
    pub fn waits_for(&self, due: &Due) -> bool {
        match *due {
            // Also for a client that has gone: where attempts are not cancelled, they end by this deadline.
            Due::Expiry(request, serial) => self.desk.serial_of(request) == serial,
            Due::SendBy(attempt, serial) => self.desk.is_out(attempt, serial),
            Due::Disk(request_id, serial) => self.is_reading(request_id, serial),
            Due::Module(_)
            | Due::Connect(_)
            | Due::ChangeLog
            | Due::Sweep
            | Due::LastRequests
            | Due::Drained
            | Due::Lingered => true,
        }
    }

    /// Whether the disk still has to answer for this request.
    pub(super) fn is_reading(&self, request_id: RequestId, serial: u64) -> bool {
        self.reading.get(&request_id.0).is_some_and(|reading| reading.serial == serial)
    }
}
