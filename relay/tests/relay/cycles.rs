//! Replicas that follow one another with no change log among them: what goes round runs out.

use crate::common::secs;
use crate::network::{Network, Party};
use crate::random::{Follower, replicas};
use copperroute_relay::faults::{Fault, Faults};

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

/// Without the rule that followers are let go before a replica is called, a heartbeat goes round for ever in some orderings.
#[test]
fn the_judge_finds_a_heartbeat_that_goes_round() {
    let ring: &[&[u8]] = &[&[0, 3], &[2, 0]];
    let goes_round = |seed: &u64| {
        let held = |network: &mut Network| {
            network.hold(Party::Replica(0), secs(0.02 * (seed % 80) as f64));
            network.run(secs(0.013 * (seed % 90) as f64), &mut |_| {});
        };
        let faults = Faults::of(Fault::KeepFollowers);
        after_the_log(*seed, ring, faults, held) > 0
    };
    let first = (0..400).find(goes_round);
    println!("found by seed {first:?}");
    assert!(first.is_some());
}
