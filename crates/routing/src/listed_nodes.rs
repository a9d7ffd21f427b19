//! An index of the listed nodes by their role for one dispatcher, and the home caches of copies.
//!
//! `nodes.rs` updates it with each delta of the node list; a delta of one node does not touch the others. Nodes are
//! kept in the order of their ids. Queries for a decision do not go through the whole fleet.

use crate::interface::{NodeEntry, NodeId, ZoneId, mix};

/// A sorted set of node ids.
#[derive(Debug, Default)]
struct SortedIds(Vec<NodeId>);

impl SortedIds {
    fn insert(&mut self, id: NodeId) {
        if let Err(at) = self.0.binary_search(&id) {
            self.0.insert(at, id);
        }
    }

    fn remove(&mut self, id: NodeId) {
        if let Ok(at) = self.0.binary_search(&id) {
            self.0.remove(at);
        }
    }
}

/// What the placement of copies depends on, for one cache.
#[derive(Debug, Clone, Copy)]
struct CachePlacement {
    node: NodeId,
    hash: u64,
    weight: f64,
}

/// The caches of one location, in the order of their ids.
#[derive(Debug)]
struct ZoneCaches {
    zone: ZoneId,
    placements: Vec<CachePlacement>,
}

/// The home of a copy in a location: its first cache by rendezvous hashing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Home {
    /// The location.
    pub zone: ZoneId,
    /// The placement key of the cache. Locations with lower keys come first in the copy's order.
    pub key: f64,
    /// The cache.
    pub node: NodeId,
}

/// A pseudorandom number in [0, 1) for a copy and a node, the same at every dispatcher.
pub fn placement_draw(copy_hash: u64, node_hash: u64) -> f64 {
    (mix(copy_hash ^ node_hash) >> 11) as f64 / (1_u64 << 53) as f64
}

/// The key of a node in a copy's order by weighted rendezvous hashing. Lower keys come first.
pub fn placement_key(draw: f64, weight: f64) -> f64 {
    -(draw.max(1e-18)).ln() / weight
}

/// The weight used for placement: at least 0.1.
pub fn effective_weight(weight: f64) -> f64 {
    weight.max(0.1)
}

impl ZoneCaches {
    /// The home of a copy in this location. Adds the number of exact keys that were computed to `keys_computed`.
    fn home(&self, copy_hash: u64, keys_computed: &mut usize) -> Option<Home> {
        let mut home: Option<Home> = None;
        for placement in &self.placements {
            let (draw, weight) =
                (placement_draw(copy_hash, placement.hash), effective_weight(placement.weight));
            // ln(x) <= x - 1, so this bound rules out most caches without computing a logarithm.
            if home.is_some_and(|home| (1.0 - draw) / weight > home.key) {
                continue;
            }
            *keys_computed += 1;
            let key = placement_key(draw, weight);
            if home.is_none_or(|home| (key, placement.node) < (home.key, home.node)) {
                home = Some(Home { zone: self.zone, key, node: placement.node });
            }
        }
        home
    }
}

/// The listed nodes by role, and all listed caches by location.
#[derive(Debug, Default)]
pub struct ListedNodes {
    caches: SortedIds,
    parents: SortedIds,
    origins: SortedIds,
    zones: Vec<ZoneCaches>,
}

/// The role of a node for this dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A cache of the dispatcher's location.
    OwnCache,
    /// A cache of another location.
    OtherLocationCache,
    /// A parent.
    Parent,
    /// The origin.
    Origin,
}

impl ListedNodes {
    /// Adds or updates a ready node by its newest entry.
    pub fn insert(&mut self, entry: &NodeEntry, role: Role) {
        match role {
            Role::Parent => return self.parents.insert(entry.node),
            Role::Origin => return self.origins.insert(entry.node),
            Role::OwnCache => self.caches.insert(entry.node),
            Role::OtherLocationCache => {}
        }
        let placement = CachePlacement { node: entry.node, hash: entry.hash, weight: entry.weight };
        let Some(caches) = self.zones.iter_mut().find(|caches| caches.zone == entry.zone) else {
            return self.zones.push(ZoneCaches { zone: entry.zone, placements: vec![placement] });
        };
        match caches.placements.binary_search_by_key(&entry.node, |placement| placement.node) {
            Ok(at) => caches.placements[at] = placement,
            Err(at) => caches.placements.insert(at, placement),
        }
    }

    /// Removes a node by its last entry.
    pub fn remove(&mut self, entry: &NodeEntry) {
        [&mut self.caches, &mut self.parents, &mut self.origins]
            .into_iter()
            .for_each(|caches| caches.remove(entry.node));
        if let Some(caches) = self.zones.iter_mut().find(|caches| caches.zone == entry.zone) {
            caches.placements.retain(|placement| placement.node != entry.node);
        }
        self.zones.retain(|caches| !caches.placements.is_empty());
    }

    /// Removes all nodes.
    pub fn clear(&mut self) {
        *self = ListedNodes::default();
    }

    /// The caches of the dispatcher's location.
    pub fn caches(&self) -> &[NodeId] {
        &self.caches.0
    }

    /// The parents.
    pub fn parents(&self) -> &[NodeId] {
        &self.parents.0
    }

    /// The origin.
    pub fn origin(&self) -> Option<NodeId> {
        self.origins.0.first().copied()
    }

    /// The home of a copy in each location, in the copy's order of locations, and the number of exact keys computed
    /// for it.
    pub fn homes(&self, copy_hash: u64) -> (Vec<Home>, usize) {
        let mut keys_computed = 0;
        let mut homes: Vec<_> =
            self.zones.iter().filter_map(|caches| caches.home(copy_hash, &mut keys_computed)).collect();
        homes.sort_by(|a, b| a.key.total_cmp(&b.key).then(a.node.cmp(&b.node)));
        (homes, keys_computed)
    }
}
