//! The network between regions: delays, resent messages, and regions that are cut from each other.

use super::assumptions::*;
use super::topology::Place;
use copperroute_routing::interface::Nanos;
use copperroute_routing::structures::random::Random;

#[derive(Debug)]
pub(super) struct Network {
    /// From the first region nothing comes to the second.
    cut: [[bool; REGIONS]; REGIONS],
    chance: Random,
}

impl Network {
    pub(super) fn new(seed: u64) -> Self {
        Network { cut: [[false; REGIONS]; REGIONS], chance: Random::new(seed) }
    }

    /// Cuts, or heals, the way from one region to another.
    pub(super) fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        self.cut[from][to] = cut;
    }

    /// Whether a connection lives between them: it needs both ways.
    pub(super) fn connects(&self, one: Place, other: Place) -> bool {
        !self.cut[one.region][other.region] && !self.cut[other.region][one.region]
    }

    /// How long a message takes.
    pub(super) fn delay(&mut self, from: Place, to: Place) -> Nanos {
        let apart = from.region.abs_diff(to.region) as u64;
        let base = match apart {
            0 if from.zone == to.zone => DELAY_ZONE,
            0 => DELAY_REGION,
            _ => DELAY_NEXT_REGION.after(Nanos((apart - 1) * DELAY_EACH_FURTHER.0)),
        };
        let resent = apart > 0 && self.chance.next_f64() * RESENT_ONE_IN < 1.0;
        let varied = Nanos::from_secs(base.secs() * (1.0 + JITTER * self.chance.next_f64()));
        if resent { varied.after(RESENT_AFTER) } else { varied }
    }
}
