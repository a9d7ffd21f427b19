//! Decides what to apply when two replicas deliver different contents under one event number.

use copperroute_protocol::changes::{Change, Fleet, NodeState};

/// The part of the second content that is restrictive; `None` if nothing is. The first content has been
/// applied already, so together the stricter of both is in force:
///
/// - A purge is applied: of two different ones under one number, both are.
/// - A node that drains or is gone is applied, an active one is not. A node missing from a snapshot counts
///   for nothing, or a replica with an empty list would remove all nodes.
/// - A version of the rules is passed to the agreement, which treats two contents of one version as a fork
///   and acts on the strictest rules until it is resolved. It refuses a version that does not follow the last
///   one.
pub fn stricter_part(second: &Change) -> Option<Change> {
    let drains = |fleet: &Fleet| {
        let servers: Vec<_> =
            fleet.servers.iter().filter(|listed| listed.state != NodeState::Active).cloned().collect();
        (!servers.is_empty()).then_some(Fleet { version: None, full: false, servers })
    };
    let restricting = Change {
        seq: second.seq,
        fleet: second.fleet.as_ref().and_then(drains),
        invalidate: second.invalidate.clone(),
        rules: second.rules.clone(),
        agreed: None,
    };
    let Change { fleet, invalidate, rules, .. } = &restricting;
    let restricts = fleet.is_some() || invalidate.is_some() || rules.is_some();
    restricts.then_some(restricting)
}
