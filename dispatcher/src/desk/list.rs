//! What the list of nodes and purges change for what is in hand.

use super::*;

impl Desk {
    /// The index of a listed node, new or known.
    pub fn list(&mut self, id: &str, pool: Pool) -> NodeId {
        self.nodes.list(id, pool, self.now, &mut self.effects)
    }

    /// How many objects there is a place for: those in the shadow table, and one that is in hand beside them.
    pub fn objects_kept(&self) -> u32 {
        self.objects.count()
    }

    /// How many nodes there is a place for.
    pub fn nodes_kept(&self) -> u32 {
        self.nodes.kept()
    }

    /// Lets go of the nodes that left the list before `span`, and tells which.
    pub fn forget_nodes(&mut self, span: Nanos) -> Vec<NodeId> {
        self.nodes.forget(self.now, span)
    }

    /// The nodes that a whole list does not name.
    pub fn unlisted(&self, named: &[NodeId]) -> Vec<NodeId> {
        self.nodes.unlisted(named)
    }

    /// A node takes no new work: what was not sent to it, or names it as source, is dropped.
    pub fn withdraw(&mut self, node: NodeId, readiness: Readiness) {
        self.take_back(|_, out| out.pull.node == node || out.pull.source == node);
        self.nodes.withdraw(node, readiness, self.now, &mut self.effects);
    }

    /// An object or group was purged: what waits to be sent was ordered with an older copy in mind.
    pub fn purged(&mut self, object: Option<&str>, group: Option<u64>) {
        self.take_back(|held, _| match object {
            Some(object) => held.request.object.as_str() == object,
            None => held.request.group == group,
        });
    }

    /// Anything may have been purged.
    pub fn purges_lost(&mut self) {
        self.take_back(|_, _| true);
    }

    /// Ends the pulls that are meant and were not sent, so that the module orders anew.
    pub(super) fn take_back(&mut self, meant: impl Fn(&Held, &HeldPull) -> bool) {
        let held = &self.held;
        let meant = |pull: &PullRef| {
            let held = held.get(pull.dl.0);
            held.is_some_and(|held| held.pulls.get(pull.number as usize).is_some_and(|out| meant(held, out)))
        };
        for pull in self.nodes.take_back(meant) {
            self.end(pull, Outcome::NotSent, None);
        }
    }
}
