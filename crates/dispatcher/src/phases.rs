//! The program's life, from start to exit.

/// Where the program stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Listening, but no list of nodes is known yet.
    Starting,
    /// Serves.
    Serving,
    /// Told to end: answers all that comes until nothing more can.
    Draining,
    /// All is answered: connections are ended in order, and nothing more is taken.
    Closing,
    /// Nothing is left to do.
    Stopped,
}

/// The one object that holds the phase.
#[derive(Debug)]
pub struct Life {
    phase: Phase,
}

impl Default for Life {
    fn default() -> Self {
        Life { phase: Phase::Starting }
    }
}

impl Life {
    /// Where the program stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Moves on, never back; tells whether that was a move.
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
