//! What a fault happens to, and what follows from that.

use super::{Fault, Scenario, What};
use crate::groups;

/// What was held by a dispatcher that is killed is no longer owed, for so long before and after, in seconds.
const LOST_S: [f64; 2] = [0.5, 3.0];

/// What a fault happens to.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Whom {
    /// All clients, or everybody.
    All,
    /// The list service.
    Service,
    /// Nodes by id or group.
    Nodes(String),
    /// Dispatchers, by number.
    Dispatchers(Vec<usize>),
    /// Links of dispatchers, to the list service, to nodes, or from clients.
    Links(Side, Vec<usize>),
}

/// The far side of a dispatcher's links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Side {
    /// The list service.
    Lists,
    /// Nodes.
    Nodes,
    /// Clients.
    Clients,
}

impl Scenario {
    /// What the fault with this number happens to; nothing if it can't.
    pub(crate) fn whom(&self, at: usize) -> Option<Whom> {
        let fault = self.faults.get(at)?;
        let (who, seed) = (fault.who.as_str(), self.seed.wrapping_mul(31).wrapping_add(at as u64));
        let group = |name: &str| groups::named(name, self.dispatchers.count, self.fleet.zones, seed);
        let sides = [("lists of ", Side::Lists), ("nodes of ", Side::Nodes), ("clients of ", Side::Clients)];
        let links = sides
            .iter()
            .find_map(|(prefix, side)| Some(Whom::Links(*side, group(who.strip_prefix(prefix)?)?)));
        use What::*;
        match fault.what {
            Purge | Reconnect => who.is_empty().then_some(Whom::All),
            Away | Resets | Mute | Gap | Whole | Anew => who.is_empty().then_some(Whom::Service),
            Restart | Loop | Stop => {
                let by_number = who.parse::<usize>().ok().map(|at| format!("dispatchers {at}"));
                group(by_number.as_deref().unwrap_or(who)).map(Whom::Dispatchers)
            }
            Half if who.is_empty() => Some(Whom::Service),
            Half | CutTo | CutFrom | Hold | Reset => links,
            Cut | Slow if links.is_some() => links,
            Crash | Cut | Silence | Slow | Refuse | Drain => {
                let known = self.nodes().iter().any(|node| node.0 == who || node.1 == who);
                known.then(|| Whom::Nodes(who.to_string()))
            }
        }
    }

    /// Whether a dispatcher may lose what it holds at this time: it is killed, or its link to clients fails.
    pub(crate) fn may_lose(&self, dispatcher: usize, at_s: f64) -> bool {
        let touches = |at: usize| match self.whom(at) {
            Some(Whom::Links(Side::Clients, who) | Whom::Dispatchers(who)) => who.contains(&dispatcher),
            _ => false,
        };
        let during = |fault: &Fault| {
            (fault.at_s - LOST_S[0]..fault.at_s + fault.for_s + fault.by + LOST_S[1]).contains(&at_s)
        };
        self.faults.iter().enumerate().any(|(at, fault)| during(fault) && touches(at))
    }

    /// When the last fault ends; a purge is none.
    pub(crate) fn last_fault_ends(&self) -> Option<f64> {
        let bad = self.faults.iter().filter(|fault| fault.what != What::Purge);
        bad.map(|fault| fault.at_s + fault.for_s).reduce(f64::max)
    }

    /// The faults that keep dispatchers from hearing the list service, as spans in seconds.
    pub(crate) fn unheard(&self) -> Vec<[f64; 2]> {
        let deaf = |at: usize| {
            matches!(self.whom(at), Some(Whom::Service | Whom::Links(Side::Lists, _) | Whom::Dispatchers(_)))
        };
        let faults = self.faults.iter().enumerate().filter(|(at, _)| deaf(*at));
        faults.map(|(_, fault)| [fault.at_s, fault.at_s + fault.for_s]).collect()
    }
}
