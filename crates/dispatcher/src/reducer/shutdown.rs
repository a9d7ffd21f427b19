//! Shutdown: from the termination signal until the process may exit.

use super::*;
use crate::lingering::EXIT_LINGER_TIMEOUT;

/// After the termination signal, no new requests arrive once this has passed.
const INTAKE_PERIOD: Nanos = Nanos(750_000_000);
/// After the termination signal, every request must be answered once this much more than the longest timeout
/// has passed, of which at most [`MAX_DRAIN_TIMEOUT`] counts. The last requests arrive 0.6 s after the signal;
/// 0.7 s after the longest timeout the process is no longer waited for.
const DRAIN_MARGIN: Nanos = Nanos(500_000_000);
/// The most of the longest timeout that counts for [`DRAIN_MARGIN`].
const MAX_DRAIN_TIMEOUT: Nanos = Nanos(3_000_000_000);
/// Requests are answered for at least this long after the signal, however short the longest timeout is, so
/// that the last ones to arrive are still served.
const MIN_DRAIN_TIMEOUT: Nanos = Nanos(620_000_000);

impl Reducer {
    /// The process is asked to terminate: requests are still accepted and answered until no more can arrive.
    pub(super) fn begin_draining(&mut self, now: Nanos) {
        if !self.lifecycle.move_to(Phase::Draining) {
            return;
        }
        let drain_timeout = self.longest_timeout().min(MAX_DRAIN_TIMEOUT).after(DRAIN_MARGIN);
        let drain_timeout = drain_timeout.max(MIN_DRAIN_TIMEOUT);
        self.exit_by = now.after(drain_timeout).after(EXIT_LINGER_TIMEOUT);
        let timers = [(INTAKE_PERIOD, TimerKind::IntakeEnd), (drain_timeout, TimerKind::DrainDeadline)];
        self.request_table.effects.extend(timers.map(|(span, timer)| Effect::Arm(now.after(span), timer)));
    }

    /// All requests are answered and all input is read: connections end as their clients take what they were sent.
    pub(super) fn close_clients_for_exit(&mut self, now: Nanos) {
        let RequestTable { clients, effects, .. } = &mut self.request_table;
        clients.close_all_lingering(now, self.exit_by, effects);
        self.clients_closing = true;
        let times = [Some(now.after(EXIT_LINGER_TIMEOUT)), clients.lingering.last_until()];
        effects.extend(times.into_iter().flatten().map(|at| Effect::Arm(at, TimerKind::LingerDeadline)));
    }
}
