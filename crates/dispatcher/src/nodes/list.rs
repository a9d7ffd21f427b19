//! The listed nodes: their ids, addresses, starts and readiness.

use super::*;

impl Nodes {
    /// The id of a node.
    pub fn id(&self, node: NodeId) -> &str {
        self.ids.key(node.0)
    }

    /// Adds or updates a listed node. Returns its index and the nodes whose connections and state are obsolete: the
    /// node itself if it has restarted or moved, and another node that had its address, which must be gone even if the
    /// change log has not reported that yet. Of two nodes at an address the one that started later is there: news of
    /// the other, whenever it comes, takes no address from it.
    pub fn add_or_update(
        &mut self,
        id: &str,
        mut pool: NodePool,
        now: Nanos,
        effects: &mut Vec<Effect>,
    ) -> (NodeId, Vec<NodeId>) {
        let node = NodeId(self.ids.get_or_assign(id.to_string()));
        if pool.address.take_if(|address| self.has_successor_at(*address, node, pool.start)).is_some() {
            self.refusing.push((node, now.after(REPLACED_NODE_EXCLUSION)));
        }
        let address = pool.address.map_or("no address".to_string(), |address| address.to_string());
        log::info!("node {}: {id} at {address}, {:?}", node.0, pool.readiness);
        let mut moved = Vec::new();
        if let Some(address) = pool.address.filter(|_| pool.readiness != Readiness::Gone) {
            moved.extend(self.nodes_at(address).filter(|other| *other != node));
        }
        for other in &moved {
            self.set_address(*other, None);
            self.retire(*other, now, effects);
            self.refusing.push((*other, now.after(REPLACED_NODE_EXCLUSION)));
        }
        let Some(known) = self.pools.get_mut(node.0) else {
            let address = pool.address;
            self.pools.put(node.0, NodePool { address: None, ..pool });
            self.set_address(node, address);
            return (node, moved);
        };
        let is_replaced =
            is_later(pool.start, known.start) || (pool.address.is_some() && pool.address != known.address);
        let (connections, back_off) = (std::mem::take(&mut known.connections), known.back_off);
        let (before, address) = (known.address, pool.address.or(known.address));
        *known = NodePool { address: before, connections, back_off, ..pool };
        self.set_address(node, address);
        if is_replaced {
            self.retire(node, now, effects);
            moved.push(node);
        }
        (node, moved)
    }

    /// The nodes at an address, in order of their indices.
    fn nodes_at(&self, address: SocketAddr) -> impl Iterator<Item = NodeId> {
        self.addresses.range((address, 0)..=(address, u32::MAX)).map(|(_, node)| NodeId(*node))
    }

    /// Whether a node that started later than `start` is at an address.
    fn has_successor_at(&self, address: SocketAddr, node: NodeId, start: Option<NodeStart>) -> bool {
        let start_of = |other: NodeId| self.pools.get(other.0).and_then(|pool| pool.start);
        let is_successor = |other: &NodeId| *other != node && is_later(start_of(*other), start);
        self.nodes_at(address).any(|other| is_successor(&other))
    }

    fn set_address(&mut self, node: NodeId, address: Option<SocketAddr>) {
        let Some(pool) = self.pools.get_mut(node.0) else { return };
        if let Some(before) = std::mem::replace(&mut pool.address, address) {
            self.addresses.remove(&(before, node.0));
        }
        self.addresses.extend(address.map(|address| (address, node.0)));
    }

    /// The start with which a node is listed, if any.
    pub fn start(&self, id: &str) -> Option<NodeStart> {
        self.pools.get(self.ids.get(&id.to_string())?)?.start
    }

    /// Moves starts to the time that `moved` returns for them. Returns the nodes with their new start.
    pub fn move_starts(&mut self, moved: impl Fn(&NodeStart) -> Option<Nanos>) -> Vec<(NodeId, Nanos)> {
        let mut nodes = Vec::new();
        for node in 0..self.ids.slot_count() {
            let start = self.pools.get_mut(node).and_then(|pool| pool.start.as_mut());
            if let Some((start, at)) = start.and_then(|start| moved(start).map(|at| (start, at))) {
                start.at = at;
                nodes.push((NodeId(node), at));
            }
        }
        nodes
    }

    /// Whether any node is listed that takes work and has an address.
    pub fn any_ready(&self) -> bool {
        self.pools.iter().any(|pool| pool.readiness == Readiness::Ready && pool.address.is_some())
    }

    /// The listed nodes that a snapshot of the list does not name.
    pub fn missing_from(&self, named: &[NodeId]) -> Vec<NodeId> {
        let listed = |node: &NodeId| self.pools.get(node.0).is_some_and(|p| p.readiness != Readiness::Gone);
        let all = (0..self.ids.slot_count()).map(NodeId);
        all.filter(|node| listed(node) && !named.contains(node)).collect()
    }

    /// The number of slots for nodes, used or not.
    pub fn slot_count(&self) -> u32 {
        self.ids.slot_count()
    }

    /// Removes and returns the nodes that left the list more than `span` ago and have no connections.
    pub fn remove_gone(&mut self, now: Nanos, span: Nanos) -> Vec<NodeId> {
        let old = |p: &NodePool| {
            p.readiness == Readiness::Gone && p.connections.is_empty() && now.since(p.listed_at) > span
        };
        let removed: Vec<_> =
            (0..self.ids.slot_count()).filter(|at| self.pools.get(*at).is_some_and(old)).collect();
        for at in &removed {
            self.set_address(NodeId(*at), None);
            self.pools.remove(*at);
            self.ids.release(*at);
        }
        removed.into_iter().map(NodeId).collect()
    }

    /// Sets the readiness of a node that takes no new work, and retires its connections.
    pub fn withdraw(&mut self, node: NodeId, readiness: Readiness, now: Nanos, effects: &mut Vec<Effect>) {
        if let Some(pool) = self.pools.get_mut(node.0) {
            (pool.readiness, pool.listed_at) = (readiness, now);
        }
        self.retire(node, now, effects);
    }
}

/// Whether a start is later than the previous one.
fn is_later(start: Option<NodeStart>, before: Option<NodeStart>) -> bool {
    start.map(|start| start.at) > before.map(|start| start.at)
}
