//! The index of listed nodes gives the same results as a search through all nodes, with fewer computations.

use crate::common::*;
use copperroute_routing::interface::*;
use copperroute_routing::listed_nodes::{
    Home, ListedNodes, Role, effective_weight, placement_draw, placement_key,
};
use copperroute_routing::nodes::{Node, Nodes};
use proptest::prelude::*;
use std::collections::BTreeMap;

const OWN: ZoneId = ZoneId(2);

/// The homes of a copy by a search through all caches.
fn search_homes<'a>(caches: impl Iterator<Item = &'a NodeEntry>, copy_hash: u64) -> Vec<Home> {
    let mut homes: Vec<Home> = Vec::new();
    for e in caches {
        let key = placement_key(placement_draw(copy_hash, e.hash), effective_weight(e.weight));
        match homes.iter_mut().find(|home| home.zone == e.zone) {
            Some(home) if (key, e.node) < (home.key, home.node) => (home.key, home.node) = (key, e.node),
            Some(_) => {}
            None => homes.push(Home { zone: e.zone, key, node: e.node }),
        }
    }
    homes.sort_by(|a, b| a.key.total_cmp(&b.key).then(a.node.cmp(&b.node)));
    homes
}

#[test]
fn homes_of_a_copy_need_few_exact_keys() {
    const ZONES: u32 = 34;
    let entries: Vec<_> = (0..3_200)
        .map(|id| NodeEntry {
            zone: ZoneId(id % ZONES),
            weight: 0.5 + f64::from(id % 3),
            ..entry(id, 0, Readiness::Ready, Nanos::ZERO)
        })
        .collect();
    let mut listed = ListedNodes::default();
    entries.iter().for_each(|e| listed.insert(e, Role::OtherLocationCache));
    let mut max_keys = 0;
    for copy in 0..200_u64 {
        let copy_hash = mix(copy);
        let (homes, keys_computed) = listed.homes(copy_hash);
        assert_eq!(homes, search_homes(entries.iter(), copy_hash));
        max_keys = max_keys.max(keys_computed);
    }
    // A location has about 94 caches. An exact key is needed for each one that becomes the first so far, and few
    // others.
    assert!(max_keys <= 8 * ZONES as usize, "{max_keys} exact keys computed for 3,200 caches");
}

fn deltas() -> impl Strategy<Value = Vec<(NodeEntry, bool)>> {
    let line = (0_u32..24, 0_u32..3, 0_u32..4, 0_u32..4, 1_u32..4, 0_u32..30);
    let line = line.prop_map(|(id, kind, zone, state, weight, is_snapshot)| {
        let readiness = [Readiness::Ready, Readiness::Ready, Readiness::Draining, Readiness::Gone];
        let e = entry(id, kind, readiness[state as usize], Nanos::ZERO);
        (NodeEntry { zone: ZoneId(zone), weight: f64::from(weight), ..e }, is_snapshot == 0)
    });
    prop::collection::vec(line, 1..120)
}

proptest! {
    #[test]
    fn index_matches_a_full_search_after_any_deltas(deltas in deltas(), copy_hash: u64) {
        let mut nodes = Nodes::new(OWN, Some(1), Some(2), true);
        let mut last: BTreeMap<u32, NodeEntry> = BTreeMap::new();
        for (e, is_snapshot) in deltas {
            if is_snapshot {
                nodes.clear_list();
                last.clear();
            }
            nodes.update_list(&[e], |e| Node::new(*e, ms(2_000), 8));
            last.insert(e.node.0, e);
            let ready = || last.values().filter(|e| e.readiness == Readiness::Ready);
            let of = |kind: u32| ready().filter(move |e| e.kind == kind).map(|e| e.node);
            let own = ready().filter(|e| e.kind == 0 && e.zone == OWN).map(|e| e.node);
            prop_assert_eq!(nodes.caches().map(|n| n.entry.node).collect::<Vec<_>>(), own.collect::<Vec<_>>());
            prop_assert_eq!(nodes.parents().map(|n| n.entry.node).collect::<Vec<_>>(), of(1).collect::<Vec<_>>());
            prop_assert_eq!(nodes.origin(), of(2).next());
            let homes = search_homes(ready().filter(|e| e.kind == 0), copy_hash);
            let other_locations: Vec<_> = homes.iter().filter(|home| home.zone != OWN).map(|home| home.node).collect();
            prop_assert_eq!(nodes.homes_in_other_locations(copy_hash, ms(1), Nanos::ZERO), other_locations);
            let place = homes.iter().position(|home| home.zone == OWN).unwrap_or_default();
            prop_assert_eq!(nodes.location_rank(copy_hash, 0.5), (place as f64 + 0.5) / homes.len().max(1) as f64);
        }
    }
}
