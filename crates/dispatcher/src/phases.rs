//! The life cycle of the process, from start to exit.

/// The phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Listening, but no node list is known yet.
    Starting,
    /// Serving requests.
    Serving,
    /// Asked to terminate: requests are still accepted and answered until no more can arrive.
    Draining,
    /// All requests are answered: connections are closed, and no new requests are accepted.
    Closing,
    /// Nothing is left to do.
    Stopped,
}

/// Holds the phase and allows only forward transitions.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Phase,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle { phase: Phase::Starting }
    }
}

impl Lifecycle {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Moves to a later phase; returns whether the transition was allowed and made.
    pub fn move_to(&mut self, to: Phase) -> bool {
        use Phase::*;
        let allowed = match self.phase {
            Starting => matches!(to, Serving | Draining),
            Serving => to == Draining,
            Draining => to == Closing,
            Closing => to == Stopped,
            Stopped => false,
        };
        if allowed {
            log::info!("{:?} after {:?}", to, self.phase);
            self.phase = to;
        }
        allowed
    }
}
