//! The network between machines: the delay of each message, resent messages, and regions that are cut off from each
//! other.

use super::assumptions::*;
use super::topology::Place;
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::random::Random;

#[derive(Debug)]
pub(super) struct Network {
    /// `cut[from][to]`: no message from the first region reaches the second.
    cut: [[bool; REGIONS]; REGIONS],
    rng: Random,
}

impl Network {
    pub(super) fn new(seed: u64) -> Self {
        Network { cut: [[false; REGIONS]; REGIONS], rng: Random::new(seed) }
    }

    /// Cuts or restores one direction between two regions.
    pub(super) fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        self.cut[from][to] = cut;
    }

    /// Whether a connection between two places works: it needs both directions.
    pub(super) fn connects(&self, one: Place, other: Place) -> bool {
        !self.cut[one.region][other.region] && !self.cut[other.region][one.region]
    }

    /// The delay of one message, drawn at random.
    pub(super) fn delay(&mut self, from: Place, to: Place) -> Nanos {
        let apart = from.region.abs_diff(to.region) as u64;
        let base = match apart {
            0 if from.zone == to.zone => DELAY_ZONE,
            0 => DELAY_REGION,
            _ => DELAY_NEXT_REGION.after(Nanos((apart - 1) * DELAY_PER_FURTHER_REGION.0)),
        };
        let resent = apart > 0 && self.rng.next_f64() * RESEND_ONE_IN < 1.0;
        let varied = Nanos::from_secs(base.secs() * (1.0 + JITTER * self.rng.next_f64()));
        if resent { varied.after(RESEND_DELAY) } else { varied }
    }
}
