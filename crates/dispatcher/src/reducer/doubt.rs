//! What staff see of a change log that is not heard: when doubt begins and ends, how old what is known is, and what was done
//! because of it. Lines come with each change, and each [`REPORT_EVERY`] while doubt lasts.

use super::*;
use copperroute_routing::policy::StalenessCounts;

/// While doubt lasts a line says so as often as this.
const REPORT_EVERY: Nanos = Nanos(10_000_000_000);

/// What is doubted, and what was counted by when that began.
#[derive(Debug, Default)]
pub(super) struct DoubtReport {
    purges: bool,
    drains: bool,
    since: Nanos,
    said: Nanos,
    before: Counts,
    /// Requests that an own copy was not looked for.
    pub(super) own_copies_withheld: u64,
}

/// All that is counted of doubt, since the start.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    own_copies_withheld: u64,
    policy: StalenessCounts,
    probes: ProbeCounts,
}

impl Reducer {
    /// Says what has changed of doubt.
    pub(super) fn report_doubt(&mut self, now: Nanos) {
        let (purges, drains) = (self.module.may_miss_purges(now), self.module.may_miss_drains(now));
        let (was, is) = (self.doubt.purges || self.doubt.drains, purges || drains);
        let changed = (purges, drains) != (self.doubt.purges, self.doubt.drains);
        if !changed && (!is || now.since(self.doubt.said) < REPORT_EVERY) {
            return;
        }
        let counts = Counts {
            own_copies_withheld: self.doubt.own_copies_withheld,
            policy: self.module.staleness_counts(),
            probes: self.request_table.probe_counts(),
        };
        if !was {
            (self.doubt.since, self.doubt.before) = (now, counts);
        }
        (self.doubt.purges, self.doubt.drains, self.doubt.said) = (purges, drains, now);
        let before = self.doubt.before;
        log::info!(
            purges,
            drains,
            known_age_ms = self.log.knowledge().age(now).0 / 1_000_000,
            for_ms = now.since(self.doubt.since).0 / 1_000_000,
            own_copies_withheld = counts.own_copies_withheld - before.own_copies_withheld,
            newer_copies_asked = counts.policy.age_limited_attempts - before.policy.age_limited_attempts,
            nodes_refused = counts.policy.refused_nodes - before.policy.refused_nodes,
            leases_ended = counts.policy.expired_leases - before.policy.expired_leases,
            probes = counts.probes.sent - before.probes.sent,
            probes_yes = counts.probes.ready - before.probes.ready,
            probes_no = counts.probes.not_ready - before.probes.not_ready;
            "change log: {}",
            if is { "what is known may be too old" } else { "all is known again" }
        );
    }
}
