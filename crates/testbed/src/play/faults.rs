//! Faults of a scenario, from their beginning to their end.

use super::Stage;
use crate::links::{Link, Way};
use crate::scenario::{Fault, What, Whom};
use crate::world::unix_ms;
use std::sync::Arc;
use std::time::Duration;

/// A drained node goes so long after it was told.
const DRAINED_AFTER: Duration = Duration::from_millis(2_500);

/// A fault, from its beginning to its end, with what the list tells of it.
pub(super) async fn happen(number: usize, stage: Arc<Stage>) {
    let world = &stage.world;
    let Some(fault) = world.scenario.faults.get(number).cloned() else { return };
    let at = |secs: f64| tokio::time::sleep_until((world.start() + Duration::from_secs_f64(secs)).into());
    let ends = fault.at_s + fault.for_s;
    at(fault.at_s).await;
    let ended = match world.scenario.whom(number) {
        Some(Whom::All) if fault.what == What::Purge => {
            world.purge();
            (0..4).for_each(|group| stage.service.purge(group));
            return stage.fleet.purge();
        }
        Some(Whom::All) => return stage.reconnect.send_modify(|count| *count += 1),
        Some(Whom::Service) => {
            stage.service.fault(Some(fault.what));
            at(ends).await;
            stage.service.fault(None);
            Ok(())
        }
        Some(Whom::Nodes(who)) => {
            happen_to_nodes(&fault, &who, &stage).await;
            Ok(())
        }
        Some(Whom::Dispatchers(who)) => {
            let until = world.start() + Duration::from_secs_f64(ends);
            stage.processes.suffer(&fault, &who, until).await
        }
        Some(Whom::Links(side, who)) => {
            let links: Vec<_> = who.iter().filter_map(|at| stage.links.get(&(side, *at))).flatten().collect();
            links.iter().for_each(|link| begin(link, &fault));
            at(ends).await;
            links.iter().for_each(|link| end(link, fault.what));
            Ok(())
        }
        None => Ok(()),
    };
    if let Err(why) = ended {
        world.breach(0, why);
    }
}

/// A fault begins on a link.
fn begin(link: &Link, fault: &Fault) {
    use What::*;
    match fault.what {
        Reset => link.reset(),
        what => link.change(|fate| {
            let way = match what {
                Slow => Way::Slow(fault.by),
                Half => Way::Half,
                _ => Way::Held,
            };
            if what != CutFrom && what != Half {
                fate.to = way;
            }
            if what != CutTo {
                fate.from = way;
            }
        }),
    }
}

/// It ends: what was cut is reset, what was held goes through at once.
fn end(link: &Link, what: What) {
    if matches!(what, What::Cut | What::CutTo | What::CutFrom) {
        link.reset();
    }
    link.change(|fate| (fate.to, fate.from) = (Way::Open, Way::Open));
}

async fn happen_to_nodes(fault: &Fault, who: &str, stage: &Stage) {
    let (world, fleet, service) = (&stage.world, &stage.fleet, &stage.service);
    let at = |secs: f64| tokio::time::sleep_until((world.start() + Duration::from_secs_f64(secs)).into());
    let notice = Duration::from_secs_f64(world.scenario.fleet.notice_s);
    let nodes = fleet.named(who);
    if fault.what == What::Drain {
        for node in &nodes {
            world.drain(&node.id);
            service.list(node, "leaving", 0);
        }
        tokio::time::sleep(DRAINED_AFTER).await;
    }
    nodes.iter().for_each(|node| fleet.begin(node, fault.what, fault.by));
    if matches!(fault.what, What::Crash | What::Drain) {
        tokio::time::sleep(notice).await;
        nodes.iter().for_each(|node| service.list(node, "left", 0));
    }
    if fault.what == What::Drain {
        return;
    }
    at(fault.at_s + fault.for_s).await;
    nodes.iter().for_each(|node| fleet.end(node, fault.what));
    if fault.what == What::Crash {
        let started = unix_ms();
        tokio::time::sleep(notice).await;
        nodes.iter().for_each(|node| service.list(node, "active", started));
    }
}
