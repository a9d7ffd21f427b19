//! What is still done while the change log is not heard: nodes are sent work under leases that they renew themselves, and
//! copies that may have been purged are not asked for. See the table in docs/change-log.md.

use super::*;
use crate::change_log::Knowledge;
use crate::node_lease::LeaseTerms;

/// What is decided leaves a moment later.
const LEAVES_WITHIN: Nanos = Nanos(100_000_000);
/// Probes begin so many rounds before leases are needed.
const ROUNDS_AHEAD: u64 = 2;
/// By refusals alone no more than this part of a location's caches, or of the parents, is left out: where more refuse they
/// are full, and without them there would be no service.
const MOST_REFUSED_PART: f64 = 0.5;

/// What was done since the start because the change log was not heard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StalenessCounts {
    /// Attempts that asked for copies that no purge can forbid that was not heard.
    pub age_limited_attempts: u64,
    /// Nodes left out of a choice as they had refused.
    pub refused_nodes: u64,
    /// Nodes left out of a choice as their lease had ended.
    pub expired_leases: u64,
}

impl Dispatcher {
    /// What was done since the start because the change log was not heard.
    pub fn staleness_counts(&self) -> StalenessCounts {
        self.unheard.get()
    }

    fn count_unheard(&self, count: impl FnOnce(&mut StalenessCounts)) {
        let mut counts = self.unheard.get();
        count(&mut counts);
        self.unheard.set(counts);
    }

    /// Whether nodes may drain that the list does not say so of: they are sent work under leases.
    pub fn may_miss_drains(&self, now: Nanos) -> bool {
        self.knowledge.is_some_and(|knowledge| knowledge.may_be_stale(now, self.s.drain_grace))
    }

    /// What is known of the change log now.
    pub fn change_log_changed(&mut self, now: Nanos, knowledge: Knowledge, out: &mut impl Actions) {
        self.knowledge = Some(knowledge);
        self.plan_probes(now, out);
    }

    /// A node that was probed at `sent` says whether it takes work.
    pub fn readiness_probe_answered(&mut self, id: NodeId, sent: Nanos, takes_work: bool) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        match takes_work {
            true => node.lease.took(sent),
            false => node.lease.refused(sent),
        }
    }

    /// Whether copies that may have been purged are to be left alone.
    pub fn may_miss_purges(&self, now: Nanos) -> bool {
        self.knowledge.is_some_and(|knowledge| knowledge.may_be_stale(now, self.s.purge_notice))
    }

    /// The oldest copy that no purge can forbid that was not heard, whenever that was: one that is younger than the time to
    /// heed it. `None` while all are heard.
    pub(super) fn max_age_unheard(&self, now: Nanos) -> Option<Nanos> {
        if !self.may_miss_purges(now) {
            return None;
        }
        self.count_unheard(|counts| counts.age_limited_attempts += 1);
        Some(self.s.purge_notice.since(LEAVES_WITHIN))
    }

    /// What an attempt's end shows of its node and its source.
    pub(super) fn lease_shown(&mut self, sent: &Sent, end: &AttemptEnd) {
        let filled = matches!(end.remark, Remark::FilledFromCopy | Remark::FilledFromOrigin);
        let shown = match (end.outcome, end.remark) {
            (Outcome::Served, _) if filled => [Some((sent.node, true)), Some((sent.source, true))],
            (Outcome::Served | Outcome::Missed, _) => [Some((sent.node, true)), None],
            (Outcome::Refused, Remark::SourceRefused) => {
                [Some((sent.node, true)), Some((sent.source, false))]
            }
            (Outcome::Refused, _) => [Some((sent.node, false)), None],
            _ => [None, None],
        };
        for (id, took) in shown.into_iter().flatten() {
            self.readiness_probe_answered(id, sent.at, took);
        }
    }

    /// How leases on a node are given.
    fn lease_terms(&self, id: NodeId) -> LeaseTerms {
        let is_above = self.nodes.is_parent(id) || self.nodes.is_origin(id);
        let sharers = if is_above { self.s.dispatchers } else { self.s.zone_dispatchers };
        let span = self.s.drain_grace.since(LEAVES_WITHIN);
        LeaseTerms::new(span, self.s.readiness_probes, sharers, self.nodes.serving_count())
    }

    /// Until when a node may be sent new work, or named as a source; `None` for as long as the list is known.
    pub(super) fn may_send_until(&self, now: Nanos, id: NodeId) -> Option<Nanos> {
        let knowledge = self.knowledge.filter(|knowledge| !knowledge.is_current(now, self.s.drain_grace))?;
        let node = self.nodes.get(id)?;
        if node.lease.is_refused(knowledge.complete_until(now)) && self.leaves_out(now, id, &knowledge) {
            return Some(Nanos::ZERO);
        }
        let terms = self.lease_terms(id);
        let list_holds_until = knowledge.stale_from(now, self.s.drain_grace);
        terms.is_strict.then(|| node.lease.ends(list_holds_until, terms.span))
    }

    /// Whether a node may be sent new work now, or named as a source.
    pub(super) fn takes_work(&self, now: Nanos, id: NodeId) -> bool {
        let Some(until) = self.may_send_until(now, id) else { return true };
        if now >= until {
            self.count_unheard(|counts| match until {
                Nanos::ZERO => counts.refused_nodes += 1,
                _ => counts.expired_leases += 1,
            });
        }
        now < until
    }

    /// Whether a node that refused is left out for that. Where probes tell, they decide. Else it is unless too many of its
    /// like refuse; an origin never is, as without it there would be no service at all.
    fn leaves_out(&self, now: Nanos, id: NodeId, knowledge: &Knowledge) -> bool {
        if self.lease_terms(id).is_strict {
            return true;
        }
        if self.nodes.is_origin(id) {
            return false;
        }
        let known = knowledge.complete_until(now);
        let peers: Vec<&Node> = match self.nodes.is_parent(id) {
            true => self.nodes.parents().collect(),
            false => self.nodes.caches().collect(),
        };
        let refused = peers.iter().filter(|peer| peer.lease.is_refused(known)).count();
        refused as f64 <= MOST_REFUSED_PART * peers.len() as f64
    }

    /// Probes begin in time for the first lease that is needed.
    fn plan_probes(&mut self, now: Nanos, out: &mut impl Actions) {
        let Some(knowledge) = self.knowledge.filter(|_| self.s.readiness_probes && !self.probes_leases)
        else {
            return;
        };
        if knowledge.is_current(now, self.s.drain_grace) {
            return;
        }
        let every = self.probe_round();
        let ahead = Nanos(ROUNDS_AHEAD * every.0);
        let from = knowledge.stale_from(now, self.s.drain_grace).since(ahead);
        self.probes_leases = true;
        out.arm_timer(from.since(now), LEASES_DUE);
    }

    /// Leases that are about to be needed are renewed, for as long as the change log is not heard.
    pub(super) fn renew_leases(&mut self, now: Nanos, out: &mut impl Actions) {
        self.probes_leases = false;
        let Some(knowledge) = self.knowledge.filter(|known| !known.is_current(now, self.s.drain_grace))
        else {
            return;
        };
        let every = self.probe_round();
        let ahead = Nanos(ROUNDS_AHEAD * every.0);
        let list_holds_until = knowledge.stale_from(now, self.s.drain_grace);
        if list_holds_until > now.after(ahead).after(every) {
            return self.plan_probes(now, out);
        }
        for id in self.nodes.serving() {
            let terms = self.lease_terms(id);
            let is_due = |node: &Node| node.lease.ends(list_holds_until, terms.span) <= now.after(ahead);
            let refused = |node: &Node| node.lease.is_refused(knowledge.complete_until(now));
            // Where leases are not kept, no connection is made for a probe alone.
            let is_asked = |node: &Node| terms.is_strict || node.lease.has_shown();
            if self.nodes.get(id).is_some_and(|node| is_asked(node) && (is_due(node) || refused(node))) {
                out.probe_readiness(id);
            }
        }
        self.probes_leases = true;
        out.arm_timer(every, LEASES_DUE);
    }

    /// How often nodes are probed: as often as the slowest of them bears.
    fn probe_round(&self) -> Nanos {
        let rounds = self.nodes.serving().into_iter().map(|id| self.lease_terms(id).probe_every);
        rounds.max().unwrap_or(self.s.drain_grace)
    }
}
