//! Replicas that follow one another with no change log among them: what goes round runs out.

use crate::common::secs;
use crate::network::{Network, Party};
use crate::random::{Follower, replicas};
use copperroute_change_log_replica::faults::{Fault, Faults};

/// Heartbeats that replicas write from ten seconds after the change log went away on, and when followers last heard one.
fn after_the_log(seed: u64, sources: &[&[u8]], faults: Faults, trouble: impl Fn(&mut Network)) -> u64 {
    let followers = (0..sources.len()).map(|of| Follower::of(2 + of as u8, sources.len())).collect();
    let mut network = Network::new(seed, replicas(sources), followers, faults);
    network.looks_inside = faults == Faults::default();
    network.run(secs(8.0), &mut |_| {});
    assert!(network.followers.iter().any(|of| of.heartbeats > 0), "seed {seed}: nobody was current");
    trouble(&mut network);
    network.log.is_up = false;
    network.end_connections(Party::Log);
    network.run(secs(10.0), &mut |_| {});
    let before = network.heartbeats;
    network.run(secs(60.0), &mut |_| {});
    network.heartbeats - before
}

#[test]
fn two_that_take_each_other_for_a_source_keep_nobody_current() {
    for seed in 0..100 {
        assert_eq!(after_the_log(seed, &[&[0, 3], &[2, 0]], Faults::default(), |_| {}), 0, "seed {seed}");
    }
}

#[test]
fn nor_do_three_nor_do_those_with_heartbeats_on_their_way() {
    let ring: &[&[u8]] = &[&[0, 4, 3], &[2, 4, 0], &[3, 2, 0]];
    for seed in 0..100 {
        let held = |network: &mut Network| {
            // What the first has told is on its way for so long.
            network.hold(Party::Replica(0), secs(0.02 * (seed % 80) as f64));
            network.run(secs(0.013 * (seed % 90) as f64), &mut |_| {});
        };
        assert_eq!(after_the_log(seed, ring, Faults::default(), held), 0, "seed {seed}");
    }
}

#[test]
fn a_cycle_that_never_knew_a_log_serves_nobody() {
    let sources: &[&[u8]] = &[&[3], &[2]];
    let followers = vec![Follower::of(2, 2), Follower::of(3, 2)];
    let mut network = Network::new(1, replicas(sources), followers, Faults::default());
    network.run(secs(60.0), &mut |_| {});
    assert_eq!(network.heartbeats, 0);
    assert_eq!(network.followers.iter().map(|of| of.told).sum::<u64>(), 0);
}

/// The first takes its heartbeats from the third, the second takes them from the first. One is on its way from the first
/// to the second when the first loses the third, and calls the second.
fn heartbeats_of_a_ring_with_one_on_its_way(seed: u64, faults: Faults) -> u64 {
    let ring: &[&[u8]] = &[&[4, 3], &[2, 0], &[0]];
    let held = |network: &mut Network| {
        // Heartbeats come each second: in some orderings one leaves the first within what is held.
        network.run(secs(0.05 * (seed % 20) as f64), &mut |_| {});
        network.hold_between(Party::Replica(0), Party::Replica(1), secs(0.48));
        network.run(secs(0.02 * (seed % 7) as f64), &mut |_| {});
        network.cut(Party::Replica(0), Party::Replica(2));
    };
    after_the_log(seed, ring, faults, held)
}

/// Without the rule that followers are let go before a replica is called, a heartbeat goes round for ever in some orderings.
#[test]
fn the_judge_finds_a_heartbeat_that_goes_round() {
    let goes_round =
        |seed: &u64| heartbeats_of_a_ring_with_one_on_its_way(*seed, Faults::of(Fault::KeepFollowers)) > 0;
    let found: Vec<u64> = (0..400).filter(goes_round).collect();
    println!("found by {} of 400 seeds, first {:?}", found.len(), found.first());
    assert!(!found.is_empty());
    for seed in 0..400 {
        let heartbeats = heartbeats_of_a_ring_with_one_on_its_way(seed, Faults::default());
        assert_eq!(heartbeats, 0, "seed {seed}: a heartbeat goes round");
    }
}
