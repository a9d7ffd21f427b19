//! Who stands where: zones, regions and racks of dispatchers, and the names that faults use for them.

use super::scenario::Fleet;

/// Dispatchers that fail together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Group {
    /// All of them.
    All,
    /// One.
    One(usize),
    /// Those of a zone.
    Zone(usize),
    /// Those of a region.
    Region(usize),
    /// The first rack of a zone.
    Rack(usize),
}

/// The zone of a dispatcher.
pub(super) fn zone_of(dispatcher: usize, fleet: &Fleet) -> usize {
    dispatcher % fleet.zones
}

/// The region of a zone.
pub(super) fn region_of(zone: usize, fleet: &Fleet) -> usize {
    zone % fleet.regions
}

impl Group {
    /// Reads a name, such as `zone:3`.
    pub(super) fn read(name: &str) -> Option<Group> {
        if name == "all" {
            return Some(Group::All);
        }
        let (kind, number) = name.split_once(':')?;
        let number = number.parse().ok()?;
        match kind {
            "one" => Some(Group::One(number)),
            "zone" => Some(Group::Zone(number)),
            "region" => Some(Group::Region(number)),
            "rack" => Some(Group::Rack(number)),
            _ => None,
        }
    }

    /// Who belongs to it, in order.
    pub(super) fn members(self, fleet: &Fleet) -> Vec<usize> {
        let all = 0..fleet.hollow + fleet.real;
        let of_zone = |zone: usize| all.clone().filter(move |at| zone_of(*at, fleet) == zone);
        match self {
            Group::All => all.collect(),
            Group::One(number) => all.filter(|at| *at == number).collect(),
            Group::Zone(zone) => of_zone(zone).collect(),
            Group::Region(region) => {
                all.filter(|at| region_of(zone_of(*at, fleet), fleet) == region).collect()
            }
            Group::Rack(zone) => of_zone(zone).take(fleet.rack).collect(),
        }
    }
}
