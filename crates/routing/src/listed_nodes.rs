//! The listed nodes by what they are to one dispatcher. Kept in the order of their ids as lines change: a changed line costs
//! nothing for the other nodes, and what is asked for on each decision does not go through all nodes of the fleet.

use crate::interface::{NodeEntry, NodeId, ZoneId, mix};

/// Ids in their order, without repeats.
#[derive(Debug, Default)]
struct IdSet(Vec<NodeId>);

impl IdSet {
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

/// A cache as copies are placed on it.
#[derive(Debug, Clone, Copy)]
struct Place {
    node: NodeId,
    hash: u64,
    weight: f64,
}

/// The caches of one location, in the order of their ids.
#[derive(Debug)]
struct ZoneCaches {
    zone: ZoneId,
    places: Vec<Place>,
}

/// The cache that a copy's hash puts first in a location.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Home {
    /// The location.
    pub zone: ZoneId,
    /// The lower, the earlier this location is in the copy's order.
    pub key: f64,
    /// The cache.
    pub node: NodeId,
}

/// A draw in [0, 1) that a copy and a node have in common.
pub fn share_of(copy_hash: u64, node_hash: u64) -> f64 {
    (mix(copy_hash ^ node_hash) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Where a node stands in a copy's order by highest random weight: the lower the earlier.
pub fn key_of(share: f64, weight: f64) -> f64 {
    -(share.max(1e-18)).ln() / weight
}

/// The least weight that counts.
pub fn counted(weight: f64) -> f64 {
    weight.max(0.1)
}

impl ZoneCaches {
    /// The home of a copy here; `weighed` counts the caches of which the exact key was needed.
    fn home(&self, copy_hash: u64, weighed: &mut usize) -> Option<Home> {
        let mut home: Option<Home> = None;
        for place in &self.places {
            let (share, weight) = (share_of(copy_hash, place.hash), counted(place.weight));
            // A logarithm is at most its argument less one, so that most caches are ruled out without one.
            if home.is_some_and(|home| (1.0 - share) / weight > home.key) {
                continue;
            }
            *weighed += 1;
            let key = key_of(share, weight);
            if home.is_none_or(|home| (key, place.node) < (home.key, home.node)) {
                home = Some(Home { zone: self.zone, key, node: place.node });
            }
        }
        home
    }
}

/// The listed nodes.
#[derive(Debug, Default)]
pub struct Listed {
    caches: IdSet,
    parents: IdSet,
    origins: IdSet,
    zones: Vec<ZoneCaches>,
}

/// What a node is to this dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A cache of the own location.
    OwnCache,
    /// A cache elsewhere.
    FarCache,
    /// A parent.
    Parent,
    /// The origin.
    Origin,
}

impl Listed {
    /// Takes in a node that takes work, as its newest line has it.
    pub fn insert(&mut self, e: &NodeEntry, role: Role) {
        match role {
            Role::Parent => return self.parents.insert(e.node),
            Role::Origin => return self.origins.insert(e.node),
            Role::OwnCache => self.caches.insert(e.node),
            Role::FarCache => {}
        }
        let place = Place { node: e.node, hash: e.hash, weight: e.weight };
        let Some(of) = self.zones.iter_mut().find(|of| of.zone == e.zone) else {
            return self.zones.push(ZoneCaches { zone: e.zone, places: vec![place] });
        };
        match of.places.binary_search_by_key(&e.node, |place| place.node) {
            Ok(at) => of.places[at] = place,
            Err(at) => of.places.insert(at, place),
        }
    }

    /// Takes out a node, as its last line had it.
    pub fn remove(&mut self, e: &NodeEntry) {
        [&mut self.caches, &mut self.parents, &mut self.origins].into_iter().for_each(|of| of.remove(e.node));
        if let Some(of) = self.zones.iter_mut().find(|of| of.zone == e.zone) {
            of.places.retain(|place| place.node != e.node);
        }
        self.zones.retain(|of| !of.places.is_empty());
    }

    /// Takes all out.
    pub fn clear(&mut self) {
        *self = Listed::default();
    }

    /// The caches of the own location.
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

    /// The home of a copy in each location, in the copy's order of locations, and for how many caches an exact key was
    /// needed.
    pub fn homes(&self, copy_hash: u64) -> (Vec<Home>, usize) {
        let mut weighed = 0;
        let mut homes: Vec<_> = self.zones.iter().filter_map(|of| of.home(copy_hash, &mut weighed)).collect();
        homes.sort_by(|a, b| a.key.total_cmp(&b.key).then(a.node.cmp(&b.node)));
        (homes, weighed)
    }
}
