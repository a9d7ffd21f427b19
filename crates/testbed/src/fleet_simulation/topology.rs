//! The places of dispatchers, the change log and its replicas: 5 regions, 14 zones, 34 sites, racks of 17 dispatchers.

use super::assumptions::{DISPATCHERS_PER_RACK, REGIONS, SITES, ZONES};

/// The region, zone and rack of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Place {
    pub region: usize,
    pub zone: usize,
    pub rack: u32,
}

/// The zone of each replica, by replica number. Each region has one replica, the log's region has two, and none is in
/// the log's zone.
const REPLICA_ZONES: [usize; 6] = [1, 3, 6, 9, 12, 2];

/// The region of a zone: regions have three zones, the last has two.
fn region_of(zone: usize) -> usize {
    (zone / 3).min(REGIONS - 1)
}

/// A dispatcher's place: dispatchers are assigned to sites in turn, and fill the racks of a site in order.
pub(super) fn dispatcher(number: u32) -> Place {
    let site = number % SITES;
    let zone = site as usize % ZONES;
    let rack = number / SITES / DISPATCHERS_PER_RACK * SITES + site;
    Place { region: region_of(zone), zone, rack }
}

/// The change log's place.
pub(super) fn log() -> Place {
    Place { region: 0, zone: 0, rack: 0 }
}

/// A replica's place: it shares a rack with dispatchers.
pub(super) fn replica(number: usize) -> Place {
    let zone = REPLICA_ZONES[number % REPLICA_ZONES.len()];
    Place { region: region_of(zone), zone, rack: zone as u32 }
}
