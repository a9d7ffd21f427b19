//! Routing while the dispatcher's knowledge of the change log may be stale: nodes get work under leases that their
//! own answers renew, and copies that may have been purged are not requested. See the table in docs/change-log.md.
//!
//! Input: [`Knowledge`] from the adapter, answers to readiness probes, and ends of attempts. Output: the time until
//! which a node may be sent work, the age limit of copies, and readiness probes.

use super::*;
use crate::change_log::Knowledge;
use crate::node_lease::LeaseTerms;

/// Longest time between a decision and the write to the node: 100 ms.
const SEND_DELAY: Nanos = Nanos(100_000_000);
/// Probes begin this many probe intervals before leases are needed.
const PROBE_INTERVALS_AHEAD: u64 = 2;
/// Without strict leases, refusing nodes are excluded only while no more than this share of the location's caches, or
/// of the parents, refuse. If more refuse, they are full rather than draining, and excluding them would stop the
/// service.
const MAX_REFUSING_SHARE: f64 = 0.5;

/// Effects of stale knowledge of the change log, counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StalenessCounts {
    /// Attempts whose copies were limited in age, because purges may have been missed.
    pub age_limited_attempts: u64,
    /// Checks of a node that excluded it because it had refused work.
    pub refused_nodes: u64,
    /// Checks of a node that excluded it because its lease had expired.
    pub expired_leases: u64,
}

impl Dispatcher {
    /// Effects of stale knowledge of the change log, counted since the start.
    pub fn staleness_counts(&self) -> StalenessCounts {
        self.staleness_counts.get()
    }

    fn count_staleness(&self, count: impl FnOnce(&mut StalenessCounts)) {
        let mut counts = self.staleness_counts.get();
        count(&mut counts);
        self.staleness_counts.set(counts);
    }

    /// Whether nodes may be draining that the node list shows as ready. They are then sent work under leases.
    pub fn may_miss_drains(&self, now: Nanos) -> bool {
        self.knowledge.is_some_and(|knowledge| knowledge.may_be_stale(now, self.settings.drain_grace))
    }

    /// Takes the current state of the change log, and arms the first readiness probes if knowledge is becoming stale.
    pub fn change_log_changed(&mut self, now: Nanos, knowledge: Knowledge, out: &mut impl Actions) {
        self.knowledge = Some(knowledge);
        self.schedule_lease_probes(now, out);
    }

    /// Handles the answer of a node to a readiness probe that was sent at `sent`.
    pub fn readiness_probe_answered(&mut self, id: NodeId, sent: Nanos, takes_work: bool) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        match takes_work {
            true => node.lease.record_accepted(sent),
            false => node.lease.record_refused(sent),
        }
    }

    /// Whether purges may have been missed, so that the age of copies is limited.
    pub fn may_miss_purges(&self, now: Nanos) -> bool {
        self.knowledge.is_some_and(|knowledge| knowledge.may_be_stale(now, self.settings.purge_notice))
    }

    /// Age limit of copies while purges may have been missed; `None` while none can have been. A copy younger than the
    /// propagation bound of purges may be served whatever was purged.
    pub(super) fn max_age_while_stale(&self, now: Nanos) -> Option<Nanos> {
        if !self.may_miss_purges(now) {
            return None;
        }
        self.count_staleness(|counts| counts.age_limited_attempts += 1);
        Some(self.settings.purge_notice.since(SEND_DELAY))
    }

    /// Updates the leases of node and source from the end of an attempt.
    pub(super) fn update_leases(&mut self, sent: &AttemptState, end: &AttemptEnd) {
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
            self.readiness_probe_answered(id, sent.sent_at, took);
        }
    }

    /// The terms of leases on a node.
    fn lease_terms(&self, id: NodeId) -> LeaseTerms {
        let is_above = self.nodes.is_parent(id) || self.nodes.is_origin(id);
        let sharers = if is_above { self.settings.dispatchers } else { self.settings.zone_dispatchers };
        let span = self.settings.drain_grace.since(SEND_DELAY);
        LeaseTerms::new(span, self.settings.readiness_probes, sharers, self.nodes.serving_count())
    }

    /// Until when a node may be sent new work or be the source of a fill; `None` while the node list is current.
    pub(super) fn may_send_until(&self, now: Nanos, id: NodeId) -> Option<Nanos> {
        let knowledge =
            self.knowledge.filter(|knowledge| !knowledge.is_current(now, self.settings.drain_grace))?;
        let node = self.nodes.get(id)?;
        if node.lease.is_refused(knowledge.complete_until(now)) && self.excludes_refusing(now, id, &knowledge)
        {
            return Some(Nanos::ZERO);
        }
        let terms = self.lease_terms(id);
        let list_holds_until = knowledge.stale_from(now, self.settings.drain_grace);
        terms.is_strict.then(|| node.lease.expires_at(list_holds_until, terms.span))
    }

    /// Whether a node may be sent new work or be the source of a fill now.
    pub(super) fn accepts_work(&self, now: Nanos, id: NodeId) -> bool {
        let Some(until) = self.may_send_until(now, id) else { return true };
        if now >= until {
            self.count_staleness(|counts| match until {
                Nanos::ZERO => counts.refused_nodes += 1,
                _ => counts.expired_leases += 1,
            });
        }
        now < until
    }

    /// Whether a node that refused work is excluded for that. With strict leases it always is, as probes show when it
    /// accepts work again. Else it is excluded unless too many nodes of its tier refuse. An origin never is, as
    /// nothing could replace it.
    fn excludes_refusing(&self, now: Nanos, id: NodeId, knowledge: &Knowledge) -> bool {
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
        refused as f64 <= MAX_REFUSING_SHARE * peers.len() as f64
    }

    /// Arms the timer so that probes begin in time for the first lease that is needed.
    fn schedule_lease_probes(&mut self, now: Nanos, out: &mut impl Actions) {
        let Some(knowledge) =
            self.knowledge.filter(|_| self.settings.readiness_probes && !self.lease_probes_armed)
        else {
            return;
        };
        if knowledge.is_current(now, self.settings.drain_grace) {
            return;
        }
        let interval = self.probe_interval();
        let ahead = Nanos(PROBE_INTERVALS_AHEAD * interval.0);
        let from = knowledge.stale_from(now, self.settings.drain_grace).since(ahead);
        self.lease_probes_armed = true;
        out.arm_timer(from.since(now), LEASE_TIMER);
    }

    /// Probes the nodes whose leases are about to be needed or that refused, and arms the next probe, while knowledge
    /// of the change log is not current.
    pub(super) fn probe_leases(&mut self, now: Nanos, out: &mut impl Actions) {
        self.lease_probes_armed = false;
        let Some(knowledge) =
            self.knowledge.filter(|known| !known.is_current(now, self.settings.drain_grace))
        else {
            return;
        };
        let interval = self.probe_interval();
        let ahead = Nanos(PROBE_INTERVALS_AHEAD * interval.0);
        let list_holds_until = knowledge.stale_from(now, self.settings.drain_grace);
        if list_holds_until > now.after(ahead).after(interval) {
            return self.schedule_lease_probes(now, out);
        }
        for id in self.nodes.serving() {
            let terms = self.lease_terms(id);
            let is_due =
                |node: &Node| node.lease.expires_at(list_holds_until, terms.span) <= now.after(ahead);
            let refused = |node: &Node| node.lease.is_refused(knowledge.complete_until(now));
            // Without strict leases, no connection is opened only to probe a node.
            let is_asked = |node: &Node| terms.is_strict || node.lease.has_evidence();
            if self.nodes.get(id).is_some_and(|node| is_asked(node) && (is_due(node) || refused(node))) {
                out.probe_readiness(id);
            }
        }
        self.lease_probes_armed = true;
        out.arm_timer(interval, LEASE_TIMER);
    }

    /// The interval between probes: the longest that any of the nodes requires.
    fn probe_interval(&self) -> Nanos {
        let rounds = self.nodes.serving().into_iter().map(|id| self.lease_terms(id).probe_every);
        rounds.max().unwrap_or(self.settings.drain_grace)
    }
}
