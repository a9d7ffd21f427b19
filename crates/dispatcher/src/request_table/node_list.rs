//! Effects of the node list and of purges on open requests and their attempts.

use super::*;

impl RequestTable {
    /// The readiness probes sent and answered since the start.
    pub fn probe_counts(&self) -> ProbeCounts {
        self.nodes.probe_counts()
    }

    /// The index of a listed node, which is added or updated.
    pub fn add_or_update_node(&mut self, id: &str, pool: NodePool) -> NodeId {
        let (node, moved) = self.nodes.add_or_update(id, pool, self.now, &mut self.effects);
        // If a node has moved, unsent attempts must not reach another node at its old address.
        if !moved.is_empty() {
            self.retract_unsent(|_, entry| {
                moved.contains(&entry.attempt.node) || moved.contains(&entry.attempt.source)
            });
        }
        node
    }

    /// The start with which a node is listed, if one is given.
    pub fn node_start(&self, id: &str) -> Option<NodeStart> {
        self.nodes.start(id)
    }

    /// Moves starts back to where `moved` says; returns the nodes concerned and their new starts.
    pub fn move_starts(&mut self, moved: impl Fn(&NodeStart) -> Option<Nanos>) -> Vec<(NodeId, Nanos)> {
        self.nodes.move_starts(moved)
    }

    /// Whether any listed node accepts work.
    pub fn has_nodes(&self) -> bool {
        self.nodes.any_ready()
    }

    /// The number of slots for objects: those in the ghost cache, and those of open requests besides.
    pub fn object_slot_count(&self) -> u32 {
        self.objects.slot_count()
    }

    /// The number of slots for nodes.
    pub fn node_slot_count(&self) -> u32 {
        self.nodes.slot_count()
    }

    /// Removes the nodes that left the list longer than `span` ago, and returns them.
    pub fn remove_gone_nodes(&mut self, span: Nanos) -> Vec<NodeId> {
        self.nodes.remove_gone(self.now, span)
    }

    /// The listed nodes that a snapshot does not name.
    pub fn nodes_missing_from(&self, listed: &[NodeId]) -> Vec<NodeId> {
        self.nodes.missing_from(listed)
    }

    /// A node accepts no new work: unsent attempts to it, or with it as their source, are retracted.
    pub fn withdraw(&mut self, node: NodeId, readiness: Readiness) {
        self.retract_unsent(|_, entry| entry.attempt.node == node || entry.attempt.source == node);
        self.nodes.withdraw(node, readiness, self.now, &mut self.effects);
    }

    /// An object or group was purged: unsent attempts were ordered under the assumption of an older copy.
    pub fn purged(&mut self, object: Option<&str>, group: Option<u64>) {
        self.retract_unsent(|pending, _| match object {
            Some(object) => pending.request.object.as_str() == object,
            None => pending.request.group == group,
        });
    }

    /// Purges may have been missed: any copy may have been purged.
    pub fn purges_missed(&mut self) {
        self.retract_unsent(|_, _| true);
    }

    /// Retracts the selected attempts that were not sent, so that the routing policy orders new ones.
    pub(super) fn retract_unsent(&mut self, selects: impl Fn(&PendingRequest, &AttemptEntry) -> bool) {
        self.retract_unsent_where(|_, pending, entry| selects(pending, entry));
    }

    /// The same, selected by the id of the attempt as well.
    pub(super) fn retract_unsent_where(
        &mut self,
        selects: impl Fn(&AttemptId, &PendingRequest, &AttemptEntry) -> bool,
    ) {
        let pending = &self.pending;
        let selects = |attempt: &AttemptId| {
            let request = pending.get(attempt.request_id.0);
            let entry = request.and_then(|request| {
                request.attempts.get(attempt.number as usize).map(|entry| (request, entry))
            });
            entry.is_some_and(|(request, entry)| selects(attempt, request, entry))
        };
        let (attempts, freed) = self.nodes.retract_unsent(selects, &mut self.effects);
        for attempt in attempts {
            self.end_attempt(attempt, Outcome::NotSent, None);
        }
        for connection in freed {
            self.send_waiting(connection);
            self.nodes.close_if_spent(connection, &mut self.effects);
        }
    }
}
