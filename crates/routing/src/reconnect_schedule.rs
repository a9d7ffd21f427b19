//! Decides when a dispatcher (or a replica) connects to the change log: at start, while the change log is away, and
//! when it is back. Inputs: settings, the time with each call, a random seed. Outputs: the time of the next connection
//! and the state of the current one. No I/O. The owner of the connection asks [`ReconnectSchedule::is_due`] and reports
//! each event. See docs/cold-start.md.
//!
//! All dispatchers together keep to what the change log can bear without coordination. Unix time is divided into
//! reconnect windows, the same for all, as long as the change log needs to accept one connection from each dispatcher;
//! each dispatcher connects at most once per window, in a slot that it draws. A failed attempt leads to a slot in a
//! later window, so an outage of any length causes no higher rate than a start. Where the operators don't configure
//! what the change log bears, windows begin short and double with consecutive failures.
//!
//! If there are more dispatchers than configured, failed attempts make each dispatcher skip whole windows, and it draws
//! which of them it uses. Lengthening the window instead, begun by each dispatcher at its own time, can bring twice the
//! rate once (docs/cold-start.md).

use crate::interface::{Nanos, mix};
use crate::structures::random::Random;

/// Share of the configured rate that windows are laid out for: slots are random, so the rate within a window varies.
const TARGET_LOAD: f64 = 0.8;
/// Time that a connection and its answer may take; the longest wait is the delivery time less this.
const ANSWER_TIME: Nanos = Nanos(500_000_000);
/// A heartbeat line comes each second: a connection without a whole line for this long counts as ended.
const SILENCE_TIMEOUT: Nanos = Nanos(2_000_000_000);
/// How often the answer timeout doubles where one connection is open at a time: 2 s doubles up to 16 s.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// A stream that delivered lines for this long is steady. One that ends sooner counts as a failed attempt.
const STEADY_AFTER: Nanos = Nanos(2_000_000_000);
/// A dispatcher that is later than its slot by more than this was suspended.
const MAX_LATENESS: Nanos = Nanos(500_000_000);
/// Skipping of windows, a consequence of failed attempts, ends once a stream has been steady for this long.
const SKIP_WINDOWS_FOR: Nanos = Nanos(600_000_000_000);
/// Without a configured rate: the first wait, and the longest.
const DEFAULT_WINDOW: Nanos = Nanos(200_000_000);
const MAX_DEFAULT_WINDOW: Nanos = Nanos(3_200_000_000);
/// Without a configured rate: the number of connections per second that all dispatchers together may make to a change
/// log that is away. A small fleet therefore waits less, down to the lower bound of the longest wait.
const DEFAULT_CALLS_PER_S: f64 = 90.0;
const MIN_LONGEST_WAIT: Nanos = Nanos(400_000_000);
/// The longest wait, of which half is random, after an attempt that failed for lack of local resources such as file
/// descriptors. With a configured rate the next attempt takes the dispatcher's first slot after that wait.
const LOCAL_FAILURE_WAIT: Nanos = Nanos(1_000_000_000);

/// What the operators configure about the change log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReconnectSettings {
    /// The number of dispatchers that connect to it.
    pub dispatchers: u32,
    /// New connections per second that it bears; `None` if not configured.
    pub calls_per_s: Option<f64>,
    /// An event counts as delivered this long after it was written, whether it was received or not.
    pub delivered_after: Nanos,
    /// The part of each reconnect window in which this dispatcher's location connects: start and end, in [0, 1].
    pub window_range: [f64; 2],
}

impl ReconnectSettings {
    /// The shortest window in which all dispatchers can connect.
    fn window(&self) -> Nanos {
        self.calls_per_s.map_or(DEFAULT_WINDOW, |rate| {
            Nanos::from_secs(f64::from(self.dispatchers) / (TARGET_LOAD * rate))
        })
    }

    /// The longest wait after which events are still received in time.
    fn longest_wait(&self) -> Nanos {
        let in_time = Nanos(self.delivered_after.0.saturating_sub(ANSWER_TIME.0));
        if self.calls_per_s.is_some() {
            return in_time;
        }
        let shared = Nanos::from_secs(f64::from(self.dispatchers) / DEFAULT_CALLS_PER_S);
        in_time.min(shared.clamp(MIN_LONGEST_WAIT, MAX_DEFAULT_WINDOW))
    }

    /// The longest wait between two connections; or, as an error, the lowest rate in connections per second that the
    /// change log would have to bear for all dispatchers to receive events in time.
    pub fn max_wait(&self) -> Result<Nanos, f64> {
        let longest = self.longest_wait();
        if self.window() > longest {
            return Err(f64::from(self.dispatchers) / (TARGET_LOAD * longest.secs().max(1e-3)));
        }
        Ok(longest)
    }
}

/// The state of the connection to the change log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Not connected; the next attempt is due at this time.
    Waiting(Nanos),
    /// An attempt began at this time and has received nothing yet.
    Connecting(Nanos),
    /// Lines are received on the connection that was begun at this time.
    Following(Nanos),
}

/// The times at which one dispatcher connects.
#[derive(Debug)]
pub struct ReconnectSchedule {
    settings: ReconnectSettings,
    random: Random,
    /// The Unix time, in nanoseconds, at which this dispatcher's clock shows zero; wraps.
    unix_zero: u64,
    state: ConnectionState,
    /// The slot in a window, in [0, 1).
    slot: f64,
    /// One window in this many is used.
    window_stride: u64,
    /// Which of them: the window's number modulo the stride.
    window_offset: u64,
    /// Consecutive failures: attempts and short streams since the last steady stream.
    failed_attempts: u32,
    /// When a whole line was last received.
    last_line_at: Nanos,
    /// Since when there has been no steady stream; set once that has been logged.
    lost_since: Option<Nanos>,
}

impl ReconnectSchedule {
    /// A dispatcher that has not connected yet, whose clock shows zero at this Unix time in nanoseconds.
    pub fn new(settings: ReconnectSettings, seed: u64, unix_zero: u64) -> Self {
        let mut schedule = ReconnectSchedule {
            settings,
            random: Random::new(mix(seed)),
            unix_zero,
            state: ConnectionState::Waiting(Nanos::ZERO),
            slot: 0.0,
            window_stride: 1,
            window_offset: 0,
            failed_attempts: 0,
            last_line_at: Nanos::ZERO,
            lost_since: None,
        };
        schedule.draw_slot(1);
        schedule
    }

    /// The state of the connection.
    pub fn state(&self) -> ConnectionState {
        self.state
    }

    /// The only place where the state changes; returns whether the transition is allowed.
    fn move_to(&mut self, to: ConnectionState) -> bool {
        use ConnectionState::*;
        let allowed = matches!(
            (self.state, to),
            (Waiting(_), Connecting(_)) | (Waiting(_) | Connecting(_), Following(_)) | (_, Waiting(_))
        );
        if allowed {
            self.state = to;
        }
        allowed
    }

    /// Draws a new slot, and uses one window in `window_stride` from now on.
    fn draw_slot(&mut self, window_stride: u64) {
        let [from, to] = self.settings.window_range;
        self.slot = from + (to - from) * self.random.next_f64();
        self.draw_window(window_stride);
    }

    /// Uses one window in `window_stride` from now on, with the same slot.
    fn draw_window(&mut self, window_stride: u64) {
        self.window_offset = (self.random.next_f64() * window_stride as f64) as u64;
        self.window_stride = window_stride;
    }

    /// The time of this dispatcher's first slot after `now`.
    fn next_slot(&self, now: Nanos) -> Nanos {
        let window = self.settings.window().0.max(1);
        let unix = now.0.wrapping_add(self.unix_zero);
        let slot = (window as f64 * self.slot) as u64;
        let mut number = unix / window;
        while number * window + slot <= unix || number % self.window_stride != self.window_offset {
            number += 1;
        }
        now.after(Nanos(number * window + slot - unix))
    }

    /// The dispatcher starts, with or without a usable node list; returns when it connects. A dispatcher that has a
    /// list leaves the first window to those without one: its window begins as late as events can still be received in
    /// time, so that the rate is not exceeded.
    pub fn started(&mut self, now: Nanos, has_list: bool) -> Nanos {
        if self.settings.calls_per_s.is_none() {
            self.move_to(ConnectionState::Waiting(now));
            return now;
        }
        let delay = Nanos(self.settings.longest_wait().0.saturating_sub(self.settings.window().0));
        let at = self.next_slot(if has_list { now.after(delay) } else { now });
        self.move_to(ConnectionState::Waiting(at));
        at
    }

    /// The change log has another address; returns when to connect. All dispatchers learn of it at the same time, so
    /// each draws a new slot.
    pub fn address_changed(&mut self, now: Nanos) -> Nanos {
        self.failed_attempts = 0;
        self.draw_slot(self.window_stride);
        let at = if self.settings.calls_per_s.is_some() { self.next_slot(now) } else { now };
        self.move_to(ConnectionState::Waiting(at));
        at
    }

    /// The settings have changed; they apply from the next attempt on.
    pub fn settings_changed(&mut self, settings: ReconnectSettings) {
        if std::mem::replace(&mut self.settings, settings) != settings {
            self.failed_attempts = 0;
            self.draw_slot(1);
        }
    }

    /// If the process was suspended past its slot, moves the attempt to the next slot and returns its time: other
    /// processes may have been suspended likewise, and all would connect at once.
    pub fn skip_missed_turn(&mut self, now: Nanos) -> Option<Nanos> {
        let late = matches!(self.state, ConnectionState::Waiting(at) if now.since(at) > MAX_LATENESS);
        if !late || self.settings.calls_per_s.is_none() {
            return None;
        }
        let at = self.next_slot(now);
        self.move_to(ConnectionState::Waiting(at));
        Some(at)
    }

    /// Whether an attempt is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        matches!(self.state, ConnectionState::Waiting(at) if at <= now)
    }

    /// An attempt has begun.
    pub fn connect_started(&mut self, now: Nanos) {
        if self.move_to(ConnectionState::Connecting(now)) {
            self.last_line_at = now;
        }
    }

    /// An attempt that was begun at this time, and had timed out, is answered after all.
    pub fn answered_after_timeout(&mut self, begun: Nanos) {
        if matches!(self.state, ConnectionState::Waiting(_) | ConnectionState::Connecting(_)) {
            self.move_to(ConnectionState::Following(begun));
        }
    }

    /// A whole line was received. Returns how long there was no steady stream, once the stream is steady again, if its
    /// loss was logged.
    pub fn line_received(&mut self, now: Nanos) -> Option<Nanos> {
        self.last_line_at = now;
        if let ConnectionState::Connecting(at) = self.state {
            self.move_to(ConnectionState::Following(at));
        }
        let ConnectionState::Following(at) = self.state else { return None };
        if now.since(at) < STEADY_AFTER {
            return None;
        }
        self.failed_attempts = 0;
        if self.window_stride > 1 && now.since(at) > SKIP_WINDOWS_FOR {
            self.draw_slot(1);
        }
        self.lost_since.take().map(|since| now.since(since))
    }

    /// Whether the attempt, or the stream, has been silent for too long.
    pub fn is_silent(&self, now: Nanos) -> bool {
        !matches!(self.state, ConnectionState::Waiting(_)) && now.since(self.last_line_at) > SILENCE_TIMEOUT
    }

    /// Whether to end the connection, where one is open at a time and `sources` are tried in turn: a stream that is
    /// silent, or an attempt whose timeout has passed. The timeout doubles with each attempt at the same source, so
    /// that a source that answers slowly is received eventually.
    pub fn has_timed_out(&self, now: Nanos, sources: u32) -> bool {
        let timeout = match self.state {
            ConnectionState::Connecting(_) => {
                Nanos(SILENCE_TIMEOUT.0 << (self.failed_attempts / sources.max(1)).min(MAX_TIMEOUT_DOUBLINGS))
            }
            _ => SILENCE_TIMEOUT,
        };
        !matches!(self.state, ConnectionState::Waiting(_)) && now.since(self.last_line_at) > timeout
    }

    /// An attempt failed for lack of local resources; returns when it is repeated. It never reached the change log, so
    /// it doesn't count as a failed attempt. With a configured rate it waits for a slot, since many dispatchers may get
    /// their resources back at the same time.
    pub fn local_failure(&mut self, now: Nanos) -> Nanos {
        let after =
            now.after(Nanos::from_secs(LOCAL_FAILURE_WAIT.secs() * (0.5 + 0.5 * self.random.next_f64())));
        let at = if self.settings.calls_per_s.is_some() { self.next_slot(after) } else { after };
        self.move_to(ConnectionState::Waiting(at));
        at
    }

    /// An attempt, or a stream, has ended: returns when the next attempt is due, and whether to log the loss.
    pub fn ended(&mut self, now: Nanos) -> (Nanos, bool) {
        let last = self.last_line_at;
        let steady = matches!(self.state, ConnectionState::Following(at) if last.since(at) >= STEADY_AFTER);
        self.failed_attempts = if steady { 0 } else { self.failed_attempts.saturating_add(1) };
        let (window, longest) = (self.settings.window().0.max(1), self.settings.longest_wait().0);
        let max_stride = (longest / window).max(1);
        // With a configured rate the stride doesn't shrink here: the fleet may be larger than configured, and all
        // dispatchers would return to using every window at once.
        let stride = match self.settings.calls_per_s {
            Some(_) => (1 << self.failed_attempts.min(10)).max(self.window_stride).min(max_stride),
            None => (1 << self.failed_attempts.saturating_sub(1).min(10)).min(max_stride),
        };
        if steady {
            // The stream may have ended for all dispatchers at the same time.
            self.draw_slot(stride);
        } else if stride != self.window_stride {
            self.draw_window(stride);
        }
        let at = match self.settings.calls_per_s {
            Some(_) => self.next_slot(now),
            // Half of the wait is random, so that dispatchers spread out and no attempt follows at once.
            None => now.after(Nanos::from_secs(
                Nanos(window * stride).secs() * (0.5 + 0.5 * self.random.next_f64()),
            )),
        };
        self.move_to(ConnectionState::Waiting(at));
        let should_log = self.lost_since.is_none() && (steady || self.failed_attempts > 1);
        if should_log {
            self.lost_since = Some(now);
        }
        (at, should_log)
    }
}
