//! What the list of nodes and purges change for what is in hand.

use super::*;

impl RequestTable {
    /// How many probes were made since the start.
    pub fn probe_counts(&self) -> ProbeCounts {
        self.nodes.probe_counts()
    }

    /// The index of a listed node, new or known.
    pub fn list(&mut self, id: &str, pool: NodePool) -> NodeId {
        let (node, moved) = self.nodes.add_or_update(id, pool, self.now, &mut self.effects);
        // What was not sent to where it was must not reach who is there now.
        if !moved.is_empty() {
            self.take_back(|_, out| moved.contains(&out.attempt.node) || moved.contains(&out.attempt.source));
        }
        node
    }

    /// The start that a node is listed with, where one is told.
    pub fn start(&self, id: &str) -> Option<NodeStart> {
        self.nodes.start(id)
    }

    /// Moves starts back to where `moved` says; tells which nodes, and where to.
    pub fn starts_moved(&mut self, moved: impl Fn(&NodeStart) -> Option<Nanos>) -> Vec<(NodeId, Nanos)> {
        self.nodes.move_starts(moved)
    }

    /// Whether any node that takes work is listed.
    pub fn has_nodes(&self) -> bool {
        self.nodes.any_ready()
    }

    /// How many objects there is a place for: those in the ghost cache, and one that is in hand beside them.
    pub fn objects_kept(&self) -> u32 {
        self.objects.slot_count()
    }

    /// How many nodes there is a place for.
    pub fn nodes_kept(&self) -> u32 {
        self.nodes.slot_count()
    }

    /// Lets go of the nodes that left the list before `span`, and tells which.
    pub fn forget_nodes(&mut self, span: Nanos) -> Vec<NodeId> {
        self.nodes.remove_gone(self.now, span)
    }

    /// The nodes that a whole list does not name.
    pub fn unlisted(&self, named: &[NodeId]) -> Vec<NodeId> {
        self.nodes.missing_from(named)
    }

    /// A node takes no new work: what was not sent to it, or names it as source, is dropped.
    pub fn withdraw(&mut self, node: NodeId, readiness: Readiness) {
        self.take_back(|_, out| out.attempt.node == node || out.attempt.source == node);
        self.nodes.withdraw(node, readiness, self.now, &mut self.effects);
    }

    /// An object or group was purged: what waits to be sent was ordered with an older copy in mind.
    pub fn purged(&mut self, object: Option<&str>, group: Option<u64>) {
        self.take_back(|pending, _| match object {
            Some(object) => pending.request.object.as_str() == object,
            None => pending.request.group == group,
        });
    }

    /// Anything may have been purged.
    pub fn purges_lost(&mut self) {
        self.take_back(|_, _| true);
    }

    /// Ends the attempts that are meant and were not sent, so that the module orders anew.
    pub(super) fn take_back(&mut self, meant: impl Fn(&PendingRequest, &InFlightAttempt) -> bool) {
        self.take_back_of(|_, pending, out| meant(pending, out));
    }

    /// The same by what the attempts are.
    pub(super) fn take_back_of(
        &mut self,
        meant: impl Fn(&AttemptId, &PendingRequest, &InFlightAttempt) -> bool,
    ) {
        let pending = &self.pending;
        let meant = |attempt: &AttemptId| {
            let of = pending.get(attempt.request_id.0);
            let out = of.and_then(|of| of.attempts.get(attempt.number as usize).map(|out| (of, out)));
            out.is_some_and(|(of, out)| meant(attempt, of, out))
        };
        let (attempts, freed) = self.nodes.retract_unsent(meant, &mut self.effects);
        for attempt in attempts {
            self.end(attempt, Outcome::NotSent, None);
        }
        for connection in freed {
            self.hand_over(connection);
            self.nodes.close_if_spent(connection, &mut self.effects);
        }
    }
}
