//! What acts where two replicas contradict each other under one number.

use copperroute_protocol::changes::{Change, Fleet, NodeState};

/// The part of the second content that restricts; `None` if nothing does. The first content acts already, so that of
/// both together the stricter acts:
///
/// - a purge is done: two different ones under one number are both done;
/// - an entry of the list that drains or is gone is taken, one that is active is not; that a node is missing from a
///   list that calls itself whole counts for nothing, or a source with an empty list would take all nodes away;
/// - a version of the rules is handed to the agreement, which takes two contents of one version as a fork and acts on
///   the strictest rules until it is settled; one that does not follow on the last it refuses.
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
