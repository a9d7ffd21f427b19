//! Handles timers that have fired, and tells the event loop which armed timers are still needed, so that it can
//! prune the others.

use super::*;

impl Reducer {
    /// Handles a timer that has fired.
    pub(super) fn timer_fired(&mut self, now: Nanos, timer: TimerKind) {
        match timer {
            TimerKind::Routing(token) => self.routing.timer(now, token, &mut self.request_table),
            TimerKind::Expiry(request_id, generation) => self.expire(now, request_id, generation),
            TimerKind::DiskReadTimeout(request_id, generation) => {
                if self.is_disk_read_pending(request_id, generation) {
                    self.continue_without_disk(now, request_id);
                }
            }
            TimerKind::ConnectTimeout(number) => self.request_table.connect_overdue(number),
            TimerKind::ConnectChangeLog => self.change_log.connect_due(now, &mut self.request_table.effects),
            TimerKind::Sweep => {
                self.request_table.sweep();
                // No open request is older than the longest timeout.
                for node in self.request_table.remove_gone_nodes(self.longest_timeout().after(SWEEP_INTERVAL))
                {
                    self.routing.node_forgotten(node);
                }
                // A client that takes nothing for this long has gone: nobody waits that long for an answer.
                for number in self.request_table.clients.stalled(now, self.client_stall_timeout()) {
                    self.client_warnings
                        .warn(now, format_args!("client {number}: takes none of its output, closed"));
                    self.dismiss_client(now, number);
                }
                // Requests that an overdue client sent before are still answered.
                for number in self.request_table.clients.overdue(now) {
                    self.request_table.close_when_answered(number);
                }
                self.request_table.close_lingered();
                self.change_log.check_silence(now, &mut self.request_table.effects);
                self.process_change_log(now);
                self.correct_starts(now);
                let unix_ms = self.external_time.saving_date_ms(now);
                let list = self.snapshot.as_mut().and_then(|list| list.bytes_if_due(now, unix_ms));
                self.request_table.effects.extend(list.map(Effect::SaveNodeList));
                self.request_table.effects.push(Effect::Arm(now.after(SWEEP_INTERVAL), TimerKind::Sweep));
            }
            TimerKind::SendBy(attempt, generation) => {
                self.request_table.send_deadline_passed(attempt, generation)
            }
            TimerKind::IntakeEnd => self.intake_ended = true,
            TimerKind::LingerDeadline => self.request_table.close_lingered(),
            TimerKind::DrainDeadline => {
                for (request_id, generation) in self.request_table.requests_awaiting_answer() {
                    self.expire(now, request_id, generation);
                }
                self.drained = true;
            }
        }
    }

    /// Whether a timer can still change anything. Once false for a timer, it stays false, as generations are
    /// not reused. Timers of the routing policy always count as needed; they are short.
    pub fn is_timer_needed(&self, timer: &TimerKind) -> bool {
        match *timer {
            // Needed even if the client has disconnected: if attempts are not cancelled, they end by this
            // deadline.
            TimerKind::Expiry(request, generation) => self.request_table.generation_of(request) == generation,
            TimerKind::SendBy(attempt, generation) => self.request_table.is_in_flight(attempt, generation),
            TimerKind::DiskReadTimeout(request_id, generation) => {
                self.is_disk_read_pending(request_id, generation)
            }
            TimerKind::Routing(_)
            | TimerKind::ConnectTimeout(_)
            | TimerKind::ConnectChangeLog
            | TimerKind::Sweep
            | TimerKind::IntakeEnd
            | TimerKind::DrainDeadline
            | TimerKind::LingerDeadline => true,
        }
    }

    /// Whether the disk read for this request has neither finished nor timed out.
    pub(super) fn is_disk_read_pending(&self, request_id: RequestId, generation: u64) -> bool {
        self.disk_reads.get(&request_id.0).is_some_and(|reading| reading.generation == generation)
    }
}
