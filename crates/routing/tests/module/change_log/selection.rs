//! Which two replicas a dispatcher follows.

use copperroute_routing::change_log::{Replica, expected_max_followers, select_replicas};
use std::net::SocketAddr;

/// Replicas of zones named by letters, as in "aabbcc".
fn replicas(zones: &str) -> Vec<Replica> {
    let replica = |(at, zone): (usize, char)| Replica {
        address: SocketAddr::from(([10, 0, at as u8, 1], 2379)),
        region: "north".into(),
        zone: zone.into(),
    };
    zones.chars().enumerate().map(replica).collect()
}

/// The ids of so many dispatchers of one deployment.
fn dispatchers(deployment: u32, count: u32) -> impl Iterator<Item = String> {
    (0..count).map(move |at| format!("d{deployment}-{at}"))
}

fn addresses(replicas: &[Replica], dispatcher: &str) -> [SocketAddr; 2] {
    select_replicas(replicas, dispatcher).expect("two or more").map(|replica| replica.address)
}

/// How many dispatchers follow each replica.
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
fn no_replica_gets_more_than_its_part() {
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
        assert!(within_two * 100 >= all * 95, "zones {zones}: {within_two} of {all} within two roots");
    }
}

#[test]
fn two_streams_come_from_different_zones_where_there_are_such() {
    let named_alike = {
        let mut replicas = replicas("aaaa");
        replicas[2].region = "south".into();
        replicas[3].region = "south".into();
        replicas
    };
    for replicas in [replicas("ab"), replicas("aaab"), replicas("aabbcc"), named_alike] {
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
fn where_one_is_taken_out_only_its_followers_move_and_with_one_stream() {
    for zones in ["abcdef", "aabbcc", "aaab", "aabc", "aaaa"] {
        let all = replicas(zones);
        for gone in 0..all.len() {
            let mut left = all.clone();
            let gone = left.remove(gone).address;
            for dispatcher in dispatchers(2, 590) {
                let (before, after) = (addresses(&all, &dispatcher), addresses(&left, &dispatcher));
                let kept = before.iter().filter(|address| after.contains(address)).count();
                assert_eq!(
                    kept,
                    if before.contains(&gone) { 1 } else { 2 },
                    "{zones}: {before:?}, {after:?}"
                );
            }
        }
    }
}

#[test]
fn the_order_in_which_replicas_are_named_changes_nothing() {
    let all = replicas("aabbcc");
    let reversed: Vec<_> = all.iter().rev().cloned().collect();
    for dispatcher in dispatchers(3, 590) {
        assert_eq!(addresses(&all, &dispatcher), addresses(&reversed, &dispatcher));
    }
}

#[test]
fn the_most_that_a_replica_has_to_expect_is_what_comes() {
    let expected = |zones, count| expected_max_followers(&replicas(zones), count);
    // Two of six, and two roots more.
    assert_eq!(expected("aabbcc", 590), 225);
    assert_eq!(expected("abcdef", 590), 225);
    assert_eq!(expected("ab", 590), 590);
    assert_eq!(expected("aaab", 590), 590, "the only one of its zone is followed by all");
    assert_eq!(expected("aabbcc", 1), 1);
    for zones in ["aabbcc", "abcdef", "aaabbc", "aaaabc"] {
        for deployment in 0..10 {
            let most = followers(&replicas(zones), dispatchers(deployment, 590)).into_iter().max();
            let (most, expected) = (f64::from(most.unwrap_or(0)), f64::from(expected(zones, 590)));
            // Two roots are in it; a fleet in twenty or so has a little more, never more than another.
            assert!(most <= expected + expected.sqrt(), "{zones}: {most} for {expected}");
        }
    }
}
