//! Tests of what `world.rs` keeps to itself.

use super::World;
use crate::scenario::Scenario;
use std::time::Duration;

fn world() -> World {
    World::new(Scenario::parse(include_str!("../../scenarios/trunk-outage-short.json")).expect("good"))
}

#[test]
fn what_breaks_a_rule_is_seen() {
    let world = world();
    world.ran("a", "1");
    world.drain("s-0");
    world.pulled("1", "s-0", None);
    assert!(world.breaches().is_empty());
    world.ran("a", "2");
    std::thread::sleep(super::DRAIN_GRACE + Duration::from_millis(60));
    world.pulled("2", "s-0", None);
    world.pulled("3", "s-1", Some("s-0"));
    assert_eq!(world.breaches().iter().map(|breach| breach.rule).collect::<Vec<_>>(), [2, 3, 3]);
    assert_eq!(world.attempts_of(&["1".into(), "2".into(), "9".into()]), 2);
}

#[test]
fn a_pull_that_the_version_in_force_forbids_is_seen_and_for_how_long() {
    let world = world();
    let now = std::time::Instant::now();
    let long = Duration::from_secs(5);
    let issued = |from, max_attempts| world.issued(super::Issued { at: now - long, from, max_attempts });
    issued(now - long, 6);
    issued(now - Duration::from_secs(4), 2);
    issued(now - Duration::from_secs(1), 1);
    issued(now + Duration::from_millis(250), 3);
    issued(now + long, 6);
    world.pulled("1", "s-0", None);
    assert_eq!(world.agreed().forbidden, 0);
    // Two were forbidden by the last alone, but three by the two last; and three are allowed again at once.
    world.pulled("1", "s-0", None);
    world.pulled("1", "s-0", None);
    assert_eq!((world.agreed().early, world.agreed().forbidden), (2, 0));
    world.pulled("1", "s-0", None);
    let agreed = world.agreed();
    assert_eq!((agreed.versions, agreed.forbidden), (5, 1));
    assert!((4.0..4.5).contains(&agreed.longest_s), "{}", agreed.longest_s);
}

#[test]
fn bytes_tell_their_version_and_nothing_else_passes() {
    let bytes = World::bytes("7f", 3, 2);
    assert_eq!(World::version_of("7f", 3, &bytes), Some(2));
    assert_eq!(World::version_of("7e", 3, &bytes), None);
    assert_eq!(World::version_of("7f", 3, &bytes[..bytes.len() - 1]), None);
}
