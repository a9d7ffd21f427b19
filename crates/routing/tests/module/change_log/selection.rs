//! Selection of the two replicas that a dispatcher follows.

use copperroute_routing::change_log::{Replica, expected_max_followers, select_replicas};
use std::net::SocketAddr;

/// One replica for each letter, which names its zone: "aabbcc" has two in each of three zones.
fn replicas(zones: &str) -> Vec<Replica> {
    let replica = |(at, zone): (usize, char)| Replica {
        address: SocketAddr::from(([10, 0, at as u8, 1], 2379)),
        region: "north".into(),
        zone: zone.into(),
    };
    zones.chars().enumerate().map(replica).collect()
}

/// The ids of `count` dispatchers of one deployment.
fn dispatchers(deployment: u32, count: u32) -> impl Iterator<Item = String> {
    (0..count).map(move |at| format!("d{deployment}-{at}"))
}

fn addresses(replicas: &[Replica], dispatcher: &str) -> [SocketAddr; 2] {
    select_replicas(replicas, dispatcher).expect("two or more").map(|replica| replica.address)
}

/// The number of dispatchers that follow each replica.
fn followers(replicas: &[Replica], dispatchers: impl Iterator<Item = String>) -> Vec<u32> {
    let mut count = vec![0; replicas.len()];
    for dispatcher in dispatchers {
        for address in addresses(replicas, &dispatcher) {
            let at = replicas.iter().position(|replica| replica.address == address);
            count[at.expect("one of them")] += 1;
        }
    }
    count
}

#[test]
fn followers_are_spread_evenly() {
    let mean = 590.0 * 2.0 / 6.0_f64;
    for zones in ["abcdef", "aabbcc", "aaabbb", "aaaaaa"] {
        let (mut within_two, mut all) = (0, 0);
        for deployment in 0..40 {
            for count in followers(&replicas(zones), dispatchers(deployment, 590)) {
                let roots = (f64::from(count) - mean).abs() / mean.sqrt();
                assert!(roots <= 3.5, "zones {zones}, deployment {deployment}: {count} for {mean:.0}");
                within_two += u32::from(roots <= 2.0);
                all += 1;
            }
        }
        assert!(
            within_two * 100 >= all * 95,
            "zones {zones}: {within_two} of {all} within two square roots of the mean"
        );
    }
}

#[test]
fn the_two_replicas_are_in_different_zones_if_possible() {
    let same_names = {
        let mut replicas = replicas("aaaa");
        replicas[2].region = "south".into();
        replicas[3].region = "south".into();
        replicas
    };
    for replicas in [replicas("ab"), replicas("aaab"), replicas("aabbcc"), same_names] {
        for dispatcher in dispatchers(1, 590) {
            let [first, second] = select_replicas(&replicas, &dispatcher).expect("two or more");
            assert_ne!((&first.region, &first.zone), (&second.region, &second.zone));
        }
    }
    for dispatcher in dispatchers(1, 590) {
        let [first, second] = addresses(&replicas("aaa"), &dispatcher);
        assert_ne!(first, second);
    }
    assert_eq!(select_replicas(&replicas("a"), "d"), None);
    assert_eq!(select_replicas(&[], "d"), None);
}

#[test]
fn when_a_replica_is_removed_only_its_followers_move_with_one_stream_each() {
    for zones in ["abcdef", "aabbcc", "aaab", "aabc", "aaaa"] {
        let all = replicas(zones);
        for index in 0..all.len() {
            let mut remaining = all.clone();
            let removed = remaining.remove(index).address;
            for dispatcher in dispatchers(2, 590) {
                let (before, after) = (addresses(&all, &dispatcher), addresses(&remaining, &dispatcher));
                let kept = before.iter().filter(|address| after.contains(address)).count();
                assert_eq!(
                    kept,
                    if before.contains(&removed) { 1 } else { 2 },
                    "{zones}: {before:?}, {after:?}"
                );
            }
        }
    }
}

#[test]
fn the_order_of_the_replicas_has_no_effect() {
    let all = replicas("aabbcc");
    let reversed: Vec<_> = all.iter().rev().cloned().collect();
    for dispatcher in dispatchers(3, 590) {
        assert_eq!(addresses(&all, &dispatcher), addresses(&reversed, &dispatcher));
    }
}

#[test]
fn the_expected_maximum_of_followers_is_close_to_the_actual_one() {
    let expected = |zones, count| expected_max_followers(&replicas(zones), count);
    // Two sixths, plus two square roots of that.
    assert_eq!(expected("aabbcc", 590), 225);
    assert_eq!(expected("abcdef", 590), 225);
    assert_eq!(expected("ab", 590), 590);
    assert_eq!(expected("aaab", 590), 590, "all follow the only replica of its zone");
    assert_eq!(expected("aabbcc", 1), 1);
    for zones in ["aabbcc", "abcdef", "aaabbc", "aaaabc"] {
        for deployment in 0..10 {
            let most = followers(&replicas(zones), dispatchers(deployment, 590)).into_iter().max();
            let (most, expected) = (f64::from(most.unwrap_or(0)), f64::from(expected(zones, 590)));
            // The expectation includes two square roots of the mean; about one fleet in twenty exceeds it, by less than
            // another root.
            assert!(most <= expected + expected.sqrt(), "{zones}: {most} for {expected}");
        }
    }
}
