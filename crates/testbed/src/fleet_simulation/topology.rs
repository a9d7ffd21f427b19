//! Where dispatchers, the change log and its replicas stand: 5 regions, 14 zones, 34 sites, racks of 17.

use super::assumptions::{RACK, REGIONS, SITES, ZONES};

/// Where a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Place {
    pub region: usize,
    pub zone: usize,
    pub rack: u32,
}

/// Zones of the replicas, in the order in which replicas are numbered: each region has one, the log's has two, none
/// is in the log's zone.
const REPLICA_ZONES: [usize; 6] = [1, 3, 6, 9, 12, 2];

/// The region of a zone: three zones each, two in the last.
fn region_of(zone: usize) -> usize {
    (zone / 3).min(REGIONS - 1)
}

/// A dispatcher's place: sites in turn, racks filled one after the other.
pub(super) fn dispatcher(number: u32) -> Place {
    let site = number % SITES;
    let zone = site as usize % ZONES;
    let rack = number / SITES / RACK * SITES + site;
    Place { region: region_of(zone), zone, rack }
}

/// The change log's place.
pub(super) fn log() -> Place {
    Place { region: 0, zone: 0, rack: 0 }
}

/// A replica's place: in a rack of dispatchers.
pub(super) fn replica(number: usize) -> Place {
    let zone = REPLICA_ZONES[number % REPLICA_ZONES.len()];
    Place { region: region_of(zone), zone, rack: zone as u32 }
}
