//! One turn of the event loop: writes, polls, reads, fires timers and accepts clients, each for a bounded time, so that
//! whatever arrives delays no timer for long.

use super::*;

/// Pause of the whole loop after a call has failed for a local reason, so that the loop does not spin on the failure.
const ERROR_PAUSE: Duration = Duration::from_millis(1);
/// A turn that takes longer than this, without its wait, is logged. Final answers may be late by twice as much.
const SLOW_TURN: Nanos = Nanos(250_000_000);

impl Driver {
    /// Makes one turn. `sources` are read again if the program was told to.
    pub(super) fn turn(
        &mut self,
        event_loop: &mut EventLoop<'static, Inbox>,
        inbox: &mut Inbox,
        sources: &ConfigFiles,
    ) {
        self.flush_all();
        let poll_ended = self.poll(event_loop, inbox);
        // Timers that become due while this turn reads are left for the next turn, after it has read its input.
        self.deadlines.take_due(poll_ended, self.due_timers.newly_due());
        if std::mem::take(&mut inbox.terminate) {
            self.reduce(Event::Terminate);
        }
        if std::mem::take(&mut inbox.reload) {
            self.reload(sources);
        }
        // Input is read before timers fire: after the machine has stopped the program, every timer seems overdue
        // although the input may have come in time.
        let has_unread_input = self.serve_ready(&std::mem::take(&mut inbox.ready));
        std::mem::take(&mut inbox.disk).into_iter().for_each(|message| self.disk_reported(message));
        let read_until = self.clock.now();
        self.fire_timers(poll_ended, has_unread_input);
        self.accept_clients(std::mem::take(&mut inbox.accept));
        if std::mem::take(&mut self.wants_final_read) {
            self.read_final_input();
        }
        self.log_slow_turn(poll_ended, read_until);
        if std::mem::take(&mut self.needs_pause) {
            std::thread::sleep(ERROR_PAUSE);
        }
    }

    /// Polls the event sources; returns when the poll has ended.
    fn poll(&mut self, event_loop: &mut EventLoop<'static, Inbox>, inbox: &mut Inbox) -> Nanos {
        let began = self.clock.now();
        let wait = self.poll_timeout(began);
        let dispatched = event_loop.dispatch(wait, inbox);
        let ended = self.clock.now();
        match dispatched {
            Ok(()) => self.freshness.polled(began, wait, ended),
            // What was found before the failure is in the inbox; the rest is reported by the next poll.
            Err(fault) => {
                self.log_limiter.warn(ended, format_args!("event loop: {fault}"));
                self.needs_pause = true;
            }
        }
        ended
    }

    /// How long the loop may wait for an event; `None` for as long as it takes. With work left over from the last turn
    /// it does not wait. Exact to the nanosecond, as a wait that ended before the first deadline would only be followed
    /// by another.
    fn poll_timeout(&self, now: Nanos) -> Option<Duration> {
        if !self.has_output.is_empty() || !self.due_timers.is_empty() || !self.unread.is_empty() {
            return Some(Duration::ZERO);
        }
        let first = self.deadlines.first().into_iter().chain(self.accept_paused_until).min()?;
        Some(Duration::from_nanos(first.since(now).0))
    }

    /// Fires the timers that are due and need not wait for unread input, for as long as a turn may.
    fn fire_timers(&mut self, turn_began: Nanos, has_unread_input: bool) {
        let now = self.clock.now();
        self.due_timers.begin_firing(turn_began, now, has_unread_input, TimerKind::waits_for_input);
        while let Some(timer) = self.next_due_timer() {
            self.reduce(Event::TimerFired(timer));
        }
    }

    fn next_due_timer(&mut self) -> Option<TimerKind> {
        let now = self.clock.now();
        self.due_timers.next(now)
    }

    fn disk_reported(&mut self, message: DiskMessage) {
        match message {
            DiskMessage::Read(ticket, copy) => {
                let copy = copy.as_ref().map(|(facts, body)| (*facts, body.as_slice()));
                self.reduce(Event::CopyRead(ticket, copy));
            }
            DiskMessage::Off => self.reduce(Event::DiskOff),
            DiskMessage::Ready(opened) => {
                self.disk.iter_mut().for_each(|disk| disk.resume(opened));
                self.reduce(Event::DiskReady(&[], 0));
            }
        }
    }

    /// Logs a turn that took long, by what took the time: a machine that stops the program, or work without a bound.
    fn log_slow_turn(&mut self, poll_ended: Nanos, read_until: Nanos) {
        let now = self.clock.now();
        if now.since(poll_ended) <= SLOW_TURN {
            return;
        }
        let reading_ms = read_until.since(poll_ended).0 / 1_000_000;
        let rest_ms = now.since(read_until).0 / 1_000_000;
        self.log_limiter.warn(
            now,
            format_args!(
                "event loop: slow turn, {reading_ms} ms to read, {rest_ms} ms for timers and new clients"
            ),
        );
    }
}
