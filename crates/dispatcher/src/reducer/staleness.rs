//! Log lines for operators on stale knowledge of the change log: when staleness begins and ends, how old the
//! knowledge is, and what was done because of it. A line is written at each change, and every
//! [`REPORT_EVERY`] while knowledge may be stale.

use super::*;
use copperroute_routing::policy::StalenessCounts;

/// While knowledge may be stale, a line is written this often.
const REPORT_EVERY: Nanos = Nanos(10_000_000_000);

/// What may be stale, and the counts at the time that began.
#[derive(Debug, Default)]
pub(super) struct StalenessReport {
    purges: bool,
    drains: bool,
    since: Nanos,
    last_logged: Nanos,
    before: Counts,
    /// Requests for which the local cache was not looked up because a purge may have been missed.
    pub(super) own_copies_withheld: u64,
}

/// Everything counted because of staleness since the start.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    own_copies_withheld: u64,
    policy: StalenessCounts,
    probes: ProbeCounts,
}

impl Reducer {
    /// Logs changes of staleness, and its duration from time to time.
    pub(super) fn report_staleness(&mut self, now: Nanos) {
        let (purges, drains) = (self.routing.may_miss_purges(now), self.routing.may_miss_drains(now));
        let (was_stale, is_stale) = (self.staleness.purges || self.staleness.drains, purges || drains);
        let changed = (purges, drains) != (self.staleness.purges, self.staleness.drains);
        if !changed && (!is_stale || now.since(self.staleness.last_logged) < REPORT_EVERY) {
            return;
        }
        let counts = Counts {
            own_copies_withheld: self.staleness.own_copies_withheld,
            policy: self.routing.staleness_counts(),
            probes: self.request_table.probe_counts(),
        };
        if !was_stale {
            (self.staleness.since, self.staleness.before) = (now, counts);
        }
        (self.staleness.purges, self.staleness.drains, self.staleness.last_logged) = (purges, drains, now);
        let before = self.staleness.before;
        log::info!(
            purges,
            drains,
            known_age_ms = self.change_log.knowledge().age(now).0 / 1_000_000,
            for_ms = now.since(self.staleness.since).0 / 1_000_000,
            own_copies_withheld = counts.own_copies_withheld - before.own_copies_withheld,
            newer_copies_asked = counts.policy.age_limited_attempts - before.policy.age_limited_attempts,
            nodes_refused = counts.policy.refused_nodes - before.policy.refused_nodes,
            leases_ended = counts.policy.expired_leases - before.policy.expired_leases,
            probes = counts.probes.sent - before.probes.sent,
            probes_yes = counts.probes.ready - before.probes.ready,
            probes_no = counts.probes.not_ready - before.probes.not_ready;
            "change log: {}",
            if is_stale { "what is known may be too old" } else { "all is known again" }
        );
    }
}
